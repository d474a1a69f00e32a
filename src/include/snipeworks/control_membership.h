#ifndef SNIPEWORKS_CONTROL_MEMBERSHIP_H_
#define SNIPEWORKS_CONTROL_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/condition_aggregator.h"
#include "snipeworks/control_calls.h"
#include "snipeworks/departure.h"
#include "snipeworks/entry_host_registry.h"
#include "snipeworks/event_log.h"
#include "snipeworks/evidence_store.h"
#include "snipeworks/membership_messages.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/target_directory.h"

namespace snipeworks {

/// The state of the control log that the membership of targets depends on.
struct ControlView {
  bool current = false;  ///< The host hears from a leader with a quorum.
  const Routing* routing = nullptr;        ///< Version 0 if there is none.
  std::vector<std::string> control_hosts;  ///< Peer addresses.
  /// Index of the last applied entry of the log.
  std::uint64_t applied_index = 0;
  std::vector<EvacuatedZone> evacuated_zones;
};

/// The part of a control host that accepts reports of targets, gossips them to
/// the other control hosts, and answers watches of entry hosts.
class ControlMembership {
 public:
  ControlMembership(PeerClient& peers,
                    EventLog& log,
                    std::string address,
                    std::string zone,
                    Duration lease,
                    std::function<ControlView()> view);

  /// Applies a report and spreads it. Returns the departure that the log must
  /// have before the report is acknowledged, if it says that the target leaves.
  std::optional<Departure> OnReport(const Announcement& announcement);
  /// Applies a leave and spreads it. Returns the departure that the log must
  /// have before the leave is acknowledged. A leave of an unknown target that
  /// names no start is about all of its starts until `wall_ms`.
  Departure OnLeave(const LeaveRequest& leave, std::int64_t wall_ms);
  /// Applies a departure that the log has.
  void OnDeparted(const Departure& departure);
  /// Takes targets that this host knew before its restart for serving until
  /// their leases end. Reports and what other hosts know go before them.
  void Restore(const std::vector<Announcement>& targets);
  void OnWatch(const std::string& payload, const PeerServer::Reply& reply);
  void OnGossip(const std::string& payload, const PeerServer::Reply& reply);
  void OnConditions(const std::string& payload, const PeerServer::Reply& reply);

  void Tick();
  /// Answers the watches for which there are updates. Call after each batch of
  /// inputs.
  void AfterEventBatch();

  const TargetDirectory& directory() const { return directory_; }
  std::uint32_t entry_hosts() const;
  std::vector<std::string> entry_host_names() const {
    return entry_host_registry_.names();
  }

 private:
  struct PendingWatch {
    WatchRequest request;
    PeerServer::Reply reply;
    Instant until;
  };
  // Gossip state for another control host.
  struct Peer {
    bool call_in_flight = false;
    int digest_mismatches = 0;
    Instant full_sync_at{};
    Instant next_call_at{};
    /// Not sent to it yet.
    std::map<std::string, Announcement> changes;
    std::map<std::string, Heartbeat> heartbeats;
    std::map<std::string, ConditionSample> samples;
    std::uint64_t epoch = 0;  ///< As it reported; 0 at first.
    /// Serial of the evidence that it has.
    std::uint64_t acked_evidence_serial = 0;
  };

  void UpdateRoutedGroups(Instant now, const Routing& routing);
  void Propagate(const Announcement& announcement);
  /// `in_use` is true if entry hosts may send to the target, or to an earlier
  /// start of it.
  void OnTargetChange(const Announcement& announcement,
                      const char* source,
                      bool in_use = false);
  bool IsServing(const std::string& target) const;
  void ApplyDraining(const Announcement& announcement);
  void ApplyEvidence(const std::vector<EvidenceMessage>& evidence,
                     const char* source);
  void SendGossip(const std::string& address, Peer& peer);
  void OnGossipReply(const std::string& address,
                     std::uint64_t evidence_serial,
                     const PeerResult& result);
  bool HasUpdates(Instant now,
                  const WatchRequest& request,
                  const ControlView& view) const;
  WatchReply MakeReply(const WatchRequest& request, const ControlView& view);
  void AddRouting(const WatchRequest& request,
                  const Routing& newest,
                  WatchReply& reply);

  PeerClient& peers_;
  EventLog& log_;
  std::string address_;
  std::string zone_;
  Duration lease_;
  std::function<ControlView()> view_;
  TargetDirectory directory_;
  std::uint64_t routed_version_ = 0;  ///< Routes that `directory_` knows.
  ConditionAggregator conditions_;
  EvidenceStore evidence_;
  std::uint64_t epoch_;
  std::vector<PendingWatch> pending_watches_;
  std::map<std::string, Peer> other_hosts_;
  EntryHostRegistry entry_host_registry_;
  /// The newest versions, from which differences are computed.
  std::deque<Routing> recent_versions_;
  /// Encoded differences to the newest routing, by the version that a watcher
  /// has.
  std::map<std::uint64_t, std::string> routing_change_cache_;
  std::string full_routing_cache_;
  std::uint64_t urgent_serial_ = 0;  ///< Not batched up to this serial.
  Instant last_change_at_{};         ///< When the newest change arrived.
  std::uint64_t last_change_serial_ = 0;
  Instant current_since_{};
  Instant gossip_due_{};
  Instant conditions_due_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_MEMBERSHIP_H_
