#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fake_cluster_test.h"

namespace snipeworks {
namespace {

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
  ASSERT_TRUE(
      cluster->RunUntil([&] { return cluster->Voters() == 5; }, seconds(30)))
      << cluster->Describe();
  cluster->ExpectAllAcknowledged(*cluster->Leader());
}

// The patience with a silent member begins when that member comes, however long
// the leader has led by then.
TEST(Members, TakeInAHostThatComesWhenTheLeaderHasLedForLong) {
  auto cluster = FakeCluster::Together(23, 3);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  cluster->Run(seconds(60));
  cluster->AddHost();
  EXPECT_TRUE(
      cluster->RunUntil([&] { return cluster->Voters() == 4; }, seconds(2)))
      << cluster->Describe();
}

// The first answers of the host come later than the leader looks after its
// members.
TEST(Members, TakeInAHostOverASlowLink) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    auto cluster = FakeCluster::Together(seed, 3);
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                  seconds(10)));
    cluster->Run(seconds(60));
    cluster->max_delay_ms = 150;
    cluster->AddHost();
    EXPECT_TRUE(
        cluster->RunUntil([&] { return cluster->Voters() == 4; }, seconds(3)))
        << "seed " << seed << "\n"
        << cluster->Describe();
  }
}

// Two of five lose their disks twice, the second time while the others lose
// power: what was lost before must have been made up for.
TEST(Members, BearALossOfDisksAgainAfterOneWasWiped) {
  auto cluster = FakeCluster::Together(29, 5, 5);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  cluster->Run(seconds(30));
  const auto wipe = [&](std::size_t i) {
    cluster->Kill(i);
    cluster->LoseDisk(i);
    cluster->Run(seconds(1));
    cluster->Start(i);
  };
  const std::size_t first = cluster->Leader() == &cluster->hosts[0] ? 1 : 0;
  wipe(first);
  ASSERT_TRUE(
      cluster->RunUntil([&] { return cluster->Voters() == 5; }, seconds(6)))
      << cluster->Describe();
  cluster->Propose(*cluster->Leader());
  cluster->Run(seconds(1));
  ASSERT_FALSE(cluster->acknowledged.empty());
  for (std::size_t i = 0; i < 5; ++i) {
    cluster->Kill(i);
  }
  for (std::size_t i = 0; i < 5; ++i) {
    if (i == 3 || i == 4) {
      cluster->LoseDisk(i);
    }
    cluster->Start(i);
  }
  ASSERT_TRUE(
      cluster->RunUntil([&] { return cluster->Voters() == 5; }, seconds(15)))
      << cluster->Describe();
  cluster->ExpectAllAcknowledged(*cluster->Leader());
}

// A host that comes back blank is told of some hosts, and none of them leads.
TEST(Members, AreTakenInThroughAnyOfThem) {
  auto cluster = FakeCluster::Together(31, 5, 5);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < 5; ++i) {
    if (&cluster->hosts[i] != cluster->Leader()) {
      others.push_back(i);
    }
  }
  FakeHost& wiped = cluster->hosts[others[0]];
  wiped.seeds = {cluster->hosts[others[1]].name,
                 cluster->hosts[others[2]].name};
  cluster->Kill(others[0]);
  cluster->LoseDisk(others[0]);
  cluster->Start(others[0]);
  EXPECT_TRUE(
      cluster->RunUntil([&] { return cluster->Voters() == 5; }, seconds(3)))
      << cluster->Describe();
}

// After a loss of power all of them start within moments of each other.
TEST(Members, ElectALeaderSoonAfterAllHaveStartedAnew) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto cluster = FakeCluster::Together(seed, 5, 5);
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                  seconds(10)));
    cluster->Run(seconds(2));
    for (std::size_t i = 0; i < 5; ++i) {
      cluster->Kill(i);
    }
    for (std::size_t i = 0; i < 5; ++i) {
      cluster->Start(i);
      cluster->Run(milliseconds(70));
    }
    EXPECT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                  milliseconds(400)))
        << "seed " << seed << "\n"
        << cluster->Describe();
  }
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

}  // namespace
}  // namespace snipeworks
