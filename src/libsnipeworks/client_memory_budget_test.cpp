#include "snipeworks/client_memory_budget.h"

#include <chrono>
#include <vector>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Account = ClientMemoryBudget::Account;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
constexpr std::size_t kLargestRequest = (256 + 16) * kKilobyte;

class ClientBudgets : public ::testing::Test {
 protected:
  ClientBudgets() : budget(ClientLimits{kMegabyte, 0}) {}

  Account& Connect(ClientActivity activity, std::size_t bytes) {
    Account& account = budget.Open(now);
    budget.SetActivity(now, account, activity);
    budget.Hold(account, bytes);
    return account;
  }

  Instant now{seconds(100)};
  ClientMemoryBudget budget;
};

TEST_F(ClientBudgets, TurnNobodyAwayWithinTheirLimit) {
  Connect(ClientActivity::kReceiving, 900 * kKilobyte);
  now += seconds(60);
  EXPECT_FALSE(budget.NextForMemory(now));
  EXPECT_FALSE(budget.NextForConnection(now));
}

class ClientsOverTheLimit : public ClientBudgets {};

TEST_F(ClientsOverTheLimit, LoseTheOneThatHoldsMost) {
  Connect(ClientActivity::kReceiving, 400 * kKilobyte);
  const Account& largest = Connect(ClientActivity::kReceiving, 500 * kKilobyte);
  Connect(ClientActivity::kReceiving, 300 * kKilobyte);
  EXPECT_EQ(budget.NextForMemory(now), largest.id());
}

TEST_F(ClientsOverTheLimit, LoseTheOneThatStoppedBeforeOneThatMakesProgress) {
  const Account& stopped = Connect(ClientActivity::kReceiving, 500 * kKilobyte);
  Account& active = Connect(ClientActivity::kReceiving, 600 * kKilobyte);
  now += seconds(3);
  budget.OnMoved(now, active, 64 * kKilobyte);
  EXPECT_EQ(budget.NextForMemory(now), stopped.id());
}

// Single bytes are no progress.
TEST_F(ClientsOverTheLimit, LoseTheOneThatSendsSingleBytes) {
  Account& slow = Connect(ClientActivity::kReceiving, 600 * kKilobyte);
  Account& active = Connect(ClientActivity::kReceiving, 610 * kKilobyte);
  for (int i = 0; i < 30; ++i) {
    now += milliseconds(100);
    budget.OnMoved(now, slow, 1);
    budget.OnMoved(now, active, 8 * kKilobyte);
  }
  EXPECT_EQ(budget.NextForMemory(now), slow.id());
}

// What runs may have had an effect, so that no refusal of it would be true.
TEST_F(ClientsOverTheLimit, NeverLoseOneWhoseRequestRuns) {
  Connect(ClientActivity::kRunning, 2 * kMegabyte);
  EXPECT_FALSE(budget.NextForMemory(now));
  const Account& small = Connect(ClientActivity::kReceiving, kKilobyte);
  EXPECT_EQ(budget.NextForMemory(now), small.id());
}

TEST_F(ClientsOverTheLimit, LoseOneThatDoesNotReadItsResponse) {
  const Account& unread = Connect(ClientActivity::kSending, 800 * kKilobyte);
  Connect(ClientActivity::kReceiving, 300 * kKilobyte);
  EXPECT_EQ(budget.NextForMemory(now), unread.id());
}

TEST_F(ClientsOverTheLimit, AreOnesThatTheAllocatorRetainsMemoryOf) {
  EXPECT_FALSE(budget.OnResidentMemory(20 * kMegabyte));
  Account& gone = Connect(ClientActivity::kReceiving, 900 * kKilobyte);
  budget.Close(gone);
  const Account& client = Connect(ClientActivity::kReceiving, 800 * kKilobyte);
  EXPECT_FALSE(budget.NextForMemory(now));
  EXPECT_TRUE(budget.OnResidentMemory(20 * kMegabyte + 1700 * kKilobyte));
  EXPECT_EQ(budget.NextForMemory(now), client.id());
  budget.OnMemoryReturned(20 * kMegabyte + 810 * kKilobyte);
  EXPECT_FALSE(budget.NextForMemory(now));
}

// Memory of the process that no client holds must not turn all clients away.
TEST_F(ClientsOverTheLimit, AreNotOnesOfAProcessThatGrows) {
  EXPECT_FALSE(budget.OnResidentMemory(20 * kMegabyte));
  const Account& client = Connect(ClientActivity::kReceiving, kLargestRequest);
  EXPECT_TRUE(budget.OnResidentMemory(60 * kMegabyte));
  budget.OnMemoryReturned(60 * kMegabyte);
  EXPECT_FALSE(budget.NextForMemory(now)) << client.held_bytes();
}

class ClientConnections : public ::testing::Test {
 protected:
  ClientConnections() : budget(ClientLimits{kMegabyte, 3}) {}
  Instant now{seconds(100)};
  ClientMemoryBudget budget;
};

TEST_F(ClientConnections, EndWithTheOneLongestWithoutProgress) {
  Account& running = budget.Open(now);
  budget.SetActivity(now, running, ClientActivity::kRunning);
  now += seconds(1);
  const Account& idle = budget.Open(now);
  now += seconds(1);
  EXPECT_FALSE(budget.NextForConnection(now));
  budget.Open(now);
  EXPECT_EQ(budget.NextForConnection(now), idle.id());
}

TEST_F(ClientConnections, AreRefusedOnlyWhenAllOthersRun) {
  for (int i = 0; i < 3; ++i) {
    budget.SetActivity(now, budget.Open(now), ClientActivity::kRunning);
  }
  EXPECT_TRUE(budget.IsFull());
  EXPECT_FALSE(budget.NextForConnection(now));
}

// Any number of clients that the defaults are made for.
TEST(DefaultClientLimits, AreNotMetByLegalClients) {
  ClientMemoryBudget budget{ClientLimits{}};
  const Instant now{seconds(100)};
  for (int i = 0; i < 2000; ++i) {
    budget.Open(now);
  }
  for (int i = 0; i < 100; ++i) {
    Account& account = budget.Open(now);
    budget.SetActivity(now, account, ClientActivity::kReceiving);
    budget.Hold(account, kLargestRequest);
  }
  EXPECT_FALSE(budget.NextForMemory(now));
  EXPECT_FALSE(budget.NextForConnection(now));
}

}  // namespace
}  // namespace snipeworks
