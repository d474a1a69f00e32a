#ifndef SNIPEWORKS_CONTROL_HOST_H_
#define SNIPEWORKS_CONTROL_HOST_H_

#include <map>
#include <memory>
#include <string>

#include "snipeworks/consensus_node.h"
#include "snipeworks/control_calls.h"
#include "snipeworks/control_membership.h"
#include "snipeworks/control_messages.h"
#include "snipeworks/control_metrics.h"
#include "snipeworks/control_state.h"
#include "snipeworks/event_log.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/http_listener.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/rocks_log_store.h"

namespace snipeworks {

/// The id of a blank disk on a control host that starts a new cluster together
/// with the others, so that all know it beforehand; empty otherwise.
std::string FirstDiskId(const HostSettings& settings);

/// A control host: the replicated log and the membership of targets, connected
/// to the disk and the network.
class ControlHost {
 public:
  /// `names` are those of the calls that targets and operators make.
  ControlHost(EventLoop& loop,
              HostSettings settings,
              ControlNames names,
              std::unique_ptr<RocksLogStore> store);

  /// Starts listening. Fails with kInternal.
  Result<void> Start();

  /// Starts a new cluster, unless another control host already belongs to one.
  /// `done` gets the reason it was refused, or an empty string.
  void Bootstrap(std::function<void(std::string)> done);

  /// Takes over what may change while the host runs: the seeds.
  void Reload(const HostSettings& settings);

  /// To be called when the program ends.
  void Stop();

 private:
  struct WaitingProposal {
    Term term = 0;
    PeerServer::Reply reply;
  };
  using OnDecided = std::function<void(std::optional<CommandResult>)>;

  void OpenNode();
  void Reopen();
  void OnCall(const std::string& path,
              const std::string& payload,
              const PeerServer::Reply& reply);
  void OnPropose(const std::string& payload, const PeerServer::Reply& reply);
  void OnSettings(const std::string& payload, const PeerServer::Reply& reply);
  void OnMembers(const std::string& payload, const PeerServer::Reply& reply);
  void OnRead(const PeerServer::Reply& reply);
  ControlStatus Status();
  ControlView View();
  const Routing& CurrentRouting();
  ReadReply ReadNow();
  bool IsCurrent();
  std::string LeaderAddress() const;

  void OnHttp(ExchangeId exchange, const HttpRequest& request);
  void OnReplace(ExchangeId exchange, const ReplaceRouting& change);
  void OnReadRouting(ExchangeId exchange);
  void AnswerRead(ExchangeId exchange, const ReadReply& reply);
  void Decide(const std::string& command,
              Instant give_up,
              const OnDecided& done);
  void Answer(ExchangeId exchange, const std::string& body);
  void AnswerError(ExchangeId exchange, const Error& error);

  void Tick();
  void AfterTurn();
  void WatchStalls();
  void AnswerApplied();
  void RejectLostProposals();
  void LogBeliefs();

  EventLoop& loop_;
  HostSettings settings_;
  ControlNames names_;
  EventLog log_;
  std::unique_ptr<RocksLogStore> store_;
  ControlState state_;
  Routing routing_;  ///< Decoded from the state when it changes.
  /// Null while the disk does not take writes.
  std::unique_ptr<ConsensusNode> node_;
  PeerClient peers_;
  ControlMembership membership_;
  ControlMetrics metrics_;
  std::unique_ptr<PeerServer> server_;
  std::unique_ptr<HttpListener> http_;
  std::unique_ptr<HttpListener> metrics_listener_;
  std::multimap<LogIndex, WaitingProposal> waiting_;
  /// The newest settings version that each entry host has named.
  std::map<std::string, std::uint64_t> in_force_;
  Instant reopen_due_{};
  Instant last_turn_{};
  std::string told_leader_;
  bool told_current_ = false;
  std::uint64_t told_routing_ = 0;
  std::string told_members_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_HOST_H_
