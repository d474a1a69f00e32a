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

/// What a target is asked to run.
struct RunRequest {
  std::string attempt;  ///< Echoed in the answer.
  std::string group;
  SnapshotId snapshot;
  PartNumber part = 0;
  std::string query;
  Duration budget{};
  std::string idempotency_key;  ///< Empty unless not repeatable.

  friend bool operator==(const RunRequest&, const RunRequest&) = default;
};

/// The JSON form of a run request.
std::string ToJson(const RunRequest& request);
/// Reads the JSON form. Fails with kBadRequest and the reason.
Result<RunRequest> ParseRunRequest(std::string_view json);

/// A target's answer to a run request, with the attempt it echoes.
struct RunAnswer {
  std::string attempt;
  AttemptOutcome outcome;

  friend bool operator==(const RunAnswer&, const RunAnswer&) = default;
};

/// The JSON form of an answer.
std::string ToJson(const RunAnswer& answer);
/// Reads the JSON form. Fails with kBadRequest and the reason.
Result<RunAnswer> ParseRunAnswer(std::string_view json);

/// The HTTP status that goes with an outcome.
int HttpStatusOf(AttemptStatus status);

/// How an attempt ended whose call brought no answer; nothing if it brought
/// one. `on_timeout` is what a call without an answer in its time means.
std::optional<AttemptStatus> UnansweredStatus(HttpCallStatus status,
                                              AttemptStatus on_timeout);

/// What a call to kRunPath for `attempt` came to. An answer that echoes another
/// attempt is never taken.
AttemptOutcome OutcomeOf(const HttpCallResult& result,
                         const std::string& attempt);

/// What a call to kProbePath came to.
ProbeAnswer ParseProbeAnswer(const HttpCallResult& result);

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_PROTOCOL_H_
