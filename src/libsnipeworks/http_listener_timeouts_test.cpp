#include "http_listener_timeouts.h"

#include <chrono>

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ListenerLimits Limits() {
  ListenerLimits limits;
  limits.header_timeout = seconds(3);
  limits.idle_timeout = seconds(15);
  limits.stall_timeout = seconds(10);
  limits.request_timeout = seconds(30);
  return limits;
}

TimeoutAction ActionFor(ConnectionPhase phase, Duration age, Duration silence) {
  return TimeoutActionFor(phase, age, silence, Limits());
}

// The limits that clients are told of.
TEST(ClientTimeouts, LeaveLegalClientsAlone) {
  EXPECT_EQ(ActionFor(ConnectionPhase::kIdle, seconds(15), seconds(15)),
            TimeoutAction::kNone);
  EXPECT_EQ(ActionFor(ConnectionPhase::kHead, seconds(3), seconds(3)),
            TimeoutAction::kNone);
  EXPECT_EQ(ActionFor(ConnectionPhase::kBody, seconds(30), seconds(9)),
            TimeoutAction::kNone);
  EXPECT_EQ(ActionFor(ConnectionPhase::kSending, seconds(30), seconds(9)),
            TimeoutAction::kNone);
}

TEST(ClientTimeouts, RefuseWhatWasNotReadToItsEnd) {
  EXPECT_EQ(ActionFor(ConnectionPhase::kHead, milliseconds(3001), {}),
            TimeoutAction::kRefuse);
  EXPECT_EQ(ActionFor(ConnectionPhase::kBody, seconds(11), seconds(11)),
            TimeoutAction::kRefuse);
  EXPECT_EQ(ActionFor(ConnectionPhase::kBody, seconds(31), {}),
            TimeoutAction::kRefuse);
}

TEST(ClientTimeouts, CloseWhatIsIdleOrNotRead) {
  EXPECT_EQ(ActionFor(ConnectionPhase::kIdle, seconds(16), {}),
            TimeoutAction::kClose);
  EXPECT_EQ(ActionFor(ConnectionPhase::kSending, seconds(11), seconds(11)),
            TimeoutAction::kClose);
  EXPECT_EQ(ActionFor(ConnectionPhase::kLastBytes, seconds(31), {}),
            TimeoutAction::kClose);
  EXPECT_EQ(ActionFor(ConnectionPhase::kLingering, seconds(2), {}),
            TimeoutAction::kClose);
}

TEST(ClientTimeouts, NeverEndARequestThatRuns) {
  EXPECT_EQ(ActionFor(ConnectionPhase::kRunning, seconds(300), seconds(300)),
            TimeoutAction::kNone);
}

}  // namespace
}  // namespace snipeworks
