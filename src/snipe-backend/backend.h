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

/// What a stand-in target is and does.
struct BackendPlan {
  std::string group;
  std::string zone;
  Address address;
  Address reported;  ///< Where it says that it is: a proxy may stand there.
  std::vector<std::string> controls;  ///< "IP:port" of control hosts.
  std::uint32_t slots = 3;
  std::uint32_t queue = 16;  ///< Requests that may wait; more are refused.
  Duration work = std::chrono::milliseconds(5);
  Duration report_interval = std::chrono::milliseconds(500);
  Duration drain = std::chrono::milliseconds(3000);
  std::string crash_on;     ///< Part of a path that ends the process; or empty.
  std::size_t records = 8;  ///< In each answer.
};

/// The records that any target of `group` answers to `method` and `target`;
/// a checker computes them again.
std::string RecordsOf(const std::string& group,
                      const std::string& method,
                      const std::string& target,
                      std::size_t count);

/// A stand-in for a back end of forwarded requests: reports itself, works,
/// queues, refuses, drains, and tells `on_run` of each request that it begins.
class Backend {
 public:
  using OnEvent =
      std::function<void(const std::string& event, const std::string& request)>;

  Backend(EventLoop& loop, BackendPlan plan, OnEvent on_event);

  /// Starts to listen and to report. Fails with kInternal.
  Result<void> Start();

  /// Reports that it drains; `done` runs once it has served on for a while
  /// after the acknowledgement.
  void Drain(std::function<void()> done);

  const std::string& name() const { return name_; }

 private:
  struct Work {
    ExchangeId exchange = 0;
    HttpRequest request;
    Instant deadline{};
  };

  void OnRequest(ExchangeId exchange, HttpRequest request);
  void Begin(Work work);
  void End(ExchangeId exchange);
  void Refuse(ExchangeId exchange, int status);
  void Report();
  std::string Load() const;

  EventLoop& loop_;
  BackendPlan plan_;
  OnEvent on_event_;
  ForwardNames names_;
  ControlNames calls_;
  Random random_;
  std::string name_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  std::size_t control_ = 0;
  bool reporting_ = false;
  bool draining_ = false;
  bool drain_told_ = false;
  std::function<void()> drained_;
  HttpClient client_;
  std::unique_ptr<HttpListener> listener_;
  std::unordered_map<ExchangeId, Work> running_;
  std::deque<Work> waiting_;
};

}  // namespace snipeworks

#endif  // SNIPE_BACKEND_BACKEND_H_
