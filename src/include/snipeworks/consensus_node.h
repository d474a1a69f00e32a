#ifndef SNIPEWORKS_CONSENSUS_NODE_H_
#define SNIPEWORKS_CONSENSUS_NODE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/consensus_types.h"
#include "snipeworks/random.h"

namespace snipeworks {

/// The part that a control host plays at the moment.
enum class ConsensusRole { kFollower, kPreCandidate, kCandidate, kLeader };

/// A stable name for logs and status.
const char* ToString(ConsensusRole role);

/// What a ConsensusNode is made with.
struct ConsensusConfig {
  std::string host;
  std::string address;
  /// Addresses of control hosts to ask for membership while this host has none.
  std::vector<std::string> seeds;
  std::uint64_t random_seed = 1;
  Duration heartbeat = std::chrono::milliseconds(100);
  Duration election_timeout = std::chrono::milliseconds(600);
  /// In place of election_timeout until this host has heard of a leader: where
  /// all have started anew there is none to be patient with.
  Duration first_election_timeout = std::chrono::milliseconds(150);
  /// Entries after which the log is compacted.
  LogIndex compact_after = 4000;
  /// Bytes of commands after which it is compacted too.
  std::size_t compact_after_bytes = std::size_t{4} * 1024 * 1024;
  /// True if hosts that ask to join are taken in, and voters that are silent
  /// are dropped, without an operator.
  bool automatic_members = false;
  /// Silence after which a voter is dropped, as long as more than `min_voters`
  /// are left.
  Duration drop_after = std::chrono::milliseconds(2500);
  std::size_t min_voters = 3;
  /// Further members keep the log without a vote.
  std::size_t max_voters = 7;
};

/// A message to send.
struct OutgoingMessage {
  std::string address;
  ConsensusMessage message;
};

/// An entry that was committed here; `result` is what the state machine gave.
struct AppliedEntry {
  LogIndex index = 0;
  Term term = 0;
  std::string result;
};

/// The state that the log drives.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual std::string Apply(const std::string& command) = 0;
  virtual std::string Save() const = 0;
  virtual void Load(const std::string& state) = 0;
};

/// One member of the replicated log: leader election with pre-vote and
/// check-quorum, replication, membership by one change at a time, compaction,
/// and the rule that a host with another disk does not count until a quorum
/// without it has taken it in again.
///
/// Does no I/O but through the LogStore, reads no clock, sends nothing itself.
class ConsensusNode {
 public:
  ConsensusNode(ConsensusConfig config,
                LogStore& store,
                StateMachine& state,
                StoredLog stored,
                Instant now);

  /// Makes this blank host the only voter of a new cluster, and `invited` its
  /// members to be. Returns false if the host is not blank or cannot store it.
  bool Bootstrap(Instant now,
                 const std::string& cluster,
                 const std::vector<Member>& invited);

  /// Makes this blank host one of `voters`, who all start a new cluster at
  /// once with the same arguments. Returns false as Bootstrap does.
  bool BootstrapWithVoters(Instant now,
                           const std::string& cluster,
                           const std::vector<Member>& voters);

  /// Hosts to ask for membership from now on, beside the members.
  void SetSeeds(std::vector<std::string> seeds) {
    config_.seeds = std::move(seeds);
  }

  void Receive(Instant now, const ConsensusMessage& message);
  void Tick(Instant now);

  /// Appends a command if this host leads. Returns its index; it is committed
  /// once an AppliedEntry with this index and term() comes.
  std::optional<LogIndex> Propose(Instant now, std::string command);

  /// Adds a host that is to join, or removes one. Returns false if this host
  /// does not lead or another change is under way.
  bool AddMember(Instant now,
                 const std::string& host,
                 const std::string& address);
  bool RemoveMember(Instant now, const std::string& host);

  /// Stores what was proposed since the last call, in one write, and sends it
  /// on. To be called after each batch of inputs.
  void Flush(Instant now);

  std::vector<OutgoingMessage> TakeMessages();
  std::vector<AppliedEntry> TakeApplied();

  ConsensusRole role() const { return role_; }
  /// True while this host leads and a quorum has answered it lately.
  bool IsLeaderWithQuorum(Instant now);
  /// True if what is applied here includes all that was committed when a
  /// leader in touch with a quorum last spoke to this host.
  bool IsCurrent(Instant now);
  Term term() const { return vote_.term; }
  const std::string& leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  LogIndex last_index() const;
  /// The first entry that has not been compacted away.
  LogIndex first_index() const;
  const std::vector<Member>& members() const { return members_; }
  /// True if the newest list of members is committed.
  bool members_committed() const { return members_index_ <= commit_; }
  const std::string& cluster() const { return cluster_; }
  const std::string& disk() const { return disk_; }
  /// True if this host may vote and counts towards a quorum.
  bool IsVoter() const;
  /// True once a write has failed: the host acknowledges nothing any more.
  bool failed() const { return failed_; }

 private:
  // What a leader knows of another member.
  struct Progress {
    std::string address;
    std::string disk;
    LogIndex next = 1;
    LogIndex match = 0;
    Instant heard{};  ///< When the newest answered message was sent.
    Instant asked{};  ///< When it last asked to be taken in.
    Instant sent{};
    bool in_flight = false;
  };

  // Membership and log.
  const Member* FindMember(const std::string& host) const;
  bool IsVoterWith(const std::string& host, const std::string& disk) const;
  std::size_t Quorum() const;
  std::optional<Term> TermAt(LogIndex index) const;
  void UseNewestMembers();
  bool ChangeMembers(Instant now, std::vector<Member> members);
  bool MembersSettled() const;
  bool AppendLocal(std::vector<LogEntry> entries);
  bool Persist(bool stored);

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
  void Broadcast(const ConsensusMessage& message);
  void OnVoteRequest(Instant now, const ConsensusMessage& message);
  void OnAppend(Instant now, const ConsensusMessage& message);
  void OnAppendReply(Instant now, const ConsensusMessage& message);
  void OnSnapshot(Instant now, const ConsensusMessage& message);
  void OnJoin(Instant now, const ConsensusMessage& message);
  void PassJoinOn(const ConsensusMessage& message);
  void NoteJoining(Instant now, const ConsensusMessage& message);
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
  void AdmitCaughtUp(Instant now);
  void DropSilent(Instant now);
  std::size_t Voters() const;
  LogIndex FirstToKeep() const;
  void Compact();

  ConsensusConfig config_;
  LogStore& store_;
  StateMachine& state_;
  Random random_;
  std::string cluster_;
  std::string disk_;
  VoteRecord vote_;
  LogSnapshot snapshot_;
  /// The newest entries; some may be covered by the snapshot too.
  std::vector<LogEntry> entries_;
  std::vector<LogEntry> pending_;  ///< Proposed, not yet stored.
  std::vector<Member> members_;
  LogIndex members_index_ = 0;
  ConsensusRole role_ = ConsensusRole::kFollower;
  std::string leader_;
  LogIndex commit_ = 0;
  LogIndex applied_ = 0;
  LogIndex first_of_term_ = 0;
  Instant election_due_{};
  Instant heard_leader_{};
  Instant heartbeat_due_{};
  Instant join_due_{};
  Instant led_since_{};
  std::size_t bytes_since_snapshot_ = 0;
  std::set<std::string> votes_;
  std::map<std::string, Progress> progress_;
  bool failed_ = false;
  bool has_known_leader_ = false;  ///< Since it started.
  std::vector<OutgoingMessage> outgoing_;
  std::vector<AppliedEntry> applied_entries_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONSENSUS_NODE_H_
