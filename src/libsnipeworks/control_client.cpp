#include "snipeworks/control_client.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCallTimeout = milliseconds(700);
constexpr Duration kPause = milliseconds(50);

}  // namespace

ControlClient::ControlClient(EventLoop& loop,
                             PeerClient& peers,
                             std::vector<PeerHost> control_hosts)
    : loop_(loop), peers_(peers), hosts_(std::move(control_hosts)) {}

void ControlClient::Propose(const ControlCommand& command,
                            Duration patience,
                            Done done) {
  auto proposal = std::make_shared<Proposal>();
  proposal->payload = Encode(command);
  proposal->give_up = MonotonicNow() + patience;
  proposal->done = std::move(done);
  Try(proposal);
}

void ControlClient::Try(const std::shared_ptr<Proposal>& proposal) {
  const Duration left = proposal->give_up - MonotonicNow();
  if (hosts_.empty() || left <= Duration{}) {
    proposal->done(std::nullopt);
    return;
  }
  const std::size_t asked = preferred_ % hosts_.size();
  peers_.Call(hosts_[asked].address.ToString(), kControlProposePath,
              proposal->payload, std::min(left, kCallTimeout),
              [this, proposal, asked](const PeerResult& result) {
                std::optional<ProposeReply> reply;
                if (result) {
                  reply = Decode<ProposeReply>(*result);
                }
                if (reply && reply->decided) {
                  proposal->done(reply->result);
                  return;
                }
                if (preferred_ % hosts_.size() == asked) {
                  ++preferred_;
                }
                if (reply) {
                  FollowLeader(reply->leader);
                }
                loop_.After(kPause, [this, proposal] { Try(proposal); });
              });
}

void ControlClient::FollowLeader(const std::string& leader) {
  auto found = std::ranges::find(hosts_, leader, &PeerHost::host);
  if (found != hosts_.end()) {
    preferred_ = static_cast<std::size_t>(found - hosts_.begin());
  }
}

}  // namespace snipeworks
