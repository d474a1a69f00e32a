#ifndef SNIPEWORKS_CONTROL_FEED_H_
#define SNIPEWORKS_CONTROL_FEED_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/event_log.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/evidence_outbox.h"
#include "snipeworks/membership_messages.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/poison_tracker.h"
#include "snipeworks/routing.h"
#include "snipeworks/routing_contact.h"

namespace snipeworks {

/// Keeps an entry host up to date with the state of the control hosts: watches
/// several of them at once, preferring those of its own zone, and discovers
/// others through them.
class ControlFeed {
 public:
  struct Handlers {
    std::function<void(const std::vector<Announcement>&)> on_targets;
    std::function<void(const Routing&)> on_routing;
    std::function<void(std::uint32_t)> on_fleet_size;
    std::function<void(const std::vector<TargetCondition>&)> on_conditions;
    /// What this host has observed of targets since the last call.
    std::function<std::vector<ConditionSample>()> take_samples;
    /// Targets known to this host to accept no more work.
    std::function<std::vector<Announcement>()> drained_targets;
    /// A digest of the targets that this host considers to be serving.
    std::function<std::uint64_t()> serving_digest;
    std::function<void(const PoisonEvidence&)> on_evidence;
    /// All evidence against requests that this host holds.
    std::function<std::vector<PoisonEvidence>()> evidence;
    /// The entry hosts that may run requests for this one.
    std::function<void(const std::vector<RelayHost>&)> on_relay_hosts;
    /// All zones that are evacuated now.
    std::function<void(const std::vector<EvacuatedZone>&)> on_evacuations;
    /// A reply has been handled: the freshness of the routing may be another.
    std::function<void()> on_reply;
  };

  /// `seeds` are peer addresses of control hosts that may be up.
  ControlFeed(EventLoop& loop,
              PeerClient& peers,
              EventLog& log,
              std::string host,
              std::string zone,
              const std::vector<std::string>& seeds,
              Handlers handlers);

  /// Has other entry hosts told that this one takes relayed requests at
  /// `address`.
  void OfferRelay(const std::string& address) { relay_address_ = address; }

  void Start();
  void AddSeeds(const std::vector<std::string>& seeds);

  /// Reports to control hosts that a target accepts no new work, and retries
  /// until one has received it.
  void ReportDraining(const Announcement& announcement);

  /// Reports evidence to two control hosts, in case one is lost before it has
  /// propagated it, and retries until they have received it.
  void ReportEvidence(const PoisonEvidence& evidence);

  std::uint64_t routing_version() const { return routing_.version; }
  /// True once any control host has sent its state.
  bool synced() const { return synced_; }
  /// True if a control host that is in contact with a leader with a
  /// quorum answered recently.
  bool quorum_reachable(Instant now) const;
  RoutingFreshness routing_freshness(Instant now) const;
  /// See RoutingContact::RepeatableUntil. In the past while a newer version is
  /// known that has yet to arrive.
  Instant repeatable_until() const;
  /// True if a control host of this zone answered recently.
  bool zone_reachable(Instant now) const;
  /// The peer addresses of the control hosts that are known.
  std::vector<std::string> control_hosts() const;
  /// Number of control hosts that answered recently.
  std::size_t connected_count(Instant now) const;

 private:
  // State kept for one control host.
  struct Source {
    bool call_in_flight = false;
    bool answered = false;  ///< The latest call succeeded.
    bool has_answered = false;
    bool current = false;
    std::string zone;
    std::uint64_t epoch = 0;
    std::uint64_t serial = 0;
    std::uint64_t condition_serial = 0;
    std::uint64_t evidence_serial = 0;
    bool evidence_in_flight = false;
    Instant next_evidence_at{};
    int digest_mismatches = 0;  ///< Consecutive replies with another digest.
    Instant next_call_at{};
    Instant last_answer_at{};
    Instant full_sync_at{};  ///< When everything was last requested.
  };

  void Tick();
  void Watch(const std::string& address, Source& source, bool preferred);
  void ReportConditions(Instant now, const std::string& address);
  void SendEvidence(Instant now, const std::string& address, Source& source);
  void OnReply(const std::string& address,
               Instant sent,
               const PeerResult& result);
  void ApplyRouting(const WatchReply& reply);
  void ApplyEvacuations(const WatchReply& reply);
  void CheckDigest(Instant now, Source& source, const WatchReply& reply);

  EventLoop& loop_;
  PeerClient& peers_;
  EventLog& log_;
  std::string host_;
  std::string zone_;
  Handlers handlers_;
  std::map<std::string, Source> sources_;
  Routing routing_;  ///< In force; version 0 if there is none.
  RoutingContact routing_contact_;
  std::uint64_t newest_seen_version_ = 0;
  Instant newest_seen_at_{};
  std::uint64_t control_digest_ = 0;
  std::uint64_t relay_digest_ = 0;
  /// Index in the control log of the newest known set of evacuated zones.
  std::uint64_t evacuation_index_ = 0;
  std::uint64_t evacuation_digest_ = 0;
  std::string relay_address_;
  Instant started_{};
  Instant report_due_{};
  /// Not yet received by any control host.
  std::map<std::string, Announcement> unreported_draining_;
  EvidenceOutbox evidence_outbox_;
  std::uint32_t fleet_size_ = 0;
  bool synced_ = false;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_FEED_H_
