#ifndef SNIPE_CONTROL_CONTROL_HOST_H_
#define SNIPE_CONTROL_CONTROL_HOST_H_

#include <map>
#include <memory>
#include <string>

#include "snipeworks/consensus_node.h"
#include "snipeworks/control_messages.h"
#include "snipeworks/control_state.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/http_server.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/rocks_log_store.h"

namespace snipeworks {

/// A control host: the replicated log, connected to the disk and the network.
class ControlHost {
 public:
  ControlHost(EventLoop& loop,
              HostSettings settings,
              std::unique_ptr<RocksLogStore> store);

  /// Starts listening. Fails with kInternal.
  Result<void> Start();

  /// Starts a new cluster, unless another control host already belongs to one.
  /// `done` gets the reason it was refused, or an empty string.
  void Bootstrap(std::function<void(std::string)> done);

 private:
  struct WaitingProposal {
    Term term = 0;
    PeerServer::Reply reply;
  };

  void OnCall(const std::string& path,
              const std::string& payload,
              const PeerServer::Reply& reply);
  void OnPropose(const std::string& payload, const PeerServer::Reply& reply);
  void OnSettings(const std::string& payload, const PeerServer::Reply& reply);
  void OnMembers(const std::string& payload, const PeerServer::Reply& reply);
  ControlStatus Status();
  void AfterTurn();
  void AnswerApplied();
  void RejectLostProposals();
  HttpResponse OnHttp(const HttpRequest& request);

  EventLoop& loop_;
  HostSettings settings_;
  std::unique_ptr<RocksLogStore> store_;
  ControlState state_;
  ConsensusNode node_;
  PeerClient peers_;
  std::unique_ptr<PeerServer> server_;
  std::unique_ptr<HttpServer> http_;
  std::multimap<LogIndex, WaitingProposal> waiting_;
  /// The newest settings version that each entry host has named.
  std::map<std::string, std::uint64_t> in_force_;
};

}  // namespace snipeworks

#endif  // SNIPE_CONTROL_CONTROL_HOST_H_
