#include "snipeworks/peer_transport.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include <uv.h>

#include "http2_connection.h"
#include "snipeworks/client_limiter.h"
#include "snipeworks/json_reader.h"

namespace snipeworks {

namespace {

constexpr int kOkStatus = 200;
constexpr int kRejectedStatus = 500;
constexpr int kBacklog = 128;
// Hosts make a call as soon as they have connected. Other clients may not keep
// descriptors without one.
constexpr Duration kFirstCallTimeout = std::chrono::seconds(5);
constexpr Duration kFirstCallCheckInterval = std::chrono::seconds(1);
// The part of the descriptors that connections without a call may take.
constexpr std::size_t kUnusedConnectionsDivisor = 8;
// The first SYN to a host that is down is lost, and TCP retransmits it only
// after a second. Calls that wait this long for a connection get a new one, so
// that a host that has come up meanwhile is reached soon. The delay doubles
// with each attempt, for slow networks, up to the time of the retransmission.
constexpr Duration kInitialConnectRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxConnectRetryDelay = std::chrono::milliseconds(1000);

}  // namespace

class PeerServer::Impl {
 public:
  Impl(EventLoop& loop, Handler handler)
      : loop_(loop),
        handler_(std::move(handler)),
        max_unused_(DescriptorLimit() / kUnusedConnectionsDivisor),
        timer_(loop, [this] { CloseUnused(); }) {
    timer_.Set(kFirstCallCheckInterval);
  }

  // The listener is a libuv handle, which must outlive its owner until libuv
  // has closed it.
  ~Impl() {
    *alive_ = false;
    for (const auto& [connection, peer] : std::map(connections_)) {
      connection->Close();
    }
    if (listener_ != nullptr) {
      uv_close(reinterpret_cast<uv_handle_t*>(listener_),
               [](uv_handle_t* handle) {
                 delete reinterpret_cast<uv_tcp_t*>(handle);
               });
    }
  }

  Result<void> Listen(const Address& address) {
    listener_ = new uv_tcp_t;
    uv_tcp_init(loop_.raw(), listener_);
    listener_->data = this;
    sockaddr_in local{};
    uv_ip4_addr(address.ip.c_str(), address.port, &local);
    uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&local), 0);
    const int listening = uv_listen(
        reinterpret_cast<uv_stream_t*>(listener_), kBacklog,
        [](uv_stream_t* listener, int status) {
          if (status == 0) {
            static_cast<Impl*>(listener->data)->AcceptConnection(listener);
          }
        });
    if (listening < 0) {
      return Fail(ErrorKind::kInternal,
                  "cannot listen on " + address.ToString());
    }
    return {};
  }

  const PeerTraffic& traffic() const { return traffic_; }

 private:
  struct Peer {
    std::uint64_t id = 0;
    Instant opened_at{};
    bool called = false;
  };

  void CloseUnused() {
    const Instant now = MonotonicNow();
    std::vector<std::pair<Instant, Http2Connection*>> unused;
    for (const auto& [connection, peer] : connections_) {
      if (!peer.called) {
        unused.emplace_back(peer.opened_at, connection);
      }
    }
    std::ranges::sort(unused);
    const std::size_t excess = max_unused_ > 0 && unused.size() > max_unused_
                                   ? unused.size() - max_unused_
                                   : 0;
    for (std::size_t i = 0; i < unused.size(); ++i) {
      const auto& [opened_at, connection] = unused[i];
      if (i < excess || now - opened_at > kFirstCallTimeout) {
        connection->Close();
      }
    }
    timer_.Set(kFirstCallCheckInterval);
  }

  void AcceptConnection(uv_stream_t* listener) {
    // The callbacks need the connection's address, which Create returns only
    // after it has taken them.
    auto self = std::make_shared<Http2Connection*>(nullptr);
    Http2Connection::Events events;
    events.on_connected = [] {};
    events.on_message = [this, self](std::int32_t stream,
                                     const Http2Message& message) {
      OnCall(*self, stream, message);
    };
    events.on_closed = [this, self, alive = alive_] {
      if (*alive) {
        connections_.erase(*self);
      }
    };
    *self = Http2Connection::Create(loop_.raw(), Http2Connection::Role::kServer,
                                    std::move(events), traffic_);
    connections_[*self] = {next_connection_++, MonotonicNow(), false};
    if (!(*self)->Accept(listener)) {
      (*self)->Close();
    }
    ++accepted_;
    if (max_unused_ > 0 && accepted_ % max_unused_ == 0) {
      CloseUnused();
    }
  }

  void OnCall(Http2Connection* connection,
              std::int32_t stream,
              const Http2Message& message) {
    ++traffic_.calls_received;
    // A later connection may have the same address in memory.
    Peer& peer = connections_.at(connection);
    peer.called = true;
    const std::uint64_t id = peer.id;
    handler_(message.path, message.payload,
             [this, connection, id, stream, alive = alive_](PeerResult result) {
               if (!*alive) {
                 return;
               }
               auto found = connections_.find(connection);
               if (found == connections_.end() || found->second.id != id) {
                 return;
               }
               if (result) {
                 connection->SendResponse(stream, kOkStatus,
                                          std::move(*result));
               } else {
                 connection->SendResponse(stream, kRejectedStatus, "");
               }
             });
  }

  EventLoop& loop_;
  Handler handler_;
  uv_tcp_t* listener_ = nullptr;
  std::size_t max_unused_;
  std::uint64_t accepted_ = 0;
  std::map<Http2Connection*, Peer> connections_;
  std::uint64_t next_connection_ = 1;
  PeerTraffic traffic_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  LoopTimer timer_;
};

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PeerServer::~PeerServer() = default;

Result<std::unique_ptr<PeerServer>> PeerServer::Start(EventLoop& loop,
                                                      const Address& address,
                                                      Handler handler) {
  auto impl = std::make_unique<Impl>(loop, std::move(handler));
  if (Result<void> listening = impl->Listen(address); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

const PeerTraffic& PeerServer::traffic() const {
  return impl_->traffic();
}

class PeerClient::Impl {
 public:
  explicit Impl(EventLoop& loop) : loop_(loop) {}

  ~Impl() {
    *alive_ = false;
    for (auto& [address, link] : links_) {
      if (link.connection != nullptr) {
        link.connection->Close();
      }
    }
  }

  void Call(const std::string& address,
            const std::string& path,
            std::string payload,
            Duration timeout,
            Done done) {
    ++traffic_.calls_sent;
    const CallId id = next_call_++;
    calls_[id] = {address, -1, std::move(done)};
    loop_.After(timeout, [this, id, alive = alive_] {
      if (*alive) {
        OnTimeout(id);
      }
    });
    if (partitioned_.contains(address)) {
      return;
    }
    Link& link = links_[address];
    if (link.connected) {
      SendOn(link, id, path, std::move(payload));
      return;
    }
    link.waiting.push_back({id, path, std::move(payload)});
    if (link.connection == nullptr) {
      Open(address, link);
    }
  }

  void SetPartitioned(const std::string& address, bool partitioned) {
    if (!partitioned) {
      partitioned_.erase(address);
      return;
    }
    partitioned_.insert(address);
    auto found = links_.find(address);
    if (found != links_.end() && found->second.connection != nullptr) {
      found->second.connection->Close();
    }
  }

  const PeerTraffic& traffic() const { return traffic_; }

 private:
  using CallId = std::uint64_t;

  struct PendingCall {
    std::string address;
    std::int32_t stream = -1;
    Done done;
  };
  struct WaitingCall {
    CallId id;
    std::string path;
    std::string payload;
  };
  struct Link {
    Http2Connection* connection = nullptr;
    bool connected = false;
    bool reconnect = false;  ///< Once closed, reconnect for the waiting calls.
    std::uint64_t attempt_number = 0;  ///< Distinguishes connection attempts.
    Duration connect_retry_delay = kInitialConnectRetryDelay;
    std::vector<WaitingCall> waiting;
    std::unordered_map<std::int32_t, CallId> streams;
  };

  void Open(const std::string& address, Link& link) {
    auto parsed = Address::Parse(address);
    if (!parsed) {
      loop_.Post([this, address, alive = alive_] {
        if (*alive) {
          OnClosed(address);
        }
      });
      return;
    }
    Http2Connection::Events events;
    events.on_connected = [this, address] { OnConnected(address); };
    events.on_message = [this, address](std::int32_t stream,
                                        const Http2Message& message) {
      OnResponse(address, stream, message);
    };
    events.on_stream_failed = [this, address](std::int32_t stream) {
      OnStreamFailed(address, stream);
    };
    events.on_closed = [this, address, alive = alive_] {
      if (*alive) {
        OnClosed(address);
      }
    };
    link.attempt_number = ++last_attempt_number_;
    loop_.After(
        link.connect_retry_delay,
        [this, address, attempt_number = link.attempt_number, alive = alive_] {
          if (*alive) {
            OnConnectRetryTimer(address, attempt_number);
          }
        });
    link.connection =
        Http2Connection::Create(loop_.raw(), Http2Connection::Role::kClient,
                                std::move(events), traffic_);
    ++traffic_.connections_opened;
    link.connection->Connect(*parsed);
  }

  void SendOn(Link& link,
              CallId id,
              const std::string& path,
              std::string payload) {
    auto call = calls_.find(id);
    if (call == calls_.end()) {
      return;
    }
    const std::int32_t stream =
        link.connection->SendRequest(path, std::move(payload));
    if (stream < 0) {
      CompleteCall(id, tl::unexpected(PeerFailure::kUnreachable));
      return;
    }
    call->second.stream = stream;
    link.streams[stream] = id;
  }

  void OnConnected(const std::string& address) {
    Link& link = links_[address];
    link.connected = true;
    for (WaitingCall& call : std::exchange(link.waiting, {})) {
      SendOn(link, call.id, call.path, std::move(call.payload));
    }
  }

  void OnConnectRetryTimer(const std::string& address,
                           std::uint64_t attempt_number) {
    Link& link = links_[address];
    if (link.attempt_number == attempt_number && !link.connected &&
        !link.waiting.empty()) {
      link.reconnect = true;
      link.connection->Close();
    }
  }

  void OnResponse(const std::string& address,
                  std::int32_t stream,
                  const Http2Message& message) {
    auto node = links_[address].streams.extract(stream);
    if (node.empty()) {
      return;
    }
    if (message.status == kOkStatus) {
      CompleteCall(node.mapped(), message.payload);
    } else {
      CompleteCall(node.mapped(), tl::unexpected(PeerFailure::kRejected));
    }
  }

  void OnStreamFailed(const std::string& address, std::int32_t stream) {
    auto node = links_[address].streams.extract(stream);
    if (!node.empty()) {
      CompleteCall(node.mapped(), tl::unexpected(PeerFailure::kUnreachable));
    }
  }

  void OnClosed(const std::string& address) {
    Link link = std::exchange(links_[address], {});
    if (link.reconnect) {
      Link& reopened = links_[address];
      reopened.waiting = std::move(link.waiting);
      reopened.connect_retry_delay =
          std::min(2 * link.connect_retry_delay, kMaxConnectRetryDelay);
      Open(address, reopened);
      return;
    }
    for (const WaitingCall& call : link.waiting) {
      CompleteCall(call.id, tl::unexpected(PeerFailure::kUnreachable));
    }
    for (const auto& [stream, id] : link.streams) {
      CompleteCall(id, tl::unexpected(PeerFailure::kUnreachable));
    }
  }

  void OnTimeout(CallId id) {
    auto found = calls_.find(id);
    if (found == calls_.end()) {
      return;
    }
    const std::string address = found->second.address;
    auto link = links_.find(address);
    CompleteCall(id, tl::unexpected(PeerFailure::kTimeout));
    if (link != links_.end() && link->second.connection != nullptr) {
      link->second.connection->Close();
    }
  }

  void CompleteCall(CallId id, PeerResult result) {
    auto node = calls_.extract(id);
    if (node.empty()) {
      return;
    }
    loop_.Post([done = std::move(node.mapped().done),
                result = std::move(result)] { done(result); });
  }

  EventLoop& loop_;
  std::map<std::string, Link> links_;
  std::unordered_map<CallId, PendingCall> calls_;
  std::set<std::string> partitioned_;
  CallId next_call_ = 1;
  std::uint64_t last_attempt_number_ = 0;
  PeerTraffic traffic_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Result<PeerPartition> ParsePartition(std::string_view json_text) {
  auto document = ParseJson(json_text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  JsonReader reader(*document);
  PeerPartition partition;
  partition.address = reader.String("address");
  if (reader.Has("cut")) {
    const auto& cut = (*document)["cut"];
    if (cut.is_boolean()) {
      partition.partitioned = cut.get<bool>();
    } else {
      reader.AddError("cut", "must be true or false");
    }
  }
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
  }
  return partition;
}

PeerClient::PeerClient(EventLoop& loop) : impl_(std::make_unique<Impl>(loop)) {}

PeerClient::~PeerClient() = default;

void PeerClient::Call(const std::string& address,
                      const std::string& path,
                      std::string payload,
                      Duration timeout,
                      Done done) {
  impl_->Call(address, path, std::move(payload), timeout, std::move(done));
}

void PeerClient::SetPartitioned(const std::string& address, bool partitioned) {
  impl_->SetPartitioned(address, partitioned);
}

const PeerTraffic& PeerClient::traffic() const {
  return impl_->traffic();
}

}  // namespace snipeworks
