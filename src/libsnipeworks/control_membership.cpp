#include "snipeworks/control_membership.h"

#include <algorithm>
#include <random>
#include <utility>

#include <xxhash.h>

#include "snipeworks/belief_log.h"
#include "snipeworks/compression.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Watchers take a call for lost a while after this.
constexpr Duration kWatchHold = milliseconds(1000);
// New targets come many at a time; what ends a target's work goes at once.
constexpr Duration kBatchTime = milliseconds(200);
// Hosts that are further behind get the whole routing.
constexpr std::size_t kVersionsKept = 8;
constexpr Duration kGossipInterval = milliseconds(500);
// How often conditions of targets are worked out anew; entry hosts are told at
// most as often.
constexpr Duration kConditionInterval = milliseconds(300);
constexpr Duration kGossipTimeout = milliseconds(800);
constexpr Duration kGossipPause = milliseconds(300);
// A target that leaves is acknowledged once another control host knows it, or
// after this long: then the news outlives this host.
constexpr Duration kSpreadPatience = milliseconds(150);
constexpr int kDifferingReplies = 2;
constexpr Duration kFullInterval = milliseconds(1500);

}  // namespace

ControlMembership::ControlMembership(EventLoop& loop,
                                     PeerClient& peers,
                                     EventLog& log,
                                     std::string address,
                                     std::string zone,
                                     Duration lease,
                                     std::function<ControlView()> view)
    : loop_(loop),
      peers_(peers),
      log_(log),
      address_(std::move(address)),
      zone_(std::move(zone)),
      lease_(lease),
      view_(std::move(view)),
      directory_(lease),
      epoch_((std::uint64_t{std::random_device()()} << 32) |
             std::random_device()()) {}

void ControlMembership::LogChange(const Announcement& news,
                                  const char* source) {
  if (news.state != TargetState::kServing) {
    urgent_serial_ = directory_.serial();
  }
  LogTarget(log_, news, source);
}

void ControlMembership::OnReport(const Announcement& news,
                                 Acknowledge acknowledge) {
  const AnnounceResult taken = directory_.Take(MonotonicNow(), news);
  if (taken == AnnounceResult::kChange) {
    LogChange(news, "report");
    Spread(*directory_.view().Find(news.target), std::move(acknowledge));
    return;
  }
  if (taken == AnnounceResult::kRenewal) {
    for (auto& [address, peer] : others_) {
      peer.alive[news.target] = {news.target, news.incarnation, news.sequence,
                                 news.state};
    }
  }
  acknowledge();
}

void ControlMembership::OnLeave(const TargetLeaves& leave,
                                Acknowledge acknowledge) {
  const std::uint64_t before = directory_.serial();
  directory_.Leave(MonotonicNow(), leave.target, leave.incarnation,
                   leave.sequence);
  if (directory_.serial() == before) {
    acknowledge();
    return;
  }
  const Announcement& news = *directory_.view().Find(leave.target);
  LogChange(news, "leave");
  Spread(news, std::move(acknowledge));
}

void ControlMembership::Spread(const Announcement& news,
                               Acknowledge acknowledge) {
  auto told = std::make_shared<bool>(false);
  Acknowledge once = [told, acknowledge = std::move(acknowledge)] {
    if (!std::exchange(*told, true)) {
      acknowledge();
    }
  };
  const bool binds = news.state != TargetState::kServing;
  for (auto& [address, peer] : others_) {
    peer.alive.erase(news.target);
    peer.changes[news.target] = news;
    if (binds) {
      peer.waiting.push_back(once);
    }
    SendGossip(address, peer);
  }
  if (binds && !others_.empty()) {
    loop_.After(kSpreadPatience, once);
  } else {
    once();
  }
}

void ControlMembership::SendGossip(const std::string& address, Peer& peer) {
  const Instant now = MonotonicNow();
  if (peer.calling || now < peer.next_call) {
    return;
  }
  GossipMessage message;
  message.host = address_;
  for (const auto& [target, news] : std::exchange(peer.changes, {})) {
    message.changes.push_back(news);
  }
  for (const auto& [target, note] : std::exchange(peer.alive, {})) {
    message.alive.push_back(note);
  }
  for (const auto& [target, sample] : std::exchange(peer.samples, {})) {
    if (conditions_.ShouldForward(sample)) {
      message.samples.push_back(sample);
    }
  }
  message.entry_hosts = roster_.TakeNews(now, address);
  if (peer.evidence_told < evidence_.serial()) {
    message.evidence =
        ToMessages(evidence_.ChangesSince(now, peer.evidence_told));
  }
  peer.calling = true;
  peers_.Call(
      address, kControlGossipPath, Encode(message), kGossipTimeout,
      [this, address, evidence_serial = evidence_.serial(),
       waiting = std::exchange(peer.waiting, {})](const PeerResult& result) {
        if (result) {
          for (const Acknowledge& acknowledge : waiting) {
            acknowledge();
          }
        }
        OnGossipReply(address, evidence_serial, result);
      });
}

// What a call that failed carried is made good by everything, once the other
// answers and its view differs.
void ControlMembership::OnGossipReply(const std::string& address,
                                      std::uint64_t evidence_serial,
                                      const PeerResult& result) {
  auto found = others_.find(address);
  if (found == others_.end()) {
    return;
  }
  Peer& peer = found->second;
  const Instant now = MonotonicNow();
  peer.calling = false;
  const auto reply =
      result ? Decode<GossipReply>(*result) : std::optional<GossipReply>();
  if (!reply) {
    roster_.NotTold(address);
    peer.next_call = now + kGossipPause;
    return;
  }
  // One that has started anew has forgotten what it was told.
  const bool anew = std::exchange(peer.epoch, reply->epoch) != reply->epoch;
  peer.evidence_told = anew ? 0 : evidence_serial;
  const bool same = reply->digest == ServingDigest(directory_.view());
  peer.differing = same ? 0 : peer.differing + 1;
  if (peer.differing >= kDifferingReplies &&
      now - peer.full_at > kFullInterval) {
    peer.differing = 0;
    peer.full_at = now;
    for (const Announcement& news : directory_.ChangesSince(0)) {
      peer.changes[news.target] = news;
    }
  }
  if (!peer.changes.empty() || peer.evidence_told < evidence_.serial()) {
    SendGossip(address, peer);
  }
}

void ControlMembership::OnGossip(const std::string& payload,
                                 const PeerServer::Reply& reply) {
  const auto message = Decode<GossipMessage>(payload);
  if (!message) {
    reply(tl::unexpected(PeerFailure::kRejected));
    return;
  }
  const Instant now = MonotonicNow();
  for (const Announcement& news : message->changes) {
    if (directory_.Take(now, news) == AnnounceResult::kChange) {
      LogChange(news, "control");
    }
  }
  for (const AliveNote& note : message->alive) {
    const Announcement* known = directory_.view().Find(note.target);
    if (known == nullptr || known->incarnation != note.incarnation) {
      continue;
    }
    Announcement alive = *known;
    alive.sequence = note.sequence;
    alive.state = note.state;
    if (directory_.Take(now, alive) == AnnounceResult::kChange) {
      LogChange(alive, "control");
    }
  }
  for (const std::string& host : message->entry_hosts) {
    roster_.HearOf(now, host);
  }
  conditions_.Add(now, message->samples);
  TakeEvidence(message->evidence, "control");
  reply(Encode(GossipReply{ServingDigest(directory_.view()), epoch_}));
}

// Samples of targets that the directory does not know are dropped: callers must
// not make it hold more.
void ControlMembership::OnConditions(const std::string& payload,
                                     const PeerServer::Reply& reply) {
  auto report = Decode<ConditionReport>(payload);
  if (!report) {
    reply(tl::unexpected(PeerFailure::kRejected));
    return;
  }
  std::erase_if(report->samples, [&](const ConditionSample& sample) {
    return directory_.view().Find(sample.target) == nullptr;
  });
  for (const Announcement& news : report->leaving) {
    TakeLeaving(news);
  }
  TakeEvidence(report->evidence, "entry");
  conditions_.Add(MonotonicNow(), report->samples);
  for (auto& [address, peer] : others_) {
    for (const ConditionSample& sample : report->samples) {
      ConditionSample& sum = peer.samples[sample.target];
      sum.target = sample.target;
      sum.timed += sample.timed;
      sum.failures += sample.failures;
      sum.slowness_percent += sample.slowness_percent;
    }
  }
  reply(std::string());
}

void ControlMembership::TakeEvidence(
    const std::vector<EvidenceMessage>& evidence,
    const char* source) {
  const Instant now = MonotonicNow();
  const std::uint64_t before = evidence_.serial();
  for (const EvidenceMessage& message : evidence) {
    const PoisonEvidence one = message.ToEvidence();
    if (evidence_.Add(now, one)) {
      LogEvidence(log_, one, source);
    }
  }
  if (evidence_.serial() == before) {
    return;
  }
  for (auto& [address, peer] : others_) {
    SendGossip(address, peer);
  }
}

void ControlMembership::TakeLeaving(const Announcement& news) {
  const std::uint64_t before = directory_.serial();
  directory_.TakeDrained(MonotonicNow(), news);
  if (directory_.serial() != before) {
    const Announcement& taken = *directory_.view().Find(news.target);
    LogChange(taken, "entry");
    Spread(taken, [] {});
  }
}

bool ControlMembership::HasNews(Instant now,
                                const WatchRequest& request,
                                const ControlView& view) const {
  if (request.epoch != epoch_ || request.serial < urgent_serial_ ||
      request.told_current != view.current) {
    return true;
  }
  if (request.wants_routing &&
      (request.condition_serial < conditions_.serial() ||
       request.evidence_serial < evidence_.serial())) {
    return true;
  }
  const bool batched = now - changed_at_ >= kBatchTime;
  if (request.serial < directory_.serial() && batched) {
    return true;
  }
  if (!view.current && !request.takes_old_routing) {
    return false;
  }
  const std::uint64_t known =
      request.wants_routing
          ? request.routing_version
          : std::max(request.heard_version, request.routing_version);
  return view.routing->version > known;
}

// Hosts that are a few versions behind get what has changed since.
void ControlMembership::AddRouting(const WatchRequest& request,
                                   const Routing& newest,
                                   WatchReply& reply) {
  const auto known =
      std::ranges::find(versions_, request.routing_version, &Routing::version);
  if (known != versions_.end()) {
    std::string& cached = change_cache_[request.routing_version];
    if (cached.empty()) {
      if (const auto change = DifferenceOf(*known, newest)) {
        cached = Compress(Encode(*change));
      }
    }
    reply.routing_change = cached;
  }
  if (reply.routing_change.empty()) {
    if (whole_cache_.empty()) {
      whole_cache_ = Compress(Encode(newest));
    }
    reply.routing = whole_cache_;
  }
}

WatchReply ControlMembership::ReplyTo(const WatchRequest& request,
                                      const ControlView& view) {
  if (versions_.empty() || versions_.back().version < view.routing->version) {
    versions_.push_back(*view.routing);
    change_cache_.clear();
    whole_cache_.clear();
    if (versions_.size() > kVersionsKept) {
      versions_.pop_front();
    }
  }
  WatchReply reply;
  reply.zone = zone_;
  reply.epoch = epoch_;
  reply.serial = directory_.serial();
  reply.digest = ServingDigest(directory_.view());
  reply.changes =
      directory_.ChangesSince(request.epoch == epoch_ ? request.serial : 0);
  reply.routing_version = view.routing->version;
  reply.current = view.current;
  const bool newer = view.routing->version > request.routing_version;
  if (newer && request.wants_routing &&
      (view.current || request.takes_old_routing)) {
    AddRouting(request, *view.routing, reply);
  }
  if (request.wants_routing) {
    const bool known = request.epoch == epoch_;
    reply.condition_serial = conditions_.serial();
    reply.conditions =
        conditions_.ChangesSince(known ? request.condition_serial : 0);
    reply.evidence_serial = evidence_.serial();
    reply.evidence = ToMessages(evidence_.ChangesSince(
        MonotonicNow(), known ? request.evidence_serial : 0));
  } else {
    reply.condition_serial = request.condition_serial;
    reply.evidence_serial = request.evidence_serial;
  }
  reply.entry_hosts = entry_hosts();
  std::string hosts;
  for (const std::string& host : view.control_hosts) {
    hosts += host + ' ';
  }
  reply.control_digest = XXH3_64bits(hosts.data(), hosts.size());
  if (reply.control_digest != request.control_digest) {
    reply.control_hosts = view.control_hosts;
  }
  return reply;
}

void ControlMembership::OnWatch(const std::string& payload,
                                const PeerServer::Reply& reply) {
  auto request = Decode<WatchRequest>(payload);
  if (!request) {
    reply(tl::unexpected(PeerFailure::kRejected));
    return;
  }
  const Instant now = MonotonicNow();
  roster_.Hear(now, request->host);
  const ControlView view = view_();
  if (HasNews(now, *request, view)) {
    reply(Encode(ReplyTo(*request, view)));
    return;
  }
  watches_.push_back({std::move(*request), reply, now + kWatchHold});
}

void ControlMembership::AfterTurn() {
  const Instant now = MonotonicNow();
  if (changed_serial_ != directory_.serial()) {
    changed_serial_ = directory_.serial();
    changed_at_ = now;
  }
  if (watches_.empty()) {
    return;
  }
  const ControlView view = view_();
  std::erase_if(watches_, [&](const HeldWatch& held) {
    const bool due = now >= held.until || HasNews(now, held.request, view);
    if (due) {
      held.reply(Encode(ReplyTo(held.request, view)));
    }
    return due;
  });
}

std::uint32_t ControlMembership::entry_hosts() const {
  return static_cast<std::uint32_t>(roster_.size());
}

// Targets are given up only by a host that has been in touch with the quorum
// for a lease: one that was cut off has not heard what the others heard.
void ControlMembership::Tick() {
  const Instant now = MonotonicNow();
  const ControlView view = view_();
  for (const std::string& address : view.control_hosts) {
    if (address != address_) {
      others_.try_emplace(address);
    }
  }
  std::erase_if(others_, [&](const auto& entry) {
    return !entry.second.calling &&
           std::ranges::find(view.control_hosts, entry.first) ==
               view.control_hosts.end();
  });
  if (!view.current) {
    current_since_ = now;
  } else if (now - current_since_ > lease_) {
    directory_.ForgetEnded(now);
    for (const std::string& target : directory_.DropSilent(now)) {
      LogChange(*directory_.view().Find(target), "silence");
    }
  }
  roster_.Prune(now);
  if (now >= conditions_due_) {
    conditions_due_ = now + kConditionInterval;
    conditions_.Publish(now);
    evidence_.Prune(now);
  }
  if (now >= gossip_due_) {
    gossip_due_ = now + kGossipInterval;
    for (auto& [address, peer] : others_) {
      SendGossip(address, peer);
    }
  }
}

}  // namespace snipeworks
