#ifndef SNIPEWORKS_MEMBERSHIP_MESSAGES_H_
#define SNIPEWORKS_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "snipeworks/control_messages.h"
#include "snipeworks/entry_messages.h"
#include "snipeworks/target_condition.h"
#include "snipeworks/wire.h"

namespace snipeworks {

/// Paths of calls to control hosts about targets and routes.
inline constexpr char kControlWatchPath[] = "/control/watch";
inline constexpr char kControlGossipPath[] = "/control/gossip";
inline constexpr char kControlReadPath[] = "/control/read";
inline constexpr char kControlConditionsPath[] = "/control/conditions";

/// An entry host asks for what it does not know; the answer is held back until
/// there is something to tell.
struct WatchRequest {
  std::string host;
  std::string zone;
  std::uint64_t epoch = 0;   ///< Of the control host, as it told; 0 at first.
  std::uint64_t serial = 0;  ///< Of the newest change known; 0 for everything.
  std::uint64_t routing_version = 0;  ///< In force.
  std::uint64_t heard_version = 0;    ///< The newest that anybody has told of.
  /// Routes are wanted from this control host, and not only news of them.
  bool wants_routing = false;
  /// Routes are wanted even from a control host that may be behind.
  bool takes_old_routing = true;
  std::uint64_t control_digest = 0;  ///< Of the control hosts known.
  /// Of the newest conditions known; conditions are told with routes.
  std::uint64_t condition_serial = 0;
  /// What the control host last told: that it hears a leader with a quorum.
  bool told_current = false;
  /// Of the newest evidence known; evidence is told with routes.
  std::uint64_t evidence_serial = 0;
};

template <SameStruct<WatchRequest> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.zone, v.epoch, v.serial, v.routing_version,
                  v.heard_version, v.wants_routing, v.takes_old_routing,
                  v.control_digest, v.condition_serial, v.told_current,
                  v.evidence_serial);
}

/// The answer to a WatchRequest.
struct WatchReply {
  std::string zone;         ///< Of the control host.
  std::uint64_t epoch = 0;  ///< Another one with each start of the host.
  std::uint64_t serial = 0;
  /// Of the targets that serve, see ServingDigest.
  std::uint64_t digest = 0;
  std::vector<Announcement> changes;
  std::uint64_t routing_version = 0;
  std::string routing;  ///< A compressed Routing if it is wanted and newer,
  std::string routing_change;     ///< or a compressed RoutingChange.
  bool current = false;           ///< False if the host may be behind.
  std::uint32_t entry_hosts = 0;  ///< That the control hosts hear of.
  std::uint64_t control_digest = 0;
  std::vector<std::string> control_hosts;  ///< If they are other ones.
  std::uint64_t condition_serial = 0;
  std::vector<TargetCondition> conditions;  ///< If they are wanted and newer.
  std::uint64_t evidence_serial = 0;
  std::vector<EvidenceMessage> evidence;  ///< If it is wanted and newer.
};

template <SameStruct<WatchReply> S>
auto WireFields(S& v) {
  return std::tie(v.zone, v.epoch, v.serial, v.digest, v.changes,
                  v.routing_version, v.routing, v.routing_change, v.current,
                  v.entry_hosts, v.control_digest, v.control_hosts,
                  v.condition_serial, v.conditions, v.evidence_serial,
                  v.evidence);
}

/// A report that only shows that a target is alive.
struct AliveNote {
  std::string target;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  TargetState state = TargetState::kServing;
};

template <SameStruct<AliveNote> S>
auto WireFields(S& v) {
  return std::tie(v.target, v.incarnation, v.sequence, v.state);
}

/// What one control host has heard from targets and entry hosts itself.
struct GossipMessage {
  std::string host;
  std::vector<Announcement> changes;
  std::vector<AliveNote> alive;
  std::vector<std::string> entry_hosts;
  std::vector<ConditionSample> samples;  ///< One for a target.
  std::vector<EvidenceMessage> evidence;
};

template <SameStruct<GossipMessage> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.changes, v.alive, v.entry_hosts, v.samples,
                  v.evidence);
}

/// What an entry host has seen of targets since its last report.
struct ConditionReport {
  std::vector<ConditionSample> samples;
  /// Targets that take no new work, as they told in answers, or as a control
  /// host told that has lost its memory since.
  std::vector<Announcement> leaving;
  std::vector<EvidenceMessage> evidence;  ///< Against requests.
};

template <SameStruct<ConditionReport> S>
auto WireFields(S& v) {
  return std::tie(v.samples, v.leaving, v.evidence);
}

/// The answer to gossip: what its receiver knows now.
struct GossipReply {
  std::uint64_t digest = 0;
  std::uint64_t epoch = 0;  ///< Another one with each start of the host.
};

template <SameStruct<GossipReply> S>
auto WireFields(S& v) {
  return std::tie(v.digest, v.epoch);
}

/// The leader's answer to a reader of the newest routes.
struct ReadReply {
  bool current = false;  ///< False if the asked host does not lead now.
  VersionedRouting routing;
};

template <SameStruct<ReadReply> S>
auto WireFields(S& v) {
  return std::tie(v.current, v.routing);
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_MEMBERSHIP_MESSAGES_H_
