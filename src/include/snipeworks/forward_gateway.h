#ifndef SNIPEWORKS_FORWARD_GATEWAY_H_
#define SNIPEWORKS_FORWARD_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "snipeworks/attempt.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/protocol_names.h"
#include "snipeworks/string_map.h"

namespace snipeworks {

/// Sends forwarded requests to targets and reports their outcomes.
class ForwardGateway {
 public:
  using OnOutcome =
      std::function<void(AttemptId, const AttemptOutcome& outcome)>;

  ForwardGateway(EventLoop& loop,
                 const ForwardNames& names,
                 OnOutcome on_outcome);

  /// The outcome is kLost only if the target refuses a new connection.
  void Start(const AttemptCommand& command);
  void Cancel(AttemptId attempt);
  /// Aborts the attempts for `target` that wait for a connection; each ends as
  /// kNotSent.
  void CancelUnsent(const std::string& target);

  /// Limits the connections to `address`.
  void SetMaxConnections(const std::string& address,
                         std::uint32_t max_connections);

  /// See HttpClient.
  void TestConnection(const std::string& address,
                      std::function<void(bool reached)> done);
  void SimulateCut(std::optional<CutKind> cut) { client_.SimulateCut(cut); }

  const HttpClientTraffic& traffic() const { return client_.traffic(); }

 private:
  struct PendingAttempt {
    HttpCallId call = 0;
    std::string target;
    std::string address;
    bool other_zone = false;
    /// The outcome to report, set while VerifyTargetLoss() checks the target.
    std::optional<AttemptOutcome> unverified;
  };

  void VerifyTargetLoss(AttemptId attempt, int tries);
  void Report(AttemptId attempt, const AttemptOutcome& outcome);

  const ForwardNames& names_;
  HttpClient client_;
  OnOutcome on_outcome_;
  std::unordered_map<AttemptId, PendingAttempt> running_;
  StringMap<std::uint32_t> max_connections_;
};

/// The outcome of a forwarded request's call.
///
/// Only a status or header of the answer proves that the request was not run.
/// Any other answer without the target's signature counts as a failure, and is
/// not passed on.
AttemptOutcome ForwardOutcomeOf(HttpCallResult result,
                                const ForwardNames& names);

/// Parses "running, waiting, slots" and an optional service time in percent of
/// the usual one. Returns nullopt if the text is malformed.
std::optional<ReportedLoad> ParseLoadHeader(std::string_view text);

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARD_GATEWAY_H_
