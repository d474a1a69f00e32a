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

HttpCallResult Answered(int status, std::vector<HttpHeader> headers) {
  HttpCallResult result;
  result.status = HttpCallStatus::kAnswered;
  result.http_status = status;
  result.headers = std::move(headers);
  return result;
}

TEST(ForwardOutcomes, TellThatATargetLeavesWhateverItAnswers) {
  const ForwardNames names;
  for (int status : {200, 404, 500, 503}) {
    EXPECT_TRUE(ForwardOutcomeOf(Answered(status, {{"Snipe-Signature", "s"},
                                                   {"Snipe-Leaving", "1"}}),
                                 names)
                    .leaving)
        << status;
  }
  for (const char* other : {"0", "", "soon"}) {
    EXPECT_FALSE(
        ForwardOutcomeOf(Answered(200, {{"Snipe-Leaving", other}}), names)
            .leaving)
        << other;
  }
}

TEST(ForwardOutcomes, TakeTheTimeToComeBackAlsoWithoutAProof) {
  const ForwardNames names;
  HttpCallResult refused = Answered(503, {});
  refused.retry_after = seconds(2);
  AttemptOutcome outcome = ForwardOutcomeOf(refused, names);
  EXPECT_EQ(outcome.status, AttemptStatus::kFailed);
  EXPECT_EQ(outcome.retry_after, seconds(2));
  refused.headers = {{"Snipe-Not-Run", "1"}};
  outcome = ForwardOutcomeOf(refused, names);
  EXPECT_EQ(outcome.status, AttemptStatus::kShed);
  EXPECT_EQ(outcome.retry_after, seconds(2));
}

/// Sends one attempt to a target whose first connection breaks without an
/// answer, and returns how it ended. `more` is what becomes of the next ones.
AttemptStatus EndOfABrokenAttempt(
    ScriptedServer::AfterLastScript afterwards,
    const std::vector<ScriptedServer::Script>& more = {},
    bool cancelled = false) {
  const ForwardNames names;
  std::vector<ScriptedServer::Script> scripts = {
      [](const Socket& socket) { socket.ReadUntil("\r\n\r\n"); }};
  scripts.insert(scripts.end(), more.begin(), more.end());
  const ScriptedServer server(scripts, afterwards);
  EventLoop loop;
  AttemptStatus ended = AttemptStatus::kAnswered;
  ForwardGateway gateway(loop, names,
                         [&](AttemptId, const AttemptOutcome& outcome) {
                           ended = outcome.status;
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
  return ended;
}

TEST(ForwardGateways, TellATargetThatHasEndedFromABrokenConnection) {
  using AfterLastScript = ScriptedServer::AfterLastScript;
  const auto close_at_once = [](const Socket&) {};
  EXPECT_EQ(EndOfABrokenAttempt(AfterLastScript::kStopListening),
            AttemptStatus::kLost);
  EXPECT_EQ(EndOfABrokenAttempt(AfterLastScript::kKeepListening),
            AttemptStatus::kFailed);
  // A process that ends closes its listener after some of its connections.
  EXPECT_EQ(
      EndOfABrokenAttempt(AfterLastScript::kStopListening, {close_at_once}),
      AttemptStatus::kLost);
  // One that has all the connections that it takes is there.
  EXPECT_EQ(EndOfABrokenAttempt(AfterLastScript::kKeepListening,
                                {close_at_once, close_at_once, close_at_once,
                                 close_at_once, close_at_once}),
            AttemptStatus::kFailed);
}

// Load pattern: targets that send bytes without end get no second connection
// for each of them.
TEST(ForwardOutcomes, AskNobodyWhoHasJustSentBytesWhetherItIsThere) {
  HttpCallResult result;
  result.status = HttpCallStatus::kLost;
  EXPECT_EQ(ForwardOutcomeOf(result, {}).status, AttemptStatus::kLost);
  result.malformed = true;
  EXPECT_EQ(ForwardOutcomeOf(result, {}).status, AttemptStatus::kFailed);
}

TEST(ForwardGateways, AreNotHeldUpByTheQuestionWhenTheAttemptIsCancelled) {
  EXPECT_EQ(EndOfABrokenAttempt(ScriptedServer::AfterLastScript::kKeepListening,
                                {}, true),
            AttemptStatus::kCancelled);
}

// The only connection is taken; what waits for it has not been sent.
TEST(ForwardGateways, WithdrawWhatWaitsForAConnection) {
  const ForwardNames names;
  int read = 0;
  {
    const ScriptedServer server({[&](const Socket& socket) {
      while (!socket.ReadUntil("\r\n\r\n").empty()) {
        ++read;
      }
    }});
    EventLoop loop;
    std::vector<std::pair<AttemptId, AttemptStatus>> ended;
    ForwardGateway gateway(loop, names,
                           [&](AttemptId id, const AttemptOutcome& outcome) {
                             ended.emplace_back(id, outcome.status);
                             if (ended.size() == 2) {
                               loop.Stop();
                             }
                           });
    gateway.SetShare(server.address(), 1);
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
    loop.After(milliseconds(30), [&] { gateway.Withdraw("t1"); });
    loop.After(milliseconds(60), [&] { gateway.Cancel(1); });
    loop.Run();
    EXPECT_EQ(ended, (std::vector<std::pair<AttemptId, AttemptStatus>>{
                         {2, AttemptStatus::kNotSent},
                         {1, AttemptStatus::kCancelled}}));
  }
  EXPECT_EQ(read, 1);
}

}  // namespace
}  // namespace snipeworks
