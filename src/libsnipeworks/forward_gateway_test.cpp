#include "snipeworks/forward_gateway.h"

#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "test_sockets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HttpCallResult AnsweredCall(int status, std::vector<HttpHeader> headers) {
  HttpCallResult result;
  result.status = HttpCallStatus::kAnswered;
  result.http_status = status;
  result.headers = std::move(headers);
  return result;
}

TEST(ForwardOutcomes, ReadTheLeavingHeaderWithAnyStatus) {
  const ForwardNames names;
  for (int status : {200, 404, 500, 503}) {
    EXPECT_TRUE(ForwardOutcomeOf(AnsweredCall(status, {{"Snipe-Signature", "s"},
                                                       {"Snipe-Leaving", "1"}}),
                                 names)
                    .draining)
        << status;
  }
  for (const char* value : {"0", "", "soon"}) {
    EXPECT_FALSE(
        ForwardOutcomeOf(AnsweredCall(200, {{"Snipe-Leaving", value}}), names)
            .draining)
        << value;
  }
}

TEST(ForwardOutcomes, ReadTheLimitOfRequestsWithAnyStatus) {
  const ForwardNames names;
  const auto limit_of = [&](int status, std::vector<HttpHeader> headers) {
    return ForwardOutcomeOf(AnsweredCall(status, std::move(headers)), names)
        .stated_limit;
  };
  for (int status : {200, 404, 500, 503}) {
    EXPECT_EQ(limit_of(status, {{"Snipe-Request-Limit", "27.5"}}),
              StatedLimit{27.5})
        << status;
  }
  EXPECT_EQ(
      limit_of(503, {{"Snipe-Not-Run", "1"}, {"snipe-request-limit", "0"}}),
      StatedLimit{0.0});
  EXPECT_EQ(limit_of(200, {}), StatedLimit{});
  EXPECT_EQ(limit_of(200, {{"Snipe-Request-Limit", "9"},
                           {"Snipe-Request-Limit", "0.25"},
                           {"Snipe-Request-Limit", "many"}}),
            StatedLimit{0.25});
  for (const char* value : {"", "-1", "nan", "inf", "many", "3 4", "0x10"}) {
    EXPECT_EQ(limit_of(200, {{"Snipe-Request-Limit", value}}), std::nullopt)
        << value;
  }
  // Another target answered.
  EXPECT_EQ(limit_of(421, {{"Snipe-Request-Limit", "3"}}), std::nullopt);
}

// Guards against a page of another server, at an address that was reported as a
// target's, that callers got as the answer of the target.
TEST(ForwardOutcomes, PassOnNoAnswerWithoutASignature) {
  const ForwardNames names;
  for (int status : {200, 301, 404, 429, 500, 503}) {
    const AttemptOutcome unsigned_answer =
        ForwardOutcomeOf(AnsweredCall(status, {}), names);
    EXPECT_EQ(unsigned_answer.status, AttemptStatus::kFailed) << status;
    EXPECT_EQ(unsigned_answer.answer, nullptr) << status;
    EXPECT_NE(ForwardOutcomeOf(AnsweredCall(status, {{"Snipe-Signature", "s"}}),
                               names)
                  .answer,
              nullptr)
        << status;
  }
  EXPECT_EQ(ForwardOutcomeOf(AnsweredCall(404, {{"Snipe-Not-Run", "1"}}), names)
                .status,
            AttemptStatus::kShed);
}

TEST(ForwardOutcomes, KeepRetryAfterWithoutProofOfNoRun) {
  const ForwardNames names;
  HttpCallResult refused = AnsweredCall(503, {});
  refused.retry_after = seconds(2);
  AttemptOutcome outcome = ForwardOutcomeOf(refused, names);
  EXPECT_EQ(outcome.status, AttemptStatus::kFailed);
  EXPECT_EQ(outcome.retry_after, seconds(2));
  refused.headers = {{"Snipe-Not-Run", "1"}};
  outcome = ForwardOutcomeOf(refused, names);
  EXPECT_EQ(outcome.status, AttemptStatus::kShed);
  EXPECT_EQ(outcome.retry_after, seconds(2));
}

/// Sends one attempt to a target that closes the first connection without an
/// answer, and returns its outcome. `later_scripts` serve the connections after
/// that.
AttemptStatus OutcomeOfLostConnection(
    ScriptedServer::AfterLastScript after_last_script,
    const std::vector<ScriptedServer::Script>& later_scripts = {},
    bool cancelled = false) {
  const ForwardNames names;
  std::vector<ScriptedServer::Script> scripts = {
      [](const Socket& socket) { socket.ReadUntil("\r\n\r\n"); }};
  scripts.insert(scripts.end(), later_scripts.begin(), later_scripts.end());
  const ScriptedServer server(scripts, after_last_script);
  EventLoop loop;
  AttemptStatus final_status = AttemptStatus::kAnswered;
  ForwardGateway gateway(loop, names,
                         [&](AttemptId, const AttemptOutcome& outcome) {
                           final_status = outcome.status;
                           loop.Stop();
                         });
  auto message = std::make_shared<SharedRequest>();
  message->head = "GET / HTTP/1.1\r\n";
  auto request = std::make_shared<ForwardedRequest>();
  request->message = message;
  AttemptCommand command;
  command.id = 1;
  command.target = "t1";
  command.address = server.address();
  command.budget = seconds(5);
  command.forwarded = request;
  gateway.Start(command);
  if (cancelled) {
    loop.Every(milliseconds(1), [&] { gateway.Cancel(1); });
  }
  loop.Run();
  return final_status;
}

TEST(ForwardGateways, DistinguishExitedTargetsFromLostConnections) {
  using AfterLastScript = ScriptedServer::AfterLastScript;
  const auto close_at_once = [](const Socket&) {};
  EXPECT_EQ(OutcomeOfLostConnection(AfterLastScript::kStopListening),
            AttemptStatus::kLost);
  EXPECT_EQ(OutcomeOfLostConnection(AfterLastScript::kKeepListening),
            AttemptStatus::kFailed);
  // A process that exits may close its listener after some connections.
  EXPECT_EQ(
      OutcomeOfLostConnection(AfterLastScript::kStopListening, {close_at_once}),
      AttemptStatus::kLost);
  // A live target that is at its connection limit closes every new one.
  EXPECT_EQ(
      OutcomeOfLostConnection(AfterLastScript::kKeepListening,
                              {close_at_once, close_at_once, close_at_once,
                               close_at_once, close_at_once}),
      AttemptStatus::kFailed);
}

// Load pattern: targets that send endless bytes which are no answer. Each call
// must not cause a second connection to check the target.
TEST(ForwardOutcomes, TreatMalformedBytesAsFailureNotLoss) {
  HttpCallResult result;
  result.status = HttpCallStatus::kLost;
  EXPECT_EQ(ForwardOutcomeOf(result, {}).status, AttemptStatus::kLost);
  result.status = HttpCallStatus::kMalformed;
  EXPECT_EQ(ForwardOutcomeOf(result, {}).status, AttemptStatus::kFailed);
}

TEST(ForwardGateways, CancelDuringLossVerification) {
  EXPECT_EQ(OutcomeOfLostConnection(
                ScriptedServer::AfterLastScript::kKeepListening, {}, true),
            AttemptStatus::kCancelled);
}

// The only connection is in use, so the second attempt has not been sent.
TEST(ForwardGateways, CancelAttemptsThatWaitForAConnection) {
  const ForwardNames names;
  int read = 0;
  {
    const ScriptedServer server({[&](const Socket& socket) {
      while (!socket.ReadUntil("\r\n\r\n").empty()) {
        ++read;
      }
    }});
    EventLoop loop;
    std::vector<std::pair<AttemptId, AttemptStatus>> outcomes;
    ForwardGateway gateway(loop, names,
                           [&](AttemptId id, const AttemptOutcome& outcome) {
                             outcomes.emplace_back(id, outcome.status);
                             if (outcomes.size() == 2) {
                               loop.Stop();
                             }
                           });
    gateway.SetMaxConnections(server.address(), 1);
    auto message = std::make_shared<SharedRequest>();
    message->head = "GET / HTTP/1.1\r\n";
    auto request = std::make_shared<ForwardedRequest>();
    request->message = message;
    for (AttemptId id : {AttemptId{1}, AttemptId{2}}) {
      AttemptCommand command;
      command.id = id;
      command.target = "t1";
      command.address = server.address();
      command.budget = seconds(5);
      command.forwarded = request;
      gateway.Start(command);
    }
    loop.After(milliseconds(30), [&] { gateway.CancelUnsent("t1"); });
    loop.After(milliseconds(60), [&] { gateway.Cancel(1); });
    loop.Run();
    EXPECT_EQ(outcomes, (std::vector<std::pair<AttemptId, AttemptStatus>>{
                            {2, AttemptStatus::kNotSent},
                            {1, AttemptStatus::kCancelled}}));
  }
  EXPECT_EQ(read, 1);
}

}  // namespace
}  // namespace snipeworks
