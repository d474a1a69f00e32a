#include "snipeworks/control_client.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(700);
constexpr Duration kRetryDelay = milliseconds(50);

}  // namespace

ControlClient::ControlClient(EventLoop& loop,
                             PeerClient& peers,
                             std::vector<PeerHost> control_hosts)
    : loop_(loop), peers_(peers), hosts_(std::move(control_hosts)) {}

void ControlClient::Propose(const ControlCommand& command,
                            Duration timeout,
                            Callback done) {
  auto proposal = std::make_shared<Proposal>();
  proposal->payload = Encode(command);
  proposal->deadline = MonotonicNow() + timeout;
  proposal->done = std::move(done);
  SendProposal(proposal);
}

void ControlClient::SendProposal(const std::shared_ptr<Proposal>& proposal) {
  const Duration remaining = proposal->deadline - MonotonicNow();
  if (hosts_.empty() || remaining <= Duration{}) {
    proposal->done(std::nullopt);
    return;
  }
  const std::size_t host_index = preferred_index_ % hosts_.size();
  peers_.Call(hosts_[host_index].address.ToString(), kControlProposePath,
              proposal->payload, std::min(remaining, kCallTimeout),
              [this, proposal, host_index](const PeerResult& result) {
                std::optional<ProposeReply> reply;
                if (result) {
                  reply = Decode<ProposeReply>(*result);
                }
                if (reply && reply->decided) {
                  proposal->done(reply->result);
                  return;
                }
                if (preferred_index_ % hosts_.size() == host_index) {
                  ++preferred_index_;
                }
                if (reply) {
                  PreferHost(reply->leader);
                }
                loop_.After(kRetryDelay,
                            [this, proposal] { SendProposal(proposal); });
              });
}

void ControlClient::PreferHost(const std::string& host) {
  auto found = std::ranges::find(hosts_, host, &PeerHost::host);
  if (found != hosts_.end()) {
    preferred_index_ = static_cast<std::size_t>(found - hosts_.begin());
  }
}

}  // namespace snipeworks
