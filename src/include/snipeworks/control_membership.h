#ifndef SNIPEWORKS_CONTROL_MEMBERSHIP_H_
#define SNIPEWORKS_CONTROL_MEMBERSHIP_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/condition_aggregator.h"
#include "snipeworks/control_calls.h"
#include "snipeworks/event_log.h"
#include "snipeworks/evidence_store.h"
#include "snipeworks/host_roster.h"
#include "snipeworks/membership_messages.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/target_directory.h"

namespace snipeworks {

/// What the membership of targets needs to know of the control log.
struct ControlView {
  bool current = false;  ///< The host hears from a leader with a quorum.
  const Routing* routing = nullptr;        ///< Version 0 if there is none.
  std::vector<std::string> control_hosts;  ///< Peer addresses.
};

/// The part of a control host that takes targets' reports, shares them with the
/// other control hosts, and answers the entry hosts that watch.
class ControlMembership {
 public:
  /// Called once a report has been taken and, if it binds entry hosts, spread.
  using Acknowledge = std::function<void()>;

  ControlMembership(EventLoop& loop,
                    PeerClient& peers,
                    EventLog& log,
                    std::string address,
                    std::string zone,
                    Duration lease,
                    std::function<ControlView()> view);

  void OnReport(const Announcement& news, Acknowledge acknowledge);
  void OnLeave(const TargetLeaves& leave, Acknowledge acknowledge);
  void OnWatch(const std::string& payload, const PeerServer::Reply& reply);
  void OnGossip(const std::string& payload, const PeerServer::Reply& reply);
  void OnConditions(const std::string& payload, const PeerServer::Reply& reply);

  void Tick();
  /// Answers watchers that have something to learn. To be called after each
  /// batch of inputs.
  void AfterTurn();

  const TargetDirectory& directory() const { return directory_; }
  std::uint32_t entry_hosts() const;

 private:
  struct HeldWatch {
    WatchRequest request;
    PeerServer::Reply reply;
    Instant until;
  };
  // Another control host.
  struct Peer {
    bool calling = false;
    int differing = 0;
    Instant full_at{};
    Instant next_call{};
    /// What it has not been told yet.
    std::map<std::string, Announcement> changes;
    std::map<std::string, AliveNote> alive;
    std::map<std::string, ConditionSample> samples;
    std::vector<Acknowledge> waiting;  ///< For its next answer.
    std::uint64_t epoch = 0;           ///< As it told; 0 at first.
    std::uint64_t evidence_told = 0;   ///< Serial of the evidence that it has.
  };

  void Spread(const Announcement& news, Acknowledge acknowledge);
  void LogChange(const Announcement& news, const char* source);
  void TakeLeaving(const Announcement& news);
  void TakeEvidence(const std::vector<EvidenceMessage>& evidence,
                    const char* source);
  void SendGossip(const std::string& address, Peer& peer);
  void OnGossipReply(const std::string& address,
                     std::uint64_t evidence_serial,
                     const PeerResult& result);
  bool HasNews(Instant now,
               const WatchRequest& request,
               const ControlView& view) const;
  WatchReply ReplyTo(const WatchRequest& request, const ControlView& view);
  void AddRouting(const WatchRequest& request,
                  const Routing& newest,
                  WatchReply& reply);

  EventLoop& loop_;
  PeerClient& peers_;
  EventLog& log_;
  std::string address_;
  std::string zone_;
  Duration lease_;
  std::function<ControlView()> view_;
  TargetDirectory directory_;
  ConditionAggregator conditions_;
  EvidenceStore evidence_;
  std::uint64_t epoch_;
  std::vector<HeldWatch> watches_;
  std::map<std::string, Peer> others_;
  HostRoster roster_;
  /// The newest versions, for what has changed since.
  std::deque<Routing> versions_;
  /// Replies to hosts that are at the same version: version and text.
  std::map<std::uint64_t, std::string> change_cache_;
  std::string whole_cache_;
  std::uint64_t urgent_serial_ = 0;  ///< Changes up to here cannot wait.
  Instant changed_at_{};             ///< When the newest change came.
  std::uint64_t changed_serial_ = 0;
  Instant current_since_{};
  Instant gossip_due_{};
  Instant conditions_due_{};
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_MEMBERSHIP_H_
