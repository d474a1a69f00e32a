#include "snipeworks/consensus_node.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace snipeworks {

namespace {

// A voter that has had no leader for this many election timeouts sends join
// requests, because it may have been removed.
constexpr int kRejoinAfterElectionTimeouts = 3;

}  // namespace

void ConsensusNode::ResetElectionTimer(Instant now) {
  const Duration timeout = has_seen_leader_ ? config_.election_timeout
                                            : config_.initial_election_timeout;
  const auto range = static_cast<std::size_t>(timeout.count());
  election_deadline_ =
      now + timeout + Duration(static_cast<std::int64_t>(random_.Below(range)));
}

// For the leader: true if the voter `host` has answered within the election
// timeout.
bool ConsensusNode::IsAnswering(Instant now, const std::string& host) const {
  if (host == config_.host) {
    return IsVoter();
  }
  const auto found = progress_.find(host);
  return found != progress_.end() && IsVoterWith(host, found->second.disk) &&
         now - found->second.last_answered_send <= config_.election_timeout;
}

std::size_t ConsensusNode::AnsweringVoterCount(Instant now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      members_,
      [&](const Member& member) { return IsAnswering(now, member.host); }));
}

std::optional<Redundancy> ConsensusNode::redundancy(Instant now) const {
  if (failed_ || role_ != ConsensusRole::kLeader) {
    return std::nullopt;
  }
  return Redundancy{VoterCount(), AnsweringVoterCount(now), quorum(),
                    members_.size() - VoterCount()};
}

bool ConsensusNode::CheckQuorum(Instant now) {
  if (role_ != ConsensusRole::kLeader) {
    return false;
  }
  if (AnsweringVoterCount(now) >= quorum()) {
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

// Once a leader's first entry of its term is committed, its commit index covers
// everything that earlier leaders committed.
bool ConsensusNode::IsCurrent(Instant now) {
  if (failed_ || commit_ == 0) {
    return false;
  }
  if (IsLeaderWithQuorum(now)) {
    return commit_ >= term_start_index_ && applied_ == commit_;
  }
  const bool recent_contact = !leader_.empty() && now - last_leader_contact_ <=
                                                      config_.election_timeout;
  return recent_contact && TermAt(commit_) == vote_.term;
}

void ConsensusNode::Tick(Instant now) {
  if (failed_) {
    return;
  }
  if (role_ == ConsensusRole::kLeader) {
    if (CheckQuorum(now) && now >= next_heartbeat_) {
      PromoteCaughtUpMembers(now);
      RemoveSilentMembers(now);
      ReplicateAll(now);
    }
  } else if (IsVoter()) {
    if (now >= election_deadline_) {
      StartPreVote(now);
    } else if (role_ != ConsensusRole::kFollower && now >= next_vote_request_) {
      RequestVotes(now);
    }
    // The host may have been removed while it was partitioned.
    const bool leaderless =
        now - last_leader_contact_ >
        kRejoinAfterElectionTimeouts * config_.election_timeout;
    if (config_.automatic_members && leaderless && now >= next_join_) {
      SendJoin(now);
    }
  } else if (now >= next_join_) {
    SendJoin(now);
  }
}

// Asks the voters that have not granted their vote yet. Asked again at each
// heartbeat interval, since a lost message would cost an election timeout.
void ConsensusNode::RequestVotes(Instant now) {
  next_vote_request_ = now + config_.heartbeat_interval;
  const bool is_pre_vote = role_ == ConsensusRole::kPreCandidate;
  ConsensusMessage message =
      NewMessage(is_pre_vote ? ConsensusKind::kPreVote : ConsensusKind::kVote);
  message.term = vote_.term + (is_pre_vote ? 1 : 0);
  for (const Member& member : members_) {
    if (member.voter && !votes_.contains(member.host)) {
      Send(member.address, message);
    }
  }
}

void ConsensusNode::StartPreVote(Instant now) {
  role_ = ConsensusRole::kPreCandidate;
  leader_.clear();
  votes_ = {config_.host};
  ResetElectionTimer(now);
  RequestVotes(now);
  if (votes_.size() >= quorum()) {
    StartElection(now);
  }
}

void ConsensusNode::StartElection(Instant now) {
  const VoteRecord vote{vote_.term + 1, config_.host};
  if (!CheckWrite(store_.SaveVote(vote))) {
    return;
  }
  vote_ = vote;
  role_ = ConsensusRole::kCandidate;
  votes_ = {config_.host};
  ResetElectionTimer(now);
  RequestVotes(now);
  if (votes_.size() >= quorum()) {
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
  const bool is_vote = message.kind == ConsensusKind::kVote;
  const ConsensusKind reply_kind =
      is_vote ? ConsensusKind::kVoteReply : ConsensusKind::kPreVoteReply;
  const Member* member = FindMember(message.from);
  const bool disk_mismatch = member != nullptr && !member->disk.empty() &&
                             member->disk != message.from_disk;
  const bool has_leader = role_ == ConsensusRole::kLeader ||
                          (!leader_.empty() && now - last_leader_contact_ <
                                                   config_.election_timeout);
  // A host grants votes even if its own log does not list it as a voter yet:
  // the candidate counts the vote only if its log lists this host as a voter
  // with this disk.
  const bool eligible = !disk_mismatch && !has_leader &&
                        message.term >= vote_.term && LogIsUpToDate(message);
  if (!is_vote) {
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
  const bool can_vote_for_candidate =
      vote_.voted_for.empty() || vote_.voted_for == message.from;
  if (!eligible || message.term != vote_.term || !can_vote_for_candidate) {
    ReplyTo(message, reply_kind, false, 0);
    return;
  }
  const VoteRecord vote{vote_.term, message.from};
  if (!CheckWrite(store_.SaveVote(vote))) {
    return;
  }
  vote_ = vote;
  ResetElectionTimer(now);
  ReplyTo(message, reply_kind, true, 0);
}

void ConsensusNode::CountVote(Instant now, const ConsensusMessage& reply) {
  const bool is_pre_vote = reply.kind == ConsensusKind::kPreVoteReply;
  const ConsensusRole expected =
      is_pre_vote ? ConsensusRole::kPreCandidate : ConsensusRole::kCandidate;
  const Term term = is_pre_vote ? vote_.term + 1 : vote_.term;
  if (role_ != expected || !reply.granted || reply.term != term ||
      !IsVoterWith(reply.from, reply.from_disk)) {
    return;
  }
  votes_.insert(reply.from);
  if (votes_.size() < quorum()) {
    return;
  }
  if (is_pre_vote) {
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
    if (!CheckWrite(store_.SaveVote(vote))) {
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
  has_seen_leader_ = true;
  leader_ = config_.host;
  leader_since_ = now;
  progress_.clear();
  for (const Member& member : members_) {
    if (member.host == config_.host || member.disk.empty()) {
      continue;
    }
    Progress progress;
    progress.address = member.address;
    progress.disk = member.disk;
    progress.next = last_index() + 1;
    progress.last_answered_send = now;
    progress_[member.host] = progress;
  }
  LOG(INFO) << "event=leading host=" << config_.host << " term=" << vote_.term;
  LogEntry noop;
  noop.index = last_index() + 1;
  noop.term = vote_.term;
  term_start_index_ = noop.index;
  if (!AppendLocal({noop})) {
    return;
  }
  AdvanceCommit();
  ReplicateAll(now);
}

}  // namespace snipeworks
