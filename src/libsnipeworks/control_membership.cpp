#include "snipeworks/control_membership.h"

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <utility>

#include <xxhash.h>

#include "snipeworks/compression.h"
#include "snipeworks/target_events.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Long-poll hold time; watchers time out shortly after it.
constexpr Duration kWatchHoldTime = milliseconds(1000);
// New targets arrive in bursts and are batched; changes that end a target's
// service are sent at once.
constexpr Duration kBatchDelay = milliseconds(200);
// Watchers further behind get the full routing.
constexpr std::size_t kMaxRecentVersions = 8;
constexpr Duration kGossipInterval = milliseconds(500);
// How often the conditions of targets are recomputed; entry hosts are sent them
// at most this often.
constexpr Duration kConditionInterval = milliseconds(300);
constexpr Duration kGossipTimeout = milliseconds(800);
constexpr Duration kGossipRetryDelay = milliseconds(300);
constexpr int kMismatchesBeforeFullSync = 2;
constexpr Duration kFullSyncInterval = milliseconds(1500);

// A host that is behind another one has a lower index, so watchers do not take
// its older set.
bool HasOtherEvacuations(const WatchRequest& request, const ControlView& view) {
  return view.applied_index > request.evacuation_index &&
         EvacuationDigest(view.evacuated_zones) != request.evacuation_digest;
}

}  // namespace

ControlMembership::ControlMembership(PeerClient& peers,
                                     EventLog& log,
                                     std::string address,
                                     std::string zone,
                                     Duration lease,
                                     std::function<ControlView()> view)
    : peers_(peers),
      log_(log),
      address_(std::move(address)),
      zone_(std::move(zone)),
      lease_(lease),
      view_(std::move(view)),
      directory_(lease),
      epoch_((std::uint64_t{std::random_device()()} << 32) |
             std::random_device()()) {}

void ControlMembership::OnTargetChange(const Announcement& announcement,
                                       const char* source,
                                       bool in_use) {
  // A target that is in use and has become cold gets too much until entry hosts
  // know.
  if (announcement.state != TargetState::kServing ||
      (in_use && directory_.shares_cold())) {
    urgent_serial_ = directory_.serial();
  }
  LogTargetChange(log_, announcement, source);
}

bool ControlMembership::IsServing(const std::string& target) const {
  const Announcement* known = directory_.view().Find(target);
  return known != nullptr && known->state == TargetState::kServing;
}

std::optional<Departure> ControlMembership::OnReport(
    const Announcement& announcement) {
  const bool in_use = IsServing(announcement.target);
  const AnnounceResult result = directory_.Apply(MonotonicNow(), announcement);
  const Announcement* known = directory_.view().Find(announcement.target);
  if (result == AnnounceResult::kChange) {
    OnTargetChange(*known, "report", in_use);
    Propagate(*known);
  } else if (result == AnnounceResult::kRenewal) {
    for (auto& [address, peer] : other_hosts_) {
      peer.heartbeats[announcement.target] = {
          announcement.target, announcement.incarnation, announcement.sequence,
          announcement.state};
    }
  }
  // A report of another writer that was rejected says nothing of the target.
  const bool rejected = known != nullptr &&
                        known->incarnation <= announcement.incarnation &&
                        known->state == TargetState::kServing;
  if (announcement.state == TargetState::kServing || rejected) {
    return std::nullopt;
  }
  return Departure{announcement.target, announcement.incarnation};
}

Departure ControlMembership::OnLeave(const LeaveRequest& leave,
                                     std::int64_t wall_ms) {
  const std::uint64_t before = directory_.serial();
  directory_.MarkLeaving(MonotonicNow(), leave.target, leave.incarnation,
                         leave.sequence);
  const Announcement* known = directory_.view().Find(leave.target);
  if (directory_.serial() != before) {
    OnTargetChange(*known, "leave");
    Propagate(*known);
  }
  const auto latest = known != nullptr ? known->incarnation
                                       : static_cast<std::uint64_t>(wall_ms);
  return {leave.target, leave.incarnation.value_or(latest)};
}

void ControlMembership::OnDeparted(const Departure& departure) {
  const std::uint64_t before = directory_.serial();
  directory_.MarkDeparted(MonotonicNow(), departure);
  if (directory_.serial() != before) {
    const Announcement& known = *directory_.view().Find(departure.target);
    OnTargetChange(known, "log");
    Propagate(known);
  }
}

// Not propagated at once: each control host restores its own, and after the
// loss of all of them these are the same targets.
void ControlMembership::Restore(const std::vector<Announcement>& targets) {
  const Instant now = MonotonicNow();
  for (const Announcement& target : targets) {
    directory_.Apply(now, target);
  }
}

void ControlMembership::UpdateRoutedGroups(Instant now,
                                           const Routing& routing) {
  if (std::exchange(routed_version_, routing.version) == routing.version) {
    return;
  }
  std::set<std::string> groups;
  for (const Route& route : routing.routes) {
    groups.insert(route.shards.names().begin(), route.shards.names().end());
    for (const WeightedGroup& weighted : route.groups) {
      groups.insert(weighted.group);
    }
  }
  directory_.SetRoutedGroups(now, std::move(groups));
}

void ControlMembership::Propagate(const Announcement& announcement) {
  for (auto& [address, peer] : other_hosts_) {
    peer.heartbeats.erase(announcement.target);
    peer.changes[announcement.target] = announcement;
    SendGossip(address, peer);
  }
}

void ControlMembership::SendGossip(const std::string& address, Peer& peer) {
  const Instant now = MonotonicNow();
  if (peer.call_in_flight || now < peer.next_call_at) {
    return;
  }
  GossipMessage message;
  message.host = address_;
  for (const auto& [target, announcement] : std::exchange(peer.changes, {})) {
    message.changes.push_back(announcement);
  }
  for (const auto& [target, heartbeat] : std::exchange(peer.heartbeats, {})) {
    message.heartbeats.push_back(heartbeat);
  }
  for (const auto& [target, sample] : std::exchange(peer.samples, {})) {
    if (conditions_.ShouldForward(sample)) {
      message.samples.push_back(sample);
    }
  }
  message.entry_hosts = entry_host_registry_.TakeUpdates(now, address);
  if (peer.acked_evidence_serial < evidence_.serial()) {
    message.evidence =
        ToMessages(evidence_.ChangesSince(now, peer.acked_evidence_serial));
  }
  peer.call_in_flight = true;
  peers_.Call(address, kControlGossipPath, Encode(message), kGossipTimeout,
              [this, address,
               evidence_serial = evidence_.serial()](const PeerResult& result) {
                OnGossipReply(address, evidence_serial, result);
              });
}

// The content of a failed call is not resent: a full sync makes up for it once
// the peer answers with a different digest.
void ControlMembership::OnGossipReply(const std::string& address,
                                      std::uint64_t evidence_serial,
                                      const PeerResult& result) {
  auto found = other_hosts_.find(address);
  if (found == other_hosts_.end()) {
    return;
  }
  Peer& peer = found->second;
  const Instant now = MonotonicNow();
  peer.call_in_flight = false;
  const auto reply =
      result ? Decode<GossipReply>(*result) : std::optional<GossipReply>();
  if (!reply) {
    entry_host_registry_.OnDeliveryFailed(address);
    peer.next_call_at = now + kGossipRetryDelay;
    return;
  }
  // A restarted peer has lost what it was sent.
  const bool restarted =
      std::exchange(peer.epoch, reply->epoch) != reply->epoch;
  peer.acked_evidence_serial = restarted ? 0 : evidence_serial;
  const bool in_sync = reply->digest == ServingDigest(directory_.view());
  peer.digest_mismatches = in_sync ? 0 : peer.digest_mismatches + 1;
  if (peer.digest_mismatches >= kMismatchesBeforeFullSync &&
      now - peer.full_sync_at > kFullSyncInterval) {
    peer.digest_mismatches = 0;
    peer.full_sync_at = now;
    for (const Announcement& announcement : directory_.ChangesSince(now, 0)) {
      peer.changes[announcement.target] = announcement;
    }
  }
  if (!peer.changes.empty() ||
      peer.acked_evidence_serial < evidence_.serial()) {
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
  for (const Announcement& announcement : message->changes) {
    const bool in_use = IsServing(announcement.target);
    if (directory_.Apply(now, announcement) == AnnounceResult::kChange) {
      const Announcement& known = *directory_.view().Find(announcement.target);
      OnTargetChange(known, "control", in_use);
      // The sender does not know that the target has departed.
      if (known.state != announcement.state) {
        Propagate(known);
      }
    }
  }
  for (const Heartbeat& heartbeat : message->heartbeats) {
    const Announcement* known = directory_.view().Find(heartbeat.target);
    if (known == nullptr || known->incarnation != heartbeat.incarnation) {
      continue;
    }
    Announcement renewed = *known;
    renewed.sequence = heartbeat.sequence;
    renewed.state = heartbeat.state;
    renewed.cold_ms = directory_.ColdTimeLeftMs(now, heartbeat.target);
    if (directory_.Apply(now, renewed) == AnnounceResult::kChange) {
      OnTargetChange(renewed, "control");
    }
  }
  for (const RelayHost& host : message->entry_hosts) {
    entry_host_registry_.RecordRelayedContact(now, host);
  }
  conditions_.Add(now, message->samples);
  ApplyEvidence(message->evidence, "control");
  reply(Encode(GossipReply{ServingDigest(directory_.view()), epoch_}));
}

// Drops samples of targets that the directory does not know: callers must not
// be able to grow the state kept here.
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
  for (const Announcement& announcement : report->leaving) {
    ApplyDraining(announcement);
  }
  ApplyEvidence(report->evidence, "entry");
  conditions_.Add(MonotonicNow(), report->samples);
  for (auto& [address, peer] : other_hosts_) {
    for (const ConditionSample& sample : report->samples) {
      ConditionSample& pending = peer.samples[sample.target];
      pending.target = sample.target;
      pending.timed += sample.timed;
      pending.failures += sample.failures;
      pending.slowness_percent += sample.slowness_percent;
      if (sample.stated_limit) {
        pending.stated_limit = sample.stated_limit;
      }
    }
  }
  reply(std::string());
}

void ControlMembership::ApplyEvidence(
    const std::vector<EvidenceMessage>& evidence,
    const char* source) {
  const Instant now = MonotonicNow();
  const std::uint64_t before = evidence_.serial();
  for (const EvidenceMessage& message : evidence) {
    const PoisonEvidence item = message.ToEvidence();
    if (evidence_.Add(now, item)) {
      LogEvidence(log_, item, source);
    }
  }
  if (evidence_.serial() == before) {
    return;
  }
  for (auto& [address, peer] : other_hosts_) {
    SendGossip(address, peer);
  }
}

void ControlMembership::ApplyDraining(const Announcement& announcement) {
  const std::uint64_t before = directory_.serial();
  directory_.MarkDrained(MonotonicNow(), announcement);
  if (directory_.serial() != before) {
    const Announcement& draining = *directory_.view().Find(announcement.target);
    OnTargetChange(draining, "entry");
    Propagate(draining);
  }
}

bool ControlMembership::HasUpdates(Instant now,
                                   const WatchRequest& request,
                                   const ControlView& view) const {
  if (request.epoch != epoch_ || request.serial < urgent_serial_ ||
      request.known_current != view.current ||
      HasOtherEvacuations(request, view)) {
    return true;
  }
  if (request.wants_routing &&
      (request.condition_serial < conditions_.serial() ||
       request.evidence_serial < evidence_.serial())) {
    return true;
  }
  const bool batched = now - last_change_at_ >= kBatchDelay;
  if (request.serial < directory_.serial() && batched) {
    return true;
  }
  if (!view.current && !request.accepts_stale_routing) {
    return false;
  }
  const std::uint64_t known =
      request.wants_routing
          ? request.routing_version
          : std::max(request.newest_seen_version, request.routing_version);
  return view.routing->version > known;
}

// Watchers that are a few versions behind get only the difference.
void ControlMembership::AddRouting(const WatchRequest& request,
                                   const Routing& newest,
                                   WatchReply& reply) {
  const auto known = std::ranges::find(
      recent_versions_, request.routing_version, &Routing::version);
  if (known != recent_versions_.end()) {
    std::string& cached = routing_change_cache_[request.routing_version];
    if (cached.empty()) {
      if (const auto change = DiffRouting(*known, newest)) {
        cached = Compress(Encode(*change));
      }
    }
    reply.routing_change = cached;
  }
  if (reply.routing_change.empty()) {
    if (full_routing_cache_.empty()) {
      full_routing_cache_ = Compress(Encode(newest));
    }
    reply.routing = full_routing_cache_;
  }
}

WatchReply ControlMembership::MakeReply(const WatchRequest& request,
                                        const ControlView& view) {
  if (recent_versions_.empty() ||
      recent_versions_.back().version < view.routing->version) {
    recent_versions_.push_back(*view.routing);
    routing_change_cache_.clear();
    full_routing_cache_.clear();
    if (recent_versions_.size() > kMaxRecentVersions) {
      recent_versions_.pop_front();
    }
  }
  WatchReply reply;
  reply.zone = zone_;
  reply.epoch = epoch_;
  reply.serial = directory_.serial();
  reply.digest = ServingDigest(directory_.view());
  reply.changes = directory_.ChangesSince(
      MonotonicNow(), request.epoch == epoch_ ? request.serial : 0);
  reply.routing_version = view.routing->version;
  reply.current = view.current;
  const bool newer = view.routing->version > request.routing_version;
  if (newer && request.wants_routing &&
      (view.current || request.accepts_stale_routing)) {
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
  if (HasOtherEvacuations(request, view)) {
    reply.evacuation_index = view.applied_index;
    reply.evacuated_zones = view.evacuated_zones;
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
  std::vector<RelayHost> relays = entry_host_registry_.RelaysFor(request.host);
  const std::string relay_text = Encode(relays);
  reply.relay_digest = XXH3_64bits(relay_text.data(), relay_text.size());
  if (reply.relay_digest != request.relay_digest) {
    reply.relay_hosts = std::move(relays);
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
  entry_host_registry_.RecordContact(
      now, {request->host, request->zone, request->relay_address});
  const ControlView view = view_();
  UpdateRoutedGroups(now, *view.routing);
  if (HasUpdates(now, *request, view)) {
    reply(Encode(MakeReply(*request, view)));
    return;
  }
  pending_watches_.push_back(
      {std::move(*request), reply, now + kWatchHoldTime});
}

void ControlMembership::AfterEventBatch() {
  const Instant now = MonotonicNow();
  if (last_change_serial_ != directory_.serial()) {
    last_change_serial_ = directory_.serial();
    last_change_at_ = now;
  }
  if (pending_watches_.empty()) {
    return;
  }
  const ControlView view = view_();
  UpdateRoutedGroups(now, *view.routing);
  std::erase_if(pending_watches_, [&](const PendingWatch& watch) {
    const bool due = now >= watch.until || HasUpdates(now, watch.request, view);
    if (due) {
      watch.reply(Encode(MakeReply(watch.request, view)));
    }
    return due;
  });
}

std::uint32_t ControlMembership::entry_hosts() const {
  return static_cast<std::uint32_t>(entry_host_registry_.size());
}

// Only a host that has been in touch with the quorum for a full lease expires
// targets: a host that was partitioned has missed reports that its peers
// received.
void ControlMembership::Tick() {
  const Instant now = MonotonicNow();
  const ControlView view = view_();
  UpdateRoutedGroups(now, *view.routing);
  directory_.SetShareCold(
      now,
      std::ranges::any_of(view.routing->groups, [](const GroupSpec& group) {
        return group.cold_requests_per_second > 0.0;
      }));
  for (const std::string& address : view.control_hosts) {
    if (address != address_) {
      other_hosts_.try_emplace(address);
    }
  }
  std::erase_if(other_hosts_, [&](const auto& entry) {
    return !entry.second.call_in_flight &&
           std::ranges::find(view.control_hosts, entry.first) ==
               view.control_hosts.end();
  });
  if (!view.current) {
    current_since_ = now;
  } else if (now - current_since_ > lease_) {
    directory_.ForgetEnded(now);
    for (const std::string& target : directory_.ExpireLeases(now)) {
      OnTargetChange(*directory_.view().Find(target), "silence");
    }
  }
  entry_host_registry_.Prune(now);
  if (now >= conditions_due_) {
    conditions_due_ = now + kConditionInterval;
    conditions_.Publish(now);
    evidence_.Prune(now);
  }
  if (now >= gossip_due_) {
    gossip_due_ = now + kGossipInterval;
    for (auto& [address, peer] : other_hosts_) {
      SendGossip(address, peer);
    }
  }
}

}  // namespace snipeworks
