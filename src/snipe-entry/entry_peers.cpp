#include "entry_peers.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "snipeworks/control_messages.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kRenewalInterval = milliseconds(1000);
constexpr Duration kStaleCheckInterval = milliseconds(250);
// Hosts queried at a time: more than one, as one of them may be partitioned.
constexpr std::size_t kMaxStaleQueries = 2;
constexpr Duration kControlPollInterval = milliseconds(500);
constexpr Duration kCallTimeout = milliseconds(1000);
// Bounds the delay before a suspected request runs again.
constexpr Duration kEvidenceTimeout = milliseconds(50);
// Targets announce themselves within this time, so that a host without
// reachable peers knows them too.
constexpr Duration kInitialViewTimeout = milliseconds(2500);

std::int64_t AgeOf(const TargetView& view, const std::string& target) {
  return view.Age(MonotonicNow(), target).value_or(Duration{}).count();
}

}  // namespace

EntryPeers::EntryPeers(EventLoop& loop,
                       const HostSettings& settings,
                       SearchController& controller,
                       SettingsStore& settings_store,
                       Random& random)
    : loop_(loop),
      settings_(settings),
      controller_(controller),
      settings_store_(settings_store),
      random_(random),
      client_(loop) {
  for (const PeerHost& host : settings.entry_hosts()) {
    if (host.host != settings.host()) {
      peer_addresses_.push_back(host.address.ToString());
    }
  }
}

Result<void> EntryPeers::Start() {
  auto server = PeerServer::Start(
      loop_, settings_.peer(),
      [this](const std::string& path, const std::string& payload,
             const PeerServer::Reply& reply) { OnCall(path, payload, reply); });
  if (!server) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  FetchInitialViews();
  loop_.After(kInitialViewTimeout, [this] { synced_ = true; });
  loop_.Every(kRenewalInterval, [this] { SendRenewals(); });
  loop_.Every(kStaleCheckInterval, [this] { QueryStaleTargets(); });
  PollControlHosts();
  loop_.Every(kControlPollInterval, [this] { PollControlHosts(); });
  return {};
}

PeerTraffic EntryPeers::traffic() const {
  PeerTraffic sum = client_.traffic();
  if (server_) {
    sum.bytes_sent += server_->traffic().bytes_sent;
    sum.bytes_received += server_->traffic().bytes_received;
    sum.calls_received += server_->traffic().calls_received;
  }
  return sum;
}

void EntryPeers::OnAnnouncement(const Announcement& announcement) {
  switch (controller_.Announce(MonotonicNow(), announcement)) {
    case AnnounceResult::kStale:
      return;
    case AnnounceResult::kChange:
      BroadcastChange(announcement);
      return;
    case AnnounceResult::kRenewal:
      pending_renewals_.push_back(
          {announcement.target, announcement.incarnation, announcement.sequence,
           announcement.queued,
           controller_.view().DigestOf(announcement.target), 0});
      renewal_times_.push_back(MonotonicNow());
      return;
  }
}

// Every host that learns of a change relays it once, so that a partitioned link
// does not delay it.
void EntryPeers::BroadcastChange(const Announcement& announcement) {
  const AnnouncementBatch batch{
      settings_.host(),
      {{announcement, AgeOf(controller_.view(), announcement.target)}}};
  const std::string payload = Encode(batch);
  for (const std::string& address : peer_addresses_) {
    client_.Call(address, kChangesPath, payload, kCallTimeout,
                 [](const PeerResult&) {});
  }
}

void EntryPeers::SendRenewals() {
  RenewalBatch batch;
  batch.host = settings_.host();
  batch.view_digest = controller_.view().Digest();
  batch.settings_version = settings_store_.version();
  batch.caller_address = settings_.http().ToString();
  batch.renewals = std::exchange(pending_renewals_, {});
  const std::vector<Instant> received_at = std::exchange(renewal_times_, {});
  const Instant now = MonotonicNow();
  for (std::size_t i = 0; i < batch.renewals.size(); ++i) {
    batch.renewals[i].age_us = (now - received_at[i]).count();
  }
  const std::string payload = Encode(batch);
  for (const std::string& address : peer_addresses_) {
    client_.Call(address, kRenewalsPath, payload, kCallTimeout,
                 [](const PeerResult&) {});
  }
}

void EntryPeers::OnRenewals(const std::string& payload) {
  auto batch = Decode<RenewalBatch>(payload);
  if (!batch) {
    return;
  }
  const bool consistent = ApplyRenewals(*batch);
  const auto sender =
      std::ranges::find(settings_.entry_hosts(), batch->host, &PeerHost::host);
  if (sender == settings_.entry_hosts().end()) {
    return;
  }
  RememberRelay(*sender, batch->caller_address);
  const std::string address = sender->address.ToString();
  const bool views_differ = batch->view_digest != controller_.view().Digest();
  // Fetches the view for only half of the differing digests, as a change that
  // is still being relayed needs no second copy.
  if (!consistent || (views_differ && random_.Below(2) == 0)) {
    FetchView(address);
  }
  if (batch->settings_version > settings_store_.version()) {
    FetchSettings(address, kSettingsPath);
  }
}

void EntryPeers::RememberRelay(const PeerHost& sender,
                               const std::string& address) {
  const RelayHost relay{sender.host, sender.zone, address};
  RelayHost& known = relay_hosts_[sender.host];
  if (known == relay || address.empty()) {
    return;
  }
  known = relay;
  std::vector<RelayHost> all;
  for (const auto& [host, other] : relay_hosts_) {
    all.push_back(other);
  }
  on_relay_hosts_(all);
}

// Returns false if the sender's state of a target differs from this host's, so
// that the full view must be fetched.
bool EntryPeers::ApplyRenewals(const RenewalBatch& batch) {
  const Instant now = MonotonicNow();
  bool consistent = true;
  for (const Renewal& renewal : batch.renewals) {
    const auto renewed = controller_.view().Renewed(
        {renewal.target, renewal.incarnation, renewal.sequence, renewal.queued,
         renewal.digest});
    if (renewed) {
      controller_.Announce(now, *renewed, Duration(renewal.age_us));
    } else {
      consistent = false;
    }
  }
  return consistent;
}

// A target may always post to the same host, and the link from that host may be
// partitioned: missing renewals are fetched from other hosts before the lease
// expires.
void EntryPeers::QueryStaleTargets() {
  const Instant now = MonotonicNow();
  const TargetView& view = controller_.view();
  StaleQuery query;
  for (const Announcement* announced : view.All()) {
    const Duration age = view.Age(now, announced->target).value_or(Duration{});
    if (age > view.lease() * 3 / 4 && age < view.lease() * 2) {
      query.targets.push_back(announced->target);
    }
  }
  if (query.targets.empty() || peer_addresses_.empty()) {
    return;
  }
  const std::string payload = Encode(query);
  const std::size_t first_index = random_.Below(peer_addresses_.size());
  const std::size_t query_count =
      std::min(kMaxStaleQueries, peer_addresses_.size());
  for (std::size_t i = 0; i < query_count; ++i) {
    client_.Call(peer_addresses_[(first_index + i) % peer_addresses_.size()],
                 kStalePath, payload, kCallTimeout,
                 [this](const PeerResult& result) {
                   if (!result) {
                     return;
                   }
                   if (auto batch = Decode<RenewalBatch>(*result)) {
                     ApplyRenewals(*batch);
                   }
                 });
  }
}

std::string EntryPeers::EncodeRenewals(const StaleQuery& query) const {
  RenewalBatch batch;
  batch.host = settings_.host();
  for (const std::string& target : query.targets) {
    if (const Announcement* known = controller_.view().Find(target)) {
      batch.renewals.push_back({known->target, known->incarnation,
                                known->sequence, known->queued,
                                controller_.view().DigestOf(target),
                                AgeOf(controller_.view(), target)});
    }
  }
  return Encode(batch);
}

void EntryPeers::ApplyAnnouncements(const std::string& payload,
                                    bool broadcast_changes) {
  auto batch = Decode<AnnouncementBatch>(payload);
  if (!batch) {
    LOG(WARNING) << "event=bad_announcements bytes=" << payload.size();
    return;
  }
  const Instant now = MonotonicNow();
  for (const RelayedAnnouncement& relayed : batch->announcements) {
    const AnnounceResult result = controller_.Announce(
        now, relayed.announcement, Duration(relayed.age_us));
    if (broadcast_changes && result == AnnounceResult::kChange) {
      BroadcastChange(relayed.announcement);
    }
  }
}

std::string EntryPeers::EncodeView() const {
  AnnouncementBatch batch;
  batch.host = settings_.host();
  for (const Announcement* announcement : controller_.view().All()) {
    batch.announcements.push_back(
        {*announcement, AgeOf(controller_.view(), announcement->target)});
  }
  return Encode(batch);
}

void EntryPeers::FetchView(const std::string& address) {
  client_.Call(address, kViewPath, "", kCallTimeout,
               [this](const PeerResult& result) {
                 if (result) {
                   ApplyAnnouncements(*result, false);
                   synced_ = true;
                 }
               });
}

void EntryPeers::FetchInitialViews() {
  for (const std::string& address : peer_addresses_) {
    FetchView(address);
  }
}

void EntryPeers::FetchSettings(const std::string& address, const char* path) {
  const SettingsQuery query{settings_.host(), settings_store_.version()};
  client_.Call(address, path, Encode(query), kCallTimeout,
               [this](const PeerResult& result) {
                 if (!result) {
                   return;
                 }
                 if (auto received = Decode<VersionedSettings>(*result)) {
                   settings_store_.UpdateIfNewer(*received);
                 }
               });
}

// Asks the control hosts in turn; each answers with the settings that it has
// applied.
void EntryPeers::PollControlHosts() {
  const auto& hosts = settings_.control_hosts();
  if (!hosts.empty()) {
    FetchSettings(hosts[next_control_host_++ % hosts.size()].address.ToString(),
                  kControlSettingsPath);
  }
  if (settings_store_.version() == 0) {
    for (const std::string& address : peer_addresses_) {
      FetchSettings(address, kSettingsPath);
    }
  }
}

void EntryPeers::BroadcastEvidence(const ShareEvidence& share) {
  const std::string payload = Encode(EvidenceMessage::From(share.evidence));
  const Fingerprint fingerprint = share.evidence.fingerprint;
  if (peer_addresses_.empty() && share.confirm) {
    loop_.Post([this, fingerprint] {
      controller_.OnEvidenceShared(MonotonicNow(), fingerprint, false);
    });
  }
  struct Tally {
    std::size_t unanswered = 0;
    bool running = false;
  };
  auto tally = std::make_shared<Tally>(Tally{peer_addresses_.size(), false});
  for (const std::string& address : peer_addresses_) {
    client_.Call(address, kEvidencePath, payload, kEvidenceTimeout,
                 [this, tally, fingerprint,
                  confirm = share.confirm](const PeerResult& result) {
                   if (result) {
                     auto reply = Decode<EvidenceReply>(*result);
                     tally->running |= reply && reply->running;
                   }
                   if (--tally->unanswered == 0 && confirm) {
                     controller_.OnEvidenceShared(MonotonicNow(), fingerprint,
                                                  tally->running);
                   }
                 });
  }
}

void EntryPeers::OnCall(const std::string& path,
                        const std::string& payload,
                        const PeerServer::Reply& reply) {
  if (path == kChangesPath) {
    ApplyAnnouncements(payload, true);
    reply(std::string());
  } else if (path == kRenewalsPath) {
    OnRenewals(payload);
    reply(std::string());
  } else if (path == kStalePath) {
    auto query = Decode<StaleQuery>(payload);
    reply(EncodeRenewals(query.value_or(StaleQuery{})));
  } else if (path == kViewPath) {
    reply(EncodeView());
  } else if (path == kSettingsPath) {
    reply(Encode(settings_store_.current()));
  } else if (path == kEvidencePath) {
    auto message = Decode<EvidenceMessage>(payload);
    if (!message) {
      reply(tl::unexpected(PeerFailure::kRejected));
      return;
    }
    const bool running =
        controller_.OnEvidence(MonotonicNow(), message->ToEvidence());
    reply(Encode(EvidenceReply{running}));
  } else {
    reply(tl::unexpected(PeerFailure::kRejected));
  }
}

}  // namespace snipeworks
