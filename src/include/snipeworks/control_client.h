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

/// Sends commands to the leading control host and retries at other hosts if a
/// call fails. Commands are idempotent, so a retry has no second effect.
class ControlClient {
 public:
  using Callback = std::function<void(const std::optional<CommandResult>&)>;

  ControlClient(EventLoop& loop,
                PeerClient& peers,
                std::vector<PeerHost> control_hosts);

  /// Calls `done` once: with the result, or with nullopt after `timeout`.
  void Propose(const ControlCommand& command, Duration timeout, Callback done);

 private:
  struct Proposal {
    std::string payload;
    Instant deadline{};
    Callback done;
  };

  void SendProposal(const std::shared_ptr<Proposal>& proposal);
  void PreferHost(const std::string& host);

  EventLoop& loop_;
  PeerClient& peers_;
  std::vector<PeerHost> hosts_;
  std::size_t preferred_index_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_CLIENT_H_
