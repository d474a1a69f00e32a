#ifndef SNIPE_BACKEND_BACKEND_H_
#define SNIPE_BACKEND_BACKEND_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/http_listener.h"
#include "snipeworks/protocol_names.h"
#include "snipeworks/random.h"

namespace snipeworks {

/// Configuration of a simulated target.
struct BackendConfig {
  std::string group;
  std::string zone;
  Address address;
  Address reported_address;  ///< Sent in reports; can be that of a proxy.
  std::vector<std::string> control_hosts;  ///< "IP:port" of each.
  std::uint32_t slots = 3;
  std::uint32_t queue = 16;  ///< Queue limit; further requests are refused.
  /// Mean service time.
  Duration work = std::chrono::milliseconds(5);
  Duration report_interval = std::chrono::milliseconds(500);
  /// Time that it keeps serving after its drain is acknowledged.
  Duration drain = std::chrono::milliseconds(3000);
  std::string crash_on;     ///< A path with this text crashes it, if set.
  std::size_t records = 8;  ///< Records per answer.
};

/// The body with which every target of `group` answers a request of `method`
/// and request target `target`; checks recompute it to verify answers.
std::string RecordsOf(const std::string& group,
                      const std::string& method,
                      const std::string& target,
                      std::size_t count);

/// Simulates a target of forwarded requests: reports to the control hosts, runs
/// and queues requests, refuses them if full, and drains. Calls `on_event` with
/// "run" for each request that starts, and with "drain_acknowledged".
class Backend {
 public:
  using OnEvent =
      std::function<void(const std::string& event, const std::string& request)>;

  Backend(EventLoop& loop, BackendConfig config, OnEvent on_event);

  /// Starts listening and reporting. Fails with kInternal.
  Result<void> Start();

  /// Reports that it is draining. `done` is called BackendConfig::drain after a
  /// control host has acknowledged that.
  void Drain(std::function<void()> done);

  const std::string& name() const { return name_; }

 private:
  struct AcceptedRequest {
    ExchangeId exchange = 0;
    HttpRequest request;
    Instant deadline{};
  };

  void OnRequest(ExchangeId exchange, HttpRequest request);
  void StartRequest(AcceptedRequest accepted);
  void EndRequest(ExchangeId exchange);
  void Refuse(ExchangeId exchange, const HttpRequest& request, int status);
  void Report();
  std::string LoadHeaderValue() const;

  EventLoop& loop_;
  BackendConfig config_;
  OnEvent on_event_;
  ForwardNames names_;
  ControlNames control_names_;
  Random random_;
  std::string name_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  std::size_t control_index_ = 0;
  bool reporting_ = false;
  bool draining_ = false;
  bool drain_acknowledged_ = false;
  std::function<void()> on_drained_;
  HttpClient client_;
  std::unique_ptr<HttpListener> listener_;
  std::unordered_map<ExchangeId, AcceptedRequest> running_;
  std::deque<AcceptedRequest> waiting_;
};

}  // namespace snipeworks

#endif  // SNIPE_BACKEND_BACKEND_H_
