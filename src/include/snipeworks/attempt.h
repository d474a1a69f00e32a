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
#include "snipeworks/request_limit.h"
#include "snipeworks/snapshot.h"

namespace snipeworks {

/// Identifies one attempt; unique within one run of an entry host. On the wire
/// it is prefixed with a random value of the host.
using AttemptId = std::uint64_t;

/// Set in the ids of attempts of non-repeatable requests, so that one gateway
/// can handle both them and searches.
inline constexpr AttemptId kActionBit = AttemptId{1} << 62;

/// True for an attempt of a non-repeatable request.
inline bool IsActionAttempt(AttemptId attempt) {
  return (attempt & kActionBit) != 0;
}

/// Identifies one caller's request within a run of an entry host.
using RequestId = std::uint64_t;

/// Why an attempt is sent.
enum class AttemptKind {
  kPrimary,
  kHedge,        ///< In parallel with a slow attempt.
  kRetry,        ///< After an attempt that may have run.
  kReplacement,  ///< After an attempt that provably was not run.
};

/// Number of AttemptKind values.
inline constexpr std::size_t kAttemptKinds = 4;

/// "primary", "hedge", "retry" or "replacement".
const char* ToString(AttemptKind kind);

/// One document that matches a query.
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
  std::uint64_t incarnation = 0;  ///< Of the target when it was chosen.
  std::string address;            ///< "IP:port".
  std::string group;
  SnapshotId snapshot;
  PartNumber part = 0;
  std::shared_ptr<const std::string> query;
  /// Set for a request that is forwarded unchanged.
  std::shared_ptr<const ForwardedRequest> forwarded;
  Duration budget{};  ///< Time left, sent to the target.
  /// True if the target is in another availability zone than this host.
  bool other_zone = false;
  /// True if the attempt must not reuse an idle connection.
  bool fresh_connection = false;
  bool repeatable = true;  ///< False if it may run at most once.
  /// Set only for a non-repeatable request.
  std::string idempotency_key;
  std::string trace_parent;  ///< W3C traceparent for the target.
};

/// How an attempt ended.
enum class AttemptStatus {
  kAnswered,
  kShed,           ///< Refused because of load; was not run.
  kDraining,       ///< Refused because the target drains; was not run.
  kWrongTarget,    ///< Another target uses the address; was not run.
  kWrongSnapshot,  ///< The target does not hold the part; was not run.
  kNotSent,        ///< No connection, so nothing was sent.
  kLost,           ///< The connection broke after the request was sent.
  kSilent,         ///< The target did not receive the request; was not run.
  kFailed,         ///< The target answered with an error; may have run.
  kCancelled,
};

/// Number of AttemptStatus values.
inline constexpr std::size_t kAttemptStatuses = 10;

/// True if `status` proves that the target did not run the attempt.
bool ProvesNotRun(AttemptStatus status);

/// The name of `status` in logs and metrics.
const char* ToString(AttemptStatus status);

/// The result of an attempt.
struct AttemptOutcome {
  AttemptStatus status = AttemptStatus::kFailed;
  SnapshotId snapshot;          ///< As echoed by the target.
  PartNumber part = 0;          ///< As echoed by the target.
  std::uint64_t documents = 0;  ///< Documents that the target searched.
  std::vector<Hit> hits;
  /// For a forwarded request: the target's answer, including error answers.
  std::shared_ptr<const TargetAnswer> answer;
  std::optional<ReportedLoad> load;  ///< As reported in the answer.
  /// As stated in the answer; nothing if there is none that can be read.
  std::optional<StatedLimit> stated_limit;
  Duration queue_time{};  ///< Time spent in the target's queue.
  /// How long this host must not send to the target.
  Duration retry_after{};
  /// True if the target reports that it drains, whatever its status.
  bool draining = false;
  /// True if the attempt used a connection that was opened for it.
  bool new_connection = false;
  /// True if no connection could be opened.
  bool connect_failed = false;

  friend bool operator==(const AttemptOutcome&,
                         const AttemptOutcome&) = default;
};

/// The state of an attempt, as its target reports it over another connection.
enum class ProbeState { kRunning, kUnknown, kFinished, kUnreachable };

/// The answer to a probe.
struct ProbeAnswer {
  ProbeState state = ProbeState::kUnreachable;
  std::uint64_t incarnation = 0;  ///< Of the target that answered.

  friend bool operator==(const ProbeAnswer&, const ProbeAnswer&) = default;
};

/// True if the target sent a response, whatever its status.
bool HasResponded(const AttemptOutcome& outcome);

}  // namespace snipeworks

#endif  // SNIPEWORKS_ATTEMPT_H_
