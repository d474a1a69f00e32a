#ifndef SNIPEWORKS_TARGET_PROTOCOL_H_
#define SNIPEWORKS_TARGET_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "snipeworks/attempt.h"
#include "snipeworks/error.h"
#include "snipeworks/http_client.h"

namespace snipeworks {

/// Paths that a target serves.
inline constexpr char kRunPath[] = "/v1/run";
inline constexpr char kCancelPath[] = "/v1/cancel";
inline constexpr char kProbePath[] = "/v1/probe";

/// A request to run one attempt at a target.
struct RunRequest {
  std::string attempt;  ///< Attempt id, echoed in the answer.
  std::string group;
  SnapshotId snapshot;
  PartNumber part = 0;
  std::string query;
  Duration budget{};
  std::string idempotency_key;  ///< Empty unless not repeatable.

  friend bool operator==(const RunRequest&, const RunRequest&) = default;
};

std::string ToJson(const RunRequest& request);
/// Parses the JSON form. Fails with kBadRequest and the reason.
Result<RunRequest> ParseRunRequest(std::string_view json);

/// A target's answer to a run request.
struct RunAnswer {
  std::string attempt;  ///< Echo of RunRequest::attempt.
  AttemptOutcome outcome;

  friend bool operator==(const RunAnswer&, const RunAnswer&) = default;
};

std::string ToJson(const RunAnswer& answer);
/// Parses the JSON form. Fails with kBadRequest and the reason.
Result<RunAnswer> ParseRunAnswer(std::string_view json);

/// The HTTP status of an answer with this outcome.
int HttpStatusOf(AttemptStatus status);

/// The status of an attempt whose call got no answer; nullopt if it got one. A
/// call that timed out maps to `on_timeout`.
std::optional<AttemptStatus> UnansweredStatus(HttpCallStatus status,
                                              AttemptStatus on_timeout);

/// The outcome of a call to kRunPath for `attempt`. An answer that echoes
/// another attempt counts as a failure.
AttemptOutcome OutcomeOf(const HttpCallResult& result,
                         const std::string& attempt);

/// The outcome of a call to kProbePath.
ProbeAnswer ParseProbeAnswer(const HttpCallResult& result);

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_PROTOCOL_H_
