#include "snipeworks/retry_after.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

std::vector<Duration> SortedDraws(const RefusedRequest& request) {
  Random random(20261204);
  std::vector<Duration> drawn;
  for (int i = 0; i < 1000; ++i) {
    drawn.push_back(DrawRetryAfter(random, request));
  }
  std::ranges::sort(drawn);
  return drawn;
}

RefusedRequest Refused(RequestClass request_class,
                       Duration queue_wait,
                       Duration remaining) {
  return {request_class, queue_wait, remaining, milliseconds(3000)};
}

TEST(RetryAfterTimes, LeaveTimeForTheRetry) {
  const auto drawn = SortedDraws(
      Refused(RequestClass::kNormal, milliseconds(50), milliseconds(3000)));
  EXPECT_GE(drawn.front(), milliseconds(300));
  EXPECT_LE(drawn.back(), milliseconds(2100));
}

TEST(RetryAfterTimes, RespectLatestPercent) {
  RefusedRequest request =
      Refused(RequestClass::kNormal, milliseconds(50), milliseconds(3000));
  request.latest_percent = 33;
  EXPECT_LE(SortedDraws(request).back(), milliseconds(990));
}

TEST(RetryAfterTimes, AreSpreadOverTheWholeWindow) {
  const auto drawn = SortedDraws(
      Refused(RequestClass::kNormal, milliseconds(50), milliseconds(3000)));
  EXPECT_LE(drawn[250], milliseconds(800));
  EXPECT_GE(drawn[750], milliseconds(1600));
}

TEST(RetryAfterTimes, AreNeverBeforeTheQueueIsDrained) {
  const auto drawn = SortedDraws(
      Refused(RequestClass::kUrgent, milliseconds(2000), milliseconds(3000)));
  EXPECT_GE(drawn.front(), milliseconds(2000));
  EXPECT_GE(drawn.back() - drawn.front(), milliseconds(100));
}

TEST(RetryAfterTimes, AreEarlierForMoreUrgentClasses) {
  const auto drawn = [](RequestClass request_class) {
    return SortedDraws(
        Refused(request_class, milliseconds(50), milliseconds(3000)));
  };
  const auto urgent = drawn(RequestClass::kUrgent);
  const auto normal = drawn(RequestClass::kNormal);
  const auto routine = drawn(RequestClass::kRoutine);
  EXPECT_LT(urgent[500], normal[500]);
  EXPECT_LT(normal[500], routine[500]);
  EXPECT_LE(urgent.back(), routine.front());
}

TEST(RetryAfterTimes, AreEarlierForRequestsThatHaveWaitedLonger) {
  const auto remaining_share = SortedDraws(
      Refused(RequestClass::kNormal, milliseconds(900), milliseconds(3000)));
  const auto old = SortedDraws(
      Refused(RequestClass::kNormal, milliseconds(900), milliseconds(1000)));
  EXPECT_LT(old[500], remaining_share[500]);
}

TEST(RetryAfterTimes, ArePositiveWithoutAnyTimeLeft) {
  EXPECT_GT(SortedDraws(Refused(RequestClass::kUrgent, {}, {})).front(),
            Duration{});
}

}  // namespace
}  // namespace snipeworks
