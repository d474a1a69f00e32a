#include "snipeworks/consensus_node.h"

#include <cstdlib>
#include <set>

#include <gtest/gtest.h>

#include "fake_cluster_test.h"

namespace snipeworks {
namespace {

TEST(Consensus, ABlankHostDoesNotBecomeLeaderAlone) {
  FakeCluster cluster(1);
  cluster.Kill(0);
  cluster.Kill(1);
  cluster.Kill(2);
  cluster.WipeDisk(1);
  cluster.Start(1);
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.Leader(), nullptr);
}

TEST(Consensus, AMajorityThatIncludesABlankDiskElectsNoLeader) {
  FakeCluster cluster(2);
  FakeHost& leader = *cluster.Leader();
  cluster.Propose(leader);
  cluster.Run(milliseconds(100));
  ASSERT_EQ(cluster.acknowledged.size(), 1U);
  // Two of three hosts fail and one of them returns with a blank disk. The
  // third host may lack entries that the two had committed.
  cluster.Kill(0);
  cluster.Kill(1);
  cluster.WipeDisk(1);
  cluster.Start(1);
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.Leader(), nullptr);
  cluster.Start(0);
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.VoterCount() == 3; }, seconds(20)));
  cluster.Run(seconds(1));
  for (const FakeHost& host : cluster.hosts) {
    cluster.ExpectAllAcknowledged(host);
  }
}

TEST(Consensus, ASecondFailureRightAfterARepairLosesNoCommand) {
  FakeCluster cluster(3);
  for (int i = 0; i < 30; ++i) {
    cluster.Propose(*cluster.Leader());
    cluster.Run(milliseconds(20));
  }
  const std::size_t lost = cluster.Leader() == &cluster.hosts[0] ? 1 : 0;
  cluster.Kill(lost);
  cluster.WipeDisk(lost);
  cluster.Start(lost);
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.VoterCount() == 2; }, seconds(10)));
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.VoterCount() == 3; }, seconds(10)));
  for (std::size_t i = 0; i < 3; ++i) {
    if (&cluster.hosts[i] == cluster.Leader()) {
      cluster.Kill(i);
      break;
    }
  }
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; },
                               seconds(10)));
  cluster.Propose(*cluster.Leader());
  cluster.Run(seconds(1));
  EXPECT_EQ(cluster.acknowledged.size(), 31U);
  cluster.ExpectAllAcknowledged(*cluster.Leader());
}

TEST(Consensus, APausedLeaderNeitherAcceptsCommandsNorIsCurrent) {
  FakeCluster cluster(4);
  FakeHost* old_leader = cluster.Leader();
  old_leader->paused = true;
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; },
                               seconds(10)));
  old_leader->paused = false;
  EXPECT_FALSE(old_leader->node->Propose(cluster.now, "late"));
  EXPECT_FALSE(old_leader->node->IsCurrent(cluster.now));
}

TEST(Consensus, AFailedWriteIsNeverAcknowledged) {
  FakeCluster cluster(5);
  FakeHost& leader = *cluster.Leader();
  leader.disk->accepts_writes = false;
  cluster.Propose(leader);
  EXPECT_TRUE(leader.node->failed());
  EXPECT_FALSE(leader.node->IsLeaderWithQuorum(cluster.now));
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; },
                               seconds(10)));
  EXPECT_NE(cluster.Leader(), &leader);
  EXPECT_TRUE(cluster.acknowledged.empty());
}

TEST(Consensus, ARestartedHostIsNotCurrentBeforeALeaderContactsIt) {
  FakeCluster cluster(6);
  for (int i = 0; i < 60; ++i) {
    cluster.Propose(*cluster.Leader());
    cluster.Run(milliseconds(20));
  }
  for (std::size_t i = 0; i < 3; ++i) {
    cluster.Kill(i);
  }
  cluster.Start(0);
  cluster.Run(seconds(3));
  EXPECT_FALSE(cluster.hosts[0].node->IsCurrent(cluster.now));
  cluster.Start(1);
  cluster.Start(2);
  ASSERT_TRUE(cluster.RunUntil(
      [&] { return cluster.hosts[0].node->IsCurrent(cluster.now); },
      seconds(10)));
  cluster.ExpectAllAcknowledged(cluster.hosts[0]);
}

// A host that was stopped reads messages from before the stop when it wakes.
TEST(Consensus, AMessageThatWasQueuedDoesNotMakeAHostCurrent) {
  FakeCluster cluster(7);
  const FakeHost& leader = *cluster.Leader();
  FakeHost& follower = cluster.Leader() == &cluster.hosts[0] ? cluster.hosts[1]
                                                             : cluster.hosts[0];
  cluster.Run(seconds(1));
  ASSERT_TRUE(follower.node->IsCurrent(cluster.now));
  ConsensusMessage heartbeat;
  heartbeat.kind = ConsensusKind::kAppend;
  heartbeat.cluster = leader.node->cluster();
  heartbeat.from = leader.name;
  heartbeat.from_disk = leader.node->disk();
  heartbeat.from_address = leader.name;
  heartbeat.term = leader.node->term();
  heartbeat.index = leader.node->last_index();
  heartbeat.index_term = heartbeat.term;
  heartbeat.commit = leader.node->commit_index();
  const Instant stopped = cluster.now;
  const Instant woken = stopped + seconds(4);
  follower.node->Receive(woken, heartbeat, stopped);
  EXPECT_FALSE(follower.node->IsCurrent(woken));
  follower.node->Receive(woken, heartbeat, woken - milliseconds(60));
  EXPECT_TRUE(follower.node->IsCurrent(woken));
}

TEST(Consensus, AHostReturningFromAPartitionDoesNotDisruptTheLeader) {
  FakeCluster cluster(8);
  const Term before = cluster.Leader()->node->term();
  FakeHost& follower = cluster.Leader() == &cluster.hosts[0] ? cluster.hosts[1]
                                                             : cluster.hosts[0];
  follower.partitioned = true;
  cluster.Run(seconds(30));
  follower.partitioned = false;
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.Leader()->node->term(), before);
}

// An entry of an earlier term can still be replaced even if a majority stores
// it; it is committed only through an entry of the leader's own term.
TEST(Consensus, AnEntryOfAnEarlierTermIsNotCommittedByReplicaCount) {
  FakeDisk disk("da");
  disk.stored.cluster = "cluster";
  disk.stored.vote = {2, "a"};
  LogEntry members{1, 1, EntryKind::kMembers, "", {}};
  members.members = {
      {"a", "a", "da", true}, {"b", "b", "db", true}, {"c", "c", "dc", true}};
  disk.stored.entries = {members, {2, 2, EntryKind::kCommand, "old", {}}};
  RecordingStateMachine state;
  Instant now{seconds(1000)};
  ConsensusNode node({"a", "a", {}, 1}, disk, state, disk.stored, now);
  const auto reply = [&](ConsensusKind kind, Term term, LogIndex index) {
    ConsensusMessage message;
    message.kind = kind;
    message.cluster = "cluster";
    message.from = "b";
    message.from_disk = "db";
    message.from_address = "b";
    message.term = term;
    message.index = index;
    message.granted = true;
    message.sent_us = now.time_since_epoch().count();
    node.Receive(now, message);
  };
  now += seconds(2);
  node.Tick(now);
  reply(ConsensusKind::kPreVoteReply, 3, 0);
  reply(ConsensusKind::kVoteReply, 3, 0);
  ASSERT_EQ(node.role(), ConsensusRole::kLeader);
  reply(ConsensusKind::kAppendReply, 3, 2);
  EXPECT_EQ(node.commit_index(), 0U);
  reply(ConsensusKind::kAppendReply, 3, 3);
  EXPECT_EQ(node.commit_index(), 3U);
}

// The entry that makes the host a voter may be stored only at the candidate.
TEST(Consensus, AHostVotesBeforeItKnowsThatItIsAVoter) {
  FakeDisk disk("db");
  disk.stored.cluster = "cluster";
  LogEntry members{1, 1, EntryKind::kMembers, "", {}};
  members.members = {{"a", "a", "da", true}, {"b", "b", "", false}};
  disk.stored.entries = {members};
  RecordingStateMachine state;
  const Instant now{seconds(1000)};
  ConsensusNode node({"b", "b", {}, 1}, disk, state, disk.stored, now);
  ConsensusMessage request;
  request.kind = ConsensusKind::kVote;
  request.cluster = "cluster";
  request.from = "a";
  request.from_disk = "da";
  request.from_address = "a";
  request.term = 2;
  request.index = 2;
  request.index_term = 1;
  node.Receive(now, request);
  const auto replies = node.TakeMessages();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_TRUE(replies[0].message.granted);
}

TEST(Consensus, AHostCanBeAddedAndRemoved) {
  FakeCluster cluster(9, 3);
  ASSERT_TRUE(cluster.Leader()->node->AddMember(cluster.now, "c3", "c3"));
  cluster.hosts.push_back({"c3"});
  cluster.WipeDisk(3);
  cluster.Start(3);
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.VoterCount() == 4; }, seconds(10)));
  ASSERT_TRUE(cluster.Leader()->node->RemoveMember(cluster.now, "c1"));
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.VoterCount() == 3; }, seconds(10)));
}

// A follower stores and acknowledges entries, then a snapshot that was sent
// before them arrives.
TEST(Consensus, ALateSnapshotThatRemovesAcknowledgedEntries) {
  FakeDisk disk("db");
  disk.stored.cluster = "cluster";
  RecordingStateMachine state;
  const Instant now{seconds(1000)};
  ConsensusNode node({"b", "b", {}, 1}, disk, state, disk.stored, now);
  ConsensusMessage message;
  message.cluster = "cluster";
  message.from = "a";
  message.from_disk = "da";
  message.from_address = "a";
  message.term = 1;
  message.kind = ConsensusKind::kAppend;
  for (LogIndex index = 1; index <= 5; ++index) {
    message.entries.push_back({index, 1, EntryKind::kCommand, "x", {}});
  }
  node.Receive(now, message);
  ASSERT_EQ(node.TakeMessages().back().message.index, 5U);
  message.kind = ConsensusKind::kSnapshot;
  message.entries.clear();
  message.snapshot = {
      {3, 1, {}, Encode(std::vector<std::string>{"x", "x", "x"})}};
  node.Receive(now, message);
  EXPECT_EQ(node.commit_index(), 3U);
  EXPECT_EQ(node.last_index(), 5U);
  ASSERT_EQ(disk.stored.entries.size(), 2U);
  EXPECT_EQ(disk.stored.entries.front().index, 4U);

  // Entries of another leader's log are removed.
  message.snapshot = {{4, 2, {}, Encode(std::vector<std::string>(4, "y"))}};
  message.term = 2;
  node.Receive(now, message);
  EXPECT_EQ(node.last_index(), 4U);
  EXPECT_TRUE(disk.stored.entries.empty());
}

// Random crashes, partitions, pauses, disk losses, lost and duplicated
// messages. At most one host at a time is without its disk.
class ConsensusSeeds : public testing::TestWithParam<std::uint64_t> {};

void InjectRandomFault(FakeCluster& cluster, bool& disk_lost_now) {
  const std::size_t i = cluster.random.Below(cluster.hosts.size());
  FakeHost& host = cluster.hosts[i];
  switch (cluster.random.Below(7)) {
    case 0:
      cluster.Kill(i);
      return;
    case 1:
      host.partitioned = !host.partitioned;
      return;
    case 2:
      if (host.node != nullptr) {
        host.paused = true;
      }
      return;
    case 3:
      cluster.Resume(i);
      return;
    case 4:
      if (!disk_lost_now) {
        disk_lost_now = true;
        cluster.Kill(i);
        cluster.WipeDisk(i);
        cluster.Start(i);
      }
      return;
    default:
      if (host.node == nullptr) {
        cluster.Start(i);
      }
      return;
  }
}

void HealAllFaults(FakeCluster& cluster) {
  cluster.loss_percent = 0;
  for (std::size_t i = 0; i < cluster.hosts.size(); ++i) {
    cluster.hosts[i].partitioned = false;
    if (cluster.hosts[i].paused) {
      cluster.Resume(i);
    }
    if (cluster.hosts[i].node == nullptr) {
      cluster.Start(i);
    }
  }
}

TEST_P(ConsensusSeeds, NoAcknowledgedCommandIsLost) {
  std::size_t acknowledged = 0;
  for (std::uint64_t run = 0; run < 250; ++run) {
    const std::uint64_t seed = GetParam() * 1000 + run;
    SCOPED_TRACE("seed " + std::to_string(seed));
    FakeCluster cluster(seed, seed % 2 == 0 ? 3 : 5);
    bool disk_lost = false;
    for (int round = 0; round < 40; ++round) {
      cluster.loss_percent = cluster.random.Below(20);
      cluster.max_delay_ms = 1 + cluster.random.Below(60);
      InjectRandomFault(cluster, disk_lost);
      for (int i = 0; i < 5; ++i) {
        for (FakeHost& host : cluster.hosts) {
          if (cluster.IsRunning(host)) {
            cluster.Propose(host);
          }
        }
        cluster.Run(milliseconds(50));
      }
      // A disk counts as lost until its host is a voter again.
      disk_lost = disk_lost && cluster.VoterCount() < cluster.hosts.size();
    }
    HealAllFaults(cluster);
    ASSERT_TRUE(cluster.RunUntil(
        [&] { return cluster.VoterCount() == cluster.hosts.size(); },
        seconds(60)))
        << cluster.Describe();
    cluster.Propose(*cluster.Leader());
    cluster.Run(seconds(3));
    for (const FakeHost& host : cluster.hosts) {
      cluster.ExpectAllAcknowledged(host);
    }
    acknowledged += cluster.acknowledged.size();
    if (HasFailure()) {
      return;
    }
  }
  // The cluster made progress despite the faults.
  EXPECT_GT(acknowledged, 250U * 20U);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ConsensusSeeds,
                         testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace snipeworks
