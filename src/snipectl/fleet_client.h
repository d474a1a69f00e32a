#ifndef SNIPECTL_FLEET_CLIENT_H_
#define SNIPECTL_FLEET_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "snipeworks/control_client.h"
#include "snipeworks/control_messages.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/peer_transport.h"

namespace snipeworks {

/// What came back over HTTP from one entry host.
struct EntryReply {
  std::string address;
  bool answered = false;
  int status = 0;
  std::string body;
};

/// Blocking calls to control hosts and entry hosts, for a command line.
class FleetClient {
 public:
  FleetClient(std::vector<PeerHost> control_hosts,
              std::vector<std::string> entries);

  /// Commits `command`; nothing if no control host confirms it in time.
  std::optional<CommandResult> Propose(const ControlCommand& command);
  /// The status of each control host that answers.
  std::vector<ControlStatus> Statuses();
  /// The history from a host that is current, else from any that answers.
  std::optional<SettingsHistory> History();
  /// Asks each control host until one makes the change.
  bool ChangeMembers(const MembersRequest& request);
  /// Sends the same request to every entry host.
  std::vector<EntryReply> AskEntries(const std::string& method,
                                     const std::string& path,
                                     const std::string& body);

 private:
  /// Asks every control host; the answers in the hosts' order, empty for none.
  std::vector<std::optional<std::string>> AskControls(
      const std::string& path,
      const std::string& payload);

  EventLoop loop_;
  PeerClient peers_;
  HttpClient http_;
  std::vector<PeerHost> hosts_;
  std::vector<std::string> entries_;
  ControlClient client_;
};

}  // namespace snipeworks

#endif  // SNIPECTL_FLEET_CLIENT_H_
