#include "snipeworks/control_feed.h"

#include <algorithm>
#include <utility>

#include "snipeworks/compression.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(50);
// A control host answers within its hold time of 1 s; a silent connection is
// abandoned soon after.
constexpr Duration kWatchTimeout = milliseconds(1500);
// A reachable control host answers within its hold time plus a small margin.
constexpr Duration kReachableTimeout = milliseconds(1250);
constexpr Duration kRetryDelay = milliseconds(300);
// How often the preferred control host is sent observations of targets.
constexpr Duration kReportInterval = milliseconds(400);
constexpr Duration kReportTimeout = milliseconds(1000);
// Poll interval for control hosts beyond the active watches.
constexpr Duration kSpareWatchInterval = std::chrono::seconds(5);
// Watched at once: the preferred host, and a second one that shows whether the
// first is behind.
constexpr std::size_t kActiveWatches = 2;
// If the preferred control host does not deliver a newer routing within this
// time, the others are asked for it.
constexpr Duration kRoutingTimeout = milliseconds(300);
constexpr Duration kConnectedTimeout = milliseconds(2500);
constexpr int kMismatchesBeforeFullSync = 3;
constexpr Duration kFullSyncInterval = std::chrono::seconds(3);
// A host without any routing accepts one from a control host that may be behind
// after this long: a stale version serves most callers, none serves no one.
constexpr Duration kStaleRoutingDelay = std::chrono::seconds(3);

}  // namespace

ControlFeed::ControlFeed(EventLoop& loop,
                         PeerClient& peers,
                         EventLog& log,
                         std::string host,
                         std::string zone,
                         const std::vector<std::string>& seeds,
                         Handlers handlers)
    : loop_(loop),
      peers_(peers),
      log_(log),
      host_(std::move(host)),
      zone_(std::move(zone)),
      handlers_(std::move(handlers)) {
  AddSeeds(seeds);
}

void ControlFeed::Start() {
  started_ = MonotonicNow();
  loop_.Every(kTickInterval, [this] { Tick(); });
  Tick();
}

void ControlFeed::AddSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& address : seeds) {
    sources_.try_emplace(address);
  }
}

std::size_t ControlFeed::connected_count(Instant now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(sources_, [&](const auto& entry) {
        return entry.second.has_answered &&
               now - entry.second.last_answer_at < kConnectedTimeout;
      }));
}

std::vector<std::string> ControlFeed::control_hosts() const {
  std::vector<std::string> addresses;
  for (const auto& [address, source] : sources_) {
    addresses.push_back(address);
  }
  return addresses;
}

bool ControlFeed::quorum_reachable(Instant now) const {
  return std::ranges::any_of(sources_, [&](const auto& entry) {
    const Source& source = entry.second;
    return source.answered && source.current &&
           now - source.last_answer_at < kReachableTimeout;
  });
}

RoutingFreshness ControlFeed::routing_freshness(Instant now) const {
  return routing_contact_.Freshness(now,
                                    newest_seen_version_ > routing_.version);
}

Instant ControlFeed::repeatable_until() const {
  return newest_seen_version_ > routing_.version
             ? Instant{}
             : routing_contact_.RepeatableUntil();
}

bool ControlFeed::zone_reachable(Instant now) const {
  return std::ranges::any_of(sources_, [&](const auto& entry) {
    const Source& source = entry.second;
    return source.answered && source.zone == zone_ &&
           now - source.last_answer_at < kReachableTimeout;
  });
}

// Prefers control hosts that answer, then those in touch with a quorum, then
// those of this zone. The rest are polled occasionally, so that a host that
// recovers is found, and all at once after a suspension: requests wait for the
// first that replies.
void ControlFeed::Tick() {
  const Instant now = MonotonicNow();
  routing_contact_.OnActive(now);
  const bool resuming = routing_contact_.IsResuming(now);
  std::vector<std::pair<int, std::string>> ranked;
  for (const auto& [address, source] : sources_) {
    const bool connected =
        source.has_answered && now - source.last_answer_at < kConnectedTimeout;
    const int rank = (connected ? 0 : 4) + (source.current ? 0 : 2) +
                     (source.zone == zone_ ? 0 : 1);
    ranked.emplace_back(rank, address);
  }
  std::ranges::sort(ranked);
  if (!ranked.empty()) {
    ReportConditions(now, ranked.front().second);
  }
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    Source& source = sources_[ranked[i].second];
    const bool spare = i >= kActiveWatches && !resuming;
    const Duration pause = spare ? kSpareWatchInterval : Duration{};
    if (!source.call_in_flight && now >= source.next_call_at + pause) {
      Watch(ranked[i].second, source, i == 0);
    }
    if (!spare && !evidence_outbox_.empty()) {
      SendEvidence(now, ranked[i].second, source);
    }
  }
}

void ControlFeed::ReportDraining(const Announcement& announcement) {
  unreported_draining_[announcement.target] = announcement;
  report_due_ = Instant{};
}

// Lost samples are not resent: the next report carries newer ones. A draining
// target is reported until a control host has received it.
void ControlFeed::ReportConditions(Instant now, const std::string& address) {
  if (now < report_due_) {
    return;
  }
  report_due_ = now + kReportInterval;
  ConditionReport report{handlers_.take_samples(), {}, {}};
  for (const auto& [target, announcement] : unreported_draining_) {
    report.leaving.push_back(announcement);
  }
  if (report.samples.empty() && report.leaving.empty()) {
    return;
  }
  peers_.Call(address, kControlConditionsPath, Encode(report), kReportTimeout,
              [this, sent = report.leaving](const PeerResult& result) {
                if (!result) {
                  return;
                }
                for (const Announcement& announcement : sent) {
                  auto found = unreported_draining_.find(announcement.target);
                  if (found != unreported_draining_.end() &&
                      found->second == announcement) {
                    unreported_draining_.erase(found);
                  }
                }
              });
}

void ControlFeed::ReportEvidence(const PoisonEvidence& evidence) {
  evidence_outbox_.Add(MonotonicNow(), evidence);
  loop_.Post([this] { Tick(); });
}

void ControlFeed::SendEvidence(Instant now,
                               const std::string& address,
                               Source& source) {
  if (source.evidence_in_flight || now < source.next_evidence_at) {
    return;
  }
  const std::vector<PoisonEvidence> sent =
      evidence_outbox_.PendingFor(now, address);
  if (sent.empty()) {
    return;
  }
  source.evidence_in_flight = true;
  ConditionReport report;
  report.evidence = ToMessages(sent);
  peers_.Call(address, kControlConditionsPath, Encode(report), kReportTimeout,
              [this, address, sent](const PeerResult& result) {
                Source& receiver = sources_[address];
                receiver.evidence_in_flight = false;
                if (result) {
                  evidence_outbox_.OnDelivered(
                      address, sent, std::min(kActiveWatches, sources_.size()));
                } else {
                  receiver.next_evidence_at = MonotonicNow() + kRetryDelay;
                }
              });
}

void ControlFeed::Watch(const std::string& address,
                        Source& source,
                        bool preferred) {
  source.call_in_flight = true;
  WatchRequest request;
  request.host = host_;
  request.zone = zone_;
  request.epoch = source.epoch;
  request.serial = source.serial;
  const Instant now = MonotonicNow();
  const bool resuming = routing_contact_.IsResuming(now);
  const bool overdue = newest_seen_version_ > routing_.version &&
                       (resuming || now - newest_seen_at_ > kRoutingTimeout);
  request.routing_version = routing_.version;
  request.newest_seen_version = newest_seen_version_;
  request.wants_routing = preferred || overdue || routing_.version == 0;
  request.accepts_stale_routing =
      routing_.version > 0 || now - started_ > kStaleRoutingDelay;
  request.control_digest = control_digest_;
  request.condition_serial = source.condition_serial;
  request.evidence_serial = source.evidence_serial;
  // A control host replies at once if it judges its contact otherwise.
  request.known_current = source.current && !resuming;
  request.relay_address = relay_address_;
  request.relay_digest = relay_digest_;
  request.evacuation_index = evacuation_index_;
  request.evacuation_digest = evacuation_digest_;
  peers_.Call(address, kControlWatchPath, Encode(request), kWatchTimeout,
              [this, address, now](const PeerResult& result) {
                OnReply(address, now, result);
              });
}

void ControlFeed::OnReply(const std::string& address,
                          Instant sent,
                          const PeerResult& result) {
  Source& source = sources_[address];
  const Instant now = MonotonicNow();
  source.call_in_flight = false;
  source.next_call_at = now;
  const auto reply =
      result ? Decode<WatchReply>(*result) : std::optional<WatchReply>();
  if (!reply) {
    // Calls from before a suspension have failed by its length alone.
    const bool resuming = routing_contact_.IsResuming(now);
    source.next_call_at = now + (resuming ? Duration{} : kRetryDelay);
    if (std::exchange(source.answered, false)) {
      log_.Write(
          EventKind::kControlLost,
          {{"control", address}, {"silent_ms", now - source.last_answer_at}});
    }
    return;
  }
  if (!std::exchange(source.answered, true)) {
    log_.Write(EventKind::kControlRegained,
               {{"control", address}, {"epoch", reply->epoch}});
  }
  source.has_answered = true;
  source.last_answer_at = now;
  source.zone = reply->zone;
  source.current = reply->current;
  // A restarted control host knows only what it is sent: a late report must not
  // bring back a target that has drained.
  if (source.epoch != 0 && source.epoch != reply->epoch) {
    for (const Announcement& announcement : handlers_.drained_targets()) {
      // Others have already reported it, or the control host has kept it.
      const bool known =
          std::ranges::any_of(reply->changes, [&](const Announcement& change) {
            return change.target == announcement.target &&
                   change.state == TargetState::kDraining;
          });
      if (!known) {
        ReportDraining(announcement);
      }
    }
    for (const PoisonEvidence& item : handlers_.evidence()) {
      ReportEvidence(item);
    }
  }
  source.epoch = reply->epoch;
  source.serial = reply->serial;
  source.condition_serial = reply->condition_serial;
  source.evidence_serial = reply->evidence_serial;
  for (const EvidenceMessage& item : reply->evidence) {
    handlers_.on_evidence(item.ToEvidence());
  }
  // Before the targets and the routing, with which this host may be ready.
  ApplyEvacuations(*reply);
  if (!reply->conditions.empty()) {
    handlers_.on_conditions(reply->conditions);
  }
  if (!reply->changes.empty()) {
    handlers_.on_targets(reply->changes);
  }
  synced_ = true;
  ApplyRouting(*reply);
  if (reply->current && newest_seen_version_ <= routing_.version) {
    routing_contact_.OnCurrentReply(sent, now);
  }
  CheckDigest(now, source, *reply);
  if (!reply->control_hosts.empty()) {
    control_digest_ = reply->control_digest;
    AddSeeds(reply->control_hosts);
  }
  if (!reply->relay_hosts.empty()) {
    relay_digest_ = reply->relay_digest;
    handlers_.on_relay_hosts(reply->relay_hosts);
  }
  if (reply->entry_hosts > 0 && reply->entry_hosts != fleet_size_) {
    fleet_size_ = reply->entry_hosts;
    handlers_.on_fleet_size(fleet_size_);
  }
  handlers_.on_reply();
  Tick();
}

// Replies of several control hosts may overtake each other.
void ControlFeed::ApplyEvacuations(const WatchReply& reply) {
  if (reply.evacuation_index <= evacuation_index_) {
    return;
  }
  evacuation_index_ = reply.evacuation_index;
  evacuation_digest_ = EvacuationDigest(reply.evacuated_zones);
  handlers_.on_evacuations(reply.evacuated_zones);
}

void ControlFeed::ApplyRouting(const WatchReply& reply) {
  if (reply.routing_version > newest_seen_version_) {
    newest_seen_version_ = reply.routing_version;
    newest_seen_at_ = MonotonicNow();
  }
  std::optional<Routing> newer;
  if (!reply.routing_change.empty()) {
    const auto bytes = Decompress(reply.routing_change);
    const auto change =
        bytes ? Decode<RoutingChange>(*bytes) : std::optional<RoutingChange>();
    newer = change ? ApplyRoutingChange(routing_, *change) : std::nullopt;
  } else if (!reply.routing.empty()) {
    const auto bytes = Decompress(reply.routing);
    newer = bytes ? Decode<Routing>(*bytes) : std::nullopt;
  }
  if (newer && newer->version > routing_.version) {
    routing_ = std::move(*newer);
    handlers_.on_routing(routing_);
  }
}

// Digests that stay different mean that a change was missed and will not be
// sent again: requests the full state.
void ControlFeed::CheckDigest(Instant now,
                              Source& source,
                              const WatchReply& reply) {
  const bool in_sync = reply.digest == handlers_.serving_digest();
  source.digest_mismatches = in_sync ? 0 : source.digest_mismatches + 1;
  if (source.digest_mismatches >= kMismatchesBeforeFullSync &&
      now - source.full_sync_at > kFullSyncInterval) {
    source.digest_mismatches = 0;
    source.full_sync_at = now;
    source.serial = 0;
  }
}

}  // namespace snipeworks
