#include "snipeworks/quota_feed.h"

#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "snipeworks/quota_service.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Tests run in parallel, so each process uses its own loopback addresses.
std::string TestAddress(int port) {
  return "127." + std::to_string(1 + getpid() / 65536 % 250) + "." +
         std::to_string(getpid() / 256 % 256) + "." +
         std::to_string(1 + getpid() % 256 % 254) + ":" + std::to_string(port);
}

Routing OneCustomer() {
  Routing routing;
  routing.version = 3;
  Customer customer;
  customer.name = "alpha";
  customer.requests_per_second = 20.0;
  customer.burst = 20.0;
  routing.customers.push_back(customer);
  return routing;
}

// Two control hosts, one of which leads, and an entry host that knows both.
class QuotaFeedTest : public testing::Test {
 protected:
  struct Control {
    QuotaLeadership leadership;
    std::unique_ptr<QuotaService> service;
    std::unique_ptr<PeerServer> server;
  };

  QuotaFeedTest() {
    for (int i = 0; i < 2; ++i) {
      Control& control = controls[i];
      control.leadership.routing = &routing;
      control.service = std::make_unique<QuotaService>(
          log, QuotaBounds{}, [&control] { return control.leadership; },
          [] { return std::vector<std::string>{}; });
      control.server = std::move(*PeerServer::Start(
          loop, *Address::Parse(addresses[i]),
          [&control](const std::string&, const std::string& payload,
                     const PeerServer::Reply& reply) {
            control.service->OnReport(payload, reply);
          }));
    }
    Lead(1, 7);
    loop.Every(milliseconds(100), [this] {
      for (Control& control : controls) {
        control.service->Tick();
      }
    });
  }

  // Host `index` leads from now on; the other one knows that.
  void Lead(int index, std::uint64_t term) {
    for (int i = 0; i < 2; ++i) {
      controls[i].leadership.leads = i == index;
      controls[i].leadership.term = term;
      controls[i].leadership.leader = addresses[index];
    }
  }

  void RunFor(Duration duration) {
    loop.After(duration, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  EventLog log{open("/dev/null", O_WRONLY), "test"};
  Routing routing = OneCustomer();
  std::string addresses[2] = {TestAddress(23991), TestAddress(23992)};
  Control controls[2];
  PeerClient peers{loop};
  QuotaFeed feed{loop, peers, log, "entry", QuotaBounds{}, [this] {
                   return std::vector<std::string>{addresses[0], addresses[1]};
                 }};
};

// Guards against an entry host that asks a host that does not lead and stays
// without contact, and against grants of a host that does not lead.
TEST_F(QuotaFeedTest, LeaderIsFoundThroughAnotherControlHost) {
  EXPECT_EQ(feed.Take(MonotonicNow(), "alpha").outcome,
            QuotaDecision::Outcome::kAdmitted);
  feed.SetQuotas(routing);
  EXPECT_EQ(feed.Take(MonotonicNow(), "alpha").outcome,
            QuotaDecision::Outcome::kNoContact);
  RunFor(milliseconds(600));
  EXPECT_TRUE(feed.limiter().InContact(MonotonicNow()));
  EXPECT_EQ(feed.Take(MonotonicNow(), "alpha").outcome,
            QuotaDecision::Outcome::kAdmitted);
  RunFor(milliseconds(300));
  ASSERT_NE(controls[1].service->allocator(), nullptr);
  EXPECT_EQ(controls[1].service->allocator()->hosts(), 1U);
  EXPECT_EQ(controls[0].service->allocator(), nullptr);
}

// Guards against an entry host that stays with a leader that leads no more.
TEST_F(QuotaFeedTest, NextLeaderIsFound) {
  feed.SetQuotas(routing);
  RunFor(milliseconds(600));
  Lead(0, 8);
  RunFor(milliseconds(1700));
  EXPECT_TRUE(feed.limiter().InContact(MonotonicNow()));
  ASSERT_NE(controls[0].service->allocator(), nullptr);
  EXPECT_EQ(controls[0].service->allocator()->hosts(), 1U);
}

// Guards against grants without a quorum.
TEST_F(QuotaFeedTest, WithoutALeaderNothingIsGranted) {
  for (Control& control : controls) {
    control.leadership.leads = false;
    control.leadership.leader.clear();
  }
  feed.SetQuotas(routing);
  RunFor(milliseconds(600));
  EXPECT_FALSE(feed.limiter().InContact(MonotonicNow()));
  EXPECT_EQ(feed.Take(MonotonicNow(), "alpha").outcome,
            QuotaDecision::Outcome::kNoContact);
  EXPECT_EQ(feed.without_contact(), 1U);
}

}  // namespace
}  // namespace snipeworks
