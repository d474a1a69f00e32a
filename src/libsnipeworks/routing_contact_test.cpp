#include "snipeworks/routing_contact.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using enum RoutingFreshness;

class Contact : public ::testing::Test {
 protected:
  // The host runs for `time`; a control host replies to calls of up to 1 s.
  void RunInContact(Duration time) {
    const Instant end = now + time;
    while (now < end) {
      const Instant sent = now;
      Run(std::min<Duration>(seconds(1), end - now));
      contact.OnCurrentReply(sent, now);
    }
  }

  void Run(Duration time) {
    const Instant end = now + time;
    while (now < end) {
      now += milliseconds(50);
      contact.OnActive(now);
    }
  }

  RoutingFreshness Freshness(bool newer_seen = false) const {
    return contact.Freshness(now, newer_seen);
  }

  Instant now{std::chrono::hours(1)};
  RoutingContact contact;
};

TEST_F(Contact, IsLostWithoutReplies) {
  EXPECT_EQ(Freshness(), kMayBeBehind);
  RunInContact(seconds(5));
  EXPECT_EQ(Freshness(), kCurrent);
  Run(milliseconds(1700));
  EXPECT_EQ(Freshness(), kCurrent);
  Run(milliseconds(50));
  EXPECT_EQ(Freshness(), kMayBeBehind);
  RunInContact(seconds(1));
  EXPECT_EQ(Freshness(), kCurrent);
}

TEST_F(Contact, IsBehindWhileANewerVersionIsOnItsWay) {
  RunInContact(seconds(5));
  EXPECT_EQ(Freshness(true), kMayBeBehind);
}

TEST_F(Contact, OfAFrozenHostIsConfirmedOnlyByLaterCalls) {
  RunInContact(seconds(5));
  const Instant sent_before = now;
  now += seconds(6);
  // Before anything else has run.
  EXPECT_EQ(Freshness(), kSuspended);
  EXPECT_TRUE(contact.IsResuming(now));
  contact.OnCurrentReply(sent_before, now);
  EXPECT_EQ(Freshness(), kSuspended);
  const Instant sent_after = now;
  Run(milliseconds(100));
  EXPECT_EQ(Freshness(), kSuspended);
  contact.OnCurrentReply(sent_after, now);
  EXPECT_EQ(Freshness(), kCurrent);
  EXPECT_FALSE(contact.IsResuming(now));
}

// A host that is partitioned serves by the routing that it has.
TEST_F(Contact, OfAFrozenHostIsNotAwaitedForever) {
  RunInContact(seconds(5));
  now += seconds(6);
  Run(milliseconds(1000));
  EXPECT_EQ(Freshness(), kSuspended);
  Run(milliseconds(1000));
  EXPECT_EQ(Freshness(), kMayBeBehind);
}

TEST_F(Contact, OutlastsShortPauses) {
  RunInContact(seconds(5));
  now += milliseconds(1200);
  EXPECT_EQ(Freshness(), kCurrent);
  RunInContact(seconds(1));
  now += milliseconds(1900);
  EXPECT_EQ(Freshness(), kMayBeBehind);
}

// Guards against requests that are sent twice by a routing that may have been
// replaced: while the host did not run, or without a control host.
TEST_F(Contact, LetsRequestsRepeatForAsLongAsNoNewerVersionIsDue) {
  const auto may_repeat = [&] { return now < contact.RepeatableUntil(); };
  Run(seconds(5));
  EXPECT_FALSE(may_repeat());
  RunInContact(seconds(5));
  EXPECT_TRUE(may_repeat());
  const Instant sent_before = now;
  Run(milliseconds(1900));
  EXPECT_TRUE(may_repeat());
  Run(milliseconds(1100));
  EXPECT_FALSE(may_repeat());
  contact.OnCurrentReply(sent_before, now);
  EXPECT_FALSE(may_repeat());
  contact.OnCurrentReply(now - milliseconds(5), now);
  EXPECT_TRUE(may_repeat());
  now += seconds(4);
  EXPECT_FALSE(may_repeat());
}

// The first call after the start counts, whenever it was sent.
TEST_F(Contact, BeginsWithTheFirstReply) {
  Run(seconds(10));
  EXPECT_EQ(Freshness(), kMayBeBehind);
  RunInContact(milliseconds(50));
  EXPECT_EQ(Freshness(), kCurrent);
}

}  // namespace
}  // namespace snipeworks
