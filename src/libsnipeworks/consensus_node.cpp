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
constexpr Duration kJoinInterval = milliseconds(500);
// Compaction leaves this share of compact_after for followers that lag.
constexpr LogIndex kKeepDivisor = 4;

std::int64_t ToMicros(Instant now) {
  return now.time_since_epoch().count();
}

Instant FromMicros(std::int64_t micros) {
  return Instant(Duration(micros));
}

}  // namespace

const char* ToString(ConsensusRole role) {
  switch (role) {
    case ConsensusRole::kFollower:
      return "follower";
    case ConsensusRole::kPreCandidate:
      return "pre-candidate";
    case ConsensusRole::kCandidate:
      return "candidate";
    case ConsensusRole::kLeader:
      return "leader";
  }
  return "follower";
}

ConsensusNode::ConsensusNode(ConsensusConfig config,
                             LogStore& store,
                             StateMachine& state,
                             StoredLog stored,
                             Instant now)
    : config_(std::move(config)),
      store_(store),
      state_(state),
      random_(config_.seed),
      cluster_(std::move(stored.cluster)),
      disk_(std::move(stored.disk)),
      vote_(std::move(stored.vote)),
      snapshot_(std::move(stored.snapshot)),
      entries_(std::move(stored.entries)) {
  if (snapshot_.index > 0) {
    state_.Load(snapshot_.state);
  }
  commit_ = snapshot_.index;
  applied_ = snapshot_.index;
  UseNewestMembers();
  ResetElectionTimer(now);
  join_due_ = now;
}

bool ConsensusNode::Bootstrap(Instant now,
                              const std::string& cluster,
                              const std::vector<Member>& invited) {
  const bool blank = cluster_.empty() && last_index() == 0;
  if (!blank || !Persist(store_.SaveCluster(cluster))) {
    return false;
  }
  cluster_ = cluster;
  LogEntry first;
  first.index = 1;
  first.term = 1;
  first.kind = EntryKind::kMembers;
  first.members = {{config_.host, config_.address, disk_, true}};
  for (const Member& member : invited) {
    if (member.host != config_.host) {
      first.members.push_back({member.host, member.address, "", false});
    }
  }
  vote_ = {1, config_.host};
  if (!Persist(store_.SaveVote(vote_)) || !AppendLocal({first})) {
    return false;
  }
  BecomeLeader(now);
  return true;
}

// ---- Membership and log ----

LogIndex ConsensusNode::last_index() const {
  return entries_.empty() ? snapshot_.index : entries_.back().index;
}

LogIndex ConsensusNode::first_index() const {
  return entries_.empty() ? snapshot_.index + 1 : entries_.front().index;
}

std::optional<Term> ConsensusNode::TermAt(LogIndex index) const {
  if (index == 0) {
    return 0;
  }
  if (index == snapshot_.index) {
    return snapshot_.term;
  }
  if (entries_.empty() || index < entries_.front().index ||
      index > entries_.back().index) {
    return std::nullopt;
  }
  return entries_[index - entries_.front().index].term;
}

const Member* ConsensusNode::FindMember(const std::string& host) const {
  auto found = std::ranges::find(members_, host, &Member::host);
  return found == members_.end() ? nullptr : &*found;
}

bool ConsensusNode::IsVoterWith(const std::string& host,
                                const std::string& disk) const {
  const Member* member = FindMember(host);
  return member != nullptr && member->voter && member->disk == disk;
}

bool ConsensusNode::IsVoter() const {
  return !failed_ && IsVoterWith(config_.host, disk_);
}

std::size_t ConsensusNode::Quorum() const {
  const auto voters = std::ranges::count_if(
      members_, [](const Member& member) { return member.voter; });
  return static_cast<std::size_t>(voters) / 2 + 1;
}

// Members count from the moment their entry is in the log, committed or not.
void ConsensusNode::UseNewestMembers() {
  members_ = snapshot_.members;
  members_index_ = snapshot_.index;
  for (const LogEntry& entry : entries_) {
    if (entry.kind == EntryKind::kMembers && entry.index > members_index_) {
      members_ = entry.members;
      members_index_ = entry.index;
    }
  }
}

bool ConsensusNode::Persist(bool stored) {
  if (!stored && !failed_) {
    failed_ = true;
    LOG(ERROR) << "event=log_write_failed host=" << config_.host;
    role_ = ConsensusRole::kFollower;
    leader_.clear();
    pending_.clear();
  }
  return stored;
}

bool ConsensusNode::AppendLocal(std::vector<LogEntry> entries) {
  if (entries.empty()) {
    return true;
  }
  if (!Persist(store_.Append(entries))) {
    return false;
  }
  const LogIndex first = entries.front().index;
  while (!entries_.empty() && entries_.back().index >= first) {
    entries_.pop_back();
  }
  bool members_changed = first <= members_index_;
  for (LogEntry& entry : entries) {
    members_changed |= entry.kind == EntryKind::kMembers;
    entries_.push_back(std::move(entry));
  }
  if (members_changed) {
    UseNewestMembers();
  }
  return true;
}

bool ConsensusNode::MembersSettled() const {
  const bool change_pending = std::ranges::any_of(
      pending_,
      [](const LogEntry& entry) { return entry.kind == EntryKind::kMembers; });
  return !change_pending && members_index_ <= commit_ &&
         commit_ >= first_of_term_;
}

bool ConsensusNode::ChangeMembers(Instant now, std::vector<Member> members) {
  if (!LeadsNow(now) || !MembersSettled()) {
    return false;
  }
  LogEntry entry;
  entry.index = last_index() + pending_.size() + 1;
  entry.term = vote_.term;
  entry.kind = EntryKind::kMembers;
  entry.members = std::move(members);
  pending_.push_back(std::move(entry));
  return true;
}

bool ConsensusNode::AddMember(Instant now,
                              const std::string& host,
                              const std::string& address) {
  if (FindMember(host) != nullptr) {
    return false;
  }
  std::vector<Member> members = members_;
  members.push_back({host, address, "", false});
  return ChangeMembers(now, std::move(members));
}

bool ConsensusNode::RemoveMember(Instant now, const std::string& host) {
  std::vector<Member> members = members_;
  const std::size_t removed = std::erase_if(
      members, [&](const Member& member) { return member.host == host; });
  const bool voter_left = std::ranges::any_of(
      members, [](const Member& member) { return member.voter; });
  return removed > 0 && voter_left && ChangeMembers(now, std::move(members));
}

std::optional<LogIndex> ConsensusNode::Propose(Instant now,
                                               std::string command) {
  if (!LeadsNow(now)) {
    return std::nullopt;
  }
  LogEntry entry;
  entry.index = last_index() + pending_.size() + 1;
  entry.term = vote_.term;
  entry.kind = EntryKind::kCommand;
  entry.command = std::move(command);
  pending_.push_back(std::move(entry));
  return pending_.back().index;
}

void ConsensusNode::Flush(Instant now) {
  if (pending_.empty()) {
    return;
  }
  std::vector<LogEntry> batch = std::exchange(pending_, {});
  if (role_ != ConsensusRole::kLeader || !AppendLocal(std::move(batch))) {
    return;
  }
  AdvanceCommit();
  ReplicateAll(now);
}

// ---- Elections ----

void ConsensusNode::ResetElectionTimer(Instant now) {
  const auto spread =
      static_cast<std::size_t>(config_.election_timeout.count());
  election_due_ = now + config_.election_timeout +
                  Duration(static_cast<std::int64_t>(random_.Below(spread)));
}

bool ConsensusNode::CheckQuorum(Instant now) {
  if (role_ != ConsensusRole::kLeader) {
    return false;
  }
  std::size_t heard = IsVoter() ? 1 : 0;
  for (const auto& [host, progress] : progress_) {
    const bool recent = now - progress.heard <= config_.election_timeout;
    if (recent && IsVoterWith(host, progress.disk)) {
      ++heard;
    }
  }
  if (heard >= Quorum()) {
    return true;
  }
  LOG(WARNING) << "event=lost_quorum host=" << config_.host
               << " term=" << vote_.term;
  BecomeFollower(now, vote_.term, "");
  return false;
}

bool ConsensusNode::LeadsNow(Instant now) {
  return !failed_ && CheckQuorum(now);
}

// A leader's first entry of its term, once committed, shows that it knows all
// that earlier leaders committed.
bool ConsensusNode::IsCurrent(Instant now) {
  if (failed_ || commit_ == 0) {
    return false;
  }
  if (LeadsNow(now)) {
    return commit_ >= first_of_term_ && applied_ == commit_;
  }
  const bool heard =
      !leader_.empty() && now - heard_leader_ <= config_.election_timeout;
  return heard && TermAt(commit_) == vote_.term;
}

void ConsensusNode::Tick(Instant now) {
  if (failed_) {
    return;
  }
  if (role_ == ConsensusRole::kLeader) {
    if (CheckQuorum(now) && now >= heartbeat_due_) {
      AdmitCaughtUp(now);
      ReplicateAll(now);
    }
  } else if (IsVoter()) {
    if (now >= election_due_) {
      StartPreVote(now);
    }
  } else if (now >= join_due_) {
    SendJoin(now);
  }
}

void ConsensusNode::StartPreVote(Instant now) {
  role_ = ConsensusRole::kPreCandidate;
  leader_.clear();
  votes_ = {config_.host};
  ResetElectionTimer(now);
  ConsensusMessage message = NewMessage(ConsensusKind::kPreVote);
  message.term = vote_.term + 1;
  Broadcast(message);
  if (votes_.size() >= Quorum()) {
    StartElection(now);
  }
}

void ConsensusNode::StartElection(Instant now) {
  const VoteRecord vote{vote_.term + 1, config_.host};
  if (!Persist(store_.SaveVote(vote))) {
    return;
  }
  vote_ = vote;
  role_ = ConsensusRole::kCandidate;
  votes_ = {config_.host};
  ResetElectionTimer(now);
  Broadcast(NewMessage(ConsensusKind::kVote));
  if (votes_.size() >= Quorum()) {
    BecomeLeader(now);
  }
}

bool ConsensusNode::LogIsUpToDate(const ConsensusMessage& message) const {
  const Term last_term = TermAt(last_index()).value_or(0);
  if (message.index_term != last_term) {
    return message.index_term > last_term;
  }
  return message.index >= last_index();
}

void ConsensusNode::OnVoteRequest(Instant now,
                                  const ConsensusMessage& message) {
  const bool real = message.kind == ConsensusKind::kVote;
  const ConsensusKind reply_kind =
      real ? ConsensusKind::kVoteReply : ConsensusKind::kPreVoteReply;
  const Member* member = FindMember(message.from);
  const bool other_disk = member != nullptr && !member->disk.empty() &&
                          member->disk != message.from_disk;
  const bool has_leader =
      role_ == ConsensusRole::kLeader ||
      (!leader_.empty() && now - heard_leader_ < config_.election_timeout);
  // A host votes also if it does not know yet that it is a voter: the candidate
  // counts the vote only if its own log says so, for this host with this disk.
  const bool eligible = !other_disk && !has_leader &&
                        message.term >= vote_.term && LogIsUpToDate(message);
  if (!real) {
    const bool granted = eligible && message.term > vote_.term;
    ReplyTo(message, reply_kind, granted, 0);
    if (granted) {
      outgoing_.back().message.term = message.term;
    }
    return;
  }
  if (!has_leader && message.term > vote_.term) {
    BecomeFollower(now, message.term, "");
  }
  const bool free = vote_.voted_for.empty() || vote_.voted_for == message.from;
  if (!eligible || message.term != vote_.term || !free) {
    ReplyTo(message, reply_kind, false, 0);
    return;
  }
  const VoteRecord vote{vote_.term, message.from};
  if (!Persist(store_.SaveVote(vote))) {
    return;
  }
  vote_ = vote;
  ResetElectionTimer(now);
  ReplyTo(message, reply_kind, true, 0);
}

void ConsensusNode::CountVote(Instant now, const ConsensusMessage& reply) {
  const bool pre = reply.kind == ConsensusKind::kPreVoteReply;
  const ConsensusRole expected =
      pre ? ConsensusRole::kPreCandidate : ConsensusRole::kCandidate;
  const Term term = pre ? vote_.term + 1 : vote_.term;
  if (role_ != expected || !reply.granted || reply.term != term ||
      !IsVoterWith(reply.from, reply.from_disk)) {
    return;
  }
  votes_.insert(reply.from);
  if (votes_.size() < Quorum()) {
    return;
  }
  if (pre) {
    StartElection(now);
  } else {
    BecomeLeader(now);
  }
}

void ConsensusNode::BecomeFollower(Instant now,
                                   Term term,
                                   const std::string& leader) {
  if (term > vote_.term) {
    const VoteRecord vote{term, ""};
    if (!Persist(store_.SaveVote(vote))) {
      return;
    }
    vote_ = vote;
  }
  if (role_ == ConsensusRole::kLeader) {
    ResetElectionTimer(now);
  }
  role_ = ConsensusRole::kFollower;
  leader_ = leader;
  pending_.clear();
  progress_.clear();
}

void ConsensusNode::BecomeLeader(Instant now) {
  role_ = ConsensusRole::kLeader;
  leader_ = config_.host;
  progress_.clear();
  for (const Member& member : members_) {
    if (member.host == config_.host || member.disk.empty()) {
      continue;
    }
    Progress progress;
    progress.address = member.address;
    progress.disk = member.disk;
    progress.next = last_index() + 1;
    progress.heard = now;
    progress_[member.host] = progress;
  }
  LOG(INFO) << "event=leading host=" << config_.host << " term=" << vote_.term;
  LogEntry noop;
  noop.index = last_index() + 1;
  noop.term = vote_.term;
  first_of_term_ = noop.index;
  if (!AppendLocal({noop})) {
    return;
  }
  AdvanceCommit();
  ReplicateAll(now);
}

// ---- Messages ----

ConsensusMessage ConsensusNode::NewMessage(ConsensusKind kind) const {
  ConsensusMessage message;
  message.kind = kind;
  message.cluster = cluster_;
  message.from = config_.host;
  message.from_disk = disk_;
  message.from_address = config_.address;
  message.term = vote_.term;
  message.index = last_index();
  message.index_term = TermAt(message.index).value_or(0);
  return message;
}

void ConsensusNode::Send(const std::string& address, ConsensusMessage message) {
  outgoing_.push_back({address, std::move(message)});
}

void ConsensusNode::Broadcast(const ConsensusMessage& message) {
  for (const Member& member : members_) {
    if (member.host != config_.host && member.voter) {
      Send(member.address, message);
    }
  }
}

void ConsensusNode::ReplyTo(const ConsensusMessage& request,
                            ConsensusKind kind,
                            bool granted,
                            LogIndex index) {
  ConsensusMessage reply = NewMessage(kind);
  reply.granted = granted;
  reply.index = index;
  reply.sent_us = request.sent_us;
  Send(request.from_address, std::move(reply));
}

// A host that is no voter asks every control host it knows to be taken in.
void ConsensusNode::SendJoin(Instant now) {
  join_due_ = now + kJoinInterval;
  for (const std::string& seed : config_.seeds) {
    if (seed != config_.address) {
      Send(seed, NewMessage(ConsensusKind::kJoin));
    }
  }
}

void ConsensusNode::Receive(Instant now, const ConsensusMessage& message) {
  if (failed_ || message.from == config_.host) {
    return;
  }
  const bool from_leader = message.kind == ConsensusKind::kAppend ||
                           message.kind == ConsensusKind::kSnapshot;
  if (cluster_.empty() && from_leader) {
    if (!Persist(store_.SaveCluster(message.cluster))) {
      return;
    }
    cluster_ = message.cluster;
  }
  const bool joining = message.kind == ConsensusKind::kJoin;
  const bool same_cluster =
      message.cluster == cluster_ || (joining && message.cluster.empty());
  if (!same_cluster || cluster_.empty()) {
    return;
  }
  CheckQuorum(now);
  const bool reply =
      message.kind == ConsensusKind::kVoteReply ||
      message.kind == ConsensusKind::kAppendReply ||
      (message.kind == ConsensusKind::kPreVoteReply && !message.granted);
  if (reply && message.term > vote_.term) {
    BecomeFollower(now, message.term, "");
    return;
  }
  switch (message.kind) {
    case ConsensusKind::kPreVote:
    case ConsensusKind::kVote:
      OnVoteRequest(now, message);
      return;
    case ConsensusKind::kPreVoteReply:
    case ConsensusKind::kVoteReply:
      CountVote(now, message);
      return;
    case ConsensusKind::kAppend:
      OnAppend(now, message);
      return;
    case ConsensusKind::kAppendReply:
      OnAppendReply(now, message);
      return;
    case ConsensusKind::kSnapshot:
      OnSnapshot(now, message);
      return;
    case ConsensusKind::kJoin:
      OnJoin(now, message);
      return;
  }
}

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

// A member that comes with another disk first loses its vote, by a quorum that
// does not count it; AdmitCaughtUp gives the vote back.
void ConsensusNode::OnJoin(Instant now, const ConsensusMessage& message) {
  const Member* member = FindMember(message.from);
  if (member == nullptr || !LeadsNow(now)) {
    return;
  }
  if (member->voter && member->disk == message.from_disk) {
    Progress& progress = progress_[message.from];
    if (progress.disk != message.from_disk) {
      progress = {message.from_address, message.from_disk, last_index() + 1};
    }
    return;
  }
  if (member->voter) {
    std::vector<Member> members = members_;
    for (Member& one : members) {
      if (one.host == message.from) {
        one.voter = false;
        one.disk.clear();
      }
    }
    if (ChangeMembers(now, std::move(members))) {
      LOG(WARNING) << "event=member_lost_disk host=" << message.from;
      progress_.erase(message.from);
    }
    return;
  }
  Progress& progress = progress_[message.from];
  if (progress.disk != message.from_disk) {
    progress = Progress{};
    progress.disk = message.from_disk;
    progress.next = last_index() + 1;
  }
  progress.address = message.from_address;
}

void ConsensusNode::AdmitCaughtUp(Instant now) {
  for (const auto& [host, progress] : progress_) {
    const Member* member = FindMember(host);
    const bool waiting = member != nullptr && !member->voter;
    if (!waiting || progress.match < commit_ || progress.match == 0) {
      continue;
    }
    std::vector<Member> members = members_;
    for (Member& one : members) {
      if (one.host == host) {
        one = {host, progress.address, progress.disk, true};
      }
    }
    if (ChangeMembers(now, std::move(members))) {
      LOG(INFO) << "event=member_admitted host=" << host;
    }
    return;
  }
}

// ---- Replication ----

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

void ConsensusNode::Compact() {
  if (applied_ - snapshot_.index < config_.compact_after) {
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
  const LogIndex keep_from =
      applied_ + 1 - config_.compact_after / kKeepDivisor;
  if (!Persist(store_.SaveSnapshot(next, keep_from, false))) {
    return;
  }
  snapshot_ = std::move(next);
  std::erase_if(entries_,
                [&](const LogEntry& entry) { return entry.index < keep_from; });
}

std::vector<OutgoingMessage> ConsensusNode::TakeMessages() {
  return std::exchange(outgoing_, {});
}

std::vector<AppliedEntry> ConsensusNode::TakeApplied() {
  return std::exchange(applied_entries_, {});
}

}  // namespace snipeworks
