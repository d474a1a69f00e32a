#include "snipeworks/consensus_node.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kJoinInterval = milliseconds(500);

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
      random_(config_.random_seed),
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
  UpdateMembersFromLog();
  ResetElectionTimer(now);
  next_join_ = now;
}

bool ConsensusNode::Bootstrap(Instant now,
                              const std::string& cluster,
                              const std::vector<Member>& non_voters) {
  const bool is_blank = cluster_.empty() && last_index() == 0;
  if (!is_blank || !CheckWrite(store_.SaveCluster(cluster))) {
    return false;
  }
  cluster_ = cluster;
  LogEntry first;
  first.index = 1;
  first.term = 1;
  first.kind = EntryKind::kMembers;
  first.members = {{config_.host, config_.address, disk_, true}};
  for (const Member& member : non_voters) {
    if (member.host != config_.host) {
      first.members.push_back({member.host, member.address, "", false});
    }
  }
  vote_ = {1, config_.host};
  if (!CheckWrite(store_.SaveVote(vote_)) || !AppendLocal({first})) {
    return false;
  }
  BecomeLeader(now);
  return true;
}

bool ConsensusNode::BootstrapWithVoters(Instant now,
                                        const std::string& cluster,
                                        const std::vector<Member>& voters) {
  const bool is_blank = cluster_.empty() && last_index() == 0;
  const bool is_initial_voter =
      std::ranges::any_of(voters, [&](const Member& member) {
        return member.host == config_.host && member.disk == disk_;
      });
  if (!is_blank || !is_initial_voter ||
      !CheckWrite(store_.SaveCluster(cluster))) {
    return false;
  }
  cluster_ = cluster;
  LogEntry first;
  first.index = 1;
  first.term = 1;
  first.kind = EntryKind::kMembers;
  first.members = voters;
  vote_ = {1, ""};
  if (!CheckWrite(store_.SaveVote(vote_)) || !AppendLocal({first})) {
    return false;
  }
  ResetElectionTimer(now);
  return true;
}

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

std::size_t ConsensusNode::VoterCount() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      members_, [](const Member& member) { return member.voter; }));
}

// A member list takes effect once its entry is in the log, committed or not.
void ConsensusNode::UpdateMembersFromLog() {
  members_ = snapshot_.members;
  members_index_ = snapshot_.index;
  for (const LogEntry& entry : entries_) {
    if (entry.kind == EntryKind::kMembers && entry.index > members_index_) {
      members_ = entry.members;
      members_index_ = entry.index;
    }
  }
}

bool ConsensusNode::CheckWrite(bool stored) {
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
  if (!CheckWrite(store_.Append(entries))) {
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
    UpdateMembersFromLog();
  }
  return true;
}

bool ConsensusNode::IsMembershipStable() const {
  const bool change_pending = std::ranges::any_of(
      pending_,
      [](const LogEntry& entry) { return entry.kind == EntryKind::kMembers; });
  return !change_pending && members_index_ <= commit_ &&
         commit_ >= term_start_index_;
}

bool ConsensusNode::ChangeMembers(Instant now, std::vector<Member> members) {
  if (!IsLeaderWithQuorum(now) || !IsMembershipStable()) {
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
  const bool voter_remains = std::ranges::any_of(
      members, [](const Member& member) { return member.voter; });
  return removed > 0 && voter_remains && ChangeMembers(now, std::move(members));
}

std::optional<LogIndex> ConsensusNode::Propose(Instant now,
                                               std::string command) {
  if (!IsLeaderWithQuorum(now)) {
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

std::optional<std::vector<std::string_view>> ConsensusNode::CommandsAfter(
    LogIndex index) const {
  if (index + 1 < first_index()) {
    return std::nullopt;
  }
  std::vector<std::string_view> commands;
  for (const auto* log : {&entries_, &pending_}) {
    for (auto entry =
             std::ranges::upper_bound(*log, index, {}, &LogEntry::index);
         entry != log->end(); ++entry) {
      if (entry->kind == EntryKind::kCommand) {
        commands.emplace_back(entry->command);
      }
    }
  }
  return commands;
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

// Sends a join request to every control host that this host knows.
void ConsensusNode::SendJoin(Instant now) {
  next_join_ = now + kJoinInterval;
  std::set<std::string> addresses(config_.seeds.begin(), config_.seeds.end());
  for (const Member& member : members_) {
    addresses.insert(member.address);
  }
  addresses.erase(config_.address);
  for (const std::string& address : addresses) {
    Send(address, NewMessage(ConsensusKind::kJoin));
  }
}

void ConsensusNode::Receive(Instant now,
                            const ConsensusMessage& message,
                            Instant arrived_after) {
  if (failed_ || message.from == config_.host) {
    return;
  }
  const bool is_from_leader = message.kind == ConsensusKind::kAppend ||
                              message.kind == ConsensusKind::kSnapshot;
  if (cluster_.empty() && is_from_leader) {
    if (!CheckWrite(store_.SaveCluster(message.cluster))) {
      return;
    }
    cluster_ = message.cluster;
  }
  const bool is_join = message.kind == ConsensusKind::kJoin ||
                       message.kind == ConsensusKind::kForwardedJoin;
  const bool same_cluster =
      message.cluster == cluster_ || (is_join && message.cluster.empty());
  if (!same_cluster || cluster_.empty()) {
    return;
  }
  CheckQuorum(now);
  const bool is_reply =
      message.kind == ConsensusKind::kVoteReply ||
      message.kind == ConsensusKind::kAppendReply ||
      (message.kind == ConsensusKind::kPreVoteReply && !message.granted);
  if (is_reply && message.term > vote_.term) {
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
      OnAppend(now, message, arrived_after);
      return;
    case ConsensusKind::kAppendReply:
      OnAppendReply(now, message);
      return;
    case ConsensusKind::kSnapshot:
      OnSnapshot(now, message, arrived_after);
      return;
    case ConsensusKind::kJoin:
    case ConsensusKind::kForwardedJoin:
      OnJoin(now, message);
      return;
  }
}

// Replication to a host, and the timeout for its silence, start with its first
// join request: the leader may already have led for a long time.
void ConsensusNode::TrackJoiningMember(Instant now,
                                       const ConsensusMessage& message) {
  Progress& progress = progress_[message.from];
  if (progress.disk != message.from_disk) {
    progress = Progress{};
    progress.disk = message.from_disk;
    progress.next = last_index() + 1;
  }
  progress.address = message.from_address;
  progress.last_join_request = now;
  // The request names the last entry of the host, so nothing before it needs to
  // be sent, even if the answers to earlier messages were lost; and what was
  // sent before the last request has not arrived.
  const LogIndex next = std::max(progress.match, message.index) + 1;
  const bool outdated =
      next != progress.next || now - progress.last_send >= kJoinInterval;
  if (outdated && next <= last_index() + 1 &&
      TermAt(message.index) == message.index_term) {
    progress.next = next;
    progress.in_flight = false;
  }
}

// The seeds of a blank host may not include the leader, so a follower forwards
// the join. It is forwarded only once, so that two hosts that each consider the
// other one the leader do not send it back and forth.
void ConsensusNode::ForwardJoin(const ConsensusMessage& message) {
  const Member* leader = FindMember(leader_);
  if (message.kind == ConsensusKind::kForwardedJoin || leader == nullptr ||
      leader_ == config_.host) {
    return;
  }
  ConsensusMessage forwarded = message;
  forwarded.kind = ConsensusKind::kForwardedJoin;
  Send(leader->address, std::move(forwarded));
}

// A voter that returns with another disk first loses its vote through a
// membership change; the new member list no longer counts it towards the
// quorum. PromoteCaughtUpMembers restores the vote.
void ConsensusNode::OnJoin(Instant now, const ConsensusMessage& message) {
  if (!IsLeaderWithQuorum(now)) {
    ForwardJoin(message);
    return;
  }
  const Member* member = FindMember(message.from);
  if (member == nullptr) {
    if (config_.automatic_members &&
        AddMember(now, message.from, message.from_address)) {
      LOG(INFO) << "event=member_joining host=" << message.from;
      TrackJoiningMember(now, message);
    }
    return;
  }
  if (member->voter && member->disk != message.from_disk) {
    std::vector<Member> members = members_;
    for (Member& updated : members) {
      if (updated.host == message.from) {
        updated.voter = false;
        updated.disk.clear();
      }
    }
    if (ChangeMembers(now, std::move(members))) {
      LOG(WARNING) << "event=member_lost_disk host=" << message.from;
      TrackJoiningMember(now, message);
    }
    return;
  }
  TrackJoiningMember(now, message);
}

// A voter that never returns would still count towards the quorum, so it is
// removed while more than min_voters voters exist. If it was only partitioned,
// it joins again.
void ConsensusNode::RemoveSilentMembers(Instant now) {
  if (!config_.automatic_members || !IsMembershipStable()) {
    return;
  }
  for (const Member& member : members_) {
    if (member.host == config_.host) {
      continue;
    }
    // Only answers count for a voter: one that merely sends join requests may
    // be partitioned in one direction.
    Instant last_contact = leader_since_;
    if (auto found = progress_.find(member.host); found != progress_.end()) {
      last_contact =
          std::max(last_contact,
                   member.voter ? found->second.last_answered_send
                                : std::max(found->second.last_answered_send,
                                           found->second.last_join_request));
    }
    const Duration timeout = member.voter ? config_.silent_voter_timeout
                                          : config_.silent_member_timeout;
    const bool removable = !member.voter || VoterCount() > config_.min_voters;
    if (!removable || now - last_contact < timeout) {
      continue;
    }
    RemoveSilentMember(now, std::string(member.host));
    return;
  }
}

void ConsensusNode::RemoveSilentMember(Instant now, const std::string& host) {
  if (RemoveMember(now, host)) {
    LOG(WARNING) << "event=member_dropped host=" << host;
    progress_.erase(host);
  }
}

// A new voter beside one that is gone raises the quorum by a vote that nobody
// casts: until the gone one is removed, the loss of any other leaves no quorum.
// So the gone one is removed first. Returns true if a voter may be added.
bool ConsensusNode::PrepareForNewVoter(Instant now) {
  if (!config_.automatic_members || VoterCount() < config_.min_voters) {
    return true;
  }
  for (const Member& member : members_) {
    if (!member.voter || member.host == config_.host) {
      continue;
    }
    if (!IsAnswering(now, member.host)) {
      RemoveSilentMember(now, std::string(member.host));
      return false;
    }
    // A leader takes all voters for answering at first.
    if (!progress_.at(member.host).has_answered) {
      return false;
    }
  }
  return true;
}

void ConsensusNode::PromoteCaughtUpMembers(Instant now) {
  if (VoterCount() >= config_.max_voters) {
    return;
  }
  for (const auto& [host, progress] : progress_) {
    const Member* member = FindMember(host);
    const bool is_non_voter = member != nullptr && !member->voter;
    if (!is_non_voter || progress.match < commit_ || progress.match == 0) {
      continue;
    }
    if (!PrepareForNewVoter(now)) {
      return;
    }
    std::vector<Member> members = members_;
    for (Member& updated : members) {
      if (updated.host == host) {
        updated = {host, progress.address, progress.disk, true};
      }
    }
    if (ChangeMembers(now, std::move(members))) {
      LOG(INFO) << "event=member_admitted host=" << host;
    }
    return;
  }
}

std::vector<OutgoingMessage> ConsensusNode::TakeMessages() {
  return std::exchange(outgoing_, {});
}

std::vector<AppliedEntry> ConsensusNode::TakeApplied() {
  return std::exchange(applied_entries_, {});
}

}  // namespace snipeworks
