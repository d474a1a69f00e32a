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

/// The HTTP reply of one entry host.
struct EntryHostReply {
  std::string address;
  bool answered = false;
  int status = 0;
  std::string body;
};

/// Makes blocking calls to control hosts and entry hosts.
class FleetClient {
 public:
  FleetClient(std::vector<PeerHost> control_hosts,
              std::vector<std::string> entry_addresses);

  /// Commits `command`. Returns nothing if no control host confirms it in time.
  std::optional<CommandResult> Propose(const ControlCommand& command);
  /// The status of each control host that answers.
  std::vector<ControlStatus> Statuses();
  /// The newest settings history of the hosts that are current, else of any
  /// that answers.
  std::optional<SettingsHistory> History();
  /// Asks every control host for the change. Returns true if one made it.
  bool ChangeMembers(const MembersRequest& request);
  /// Sends the same request to every entry host.
  std::vector<EntryHostReply> CallEntryHosts(const std::string& method,
                                             const std::string& path,
                                             const std::string& body);

 private:
  /// Calls every control host. Returns the answers in the order of the hosts,
  /// nullopt for a host that did not answer.
  std::vector<std::optional<std::string>> CallControlHosts(
      const std::string& path,
      const std::string& payload);

  EventLoop loop_;
  PeerClient peers_;
  HttpClient http_;
  std::vector<PeerHost> control_hosts_;
  std::vector<std::string> entry_addresses_;
  ControlClient client_;
};

}  // namespace snipeworks

#endif  // SNIPECTL_FLEET_CLIENT_H_
