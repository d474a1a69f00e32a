#include "response_match.h"

#include <chrono>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

constexpr bool kFirstCall = true;
constexpr bool kLaterCall = false;

// Guards against late bytes without an identifier that were taken for the
// answer of the next call: a refusal among them made a request run twice.
TEST(ResponseMatchers, SkipAResponseWithoutTheIdentifierWhereItIsExpected) {
  ResponseMatcher matcher;
  EXPECT_EQ(matcher.Match("a", "a", kFirstCall), ResponseMatch::kAnswer);
  EXPECT_EQ(matcher.Match("b", "", kLaterCall), ResponseMatch::kForeign);
  EXPECT_EQ(matcher.Match("b", "a", kLaterCall), ResponseMatch::kForeign);
  EXPECT_EQ(matcher.Match("b", "b", kLaterCall), ResponseMatch::kAnswer);
}

// Guards against a lost answer: a server that echoes identifiers only in
// successes refuses the first call of a connection.
TEST(ResponseMatchers, TakeAnyResponseToTheFirstCallOfAConnection) {
  ResponseMatcher matcher;
  EXPECT_EQ(matcher.Match("a", "a", kFirstCall), ResponseMatch::kAnswer);
  EXPECT_EQ(matcher.Match("b", "", kFirstCall), ResponseMatch::kLastAnswer);
  EXPECT_EQ(matcher.Match("c", "b", kFirstCall), ResponseMatch::kForeign);
}

// Guards against lost answers of servers that echo no identifiers at all.
TEST(ResponseMatchers, TakeResponsesOfAServerThatEchoesNothing) {
  ResponseMatcher matcher;
  EXPECT_EQ(matcher.Match("a", "", kFirstCall), ResponseMatch::kAnswer);
  EXPECT_EQ(matcher.Match("b", "", kLaterCall), ResponseMatch::kAnswer);
  EXPECT_EQ(matcher.Match("c", "", kLaterCall), ResponseMatch::kAnswer);
}

// Guards against refusals that are lost again and again: a server that omits
// identifiers in refusals gets each call on a connection of its own.
TEST(ResponseMatchers, EndReuseWhereASkippedResponseWasTheOnlyOne) {
  ResponseMatcher matcher;
  Instant now{std::chrono::seconds(100)};
  EXPECT_TRUE(matcher.AllowsReuse(now));
  EXPECT_EQ(matcher.Match("a", "a", kFirstCall), ResponseMatch::kAnswer);
  EXPECT_EQ(matcher.Match("b", "", kLaterCall), ResponseMatch::kForeign);
  EXPECT_TRUE(matcher.AllowsReuse(now));
  matcher.OnUnanswered(now);
  EXPECT_FALSE(matcher.AllowsReuse(now));
  EXPECT_EQ(matcher.Match("c", "", kFirstCall), ResponseMatch::kLastAnswer);
  now += std::chrono::seconds(61);
  EXPECT_TRUE(matcher.AllowsReuse(now));
}

}  // namespace
}  // namespace snipeworks
