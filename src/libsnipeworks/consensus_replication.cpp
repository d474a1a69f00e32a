#include "snipeworks/consensus_node.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEntriesPerMessage = 512;
constexpr std::size_t kBytesPerMessage = std::size_t{1024} * 1024;
constexpr Duration kSnapshotResend = milliseconds(3000);
// Compaction leaves this share of compact_after for followers that lag.
constexpr LogIndex kKeepDivisor = 4;

std::int64_t ToMicros(Instant now) {
  return now.time_since_epoch().count();
}

Instant FromMicros(std::int64_t micros) {
  return Instant(Duration(micros));
}

}  // namespace

void ConsensusNode::OnAppend(Instant now, const ConsensusMessage& message) {
  if (message.term < vote_.term) {
    ReplyTo(message, ConsensusKind::kAppendReply, false, last_index());
    return;
  }
  BecomeFollower(now, message.term, message.from);
  if (failed_) {
    return;
  }
  heard_leader_ = now;
  has_known_leader_ = true;
  ResetElectionTimer(now);
  const bool covered = message.index < snapshot_.index;
  if (!covered && TermAt(message.index) != message.index_term) {
    const LogIndex hint =
        std::min(last_index(), message.index > 0 ? message.index - 1 : 0);
    ReplyTo(message, ConsensusKind::kAppendReply, false,
            std::max(hint, snapshot_.index));
    return;
  }
  std::vector<LogEntry> added;
  for (const LogEntry& entry : message.entries) {
    const bool known = entry.index <= snapshot_.index ||
                       (added.empty() && TermAt(entry.index) == entry.term);
    if (!known) {
      added.push_back(entry);
    }
  }
  if (!added.empty() && added.front().index <= commit_) {
    LOG(ERROR) << "event=committed_entry_differs index=" << added.front().index;
    Persist(false);
    return;
  }
  if (!AppendLocal(std::move(added))) {
    return;
  }
  const LogIndex matched =
      std::max(message.index + message.entries.size(), snapshot_.index);
  commit_ = std::max(commit_, std::min(message.commit, matched));
  ApplyCommitted();
  ReplyTo(message, ConsensusKind::kAppendReply, true, matched);
}

void ConsensusNode::OnSnapshot(Instant now, const ConsensusMessage& message) {
  if (message.term < vote_.term || message.snapshot.size() != 1) {
    return;
  }
  BecomeFollower(now, message.term, message.from);
  heard_leader_ = now;
  has_known_leader_ = true;
  ResetElectionTimer(now);
  const LogSnapshot& offered = message.snapshot.front();
  if (offered.index > commit_) {
    if (!Persist(store_.SaveSnapshot(offered, offered.index + 1, true))) {
      return;
    }
    snapshot_ = offered;
    entries_.clear();
    state_.Load(snapshot_.state);
    commit_ = snapshot_.index;
    applied_ = snapshot_.index;
    UseNewestMembers();
  }
  ReplyTo(message, ConsensusKind::kAppendReply, true, commit_);
}

void ConsensusNode::ReplicateAll(Instant now) {
  heartbeat_due_ = now + config_.heartbeat;
  for (auto& [host, progress] : progress_) {
    Replicate(now, host, progress);
  }
}

void ConsensusNode::Replicate(Instant now,
                              const std::string&,
                              Progress& progress) {
  const LogIndex previous = progress.next - 1;
  const auto previous_term = TermAt(previous);
  const bool resend = now - progress.sent >= config_.heartbeat;
  if (progress.in_flight && !resend) {
    return;
  }
  const bool compacted = progress.next < first_index();
  if (!previous_term || compacted) {
    if (progress.in_flight && now - progress.sent < kSnapshotResend) {
      return;
    }
    ConsensusMessage message = NewMessage(ConsensusKind::kSnapshot);
    message.snapshot = {snapshot_};
    message.sent_us = ToMicros(now);
    progress.in_flight = true;
    progress.sent = now;
    Send(progress.address, std::move(message));
    return;
  }
  ConsensusMessage message = NewMessage(ConsensusKind::kAppend);
  message.index = previous;
  message.index_term = *previous_term;
  message.commit = commit_;
  message.sent_us = ToMicros(now);
  std::size_t bytes = 0;
  for (LogIndex index = progress.next; index <= last_index(); ++index) {
    const LogEntry& entry = entries_[index - entries_.front().index];
    if (message.entries.size() >= kEntriesPerMessage ||
        bytes > kBytesPerMessage) {
      break;
    }
    bytes += entry.command.size();
    message.entries.push_back(entry);
  }
  progress.in_flight = true;
  progress.sent = now;
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
  progress.heard = std::max(progress.heard, FromMicros(message.sent_us));
  if (message.granted) {
    progress.match = std::max(progress.match, message.index);
    progress.next = progress.match + 1;
  } else {
    progress.next = std::max(progress.match + 1,
                             std::min(progress.next - 1, message.index + 1));
  }
  const LogIndex before = commit_;
  AdvanceCommit();
  if (role_ != ConsensusRole::kLeader) {
    return;
  }
  if (commit_ > before) {
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
    const bool counts =
        found != progress_.end() && found->second.disk == member.disk;
    matches.push_back(counts ? found->second.match : 0);
  }
  if (matches.empty()) {
    return;
  }
  std::ranges::sort(matches, std::greater<>());
  const LogIndex agreed = matches[Quorum() - 1];
  if (agreed > commit_ && TermAt(agreed) == vote_.term) {
    commit_ = agreed;
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
  const bool removed = role_ == ConsensusRole::kLeader &&
                       members_index_ <= commit_ && !IsVoter();
  if (removed) {
    role_ = ConsensusRole::kFollower;
    leader_.clear();
  }
  Compact();
}

// Followers that lag a little are served from the log, not with a snapshot.
LogIndex ConsensusNode::FirstToKeep() const {
  const LogIndex most = config_.compact_after / kKeepDivisor;
  std::size_t bytes = 0;
  LogIndex first = applied_ + 1;
  while (first > entries_.front().index && applied_ + 1 - first < most) {
    bytes += entries_[first - 1 - entries_.front().index].command.size();
    if (bytes > config_.compact_after_bytes / kKeepDivisor) {
      break;
    }
    --first;
  }
  return first;
}

void ConsensusNode::Compact() {
  const bool many = applied_ - snapshot_.index >= config_.compact_after;
  if (!many && bytes_since_snapshot_ < config_.compact_after_bytes) {
    return;
  }
  LogSnapshot next;
  next.index = applied_;
  next.term = TermAt(applied_).value_or(0);
  next.state = state_.Save();
  next.members = snapshot_.members;
  for (const LogEntry& entry : entries_) {
    if (entry.kind == EntryKind::kMembers && entry.index <= applied_ &&
        entry.index > snapshot_.index) {
      next.members = entry.members;
    }
  }
  const LogIndex keep_from = FirstToKeep();
  if (!Persist(store_.SaveSnapshot(next, keep_from, false))) {
    return;
  }
  snapshot_ = std::move(next);
  bytes_since_snapshot_ = 0;
  std::erase_if(entries_,
                [&](const LogEntry& entry) { return entry.index < keep_from; });
}

}  // namespace snipeworks
