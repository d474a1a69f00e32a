#ifndef SNIPE_LOAD_LOAD_RUN_H_
#define SNIPE_LOAD_LOAD_RUN_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "snipeworks/event_loop.h"
#include "snipeworks/history.h"
#include "snipeworks/http_client.h"
#include "snipeworks/random.h"
#include "snipeworks/search.h"

namespace snipeworks {

/// One arm of a comparison: the entry hosts that its requests go to,
/// round-robin, as behind a load balancer.
struct LoadArm {
  std::string name;
  std::vector<std::string> entries;
};

/// The load that a run generates.
struct LoadPlan {
  std::vector<LoadArm> arms;
  std::string group;
  double rate = 100.0;  ///< Requests per second over all arms.
  Duration length = std::chrono::seconds(10);
  Duration warm_up{};  ///< Sent but not counted.
  /// The arms take turns, each for this long; zero alternates with every
  /// request.
  Duration slice{};
  Duration deadline = std::chrono::milliseconds(1000);
  std::size_t distinct_queries = 1000;
  std::string query;  ///< Sent instead of generated ones, if set.
  /// Relative weights of urgent, normal and routine requests.
  std::vector<double> class_weights = {0.0, 1.0, 0.0};
  /// Send requests that are not repeatable, and resend each until its outcome
  /// is final.
  bool actions = false;
  std::uint64_t seed = 1;
};

/// The measurements of one arm.
struct ArmResult {
  std::vector<double> latencies_ms;  ///< Of answers, from the scheduled time.
  std::vector<double> refusals_ms;   ///< Of refusals reported as not run.
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::vector<double>> class_latencies_ms;
  double coverage_sum = 0.0;
  double coverage_min = 1.0;
  std::uint64_t answers = 0;
  std::uint64_t complete = 0;
  std::uint64_t sent = 0;
  AttemptCounts attempts;
};

/// Open-loop load generator: sends each request at its scheduled time, however
/// long the answers take.
class LoadRun {
 public:
  LoadRun(EventLoop& loop, LoadPlan plan, HistoryWriter& history);

  /// Starts the run. Stops the event loop once every request has ended.
  void Start();

  const std::vector<ArmResult>& results() const { return results_; }
  const LoadPlan& plan() const { return plan_; }

 private:
  struct Request {
    std::size_t arm = 0;
    std::size_t entry = 0;
    std::string query;
    std::string request_class;
    std::string key;
    Instant scheduled{};
    Instant resend_until{};
    bool counted = false;
  };

  void SendDueRequests();
  void CheckReadiness();
  const std::string& NextEntry(Request& request);
  Request NewRequest(Instant scheduled);
  void Send(Request request);
  void OnAnswer(Request request,
                const std::string& trace,
                Instant sent,
                const HttpCallResult& result);
  void RecordOutcome(const Request& request,
                     const std::string& outcome,
                     const nlohmann::json& body,
                     Instant now);
  bool ScheduleResend(const Request& request,
                      const std::string& outcome,
                      const HttpCallResult& result);
  void StopIfDone();

  EventLoop& loop_;
  LoadPlan plan_;
  HistoryWriter& history_;
  HttpClient client_;
  Random random_;
  LoopTimer timer_;
  std::vector<ArmResult> results_;
  std::vector<std::size_t> next_entry_;
  /// Entry hosts whose last readiness check failed; they get no requests while
  /// another host of their arm is ready.
  std::set<std::string> not_ready_;
  Instant started_{};
  Instant next_due_{};
  std::uint64_t created_ = 0;
  std::uint64_t outstanding_ = 0;
  bool all_sent_ = false;
};

}  // namespace snipeworks

#endif  // SNIPE_LOAD_LOAD_RUN_H_
