#include "snipeworks/consensus_node.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEntriesPerMessage = 512;
constexpr std::size_t kMaxBytesPerMessage = std::size_t{1024} * 1024;
// The transport gives a message up after this long.
constexpr Duration kSnapshotResendInterval = milliseconds(1000);
// Compaction keeps 1 / kRetainedLogDivisor of compact_after_entries and of
// compact_after_bytes in the log for followers that lag.
constexpr LogIndex kRetainedLogDivisor = 4;

std::int64_t ToMicroseconds(Instant now) {
  return now.time_since_epoch().count();
}

Instant FromMicroseconds(std::int64_t microseconds) {
  return Instant(Duration(microseconds));
}

}  // namespace

void ConsensusNode::OnAppend(Instant now,
                             const ConsensusMessage& message,
                             Instant arrived_after) {
  if (message.term < vote_.term) {
    ReplyTo(message, ConsensusKind::kAppendReply, false, last_index());
    return;
  }
  BecomeFollower(now, message.term, message.from);
  if (failed_) {
    return;
  }
  last_leader_contact_ = std::max(last_leader_contact_, arrived_after);
  has_seen_leader_ = true;
  ResetElectionTimer(now);
  const bool in_snapshot = message.index < snapshot_.index;
  if (!in_snapshot && TermAt(message.index) != message.index_term) {
    const LogIndex retry_index =
        std::min(last_index(), message.index > 0 ? message.index - 1 : 0);
    ReplyTo(message, ConsensusKind::kAppendReply, false,
            std::max(retry_index, snapshot_.index));
    return;
  }
  std::vector<LogEntry> new_entries;
  for (const LogEntry& entry : message.entries) {
    const bool already_stored =
        entry.index <= snapshot_.index ||
        (new_entries.empty() && TermAt(entry.index) == entry.term);
    if (!already_stored) {
      new_entries.push_back(entry);
    }
  }
  if (!new_entries.empty() && new_entries.front().index <= commit_) {
    LOG(ERROR) << "event=committed_entry_differs index="
               << new_entries.front().index;
    CheckWrite(false);
    return;
  }
  if (!AppendLocal(std::move(new_entries))) {
    return;
  }
  const LogIndex match_index =
      std::max(message.index + message.entries.size(), snapshot_.index);
  commit_ = std::max(commit_, std::min(message.commit, match_index));
  ApplyCommitted();
  ReplyTo(message, ConsensusKind::kAppendReply, true, match_index);
}

void ConsensusNode::OnSnapshot(Instant now,
                               const ConsensusMessage& message,
                               Instant arrived_after) {
  if (message.term < vote_.term || message.snapshot.size() != 1) {
    return;
  }
  BecomeFollower(now, message.term, message.from);
  last_leader_contact_ = std::max(last_leader_contact_, arrived_after);
  has_seen_leader_ = true;
  ResetElectionTimer(now);
  const LogSnapshot& received = message.snapshot.front();
  if (received.index > commit_) {
    // This host may have acknowledged entries that follow the snapshot, which
    // may have been overtaken by them on the way.
    const bool keep_entries = TermAt(received.index) == received.term;
    const LogIndex keep_from = received.index + 1;
    if (!CheckWrite(store_.SaveSnapshot(received, keep_from, !keep_entries))) {
      return;
    }
    snapshot_ = received;
    std::erase_if(entries_, [&](const LogEntry& entry) {
      return !keep_entries || entry.index < keep_from;
    });
    state_.Load(snapshot_.state);
    commit_ = snapshot_.index;
    applied_ = snapshot_.index;
    UpdateMembersFromLog();
  }
  ReplyTo(message, ConsensusKind::kAppendReply, true, commit_);
}

void ConsensusNode::ReplicateAll(Instant now) {
  next_heartbeat_ = now + config_.heartbeat_interval;
  for (auto& [host, progress] : progress_) {
    Replicate(now, host, progress);
  }
}

void ConsensusNode::Replicate(Instant now,
                              const std::string&,
                              Progress& progress) {
  const LogIndex previous = progress.next - 1;
  const auto previous_term = TermAt(previous);
  const bool resend = now - progress.last_send >= config_.heartbeat_interval;
  if (progress.in_flight && !resend) {
    return;
  }
  const bool compacted = progress.next < first_index();
  if (!previous_term || compacted) {
    if (progress.in_flight &&
        now - progress.last_send < kSnapshotResendInterval) {
      return;
    }
    ConsensusMessage message = NewMessage(ConsensusKind::kSnapshot);
    message.snapshot = {snapshot_};
    message.sent_us = ToMicroseconds(now);
    progress.in_flight = true;
    progress.last_send = now;
    Send(progress.address, std::move(message));
    return;
  }
  ConsensusMessage message = NewMessage(ConsensusKind::kAppend);
  message.index = previous;
  message.index_term = *previous_term;
  message.commit = commit_;
  message.sent_us = ToMicroseconds(now);
  std::size_t bytes = 0;
  for (LogIndex index = progress.next; index <= last_index(); ++index) {
    const LogEntry& entry = entries_[index - entries_.front().index];
    if (message.entries.size() >= kMaxEntriesPerMessage ||
        bytes > kMaxBytesPerMessage) {
      break;
    }
    bytes += entry.command.size();
    message.entries.push_back(entry);
  }
  progress.in_flight = true;
  progress.last_send = now;
  Send(progress.address, std::move(message));
}

void ConsensusNode::OnAppendReply(Instant now,
                                  const ConsensusMessage& message) {
  auto found = progress_.find(message.from);
  if (role_ != ConsensusRole::kLeader || message.term != vote_.term ||
      found == progress_.end() || found->second.disk != message.from_disk) {
    return;
  }
  Progress& progress = found->second;
  progress.in_flight = false;
  progress.has_answered = true;
  progress.last_answered_send =
      std::max(progress.last_answered_send, FromMicroseconds(message.sent_us));
  if (message.granted) {
    progress.match = std::max(progress.match, message.index);
    progress.next = progress.match + 1;
  } else {
    progress.next = std::max(progress.match + 1,
                             std::min(progress.next - 1, message.index + 1));
  }
  const LogIndex old_commit = commit_;
  AdvanceCommit();
  if (role_ != ConsensusRole::kLeader) {
    return;
  }
  if (commit_ > old_commit) {
    ReplicateAll(now);
  } else if (progress.next <= last_index()) {
    Replicate(now, message.from, progress);
  }
}

void ConsensusNode::AdvanceCommit() {
  std::vector<LogIndex> matches;
  for (const Member& member : members_) {
    if (!member.voter) {
      continue;
    }
    if (member.host == config_.host) {
      matches.push_back(member.disk == disk_ ? last_index() : 0);
      continue;
    }
    auto found = progress_.find(member.host);
    const bool same_disk =
        found != progress_.end() && found->second.disk == member.disk;
    matches.push_back(same_disk ? found->second.match : 0);
  }
  if (matches.empty()) {
    return;
  }
  std::ranges::sort(matches, std::greater<>());
  const LogIndex quorum_index = matches[quorum() - 1];
  if (quorum_index > commit_ && TermAt(quorum_index) == vote_.term) {
    commit_ = quorum_index;
    ApplyCommitted();
  }
}

void ConsensusNode::ApplyCommitted() {
  while (applied_ < commit_) {
    const LogEntry& entry = entries_[applied_ + 1 - entries_.front().index];
    AppliedEntry applied{entry.index, entry.term, ""};
    if (entry.kind == EntryKind::kCommand) {
      applied.result = state_.Apply(entry.command);
      bytes_since_snapshot_ += entry.command.size();
    }
    applied_ = entry.index;
    applied_entries_.push_back(std::move(applied));
  }
  const bool leader_removed = role_ == ConsensusRole::kLeader &&
                              members_index_ <= commit_ && !IsVoter();
  if (leader_removed) {
    role_ = ConsensusRole::kFollower;
    leader_.clear();
  }
  Compact();
}

// Keeps enough of the log that followers that lag slightly need no snapshot.
LogIndex ConsensusNode::FirstIndexToKeep() const {
  const LogIndex max_entries =
      config_.compact_after_entries / kRetainedLogDivisor;
  std::size_t bytes = 0;
  LogIndex first = applied_ + 1;
  while (first > entries_.front().index && applied_ + 1 - first < max_entries) {
    bytes += entries_[first - 1 - entries_.front().index].command.size();
    if (bytes > config_.compact_after_bytes / kRetainedLogDivisor) {
      break;
    }
    --first;
  }
  return first;
}

void ConsensusNode::Compact() {
  const bool enough_entries =
      applied_ - snapshot_.index >= config_.compact_after_entries;
  if (!enough_entries && bytes_since_snapshot_ < config_.compact_after_bytes) {
    return;
  }
  LogSnapshot snapshot;
  snapshot.index = applied_;
  snapshot.term = TermAt(applied_).value_or(0);
  snapshot.state = state_.Save();
  snapshot.members = snapshot_.members;
  for (const LogEntry& entry : entries_) {
    if (entry.kind == EntryKind::kMembers && entry.index <= applied_ &&
        entry.index > snapshot_.index) {
      snapshot.members = entry.members;
    }
  }
  const LogIndex keep_from = FirstIndexToKeep();
  if (!CheckWrite(store_.SaveSnapshot(snapshot, keep_from, false))) {
    return;
  }
  snapshot_ = std::move(snapshot);
  bytes_since_snapshot_ = 0;
  std::erase_if(entries_,
                [&](const LogEntry& entry) { return entry.index < keep_from; });
}

}  // namespace snipeworks
