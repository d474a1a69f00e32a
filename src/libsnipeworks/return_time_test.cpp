#include "snipeworks/return_time.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

std::vector<Duration> Drawn(const TurnedAway& caller) {
  Random random(20261204);
  std::vector<Duration> drawn;
  for (int i = 0; i < 1000; ++i) {
    drawn.push_back(ReturnAfter(random, caller));
  }
  std::ranges::sort(drawn);
  return drawn;
}

TurnedAway Caller(RequestClass request_class, Duration wait, Duration left) {
  return {request_class, wait, left, milliseconds(3000)};
}

TEST(ReturnTimes, LeaveTimeForTheReturn) {
  const auto drawn = Drawn(
      Caller(RequestClass::kNormal, milliseconds(50), milliseconds(3000)));
  EXPECT_GE(drawn.front(), milliseconds(300));
  EXPECT_LE(drawn.back(), milliseconds(2100));
}

TEST(ReturnTimes, KeepToWhatCallersKeepTo) {
  TurnedAway caller =
      Caller(RequestClass::kNormal, milliseconds(50), milliseconds(3000));
  caller.latest_percent = 33;
  EXPECT_LE(Drawn(caller).back(), milliseconds(990));
}

TEST(ReturnTimes, AreSpreadOverTheWholeWindow) {
  const auto drawn = Drawn(
      Caller(RequestClass::kNormal, milliseconds(50), milliseconds(3000)));
  EXPECT_LE(drawn[250], milliseconds(800));
  EXPECT_GE(drawn[750], milliseconds(1600));
}

TEST(ReturnTimes, NeverComeBeforeTheQueueIsWorkedOff) {
  const auto drawn = Drawn(
      Caller(RequestClass::kUrgent, milliseconds(2000), milliseconds(3000)));
  EXPECT_GE(drawn.front(), milliseconds(2000));
  EXPECT_GE(drawn.back() - drawn.front(), milliseconds(100));
}

TEST(ReturnTimes, AreEarlierForMoreUrgentClasses) {
  const auto drawn = [](RequestClass request_class) {
    return Drawn(Caller(request_class, milliseconds(50), milliseconds(3000)));
  };
  const auto urgent = drawn(RequestClass::kUrgent);
  const auto normal = drawn(RequestClass::kNormal);
  const auto routine = drawn(RequestClass::kRoutine);
  EXPECT_LT(urgent[500], normal[500]);
  EXPECT_LT(normal[500], routine[500]);
  EXPECT_LE(urgent.back(), routine.front());
}

TEST(ReturnTimes, AreEarlierForThoseThatHaveWaitedLonger) {
  const auto fresh = Drawn(
      Caller(RequestClass::kNormal, milliseconds(900), milliseconds(3000)));
  const auto old = Drawn(
      Caller(RequestClass::kNormal, milliseconds(900), milliseconds(1000)));
  EXPECT_LT(old[500], fresh[500]);
}

TEST(ReturnTimes, ArePositiveWithoutAnyTimeLeft) {
  EXPECT_GT(Drawn(Caller(RequestClass::kUrgent, {}, {})).front(), Duration{});
}

}  // namespace
}  // namespace snipeworks
