#ifndef SNIPEWORKS_TARGET_GATEWAY_H_
#define SNIPEWORKS_TARGET_GATEWAY_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "snipeworks/attempt.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/random.h"
#include "snipeworks/trace.h"

namespace snipeworks {

/// Sends attempts to targets over HTTP and reports their outcomes.
class TargetGateway {
 public:
  using OnOutcome =
      std::function<void(AttemptId, const AttemptOutcome& outcome)>;
  using OnProbe = std::function<void(AttemptId, ProbeState state)>;

  /// `prefix` makes attempt ids unique across hosts and restarts.
  TargetGateway(EventLoop& loop,
                std::string prefix,
                SpanWriter& spans,
                Random& random,
                OnOutcome on_outcome,
                OnProbe on_probe);

  void Start(const AttemptCommand& command);
  void Cancel(AttemptId attempt);
  void Probe(AttemptId attempt);

  /// See HttpClient.
  void TestConnection(const std::string& address,
                      std::function<void(bool reached)> done);
  void SimulateCut(std::optional<CutKind> cut) { client_.SimulateCut(cut); }

  /// Limits the connections to `address`; the first call for an address opens
  /// one ahead of use.
  void SetMaxConnections(const std::string& address,
                         std::uint32_t max_connections);

 private:
  struct RunningAttempt {
    HttpCallId call = 0;
    std::string wire_id;  ///< The attempt's id on the wire.
    AttemptCommand command;
    TraceContext context;
    std::string parent_span;
    std::chrono::system_clock::time_point started;
    bool cancelled = false;
  };

  void OnAnswer(AttemptId attempt, const HttpCallResult& result);
  /// Probes the target up to `tries` times to find out whether it still runs.
  void VerifyTargetLoss(const RunningAttempt& running, int tries);
  void Report(const RunningAttempt& running, const AttemptOutcome& outcome);
  /// A call that names an attempt, to the target it was sent to.
  static HttpCall MakeAttemptCall(const RunningAttempt& running,
                                  const char* path);

  EventLoop& loop_;
  HttpClient client_;
  std::string prefix_;
  SpanWriter& spans_;
  Random& random_;
  OnOutcome on_outcome_;
  OnProbe on_probe_;
  std::unordered_map<AttemptId, RunningAttempt> running_;
  std::unordered_map<std::string, std::uint32_t> max_connections_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_GATEWAY_H_
