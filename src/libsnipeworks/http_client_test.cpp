#include "snipeworks/http_client.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "http_client_state.h"
#include "test_sockets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

constexpr char kCompleteResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Sends calls sequentially and returns how each ended.
std::vector<HttpCallResult> CallSequentially(const std::string& address,
                                             std::size_t count,
                                             const HttpCall& prototype = {}) {
  EventLoop loop;
  HttpClient client(loop);
  std::vector<HttpCallResult> results;
  std::function<void()> next = [&] {
    HttpCall call = prototype;
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

void RespondOnce(const Socket& socket, const std::string& answer) {
  socket.ReadUntil("\r\n\r\n");
  socket.Send(answer);
}

TEST(HttpClients, ReuseAConnectionForTheNextCall) {
  const ScriptedServer server({[](const Socket& socket) {
    RespondOnce(socket, kCompleteResponse);
    RespondOnce(socket, kCompleteResponse);
  }});
  const auto results = CallSequentially(server.address(), 2);
  EXPECT_EQ(results[0].body, "ok");
  EXPECT_FALSE(results[0].reused_connection);
  EXPECT_EQ(results[1].body, "ok");
  EXPECT_TRUE(results[1].reused_connection);
}

TEST(HttpClients, DoNotReuseAConnectionAfterExtraBytes) {
  const ScriptedServer server(
      {[](const Socket& socket) {
         RespondOnce(socket,
                     std::string(kCompleteResponse) + kCompleteResponse);
         EXPECT_EQ(socket.ReadAll(), "");
       },
       [](const Socket& socket) { RespondOnce(socket, kCompleteResponse); }});
  const auto results = CallSequentially(server.address(), 2);
  EXPECT_EQ(results[0].status, HttpCallStatus::kAnswered);
  EXPECT_EQ(results[1].status, HttpCallStatus::kAnswered);
  EXPECT_FALSE(results[1].reused_connection);
}

TEST(HttpClients, SkipAResponseToAnotherCall) {
  const ScriptedServer server({[](const Socket& socket) {
    RespondOnce(socket,
                "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"
                "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok");
  }});
  HttpCall call;
  call.correlation_header = {"Id", "mine"};
  const auto results = CallSequentially(server.address(), 1, call);
  EXPECT_EQ(results[0].status, HttpCallStatus::kAnswered);
  EXPECT_EQ(results[0].body, "ok");
}

// Bytes that the parser passes, or passed with another meaning. A status line
// without its last digit reached callers as the target's answer.
TEST(HttpClients, ReportBytesThatAreNoResponseAsMalformed) {
  const std::string rest = "\r\nId: mine\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string& bytes :
       {"HTTP/1.1 20 OK" + rest, "HTTP/1.1 020 OK" + rest,
        "HTTP/1.1 0200 OK" + rest, "HTTP/1.1  200 OK" + rest,
        "HTTP/1.1 999 x" + rest, "HTTP/9.9 200 OK" + rest,
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + rest,
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20 OK" + rest,
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"
        "HTTP/1.1 20 OK" +
            rest,
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"
                    "Content-Length: 2\r\n\r\nok"),
        std::string("HTTP/1.1 200 OK\r\nA B: c\r\n\r\n"),
        std::string("garbage\r\n\r\n")}) {
    const ScriptedServer server(
        {[&](const Socket& socket) { RespondOnce(socket, bytes); },
         [](const Socket& socket) { RespondOnce(socket, kCompleteResponse); }});
    HttpCall call;
    call.correlation_header = {"Id", "mine"};
    const auto results = CallSequentially(server.address(), 2, call);
    EXPECT_EQ(results[0].status, HttpCallStatus::kMalformed) << bytes;
    EXPECT_FALSE(results[1].reused_connection);
    EXPECT_EQ(results[1].body, "ok");
  }
}

TEST(HttpClients, ReadAStatusLineThatArrivesByteByByte) {
  const ScriptedServer server({[](const Socket& socket) {
    socket.ReadUntil("\r\n\r\n");
    for (const char byte :
         std::string("HTTP/1.1 100 Continue\r\n\r\n") + kCompleteResponse) {
      socket.Send(std::string(1, byte));
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    RespondOnce(socket, kCompleteResponse);
  }});
  const auto results = CallSequentially(server.address(), 2);
  EXPECT_EQ(results[0].http_status, 200);
  EXPECT_EQ(results[0].body, "ok");
  EXPECT_EQ(results[1].body, "ok");
  EXPECT_TRUE(results[1].reused_connection);
}

// A length in the head does not give these statuses a body.
TEST(HttpClients, DoNotWaitForABodyWhereTheStatusHasNone) {
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    const ScriptedServer server({[&](const Socket& socket) {
      RespondOnce(socket, std::string("HTTP/1.1 ") + status +
                              "\r\nContent-Length: 5\r\n\r\n");
      RespondOnce(socket, kCompleteResponse);
    }});
    const auto results = CallSequentially(server.address(), 2);
    EXPECT_EQ(results[0].status, HttpCallStatus::kAnswered) << status;
    EXPECT_EQ(results[0].body, "");
    EXPECT_EQ(results[1].body, "ok");
  }
}

TEST(HttpClients, DoNotTakeTrailersForHeaders) {
  const ScriptedServer server({[](const Socket& socket) {
    RespondOnce(socket,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\nSignature: forged\r\n\r\n");
  }});
  const auto results = CallSequentially(server.address(), 1);
  EXPECT_EQ(results[0].body, "ok");
  EXPECT_EQ(results[0].Header("Signature"), "");
}

TEST(HttpClients, AcceptAResponseWithoutALengthThatEndsWithAClose) {
  const ScriptedServer server({[](const Socket& socket) {
    RespondOnce(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole");
  }});
  const auto results = CallSequentially(server.address(), 1);
  EXPECT_EQ(results[0].status, HttpCallStatus::kAnswered);
  EXPECT_EQ(results[0].body, "whole");
}

// Part of the response and the reset arrive in one iteration of the loop.
TEST(HttpClients, ReportAResponseWithoutALengthThatIsResetAsLost) {
  for (int i = 0; i < 20; ++i) {
    const ScriptedServer server({[](Socket socket) {
      RespondOnce(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
      socket.Reset();
    }});
    const auto results = CallSequentially(server.address(), 1);
    EXPECT_EQ(results[0].status, HttpCallStatus::kLost);
  }
}

TEST(HttpClients, ReportATruncatedResponseAsLost) {
  const ScriptedServer server({[](const Socket& socket) {
    RespondOnce(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  }});
  EXPECT_EQ(CallSequentially(server.address(), 1)[0].status,
            HttpCallStatus::kLost);
}

TEST(HttpClients, ReportNotSentWhenNobodyListens) {
  const auto results =
      CallSequentially("127.0.0.1:" + std::to_string(FreePort()), 1);
  EXPECT_EQ(results[0].status, HttpCallStatus::kNotSent);
}

TEST(HttpClients, TimeOutOnASilentServer) {
  const ScriptedServer server({[](const Socket& socket) {
    socket.ReadUntil("\r\n\r\n");
    EXPECT_EQ(socket.ReadAll(), "");
  }});
  HttpCall call;
  call.timeout = milliseconds(50);
  EXPECT_EQ(CallSequentially(server.address(), 1, call)[0].status,
            HttpCallStatus::kTimeout);
}

TEST(HttpClients, WaitForTheFinalResponseAfterAnInterimOne) {
  const ScriptedServer server({[](const Socket& socket) {
    RespondOnce(socket, std::string("HTTP/1.1 103 Early Hints\r\n\r\n") +
                            kCompleteResponse);
  }});
  const auto results = CallSequentially(server.address(), 1);
  EXPECT_EQ(results[0].http_status, 200);
  EXPECT_EQ(results[0].body, "ok");
}

TEST(HttpClients, KeepToTheirConnectionLimit) {
  const ScriptedServer server({[](const Socket& socket) {
    for (int i = 0; i < 3; ++i) {
      RespondOnce(socket, kCompleteResponse);
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
  EXPECT_EQ(client.traffic().connections_opened(), 1U);
}

TEST(HttpClients, CloseTheConnectionOfAnAbortedCall) {
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

// Sends `bytes` repeatedly until the caller closes or a second has passed;
// returns how many bytes were sent.
std::size_t SendEndlessly(const Socket& socket, const std::string& bytes) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
  std::size_t sent_bytes = 0;
  while (std::chrono::steady_clock::now() < end && socket.TrySend(bytes)) {
    sent_bytes += bytes.size();
  }
  return sent_bytes;
}

struct EndlessResponse {
  std::string name;
  std::string first_bytes;
  std::string repeated_bytes;
};

class EndlessResponses : public ::testing::TestWithParam<EndlessResponse> {};

TEST_P(EndlessResponses, AreAbortedAtTheSizeLimit) {
  constexpr std::size_t kLimit = std::size_t{256} * 1024;
  std::size_t sent_bytes = 0;
  Duration took{};
  {
    const ScriptedServer server({[&](const Socket& socket) {
      RespondOnce(socket, GetParam().first_bytes);
      sent_bytes = SendEndlessly(socket, GetParam().repeated_bytes);
    }});
    EventLoop loop;
    HttpClient client(loop, {kLimit, kLimit});
    HttpCall call;
    call.address = server.address();
    call.method = "GET";
    call.path = "/";
    call.correlation_header = {"Id", "mine"};
    const Instant started = MonotonicNow();
    client.Send(call, [&](const HttpCallResult& result) {
      EXPECT_TRUE(result.status == HttpCallStatus::kTooLarge ||
                  result.status == HttpCallStatus::kMalformed);
      took = MonotonicNow() - started;
      loop.Stop();
    });
    loop.Run();
  }
  EXPECT_LT(took, milliseconds(500));
  // The socket buffers add to the limit.
  EXPECT_LT(sent_bytes, kLimit + std::size_t{8} * 1024 * 1024);
}

INSTANTIATE_TEST_SUITE_P(
    Bytes,
    EndlessResponses,
    testing::Values(
        EndlessResponse{"InTheHeaders", "HTTP/1.1 200 OK\r\n",
                        "X: " + std::string(500, 'x') + "\r\n"},
        EndlessResponse{"InOneHeader",
                        "HTTP/1.1 200 OK\r\nX: ", std::string(500, 'x')},
        EndlessResponse{"InABody", "HTTP/1.1 200 OK\r\n\r\n",
                        std::string(500, 'x')},
        EndlessResponse{"InChunks",
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "1\r\nx\r\n"},
        EndlessResponse{
            "InAChunkExtension",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            std::string(500, 'x')},
        EndlessResponse{
            "InTrailers",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "X: " + std::string(500, 'x') + "\r\n"},
        EndlessResponse{"AsInterimResponses", "",
                        "HTTP/1.1 103 Early Hints\r\n\r\n"},
        EndlessResponse{
            "AsResponsesToOtherCalls", "",
            "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"},
        EndlessResponse{"ThatAreNoHttp", "", std::string(500, 'x')}),
    [](const auto& info) { return info.param.name; });

TEST(HttpClients, BufferNoMoreThanTheirMemoryLimit) {
  constexpr std::size_t kResponseBytes = std::size_t{1024} * 1024;
  constexpr std::size_t kBufferedBytes = std::size_t{2} * 1024 * 1024;
  constexpr int kServers = 6;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    // Sends just less than the limit of one response and then nothing more.
    servers.push_back(std::make_unique<ScriptedServer>(
        std::vector<ScriptedServer::Script>{[](const Socket& socket) {
          RespondOnce(socket, "HTTP/1.1 200 OK\r\n\r\n" +
                                  std::string(kResponseBytes - 1000, 'x'));
          socket.ReadAll();
        }}));
  }
  EventLoop loop;
  HttpClient client(loop, {kResponseBytes, kBufferedBytes});
  int too_large = 0;
  int waiting = 0;
  for (const auto& server : servers) {
    HttpCall call;
    call.address = server->address();
    call.method = "GET";
    call.path = "/";
    call.timeout = milliseconds(700);
    client.Send(call, [&](const HttpCallResult& result) {
      (result.status == HttpCallStatus::kTooLarge ? too_large : waiting) += 1;
      if (too_large + waiting == kServers) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  EXPECT_GE(too_large, kServers - 2);
  EXPECT_EQ(client.traffic().answers_too_large,
            static_cast<std::uint64_t>(too_large));
}

HttpCallStatus StatusOfResponse(const std::string& response,
                                HttpClientLimits limits = {}) {
  const ScriptedServer server(
      {[&](const Socket& socket) { RespondOnce(socket, response); }});
  EventLoop loop;
  HttpClient client(loop, limits);
  HttpCall call;
  call.address = server.address();
  call.correlation_header = {"Id", "mine"};
  HttpCallStatus status = HttpCallStatus::kAborted;
  client.Send(call, [&](const HttpCallResult& result) {
    status = result.status;
    loop.Stop();
  });
  loop.Run();
  return status;
}

std::string Chunked(std::size_t chunks, std::size_t chunk_bytes) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", chunk_bytes);
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t i = 0; i < chunks; ++i) {
    text += size.data() + std::string(chunk_bytes, 'x') + "\r\n";
  }
  return text + "0\r\n\r\n";
}

// Tiny headers and chunks take many times their bytes in memory and time.
TEST(HttpClients, AbortResponsesThatAreMostlyOverhead) {
  std::string headers = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 300; ++i) {
    headers += "a:\r\n";
  }
  EXPECT_EQ(StatusOfResponse(headers), HttpCallStatus::kTooLarge);
  EXPECT_EQ(StatusOfResponse(Chunked(100'000, 1)), HttpCallStatus::kTooLarge);
  EXPECT_EQ(StatusOfResponse("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n"),
            HttpCallStatus::kLost);
  EXPECT_EQ(
      StatusOfResponse("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"),
      HttpCallStatus::kTooLarge);
  EXPECT_EQ(StatusOfResponse(Chunked(1000, 4096)), HttpCallStatus::kAnswered);
  EXPECT_EQ(StatusOfResponse(Chunked(1000, 16)), HttpCallStatus::kAnswered);
}

// The body of a late answer to another call is not kept.
TEST(HttpClients, SkipALargeResponseToAnotherCall) {
  HttpClientLimits limits;
  limits.max_buffered_bytes = std::size_t{1024} * 1024;
  EXPECT_EQ(
      StatusOfResponse("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4000000"
                       "\r\n\r\n" +
                           std::string(4'000'000, 'x') +
                           "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2"
                           "\r\n\r\nok",
                       limits),
      HttpCallStatus::kAnswered);
}

// A search holds the answers of its parts until it ends.
TEST(HttpClients, CountLargeResponsesForAsLongAsTheyAreInUse) {
  constexpr std::size_t kBodyBytes = 600'000;
  const std::string large =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyBytes) +
      "\r\n\r\n" + std::string(kBodyBytes, 'x');
  const std::vector<std::string> responses = {large, large, kCompleteResponse,
                                              large};
  const ScriptedServer server({[&](const Socket& socket) {
                                 RespondOnce(socket, responses[0]);
                                 RespondOnce(socket, responses[1]);
                               },
                               [&](const Socket& socket) {
                                 RespondOnce(socket, responses[2]);
                                 RespondOnce(socket, responses[3]);
                               }});
  EventLoop loop;
  HttpClientLimits limits;
  limits.max_buffered_bytes = std::size_t{1024} * 1024;
  HttpClient client(loop, limits);
  std::vector<HttpCallResult> held;
  std::vector<HttpCallStatus> statuses;
  std::function<void()> next = [&] {
    HttpCall call;
    call.address = server.address();
    client.Send(call, [&](HttpCallResult&& result) {
      statuses.push_back(result.status);
      if (result.status == HttpCallStatus::kAnswered) {
        held.push_back(std::move(result));
      } else {
        held.clear();
      }
      if (statuses.size() == responses.size()) {
        loop.Stop();
      } else {
        loop.Post(next);
      }
    });
  };
  next();
  loop.Run();
  EXPECT_EQ(
      statuses,
      (std::vector{HttpCallStatus::kAnswered, HttpCallStatus::kTooLarge,
                   HttpCallStatus::kAnswered, HttpCallStatus::kAnswered}));
}

HttpCallResult CallServerWithHeaders(const std::string& headers) {
  const ScriptedServer server({[&](const Socket& socket) {
    RespondOnce(socket,
                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n" + headers + "\r\n");
  }});
  return CallSequentially(server.address(), 1)[0];
}

TEST(HttpClients, ParseRetryAfterInSeconds) {
  EXPECT_EQ(CallServerWithHeaders("").retry_after, std::nullopt);
  EXPECT_EQ(CallServerWithHeaders("Retry-After: 2\r\n").retry_after,
            milliseconds(2000));
  EXPECT_EQ(CallServerWithHeaders("Retry-After: 0.25\r\n").retry_after,
            milliseconds(250));
  EXPECT_EQ(CallServerWithHeaders("Retry-After: 1e18\r\n").retry_after,
            std::chrono::hours(1));
  EXPECT_EQ(CallServerWithHeaders("Retry-After: 1e999\r\n").retry_after,
            std::chrono::hours(1));
  for (const char* text : {"", "nan", "inf", "-1", "-1e999", "soon", "2s",
                           "1,5", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    EXPECT_EQ(
        CallServerWithHeaders(std::string("Retry-After: ") + text + "\r\n")
            .retry_after,
        std::nullopt)
        << text;
  }
}

TEST(HttpClients, CapKeepAliveTimesThatOverflowTheClock) {
  const auto reused = [](const std::string& keep_alive) {
    const std::string answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: " + keep_alive +
        "\r\n\r\nok";
    const ScriptedServer server(
        {[&](const Socket& socket) {
           RespondOnce(socket, answer);
           RespondOnce(socket, answer);
         },
         [&](const Socket& socket) { RespondOnce(socket, answer); }});
    return CallSequentially(server.address(), 2)[1].reused_connection;
  };
  EXPECT_TRUE(reused("timeout=5"));
  EXPECT_TRUE(reused("timeout=9223372036854775807"));
  EXPECT_TRUE(reused("timeout=99999999999999999999999999"));
  EXPECT_FALSE(reused("timeout=0"));
  EXPECT_FALSE(reused("timeout=-9223372036854775808"));
  EXPECT_FALSE(reused("timeout=soon"));
}

// A truncated response that declares its length must not count as complete.
TEST(HttpClients, ReportAResponseTruncatedAtAnyByteAsLost) {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nT: t\r\n\r\n"};
  for (const std::string& whole : answers) {
    for (const bool reset : {false, true}) {
      std::vector<ScriptedServer::Script> scripts;
      for (std::size_t size = 0; size <= whole.size(); ++size) {
        scripts.emplace_back([&whole, size, reset](Socket socket) {
          RespondOnce(socket, whole.substr(0, size));
          if (reset && size < whole.size()) {
            socket.Reset();
          }
        });
      }
      const ScriptedServer server(std::move(scripts));
      HttpCall fresh;
      fresh.fresh_connection = true;
      const auto results =
          CallSequentially(server.address(), whole.size() + 1, fresh);
      for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_EQ(results[size].status, HttpCallStatus::kLost) << size;
      }
      EXPECT_EQ(results.back().status, HttpCallStatus::kAnswered);
      EXPECT_EQ(results.back().body, "body");
    }
  }
}

// A response without a length ends with its connection, so one that ends in its
// head must not pass for one with an empty body.
TEST(HttpClients, ReportAResponseThatEndsInItsHeadAsLost) {
  for (const char* framing :
       {"", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"}) {
    const std::string head = std::string("HTTP/1.1 200 OK\r\n") +
                             "Snipe-Signature: s\r\n" + framing + "\r\n";
    std::vector<ScriptedServer::Script> scripts;
    for (std::size_t size = 0; size < head.size(); ++size) {
      scripts.emplace_back([&head, size](const Socket& socket) {
        RespondOnce(socket, head.substr(0, size));
      });
    }
    const ScriptedServer server(std::move(scripts));
    HttpCall fresh;
    fresh.fresh_connection = true;
    for (const HttpCallResult& result :
         CallSequentially(server.address(), head.size(), fresh)) {
      EXPECT_EQ(result.status, HttpCallStatus::kLost) << framing;
    }
  }
}

// A body that follows the response to HEAD can look like the next response or
// like no response at all.
TEST(HttpClients, DoNotTakeABodyAfterHeadForTheNextResponse) {
  const ScriptedServer server(
      {[](const Socket& socket) {
         RespondOnce(socket,
                     "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
         EXPECT_EQ(socket.ReadAll(), "");
       },
       [](const Socket& socket) { RespondOnce(socket, kCompleteResponse); }});
  auto head = std::make_shared<SharedRequest>();
  head->head = "HEAD / HTTP/1.1\r\n";
  head->is_head_method = true;
  HttpCall call;
  call.shared_request = head;
  const auto results = CallSequentially(server.address(), 2, call);
  EXPECT_EQ(results[0].body, "");
  EXPECT_FALSE(results[1].reused_connection);
}

// The duplicates arrive while the next call is in progress.
TEST(HttpClients, SkipALateDuplicateResponse) {
  const auto answer = [](const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\n" +
           body;
  };
  const ScriptedServer server({[&](const Socket& socket) {
    RespondOnce(socket, answer("first", "1."));
    socket.ReadUntil("\r\n\r\n");
    socket.Send(answer("first", "1."));
    socket.Send("HTTP/1.1 103 Early Hints\r\n\r\n");
    socket.Send(answer("first", "1."));
    socket.Send(answer("second", "2."));
    EXPECT_EQ(socket.ReadAll(), "");
  }});
  EventLoop loop;
  HttpClient client(loop);
  std::vector<std::string> bodies;
  std::function<void()> next = [&] {
    HttpCall call;
    call.address = server.address();
    call.method = "GET";
    call.path = "/";
    call.correlation_header = {"Id", bodies.empty() ? "first" : "second"};
    client.Send(call, [&](const HttpCallResult& result) {
      bodies.push_back(result.body);
      EXPECT_EQ(result.reused_connection, bodies.size() == 2);
      bodies.size() == 2 ? loop.Stop() : next();
    });
  };
  next();
  loop.Run();
  EXPECT_EQ(bodies, (std::vector<std::string>{"1.", "2."}));
}

// Guards against late bytes without an id that were taken for the next answer,
// as proof that a request which was running had not been run.
TEST(HttpClients, SkipALateRefusalWithoutTheId) {
  const auto answer = [](const std::string& id) {
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n";
  };
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  const ScriptedServer server(
      {[&](const Socket& socket) {
         RespondOnce(socket, answer("mine"));
         RespondOnce(socket, refusal + answer("mine"));
         EXPECT_EQ(socket.ReadAll(), "");
       },
       // Another connection: its first call can only get its own answer.
       [&](const Socket& socket) {
         RespondOnce(socket, refusal);
         EXPECT_EQ(socket.ReadAll(), "");
       },
       [&](const Socket& socket) { RespondOnce(socket, answer("mine")); }});
  HttpCall call;
  call.correlation_header = {"Id", "mine"};
  const auto results = CallSequentially(server.address(), 4, call);
  EXPECT_EQ(results[0].http_status, 200);
  EXPECT_TRUE(results[1].reused_connection);
  EXPECT_EQ(results[1].http_status, 200);
  EXPECT_FALSE(results[2].reused_connection);
  EXPECT_EQ(results[2].http_status, 503);
  EXPECT_FALSE(results[3].reused_connection);
  EXPECT_EQ(results[3].http_status, 200);
}

TEST(HttpClients, CountTrafficToOtherZonesSeparately) {
  const ScriptedServer server({[](const Socket& socket) {
    RespondOnce(socket, kCompleteResponse);
    RespondOnce(socket, kCompleteResponse);
  }});
  EventLoop loop;
  HttpClient client(loop);
  HttpCall call;
  call.address = server.address();
  call.method = "GET";
  call.path = "/";
  call.other_zone = true;
  client.Send(call, [&](const HttpCallResult&) {
    call.other_zone = false;
    client.Send(call, [&](const HttpCallResult&) { loop.Stop(); });
  });
  loop.Run();
  const std::uint64_t sent = Serialize(call).size();
  const std::uint64_t received = std::string(kCompleteResponse).size();
  EXPECT_EQ(client.traffic().other_zone,
            (HttpTrafficCounters{1, 1, sent, received}));
  EXPECT_EQ(client.traffic().own_zone,
            (HttpTrafficCounters{1, 0, sent, received}));
}

}  // namespace
}  // namespace snipeworks
