#include "snipeworks/control_host.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "snipeworks/caller_api.h"
#include "snipeworks/compression.h"
#include "snipeworks/entry_messages.h"
#include "snipeworks/text.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kMembershipTickInterval = milliseconds(100);
constexpr Duration kConsensusTimeout = milliseconds(1000);
constexpr Duration kBootstrapTimeout = milliseconds(1000);
// How often a failed store is reopened.
constexpr Duration kReopenInterval = milliseconds(500);
// A host whose event loop did not run for this long has missed messages that
// its peers received.
constexpr Duration kStallThreshold = milliseconds(1000);
// Several reports in a row must be missed before a target counts as gone: a
// report that fails at one control host is first retried at the next one.
constexpr int kMissedReportsPerLease = 5;
constexpr std::size_t kMaxHistoryEntries = 50;
// Operators send up to eight changes at once. A quarter of the 256 MB that the
// smallest hosts have.
constexpr std::size_t kClientMemoryBytes = std::size_t{64} * 1024 * 1024;

// Returns the peer address of a control host that is known by another address:
// peers use one port on all hosts.
std::string PeerAddressOf(const Address& seed, const HostSettings& settings) {
  return Address{seed.ip, settings.peer().port}.ToString();
}

// Each of them is one founding voter, however often the settings name it.
std::vector<std::string> Seeds(const HostSettings& settings) {
  std::vector<std::string> seeds;
  for (const PeerHost& host : settings.control_hosts()) {
    seeds.push_back(host.address.ToString());
  }
  for (const Address& seed : settings.control_seeds()) {
    seeds.push_back(PeerAddressOf(seed, settings));
  }
  return WithoutRepetitions(std::move(seeds));
}

ConsensusConfig ConfigFor(const HostSettings& settings) {
  ConsensusConfig config;
  config.host = MemberName(settings);
  config.address = settings.peer().ToString();
  config.seeds = Seeds(settings);
  config.random_seed = std::random_device()();
  config.automatic_members = settings.automatic_members();
  // A quorum must remain when this many voters lose their disks.
  config.min_voters = 2 * std::size_t{settings.tolerated_losses()} + 1;
  return config;
}

std::string FirstDiskIdAt(const std::string& peer) {
  return "first-" + peer;
}

}  // namespace

// With automatic membership, control hosts identify each other by address
// alone.
std::string MemberName(const HostSettings& settings) {
  return settings.automatic_members() ? settings.peer().ToString()
                                      : settings.host();
}

std::string FirstDiskId(const HostSettings& settings) {
  const std::string own = settings.peer().ToString();
  const std::vector<std::string> seeds = Seeds(settings);
  const bool founder =
      settings.first_start() && std::ranges::find(seeds, own) != seeds.end();
  return founder ? FirstDiskIdAt(own) : "";
}

ControlHost::ControlHost(EventLoop& loop,
                         HostSettings settings,
                         ControlNames names,
                         std::unique_ptr<RocksLogStore> store)
    : loop_(loop),
      settings_(std::move(settings)),
      names_(std::move(names)),
      log_(STDOUT_FILENO, settings_.host()),
      store_(std::move(store)),
      peers_(loop),
      membership_(peers_,
                  log_,
                  settings_.peer().ToString(),
                  settings_.zone(),
                  settings_.report_interval() * kMissedReportsPerLease,
                  [this] { return View(); }),
      quotas_(
          log_,
          settings_.quota_bounds(),
          [this] { return Leadership(); },
          [this] { return membership_.entry_host_names(); }),
      clients_(loop, ClientLimitsFor(settings_, kClientMemoryBytes)) {
  if (store_) {
    OpenNode();
  }
}

void ControlHost::OpenNode() {
  const Instant now = MonotonicNow();
  state_ = ControlState();
  applied_history_.Clear();
  node_ = std::make_unique<ConsensusNode>(ConfigFor(settings_), *store_, state_,
                                          store_->stored(), now);
  ApplyStoredDepartures();
  if (FirstDiskId(settings_).empty()) {
    return;
  }
  std::vector<std::string> seeds = Seeds(settings_);
  std::ranges::sort(seeds);
  std::string cluster = "first";
  std::vector<Member> voters;
  for (const std::string& seed : seeds) {
    cluster += " " + seed;
    voters.push_back({seed, seed, FirstDiskIdAt(seed), true});
  }
  if (node_->BootstrapWithVoters(now, cluster, voters)) {
    LOG(INFO) << "event=founded cluster=\"" << cluster << "\"";
  }
}

void ControlHost::ApplyDepartures() {
  for (const Departure& departure : state_.TakeDepartures(WallSecondsNow())) {
    membership_.OnDeparted(departure);
  }
}

// Entries count before a leader has confirmed that they are committed: each of
// these targets has said that it leaves.
void ControlHost::ApplyStoredDepartures() {
  ApplyDepartures();
  for (const LogEntry& entry : store_->stored().entries) {
    const auto command = entry.kind == EntryKind::kCommand
                             ? Decode<ControlCommand>(entry.command)
                             : std::optional<ControlCommand>();
    const auto departure =
        command ? DepartureOf(*command, WallSecondsNow()) : std::nullopt;
    if (departure) {
      membership_.OnDeparted(*departure);
    }
  }
}

// A failed write may be transient: reopens the store and reads its contents
// again. Until that succeeds, the host keeps no log.
void ControlHost::ReopenStore() {
  const Instant now = MonotonicNow();
  if (now < next_reopen_at_) {
    return;
  }
  next_reopen_at_ = now + kReopenInterval;
  node_.reset();
  store_.reset();
  auto store =
      RocksLogStore::Open(settings_.data_folder(), FirstDiskId(settings_));
  if (!store) {
    LOG_EVERY_N(WARNING, 10)
        << "event=store_refused reason=\"" << store.error().detail << "\"";
    return;
  }
  store_ = std::move(*store);
  OpenNode();
  log_.Write(EventKind::kStoreReopened, {});
}

Result<void> ControlHost::Start() {
  auto server = PeerServer::Start(
      loop_, settings_.peer(),
      [this](const std::string& path, const std::string& payload,
             const PeerServer::Reply& reply) { OnCall(path, payload, reply); });
  if (!server) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  if (Result<void> listening = StartListeners(); !listening) {
    return listening;
  }
  last_iteration_at_ = MonotonicNow();
  last_current_at_ = last_iteration_at_;
  leader_known_at_ = last_iteration_at_;
  no_leader_logged_at_ = last_iteration_at_;
  RestoreTargets();
  if (settings_.target_snapshot_interval() > Duration{}) {
    loop_.Every(settings_.target_snapshot_interval(),
                [this] { SaveTargets(); });
  }
  loop_.Every(kTickInterval, [this] { Tick(); });
  loop_.Every(kMembershipTickInterval, [this] {
    membership_.Tick();
    quotas_.Tick();
  });
  loop_.AfterEventBatch([this] { AfterEventBatch(); });
  log_.Write(EventKind::kStarted, {{"zone", settings_.zone()},
                                   {"http", settings_.http().ToString()},
                                   {"peer", settings_.peer().ToString()}});
  return {};
}

void ControlHost::Reload(const HostSettings& settings) {
  settings_ = settings;
  if (node_) {
    node_->SetSeeds(Seeds(settings_));
  }
  log_.Write(EventKind::kReloaded,
             {{"seeds", settings_.control_seeds().size()}});
}

void ControlHost::Stop() {
  log_.Write(EventKind::kStopped, {});
  log_.Flush();
}

void ControlHost::Tick() {
  if (node_ && !node_->failed()) {
    node_->Tick(MonotonicNow());
    return;
  }
  if (node_) {
    log_.Write(EventKind::kStoreFailed, {});
    node_.reset();
  }
  if (settings_.automatic_members()) {
    ReopenStore();
  }
}

void ControlHost::DetectStall() {
  const Instant now = MonotonicNow();
  if (now - last_iteration_at_ > kStallThreshold) {
    log_.Write(EventKind::kStalled, {{"for_ms", now - last_iteration_at_}});
  }
  last_current_at_ += StalledFor(now);
  last_iteration_at_ = now;
}

// The loop iterates at least once a tick while the process runs.
Duration ControlHost::StalledFor(Instant now) const {
  return std::max(Duration{}, now - last_iteration_at_ - kTickInterval);
}

// A host that wakes cannot have heard from a leader while it was stopped.
Duration ControlHost::TimeWithoutQuorum(Instant now) const {
  return now - last_current_at_ - StalledFor(now);
}

void ControlHost::Bootstrap(std::function<void(std::string)> done) {
  struct Probe {
    std::size_t pending = 0;
    std::string member;
  };
  auto probe = std::make_shared<Probe>();
  auto finish = [this, probe, done = std::move(done)] {
    if (!probe->member.empty()) {
      done("control host " + probe->member + " already belongs to a cluster");
      return;
    }
    std::random_device device;
    const std::string cluster =
        std::to_string(device()) + "-" + std::to_string(device());
    std::vector<Member> initial_members;
    for (const PeerHost& host : settings_.control_hosts()) {
      initial_members.push_back(
          {host.host, host.address.ToString(), "", false});
    }
    const bool created =
        node_ && node_->Bootstrap(MonotonicNow(), cluster, initial_members);
    done(created ? "" : "the data folder is not blank");
  };
  for (const PeerHost& host : settings_.control_hosts()) {
    if (host.host == settings_.host()) {
      continue;
    }
    ++probe->pending;
    peers_.Call(host.address.ToString(), kControlStatusPath, "",
                kBootstrapTimeout, [probe, finish](const PeerResult& result) {
                  if (result) {
                    auto status = Decode<ControlStatus>(*result);
                    if (status && !status->members.empty()) {
                      probe->member = status->host;
                    }
                  }
                  if (--probe->pending == 0) {
                    finish();
                  }
                });
  }
  if (probe->pending == 0) {
    finish();
  }
}

void ControlHost::OnCall(const std::string& path,
                         const std::string& payload,
                         const PeerServer::Reply& reply) {
  if (path == kControlConsensusPath) {
    if (auto message = Decode<ConsensusMessage>(payload)) {
      if (node_) {
        // Messages that were queued while this process was stopped must not
        // make it appear current.
        node_->Receive(MonotonicNow(), *message, loop_.events_since());
      }
    }
    reply(std::string());
  } else if (path == kControlProposePath) {
    OnPropose(payload, reply);
  } else if (path == kControlSettingsPath) {
    OnSettings(payload, reply);
  } else if (path == kControlStatusPath) {
    reply(Encode(Status()));
  } else if (path == kControlMembersPath) {
    OnMembers(payload, reply);
  } else if (path == kControlHistoryPath) {
    reply(Encode(
        SettingsHistory{IsCurrent(), state_.History(kMaxHistoryEntries)}));
  } else if (path == kControlWatchPath) {
    membership_.OnWatch(payload, reply);
  } else if (path == kControlGossipPath) {
    membership_.OnGossip(payload, reply);
  } else if (path == kControlConditionsPath) {
    membership_.OnConditions(payload, reply);
  } else if (path == kControlQuotaPath) {
    quotas_.OnReport(payload, reply);
  } else if (path == kControlReadPath) {
    OnRead(reply);
  } else {
    reply(tl::unexpected(PeerFailure::kRejected));
  }
}

void ControlHost::OnPropose(const std::string& payload,
                            const PeerServer::Reply& reply) {
  auto command = Decode<ControlCommand>(payload);
  if (!command) {
    reply(tl::unexpected(PeerFailure::kRejected));
    return;
  }
  command->time_s = std::max(state_.time_s(), WallSecondsNow());
  const bool zone_order = command->kind == CommandKind::kEvacuate ||
                          command->kind == CommandKind::kReadmit;
  // The log of a leader has all orders that have been acknowledged.
  if (zone_order && command->base_version > 0 && node_ &&
      node_->IsLeaderWithQuorum(MonotonicNow()) && IsOrderOvertaken(*command)) {
    ProposeReply overtaken{true, {}, node_->leader()};
    overtaken.result.status = CommandStatus::kOvertaken;
    reply(Encode(overtaken));
    return;
  }
  const auto index =
      node_ ? node_->Propose(MonotonicNow(), Encode(*command)) : std::nullopt;
  if (!index) {
    reply(Encode(ProposeReply{false, {}, node_ ? node_->leader() : ""}));
    return;
  }
  pending_proposals_.emplace(*index, PendingProposal{node_->term(), reply});
}

// Rejects the query while this host may be behind: an entry host that starts
// must not load settings older than the accepted ones.
void ControlHost::OnSettings(const std::string& payload,
                             const PeerServer::Reply& reply) {
  if (auto query = Decode<SettingsQuery>(payload)) {
    settings_version_by_host_[query->host] = query->version;
  }
  if (!IsCurrent()) {
    reply(tl::unexpected(PeerFailure::kRejected));
    return;
  }
  reply(Encode(state_.settings()));
}

void ControlHost::OnMembers(const std::string& payload,
                            const PeerServer::Reply& reply) {
  auto request = Decode<MembersRequest>(payload);
  if (!request) {
    reply(tl::unexpected(PeerFailure::kRejected));
    return;
  }
  const Instant now = MonotonicNow();
  const bool changed =
      node_ &&
      (request->add ? node_->AddMember(now, request->host, request->address)
                    : node_->RemoveMember(now, request->host));
  reply(Encode(ProposeReply{changed, {}, node_ ? node_->leader() : ""}));
}

ControlStatus ControlHost::Status() {
  ControlStatus status;
  status.host = settings_.host();
  status.settings_version = state_.settings().version;
  status.claims = state_.claims();
  status.failed = !node_ || node_->failed();
  status.evacuated_zones = state_.evacuated_zones();
  for (const auto& [host, version] : settings_version_by_host_) {
    status.in_force.push_back({host, version});
  }
  if (!node_) {
    return status;
  }
  status.role = ToString(node_->role());
  status.leader = node_->leader();
  status.term = node_->term();
  status.commit = node_->commit_index();
  status.last = node_->last_index();
  status.first = node_->first_index();
  status.current = IsCurrent();
  status.members = node_->members();
  status.members_committed = node_->members_committed();
  return status;
}

void ControlHost::AfterEventBatch() {
  DetectStall();
  if (node_) {
    const Instant before = MonotonicNow();
    const LogIndex last = node_->last_index();
    node_->Flush(before);
    if (node_->last_index() > last) {
      metrics_.OnDiskSync(MonotonicNow() - before);
    }
    applied_history_.Record(before, node_->applied_index());
    AnswerAppliedProposals();
    ApplyDepartures();
  }
  if (IsCurrent()) {
    last_current_at_ = MonotonicNow();
  }
  RejectLostProposals();
  if (node_) {
    for (OutgoingMessage& outgoing : node_->TakeMessages()) {
      peers_.Call(outgoing.address, kControlConsensusPath,
                  Encode(outgoing.message), kConsensusTimeout,
                  [](const PeerResult&) {});
    }
  }
  membership_.AfterEventBatch();
  LogStateChanges();
  log_.FlushIfDue(MonotonicNow());
}

void ControlHost::AnswerAppliedProposals() {
  for (const AppliedEntry& applied : node_->TakeApplied()) {
    auto [first, last] = pending_proposals_.equal_range(applied.index);
    for (auto it = first; it != last; ++it) {
      ProposeReply reply;
      if (it->second.term == applied.term) {
        auto result = Decode<CommandResult>(applied.result);
        reply.decided = result.has_value();
        reply.result = result.value_or(CommandResult{});
      }
      it->second.reply(Encode(reply));
    }
    pending_proposals_.erase(first, last);
  }
}

// A proposal of an earlier term may or may not be committed later; its sender
// asks the new leader again.
void ControlHost::RejectLostProposals() {
  const bool leads = node_ && node_->role() == ConsensusRole::kLeader;
  const std::string leader = node_ ? node_->leader() : "";
  std::erase_if(pending_proposals_, [&](auto& entry) {
    if (leads && entry.second.term == node_->term()) {
      return false;
    }
    entry.second.reply(Encode(ProposeReply{false, {}, leader}));
    return true;
  });
}

bool ControlHost::IsCurrent() {
  return node_ && node_->IsCurrent(MonotonicNow());
}

std::string ControlHost::LeaderAddress() const {
  if (!node_) {
    return "";
  }
  auto found =
      std::ranges::find(node_->members(), node_->leader(), &Member::host);
  return found == node_->members().end() ? "" : found->address;
}

// A host that was frozen must not grant by what it knew before: it leads only
// while a quorum answers it.
QuotaLeadership ControlHost::Leadership() {
  const Instant now = MonotonicNow();
  QuotaLeadership leadership;
  if (!node_) {
    return leadership;
  }
  leadership.leads = node_->IsLeaderWithQuorum(now) && node_->IsCurrent(now);
  leadership.term = node_->term();
  if (leadership.leads) {
    leadership.routing = &CurrentRouting();
  } else {
    leadership.leader = LeaderAddress();
  }
  return leadership;
}

// Documents are validated before they are proposed, so one that cannot be
// parsed here was accepted by a host configured with other names. The previous
// version stays in force.
const Routing& ControlHost::CurrentRouting() {
  const VersionedRouting& newest = state_.routing();
  if (newest.version == routing_.version) {
    return routing_;
  }
  const auto document = Decompress(newest.document);
  auto routing = document ? ParseRouting(*document, names_.routing)
                          : Result<Routing>(Fail(
                                ErrorKind::kInternal,
                                "the routing document cannot be decompressed"));
  if (routing) {
    routing_ = std::move(*routing);
  } else if (newest.version > 0) {
    LOG_EVERY_N(ERROR, 100)
        << "event=routing_unreadable version=" << newest.version << " reason=\""
        << routing.error().detail << "\"";
  }
  return routing_;
}

ControlView ControlHost::View() {
  ControlView view;
  view.current = IsCurrent();
  view.routing = &CurrentRouting();
  view.evacuated_zones = state_.evacuated_zones();
  if (node_) {
    view.applied_index = node_->applied_index();
    for (const Member& member : node_->members()) {
      view.control_hosts.push_back(member.address);
    }
  }
  if (view.control_hosts.empty()) {
    view.control_hosts = Seeds(settings_);
  }
  return view;
}

// Only a leader that recently heard from a quorum knows the newest version: a
// follower that was paused may still read stale messages from its sockets.
ReadReply ControlHost::ReadNewestRouting() {
  const Instant now = MonotonicNow();
  ReadReply reply;
  reply.current =
      node_ && node_->IsLeaderWithQuorum(now) && node_->IsCurrent(now);
  if (reply.current) {
    reply.routing = state_.routing();
  }
  return reply;
}

void ControlHost::OnRead(const PeerServer::Reply& reply) {
  reply(Encode(ReadNewestRouting()));
}

}  // namespace snipeworks
