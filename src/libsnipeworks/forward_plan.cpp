#include "snipeworks/forward_plan.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// The answer of a route with a short objective goes out after this share of it
// at the earliest, whatever the margin.
constexpr double kLeastObjectiveShare = 0.5;

}  // namespace

ForwardPlanner::ForwardPlanner(const GroupPolicy& policy,
                               Duration answer_margin,
                               std::uint64_t seed)
    : policy_(policy), answer_margin_(answer_margin), random_(seed) {}

void ForwardPlanner::UseRouting(Routing routing) {
  choices_.clear();
  table_ = std::make_unique<RouteTable>(std::move(routing));
}

GroupPolicy ForwardPlanner::PolicyOf(const Route& route) const {
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
      std::max(objective - margin, objective * kLeastObjectiveShare));
  policy.objective_ms = policy.soft_deadline_ms;
  policy.min_coverage_permille = static_cast<std::int64_t>(
      std::ceil(route.min_shard_share * 1000.0 - 1e-6));
  return policy;
}

ForwardPlanner::Choice ForwardPlanner::MakeChoice(const Route& route) {
  Choice choice;
  const auto add = [&](std::string name, std::vector<std::string> groups) {
    choice.plans.push_back(std::make_shared<SearchPlan>(
        SearchPlan{std::move(name), table_->routing().version,
                   std::move(groups), PolicyOf(route)}));
  };
  if (!route.shards.empty()) {
    add(route.name, route.shards);
    choice.weights.push_back(1.0);
  }
  for (const WeightedGroup& one : route.groups) {
    if (one.weight > 0) {
      add(route.name + "/" + one.group, {one.group});
      choice.weights.push_back(one.weight);
    }
  }
  const double whole =
      std::accumulate(choice.weights.begin(), choice.weights.end(), 0.0);
  for (double& weight : choice.weights) {
    weight /= whole;
    choice.due.push_back(random_.Unit() * weight);
  }
  return choice;
}

// The plan that is furthest behind its share goes next.
std::shared_ptr<const SearchPlan> ForwardPlanner::Plan(const Route& route) {
  auto found = choices_.find(&route);
  if (found == choices_.end()) {
    found = choices_.emplace(&route, MakeChoice(route)).first;
  }
  Choice& choice = found->second;
  if (choice.plans.size() == 1) {
    return choice.plans.front();
  }
  for (std::size_t i = 0; i < choice.due.size(); ++i) {
    choice.due[i] += choice.weights[i];
  }
  const auto next = std::ranges::max_element(choice.due);
  *next -= 1.0;
  return choice.plans[static_cast<std::size_t>(next - choice.due.begin())];
}

RequestClass ClassOfRank(std::uint32_t rank) {
  return static_cast<RequestClass>(
      std::min<std::size_t>(rank, kRequestClasses - 1));
}

}  // namespace snipeworks
