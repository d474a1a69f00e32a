#ifndef SNIPEWORKS_MEMBERSHIP_MESSAGES_H_
#define SNIPEWORKS_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "snipeworks/control_messages.h"
#include "snipeworks/entry_messages.h"
#include "snipeworks/relay_messages.h"
#include "snipeworks/target_condition.h"
#include "snipeworks/wire.h"
#include "snipeworks/zone_evacuations.h"

namespace snipeworks {

/// Paths of calls to control hosts about targets and routes.
inline constexpr char kControlWatchPath[] = "/control/watch";
inline constexpr char kControlGossipPath[] = "/control/gossip";
inline constexpr char kControlReadPath[] = "/control/read";
inline constexpr char kControlConditionsPath[] = "/control/conditions";

/// Long poll of an entry host for changes: the reply is held back until there
/// is something to send.
struct WatchRequest {
  std::string host;
  std::string zone;
  std::uint64_t epoch = 0;   ///< As the control host reported; 0 at first.
  std::uint64_t serial = 0;  ///< Newest change known; 0 requests everything.
  std::uint64_t routing_version = 0;  ///< In force at the sender.
  /// The newest version that any control host has reported.
  std::uint64_t newest_seen_version = 0;
  /// The sender wants the routing itself from this control host, and not only
  /// its version.
  bool wants_routing = false;
  /// The sender accepts a routing even from a control host that may be behind.
  bool accepts_stale_routing = true;
  std::uint64_t control_digest = 0;  ///< Of the known control hosts.
  /// Of the newest conditions known; conditions are sent together with the
  /// routing.
  std::uint64_t condition_serial = 0;
  /// WatchReply::current as this control host last sent it.
  bool known_current = false;
  /// Of the newest evidence known; evidence is sent together with the routing.
  std::uint64_t evidence_serial = 0;
  std::string relay_address;  ///< At which the sender takes relayed requests.
  std::uint64_t relay_digest = 0;  ///< Of the known relay hosts.
  /// WatchReply::evacuation_index of the evacuated zones that the sender knows,
  /// and their EvacuationDigest.
  std::uint64_t evacuation_index = 0;
  std::uint64_t evacuation_digest = 0;
};

template <SameStruct<WatchRequest> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.zone, v.epoch, v.serial, v.routing_version,
                  v.newest_seen_version, v.wants_routing,
                  v.accepts_stale_routing, v.control_digest, v.condition_serial,
                  v.known_current, v.evidence_serial, v.relay_address,
                  v.relay_digest, v.evacuation_index, v.evacuation_digest);
}

template <>
inline constexpr std::size_t kOptionalWireFields<WatchRequest> = 2;

struct WatchReply {
  std::string zone;         ///< Of the control host.
  std::uint64_t epoch = 0;  ///< Changes with each start of the host.
  std::uint64_t serial = 0;
  /// Of the serving targets, see ServingDigest.
  std::uint64_t digest = 0;
  std::vector<Announcement> changes;
  std::uint64_t routing_version = 0;
  std::string routing;            ///< A compressed Routing if wanted and newer,
  std::string routing_change;     ///< or a compressed RoutingChange.
  bool current = false;           ///< False if the host may be behind.
  std::uint32_t entry_hosts = 0;  ///< Known to the control hosts.
  std::uint64_t control_digest = 0;
  std::vector<std::string> control_hosts;  ///< If they have changed.
  std::uint64_t condition_serial = 0;
  std::vector<TargetCondition> conditions;  ///< If wanted and newer.
  std::uint64_t evidence_serial = 0;
  std::vector<EvidenceMessage> evidence;  ///< If wanted and newer.
  std::uint64_t relay_digest = 0;
  /// Entry hosts that may run requests for the watcher, if they have changed.
  std::vector<RelayHost> relay_hosts;
  /// Index in the control log of the state that `evacuated_zones` is from; 0 if
  /// the reply says nothing of evacuations.
  std::uint64_t evacuation_index = 0;
  std::vector<EvacuatedZone> evacuated_zones;  ///< All of them.
};

template <SameStruct<WatchReply> S>
auto WireFields(S& v) {
  return std::tie(v.zone, v.epoch, v.serial, v.digest, v.changes,
                  v.routing_version, v.routing, v.routing_change, v.current,
                  v.entry_hosts, v.control_digest, v.control_hosts,
                  v.condition_serial, v.conditions, v.evidence_serial,
                  v.evidence, v.relay_digest, v.relay_hosts, v.evacuation_index,
                  v.evacuated_zones);
}

template <>
inline constexpr std::size_t kOptionalWireFields<WatchReply> = 2;

/// A report that only renews the lease of a target.
struct Heartbeat {
  std::string target;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  TargetState state = TargetState::kServing;
};

template <SameStruct<Heartbeat> S>
auto WireFields(S& v) {
  return std::tie(v.target, v.incarnation, v.sequence, v.state);
}

/// What one control host has heard from targets and entry hosts directly.
struct GossipMessage {
  std::string host;
  std::vector<Announcement> changes;
  std::vector<Heartbeat> heartbeats;
  std::vector<RelayHost> entry_hosts;
  std::vector<ConditionSample> samples;  ///< At most one per target.
  std::vector<EvidenceMessage> evidence;
};

template <SameStruct<GossipMessage> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.changes, v.heartbeats, v.entry_hosts, v.samples,
                  v.evidence);
}

/// What an entry host has observed of targets since its last report.
struct ConditionReport {
  std::vector<ConditionSample> samples;
  /// Targets that accept no new work, known from their answers or from a
  /// control host that has since lost its state.
  std::vector<Announcement> leaving;
  std::vector<EvidenceMessage> evidence;  ///< Against requests.
};

template <SameStruct<ConditionReport> S>
auto WireFields(S& v) {
  return std::tie(v.samples, v.leaving, v.evidence);
}

/// The answer to gossip: the state of its receiver afterwards.
struct GossipReply {
  std::uint64_t digest = 0;
  std::uint64_t epoch = 0;  ///< Changes with each start of the host.
};

template <SameStruct<GossipReply> S>
auto WireFields(S& v) {
  return std::tie(v.digest, v.epoch);
}

/// The leader's answer to a read of the newest routing.
struct ReadReply {
  bool current = false;  ///< False if the host does not lead at present.
  VersionedRouting routing;
};

template <SameStruct<ReadReply> S>
auto WireFields(S& v) {
  return std::tie(v.current, v.routing);
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_MEMBERSHIP_MESSAGES_H_
