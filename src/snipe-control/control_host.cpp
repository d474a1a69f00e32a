#include "control_host.h"

#include <future>
#include <random>
#include <utility>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include "snipeworks/entry_messages.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(20);
constexpr Duration kConsensusTimeout = milliseconds(1000);
constexpr Duration kBootstrapTimeout = milliseconds(1000);
constexpr Duration kHttpTimeout = milliseconds(2000);
constexpr std::size_t kHistoryShown = 50;

ConsensusConfig ConfigFor(const HostSettings& settings) {
  ConsensusConfig config;
  config.host = settings.host();
  config.address = settings.peer().ToString();
  for (const PeerHost& host : settings.control_hosts()) {
    config.seeds.push_back(host.address.ToString());
  }
  config.seed = std::random_device()();
  return config;
}

}  // namespace

ControlHost::ControlHost(EventLoop& loop,
                         HostSettings settings,
                         std::unique_ptr<RocksLogStore> store)
    : loop_(loop),
      settings_(std::move(settings)),
      store_(std::move(store)),
      node_(ConfigFor(settings_),
            *store_,
            state_,
            store_->stored(),
            MonotonicNow()),
      peers_(loop) {}

Result<void> ControlHost::Start() {
  auto server = PeerServer::Start(
      loop_, settings_.peer(),
      [this](const std::string& path, const std::string& payload,
             const PeerServer::Reply& reply) { OnCall(path, payload, reply); });
  if (!server) {
    return tl::unexpected(server.error());
  }
  server_ = std::move(*server);
  HttpServerConfig config;
  config.address = settings_.http();
  auto http = HttpServer::Start(
      config, [this](const HttpRequest& request) { return OnHttp(request); });
  if (!http) {
    return tl::unexpected(http.error());
  }
  http_ = std::move(*http);
  loop_.Every(kTick, [this] { node_.Tick(MonotonicNow()); });
  loop_.AfterEachTurn([this] { AfterTurn(); });
  return {};
}

void ControlHost::Bootstrap(std::function<void(std::string)> done) {
  struct Inquiry {
    std::size_t open = 0;
    std::string member;
  };
  auto inquiry = std::make_shared<Inquiry>();
  auto finish = [this, inquiry, done = std::move(done)] {
    if (!inquiry->member.empty()) {
      done("control host " + inquiry->member + " already belongs to a cluster");
      return;
    }
    std::random_device device;
    const std::string cluster =
        std::to_string(device()) + "-" + std::to_string(device());
    std::vector<Member> invited;
    for (const PeerHost& host : settings_.control_hosts()) {
      invited.push_back({host.host, host.address.ToString(), "", false});
    }
    const bool made = node_.Bootstrap(MonotonicNow(), cluster, invited);
    done(made ? "" : "the data folder is not blank");
  };
  for (const PeerHost& host : settings_.control_hosts()) {
    if (host.host == settings_.host()) {
      continue;
    }
    ++inquiry->open;
    peers_.Call(host.address.ToString(), kControlStatusPath, "",
                kBootstrapTimeout, [inquiry, finish](const PeerResult& result) {
                  if (result) {
                    auto status = Decode<ControlStatus>(*result);
                    if (status && !status->members.empty()) {
                      inquiry->member = status->host;
                    }
                  }
                  if (--inquiry->open == 0) {
                    finish();
                  }
                });
  }
  if (inquiry->open == 0) {
    finish();
  }
}

void ControlHost::OnCall(const std::string& path,
                         const std::string& payload,
                         const PeerServer::Reply& reply) {
  if (path == kControlConsensusPath) {
    if (auto message = Decode<ConsensusMessage>(payload)) {
      node_.Receive(MonotonicNow(), *message);
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
    reply(Encode(SettingsHistory{node_.IsCurrent(MonotonicNow()),
                                 state_.History(kHistoryShown)}));
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
  const auto index = node_.Propose(MonotonicNow(), Encode(*command));
  if (!index) {
    reply(Encode(ProposeReply{false, {}, node_.leader()}));
    return;
  }
  waiting_.emplace(*index, WaitingProposal{node_.term(), reply});
}

// A host that may be behind keeps silent: an entry host that starts must not
// come back with settings older than those accepted.
void ControlHost::OnSettings(const std::string& payload,
                             const PeerServer::Reply& reply) {
  if (auto query = Decode<SettingsQuery>(payload)) {
    in_force_[query->host] = query->version;
  }
  if (!node_.IsCurrent(MonotonicNow())) {
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
      request->add ? node_.AddMember(now, request->host, request->address)
                   : node_.RemoveMember(now, request->host);
  reply(Encode(ProposeReply{changed, {}, node_.leader()}));
}

ControlStatus ControlHost::Status() {
  ControlStatus status;
  status.host = settings_.host();
  status.role = ToString(node_.role());
  status.leader = node_.leader();
  status.term = node_.term();
  status.commit = node_.commit_index();
  status.last = node_.last_index();
  status.first = node_.first_index();
  status.current = node_.IsCurrent(MonotonicNow());
  status.failed = node_.failed();
  status.settings_version = state_.settings().version;
  status.claims = state_.claims();
  status.members = node_.members();
  status.members_committed = node_.members_committed();
  for (const auto& [host, version] : in_force_) {
    status.in_force.push_back({host, version});
  }
  return status;
}

void ControlHost::AfterTurn() {
  node_.Flush(MonotonicNow());
  AnswerApplied();
  RejectLostProposals();
  for (OutgoingMessage& outgoing : node_.TakeMessages()) {
    peers_.Call(outgoing.address, kControlConsensusPath,
                Encode(outgoing.message), kConsensusTimeout,
                [](const PeerResult&) {});
  }
}

void ControlHost::AnswerApplied() {
  for (const AppliedEntry& applied : node_.TakeApplied()) {
    auto [first, last] = waiting_.equal_range(applied.index);
    for (auto it = first; it != last; ++it) {
      ProposeReply reply;
      if (it->second.term == applied.term) {
        auto result = Decode<CommandResult>(applied.result);
        reply.decided = result.has_value();
        reply.result = result.value_or(CommandResult{});
      }
      it->second.reply(Encode(reply));
    }
    waiting_.erase(first, last);
  }
}

// What was proposed in an earlier term may or may not be committed later; its
// sender asks the new leader again.
void ControlHost::RejectLostProposals() {
  const bool leads = node_.role() == ConsensusRole::kLeader;
  std::erase_if(waiting_, [&](auto& entry) {
    if (leads && entry.second.term == node_.term()) {
      return false;
    }
    entry.second.reply(Encode(ProposeReply{false, {}, node_.leader()}));
    return true;
  });
}

// Runs on the server's threads; the state belongs to the loop.
HttpResponse ControlHost::OnHttp(const HttpRequest& request) {
  if (request.path == "/healthz") {
    return {200, "text/plain", "ok\n", {}, false};
  }
  if (request.path == "/v1/faults" && settings_.allow_faults()) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("address")) {
      return {400, "text/plain", "needs address and cut\n", {}, false};
    }
    loop_.Post(
        [this, address = body["address"].get<std::string>(),
         cut = body.value("cut", true)] { peers_.SetCut(address, cut); });
    return {200, "text/plain", "ok\n", {}, false};
  }
  if (request.path != "/v1/status") {
    return {404, "text/plain", "unknown path\n", {}, false};
  }
  auto promise = std::make_shared<std::promise<ControlStatus>>();
  auto future = promise->get_future();
  loop_.Post([this, promise] { promise->set_value(Status()); });
  if (future.wait_for(kHttpTimeout) != std::future_status::ready) {
    return {503, "text/plain", "busy\n", {}, false};
  }
  const ControlStatus status = future.get();
  nlohmann::json members = nlohmann::json::array();
  for (const Member& member : status.members) {
    members.push_back({{"host", member.host},
                       {"address", member.address},
                       {"voter", member.voter}});
  }
  const nlohmann::json document = {
      {"host", status.host},
      {"role", status.role},
      {"leader", status.leader},
      {"term", status.term},
      {"commit", status.commit},
      {"last", status.last},
      {"first", status.first},
      {"current", status.current},
      {"failed", status.failed},
      {"settings_version", status.settings_version},
      {"members_committed", status.members_committed},
      {"claims", status.claims},
      {"members", std::move(members)}};
  return {200, "application/json", document.dump() + "\n", {}, false};
}

}  // namespace snipeworks
