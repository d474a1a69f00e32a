// What a forwarding host learns from control hosts: targets, their conditions,
// routes and evacuated zones.

#include <algorithm>
#include <utility>

#include "snipeworks/forward_host.h"
#include "snipeworks/target_events.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// A target that becomes known later than this after the start of the host has
// just started: then no wall clock is needed, which may be wrong.
constexpr Duration kFirstSync = std::chrono::seconds(10);
// 2001-09-09, in milliseconds since 1970.
constexpr std::int64_t kEarliestStartMs = 1'000'000'000'000;

// The incarnation of a target is the time of its start, in milliseconds since
// 1970, if its protocol says so. A number too small for that tells nothing.
Duration UptimeOf(const Announcement& announcement) {
  const auto started_ms = static_cast<std::int64_t>(announcement.incarnation);
  const std::int64_t now_ms = WallMillisecondsNow();
  return started_ms >= kEarliestStartMs && started_ms < now_ms
             ? milliseconds(now_ms - started_ms)
             : Duration{};
}

}  // namespace

void ForwardHost::OnTargets(const std::vector<Announcement>& changes) {
  const Instant now = MonotonicNow();
  const bool first_sync = now - started_ < kFirstSync;
  for (const Announcement& announcement : changes) {
    const AnnounceResult change =
        searches_.Announce(now, announcement, {},
                           first_sync ? UptimeOf(announcement) : Duration{});
    if (change == AnnounceResult::kChange) {
      LogTargetChange(log_, announcement, "control");
      if (announcement.state != TargetState::kServing) {
        gateway_.CancelUnsent(announcement.target);
      }
    }
  }
}

std::vector<Announcement> ForwardHost::DrainingTargets() const {
  std::vector<Announcement> draining;
  for (const Announcement* target : searches_.view().All()) {
    if (target->state == TargetState::kDraining) {
      draining.push_back(*target);
    }
  }
  return draining;
}

void ForwardHost::OnConditions(const std::vector<TargetCondition>& conditions) {
  searches_.OnConditions(MonotonicNow(), conditions);
  std::size_t slow = 0;
  std::size_t failing = 0;
  const TargetCondition* worst = &conditions.front();
  for (const TargetCondition& condition : conditions) {
    slow +=
        condition.slowness_percent > TargetCondition().slowness_percent ? 1 : 0;
    failing += condition.failing_percent > 0 ? 1 : 0;
    const bool worse =
        std::pair(condition.failing_percent, condition.slowness_percent) >
        std::pair(worst->failing_percent, worst->slowness_percent);
    worst = worse ? &condition : worst;
  }
  log_.Write(
      EventKind::kConditions,
      {{"targets", conditions.size()},
       {"slow", slow},
       {"failing", failing},
       {"worst",
        worst->target + ":slowness=" + std::to_string(worst->slowness_percent) +
            "%,failing=" + std::to_string(worst->failing_percent) + "%"}});
}

void ForwardHost::OnEvacuations(const std::vector<EvacuatedZone>& zones) {
  LogEvacuations(log_, evacuated_zones_, zones);
  evacuated_zones_ = zones;
  std::vector<std::string> names;
  names.reserve(zones.size());
  for (const EvacuatedZone& zone : zones) {
    names.push_back(zone.zone);
  }
  searches_.SetEvacuatedZones(std::move(names));
}

void ForwardHost::OnRouting(const Routing& routing) {
  log_.Write(EventKind::kRoutingInForce,
             {{"version", routing.version},
              {"routes", routing.routes.size()},
              {"customers", routing.customers.size()}});
  StringMap<ColdLimit> cold_limits;
  for (const GroupSpec& group : routing.groups) {
    if (group.max_connections > 0) {
      searches_.SetConnectionLimit(group.name, group.max_connections);
    }
    if (group.cold_requests_per_second > 0.0) {
      cold_limits[group.name] = {group.cold_requests_per_second,
                                 milliseconds(group.cold_start_ms)};
    }
  }
  searches_.SetColdLimits(MonotonicNow(), std::move(cold_limits));
  SetListenerLimits(routing.limits);
  customers_ = CustomerDirectory(routing.customers, key_seed_);
  // The planner needs no customers: their keys take the most memory.
  planner_.SetRouting(
      {routing.version, routing.routes, routing.groups, routing.limits, {}});
  quotas_.SetQuotas(routing);
  ForbidRepeatsByRouting();
}

}  // namespace snipeworks
