#ifndef SNIPEWORKS_SEARCH_H_
#define SNIPEWORKS_SEARCH_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "snipeworks/attempt.h"
#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/policy.h"
#include "snipeworks/snapshot.h"

namespace snipeworks {

/// How urgent a request is; smaller goes first.
enum class RequestClass { kUrgent, kNormal, kRoutine };

/// Number of request classes.
inline constexpr std::size_t kRequestClasses = 3;

/// "urgent", "normal" or "routine".
const char* ToString(RequestClass request_class);

/// The class of that name, if there is one.
std::optional<RequestClass> ParseRequestClass(std::string_view name);

/// Where a forwarded request goes: one part for each of `groups`, each of which
/// any target of that group can run.
struct SearchPlan {
  std::string name;           ///< Requests with one name share what is learnt.
  std::uint64_t version = 0;  ///< Of the routing that the plan comes from.
  std::vector<std::string> groups;
  GroupPolicy policy;
};

/// A caller's search, as the filters have checked it.
struct SearchRequest {
  RequestId id = 0;
  std::string group;
  std::string query;
  std::string caller;
  RequestClass request_class = RequestClass::kNormal;
  std::optional<Duration> budget;  ///< As the caller set it.
  std::uint32_t limit = 10;        ///< Most hits wanted.
  std::string trace_parent;        ///< W3C traceparent of the entry's span.
  /// False if the request may run once at most.
  bool repeatable = true;
  /// Set together, for a request that targets get as its caller sent it;
  /// `group` is the plan's name then, and `query` and `limit` do not count.
  std::shared_ptr<const SearchPlan> plan;
  std::shared_ptr<const ForwardedRequest> forwarded;

  friend bool operator==(const SearchRequest&, const SearchRequest&) = default;
};

/// Why a part is missing from an answer.
enum class MissingReason {
  kLate,
  kRefused,
  kNoTarget,
  kWrongSnapshot,
  kFailed
};

/// "late", "refused", "no-target", "wrong-snapshot" or "failed".
const char* ToString(MissingReason reason);

/// A part that the answer does not cover.
struct MissingPart {
  PartNumber part = 0;
  std::uint64_t documents = 0;
  MissingReason reason = MissingReason::kLate;

  friend auto operator<=>(const MissingPart&, const MissingPart&) = default;
};

/// How much of the pinned snapshot an answer covers.
struct Coverage {
  std::uint32_t parts_total = 0;
  std::uint32_t parts_answered = 0;
  std::uint64_t documents_total = 0;
  std::uint64_t documents_answered = 0;
  std::vector<MissingPart> missing;

  /// True if every document was searched.
  bool complete() const { return documents_answered == documents_total; }

  friend auto operator<=>(const Coverage&, const Coverage&) = default;
};

/// Attempts that a request cost.
struct AttemptCounts {
  std::uint32_t primary = 0;
  std::uint32_t hedge = 0;
  std::uint32_t retry = 0;
  std::uint32_t replacement = 0;

  friend auto operator<=>(const AttemptCounts&, const AttemptCounts&) = default;
};

/// The merged answer to a search.
struct SearchAnswer {
  SnapshotId snapshot;
  Coverage coverage;
  std::vector<Hit> hits;  ///< Best first.
  /// Of a forwarded request: the parts' answers, in the order of the plan.
  std::vector<std::shared_ptr<const TargetAnswer>> answers;
  AttemptCounts attempts;

  friend bool operator==(const SearchAnswer&, const SearchAnswer&) = default;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_SEARCH_H_
