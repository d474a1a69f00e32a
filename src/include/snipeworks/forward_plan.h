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

/// Decides which plan a request on a route follows.
///
/// Load pattern: a route that is split over groups by weight, from many entry
/// hosts that each see a few requests. The shares hold over every few requests
/// of a host, and hosts start at different places of the cycle.
class ForwardPlanner {
 public:
  /// `policy` holds for what a route does not say. An answer over all shards
  /// goes out `answer_margin` before the route's objective.
  ForwardPlanner(const GroupPolicy& policy,
                 Duration answer_margin,
                 std::uint64_t seed);

  /// Puts a version in force for the requests that follow.
  void UseRouting(Routing routing);

  /// Null until a first version is in force.
  const RouteTable* table() const { return table_.get(); }

  /// The plan of the next request on `route`, which is one of table().
  std::shared_ptr<const SearchPlan> Plan(const Route& route);

 private:
  // The plans of one route: one for each group, or one over all shards.
  struct Choice {
    std::vector<std::shared_ptr<const SearchPlan>> plans;
    std::vector<double> weights;
    std::vector<double> due;  ///< Requests that each plan is behind.
  };

  Choice MakeChoice(const Route& route);
  GroupPolicy PolicyOf(const Route& route) const;

  GroupPolicy policy_;
  Duration answer_margin_;
  Random random_;
  std::unique_ptr<RouteTable> table_;
  std::unordered_map<const Route*, Choice> choices_;
};

/// The class of a route's rank.
RequestClass ClassOfRank(std::uint32_t rank);

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARD_PLAN_H_
