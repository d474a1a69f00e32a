#ifndef SNIPEWORKS_CONTROL_CLIENT_H_
#define SNIPEWORKS_CONTROL_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/control_messages.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/peer_transport.h"

namespace snipeworks {

/// Brings commands to whichever control host leads, and sends them again
/// elsewhere when no answer comes. Commands are made so that a second copy
/// changes nothing.
class ControlClient {
 public:
  using Done = std::function<void(const std::optional<CommandResult>&)>;

  ControlClient(EventLoop& loop,
                PeerClient& peers,
                std::vector<PeerHost> control_hosts);

  /// `done` runs once: with the result, or with nothing after `patience`.
  void Propose(const ControlCommand& command, Duration patience, Done done);

 private:
  struct Proposal {
    std::string payload;
    Instant give_up{};
    Done done;
  };

  void Try(const std::shared_ptr<Proposal>& proposal);
  void FollowLeader(const std::string& leader);

  EventLoop& loop_;
  PeerClient& peers_;
  std::vector<PeerHost> hosts_;
  std::size_t preferred_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_CLIENT_H_
