#include "snipeworks/forward_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// The answer of a route with a short objective waits for parts at least this
// share of it, whatever the margin.
constexpr double kMinObjectiveShare = 0.5;

}  // namespace

ForwardPlanner::ForwardPlanner(const GroupPolicy& policy,
                               Duration answer_margin,
                               std::uint64_t seed)
    : policy_(policy), answer_margin_(answer_margin), random_(seed) {}

void ForwardPlanner::SetRouting(Routing routing) {
  plans_by_route_.clear();
  table_ = std::make_unique<RouteTable>(std::move(routing));
}

GroupPolicy ForwardPlanner::PolicyFor(const Route& route) const {
  GroupPolicy policy = policy_;
  policy.deadline_ms = route.timeout_ms;
  policy.max_attempts = std::max(1U, route.max_attempts);
  policy.objective_ms = route.objective_ms;
  if (route.shards.empty()) {
    policy.answer = static_cast<std::int64_t>(AnswerRule::kCoverage);
    return policy;
  }
  const auto objective = static_cast<double>(route.objective_ms);
  const double margin = ToMilliseconds(answer_margin_);
  policy.answer = static_cast<std::int64_t>(AnswerRule::kSoftDeadline);
  policy.soft_deadline_ms = static_cast<std::int64_t>(
      std::max(objective - margin, objective * kMinObjectiveShare));
  policy.objective_ms = policy.soft_deadline_ms;
  policy.min_coverage_permille = static_cast<std::int64_t>(
      std::ceil(route.min_shard_share * 1000.0 - 1e-6));
  return policy;
}

ForwardPlanner::WeightedPlans ForwardPlanner::MakePlans(const Route& route) {
  WeightedPlans weighted;
  const auto add = [&](std::string name, std::vector<std::string> groups) {
    weighted.plans.push_back(std::make_shared<SearchPlan>(
        SearchPlan{std::move(name), table_->routing().version,
                   std::move(groups), PolicyFor(route)}));
  };
  if (!route.shards.empty()) {
    add(route.name, route.shards.names());
    weighted.weights.push_back(1.0);
  }
  for (const WeightedGroup& weighted_group : route.groups) {
    if (weighted_group.weight > 0) {
      add(route.name + "/" + weighted_group.group, {weighted_group.group});
      weighted.weights.push_back(weighted_group.weight);
    }
  }
  const double total =
      std::accumulate(weighted.weights.begin(), weighted.weights.end(), 0.0);
  for (double& weight : weighted.weights) {
    weight /= total;
    weighted.deficits.push_back(random_.Unit() * weight);
  }
  return weighted;
}

// Smooth weighted round robin: selects the plan furthest behind its share.
std::shared_ptr<const SearchPlan> ForwardPlanner::Plan(const Route& route) {
  auto found = plans_by_route_.find(&route);
  if (found == plans_by_route_.end()) {
    found = plans_by_route_.emplace(&route, MakePlans(route)).first;
  }
  WeightedPlans& weighted = found->second;
  if (weighted.plans.size() == 1) {
    return weighted.plans.front();
  }
  for (std::size_t i = 0; i < weighted.deficits.size(); ++i) {
    weighted.deficits[i] += weighted.weights[i];
  }
  const auto next = std::ranges::max_element(weighted.deficits);
  *next -= 1.0;
  return weighted
      .plans[static_cast<std::size_t>(next - weighted.deficits.begin())];
}

RequestClass ClassOfRank(std::uint32_t rank) {
  return static_cast<RequestClass>(
      std::min<std::size_t>(rank, kRequestClasses - 1));
}

}  // namespace snipeworks
