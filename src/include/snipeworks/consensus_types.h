#ifndef SNIPEWORKS_CONSENSUS_TYPES_H_
#define SNIPEWORKS_CONSENSUS_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "snipeworks/wire.h"

namespace snipeworks {

/// A position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;

/// A Raft term: a period with at most one leader.
using Term = std::uint64_t;

/// One control host in the member list of the log. A host that lost its disk
/// returns with another disk id and does not count as the earlier voter.
struct Member {
  std::string host;
  std::string address;  ///< "IP:port" at which other control hosts reach it.
  std::string disk;     ///< Disk id; empty until the host has joined.
  bool voter = false;

  friend auto operator<=>(const Member&, const Member&) = default;
};

template <SameStruct<Member> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.address, v.disk, v.voter);
}

/// The content of a log entry.
enum class EntryKind : std::uint8_t { kNoop, kCommand, kMembers };

}  // namespace snipeworks

MSGPACK_ADD_ENUM(snipeworks::EntryKind)

namespace snipeworks {

/// One entry of the replicated log.
struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string command;          ///< With kCommand.
  std::vector<Member> members;  ///< With kMembers: the complete member list.

  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
};

template <SameStruct<LogEntry> S>
auto WireFields(S& v) {
  return std::tie(v.index, v.term, v.kind, v.command, v.members);
}

/// The state machine's state after all entries up to and including `index`.
struct LogSnapshot {
  LogIndex index = 0;
  Term term = 0;
  std::vector<Member> members;
  std::string state;

  friend auto operator<=>(const LogSnapshot&, const LogSnapshot&) = default;
};

template <SameStruct<LogSnapshot> S>
auto WireFields(S& v) {
  return std::tie(v.index, v.term, v.members, v.state);
}

/// The durable part of a host's election state.
struct VoteRecord {
  Term term = 0;
  std::string voted_for;  ///< Host voted for in `term`; empty for none.

  friend auto operator<=>(const VoteRecord&, const VoteRecord&) = default;
};

template <SameStruct<VoteRecord> S>
auto WireFields(S& v) {
  return std::tie(v.term, v.voted_for);
}

/// The complete content of a log store.
struct StoredLog {
  std::string cluster;  ///< Empty until the host belongs to a cluster.
  std::string disk;
  VoteRecord vote;
  LogSnapshot snapshot;
  /// Start at snapshot.index + 1 or before it.
  std::vector<LogEntry> entries;
};

/// Durable storage of the log. Each call returns true once its effect is
/// durable. After a call has returned false, nothing may be acknowledged.
class LogStore {
 public:
  virtual ~LogStore() = default;
  virtual bool SaveCluster(const std::string& cluster) = 0;
  virtual bool SaveVote(const VoteRecord& vote) = 0;
  /// Replaces all entries from entries.front().index onwards.
  virtual bool Append(const std::vector<LogEntry>& entries) = 0;
  /// Stores `snapshot` and deletes all entries before `keep_from`. With
  /// `reset`, deletes every entry.
  virtual bool SaveSnapshot(const LogSnapshot& snapshot,
                            LogIndex keep_from,
                            bool reset) = 0;
};

/// The kind of a message between control hosts.
enum class ConsensusKind : std::uint8_t {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  kJoin,
  kForwardedJoin,  ///< A join that a follower forwards to the leader.
};

}  // namespace snipeworks

MSGPACK_ADD_ENUM(snipeworks::ConsensusKind)

namespace snipeworks {

/// A message between control hosts. The fields in use depend on the kind.
struct ConsensusMessage {
  ConsensusKind kind = ConsensusKind::kAppend;
  std::string cluster;
  std::string from;       ///< Sending host.
  std::string from_disk;  ///< Disk id of the sender.
  std::string from_address;
  Term term = 0;
  /// Vote requests: the sender's last entry. Append: the entry that precedes
  /// `entries`. Append replies: the last matching entry if granted, else the
  /// entry after which the leader retries.
  LogIndex index = 0;
  Term index_term = 0;
  LogIndex commit = 0;
  bool granted = false;  ///< Replies: vote granted, or entries stored.
  /// Append and its reply: the leader's clock at the time of sending, in
  /// microseconds.
  std::int64_t sent_us = 0;
  std::vector<LogEntry> entries;
  std::vector<LogSnapshot> snapshot;  ///< With kSnapshot: exactly one.

  friend auto operator<=>(const ConsensusMessage&,
                          const ConsensusMessage&) = default;
};

template <SameStruct<ConsensusMessage> S>
auto WireFields(S& v) {
  return std::tie(v.kind, v.cluster, v.from, v.from_disk, v.from_address,
                  v.term, v.index, v.index_term, v.commit, v.granted, v.sent_us,
                  v.entries, v.snapshot);
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONSENSUS_TYPES_H_
