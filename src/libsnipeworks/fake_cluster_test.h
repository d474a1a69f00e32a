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

/// An in-memory LogStore that outlives the node that writes to it.
class FakeDisk : public LogStore {
 public:
  explicit FakeDisk(const std::string& id) { stored.disk = id; }

  bool SaveCluster(const std::string& cluster) override {
    stored.cluster = cluster;
    return accepts_writes;
  }
  bool SaveVote(const VoteRecord& vote) override {
    if (accepts_writes) {
      stored.vote = vote;
    }
    return accepts_writes;
  }
  bool Append(const std::vector<LogEntry>& entries) override {
    if (!accepts_writes) {
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
    if (!accepts_writes) {
      return false;
    }
    stored.snapshot = snapshot;
    std::erase_if(stored.entries, [&](const LogEntry& entry) {
      return reset || entry.index < keep_from;
    });
    return true;
  }

  StoredLog stored;
  bool accepts_writes = true;
};

/// Records every applied command, so that hosts can be compared.
class RecordingStateMachine : public StateMachine {
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

/// A control host; not running while `node` is null.
struct FakeHost {
  std::string name;
  std::unique_ptr<FakeDisk> disk;
  std::unique_ptr<RecordingStateMachine> state;
  std::unique_ptr<ConsensusNode> node;
  bool paused = false;
  bool partitioned = false;
  /// The seeds of the host; all hosts if empty.
  std::vector<std::string> seeds;
};

/// Control hosts with a simulated clock, disks and network.
class FakeCluster {
 public:
  struct AutomaticMembers {};

  FakeCluster(std::uint64_t seed, AutomaticMembers)
      : automatic_members(true), random(seed) {}

  explicit FakeCluster(std::uint64_t seed, std::size_t size = 3)
      : random(seed) {
    std::vector<Member> non_voters;
    for (std::size_t i = 0; i < size; ++i) {
      hosts.push_back({"c" + std::to_string(i)});
      non_voters.push_back({hosts.back().name, hosts.back().name, "", false});
    }
    for (std::size_t i = 0; i < size; ++i) {
      WipeDisk(i);
      Start(i);
    }
    EXPECT_TRUE(hosts[0].node->Bootstrap(now, "cluster", non_voters));
    RunUntil([&] { return VoterCount() == size; }, seconds(20));
    EXPECT_EQ(VoterCount(), size);
  }

  // Hosts that bootstrap a new cluster with the same list of initial voters,
  // with automatic_members on.
  static std::unique_ptr<FakeCluster> WithInitialVoters(
      std::uint64_t seed,
      std::size_t size,
      std::size_t min_voters = 3) {
    std::unique_ptr<FakeCluster> cluster(
        new FakeCluster(seed, AutomaticMembers()));
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

  // Adds a blank host with the other hosts as seeds.
  void AddHost() {
    hosts.push_back({"c" + std::to_string(hosts.size())});
    WipeDisk(hosts.size() - 1);
    Start(hosts.size() - 1);
  }

  void WipeDisk(std::size_t i) {
    hosts[i].disk =
        std::make_unique<FakeDisk>("disk-" + std::to_string(++disk_count));
  }

  void Start(std::size_t i) {
    FakeHost& host = hosts[i];
    ConsensusConfig config;
    config.host = host.name;
    config.address = host.name;
    config.random_seed = random.Next();
    config.compact_after_entries = 40;
    config.automatic_members = automatic_members;
    config.min_voters = min_voters;
    config.seeds = host.seeds;
    for (const FakeHost& other : hosts) {
      if (host.seeds.empty()) {
        config.seeds.push_back(other.name);
      }
    }
    host.state = std::make_unique<RecordingStateMachine>();
    host.node = std::make_unique<ConsensusNode>(config, *host.disk, *host.state,
                                                host.disk->stored, now);
    host.paused = false;
  }

  void Kill(std::size_t i) { hosts[i].node.reset(); }

  void Step(Duration length = milliseconds(10)) {
    now += length;
    for (FakeHost& host : hosts) {
      if (IsRunning(host)) {
        host.node->Tick(now);
        CollectOutput(host);
      }
    }
    while (!in_flight.empty() && in_flight.begin()->first <= now) {
      auto node = in_flight.extract(in_flight.begin());
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
      if (IsRunning(host) && !host.partitioned &&
          host.node->IsLeaderWithQuorum(now)) {
        return &host;
      }
    }
    return nullptr;
  }

  std::size_t VoterCount() {
    FakeHost* leader = Leader();
    if (leader == nullptr || !leader->node->members_committed()) {
      return 0;
    }
    // A voter counts only if its disk id is that of its host's current disk.
    return static_cast<std::size_t>(std::ranges::count_if(
        leader->node->members(), [&](const Member& member) {
          return std::ranges::any_of(hosts, [&](const FakeHost& host) {
            return member.voter && host.name == member.host &&
                   host.disk->stored.disk == member.disk;
          });
        }));
  }

  // Proposes a command at `host`; it is added to `acknowledged` once committed.
  void Propose(FakeHost& host) {
    const std::string command = "x" + std::to_string(++proposal_count);
    if (auto index = host.node->Propose(now, command)) {
      proposed[{*index, host.node->term()}] = command;
    }
    CollectOutput(host);
  }

  // Expects every acknowledged command in the state of `host`, in log order.
  void ExpectAllAcknowledged(const FakeHost& host) {
    std::size_t position = 0;
    for (const auto& [index, command] : acknowledged) {
      while (position < host.state->commands.size() &&
             host.state->commands[position] != command) {
        ++position;
      }
      ASSERT_LT(position, host.state->commands.size())
          << command << " was acknowledged but is missing";
    }
  }

  // Describes the state of each host, for failure messages.
  std::string Describe() const {
    std::string text;
    for (const FakeHost& host : hosts) {
      text += host.name + (host.paused ? " paused" : "") +
              (host.partitioned ? " partitioned" : "");
      if (host.node == nullptr) {
        text += " not running\n";
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

  bool IsRunning(const FakeHost& host) const {
    return host.node != nullptr && !host.paused;
  }

  void CollectOutput(FakeHost& host) {
    host.node->Flush(now);
    for (const AppliedEntry& applied : host.node->TakeApplied()) {
      auto found = proposed.find({applied.index, applied.term});
      if (found != proposed.end() && found->second == applied.result) {
        acknowledged[applied.index] = applied.result;
      }
      if (!applied.result.empty()) {
        auto [slot, added] =
            applied_commands.try_emplace(applied.index, applied.result);
        EXPECT_EQ(slot->second, applied.result)
            << "two commands were applied at one index";
      }
    }
    if (host.node->role() == ConsensusRole::kLeader) {
      auto [slot, added] =
          leader_of_term.try_emplace(host.node->term(), host.name);
      EXPECT_EQ(slot->second, host.name) << "two leaders in one term";
    }
    for (OutgoingMessage& message : host.node->TakeMessages()) {
      if (host.partitioned || random.Below(100) < loss_percent) {
        continue;
      }
      const auto delay = milliseconds(1 + random.Below(max_delay_ms));
      in_flight.emplace(now + delay, std::move(message));
      if (random.Below(100) < loss_percent) {
        auto copy = in_flight.begin()->second;
        in_flight.emplace(now + delay * 3, std::move(copy));
      }
    }
  }

  void Deliver(const OutgoingMessage& message) {
    for (FakeHost& host : hosts) {
      if (host.name == message.address && host.node != nullptr &&
          !host.partitioned) {
        if (host.paused) {
          delayed.push_back(message);
          return;
        }
        host.node->Receive(now, message.message);
        CollectOutput(host);
        return;
      }
    }
  }

  // Messages that arrived while a host was paused are delivered on resume.
  void Resume(std::size_t i) {
    hosts[i].paused = false;
    for (const OutgoingMessage& message : std::exchange(delayed, {})) {
      Deliver(message);
    }
  }

  bool automatic_members = false;
  std::size_t min_voters = 3;
  Random random;
  Instant now{seconds(1000)};
  std::vector<FakeHost> hosts;
  std::multimap<Instant, OutgoingMessage> in_flight;
  std::vector<OutgoingMessage> delayed;
  std::map<std::pair<LogIndex, Term>, std::string> proposed;
  std::map<LogIndex, std::string> acknowledged;
  std::map<LogIndex, std::string> applied_commands;
  std::map<Term, std::string> leader_of_term;
  std::size_t loss_percent = 0;
  std::size_t max_delay_ms = 5;
  int proposal_count = 0;
  int disk_count = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_FAKE_CLUSTER_TEST_H_
