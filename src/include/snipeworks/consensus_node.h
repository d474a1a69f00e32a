#ifndef SNIPEWORKS_CONSENSUS_NODE_H_
#define SNIPEWORKS_CONSENSUS_NODE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/consensus_types.h"
#include "snipeworks/random.h"

namespace snipeworks {

/// The current Raft role of a control host.
enum class ConsensusRole { kFollower, kPreCandidate, kCandidate, kLeader };

/// The name of `role` in logs and status reports; stable.
const char* ToString(ConsensusRole role);

/// How many voters answer the leader, and how many of them it needs.
struct Redundancy {
  std::size_t voters = 0;
  /// Voters that have answered within the election timeout, the leader
  /// included.
  std::size_t answering = 0;
  std::size_t quorum = 0;
  /// Members without a vote.
  std::size_t joining = 0;

  /// Voters that may still fail before no quorum is left.
  std::size_t losses_left() const {
    return answering < quorum ? 0 : answering - quorum;
  }

  friend auto operator<=>(const Redundancy&, const Redundancy&) = default;
};

/// Configuration of a ConsensusNode.
struct ConsensusConfig {
  std::string host;
  std::string address;
  /// Addresses of control hosts to send join requests to, beside the members.
  std::vector<std::string> seeds;
  std::uint64_t random_seed = 1;
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration election_timeout = std::chrono::milliseconds(600);
  /// Replaces election_timeout until this host has seen a leader: after a
  /// simultaneous restart of all hosts there is no leader to wait for.
  Duration initial_election_timeout = std::chrono::milliseconds(150);
  /// The log is compacted once this many entries were applied since the last
  /// snapshot.
  LogIndex compact_after_entries = 4000;
  /// The log is also compacted after this many bytes of applied commands.
  std::size_t compact_after_bytes = std::size_t{4} * 1024 * 1024;
  /// If true, hosts that ask to join are added and silent voters are removed
  /// without an operator.
  bool automatic_members = false;
  /// A voter that has not answered for this long is removed if the cluster has
  /// more than `min_voters` voters.
  Duration silent_voter_timeout = std::chrono::milliseconds(1000);
  /// A member without a vote that neither answers nor asks to join is removed
  /// after this long.
  Duration silent_member_timeout = std::chrono::seconds(10);
  std::size_t min_voters = 3;
  /// Members beyond this number replicate the log without a vote.
  std::size_t max_voters = 7;
};

/// A message to be sent to the host at `address`.
struct OutgoingMessage {
  std::string address;
  ConsensusMessage message;
};

/// A committed entry that this host has applied; `result` is the return value
/// of StateMachine::Apply.
struct AppliedEntry {
  LogIndex index = 0;
  Term term = 0;
  std::string result;
};

/// The replicated state machine.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual std::string Apply(const std::string& command) = 0;
  virtual std::string Save() const = 0;
  virtual void Load(const std::string& state) = 0;
};

/// One Raft member: leader election with pre-vote and check-quorum,
/// replication, membership changes one at a time and log compaction. A host
/// that returns with another disk does not count as a voter until a quorum
/// that excludes it has admitted it again.
///
/// All I/O goes through the LogStore. The caller supplies the time and sends
/// the outgoing messages.
class ConsensusNode {
 public:
  ConsensusNode(ConsensusConfig config,
                LogStore& store,
                StateMachine& state,
                StoredLog stored,
                Instant now);

  /// Makes this blank host the only voter of a new cluster whose other members
  /// are `non_voters`. Returns false if the host is not blank or the write
  /// fails.
  bool Bootstrap(Instant now,
                 const std::string& cluster,
                 const std::vector<Member>& non_voters);

  /// Makes this blank host one of the initial `voters` of a new cluster, which
  /// all make this call with the same arguments. Returns false if the host is
  /// not blank or not among `voters`, or the write fails.
  bool BootstrapWithVoters(Instant now,
                           const std::string& cluster,
                           const std::vector<Member>& voters);

  /// Replaces ConsensusConfig::seeds.
  void SetSeeds(std::vector<std::string> seeds) {
    config_.seeds = std::move(seeds);
  }

  /// Takes a message that arrived after `arrived_after`, however late it is
  /// read.
  void Receive(Instant now,
               const ConsensusMessage& message,
               Instant arrived_after);
  /// Takes a message that arrives now.
  void Receive(Instant now, const ConsensusMessage& message) {
    Receive(now, message, now);
  }
  void Tick(Instant now);

  /// Appends a command if this host leads, and returns its index. The command
  /// is committed once TakeApplied() returns an entry with this index and the
  /// current term().
  std::optional<LogIndex> Propose(Instant now, std::string command);

  /// The commands behind `index` in the log of this host, committed or not,
  /// oldest first; valid until the next call of a member that is not const.
  /// Nullopt if compaction has removed some of them.
  std::optional<std::vector<std::string_view>> CommandsAfter(
      LogIndex index) const;

  /// Adds a host as a member without a vote, or removes one. Returns false if
  /// this host does not lead or another membership change is in progress.
  bool AddMember(Instant now,
                 const std::string& host,
                 const std::string& address);
  bool RemoveMember(Instant now, const std::string& host);

  /// Stores all entries proposed since the last call in one write and
  /// replicates them. To be called after each batch of inputs.
  void Flush(Instant now);

  std::vector<OutgoingMessage> TakeMessages();
  std::vector<AppliedEntry> TakeApplied();

  ConsensusRole role() const { return role_; }
  /// True if this host leads and a quorum has answered within the election
  /// timeout; steps down otherwise.
  bool IsLeaderWithQuorum(Instant now);
  /// Empty if this host does not lead.
  std::optional<Redundancy> redundancy(Instant now) const;
  /// Voters of whom a majority consists.
  std::size_t quorum() const { return VoterCount() / 2 + 1; }
  /// Votes granted in the current pre-vote or election.
  std::size_t votes() const { return votes_.size(); }
  /// True if the applied state includes everything that was committed when a
  /// leader with a quorum last contacted this host.
  bool IsCurrent(Instant now);
  Term term() const { return vote_.term; }
  const std::string& leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  /// The last entry that the state machine contains.
  LogIndex applied_index() const { return applied_; }
  LogIndex last_index() const;
  /// The first index that compaction has not removed.
  LogIndex first_index() const;
  const std::vector<Member>& members() const { return members_; }
  /// True if the newest member list is committed.
  bool members_committed() const { return members_index_ <= commit_; }
  const std::string& cluster() const { return cluster_; }
  const std::string& disk() const { return disk_; }
  /// True if this host may vote and counts towards a quorum.
  bool IsVoter() const;
  /// True once a write has failed; the host then acknowledges nothing.
  bool failed() const { return failed_; }

 private:
  // A leader's replication state for another member.
  struct Progress {
    std::string address;
    std::string disk;
    LogIndex next = 1;
    LogIndex match = 0;
    Instant last_answered_send{};  ///< When the last answered message was sent.
    bool has_answered = false;     ///< The member has answered this leader.
    Instant last_join_request{};
    Instant last_send{};
    bool in_flight = false;
  };

  // Membership and log.
  const Member* FindMember(const std::string& host) const;
  bool IsVoterWith(const std::string& host, const std::string& disk) const;
  bool IsAnswering(Instant now, const std::string& host) const;
  std::size_t AnsweringVoterCount(Instant now) const;
  std::optional<Term> TermAt(LogIndex index) const;
  void UpdateMembersFromLog();
  bool ChangeMembers(Instant now, std::vector<Member> members);
  bool IsMembershipStable() const;
  bool AppendLocal(std::vector<LogEntry> entries);
  bool CheckWrite(bool stored);

  // Elections.
  void ResetElectionTimer(Instant now);
  void StartPreVote(Instant now);
  void StartElection(Instant now);
  void CountVote(Instant now, const ConsensusMessage& reply);
  void BecomeFollower(Instant now, Term term, const std::string& leader);
  void BecomeLeader(Instant now);
  bool CheckQuorum(Instant now);
  bool LogIsUpToDate(const ConsensusMessage& message) const;

  // Messages.
  ConsensusMessage NewMessage(ConsensusKind kind) const;
  void Send(const std::string& address, ConsensusMessage message);
  void RequestVotes(Instant now);
  void OnVoteRequest(Instant now, const ConsensusMessage& message);
  void OnAppend(Instant now,
                const ConsensusMessage& message,
                Instant arrived_after);
  void OnAppendReply(Instant now, const ConsensusMessage& message);
  void OnSnapshot(Instant now,
                  const ConsensusMessage& message,
                  Instant arrived_after);
  void OnJoin(Instant now, const ConsensusMessage& message);
  void ForwardJoin(const ConsensusMessage& message);
  void TrackJoiningMember(Instant now, const ConsensusMessage& message);
  void ReplyTo(const ConsensusMessage& request,
               ConsensusKind kind,
               bool granted,
               LogIndex index);
  void SendJoin(Instant now);

  // Replication.
  void Replicate(Instant now, const std::string& host, Progress& progress);
  void ReplicateAll(Instant now);
  void AdvanceCommit();
  void ApplyCommitted();
  void PromoteCaughtUpMembers(Instant now);
  void RemoveSilentMembers(Instant now);
  bool PrepareForNewVoter(Instant now);
  void RemoveSilentMember(Instant now, const std::string& host);
  std::size_t VoterCount() const;
  LogIndex FirstIndexToKeep() const;
  void Compact();

  ConsensusConfig config_;
  LogStore& store_;
  StateMachine& state_;
  Random random_;
  std::string cluster_;
  std::string disk_;
  VoteRecord vote_;
  LogSnapshot snapshot_;
  /// The newest entries; the first ones may overlap with the snapshot.
  std::vector<LogEntry> entries_;
  std::vector<LogEntry> pending_;  ///< Proposed but not yet stored.
  std::vector<Member> members_;
  LogIndex members_index_ = 0;
  ConsensusRole role_ = ConsensusRole::kFollower;
  std::string leader_;
  LogIndex commit_ = 0;
  LogIndex applied_ = 0;
  LogIndex term_start_index_ = 0;
  Instant election_deadline_{};
  Instant last_leader_contact_{};  ///< When the last message may have arrived.
  Instant next_heartbeat_{};
  Instant next_vote_request_{};
  Instant next_join_{};
  Instant leader_since_{};
  std::size_t bytes_since_snapshot_ = 0;
  std::set<std::string> votes_;
  std::map<std::string, Progress> progress_;
  bool failed_ = false;
  bool has_seen_leader_ = false;  ///< Since this process started.
  std::vector<OutgoingMessage> outgoing_;
  std::vector<AppliedEntry> applied_entries_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONSENSUS_NODE_H_
