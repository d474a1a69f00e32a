#include "snipeworks/http_client.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "test_sockets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

constexpr char kWholeAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Sends calls one after the other and returns how each ended.
std::vector<HttpCallResult> CallInTurn(const std::string& address,
                                       std::size_t count,
                                       const HttpCall& like = {}) {
  EventLoop loop;
  HttpClient client(loop);
  std::vector<HttpCallResult> results;
  std::function<void()> next = [&] {
    HttpCall call = like;
    call.address = address;
    call.method = "GET";
    call.path = "/" + std::to_string(results.size());
    client.Send(call, [&](const HttpCallResult& result) {
      results.push_back(result);
      if (results.size() == count) {
        loop.Stop();
      } else {
        loop.After(milliseconds(20), next);
      }
    });
  };
  next();
  loop.Run();
  return results;
}

void AnswerOnce(const Socket& socket, const std::string& answer) {
  socket.ReadUntil("\r\n\r\n");
  socket.Send(answer);
}

TEST(HttpClients, KeepAConnectionForTheNextCall) {
  const ScriptedServer server({[](const Socket& socket) {
    AnswerOnce(socket, kWholeAnswer);
    AnswerOnce(socket, kWholeAnswer);
  }});
  const auto results = CallInTurn(server.address(), 2);
  EXPECT_EQ(results[0].body, "ok");
  EXPECT_FALSE(results[0].reused_connection);
  EXPECT_EQ(results[1].body, "ok");
  EXPECT_TRUE(results[1].reused_connection);
}

TEST(HttpClients, NeverUseAConnectionAgainAfterExtraBytes) {
  const ScriptedServer server(
      {[](const Socket& socket) {
         AnswerOnce(socket, std::string(kWholeAnswer) + kWholeAnswer);
         EXPECT_EQ(socket.ReadAll(), "");
       },
       [](const Socket& socket) { AnswerOnce(socket, kWholeAnswer); }});
  const auto results = CallInTurn(server.address(), 2);
  EXPECT_EQ(results[0].status, HttpCallStatus::kAnswered);
  EXPECT_EQ(results[1].status, HttpCallStatus::kAnswered);
  EXPECT_FALSE(results[1].reused_connection);
}

TEST(HttpClients, PassOverAnAnswerToAnotherCall) {
  const ScriptedServer server({[](const Socket& socket) {
    AnswerOnce(socket,
               "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"
               "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok");
  }});
  HttpCall call;
  call.echo = {"Id", "mine"};
  const auto results = CallInTurn(server.address(), 1, call);
  EXPECT_EQ(results[0].status, HttpCallStatus::kAnswered);
  EXPECT_EQ(results[0].body, "ok");
}

TEST(HttpClients, TakeAnAnswerWithoutALengthThatEndsInOrder) {
  const ScriptedServer server({[](const Socket& socket) {
    AnswerOnce(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
  }});
  const auto results = CallInTurn(server.address(), 1);
  EXPECT_EQ(results[0].status, HttpCallStatus::kAnswered);
  EXPECT_EQ(results[0].body, "whole");
}

// Part of the answer and the reset arrive in one turn of the loop.
TEST(HttpClients, LoseAnAnswerWithoutALengthThatIsReset) {
  for (int i = 0; i < 20; ++i) {
    const ScriptedServer server({[](Socket socket) {
      AnswerOnce(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
      socket.Reset();
    }});
    const auto results = CallInTurn(server.address(), 1);
    EXPECT_EQ(results[0].status, HttpCallStatus::kLost);
  }
}

TEST(HttpClients, LoseAnAnswerThatIsCutShort) {
  const ScriptedServer server({[](const Socket& socket) {
    AnswerOnce(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  }});
  EXPECT_EQ(CallInTurn(server.address(), 1)[0].status, HttpCallStatus::kLost);
}

TEST(HttpClients, SayThatNothingWasSentWhereNobodyListens) {
  const auto results = CallInTurn("127.0.0.1:" + std::to_string(FreePort()), 1);
  EXPECT_EQ(results[0].status, HttpCallStatus::kNotSent);
}

TEST(HttpClients, GiveUpASilentServer) {
  const ScriptedServer server({[](const Socket& socket) {
    socket.ReadUntil("\r\n\r\n");
    EXPECT_EQ(socket.ReadAll(), "");
  }});
  HttpCall call;
  call.timeout = milliseconds(50);
  EXPECT_EQ(CallInTurn(server.address(), 1, call)[0].status,
            HttpCallStatus::kTimeout);
}

TEST(HttpClients, WaitForTheAnswerBehindAnInterimOne) {
  const ScriptedServer server({[](const Socket& socket) {
    AnswerOnce(socket,
               std::string("HTTP/1.1 103 Early Hints\r\n\r\n") + kWholeAnswer);
  }});
  const auto results = CallInTurn(server.address(), 1);
  EXPECT_EQ(results[0].http_status, 200);
  EXPECT_EQ(results[0].body, "ok");
}

TEST(HttpClients, KeepToTheirLimitOfConnections) {
  const ScriptedServer server({[](const Socket& socket) {
    for (int i = 0; i < 3; ++i) {
      AnswerOnce(socket, kWholeAnswer);
    }
  }});
  EventLoop loop;
  HttpClient client(loop);
  client.SetConnectionLimit(server.address(), 1);
  int answered = 0;
  for (int i = 0; i < 3; ++i) {
    HttpCall call;
    call.address = server.address();
    call.method = "GET";
    call.path = "/";
    client.Send(call, [&](const HttpCallResult& result) {
      EXPECT_EQ(result.status, HttpCallStatus::kAnswered);
      if (++answered == 3) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  EXPECT_EQ(client.traffic().connections_opened, 1U);
}

TEST(HttpClients, CloseTheConnectionOfACallThatIsGivenUp) {
  std::string rest = "?";
  {
    const ScriptedServer server({[&](const Socket& socket) {
      socket.ReadUntil("\r\n\r\n");
      rest = socket.ReadAll();
    }});
    EventLoop loop;
    HttpClient client(loop);
    HttpCall call;
    call.address = server.address();
    call.method = "GET";
    call.path = "/";
    const HttpCallId id = client.Send(call, [&](const HttpCallResult& result) {
      EXPECT_EQ(result.status, HttpCallStatus::kAborted);
      loop.Stop();
    });
    loop.After(milliseconds(30), [&] { client.Abort(id); });
    loop.Run();
  }
  EXPECT_EQ(rest, "");
}

}  // namespace
}  // namespace snipeworks
