#ifndef SNIPEWORKS_TARGET_GATEWAY_H_
#define SNIPEWORKS_TARGET_GATEWAY_H_

#include <chrono>
#include <functional>
#include <string>
#include <unordered_map>

#include "snipeworks/attempt.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/random.h"
#include "snipeworks/trace.h"

namespace snipeworks {

/// Carries attempts to targets over HTTP and brings back how they ended.
class TargetGateway {
 public:
  using OnOutcome =
      std::function<void(AttemptId, const AttemptOutcome& outcome)>;
  using OnProbe = std::function<void(AttemptId, ProbeState state)>;

  /// `prefix` makes attempt ids unique over hosts and restarts.
  TargetGateway(EventLoop& loop,
                std::string prefix,
                SpanWriter& spans,
                Random& random,
                OnOutcome on_outcome,
                OnProbe on_probe);

  void Start(const AttemptCommand& command);
  void Cancel(AttemptId attempt);
  void Probe(AttemptId attempt);

  /// At most `share` connections to `address`; one is opened ahead of use.
  void SetMaxConnections(const std::string& address, std::uint32_t share);

 private:
  struct Running {
    HttpCallId call = 0;
    std::string name;  ///< The attempt's name on the wire.
    AttemptCommand command;
    TraceContext context;
    std::string parent_span;
    std::chrono::system_clock::time_point started;
    bool cancelled = false;
  };

  void OnAnswer(AttemptId attempt, const HttpCallResult& result);
  /// Asks the target up to `tries` times whether it is still there.
  void VerifyLoss(const Running& running, int tries);
  void Report(const Running& running, const AttemptOutcome& outcome);
  /// A call about an attempt, to the target that got it.
  static HttpCall CallAbout(const Running& running, const char* path);

  EventLoop& loop_;
  HttpClient client_;
  std::string prefix_;
  SpanWriter& spans_;
  Random& random_;
  OnOutcome on_outcome_;
  OnProbe on_probe_;
  std::unordered_map<AttemptId, Running> running_;
  std::unordered_map<std::string, std::uint32_t> shares_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_GATEWAY_H_
