#ifndef SNIPEWORKS_CONTROL_HOST_H_
#define SNIPEWORKS_CONTROL_HOST_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
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
#include "snipeworks/quota_service.h"
#include "snipeworks/rocks_log_store.h"
#include "snipeworks/zone_order.h"

namespace snipeworks {

/// Returns the id given to the empty disk of a control host that founds a new
/// cluster together with its seeds, so that all of them know it in advance.
/// Empty on any other host.
std::string FirstDiskId(const HostSettings& settings);

/// The name by which control hosts know the one with `settings`.
std::string MemberName(const HostSettings& settings);

/// A control host: connects the replicated log and the membership of targets to
/// the disk and the network.
class ControlHost {
 public:
  /// `names` are the paths and fields of the calls that targets and operators
  /// make.
  ControlHost(EventLoop& loop,
              HostSettings settings,
              ControlNames names,
              std::unique_ptr<RocksLogStore> store);

  /// Starts listening. Fails with kInternal.
  Result<void> Start();

  /// Starts a new cluster, unless another control host already belongs to one.
  /// Calls `done` with the reason for a refusal, or with an empty string.
  void Bootstrap(std::function<void(std::string)> done);

  /// Applies the settings that may change while the host runs: the seeds.
  void Reload(const HostSettings& settings);

  /// Call before the program ends.
  void Stop();

 private:
  struct PendingProposal {
    Term term = 0;
    PeerServer::Reply reply;
  };
  using OnDecided = std::function<void(std::optional<CommandResult>)>;
  // An operator's order about a zone that has not been answered.
  struct PendingZoneOrder {
    ExchangeId exchange = 0;
    Instant sent_after{};  ///< See HttpRequest::sent_after.
    Instant received_at{};
    ControlCommand command;
  };

  void OpenNode();
  void ReopenStore();
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
  ReadReply ReadNewestRouting();
  bool IsCurrent();
  std::string LeaderAddress() const;
  QuotaLeadership Leadership();

  void OnHttp(ExchangeId exchange, const HttpRequest& request);
  void AcknowledgeDeparture(ExchangeId exchange,
                            const Departure& departure,
                            const char* call);
  void ApplyDepartures();
  void ApplyStoredDepartures();
  void OnReplace(ExchangeId exchange, const ReplaceRouting& change);
  void OnZoneOrder(ExchangeId exchange,
                   const ZoneOrder& order,
                   Instant sent_after);
  /// True if `order` may come late although its connection is new.
  bool MayHaveBeenHeldByProxy(const ControlCommand& order) const;
  /// The log index of the state upon which an order was given.
  LogIndex BaseOfOrder(Instant now, Instant sent_after) const;
  bool IsOrderOvertaken(const ControlCommand& order) const;
  void ProposeZoneOrder(const std::shared_ptr<PendingZoneOrder>& pending);
  void FinishZoneOrder(const PendingZoneOrder& pending,
                       const std::optional<CommandResult>& result);
  void LogZoneOrder(const PendingZoneOrder& pending, const char* outcome);
  void OnReadRouting(ExchangeId exchange);
  void AnswerRead(ExchangeId exchange, const ReadReply& reply);
  void ProposeUntilDecided(const std::string& command,
                           Instant give_up,
                           const OnDecided& done);
  /// Calls `done` with nullopt if no leader decides.
  void ProposeOnce(const std::string& command,
                   Instant give_up,
                   const OnDecided& done);
  void Answer(ExchangeId exchange, const std::string& body);
  void AnswerError(ExchangeId exchange, const Error& error);

  void RestoreTargets();
  void SaveTargets();
  void Tick();
  void AfterEventBatch();
  void DetectStall();
  /// For how long the process did not run before the current iteration.
  Duration StalledFor(Instant now) const;
  /// For how long this host has known of no quorum while it ran.
  Duration TimeWithoutQuorum(Instant now) const;
  void AnswerAppliedProposals();
  void RejectLostProposals();
  void LogStateChanges();
  void LogRedundancy(Instant now);
  std::string MembersText() const;
  Result<void> StartListeners();

  EventLoop& loop_;
  HostSettings settings_;
  ControlNames names_;
  EventLog log_;
  std::unique_ptr<RocksLogStore> store_;
  ControlState state_;
  Routing routing_;  ///< Decoded from the replicated state when that changes.
  /// Null while the disk does not accept writes.
  std::unique_ptr<ConsensusNode> node_;
  PeerClient peers_;
  ControlMembership membership_;
  QuotaService quotas_;
  ControlMetrics metrics_;
  std::unique_ptr<PeerServer> server_;
  ClientLimiter clients_;
  std::unique_ptr<HttpListener> http_;
  std::unique_ptr<HttpListener> metrics_listener_;
  std::multimap<LogIndex, PendingProposal> pending_proposals_;
  AppliedHistory applied_history_;
  /// Of orders about zones whose callers wait.
  std::set<ExchangeId> zone_order_exchanges_;
  /// The newest settings version that each entry host has reported.
  std::map<std::string, std::uint64_t> settings_version_by_host_;
  bool saving_targets_ = false;
  std::uint64_t saved_targets_digest_ = 0;  ///< See ServingDigest.
  Instant targets_saved_at_{};
  Instant next_reopen_at_{};
  /// When this host last knew of a quorum, later by the stalls since then.
  Instant last_current_at_{};
  Instant last_iteration_at_{};
  std::string logged_leader_;
  bool logged_current_ = false;
  std::uint64_t logged_routing_version_ = 0;
  std::vector<EvacuatedZone> logged_evacuations_;
  std::string logged_members_;
  std::optional<Redundancy> logged_redundancy_;
  Instant leader_known_at_{};
  Instant no_leader_logged_at_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_HOST_H_
