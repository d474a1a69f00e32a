#ifndef SNIPE_TARGET_BLOCKING_SERVER_H_
#define SNIPE_TARGET_BLOCKING_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "snipeworks/address.h"
#include "snipeworks/error.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// An HTTP server whose handler may block: the listener runs on its own event
/// loop thread and each request is handled on a worker thread.
class BlockingServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /// Listens on `address` and resets connections beyond `max_connections`.
  /// Fails with kInternal if the address cannot be bound.
  static Result<std::unique_ptr<BlockingServer>>
  Start(const Address& address, std::size_t max_connections, Handler handler);

  /// Waits for running handlers to return.
  ~BlockingServer();
  BlockingServer(const BlockingServer&) = delete;
  BlockingServer& operator=(const BlockingServer&) = delete;

  /// The number of requests whose answer has not been sent yet.
  std::size_t in_flight() const;
  /// The number of open connections.
  std::size_t connections() const;
  /// The highest number of connections open at the same time.
  std::size_t max_connections_seen() const;

 private:
  class Impl;
  explicit BlockingServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPE_TARGET_BLOCKING_SERVER_H_
