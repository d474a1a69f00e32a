#include "snipeworks/event_loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "snipeworks/peer_transport.h"
#include "test_sockets_test.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Tests run in parallel, so each process uses its own loopback address.
const std::string kPeerAddress =
    "127." + std::to_string(1 + getpid() / 65536 % 250) + "." +
    std::to_string(getpid() / 256 % 256) + "." +
    std::to_string(1 + getpid() % 256 % 254) + ":23990";

// A posted task can own handles of the loop, so it must be destroyed before
// they are closed.
TEST(EventLoops, DropPostedTasksBeforeTheirHandles) {
  std::string order;
  const auto record_destruction = [&order](const char* what) {
    return std::shared_ptr<void>(nullptr,
                                 [&order, what](void*) { order += what; });
  };
  {
    EventLoop loop;
    loop.After(seconds(1), [kept = record_destruction("timer")] {});
    loop.Post([kept = record_destruction("posted ")] {});
  }
  EXPECT_EQ(order, "posted timer");
}

TEST(EventLoops, RunTimersInOrder) {
  EventLoop loop;
  std::string order;
  loop.After(milliseconds(20), [&] {
    order += "b";
    loop.Stop();
  });
  loop.After(milliseconds(5), [&] { order += "a"; });
  loop.Run();
  EXPECT_EQ(order, "ab");
}

class Peers : public testing::Test {
 protected:
  void Serve(const PeerServer::Handler& handler) {
    auto started =
        PeerServer::Start(loop, *Address::Parse(kPeerAddress), handler);
    ASSERT_TRUE(started) << started.error().detail;
    server = std::move(*started);
  }
  PeerResult Call(const std::string& payload, Duration timeout) {
    PeerResult answer;
    client.Call(kPeerAddress, "/echo", payload, timeout,
                [&](const PeerResult& result) {
                  answer = result;
                  loop.Stop();
                });
    loop.Run();
    return answer;
  }

  EventLoop loop;
  PeerClient client{loop};
  std::unique_ptr<PeerServer> server;
};

TEST_F(Peers, CarryPayloadsOfAnySize) {
  Serve([](const std::string&, const std::string& payload,
           const PeerServer::Reply& reply) { reply(payload); });
  for (std::size_t size : {0U, 1U, 100000U, 20000000U}) {
    const std::string payload(size, 'x');
    const PeerResult answer = Call(payload, seconds(10));
    ASSERT_TRUE(answer) << size;
    EXPECT_EQ(*answer, payload);
  }
}

TEST_F(Peers, CallsTimeOutDuringAPartitionAndWorkAfterIt) {
  Serve([](const std::string&, const std::string& payload,
           const PeerServer::Reply& reply) { reply(payload); });
  client.SetPartitioned(kPeerAddress, true);
  EXPECT_EQ(Call("x", milliseconds(50)).error(), PeerFailure::kTimeout);
  client.SetPartitioned(kPeerAddress, false);
  EXPECT_TRUE(Call("x", seconds(1)));
}

TEST_F(Peers, ASilentConnectionIsReplacedAfterOneTimeout) {
  int calls = 0;
  PeerServer::Reply kept_reply;
  Serve([&](const std::string&, const std::string& payload,
            const PeerServer::Reply& reply) {
    if (++calls == 1) {
      kept_reply = reply;
    } else {
      reply(payload);
    }
  });
  EXPECT_EQ(Call("x", milliseconds(50)).error(), PeerFailure::kTimeout);
  EXPECT_TRUE(Call("x", seconds(1)));
  EXPECT_EQ(client.traffic().connections_opened, 2U);
}

// Load pattern: after a power loss, hosts come up one after the other and call
// control hosts that are not up yet, with calls that may wait for long.
TEST_F(Peers, AHostThatComesUpIsReachedBeforeTheSynIsRetransmitted) {
  // A listener whose accept queue is full drops connection requests.
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = LoopbackAddress(FreePort());
  ASSERT_EQ(
      bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
  ASSERT_EQ(listen(listener, 0), 0);
  const std::string name =
      "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  const int queue_filler = socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ(connect(queue_filler, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)),
            0);
  client.Call(name, "/x", "x", seconds(5), [](const PeerResult&) {});
  Instant reached{};
  Instant up{};
  int accepted = -1;
  loop.After(milliseconds(300), [&] {
    close(accept(listener, nullptr, nullptr));
    fcntl(listener, F_SETFL, O_NONBLOCK);
    up = MonotonicNow();
  });
  loop.Every(milliseconds(5), [&] {
    accepted = up == Instant{} ? -1 : accept(listener, nullptr, nullptr);
    const bool late = up != Instant{} && MonotonicNow() - up > seconds(2);
    if (accepted >= 0 || late) {
      reached = MonotonicNow();
      loop.Stop();
    }
  });
  loop.Run();
  EXPECT_LT(reached - up, milliseconds(400));
  for (const int descriptor : {accepted, queue_filler, listener}) {
    close(descriptor);
  }
}

TEST_F(Peers, CallsWithoutAServerAreUnreachable) {
  EXPECT_EQ(Call("x", seconds(1)).error(), PeerFailure::kUnreachable);
}

}  // namespace
}  // namespace snipeworks
