#include "snipeworks/target_contact.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kUsualLatency = milliseconds(30);
constexpr std::size_t kTargets = 30;

std::string TargetName(std::size_t number) {
  return "target-" + std::to_string(number);
}

// A host that sends an attempt to each target in turn, and its test
// connections.
struct Host {
  TargetContact contact;
  Instant now{seconds(1000)};
  AttemptId next = 1;
  std::vector<std::pair<Instant, AttemptId>> answers_due;
  std::size_t tests = 0;

  // `answers` and `connects` tell whether a target does so.
  template <typename Answers, typename Connects>
  void RunFor(Duration time, Answers answers, Connects connects) {
    for (const Instant end = now + time; now < end; now += kStep) {
      std::erase_if(answers_due, [&](const auto& due) {
        if (due.first <= now) {
          contact.OnEnded(now, due.second, true, false);
        }
        return due.first <= now;
      });
      const std::size_t target = next % kTargets;
      contact.OnSent(now, next, TargetName(target), kUsualLatency);
      if (answers(target)) {
        answers_due.emplace_back(now + kUsualLatency / 2, next);
      }
      ++next;
      const std::size_t count = contact.Update(now, kTargets);
      tests += count;
      for (std::size_t i = 0; i < count; ++i) {
        contact.OnTest(now, connects((next + i * 7) % kTargets));
      }
    }
  }
};

constexpr auto kAll = [](std::size_t) { return true; };
constexpr auto kNone = [](std::size_t) { return false; };

TEST(TargetContacts, AHostThatHearsFromTargetsTestsNothing) {
  Host host;
  host.RunFor(seconds(10), kAll, kAll);
  EXPECT_EQ(host.contact.state(), ContactState::kReached);
  EXPECT_EQ(host.tests, 0U);
}

TEST(LostTargets, SilenceOfAllIsNoticedWithinHalfASecond) {
  Host host;
  host.RunFor(seconds(2), kAll, kAll);
  host.RunFor(milliseconds(500), kNone, kNone);
  EXPECT_EQ(host.contact.state(), ContactState::kLost);

  // Their return is noticed as soon.
  host.RunFor(seconds(5), kNone, kNone);
  EXPECT_EQ(host.contact.state(), ContactState::kLost);
  host.RunFor(milliseconds(500), kAll, kAll);
  EXPECT_EQ(host.contact.state(), ContactState::kReached);
}

TEST(LostTargets, AFewSlowOrDeadTargetsAreNoCut) {
  Host host;
  host.RunFor(seconds(1), kAll, kAll);
  // Half of them fall silent: the others are heard from.
  const auto half = [](std::size_t target) { return target % 2 == 0; };
  host.RunFor(seconds(10), half, half);
  EXPECT_EQ(host.contact.state(), ContactState::kReached);
  EXPECT_EQ(host.tests, 0U);
}

TEST(LostTargets, TargetsThatAllPauseAreNoCutIfTheyTakeConnections) {
  Host host;
  host.RunFor(seconds(1), kAll, kAll);
  host.RunFor(seconds(4), kNone, kAll);
  EXPECT_EQ(host.contact.state(), ContactState::kReached);
  // Tests are repeated at a low rate.
  EXPECT_GT(host.tests, 0U);
  EXPECT_LE(host.tests, 60U);
}

TEST(LostTargets, RefusedNewConnectionsAreNoticedWhileOthersLiveOn) {
  Host host;
  host.RunFor(seconds(1), kAll, kAll);
  for (std::size_t target = 0; target < 3; ++target) {
    host.contact.OnConnectionFailed(host.now, TargetName(target));
  }
  EXPECT_TRUE(host.contact.ConnectionsFail(host.now));
  host.RunFor(milliseconds(50), kAll, kNone);
  EXPECT_EQ(host.contact.state(), ContactState::kLost);
  // Answers over connections that live on do not end it.
  host.RunFor(seconds(3), kAll, kNone);
  EXPECT_EQ(host.contact.state(), ContactState::kLost);
  host.RunFor(milliseconds(500), kAll, kAll);
  EXPECT_EQ(host.contact.state(), ContactState::kReached);
}

TEST(LostTargets, TargetsOfOneGroupThatHaveCrashedAreNoCut) {
  Host host;
  host.RunFor(seconds(1), kAll, kAll);
  for (int i = 0; i < 20; ++i) {
    for (std::size_t target = 0; target < 3; ++target) {
      host.contact.OnConnectionFailed(host.now, TargetName(target));
    }
    host.RunFor(milliseconds(100), kAll,
                [](std::size_t target) { return target >= 3; });
    EXPECT_NE(host.contact.state(), ContactState::kLost);
  }
}

TEST(LostTargets, ALossIsTestedAtOnceEvenAfterAClearedSuspicion) {
  Host host;
  host.RunFor(seconds(1), kAll, kAll);
  for (int i = 0; i < 2; ++i) {
    host.contact.OnLoss(host.now, TargetName(1));
    const std::size_t count = host.contact.Update(host.now, kTargets);
    EXPECT_GT(count, 0U);
    for (std::size_t test = 0; test < count; ++test) {
      host.contact.OnTest(host.now, true);
    }
    EXPECT_EQ(host.contact.last_contact(), host.now);
    EXPECT_EQ(host.contact.state(), ContactState::kReached);
    host.now += milliseconds(1);
  }
}

// A fleet that has too few targets to tell a cut from their loss.
TEST(LostTargets, AHostThatKnowsNoTargetTestsNothing) {
  TargetContact contact;
  contact.OnConnectionFailed(Instant(seconds(1)), "gone");
  EXPECT_EQ(contact.Update(Instant(seconds(2)), 0), 0U);
  EXPECT_EQ(contact.state(), ContactState::kReached);
}

}  // namespace
}  // namespace snipeworks
