#ifndef SNIPEWORKS_ATTEMPT_H_
#define SNIPEWORKS_ATTEMPT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/forwarded_request.h"
#include "snipeworks/snapshot.h"

namespace snipeworks {

/// Identifies one attempt; unique within a run of an entry host. On the wire it
/// is joined with the host's own random prefix.
using AttemptId = std::uint64_t;

/// Attempts of requests that are not repeatable have this bit, so that one
/// gateway can serve them and searches.
inline constexpr AttemptId kActionBit = AttemptId{1} << 62;

/// True for an attempt of a request that is not repeatable.
inline bool IsActionAttempt(AttemptId attempt) {
  return (attempt & kActionBit) != 0;
}

/// Identifies one caller's request within a run of an entry host.
using RequestId = std::uint64_t;

/// Why an attempt is made.
enum class AttemptKind {
  kPrimary,
  kHedge,        ///< Beside an attempt that is slow.
  kRetry,        ///< After an attempt that may have run.
  kReplacement,  ///< After an attempt that is proved not to have run.
};

/// Values of AttemptKind.
inline constexpr std::size_t kAttemptKinds = 4;

/// "primary", "hedge", "retry" or "replacement".
const char* ToString(AttemptKind kind);

/// One match in an index part.
struct Hit {
  std::string document;
  double score = 0.0;

  friend auto operator<=>(const Hit&, const Hit&) = default;
};

/// One request to one target for one index part.
struct AttemptCommand {
  AttemptId id = 0;
  RequestId request = 0;
  AttemptKind kind = AttemptKind::kPrimary;
  std::string target;
  std::uint64_t incarnation = 0;  ///< Of the target, as it was chosen.
  std::string address;            ///< "IP:port".
  std::string group;
  SnapshotId snapshot;
  PartNumber part = 0;
  std::shared_ptr<const std::string> query;
  /// Set for a request that is passed on as its caller sent it.
  std::shared_ptr<const ForwardedRequest> forwarded;
  Duration budget{};  ///< Time left, passed on to the target.
  /// The target is in another availability zone than this host.
  bool other_zone = false;
  /// True if the attempt may not use a connection that has been idle.
  bool fresh_connection = false;
  bool repeatable = true;  ///< False if it may run once at most.
  /// Set only for a request that is not repeatable.
  std::string idempotency_key;
  std::string trace_parent;  ///< W3C traceparent for the target.
};

/// How an attempt ended.
enum class AttemptStatus {
  kAnswered,
  kShed,           ///< Refused for load; was not run.
  kDraining,       ///< Refused because the target leaves; was not run.
  kWrongTarget,    ///< Another target has the address; was not run.
  kWrongSnapshot,  ///< The target lacks the snapshot or part; was not run.
  kNotSent,        ///< No connection; no byte was sent.
  kLost,           ///< The connection broke after the request was sent.
  kSilent,         ///< The target never saw the request; was not run.
  kFailed,         ///< The target answered with an error; may have run.
  kCancelled,
};

/// Values of AttemptStatus.
inline constexpr std::size_t kAttemptStatuses = 10;

/// True if `status` proves that the target did not run the attempt.
bool ProvesNotRun(AttemptStatus status);

/// A stable name for logs and metrics.
const char* ToString(AttemptStatus status);

/// What came back from an attempt.
struct AttemptOutcome {
  AttemptStatus status = AttemptStatus::kFailed;
  SnapshotId snapshot;          ///< As the target echoed it.
  PartNumber part = 0;          ///< As the target echoed it.
  std::uint64_t documents = 0;  ///< Documents that the target searched.
  std::vector<Hit> hits;
  /// To a forwarded request: the target's answer, failures included.
  std::shared_ptr<const TargetAnswer> answer;
  std::optional<ReportedLoad> load;  ///< As the answer tells it.
  Duration queue_time{};             ///< Time in the target's own queue.
  /// The target wants nothing from this host for so long.
  Duration retry_after{};
  /// The target takes no new work from now on, whatever else it answered.
  bool draining = false;

  friend bool operator==(const AttemptOutcome&,
                         const AttemptOutcome&) = default;
};

/// What a target says of an attempt when asked over another connection.
enum class ProbeState { kRunning, kUnknown, kFinished, kUnreachable };

/// The answer to a probe.
struct ProbeAnswer {
  ProbeState state = ProbeState::kUnreachable;
  std::uint64_t incarnation = 0;  ///< Of the target that answered.

  friend bool operator==(const ProbeAnswer&, const ProbeAnswer&) = default;
};

/// True if the target sent a response, whatever it says.
bool HasResponded(const AttemptOutcome& outcome);

}  // namespace snipeworks

#endif  // SNIPEWORKS_ATTEMPT_H_
