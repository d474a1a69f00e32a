#include "snipeworks/host_settings.h"

#include <string>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

Result<HostSettings> WithSettings(const std::string& members) {
  return HostSettings::Parse(
      R"({"host": "a", "zone": "z", "http": "127.0.0.1:1", )"
      R"("peer": "127.0.0.1:2")" +
      members + "}");
}

// Guards against hosts that keep quotas by other bounds than their settings.
TEST(QuotaSettings, AreReadAndHaveDefaults) {
  EXPECT_EQ(WithSettings("")->quota_bounds(), QuotaBounds{});
  const auto stated = WithSettings(
      R"(, "quota_window_s": 4, "quota_overshoot": 0.25, "quota_slack": 7)");
  EXPECT_EQ(stated->quota_bounds(), (QuotaBounds{4.0, 0.25, 7.0}));
  EXPECT_EQ(WithSettings(R"(, "quota_overshoot_percent": 25)")
                ->quota_bounds()
                .overshoot,
            0.25);
}

TEST(QuotaSettings, OutOfRangeAreRefused) {
  for (const char* members :
       {R"(, "quota_window_s": 0)", R"(, "quota_overshoot": -0.1)",
        R"(, "quota_slack": "many")", R"(, "quota_window_s": null)"}) {
    EXPECT_FALSE(WithSettings(members)) << members;
  }
}

// Deployments that set nothing get what was a constant before.
TEST(LimitSettings, HaveTheDefaultsOfTheBounds) {
  const auto settings = WithSettings("");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->limit_bounds(), TargetLimitBounds());
  EXPECT_EQ(settings->limit_bounds().stated.window_seconds, 4.0);
  EXPECT_EQ(settings->limit_bounds().cold.window_seconds, 1.0);
}

// A platform whose factor is 1.5 writes it as 1.5e2 percent.
TEST(LimitSettings, AreNumbersWithOrWithoutAFraction) {
  const auto settings = WithSettings(
      R"(, "cold_tolerance_percent": 1.25e2, "cold_slack": 3,)"
      R"( "limit_window_ms": 2000, "limit_tolerance_percent": 120)");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->limit_bounds().cold.tolerance, 1.25);
  EXPECT_EQ(settings->limit_bounds().cold.slack, 3.0);
  EXPECT_EQ(settings->limit_bounds().stated.window_seconds, 2.0);
  EXPECT_EQ(settings->limit_bounds().stated.tolerance, 1.2);
  for (const char* members :
       {R"(, "cold_tolerance_percent": 99)", R"(, "cold_slack": -1)",
        R"(, "cold_window_ms": "1000")", R"(, "cold_window": 1000)"}) {
    EXPECT_FALSE(WithSettings(members)) << members;
  }
}

}  // namespace
}  // namespace snipeworks
