#include "snipeworks/http_listener.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "test_sockets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

// Runs a listener that responds with `response` on a loop in this thread, and
// `caller` in another thread; the loop stops when `caller` returns.
class ListenerFixture : public ::testing::Test {
 protected:
  // As in the programs, a write to a closed connection must fail only.
  ListenerFixture() { std::signal(SIGPIPE, SIG_IGN); }

  void RunWithCaller(const ListenerLimits& limits,
                     const std::function<void(std::uint16_t port)>& caller) {
    EventLoop loop;
    post_task = [&loop](EventLoop::Task task) { loop.Post(std::move(task)); };
    const std::uint16_t port = FreePort();
    ClientLimiter clients(loop, client_limits);
    auto started = HttpListener::Start(
        loop, {"127.0.0.1", port}, limits,
        {[&](ExchangeId id, HttpRequest request) {
           targets.push_back(request.target);
           requests.push_back(std::move(request));
           if (hold_responses) {
             held_exchanges.push_back(id);
             return;
           }
           listener->SendResponse(id, response);
         },
         [&](ExchangeId id) { disconnected.push_back(id); },
         [&](const HttpRequest&) { return needed_body_bytes; }},
        &clients);
    ASSERT_TRUE(started) << started.error().detail;
    listener = std::move(*started);
    std::thread thread([&] {
      caller(port);
      loop.Post([&] {
        listener.reset();
        loop.Stop();
      });
    });
    loop.Run();
    thread.join();
  }

  // Runs `task` on the listener's loop.
  void Post(EventLoop::Task task) { post_task(std::move(task)); }

  std::function<void(EventLoop::Task)> post_task;
  std::unique_ptr<HttpListener> listener;
  HttpResponse response{200, "text/plain", "hello"};
  bool hold_responses = false;
  ClientLimits client_limits;
  std::size_t needed_body_bytes = std::numeric_limits<std::size_t>::max();
  std::vector<ExchangeId> held_exchanges;
  std::vector<ExchangeId> disconnected;
  std::vector<std::string> targets;
  std::vector<HttpRequest> requests;
};

class Listeners : public ListenerFixture {};

TEST_F(Listeners, AnswerSequentialRequests) {
  RunWithCaller({}, [](std::uint16_t port) {
    Socket caller(port);
    caller.Send("GET /a?x=1 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(caller.ReadUntil("hello").find("200 OK"), std::string::npos);
    caller.Send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(caller.ReadUntil("hello").find("200 OK"), std::string::npos);
  });
  EXPECT_EQ(targets, (std::vector<std::string>{"/a?x=1", "/b"}));
  EXPECT_EQ(requests[0].path, "/a");
}

TEST_F(Listeners, AnswerPipelinedRequestsInOrder) {
  RunWithCaller({}, [](std::uint16_t port) {
    Socket caller(port);
    caller.Send(
        "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
        "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    for (int i = 0; i < 3; ++i) {
      caller.ReadUntil("hello");
    }
  });
  EXPECT_EQ(targets, (std::vector<std::string>{"/1", "/2", "/3"}));
  EXPECT_EQ(requests[0].body, "abc");
  EXPECT_EQ(requests[1].body, "");
}

TEST_F(Listeners, ReadRequestsInFragmentsAndChunks) {
  RunWithCaller({}, [](std::uint16_t port) {
    Socket caller(port);
    for (const char* piece :
         {"PO", "ST /x HTTP/1.1\r\nHo", "st: h\r\nTransfer-Encoding: chu",
          "nked\r\n\r\n2\r\nab\r", "\n1\r\nc\r\n0\r\n", "\r\n"}) {
      caller.Send(piece);
      std::this_thread::sleep_for(milliseconds(5));
    }
    caller.ReadUntil("hello");
  });
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].body, "abc");
  EXPECT_EQ(requests[0].Header("host"), "h");
}

// A key in a trailer would come after the decision whose request it is.
TEST_F(Listeners, IgnoreFieldsAfterTheBody) {
  RunWithCaller({}, [](std::uint16_t port) {
    Socket caller(port);
    caller.Send(
        "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\na\r\n0\r\nAuthorization: Token k\r\nHost: other\r\n\r\n"
        "GET /2 HTTP/1.1\r\nHost: h2\r\n\r\n");
    caller.ReadUntil("hello");
    caller.ReadUntil("hello");
  });
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].Header("Authorization"), "");
  EXPECT_EQ(requests[0].Header("Host"), "h");
  EXPECT_EQ(requests[0].headers.size(), 2U);
  EXPECT_EQ(requests[1].Header("Host"), "h2");
}

// A folded value is one that servers read in different ways.
TEST_F(Listeners, RejectFoldedHeaders) {
  RunWithCaller({}, [](std::uint16_t port) {
    Socket caller(port);
    caller.Send(
        "GET / HTTP/1.1\r\nHost: h\r\nAuthorization: Token\r\n k\r\n\r\n");
    EXPECT_NE(caller.ReadAll().find(" 400 "), std::string::npos);
  });
  EXPECT_TRUE(requests.empty());
}

// With two lengths, one server may see a request where another sees a body
// (request smuggling).
TEST_F(Listeners, RejectRequestsWithTwoLengths) {
  RunWithCaller({}, [](std::uint16_t port) {
    for (const char* lengths :
         {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          "Content-Length: 3\r\nContent-Length: 4\r\n"}) {
      Socket caller(port);
      caller.Send("POST /x HTTP/1.1\r\nHost: h\r\n" + std::string(lengths) +
                  "\r\nabc");
      EXPECT_NE(caller.ReadAll().find("400 Bad Request"), std::string::npos);
    }
  });
  EXPECT_TRUE(requests.empty());
}

TEST_F(Listeners, EnforceTheirLimits) {
  ListenerLimits limits;
  limits.max_body_bytes = 10;
  limits.max_header_bytes = 200;
  limits.header_timeout = milliseconds(100);
  limits.idle_timeout = milliseconds(100);
  RunWithCaller(limits, [](std::uint16_t port) {
    Socket body(port);
    body.Send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    EXPECT_NE(body.ReadAll().find(" 413 "), std::string::npos);
    Socket chunks(port);
    chunks.Send(
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "b\r\nabcdefghijk\r\n");
    EXPECT_NE(chunks.ReadAll().find(" 413 "), std::string::npos);
    Socket headers(port);
    headers.Send("GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x'));
    EXPECT_NE(headers.ReadAll().find(" 431 "), std::string::npos);
    Socket slow(port);
    slow.Send("GET /x HTTP/1.1\r\n");
    EXPECT_NE(slow.ReadAll().find(" 408 "), std::string::npos);
    Socket idle(port);
    EXPECT_EQ(idle.ReadAll(), "");
  });
  EXPECT_TRUE(requests.empty());
}

TEST_F(Listeners, RefuseMalformedHeaderNames) {
  RunWithCaller({}, [](std::uint16_t port) {
    const Socket caller(port);
    caller.Send(
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n"
        "0\r\n\r\n");
    EXPECT_TRUE(caller.ReadAll().starts_with("HTTP/1.1 400 "));
  });
  EXPECT_TRUE(requests.empty());
}

TEST_F(Listeners, RefuseHeadsOfManySmallHeaders) {
  RunWithCaller({}, [](std::uint16_t port) {
    const Socket caller(port);
    std::string head = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 5000; ++i) {
      head += "a:\r\n";
    }
    caller.Send(head);
    EXPECT_TRUE(caller.ReadAll().starts_with("HTTP/1.1 431 "));
  });
}

// A head of legal size may have any number of headers.
TEST_F(Listeners, TakeALegalHeadOfManySmallHeaders) {
  response.body = "ok";
  RunWithCaller({}, [](std::uint16_t port) {
    const Socket caller(port);
    std::string head = "GET / HTTP/1.1\r\n";
    while (head.size() < std::size_t{16} * 1024 - 8) {
      head += "a:\r\n";
    }
    caller.Send(head + "\r\n");
    EXPECT_TRUE(caller.ReadUntil("ok").starts_with("HTTP/1.1 200 "));
  });
}

// Bodies for paths without a route took the memory of a host.
TEST_F(Listeners, KeepNoMoreOfABodyThanIsNeeded) {
  needed_body_bytes = 3;
  response.body = "ok";
  RunWithCaller({}, [](std::uint16_t port) {
    const Socket caller(port);
    for (int i = 0; i < 2; ++i) {
      caller.Send(
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
          std::string(100'000, 'b'));
      EXPECT_TRUE(caller.ReadUntil("ok").starts_with("HTTP/1.1 200 "));
    }
  });
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[1].body, "bbb");
  EXPECT_TRUE(requests[1].body_truncated);
}

TEST_F(Listeners, ReadABodyInChunksOfOneByte) {
  response.body = "ok";
  constexpr std::size_t kBytes = 100'000;
  RunWithCaller({}, [](std::uint16_t port) {
    std::string chunks;
    for (std::size_t i = 0; i < kBytes; ++i) {
      chunks += "1\r\nx\r\n";
    }
    const Socket caller(port);
    caller.Send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                chunks + "0\r\n\r\n");
    EXPECT_TRUE(caller.ReadUntil("ok").starts_with("HTTP/1.1 200 "));
  });
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].body, std::string(kBytes, 'x'));
}

TEST_F(Listeners, RefuseABodyThatStopsHalfWay) {
  ListenerLimits limits;
  limits.stall_timeout = milliseconds(100);
  RunWithCaller(limits, [](std::uint16_t port) {
    const Socket caller(port);
    caller.Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345");
    EXPECT_TRUE(caller.ReadAll().starts_with("HTTP/1.1 408 "));
  });
  EXPECT_TRUE(requests.empty());
}

// An idle connection makes way for a new one.
TEST_F(Listeners, DisconnectTheClientLongestWithoutProgress) {
  client_limits.max_connections = 2;
  response.body = "ok";
  RunWithCaller({}, [](std::uint16_t port) {
    const Socket first(port);
    std::this_thread::sleep_for(milliseconds(20));
    const Socket second(port);
    std::this_thread::sleep_for(milliseconds(20));
    const Socket third(port);
    std::this_thread::sleep_for(milliseconds(20));
    const std::string request = "GET / HTTP/1.1\r\n\r\n";
    first.Send(request);
    EXPECT_EQ(first.ReadUntil("ok"), "");
    for (const Socket* caller : {&second, &third}) {
      caller->Send(request);
      EXPECT_TRUE(caller->ReadUntil("ok").starts_with("HTTP/1.1 200 "));
    }
  });
}

// A caller that sends requests and reads no responses filled the memory.
TEST_F(Listeners, DoNotReadFromCallersThatDoNotReadTheirResponses) {
  response.body = std::string(1000, 'x');
  RunWithCaller({}, [](std::uint16_t port) {
    const Socket caller(port);
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string many;
    while (many.size() < std::size_t{64} * 1024) {
      many += request;
    }
    // The buffers of the sockets take some megabytes in each direction.
    std::size_t sent = 0;
    while (sent < std::size_t{64} * 1024 * 1024 && caller.TrySend(many)) {
      sent += many.size();
    }
    EXPECT_LT(sent, std::size_t{32} * 1024 * 1024);
    const std::string first = "HTTP/1.1 200 OK\r\n";
    EXPECT_EQ(caller.ReadUntil("\r\n"), first);
  });
}

// The rest of a long body arrives while its beginning waits behind another
// request.
TEST_F(Listeners, ReadALongBodyThatIsPipelined) {
  hold_responses = true;
  response.body = "ok";
  const std::string body(200'000, 'b');
  RunWithCaller({}, [&](std::uint16_t port) {
    const Socket caller(port);
    caller.Send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.Send("POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 200000" +
                ("\r\n\r\n" + body.substr(0, 150'000)));
    std::this_thread::sleep_for(milliseconds(100));
    Post([&] {
      hold_responses = false;
      listener->SendResponse(held_exchanges.front(), response);
    });
    std::this_thread::sleep_for(milliseconds(50));
    caller.Send(body.substr(150'000));
    caller.ReadUntil("ok");
    EXPECT_TRUE(caller.ReadUntil("ok").starts_with("HTTP/1.1 200 "));
  });
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[1].body, body);
}

TEST_F(Listeners, RefuseTheLargestRequestBeyondTheirMemoryLimit) {
  ListenerLimits limits;
  client_limits.max_bytes = std::size_t{1280} * 1024;
  limits.max_body_bytes = std::size_t{1024} * 1024;
  response.body = "ok";
  RunWithCaller(limits, [](std::uint16_t port) {
    const std::string head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n";
    const Socket large(port);
    large.Send(head + std::string(800'000, 'x'));
    std::this_thread::sleep_for(milliseconds(50));
    const Socket smaller(port);
    smaller.Send(head + std::string(400'000, 'x'));
    const std::string refusal = large.ReadUntil("\r\n\r\n");
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503 ")) << refusal;
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
    smaller.Send(std::string(500'000, 'x'));
    EXPECT_TRUE(smaller.ReadUntil("ok").starts_with("HTTP/1.1 200 "));
  });
  EXPECT_EQ(requests.size(), 1U);
}

TEST_F(Listeners, ReportWhenACallerDisconnects) {
  hold_responses = true;
  RunWithCaller({}, [](std::uint16_t port) {
    {
      Socket caller(port);
      caller.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
      std::this_thread::sleep_for(milliseconds(30));
    }
    std::this_thread::sleep_for(milliseconds(30));
  });
  EXPECT_EQ(disconnected, held_exchanges);
  EXPECT_EQ(disconnected.size(), 1U);
}

// A request that waits in the socket of a stopped process must not look new.
TEST_F(Listeners, DateARequestBeforeAStopOfTheLoop) {
  Instant connected{};
  RunWithCaller({}, [&](std::uint16_t port) {
    Post([] { std::this_thread::sleep_for(milliseconds(200)); });
    std::this_thread::sleep_for(milliseconds(20));
    const Socket caller(port);
    connected = MonotonicNow();
    caller.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.ReadUntil("hello");
  });
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_LE(requests[0].sent_after, connected);
}

TEST_F(Listeners, DateARequestAfterTheLastResponseOnItsConnection) {
  std::vector<Instant> sent;
  RunWithCaller({}, [&](std::uint16_t port) {
    const Socket caller(port);
    for (int i = 0; i < 2; ++i) {
      std::this_thread::sleep_for(milliseconds(50));
      sent.push_back(MonotonicNow());
      caller.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
      caller.ReadUntil("hello");
    }
  });
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_LE(requests[0].sent_after, sent[0]);
  EXPECT_GE(requests[1].sent_after, sent[0]);
  EXPECT_LE(requests[1].sent_after, sent[1]);
}

TEST_F(Listeners, DatePipelinedRequestsAsTheFirstOne) {
  RunWithCaller({}, [](std::uint16_t port) {
    const Socket caller(port);
    caller.Send(
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.ReadUntil("hello");
    caller.ReadUntil("hello");
  });
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].sent_after, requests[1].sent_after);
}

TEST_F(Listeners, SendNoBodyToHead) {
  response.declared_length = 99;
  RunWithCaller({}, [](std::uint16_t port) {
    Socket caller(port);
    caller.Send("HEAD /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string text = caller.ReadAll();
    EXPECT_NE(text.find("Content-Length: 99\r\n"), std::string::npos);
    EXPECT_EQ(text.find("hello"), std::string::npos);
  });
}

TEST_F(Listeners, SendContinueToARequestThatExpectsIt) {
  RunWithCaller({}, [](std::uint16_t port) {
    Socket caller(port);
    caller.Send(
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Expect: 100-continue\r\n\r\n");
    EXPECT_NE(caller.ReadUntil("\r\n\r\n").find("100 Continue"),
              std::string::npos);
    caller.Send("abc");
    caller.ReadUntil("hello");
  });
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].body, "abc");
}

// A caller that has sent more than was read must still receive its last
// response.
TEST_F(Listeners, DeliverTheLastResponseBeforeClosing) {
  response.close = true;
  response.body = std::string(100000, 'x') + "end";
  RunWithCaller({}, [](std::uint16_t port) {
    Socket caller(port);
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(5000, 'y'));
    EXPECT_TRUE(caller.ReadAll().ends_with("end"));
  });
}

TEST_F(Listeners, CloseIdleConnectionsWhenTheyStopAccepting) {
  RunWithCaller({}, [&](std::uint16_t port) {
    Socket idle(port);
    idle.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    idle.ReadUntil("hello");
    // The listener still exists, since the fixture stops the loop after this
    // thread.
    std::this_thread::sleep_for(milliseconds(10));
  });
  EXPECT_EQ(requests.size(), 1U);
}

// The loop is blocked while callers connect and send, and stops accepting
// before it accepts any of them.
TEST_F(Listeners, AnswerRequestsSentBeforeTheyStopAccepting) {
  constexpr int kCallers = 20;
  int answered = 0;
  RunWithCaller({}, [&](std::uint16_t port) {
    std::vector<std::unique_ptr<Socket>> callers;
    std::atomic<bool> connected = false;
    std::atomic<bool> stopped = false;
    Post([&] {
      while (!connected) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      listener->StopAccepting();
      stopped = true;
    });
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<Socket>(port));
      // Every second caller sends its request later, when the listener has
      // stopped accepting.
      if (i % 2 == 0) {
        callers.back()->Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
      }
    }
    connected = true;
    while (!stopped) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    for (int i = 1; i < kCallers; i += 2) {
      callers[i]->Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    for (const auto& caller : callers) {
      const std::string text = caller->ReadAll();
      answered += text.find(" 200 ") != std::string::npos &&
                          text.find("Connection: close") != std::string::npos
                      ? 1
                      : 0;
    }
  });
  EXPECT_EQ(answered, kCallers);
}

TEST_F(Listeners, AnswerAnUnreadRequestOnAKeepAliveConnection) {
  RunWithCaller({}, [&](std::uint16_t port) {
    Socket kept(port);
    kept.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    kept.ReadUntil("hello");
    std::atomic<bool> sent = false;
    Post([&] {
      while (!sent) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      std::this_thread::sleep_for(milliseconds(20));
      listener->StopAccepting();
    });
    std::this_thread::sleep_for(milliseconds(20));
    kept.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    sent = true;
    EXPECT_NE(kept.ReadAll().find(" 200 "), std::string::npos);
  });
  EXPECT_EQ(targets, (std::vector<std::string>{"/1", "/2"}));
}

TEST_F(Listeners, ResetConnectionsBeyondTheirLimit) {
  ListenerLimits limits;
  limits.max_connections = 1;
  RunWithCaller(limits, [](std::uint16_t port) {
    Socket first(port);
    first.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    first.ReadUntil("hello");
    Socket second(port);
    second.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_EQ(second.ReadAll(), "");
    first.Send("GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(first.ReadUntil("hello").find(" 200 "), std::string::npos);
  });
  EXPECT_EQ(targets, (std::vector<std::string>{"/1", "/3"}));
}

// The response is larger than the socket buffers, and the caller reads it
// later.
TEST_F(Listeners, CountAConnectionAsUnfinishedUntilItsResponseIsSent) {
  response.body = std::string(std::size_t{16} * 1024 * 1024, 'x');
  std::atomic<std::size_t> unfinished = 0;
  std::atomic<bool> queried = false;
  RunWithCaller({}, [&](std::uint16_t port) {
    Socket caller(port);
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(600));
    const auto query_unfinished = [&] {
      queried = false;
      Post([&] {
        unfinished = listener->unfinished_connections();
        queried = true;
      });
      while (!queried) {
        std::this_thread::sleep_for(milliseconds(1));
      }
    };
    Post([&] { listener->StopAccepting(); });
    query_unfinished();
    EXPECT_EQ(unfinished, 1U);
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT_GT(caller.ReadAll().size(), response.body.size());
    query_unfinished();
    EXPECT_EQ(unfinished, 0U);
  });
}

}  // namespace
}  // namespace snipeworks
