#include "fleet_client.h"

#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kProposeTimeout = milliseconds(8000);
constexpr Duration kCallTimeout = milliseconds(2000);

}  // namespace

FleetClient::FleetClient(std::vector<PeerHost> control_hosts,
                         std::vector<std::string> entry_addresses)
    : peers_(loop_),
      http_(loop_),
      control_hosts_(std::move(control_hosts)),
      entry_addresses_(std::move(entry_addresses)),
      client_(loop_, peers_, control_hosts_) {}

std::optional<CommandResult> FleetClient::Propose(
    const ControlCommand& command) {
  std::optional<CommandResult> answer;
  client_.Propose(command, kProposeTimeout, [&](const auto& result) {
    answer = result;
    loop_.Stop();
  });
  if (!control_hosts_.empty()) {
    loop_.Run();
  }
  return answer;
}

std::vector<std::optional<std::string>> FleetClient::CallControlHosts(
    const std::string& path,
    const std::string& payload) {
  std::vector<std::optional<std::string>> answers(control_hosts_.size());
  std::size_t pending = control_hosts_.size();
  for (std::size_t i = 0; i < control_hosts_.size(); ++i) {
    peers_.Call(control_hosts_[i].address.ToString(), path, payload,
                kCallTimeout, [&, i](const PeerResult& result) {
                  if (result) {
                    answers[i] = *result;
                  }
                  if (--pending == 0) {
                    loop_.Stop();
                  }
                });
  }
  if (pending > 0) {
    loop_.Run();
  }
  return answers;
}

std::vector<ControlStatus> FleetClient::Statuses() {
  std::vector<ControlStatus> statuses;
  for (const auto& answer : CallControlHosts(kControlStatusPath, "")) {
    auto status = answer ? Decode<ControlStatus>(*answer) : std::nullopt;
    if (status) {
      statuses.push_back(std::move(*status));
    }
  }
  return statuses;
}

std::optional<SettingsHistory> FleetClient::History() {
  std::optional<SettingsHistory> best;
  for (const auto& answer : CallControlHosts(kControlHistoryPath, "")) {
    auto history = answer ? Decode<SettingsHistory>(*answer) : std::nullopt;
    if (!history) {
      continue;
    }
    const bool newer =
        best && !history->records.empty() &&
        (best->records.empty() ||
         history->records.back().version > best->records.back().version);
    const bool better = !best || (history->current && !best->current) ||
                        (history->current == best->current && newer);
    if (better) {
      best = std::move(history);
    }
  }
  return best;
}

bool FleetClient::ChangeMembers(const MembersRequest& request) {
  for (const auto& answer :
       CallControlHosts(kControlMembersPath, Encode(request))) {
    auto reply = answer ? Decode<ProposeReply>(*answer) : std::nullopt;
    if (reply && reply->decided) {
      return true;
    }
  }
  return false;
}

std::vector<EntryHostReply> FleetClient::CallEntryHosts(
    const std::string& method,
    const std::string& path,
    const std::string& body) {
  std::vector<EntryHostReply> replies(entry_addresses_.size());
  std::size_t pending = entry_addresses_.size();
  for (std::size_t i = 0; i < entry_addresses_.size(); ++i) {
    HttpCall call;
    call.address = entry_addresses_[i];
    call.method = method;
    call.path = path;
    call.body = body;
    call.timeout = kCallTimeout;
    http_.Send(call, [&, i](const HttpCallResult& result) {
      replies[i] = {entry_addresses_[i],
                    result.status == HttpCallStatus::kAnswered,
                    result.http_status, result.body};
      if (--pending == 0) {
        loop_.Stop();
      }
    });
  }
  if (pending > 0) {
    loop_.Run();
  }
  return replies;
}

}  // namespace snipeworks
