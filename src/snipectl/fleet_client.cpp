#include "fleet_client.h"

#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kProposePatience = milliseconds(8000);
constexpr Duration kCallTimeout = milliseconds(2000);

}  // namespace

FleetClient::FleetClient(std::vector<PeerHost> control_hosts,
                         std::vector<std::string> entries)
    : peers_(loop_),
      http_(loop_),
      hosts_(std::move(control_hosts)),
      entries_(std::move(entries)),
      client_(loop_, peers_, hosts_) {}

std::optional<CommandResult> FleetClient::Propose(
    const ControlCommand& command) {
  std::optional<CommandResult> answer;
  client_.Propose(command, kProposePatience, [&](const auto& result) {
    answer = result;
    loop_.Stop();
  });
  if (!hosts_.empty()) {
    loop_.Run();
  }
  return answer;
}

std::vector<std::optional<std::string>> FleetClient::AskControls(
    const std::string& path,
    const std::string& payload) {
  std::vector<std::optional<std::string>> answers(hosts_.size());
  std::size_t open = hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    peers_.Call(hosts_[i].address.ToString(), path, payload, kCallTimeout,
                [&, i](const PeerResult& result) {
                  if (result) {
                    answers[i] = *result;
                  }
                  if (--open == 0) {
                    loop_.Stop();
                  }
                });
  }
  if (open > 0) {
    loop_.Run();
  }
  return answers;
}

std::vector<ControlStatus> FleetClient::Statuses() {
  std::vector<ControlStatus> statuses;
  for (const auto& answer : AskControls(kControlStatusPath, "")) {
    auto status = answer ? Decode<ControlStatus>(*answer) : std::nullopt;
    if (status) {
      statuses.push_back(std::move(*status));
    }
  }
  return statuses;
}

std::optional<SettingsHistory> FleetClient::History() {
  std::optional<SettingsHistory> best;
  for (const auto& answer : AskControls(kControlHistoryPath, "")) {
    auto history = answer ? Decode<SettingsHistory>(*answer) : std::nullopt;
    if (!history) {
      continue;
    }
    const bool longer =
        best && !history->records.empty() &&
        (best->records.empty() ||
         history->records.back().version > best->records.back().version);
    const bool better = !best || (history->current && !best->current) ||
                        (history->current == best->current && longer);
    if (better) {
      best = std::move(history);
    }
  }
  return best;
}

bool FleetClient::ChangeMembers(const MembersRequest& request) {
  for (const auto& answer : AskControls(kControlMembersPath, Encode(request))) {
    auto reply = answer ? Decode<ProposeReply>(*answer) : std::nullopt;
    if (reply && reply->decided) {
      return true;
    }
  }
  return false;
}

std::vector<EntryReply> FleetClient::AskEntries(const std::string& method,
                                                const std::string& path,
                                                const std::string& body) {
  std::vector<EntryReply> replies(entries_.size());
  std::size_t open = entries_.size();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    HttpCall call;
    call.address = entries_[i];
    call.method = method;
    call.path = path;
    call.body = body;
    call.timeout = kCallTimeout;
    http_.Send(call, [&, i](const HttpCallResult& result) {
      replies[i] = {entries_[i], result.status == HttpCallStatus::kAnswered,
                    result.http_status, result.body};
      if (--open == 0) {
        loop_.Stop();
      }
    });
  }
  if (open > 0) {
    loop_.Run();
  }
  return replies;
}

}  // namespace snipeworks
