#ifndef SNIPEWORKS_PEER_TRANSPORT_H_
#define SNIPEWORKS_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "snipeworks/address.h"
#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/event_loop.h"

namespace snipeworks {

/// Why a call to another process of the system failed.
enum class PeerFailure {
  kUnreachable,  ///< No connection could be made, or it broke.
  kTimeout,
  kRejected,  ///< The peer responded with an error.
};

/// The payload of a peer's response, or why there is none.
using PeerResult = tl::expected<std::string, PeerFailure>;

/// Traffic counters of one PeerServer or PeerClient.
struct PeerTraffic {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t calls_sent = 0;
  std::uint64_t calls_received = 0;
  std::uint64_t connections_opened = 0;  ///< By this process.
};

/// Serves calls from other processes, each on an HTTP/2 stream.
class PeerServer {
 public:
  /// Responds to a call, synchronously or later; an error rejects it.
  using Reply = std::function<void(tl::expected<std::string, PeerFailure>)>;
  using Handler = std::function<
      void(const std::string& path, const std::string& payload, Reply reply)>;

  /// Listens on `address`. Fails with kInternal if that is impossible.
  static Result<std::unique_ptr<PeerServer>> Start(EventLoop& loop,
                                                   const Address& address,
                                                   Handler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  const PeerTraffic& traffic() const;

 private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

/// A simulated network partition from one process, for failure tests.
struct PeerPartition {
  std::string address;      ///< "IP:port".
  bool partitioned = true;  ///< False ends it.

  friend bool operator==(const PeerPartition&, const PeerPartition&) = default;
};

/// Parses {"address": "IP:port", "cut": true}; `cut` may be missing. Fails with
/// kBadRequest.
Result<PeerPartition> ParsePartition(std::string_view json_text);

/// Calls other processes over one HTTP/2 connection to each. A call that times
/// out closes its connection, because a silent connection may never recover.
class PeerClient {
 public:
  using Done = std::function<void(const PeerResult&)>;

  explicit PeerClient(EventLoop& loop);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  /// Sends `payload` to `path` at `address` ("IP:port"); `done` runs once,
  /// asynchronously, on the loop.
  void Call(const std::string& address,
            const std::string& path,
            std::string payload,
            Duration timeout,
            Done done);

  /// Simulates a network partition from `address`, or ends it, for failure
  /// tests: calls during a partition are not sent and time out.
  void SetPartitioned(const std::string& address, bool partitioned);

  const PeerTraffic& traffic() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_PEER_TRANSPORT_H_
