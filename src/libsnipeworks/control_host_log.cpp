// Log lines of a control host about its state.

#include <algorithm>
#include <utility>

#include "snipeworks/control_host.h"
#include "snipeworks/target_events.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// When the lack of a leader is logged first, and how often from then on.
constexpr Duration kNoLeaderDelay = milliseconds(2000);
constexpr Duration kNoLeaderLogInterval = milliseconds(5000);

}  // namespace

void ControlHost::LogStateChanges() {
  const std::string leader = node_ ? node_->leader() : "";
  if (leader != logged_leader_) {
    const std::string own = MemberName(settings_);
    if (leader == own || logged_leader_ == own) {
      log_.Write(leader == own ? EventKind::kLeading : EventKind::kNotLeading,
                 {{"term", node_ ? node_->term() : 0}, {"leader", leader}});
    }
    logged_leader_ = leader;
  }
  const bool current = IsCurrent();
  if (current != std::exchange(logged_current_, current)) {
    log_.Write(
        current ? EventKind::kCurrent : EventKind::kNotCurrent,
        {{"leader", leader}, {"commit", node_ ? node_->commit_index() : 0}});
  }
  const std::uint64_t version = state_.routing().version;
  if (version != std::exchange(logged_routing_version_, version)) {
    log_.Write(EventKind::kRoutingInForce, {{"version", version}});
  }
  LogEvacuations(log_, logged_evacuations_, state_.evacuated_zones());
  logged_evacuations_ = state_.evacuated_zones();
  const std::string members = MembersText();
  if (members != logged_members_) {
    logged_members_ = members;
    log_.Write(EventKind::kMembers, {{"members", members}});
  }
  LogRedundancy(MonotonicNow());
}

std::string ControlHost::MembersText() const {
  std::string text;
  if (node_) {
    for (const Member& member : node_->members()) {
      text += (text.empty() ? "" : " ") + member.address +
              (member.voter ? "" : "(no vote)");
    }
  }
  return text;
}

void ControlHost::LogRedundancy(Instant now) {
  const auto redundancy = node_ ? node_->redundancy(now) : std::nullopt;
  if (redundancy && redundancy != logged_redundancy_) {
    log_.Write(EventKind::kRedundancy,
               {{"voters", redundancy->voters},
                {"answering", redundancy->answering},
                {"quorum", redundancy->quorum},
                {"joining", redundancy->joining},
                {"losses_left", redundancy->losses_left()}});
  }
  logged_redundancy_ = redundancy;
  if (!node_ || !node_->leader().empty()) {
    leader_known_at_ = now;
    no_leader_logged_at_ = now;
  } else if (now - leader_known_at_ >= kNoLeaderDelay &&
             (no_leader_logged_at_ == leader_known_at_ ||
              now - no_leader_logged_at_ >= kNoLeaderLogInterval)) {
    no_leader_logged_at_ = now;
    log_.Write(EventKind::kNoLeader, {{"for_ms", now - leader_known_at_},
                                      {"role", ToString(node_->role())},
                                      {"votes", node_->votes()},
                                      {"quorum", node_->quorum()},
                                      {"members", MembersText()}});
  }
}

}  // namespace snipeworks
