#include "snipeworks/zone_evacuations.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using Outcome = ZoneEvacuations::Outcome;

constexpr std::int64_t kNow = 1'800'000'000;

TEST(ZoneEvacuation, StartsOnceAndKeepsItsStart) {
  ZoneEvacuations evacuations;
  EXPECT_EQ(evacuations.Evacuate("1", "b", kNow), Outcome::kChanged);
  EXPECT_EQ(evacuations.Evacuate("2", "a", kNow + 1), Outcome::kChanged);
  EXPECT_EQ(evacuations.Evacuate("3", "b", kNow + 2), Outcome::kUnchanged);
  const std::vector<EvacuatedZone> expected = {{"a", kNow + 1}, {"b", kNow}};
  EXPECT_EQ(evacuations.zones(), expected);
  EXPECT_EQ(evacuations.Readmit("4", "c", kNow + 3), Outcome::kUnchanged);
  EXPECT_EQ(evacuations.Readmit("5", "b", kNow + 3), Outcome::kChanged);
  EXPECT_EQ(evacuations.Readmit("6", "b", kNow + 4), Outcome::kUnchanged);
  EXPECT_EQ(evacuations.zones().size(), 1U);
}

// A proposal whose reply was lost is made again, after the operator has sent
// the opposite order to another host.
TEST(ZoneEvacuation, IsNotStartedAgainByALateRepetition) {
  ZoneEvacuations evacuations;
  evacuations.Evacuate("1", "a", kNow);
  evacuations.Readmit("2", "a", kNow);
  EXPECT_EQ(evacuations.Evacuate("1", "a", kNow), Outcome::kUnchanged);
  EXPECT_TRUE(evacuations.zones().empty());
  evacuations.ForgetOrders(kNow + kOrderRetentionS);
  EXPECT_EQ(evacuations.orders().size(), 2U);
  evacuations.ForgetOrders(kNow + kOrderRetentionS + 1);
  EXPECT_TRUE(evacuations.orders().empty());
}

TEST(ZoneEvacuation, IsBoundedInZones) {
  ZoneEvacuations evacuations;
  for (std::size_t i = 0; i < kMaxEvacuatedZones; ++i) {
    evacuations.Evacuate(std::to_string(i), "z" + std::to_string(i), kNow);
  }
  EXPECT_EQ(evacuations.Evacuate("more", "more", kNow), Outcome::kTooMany);
  EXPECT_EQ(evacuations.Evacuate("known", "z1", kNow), Outcome::kUnchanged);
}

TEST(ZoneEvacuation, HasADigestThatIsZeroForNone) {
  EXPECT_EQ(EvacuationDigest({}), 0U);
  EXPECT_NE(EvacuationDigest({{"a", 1}}), EvacuationDigest({{"b", 1}}));
  EXPECT_NE(EvacuationDigest({{"a", 1}}), EvacuationDigest({{"a", 2}}));
}

}  // namespace
}  // namespace snipeworks
