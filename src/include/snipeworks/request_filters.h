#ifndef SNIPEWORKS_REQUEST_FILTERS_H_
#define SNIPEWORKS_REQUEST_FILTERS_H_

#include <concepts>
#include <functional>
#include <memory>
#include <tuple>
#include <utility>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/error.h"
#include "snipeworks/group_state.h"
#include "snipeworks/part_queue.h"
#include "snipeworks/poison_tracker.h"
#include "snipeworks/random.h"
#include "snipeworks/replica_selector.h"
#include "snipeworks/search.h"

namespace snipeworks {

/// The state of a new search that the filters fill in.
struct SearchContext {
  Instant now{};
  const SearchRequest& request;
  GroupState* group = nullptr;
  Duration budget{};
  std::shared_ptr<const PinnedSnapshot> snapshot;
  std::vector<std::size_t> left_out;  ///< Parts that are not to be run.
  Fingerprint fingerprint = 0;
  PoisonTracker::Verdict verdict = PoisonTracker::Verdict::kUnknown;
};

/// A filter either refuses a search or adds to its context.
template <typename F>
concept RequestFilter = requires(F filter, SearchContext& context) {
  { filter.Apply(context) } -> std::same_as<Result<void>>;
};

/// Applies filters in order until one refuses the search.
template <RequestFilter... Filters>
class FilterChain {
 public:
  explicit FilterChain(Filters... filters) : filters_(std::move(filters)...) {}

  Result<void> Apply(SearchContext& context) {
    Result<void> result;
    std::apply(
        [&](Filters&... filter) {
          ((result = filter.Apply(context)).has_value() && ...);
        },
        filters_);
    return result;
  }

 private:
  std::tuple<Filters...> filters_;
};

/// Refuses empty and oversized queries and unusable deadlines.
class SyntaxFilter {
 public:
  Result<void> Apply(SearchContext& context);
};

/// Looks up the group and determines the time budget and the pinned snapshot.
class SnapshotFilter {
 public:
  using FindGroup = std::function<GroupState*(const std::string&)>;

  SnapshotFilter(const TargetView& view, FindGroup find_group)
      : view_(view), find_group_(std::move(find_group)) {}
  Result<void> Apply(SearchContext& context);

 private:
  const TargetView& view_;
  FindGroup find_group_;
};

/// Refuses requests that crash targets.
class QuarantineFilter {
 public:
  explicit QuarantineFilter(PoisonTracker& poison) : poison_(poison) {}
  Result<void> Apply(SearchContext& context);

 private:
  PoisonTracker& poison_;
};

/// Refuses searches that cannot finish within their deadline, and leaves out
/// parts that cannot; see AdmitParts.
class AdmissionFilter {
 public:
  AdmissionFilter(const PartQueue& queue,
                  ReplicaSelector& selector,
                  Random& random)
      : queue_(queue), selector_(selector), random_(random) {}
  Result<void> Apply(SearchContext& context);

 private:
  /// The expected wait of each part.
  std::vector<Duration> ExpectedWaits(const SearchContext& context) const;

  int Capacity(Instant now, const std::vector<std::string>& replicas) const;

  const PartQueue& queue_;
  ReplicaSelector& selector_;
  Random& random_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_REQUEST_FILTERS_H_
