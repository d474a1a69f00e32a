#ifndef SNIPEWORKS_FORWARD_GATEWAY_H_
#define SNIPEWORKS_FORWARD_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "snipeworks/attempt.h"
#include "snipeworks/edge_names.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/string_map.h"

namespace snipeworks {

/// Carries forwarded requests to targets and brings back how they ended.
class ForwardGateway {
 public:
  using OnOutcome =
      std::function<void(AttemptId, const AttemptOutcome& outcome)>;

  ForwardGateway(EventLoop& loop, const ForwardNames& names, OnOutcome done);

  /// The outcome is kLost only if the target is gone.
  void Start(const AttemptCommand& command);
  void Cancel(AttemptId attempt);
  /// Takes back the attempts for `target` that wait for a connection; each ends
  /// as not sent.
  void Withdraw(const std::string& target);

  /// At most `share` connections to `address`.
  void SetMaxConnections(const std::string& address, std::uint32_t share);

  const HttpClientTraffic& traffic() const { return client_.traffic(); }

 private:
  struct Running {
    HttpCallId call = 0;
    std::string target;
    std::string address;
    bool other_zone = false;
    /// Set while the target is asked whether it is there.
    std::optional<AttemptOutcome> lost;
  };

  void VerifyLoss(AttemptId attempt, int tries);
  void Report(AttemptId attempt, const AttemptOutcome& outcome);

  const ForwardNames& names_;
  HttpClient client_;
  OnOutcome on_outcome_;
  std::unordered_map<AttemptId, Running> running_;
  StringMap<std::uint32_t> shares_;
};

/// What a forwarded request's call came to.
///
/// Only an answer that says so proves that the request was not run; a success
/// without the target's signature is none.
AttemptOutcome ForwardOutcomeOf(HttpCallResult result,
                                const ForwardNames& names);

/// Reads "running, waiting, slots" and, if it is there, the work in percent of
/// the usual. Nothing if it cannot be read.
std::optional<ReportedLoad> ParseLoad(std::string_view text);

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARD_GATEWAY_H_
