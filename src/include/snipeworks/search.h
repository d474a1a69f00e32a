#ifndef SNIPEWORKS_SEARCH_H_
#define SNIPEWORKS_SEARCH_H_

#include <algorithm>
#include <compare>
#include <cstddef>
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

/// Priority of a request; smaller values are served first.
enum class RequestClass { kUrgent, kNormal, kRoutine };

/// Number of request classes.
inline constexpr std::size_t kRequestClasses = 3;

/// "urgent", "normal" or "routine".
const char* ToString(RequestClass request_class);

/// The class with this name, or nothing if there is none.
std::optional<RequestClass> ParseRequestClass(std::string_view name);

/// Number of ranks of customers; larger ones count as the last.
inline constexpr std::size_t kCustomerRanks = 3;

/// The order in which requests are served: by the rank of the customer, then by
/// class.
struct Priority {
  std::uint32_t customer_rank = 0;  ///< 0 is served first.
  RequestClass request_class = RequestClass::kNormal;

  /// A number below kPriorityLevels; smaller ones are served first.
  std::size_t Level() const {
    return std::min<std::size_t>(customer_rank, kCustomerRanks - 1) *
               kRequestClasses +
           static_cast<std::size_t>(request_class);
  }

  friend auto operator<=>(const Priority&, const Priority&) = default;
};

/// Number of levels of Priority.
inline constexpr std::size_t kPriorityLevels = kCustomerRanks * kRequestClasses;

/// The groups that a forwarded request is sent to: one part for each of
/// `groups`. Any target of a group can run its part.
struct SearchPlan {
  std::string name;           ///< Requests with this name share statistics.
  std::uint64_t version = 0;  ///< Of the routing table of the plan.
  std::vector<std::string> groups;
  GroupPolicy policy;
};

/// A search request of a caller.
struct SearchRequest {
  RequestId id = 0;
  std::string group;
  std::string query;
  std::string caller;
  RequestClass request_class = RequestClass::kNormal;
  std::string customer;  ///< Whose key the request had; empty for none.
  /// Goes before the class: 0 is served first.
  std::uint32_t customer_rank = 0;
  std::optional<Duration> budget;  ///< As set by the caller.
  std::uint32_t limit = 10;        ///< Maximum number of hits.
  std::string trace_parent;        ///< W3C traceparent of the entry's span.
  /// False if the request may run at most once.
  bool repeatable = true;
  /// Set together, for a request that is forwarded unchanged. `group` is then
  /// the name of the plan, and `query` and `limit` are unused.
  std::shared_ptr<const SearchPlan> plan;
  std::shared_ptr<const ForwardedRequest> forwarded;

  Priority priority() const { return {customer_rank, request_class}; }

  friend bool operator==(const SearchRequest&, const SearchRequest&) = default;
};

/// Why an answer lacks a part.
enum class MissingReason {
  kLate,
  kRefused,
  kNoTarget,
  kWrongSnapshot,
  kFailed,
  kOverloaded,  ///< Not run, as it would have come too late.
  kEvacuated,   ///< The targets that are left are in evacuated zones.
};

/// "late", "refused", "no-target", "wrong-snapshot", "failed", "overloaded" or
/// "evacuated".
const char* ToString(MissingReason reason);

/// A part that is missing from an answer.
struct MissingPart {
  PartNumber part = 0;
  std::uint64_t documents = 0;
  MissingReason reason = MissingReason::kLate;

  friend auto operator<=>(const MissingPart&, const MissingPart&) = default;
};

/// The share of the pinned snapshot that an answer covers.
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

/// Number of attempts of a request, by kind.
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
  /// For a forwarded request: the answers of the parts, in plan order.
  std::vector<std::shared_ptr<const TargetAnswer>> answers;
  AttemptCounts attempts;

  friend bool operator==(const SearchAnswer&, const SearchAnswer&) = default;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_SEARCH_H_
