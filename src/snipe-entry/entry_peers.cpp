#include "entry_peers.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "snipeworks/control_messages.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kRenewalInterval = milliseconds(1000);
constexpr Duration kStaleInterval = milliseconds(250);
// Hosts that are asked at a time: one of them may be the one that is cut off.
constexpr std::size_t kStaleAsked = 2;
constexpr Duration kControlInterval = milliseconds(500);
constexpr Duration kCallTimeout = milliseconds(1000);
// Bounds the wait before a suspected request runs once more.
constexpr Duration kEvidenceTimeout = milliseconds(50);
// Without another entry host to ask, targets announce themselves within this.
constexpr Duration kFirstViewWait = milliseconds(2500);

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
      others_.push_back(host.address.ToString());
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
  FetchFirstView();
  loop_.After(kFirstViewWait, [this] { synced_ = true; });
  loop_.Every(kRenewalInterval, [this] { SendRenewals(); });
  loop_.Every(kStaleInterval, [this] { AskForStale(); });
  PollControl();
  loop_.Every(kControlInterval, [this] { PollControl(); });
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
    case AnnounceResult::kOld:
      return;
    case AnnounceResult::kChange:
      SpreadChange(announcement);
      return;
    case AnnounceResult::kRenewal:
      renewals_.push_back({announcement.target, announcement.incarnation,
                           announcement.sequence, announcement.queued,
                           controller_.view().DigestOf(announcement.target),
                           0});
      renewed_at_.push_back(MonotonicNow());
      return;
  }
}

// A change goes on from every host that hears of it for the first time, so
// that one cut link does not hold it up.
void EntryPeers::SpreadChange(const Announcement& announcement) {
  const AnnouncementBatch batch{
      settings_.host(),
      {{announcement, AgeOf(controller_.view(), announcement.target)}}};
  const std::string payload = Encode(batch);
  for (const std::string& address : others_) {
    client_.Call(address, kChangesPath, payload, kCallTimeout,
                 [](const PeerResult&) {});
  }
}

void EntryPeers::SendRenewals() {
  RenewalBatch batch;
  batch.host = settings_.host();
  batch.view_digest = controller_.view().Digest();
  batch.settings_version = settings_store_.version();
  batch.renewals = std::exchange(renewals_, {});
  const std::vector<Instant> heard = std::exchange(renewed_at_, {});
  const Instant now = MonotonicNow();
  for (std::size_t i = 0; i < batch.renewals.size(); ++i) {
    batch.renewals[i].age_us = (now - heard[i]).count();
  }
  const std::string payload = Encode(batch);
  for (const std::string& address : others_) {
    client_.Call(address, kRenewalsPath, payload, kCallTimeout,
                 [](const PeerResult&) {});
  }
}

void EntryPeers::TakeRenewals(const std::string& payload) {
  auto batch = Decode<RenewalBatch>(payload);
  if (!batch) {
    return;
  }
  const bool agreed = RenewFrom(*batch);
  const auto sender =
      std::ranges::find(settings_.entry_hosts(), batch->host, &PeerHost::host);
  if (sender == settings_.entry_hosts().end()) {
    return;
  }
  const std::string address = sender->address.ToString();
  const bool differs = batch->view_digest != controller_.view().Digest();
  // Not every differing batch is followed up: a change that is on its way needs
  // no second copy.
  if (!agreed || (differs && random_.Below(2) == 0)) {
    FetchView(address);
  }
  if (batch->settings_version > settings_store_.version()) {
    FetchSettings(address, kSettingsPath);
  }
}

// Returns false if another host knows something else of a target than this one:
// a view in full must tell.
bool EntryPeers::RenewFrom(const RenewalBatch& batch) {
  const Instant now = MonotonicNow();
  bool agreed = true;
  for (const Renewal& renewal : batch.renewals) {
    const auto renewed = controller_.view().Renewed(
        {renewal.target, renewal.incarnation, renewal.sequence, renewal.queued,
         renewal.digest});
    if (renewed) {
      controller_.Announce(now, *renewed, Duration(renewal.age_us));
    } else {
      agreed = false;
    }
  }
  return agreed;
}

// A target can always post to the same host, and the link from that host can be
// cut: renewals that did not come are fetched from others before the lease runs
// out.
void EntryPeers::AskForStale() {
  const Instant now = MonotonicNow();
  const TargetView& view = controller_.view();
  StaleQuery query;
  for (const Announcement* one : view.All()) {
    const Duration age = view.Age(now, one->target).value_or(Duration{});
    if (age > view.lease() * 3 / 4 && age < view.lease() * 2) {
      query.targets.push_back(one->target);
    }
  }
  if (query.targets.empty() || others_.empty()) {
    return;
  }
  const std::string payload = Encode(query);
  const std::size_t first = random_.Below(others_.size());
  const std::size_t asked = std::min(kStaleAsked, others_.size());
  for (std::size_t i = 0; i < asked; ++i) {
    client_.Call(others_[(first + i) % others_.size()], kStalePath, payload,
                 kCallTimeout, [this](const PeerResult& result) {
                   if (!result) {
                     return;
                   }
                   if (auto batch = Decode<RenewalBatch>(*result)) {
                     RenewFrom(*batch);
                   }
                 });
  }
}

std::string EntryPeers::RenewalsOf(const StaleQuery& query) const {
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

void EntryPeers::TakeAnnouncements(const std::string& payload,
                                   bool spread_changes) {
  auto batch = Decode<AnnouncementBatch>(payload);
  if (!batch) {
    LOG(WARNING) << "event=bad_announcements bytes=" << payload.size();
    return;
  }
  const Instant now = MonotonicNow();
  for (const RelayedAnnouncement& relayed : batch->announcements) {
    const AnnounceResult result = controller_.Announce(
        now, relayed.announcement, Duration(relayed.age_us));
    if (spread_changes && result == AnnounceResult::kChange) {
      SpreadChange(relayed.announcement);
    }
  }
}

std::string EntryPeers::ViewInFull() const {
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
                   TakeAnnouncements(*result, false);
                   synced_ = true;
                 }
               });
}

void EntryPeers::FetchFirstView() {
  for (const std::string& address : others_) {
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
                 if (auto offer = Decode<VersionedSettings>(*result)) {
                   settings_store_.Offer(*offer);
                 }
               });
}

// Asks the control hosts in turn; any of them tells what it has applied.
void EntryPeers::PollControl() {
  const auto& hosts = settings_.control_hosts();
  if (!hosts.empty()) {
    FetchSettings(hosts[next_control_++ % hosts.size()].address.ToString(),
                  kControlSettingsPath);
  }
  if (settings_store_.version() == 0) {
    for (const std::string& address : others_) {
      FetchSettings(address, kSettingsPath);
    }
  }
}

void EntryPeers::Share(const ShareEvidence& share) {
  const std::string payload = Encode(EvidenceMessage::From(share.evidence));
  const Fingerprint fingerprint = share.evidence.fingerprint;
  if (others_.empty() && share.confirm) {
    loop_.Post([this, fingerprint] {
      controller_.OnEvidenceShared(MonotonicNow(), fingerprint, false);
    });
  }
  struct Tally {
    std::size_t open = 0;
    bool running = false;
  };
  auto tally = std::make_shared<Tally>(Tally{others_.size(), false});
  for (const std::string& address : others_) {
    client_.Call(address, kEvidencePath, payload, kEvidenceTimeout,
                 [this, tally, fingerprint,
                  confirm = share.confirm](const PeerResult& result) {
                   if (result) {
                     auto reply = Decode<EvidenceReply>(*result);
                     tally->running |= reply && reply->running;
                   }
                   if (--tally->open == 0 && confirm) {
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
    TakeAnnouncements(payload, true);
    reply(std::string());
  } else if (path == kRenewalsPath) {
    TakeRenewals(payload);
    reply(std::string());
  } else if (path == kStalePath) {
    auto query = Decode<StaleQuery>(payload);
    reply(RenewalsOf(query.value_or(StaleQuery{})));
  } else if (path == kViewPath) {
    reply(ViewInFull());
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
