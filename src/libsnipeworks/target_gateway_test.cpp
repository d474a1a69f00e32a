#include "snipeworks/target_gateway.h"

#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "test_sockets_test.h"

namespace snipeworks {
namespace {

// Sends one attempt to `address` and returns its outcome.
AttemptStatus RunAttempt(const std::string& address) {
  EventLoop loop;
  SpanWriter spans("", "test");
  Random random(1);
  std::optional<AttemptStatus> status;
  TargetGateway gateway(
      loop, "entry-1", spans, random,
      [&](AttemptId, const AttemptOutcome& outcome) {
        status = outcome.status;
        loop.Stop();
      },
      [](AttemptId, ProbeState) {});
  AttemptCommand command;
  command.id = 1;
  command.target = "t1";
  command.incarnation = 7;
  command.address = address;
  command.group = "lots";
  command.query = std::make_shared<const std::string>("query");
  command.budget = std::chrono::seconds(1);
  gateway.Start(command);
  loop.Run();
  return status.value_or(AttemptStatus::kAnswered);
}

void ReadAndReset(Socket socket) {
  socket.ReadUntil("\r\n\r\n");
  socket.Reset();
}

std::string ProbeAnswerOf(int incarnation) {
  const std::string body = R"({"state":"unknown","incarnation":)" +
                           std::to_string(incarnation) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TEST(TargetLosses, AreNotReportedForALostConnection) {
  const ScriptedServer server({ReadAndReset, [](const Socket& socket) {
                                 socket.ReadUntil("\r\n\r\n");
                                 socket.Send(ProbeAnswerOf(7));
                               }});
  EXPECT_EQ(RunAttempt(server.address()), AttemptStatus::kSilent);
}

TEST(TargetLosses, AreDetectedByAnotherIncarnation) {
  const ScriptedServer server({ReadAndReset, [](const Socket& socket) {
                                 socket.ReadUntil("\r\n\r\n");
                                 socket.Send(ProbeAnswerOf(8));
                               }});
  EXPECT_EQ(RunAttempt(server.address()), AttemptStatus::kLost);
}

TEST(TargetLosses, AreNotReportedWhenTheSecondProbeIsAnswered) {
  const ScriptedServer server(
      {ReadAndReset, ReadAndReset, [](const Socket& socket) {
         socket.ReadUntil("\r\n\r\n");
         socket.Send(ProbeAnswerOf(7));
       }});
  EXPECT_EQ(RunAttempt(server.address()), AttemptStatus::kSilent);
}

// A process that exits closes its sockets one after the other: for a moment its
// listener still accepts connections and resets them.
TEST(TargetLosses, AreDetectedWhileTheTargetClosesItsSockets) {
  const ScriptedServer server({ReadAndReset, ReadAndReset},
                              ScriptedServer::AfterLastScript::kStopListening);
  EXPECT_EQ(RunAttempt(server.address()), AttemptStatus::kLost);
}

}  // namespace
}  // namespace snipeworks
