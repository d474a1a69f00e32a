#include "snipeworks/evidence_outbox.h"

#include <chrono>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::seconds;

const PoisonEvidence kSuspected{1, "entry-1", {{"a", 1}}, {}, {}};
const PoisonEvidence kRefused{1,
                              "entry-1",
                              {{"a", 1}, {"b", 1}},
                              {},
                              seconds(60)};

class EvidenceOutboxes : public testing::Test {
 protected:
  std::size_t PendingCount(const char* control) {
    return outbox_.PendingFor(now_, control).size();
  }

  EvidenceOutbox outbox_;
  Instant now_{seconds(1000)};
};

TEST_F(EvidenceOutboxes, DeliverToTwoControlHosts) {
  outbox_.Add(now_, kSuspected);
  outbox_.OnDelivered("control-1", outbox_.PendingFor(now_, "control-1"), 2);
  EXPECT_EQ(PendingCount("control-1"), 0U);
  EXPECT_EQ(PendingCount("control-2"), 1U);
  outbox_.OnDelivered("control-3", outbox_.PendingFor(now_, "control-3"), 2);
  EXPECT_TRUE(outbox_.empty());
}

// The response to the first call arrives after newer evidence was added.
TEST_F(EvidenceOutboxes, DeliverNewerEvidenceAfterOlderWasReceived) {
  outbox_.Add(now_, kSuspected);
  const auto delivered = outbox_.PendingFor(now_, "control-1");
  outbox_.Add(now_, kRefused);
  outbox_.OnDelivered("control-1", delivered, 1);
  ASSERT_EQ(PendingCount("control-1"), 1U);
  EXPECT_EQ(outbox_.PendingFor(now_, "control-1")[0], kRefused);
}

TEST_F(EvidenceOutboxes, DropEvidenceThatNobodyReceives) {
  outbox_.Add(now_, kSuspected);
  now_ += seconds(29);
  EXPECT_EQ(PendingCount("control-1"), 1U);
  now_ += seconds(2);
  EXPECT_EQ(PendingCount("control-1"), 0U);
  EXPECT_TRUE(outbox_.empty());
}

}  // namespace
}  // namespace snipeworks
