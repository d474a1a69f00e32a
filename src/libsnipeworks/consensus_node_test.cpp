#include "snipeworks/consensus_node.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "snipeworks/control_state.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A disk in memory, which outlives the node that writes to it.
class FakeDisk : public LogStore {
 public:
  explicit FakeDisk(const std::string& id) { stored.disk = id; }

  bool SaveCluster(const std::string& cluster) override {
    stored.cluster = cluster;
    return works;
  }
  bool SaveVote(const VoteRecord& vote) override {
    if (works) {
      stored.vote = vote;
    }
    return works;
  }
  bool Append(const std::vector<LogEntry>& entries) override {
    if (!works) {
      return false;
    }
    std::erase_if(stored.entries, [&](const LogEntry& entry) {
      return entry.index >= entries.front().index;
    });
    stored.entries.insert(stored.entries.end(), entries.begin(), entries.end());
    return true;
  }
  bool SaveSnapshot(const LogSnapshot& snapshot,
                    LogIndex keep_from,
                    bool reset) override {
    if (!works) {
      return false;
    }
    stored.snapshot = snapshot;
    std::erase_if(stored.entries, [&](const LogEntry& entry) {
      return reset || entry.index < keep_from;
    });
    return true;
  }

  StoredLog stored;
  bool works = true;
};

// Remembers every command, so that histories can be compared.
class ListState : public StateMachine {
 public:
  std::string Apply(const std::string& command) override {
    commands.push_back(command);
    return command;
  }
  std::string Save() const override { return Encode(commands); }
  void Load(const std::string& state) override {
    commands = Decode<std::vector<std::string>>(state).value_or(
        std::vector<std::string>());
  }

  std::vector<std::string> commands;
};

struct FakeHost {
  std::string name;
  std::unique_ptr<FakeDisk> disk;
  std::unique_ptr<ListState> state;
  std::unique_ptr<ConsensusNode> node;
  bool frozen = false;
  bool cut = false;
};

// Control hosts under a fake clock, disk and network.
class FakeCluster {
 public:
  struct Automatic {};

  FakeCluster(std::uint64_t seed, Automatic) : automatic(true), random(seed) {}

  explicit FakeCluster(std::uint64_t seed, std::size_t size = 3)
      : random(seed) {
    std::vector<Member> invited;
    for (std::size_t i = 0; i < size; ++i) {
      hosts.push_back({"c" + std::to_string(i)});
      invited.push_back({hosts.back().name, hosts.back().name, "", false});
    }
    for (std::size_t i = 0; i < size; ++i) {
      LoseDisk(i);
      Start(i);
    }
    EXPECT_TRUE(hosts[0].node->Bootstrap(now, "cluster", invited));
    RunUntil([&] { return Voters() == size; }, seconds(20));
    EXPECT_EQ(Voters(), size);
  }

  // Hosts that start a new cluster at once, each by itself, and look after
  // their members without an operator.
  static std::unique_ptr<FakeCluster> Together(std::uint64_t seed,
                                               std::size_t size,
                                               std::size_t min_voters = 3) {
    std::unique_ptr<FakeCluster> cluster(new FakeCluster(seed, Automatic()));
    cluster->min_voters = min_voters;
    std::vector<Member> voters;
    for (std::size_t i = 0; i < size; ++i) {
      const std::string name = "c" + std::to_string(i);
      cluster->hosts.push_back({name});
      cluster->hosts[i].disk = std::make_unique<FakeDisk>("first-" + name);
      voters.push_back({name, name, "first-" + name, true});
    }
    for (std::size_t i = 0; i < size; ++i) {
      cluster->Start(i);
      EXPECT_TRUE(cluster->hosts[i].node->BootstrapTogether(cluster->now,
                                                            "cluster", voters));
    }
    return cluster;
  }

  // Adds a blank host that knows the others.
  void AddHost() {
    hosts.push_back({"c" + std::to_string(hosts.size())});
    LoseDisk(hosts.size() - 1);
    Start(hosts.size() - 1);
  }

  void LoseDisk(std::size_t i) {
    hosts[i].disk =
        std::make_unique<FakeDisk>("disk-" + std::to_string(++disks));
  }

  void Start(std::size_t i) {
    FakeHost& host = hosts[i];
    ConsensusConfig config;
    config.host = host.name;
    config.address = host.name;
    config.seed = random.Next();
    config.compact_after = 40;
    config.automatic_members = automatic;
    config.min_voters = min_voters;
    for (const FakeHost& other : hosts) {
      config.seeds.push_back(other.name);
    }
    if (host.node == nullptr || host.state == nullptr) {
      host.state = std::make_unique<ListState>();
    }
    host.state = std::make_unique<ListState>();
    host.node = std::make_unique<ConsensusNode>(config, *host.disk, *host.state,
                                                host.disk->stored, now);
    host.frozen = false;
  }

  void Kill(std::size_t i) { hosts[i].node.reset(); }

  void Step(Duration length = milliseconds(10)) {
    now += length;
    for (FakeHost& host : hosts) {
      if (Up(host)) {
        host.node->Tick(now);
        Collect(host);
      }
    }
    while (!wire.empty() && wire.begin()->first <= now) {
      auto node = wire.extract(wire.begin());
      Deliver(node.mapped());
    }
  }

  template <typename Condition>
  bool RunUntil(Condition condition, Duration length) {
    for (const Instant end = now + length; now < end;) {
      if (condition()) {
        return true;
      }
      Step();
    }
    return condition();
  }

  void Run(Duration length) {
    RunUntil([] { return false; }, length);
  }

  FakeHost* Leader() {
    for (FakeHost& host : hosts) {
      if (Up(host) && !host.cut && host.node->LeadsNow(now)) {
        return &host;
      }
    }
    return nullptr;
  }

  std::size_t Voters() {
    FakeHost* leader = Leader();
    if (leader == nullptr || !leader->node->members_committed()) {
      return 0;
    }
    // A voter counts only with the disk that its host has now.
    return static_cast<std::size_t>(std::ranges::count_if(
        leader->node->members(), [&](const Member& member) {
          return std::ranges::any_of(hosts, [&](const FakeHost& host) {
            return member.voter && host.name == member.host &&
                   host.disk->stored.disk == member.disk;
          });
        }));
  }

  // Proposes at `host`; remembers the command once it is acknowledged.
  void Propose(FakeHost& host) {
    const std::string command = "x" + std::to_string(++proposals);
    if (auto index = host.node->Propose(now, command)) {
      proposed[{*index, host.node->term()}] = command;
    }
    Collect(host);
  }

  // Every acknowledged command is in `host`'s state, in the same order.
  void ExpectAllAcknowledged(const FakeHost& host) {
    std::size_t at = 0;
    for (const auto& [index, command] : acknowledged) {
      while (at < host.state->commands.size() &&
             host.state->commands[at] != command) {
        ++at;
      }
      ASSERT_LT(at, host.state->commands.size())
          << command << " was acknowledged and is lost";
    }
  }

  // What each host knows, for a failed run.
  std::string Describe() const {
    std::string text;
    for (const FakeHost& host : hosts) {
      text +=
          host.name + (host.frozen ? " frozen" : "") + (host.cut ? " cut" : "");
      if (host.node == nullptr) {
        text += " down\n";
        continue;
      }
      const ConsensusNode& node = *host.node;
      text += std::string(" ") + ToString(node.role()) + " term " +
              std::to_string(node.term()) + " last " +
              std::to_string(node.last_index()) + " commit " +
              std::to_string(node.commit_index()) + " disk " + node.disk() +
              (node.failed() ? " failed" : "") + " members";
      for (const Member& member : node.members()) {
        text += " " + member.host + "/" + member.disk +
                (member.voter ? "/voter" : "");
      }
      text += "\n";
    }
    return text;
  }

  bool Up(const FakeHost& host) const {
    return host.node != nullptr && !host.frozen;
  }

  void Collect(FakeHost& host) {
    host.node->Flush(now);
    for (const AppliedEntry& applied : host.node->TakeApplied()) {
      auto found = proposed.find({applied.index, applied.term});
      if (found != proposed.end() && found->second == applied.result) {
        acknowledged[applied.index] = applied.result;
      }
      if (!applied.result.empty()) {
        auto [slot, added] = history.try_emplace(applied.index, applied.result);
        EXPECT_EQ(slot->second, applied.result)
            << "two commands were applied at one index";
      }
    }
    if (host.node->role() == ConsensusRole::kLeader) {
      auto [slot, added] = leaders.try_emplace(host.node->term(), host.name);
      EXPECT_EQ(slot->second, host.name) << "two leaders in one term";
    }
    for (OutgoingMessage& message : host.node->TakeMessages()) {
      if (host.cut || random.Below(100) < loss_percent) {
        continue;
      }
      const auto delay = milliseconds(1 + random.Below(max_delay_ms));
      wire.emplace(now + delay, std::move(message));
      if (random.Below(100) < loss_percent) {
        auto copy = wire.begin()->second;
        wire.emplace(now + delay * 3, std::move(copy));
      }
    }
  }

  void Deliver(const OutgoingMessage& message) {
    for (FakeHost& host : hosts) {
      if (host.name == message.address && host.node != nullptr && !host.cut) {
        if (host.frozen) {
          late.push_back(message);
          return;
        }
        host.node->Receive(now, message.message);
        Collect(host);
        return;
      }
    }
  }

  // What arrived while a host was frozen is read when it goes on.
  void Thaw(std::size_t i) {
    hosts[i].frozen = false;
    for (const OutgoingMessage& message : std::exchange(late, {})) {
      Deliver(message);
    }
  }

  bool automatic = false;
  std::size_t min_voters = 3;
  Random random;
  Instant now{seconds(1000)};
  std::vector<FakeHost> hosts;
  std::multimap<Instant, OutgoingMessage> wire;
  std::vector<OutgoingMessage> late;
  std::map<std::pair<LogIndex, Term>, std::string> proposed;
  std::map<LogIndex, std::string> acknowledged;
  std::map<LogIndex, std::string> history;
  std::map<Term, std::string> leaders;
  std::size_t loss_percent = 0;
  std::size_t max_delay_ms = 5;
  int proposals = 0;
  int disks = 0;
};

// Control hosts of a new system start within moments of each other, and any of
// them may be lost before the first election.
TEST(Members, FoundAClusterTogetherAndBearTheLossOfAnyFounder) {
  for (std::size_t lost = 0; lost < 3; ++lost) {
    auto cluster = FakeCluster::Together(7 + lost, 3);
    cluster->Kill(lost);
    cluster->LoseDisk(lost);
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                  seconds(10)));
    cluster->Propose(*cluster->Leader());
    cluster->Start(lost);  // Blank, and not for the first time.
    EXPECT_TRUE(
        cluster->RunUntil([&] { return cluster->Voters() == 3; }, seconds(20)))
        << cluster->Describe();
    EXPECT_FALSE(cluster->acknowledged.empty());
    cluster->ExpectAllAcknowledged(*cluster->Leader());
  }
}

// One host is gone for good, an empty one comes at another address; later one
// more may be lost.
TEST(Members, TakeInASuccessorAndDropTheLostHost) {
  auto cluster = FakeCluster::Together(11, 3);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  cluster->Kill(0);
  cluster->Run(seconds(2));
  cluster->AddHost();
  ASSERT_TRUE(cluster->RunUntil(
      [&] {
        FakeHost* leader = cluster->Leader();
        if (leader == nullptr || cluster->Voters() != 3) {
          return false;
        }
        const auto& members = leader->node->members();
        return std::ranges::find(members, "c0", &Member::host) ==
                   members.end() &&
               std::ranges::find(members, "c3", &Member::host) != members.end();
      },
      seconds(6)))
      << cluster->Describe();
  cluster->Kill(1);
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)))
      << cluster->Describe();
}

// Five hosts of which two may lose their disks: with fewer than five voters,
// two that were silent and came back would not make up for two that are wiped.
TEST(Members, KeepEnoughVotersForTheLossesThatAreTolerated) {
  auto cluster = FakeCluster::Together(19, 5, 5);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  const std::string leader = cluster->Leader()->name;
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < 5; ++i) {
    if (cluster->hosts[i].name != leader) {
      others.push_back(i);
    }
  }
  cluster->hosts[others[0]].cut = true;
  cluster->hosts[others[1]].cut = true;
  cluster->Run(seconds(8));
  cluster->Propose(*cluster->Leader());
  cluster->Run(seconds(1));
  ASSERT_FALSE(cluster->acknowledged.empty());
  cluster->hosts[others[0]].cut = false;
  cluster->hosts[others[1]].cut = false;
  for (std::size_t wiped : {others[2], others[3]}) {
    cluster->Kill(wiped);
    cluster->LoseDisk(wiped);
    cluster->Start(wiped);
  }
  EXPECT_TRUE(
      cluster->RunUntil([&] { return cluster->Voters() == 5; }, seconds(30)))
      << cluster->Describe();
  cluster->ExpectAllAcknowledged(*cluster->Leader());
}

// Three of three are kept whatever happens to one; of four, one that is cut off
// is dropped, and joins again when the cut has healed.
TEST(Members, AreDroppedOnlyWhereEnoughAreLeftAndJoinAgain) {
  auto three = FakeCluster::Together(13, 3);
  ASSERT_TRUE(
      three->RunUntil([&] { return three->Leader() != nullptr; }, seconds(10)));
  three->Kill(2);
  three->Run(seconds(10));
  ASSERT_NE(three->Leader(), nullptr);
  EXPECT_EQ(three->Leader()->node->members().size(), 3U);

  auto four = FakeCluster::Together(17, 3);
  four->AddHost();
  ASSERT_TRUE(four->RunUntil([&] { return four->Voters() == 4; }, seconds(20)));
  FakeHost& cut = four->hosts[3];
  cut.cut = true;
  EXPECT_TRUE(four->RunUntil(
      [&] {
        FakeHost* leader = four->Leader();
        return leader != nullptr && leader->node->members().size() == 3;
      },
      seconds(10)))
      << four->Describe();
  cut.cut = false;
  EXPECT_TRUE(four->RunUntil([&] { return four->Voters() == 4; }, seconds(20)))
      << four->Describe();
}

TEST(Consensus, ABlankHostDoesNotBecomeALeaderByItself) {
  FakeCluster cluster(1);
  cluster.Kill(0);
  cluster.Kill(1);
  cluster.Kill(2);
  cluster.LoseDisk(1);
  cluster.Start(1);
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.Leader(), nullptr);
}

TEST(Consensus, AMinorityWithABlankDiskElectsNobody) {
  FakeCluster cluster(2);
  FakeHost& leader = *cluster.Leader();
  cluster.Propose(leader);
  cluster.Run(milliseconds(100));
  ASSERT_EQ(cluster.acknowledged.size(), 1U);
  // Two of three go; one of them comes back without its disk. The third may
  // lack what the two had agreed on.
  cluster.Kill(0);
  cluster.Kill(1);
  cluster.LoseDisk(1);
  cluster.Start(1);
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.Leader(), nullptr);
  cluster.Start(0);
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.Voters() == 3; }, seconds(20)));
  cluster.Run(seconds(1));
  for (const FakeHost& host : cluster.hosts) {
    cluster.ExpectAllAcknowledged(host);
  }
}

TEST(Consensus, ASecondHostFailingRightAfterARepairLosesNothing) {
  FakeCluster cluster(3);
  for (int i = 0; i < 30; ++i) {
    cluster.Propose(*cluster.Leader());
    cluster.Run(milliseconds(20));
  }
  const std::size_t lost = cluster.Leader() == &cluster.hosts[0] ? 1 : 0;
  cluster.Kill(lost);
  cluster.LoseDisk(lost);
  cluster.Start(lost);
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.Voters() == 2; }, seconds(10)));
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.Voters() == 3; }, seconds(10)));
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

TEST(Consensus, AFrozenLeaderNeitherAcceptsNorAnswersAsCurrent) {
  FakeCluster cluster(4);
  FakeHost* old_leader = cluster.Leader();
  old_leader->frozen = true;
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; },
                               seconds(10)));
  old_leader->frozen = false;
  EXPECT_FALSE(old_leader->node->Propose(cluster.now, "late"));
  EXPECT_FALSE(old_leader->node->IsCurrent(cluster.now));
}

TEST(Consensus, AFailedWriteIsNeverAcknowledged) {
  FakeCluster cluster(5);
  FakeHost& leader = *cluster.Leader();
  leader.disk->works = false;
  cluster.Propose(leader);
  EXPECT_TRUE(leader.node->failed());
  EXPECT_FALSE(leader.node->LeadsNow(cluster.now));
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.Leader() != nullptr; },
                               seconds(10)));
  EXPECT_NE(cluster.Leader(), &leader);
  EXPECT_TRUE(cluster.acknowledged.empty());
}

TEST(Consensus, ARestartedHostIsNotCurrentBeforeItHearsOfALeader) {
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

TEST(Consensus, ALongCutHostDoesNotUnseatTheLeader) {
  FakeCluster cluster(8);
  const Term before = cluster.Leader()->node->term();
  FakeHost& follower = cluster.Leader() == &cluster.hosts[0] ? cluster.hosts[1]
                                                             : cluster.hosts[0];
  follower.cut = true;
  cluster.Run(seconds(30));
  follower.cut = false;
  cluster.Run(seconds(5));
  EXPECT_EQ(cluster.Leader()->node->term(), before);
}

// An entry of an earlier term that a majority holds can still be replaced; it
// is committed by an entry of the leader's own term.
TEST(Consensus, AnEntryOfAnEarlierTermIsNotCommittedByCount) {
  FakeDisk disk("da");
  disk.stored.cluster = "cluster";
  disk.stored.vote = {2, "a"};
  LogEntry members{1, 1, EntryKind::kMembers, "", {}};
  members.members = {
      {"a", "a", "da", true}, {"b", "b", "db", true}, {"c", "c", "dc", true}};
  disk.stored.entries = {members, {2, 2, EntryKind::kCommand, "old", {}}};
  ListState state;
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

// The entry that gives it its vote may be only with the candidate.
TEST(Consensus, AHostVotesBeforeItKnowsThatItIsAVoter) {
  FakeDisk disk("db");
  disk.stored.cluster = "cluster";
  LogEntry members{1, 1, EntryKind::kMembers, "", {}};
  members.members = {{"a", "a", "da", true}, {"b", "b", "", false}};
  disk.stored.entries = {members};
  ListState state;
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
  cluster.LoseDisk(3);
  cluster.Start(3);
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.Voters() == 4; }, seconds(10)));
  ASSERT_TRUE(cluster.Leader()->node->RemoveMember(cluster.now, "c1"));
  ASSERT_TRUE(
      cluster.RunUntil([&] { return cluster.Voters() == 3; }, seconds(10)));
}

// Kills, cuts, freezes, lost disks, lost and repeated messages, in any order,
// with at most one disk lost while all other hosts keep theirs.
class ConsensusSeeds : public testing::TestWithParam<std::uint64_t> {};

void Disturb(FakeCluster& cluster, bool& disk_lost_now) {
  const std::size_t i = cluster.random.Below(cluster.hosts.size());
  FakeHost& host = cluster.hosts[i];
  switch (cluster.random.Below(7)) {
    case 0:
      cluster.Kill(i);
      return;
    case 1:
      host.cut = !host.cut;
      return;
    case 2:
      if (host.node != nullptr) {
        host.frozen = true;
      }
      return;
    case 3:
      cluster.Thaw(i);
      return;
    case 4:
      if (!disk_lost_now) {
        disk_lost_now = true;
        cluster.Kill(i);
        cluster.LoseDisk(i);
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

void Heal(FakeCluster& cluster) {
  cluster.loss_percent = 0;
  for (std::size_t i = 0; i < cluster.hosts.size(); ++i) {
    cluster.hosts[i].cut = false;
    if (cluster.hosts[i].frozen) {
      cluster.Thaw(i);
    }
    if (cluster.hosts[i].node == nullptr) {
      cluster.Start(i);
    }
  }
}

TEST_P(ConsensusSeeds, NothingAcknowledgedIsLost) {
  std::size_t acknowledged = 0;
  for (std::uint64_t run = 0; run < 250; ++run) {
    const std::uint64_t seed = GetParam() * 1000 + run;
    SCOPED_TRACE("seed " + std::to_string(seed));
    FakeCluster cluster(seed, seed % 2 == 0 ? 3 : 5);
    bool disk_lost = false;
    for (int round = 0; round < 40; ++round) {
      cluster.loss_percent = cluster.random.Below(20);
      cluster.max_delay_ms = 1 + cluster.random.Below(60);
      Disturb(cluster, disk_lost);
      for (int i = 0; i < 5; ++i) {
        for (FakeHost& host : cluster.hosts) {
          if (cluster.Up(host)) {
            cluster.Propose(host);
          }
        }
        cluster.Run(milliseconds(50));
      }
      // A disk counts as lost until the host votes again.
      disk_lost = disk_lost && cluster.Voters() < cluster.hosts.size();
    }
    Heal(cluster);
    ASSERT_TRUE(cluster.RunUntil(
        [&] { return cluster.Voters() == cluster.hosts.size(); }, seconds(60)))
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
  // The runs got somewhere in spite of the faults.
  EXPECT_GT(acknowledged, 250U * 20U);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         ConsensusSeeds,
                         testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace snipeworks
