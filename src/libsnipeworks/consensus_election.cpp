#include "snipeworks/consensus_node.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace snipeworks {

namespace {

// A voter without a leader for this many election timeouts asks whether it is
// a member still.
constexpr int kLeaderlessTimeouts = 3;

}  // namespace

void ConsensusNode::ResetElectionTimer(Instant now) {
  const Duration timeout = has_known_leader_ ? config_.election_timeout
                                             : config_.first_election_timeout;
  const auto spread = static_cast<std::size_t>(timeout.count());
  election_due_ = now + timeout +
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

bool ConsensusNode::IsLeaderWithQuorum(Instant now) {
  return !failed_ && CheckQuorum(now);
}

// A leader's first entry of its term, once committed, shows that it knows all
// that earlier leaders committed.
bool ConsensusNode::IsCurrent(Instant now) {
  if (failed_ || commit_ == 0) {
    return false;
  }
  if (IsLeaderWithQuorum(now)) {
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
      DropSilent(now);
      ReplicateAll(now);
    }
  } else if (IsVoter()) {
    if (now >= election_due_) {
      StartPreVote(now);
    }
    // It may have been dropped while it was cut off.
    const bool leaderless =
        now - heard_leader_ > kLeaderlessTimeouts * config_.election_timeout;
    if (config_.automatic_members && leaderless && now >= join_due_) {
      SendJoin(now);
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
  has_known_leader_ = true;
  leader_ = config_.host;
  led_since_ = now;
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

}  // namespace snipeworks
