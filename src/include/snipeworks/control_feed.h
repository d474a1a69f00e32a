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

namespace snipeworks {

/// Keeps an entry host up to date with what control hosts know: watches several
/// of them at once, those of its own zone first, and learns of others from
/// them.
class ControlFeed {
 public:
  struct Handlers {
    std::function<void(const std::vector<Announcement>&)> on_targets;
    std::function<void(const Routing&)> on_routing;
    std::function<void(std::uint32_t)> on_fleet_size;
    std::function<void(const std::vector<TargetCondition>&)> on_conditions;
    /// What this host has seen of targets since the last call.
    std::function<std::vector<ConditionSample>()> take_samples;
    /// The targets that this host knows to have taken their last work.
    std::function<std::vector<Announcement>()> drained;
    /// A digest of the targets that this host takes to be serving.
    std::function<std::uint64_t()> digest;
    std::function<void(const PoisonEvidence&)> on_evidence;
    /// All that this host knows to count against requests.
    std::function<std::vector<PoisonEvidence>()> evidence;
  };

  /// `seeds` are peer addresses of control hosts that may be alive.
  ControlFeed(EventLoop& loop,
              PeerClient& peers,
              EventLog& log,
              std::string host,
              std::string zone,
              const std::vector<std::string>& seeds,
              Handlers handlers);

  void Start();
  void AddSeeds(const std::vector<std::string>& seeds);

  /// Tells control hosts that a target takes no new work, again and again until
  /// one has heard it.
  void ReportLeaving(const Announcement& news);

  /// Tells two control hosts, for the case that one is lost before it has told
  /// the others, and again and again until they have heard it.
  void ReportEvidence(const PoisonEvidence& evidence);

  std::uint64_t routing_version() const { return routing_.version; }
  /// True once any control host has told what it knows.
  bool synced() const { return synced_; }
  /// True if a control host that hears a leader with a quorum answered lately.
  bool quorum_in_reach(Instant now) const;
  /// True if a control host of the own zone answered lately.
  bool zone_in_reach(Instant now) const;
  /// Control hosts that answered lately.
  std::size_t connected_count(Instant now) const;

 private:
  // What is known of one control host.
  struct Source {
    bool calling = false;
    bool answered = false;  ///< In its latest call.
    bool ever = false;
    bool current = false;
    std::string zone;
    std::uint64_t epoch = 0;
    std::uint64_t serial = 0;
    std::uint64_t condition_serial = 0;
    std::uint64_t evidence_serial = 0;
    bool telling = false;  ///< Evidence is on its way to it.
    Instant next_telling{};
    int differing = 0;  ///< Replies in a row with another digest.
    Instant next_call{};
    Instant heard{};
    Instant full_at{};  ///< When everything was asked for last.
  };

  void Tick();
  void Watch(const std::string& address, Source& source, bool best);
  void ReportConditions(Instant now, const std::string& address);
  void SendEvidence(Instant now, const std::string& address, Source& source);
  void OnReply(const std::string& address, const PeerResult& result);
  void TakeRouting(const WatchReply& reply);
  void Compare(Instant now, Source& source, const WatchReply& reply);

  EventLoop& loop_;
  PeerClient& peers_;
  EventLog& log_;
  std::string host_;
  std::string zone_;
  Handlers handlers_;
  std::map<std::string, Source> sources_;
  Routing routing_;  ///< In force; version 0 if there is none.
  std::uint64_t heard_version_ = 0;
  Instant heard_version_at_{};
  std::uint64_t control_digest_ = 0;
  Instant started_{};
  Instant report_due_{};
  std::map<std::string, Announcement> leaving_;  ///< Not heard by anyone yet.
  EvidenceOutbox evidence_;
  std::uint32_t fleet_size_ = 0;
  bool synced_ = false;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_FEED_H_
