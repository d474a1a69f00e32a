#ifndef SNIPEWORKS_FORWARD_PLAN_H_
#define SNIPEWORKS_FORWARD_PLAN_H_

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/policy.h"
#include "snipeworks/random.h"
#include "snipeworks/routing.h"
#include "snipeworks/search.h"

namespace snipeworks {

/// Selects the plan of each request on a route.
///
/// Load pattern: a route that is split over groups by weight, from many entry
/// hosts that each see few requests. Smooth weighted round robin keeps the
/// shares over every few requests of a host, and each host starts at a random
/// position of the cycle.
class ForwardPlanner {
 public:
  /// `policy` supplies what a route does not specify. An answer over all shards
  /// is sent `answer_margin` before the route's objective.
  ForwardPlanner(const GroupPolicy& policy,
                 Duration answer_margin,
                 std::uint64_t seed);

  /// Replaces the routing configuration; it applies to subsequent requests.
  void SetRouting(Routing routing);

  /// Null until the first version is set.
  const RouteTable* table() const { return table_.get(); }

  /// The plan of the next request on `route`, which belongs to table().
  std::shared_ptr<const SearchPlan> Plan(const Route& route);

 private:
  // The plans of one route: one for each group, or one over all shards.
  struct WeightedPlans {
    std::vector<std::shared_ptr<const SearchPlan>> plans;
    std::vector<double> weights;
    /// Number of requests by which each plan is behind its share.
    std::vector<double> deficits;
  };

  WeightedPlans MakePlans(const Route& route);
  GroupPolicy PolicyFor(const Route& route) const;

  GroupPolicy policy_;
  Duration answer_margin_;
  Random random_;
  std::unique_ptr<RouteTable> table_;
  std::unordered_map<const Route*, WeightedPlans> plans_by_route_;
};

/// The request class for a route's rank; ranks past the last class map to it.
RequestClass ClassOfRank(std::uint32_t rank);

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARD_PLAN_H_
