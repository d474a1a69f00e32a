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

/// A period with at most one leader.
using Term = std::uint64_t;

/// One control host as the log knows it. A host that has lost its disk comes
/// back with another disk id, and is then no longer the voter it was.
struct Member {
  std::string host;
  std::string address;  ///< "IP:port" for other control hosts.
  std::string disk;     ///< Empty until the host has joined.
  bool voter = false;

  friend auto operator<=>(const Member&, const Member&) = default;
};

template <SameStruct<Member> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.address, v.disk, v.voter);
}

/// What an entry carries.
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
  std::vector<Member> members;  ///< With kMembers: the whole list.

  friend auto operator<=>(const LogEntry&, const LogEntry&) = default;
};

template <SameStruct<LogEntry> S>
auto WireFields(S& v) {
  return std::tie(v.index, v.term, v.kind, v.command, v.members);
}

/// The state that stands in for all entries up to `index`.
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

/// What must survive of a host's votes.
struct VoteRecord {
  Term term = 0;
  std::string voted_for;  ///< Host; empty for none.

  friend auto operator<=>(const VoteRecord&, const VoteRecord&) = default;
};

template <SameStruct<VoteRecord> S>
auto WireFields(S& v) {
  return std::tie(v.term, v.voted_for);
}

/// All that a store holds.
struct StoredLog {
  std::string cluster;  ///< Empty until the host belongs to one.
  std::string disk;
  VoteRecord vote;
  LogSnapshot snapshot;
  std::vector<LogEntry> entries;  ///< From snapshot.index + 1 on, or earlier.
};

/// Durable storage of the log. Each call returns once its effect would survive
/// a crash, or returns false; after a false nothing may be acknowledged.
class LogStore {
 public:
  virtual ~LogStore() = default;
  virtual bool SaveCluster(const std::string& cluster) = 0;
  virtual bool SaveVote(const VoteRecord& vote) = 0;
  /// Replaces all entries from entries.front().index on.
  virtual bool Append(const std::vector<LogEntry>& entries) = 0;
  /// Keeps `snapshot` and drops entries up to `keep_from` - 1. With
  /// `reset`, drops every entry.
  virtual bool SaveSnapshot(const LogSnapshot& snapshot,
                            LogIndex keep_from,
                            bool reset) = 0;
};

/// Kinds of messages between control hosts.
enum class ConsensusKind : std::uint8_t {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  kJoin,
  kForwardedJoin,  ///< A follower passes a join on to its leader.
};

}  // namespace snipeworks

MSGPACK_ADD_ENUM(snipeworks::ConsensusKind)

namespace snipeworks {

/// A message between control hosts. Which members count depends on the kind.
struct ConsensusMessage {
  ConsensusKind kind = ConsensusKind::kAppend;
  std::string cluster;
  std::string from;       ///< Sending host.
  std::string from_disk;  ///< Its disk id.
  std::string from_address;
  Term term = 0;
  /// Votes: the sender's last entry. Append: the entry before `entries`.
  LogIndex index = 0;
  Term index_term = 0;
  LogIndex commit = 0;
  bool granted = false;  ///< Replies: vote granted, or entries taken.
  /// Append and its reply: the leader's clock when it sent, in microseconds.
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
