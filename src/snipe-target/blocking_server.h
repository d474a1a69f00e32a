#ifndef SNIPE_TARGET_BLOCKING_SERVER_H_
#define SNIPE_TARGET_BLOCKING_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "snipeworks/address.h"
#include "snipeworks/error.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// An HttpListener on a loop of its own whose handler may block: each request
/// is handled on a worker thread.
class BlockingServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Listens on `address` and resets connections beyond `max_connections`.
  /// Fails with kInternal if the address cannot be had.
  static Result<std::unique_ptr<BlockingServer>>
  Start(const Address& address, std::size_t max_connections, Handler handler);

  /// Waits for the handlers that run.
  ~BlockingServer();
  BlockingServer(const BlockingServer&) = delete;
  BlockingServer& operator=(const BlockingServer&) = delete;

  /// Requests that are being answered.
  std::size_t in_flight() const;
  /// Open connections now, and the most there were at once.
  std::size_t connections() const;
  std::size_t max_connections_seen() const;

 private:
  class Impl;
  explicit BlockingServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPE_TARGET_BLOCKING_SERVER_H_
