#include "snipeworks/request_relay.h"

#include <string>

#include <gtest/gtest.h>

#include "test_sockets_test.h"

namespace snipeworks {
namespace {

RelayOutcome OutcomeOfReply(const RelayReply& reply) {
  const std::string body = Encode(reply);
  const ScriptedServer server({[&](const Socket& socket) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
  }});
  EventLoop loop;
  RequestRelay relay(loop, RelaySelector("zone", 1));
  relay.selector().SetHosts({{"other", "zone", server.address()}});
  RelayOutcome result;
  relay.Send("", std::chrono::seconds(2), true,
             [&](const RelayOutcome& outcome) {
               result = outcome;
               loop.Stop();
             });
  loop.Run();
  return result;
}

// A host of an earlier version takes a status of two digits for an answer.
TEST(RequestRelays, PassOnNoStatusThatIsNone) {
  RelayReply reply;
  reply.accepted = true;
  for (const int status : {0, 2, 20, 100, 101, 199, 600, 999}) {
    reply.status = static_cast<std::uint16_t>(status);
    EXPECT_EQ(OutcomeOfReply(reply).status, RelayStatus::kUnknown) << status;
  }
  reply.status = 404;
  const RelayOutcome outcome = OutcomeOfReply(reply);
  EXPECT_EQ(outcome.status, RelayStatus::kAnswered);
  EXPECT_EQ(outcome.reply.status, 404);
}

}  // namespace
}  // namespace snipeworks
