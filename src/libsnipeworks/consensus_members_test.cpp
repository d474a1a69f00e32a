#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fake_cluster_test.h"

namespace snipeworks {
namespace {

// The control hosts of a new cluster start at about the same time, and any of
// them may lose its disk before the first election.
TEST(Membership, BootstrapSurvivesTheLossOfAnyInitialVoter) {
  for (std::size_t lost = 0; lost < 3; ++lost) {
    auto cluster = FakeCluster::WithInitialVoters(7 + lost, 3);
    cluster->Kill(lost);
    cluster->WipeDisk(lost);
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                  seconds(10)));
    cluster->Propose(*cluster->Leader());
    cluster->Start(lost);  // Blank, with a disk id other than the initial one.
    EXPECT_TRUE(cluster->RunUntil([&] { return cluster->VoterCount() == 3; },
                                  seconds(20)))
        << cluster->Describe();
    EXPECT_FALSE(cluster->acknowledged.empty());
    cluster->ExpectAllAcknowledged(*cluster->Leader());
  }
}

// One host is lost for good and a blank one joins at another address; after
// that the cluster tolerates the loss of one more host.
TEST(Membership, ABlankHostReplacesALostVoter) {
  auto cluster = FakeCluster::WithInitialVoters(11, 3);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  cluster->Kill(0);
  cluster->Run(seconds(2));
  cluster->AddHost();
  ASSERT_TRUE(cluster->RunUntil(
      [&] {
        FakeHost* leader = cluster->Leader();
        if (leader == nullptr || cluster->VoterCount() != 3) {
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

// Two of five hosts may lose their disks. If two partitioned voters were
// removed, they could not make up for two wiped ones when they return.
TEST(Membership, SilentVotersAreKeptDownToTheMinimum) {
  auto cluster = FakeCluster::WithInitialVoters(19, 5, 5);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  const std::string leader = cluster->Leader()->name;
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < 5; ++i) {
    if (cluster->hosts[i].name != leader) {
      others.push_back(i);
    }
  }
  cluster->hosts[others[0]].partitioned = true;
  cluster->hosts[others[1]].partitioned = true;
  cluster->Run(seconds(8));
  cluster->Propose(*cluster->Leader());
  cluster->Run(seconds(1));
  ASSERT_FALSE(cluster->acknowledged.empty());
  cluster->hosts[others[0]].partitioned = false;
  cluster->hosts[others[1]].partitioned = false;
  for (std::size_t wiped : {others[2], others[3]}) {
    cluster->Kill(wiped);
    cluster->WipeDisk(wiped);
    cluster->Start(wiped);
  }
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->VoterCount() == 5; },
                                seconds(30)))
      << cluster->Describe();
  cluster->ExpectAllAcknowledged(*cluster->Leader());
}

// The timeout for a silent member starts when that member joins, not when the
// leader was elected; else a new host would be removed at once.
TEST(Membership, AHostJoinsALongStandingLeader) {
  auto cluster = FakeCluster::WithInitialVoters(23, 3);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  cluster->Run(seconds(60));
  cluster->AddHost();
  EXPECT_TRUE(
      cluster->RunUntil([&] { return cluster->VoterCount() == 4; }, seconds(2)))
      << cluster->Describe();
}

// The leader checks for silent members before the first answers of the new host
// arrive.
TEST(Membership, AHostJoinsOverASlowLink) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    auto cluster = FakeCluster::WithInitialVoters(seed, 3);
    ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                  seconds(10)));
    cluster->Run(seconds(60));
    cluster->max_delay_ms = 150;
    cluster->AddHost();
    EXPECT_TRUE(cluster->RunUntil([&] { return cluster->VoterCount() == 4; },
                                  seconds(3)))
        << "seed " << seed << "\n"
        << cluster->Describe();
  }
}

// One of five hosts loses its disk and is repaired; then two lose their disks
// while all hosts restart. The first loss must have been repaired fully by
// then.
TEST(Membership, DiskLossIsToleratedAgainAfterARepair) {
  auto cluster = FakeCluster::WithInitialVoters(29, 5, 5);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->Leader() != nullptr; },
                                seconds(10)));
  cluster->Run(seconds(30));
  const auto wipe_and_restart = [&](std::size_t i) {
    cluster->Kill(i);
    cluster->WipeDisk(i);
    cluster->Run(seconds(1));
    cluster->Start(i);
  };
  const std::size_t first = cluster->Leader() == &cluster->hosts[0] ? 1 : 0;
  wipe_and_restart(first);
  ASSERT_TRUE(
      cluster->RunUntil([&] { return cluster->VoterCount() == 5; }, seconds(6)))
      << cluster->Describe();
  cluster->Propose(*cluster->Leader());
  cluster->Run(seconds(1));
  ASSERT_FALSE(cluster->acknowledged.empty());
  for (std::size_t i = 0; i < 5; ++i) {
    cluster->Kill(i);
  }
  for (std::size_t i = 0; i < 5; ++i) {
    if (i == 3 || i == 4) {
      cluster->WipeDisk(i);
    }
    cluster->Start(i);
  }
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->VoterCount() == 5; },
                                seconds(15)))
      << cluster->Describe();
  cluster->ExpectAllAcknowledged(*cluster->Leader());
}

// The seeds of a host that returns blank do not include the leader.
TEST(Membership, ABlankHostJoinsThroughFollowers) {
  auto cluster = FakeCluster::WithInitialVoters(31, 5, 5);
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
  cluster->WipeDisk(others[0]);
  cluster->Start(others[0]);
  EXPECT_TRUE(
      cluster->RunUntil([&] { return cluster->VoterCount() == 5; }, seconds(3)))
      << cluster->Describe();
}

// After a power loss all hosts restart at about the same time.
TEST(Membership, ALeaderIsElectedSoonAfterAFullRestart) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto cluster = FakeCluster::WithInitialVoters(seed, 5, 5);
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

// With three voters none is removed; with four, a partitioned voter is removed
// and joins again after the partition has healed.
TEST(Membership, SilentVotersAreRemovedOnlyAboveTheMinimumAndRejoin) {
  auto three = FakeCluster::WithInitialVoters(13, 3);
  ASSERT_TRUE(
      three->RunUntil([&] { return three->Leader() != nullptr; }, seconds(10)));
  three->Kill(2);
  three->Run(seconds(10));
  ASSERT_NE(three->Leader(), nullptr);
  EXPECT_EQ(three->Leader()->node->members().size(), 3U);

  auto four = FakeCluster::WithInitialVoters(17, 3);
  four->AddHost();
  ASSERT_TRUE(
      four->RunUntil([&] { return four->VoterCount() == 4; }, seconds(20)));
  FakeHost& isolated = four->hosts[3];
  isolated.partitioned = true;
  EXPECT_TRUE(four->RunUntil(
      [&] {
        FakeHost* leader = four->Leader();
        return leader != nullptr && leader->node->members().size() == 3;
      },
      seconds(10)))
      << four->Describe();
  isolated.partitioned = false;
  EXPECT_TRUE(
      four->RunUntil([&] { return four->VoterCount() == 4; }, seconds(20)))
      << four->Describe();
}

}  // namespace
}  // namespace snipeworks
