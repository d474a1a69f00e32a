// Customers in the routing document, its changes and messages between hosts.

#include <sys/resource.h>

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "snipeworks/control_calls.h"
#include "snipeworks/relay_messages.h"
#include "snipeworks/routing.h"

namespace snipeworks {
namespace {

constexpr char kSecret[] = "secret-key";

// The largest amount of memory that the process has held, in megabytes.
long PeakMegabytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss / 1024;
}

// A document whose customers are the JSON text `customers`.
std::string DocumentWith(const std::string& customers) {
  return R"({"version": 1, "routes": [
    {"name": "open", "host": "a", "path_prefix": "/", "timeout_ms": 100,
     "group": "g", "public": true},
    {"name": "closed", "host": "b", "path_prefix": "/", "timeout_ms": 100,
     "group": "g"}],
   "groups": [{"name": "g", "cold_requests_per_s": 2.5, "cold_start_s": 1.25}],
   "customers": )" +
         customers + "}";
}

Result<Routing> Parse(const std::string& customers) {
  return ParseRouting(DocumentWith(customers), RoutingNames());
}

TEST(CustomerDocuments, ParseAllFields) {
  const auto routing = Parse(
      R"([{"name": "arno", "keys": ["k1", "k 2"], "rank": 2,
           "requests_per_s": 1.5, "burst": 4},
          {"name": "berta"}])");
  ASSERT_TRUE(routing) << routing.error().detail;
  EXPECT_EQ(routing->customers,
            (std::vector<Customer>{{"arno", {"k1", "k 2"}, 2, 1.5, 4.0},
                                   {"berta", {}, 0, 0.0, 0.0}}));
  EXPECT_TRUE(routing->routes[0].is_public);
  EXPECT_FALSE(routing->routes[1].is_public);
  EXPECT_EQ(routing->groups[0].cold_requests_per_second, 2.5);
  EXPECT_EQ(routing->groups[0].cold_start_ms, 1250);
  EXPECT_EQ(Decode<Routing>(Encode(*routing)), *routing);
}

TEST(CustomerDocuments, MayHaveNoCustomers) {
  for (const char* none : {"null", "[]"}) {
    const auto routing = Parse(none);
    ASSERT_TRUE(routing) << none;
    EXPECT_TRUE(routing->customers.empty());
  }
}

TEST(CustomerDocuments, AreRefusedIfCustomersCannotBeToldApart) {
  for (const char* customers :
       {R"([{"name": "a", "keys": ["secret-key"]},
            {"name": "b", "keys": ["x", "secret-key"]}])",
        R"([{"name": "a", "keys": ["secret-key"]}, {"name": "a"}])",
        R"([{"keys": ["secret-key"]}])",
        R"([{"name": "", "keys": ["secret-key"]}])",
        R"([{"name": null, "keys": ["secret-key"]}])"}) {
    const auto routing = Parse(customers);
    ASSERT_FALSE(routing) << customers;
    EXPECT_EQ(routing.error().kind, ErrorKind::kBadRequest);
    EXPECT_EQ(routing.error().detail.find(kSecret), std::string::npos);
  }
}

// A name goes into a header to targets, and a key comes in one.
TEST(CustomerDocuments, AreRefusedIfNamesOrKeysAreNoHeaderText) {
  const auto is_valid = [](const std::string& name, const std::string& key) {
    const auto routing =
        Parse(R"([{"name": ")" + name + R"(", "keys": [")" + key + "\"]}]");
    EXPECT_TRUE(routing || routing.error().kind == ErrorKind::kBadRequest);
    EXPECT_TRUE(routing ||
                routing.error().detail.find(kSecret) == std::string::npos);
    return routing.has_value();
  };
  EXPECT_TRUE(is_valid("arno & sons", "a b=/+~"));
  EXPECT_TRUE(is_valid("K\xc3\xb6ln", kSecret));
  for (const char* text : {" ", "a\\r\\nX: y", "a\\n", "\\u0000", "a\\u007f",
                           "a\\u0085", "a\\tb", "a "}) {
    EXPECT_FALSE(is_valid("arno", std::string(kSecret) + text)) << text;
    EXPECT_FALSE(is_valid(text, kSecret)) << text;
  }
  EXPECT_FALSE(is_valid("arno", ""));
  EXPECT_FALSE(is_valid("arno", " secret-key"));
  EXPECT_FALSE(is_valid("", kSecret));
  EXPECT_FALSE(is_valid(" arno", kSecret));
  EXPECT_FALSE(is_valid(std::string(300, 'a'), kSecret));
}

TEST(CustomerDocuments, AreRefusedIfMembersHaveOtherTypes) {
  for (const char* customers :
       {R"({"name": "a"})", R"(["a"])", R"([{"name": 1}])",
        R"([{"name": "a", "keys": "secret-key"}])",
        R"([{"name": "a", "keys": [1]}])", R"([{"name": "a", "keys": [null]}])",
        R"([{"name": "a", "rank": -1}])",
        R"([{"name": "a", "requests_per_s": "1"}])",
        R"([{"name": "a", "burst": -1}])"}) {
    EXPECT_FALSE(Parse(customers)) << customers;
  }
  std::string document = DocumentWith("[]");
  document.replace(document.find("true"), 4, "\"true\"");
  EXPECT_FALSE(ParseRouting(document, RoutingNames()));
}

// A control host has 256 MB, of which it may lose little to one document.
TEST(CustomerDocuments, OfTenThousandCustomersTakeLittleMemory) {
  constexpr int kCustomers = 10'000;
  constexpr long kMaxMegabytes = 40;
  std::string customers;
  for (int i = 0; i < kCustomers; ++i) {
    const std::string number = std::to_string(i);
    customers += (i > 0 ? "," : "[") + std::string(R"({"name":"customer-)") +
                 number + R"(","rank":1,"requests_per_s":2,"burst":4,"keys":[)";
    customers += R"("2c26b46b68ffc68ff99b453c1d304134-)" + number +
                 R"(","486ea46224d1bb4fb680f34f7c9ad96a-)" + number + R"("]})";
  }
  const std::string document = DocumentWith(customers + "]");
  const long before = PeakMegabytes();
  const auto routing = ParseRouting(document, RoutingNames());
  ASSERT_TRUE(routing) << routing.error().detail;
  EXPECT_EQ(routing->customers.size(), std::size_t{kCustomers});
  const long taken = PeakMegabytes() - before;
  RecordProperty("megabytes", static_cast<int>(taken));
  EXPECT_LE(taken, kMaxMegabytes);
}

TEST(CustomerChanges, CarryOnlyWhatDiffers) {
  Routing before;
  before.version = 1;
  before.customers = {{"a", {"1"}}, {"b", {"2"}}, {"c", {"3"}}};
  Routing after = before;
  after.version = 2;
  // A key moves from b to a, c is gone, and d is new.
  after.customers = {{"a", {"1", "2"}}, {"b", {}}, {"d", {"4"}}};
  const auto change = DiffRouting(before, after);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->customers.size(), 3U);
  EXPECT_EQ(change->removed_customers, std::vector<std::string>{"c"});
  const auto received = Decode<RoutingChange>(Encode(*change));
  ASSERT_TRUE(received);
  const auto applied = ApplyRoutingChange(before, *received);
  ASSERT_TRUE(applied);
  EXPECT_TRUE(std::ranges::is_permutation(applied->customers, after.customers));
  EXPECT_TRUE(Validate(*applied));
}

// Without customers, hosts of earlier versions must still read the message.
TEST(RelayedRequests, NameTheirCustomerOnlyIfThereIsOne) {
  RelayedForward message;
  const std::size_t without = EncodedFieldCount(message);
  message.customer = "arno";
  message.customer_rank = 2;
  EXPECT_EQ(EncodedFieldCount(message), without + 2);
  const auto received = Decode<RelayedForward>(Encode(message));
  ASSERT_TRUE(received);
  EXPECT_EQ(received->customer, "arno");
  EXPECT_EQ(received->customer_rank, 2U);
}

}  // namespace
}  // namespace snipeworks
