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

}  // namespace
}  // namespace snipeworks
