#include "snipeworks/control_feed.h"

#include <algorithm>
#include <utility>

#include "snipeworks/compression.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(50);
// A control host answers within its hold of 1 s; a silent connection is given
// up soon after.
constexpr Duration kWatchTimeout = milliseconds(1500);
// A control host in reach has answered within its hold and a little more.
constexpr Duration kAnswerDue = milliseconds(1250);
constexpr Duration kRetryPause = milliseconds(300);
// How often the nearest control host is told what was seen of targets.
constexpr Duration kReportInterval = milliseconds(400);
constexpr Duration kReportTimeout = milliseconds(1000);
// Control hosts beyond those watched are looked at this often.
constexpr Duration kSparePause = std::chrono::seconds(5);
// Watched at once: the nearest, and one more that tells if that one is behind.
constexpr std::size_t kWatched = 2;
// News of routes that the nearest control host does not bring within this time
// are asked of the others.
constexpr Duration kRoutingPatience = milliseconds(300);
constexpr Duration kHeardLately = milliseconds(2500);
constexpr int kDifferingReplies = 3;
constexpr Duration kFullInterval = std::chrono::seconds(3);
// A host without any routes takes them from a control host that may be behind
// after this long: an old version serves most callers, none serves nobody.
constexpr Duration kPatienceForCurrent = std::chrono::seconds(3);

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
  loop_.Every(kTick, [this] { Tick(); });
  Tick();
}

void ControlFeed::AddSeeds(const std::vector<std::string>& seeds) {
  for (const std::string& address : seeds) {
    sources_.try_emplace(address);
  }
}

std::size_t ControlFeed::connected(Instant now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(sources_, [&](const auto& entry) {
        return entry.second.ever && now - entry.second.heard < kHeardLately;
      }));
}

bool ControlFeed::quorum_in_reach(Instant now) const {
  return std::ranges::any_of(sources_, [&](const auto& entry) {
    const Source& source = entry.second;
    return source.answered && source.current && now - source.heard < kAnswerDue;
  });
}

bool ControlFeed::zone_in_reach(Instant now) const {
  return std::ranges::any_of(sources_, [&](const auto& entry) {
    const Source& source = entry.second;
    return source.answered && source.zone == zone_ &&
           now - source.heard < kAnswerDue;
  });
}

// Hosts that answer are preferred, then those in touch with a quorum, then
// those of the own zone; the rest get a call now and then, so that one that has
// come back is found.
void ControlFeed::Tick() {
  const Instant now = MonotonicNow();
  std::vector<std::pair<int, std::string>> ranked;
  for (const auto& [address, source] : sources_) {
    const bool alive = source.ever && now - source.heard < kHeardLately;
    const int rank = (alive ? 0 : 4) + (source.current ? 0 : 2) +
                     (source.zone == zone_ ? 0 : 1);
    ranked.emplace_back(rank, address);
  }
  std::ranges::sort(ranked);
  if (!ranked.empty()) {
    ReportConditions(now, ranked.front().second);
  }
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    Source& source = sources_[ranked[i].second];
    const bool spare = i >= kWatched;
    const Duration pause = spare ? kSparePause : Duration{};
    if (!source.calling && now >= source.next_call + pause) {
      Watch(ranked[i].second, source, i == 0);
    }
    if (!spare && !evidence_.empty()) {
      SendEvidence(now, ranked[i].second, source);
    }
  }
}

void ControlFeed::TellLeaving(const Announcement& news) {
  leaving_[news.target] = news;
  report_due_ = Instant{};
}

// Samples that are lost are not made good: the next report tells what is so
// then. A target that leaves is told until it was heard.
void ControlFeed::ReportConditions(Instant now, const std::string& address) {
  if (now < report_due_) {
    return;
  }
  report_due_ = now + kReportInterval;
  ConditionReport report{handlers_.take_samples(), {}, {}};
  for (const auto& [target, news] : leaving_) {
    report.leaving.push_back(news);
  }
  if (report.samples.empty() && report.leaving.empty()) {
    return;
  }
  peers_.Call(address, kControlConditionsPath, Encode(report), kReportTimeout,
              [this, told = report.leaving](const PeerResult& result) {
                if (!result) {
                  return;
                }
                for (const Announcement& news : told) {
                  auto found = leaving_.find(news.target);
                  if (found != leaving_.end() && found->second == news) {
                    leaving_.erase(found);
                  }
                }
              });
}

void ControlFeed::TellEvidence(const PoisonEvidence& evidence) {
  evidence_.Add(MonotonicNow(), evidence);
  loop_.Post([this] { Tick(); });
}

void ControlFeed::SendEvidence(Instant now,
                               const std::string& address,
                               Source& source) {
  if (source.telling || now < source.next_telling) {
    return;
  }
  const std::vector<PoisonEvidence> told = evidence_.PendingFor(now, address);
  if (told.empty()) {
    return;
  }
  source.telling = true;
  ConditionReport report;
  report.evidence = ToMessages(told);
  peers_.Call(address, kControlConditionsPath, Encode(report), kReportTimeout,
              [this, address, told](const PeerResult& result) {
                Source& heard = sources_[address];
                heard.telling = false;
                if (result) {
                  evidence_.OnDelivered(address, told,
                                        std::min(kWatched, sources_.size()));
                } else {
                  heard.next_telling = MonotonicNow() + kRetryPause;
                }
              });
}

void ControlFeed::Watch(const std::string& address, Source& source, bool best) {
  source.calling = true;
  WatchRequest request;
  request.host = host_;
  request.zone = zone_;
  request.epoch = source.epoch;
  request.serial = source.serial;
  const Instant now = MonotonicNow();
  const bool overdue = heard_version_ > routing_.version &&
                       now - heard_version_at_ > kRoutingPatience;
  request.routing_version = routing_.version;
  request.heard_version = heard_version_;
  request.wants_routing = best || overdue || routing_.version == 0;
  request.takes_old_routing =
      routing_.version > 0 || now - started_ > kPatienceForCurrent;
  request.control_digest = control_digest_;
  request.condition_serial = source.condition_serial;
  request.evidence_serial = source.evidence_serial;
  request.told_current = source.current;
  peers_.Call(
      address, kControlWatchPath, Encode(request), kWatchTimeout,
      [this, address](const PeerResult& result) { OnReply(address, result); });
}

void ControlFeed::OnReply(const std::string& address,
                          const PeerResult& result) {
  Source& source = sources_[address];
  const Instant now = MonotonicNow();
  source.calling = false;
  source.next_call = now;
  const auto reply =
      result ? Decode<WatchReply>(*result) : std::optional<WatchReply>();
  if (!reply) {
    source.next_call = now + kRetryPause;
    if (std::exchange(source.answered, false)) {
      log_.Write(EventKind::kControlLost,
                 {{"control", address}, {"silent_ms", now - source.heard}});
    }
    return;
  }
  if (!std::exchange(source.answered, true)) {
    log_.Write(EventKind::kControlRegained,
               {{"control", address}, {"epoch", reply->epoch}});
  }
  source.ever = true;
  source.heard = now;
  source.zone = reply->zone;
  source.current = reply->current;
  // It has started anew and knows only what is told to it: an old report must
  // not bring a target back that took its last work before.
  if (source.epoch != 0 && source.epoch != reply->epoch) {
    for (const Announcement& news : handlers_.drained()) {
      // Others have told it already, or it has kept it.
      const bool known =
          std::ranges::any_of(reply->changes, [&](const Announcement& change) {
            return change.target == news.target &&
                   change.state == TargetState::kDraining;
          });
      if (!known) {
        TellLeaving(news);
      }
    }
    for (const PoisonEvidence& one : handlers_.evidence()) {
      TellEvidence(one);
    }
  }
  source.epoch = reply->epoch;
  source.serial = reply->serial;
  source.condition_serial = reply->condition_serial;
  source.evidence_serial = reply->evidence_serial;
  for (const EvidenceMessage& one : reply->evidence) {
    handlers_.on_evidence(one.ToEvidence());
  }
  if (!reply->conditions.empty()) {
    handlers_.on_conditions(reply->conditions);
  }
  if (!reply->changes.empty()) {
    handlers_.on_targets(reply->changes);
  }
  informed_ = true;
  TakeRouting(*reply);
  Compare(now, source, *reply);
  if (!reply->control_hosts.empty()) {
    control_digest_ = reply->control_digest;
    AddSeeds(reply->control_hosts);
  }
  if (reply->entry_hosts > 0 && reply->entry_hosts != fleet_size_) {
    fleet_size_ = reply->entry_hosts;
    handlers_.on_fleet_size(fleet_size_);
  }
  Tick();
}

void ControlFeed::TakeRouting(const WatchReply& reply) {
  if (reply.routing_version > heard_version_) {
    heard_version_ = reply.routing_version;
    heard_version_at_ = MonotonicNow();
  }
  std::optional<Routing> newer;
  if (!reply.routing_change.empty()) {
    const auto bytes = Decompress(reply.routing_change);
    const auto change =
        bytes ? Decode<RoutingChange>(*bytes) : std::optional<RoutingChange>();
    newer = change ? Changed(routing_, *change) : std::nullopt;
  } else if (!reply.routing.empty()) {
    const auto bytes = Decompress(reply.routing);
    newer = bytes ? Decode<Routing>(*bytes) : std::nullopt;
  }
  if (newer && newer->version > routing_.version) {
    routing_ = std::move(*newer);
    handlers_.on_routing(routing_);
  }
}

// Views that stay different have missed something that no change will bring:
// everything is asked for then.
void ControlFeed::Compare(Instant now,
                          Source& source,
                          const WatchReply& reply) {
  const bool same = reply.digest == handlers_.digest();
  source.differing = same ? 0 : source.differing + 1;
  if (source.differing >= kDifferingReplies &&
      now - source.full_at > kFullInterval) {
    source.differing = 0;
    source.full_at = now;
    source.serial = 0;
  }
}

}  // namespace snipeworks
