#ifndef SNIPEWORKS_FAKE_CLUSTER_TEST_H_
#define SNIPEWORKS_FAKE_CLUSTER_TEST_H_

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "snipeworks/consensus_node.h"
#include "snipeworks/control_state.h"
#include "snipeworks/random.h"

namespace snipeworks {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A disk in memory, which outlives the node that writes to it.
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

/// Remembers every command, so that histories can be compared.
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

/// A control host; it is down while it has no node.
struct FakeHost {
  std::string name;
  std::unique_ptr<FakeDisk> disk;
  std::unique_ptr<ListState> state;
  std::unique_ptr<ConsensusNode> node;
  bool frozen = false;
  bool cut = false;
  /// The hosts it is told of at its start; none for all of them.
  std::vector<std::string> seeds;
};

/// Control hosts under a fake clock, disk and network.
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
      EXPECT_TRUE(cluster->hosts[i].node->BootstrapWithVoters(
          cluster->now, "cluster", voters));
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
    config.random_seed = random.Next();
    config.compact_after = 40;
    config.automatic_members = automatic;
    config.min_voters = min_voters;
    config.seeds = host.seeds;
    for (const FakeHost& other : hosts) {
      if (host.seeds.empty()) {
        config.seeds.push_back(other.name);
      }
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
      if (Up(host) && !host.cut && host.node->IsLeaderWithQuorum(now)) {
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

}  // namespace snipeworks

#endif  // SNIPEWORKS_FAKE_CLUSTER_TEST_H_
