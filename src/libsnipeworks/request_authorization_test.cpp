#include "snipeworks/request_authorization.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "snipeworks/customer_directory.h"
#include "snipeworks/forward_message.h"

namespace snipeworks {
namespace {

using Headers = std::vector<HttpHeader>;
using enum RoutingFreshness;

constexpr char kKey[] = "key-of-arno";
constexpr std::uint64_t kSeed = 17;

class Authorization : public ::testing::Test {
 protected:
  static CustomerDirectory DirectoryOf(const std::vector<Customer>& customers) {
    return {customers, kSeed};
  }

  // The name of the customer, "none", or the error's name.
  std::string Outcome(const Headers& headers,
                      RoutingFreshness freshness = kCurrent) const {
    const auto customer =
        Authorize(headers, route, directory, freshness, names);
    if (!customer) {
      EXPECT_EQ(customer.error().detail.find(kKey), std::string::npos);
      return std::string(RowOf(customer.error().kind).name);
    }
    return *customer == nullptr ? "none" : (*customer)->name;
  }

  ForwardNames names;
  Route route;
  CustomerDirectory directory =
      DirectoryOf({{"arno", {kKey, "other-key"}, 1, 5.0, 8.0},
                   {"berta", {"key of berta"}, 0},
                   {"no-keys", {}, 0}});
};

TEST_F(Authorization, FindsTheCustomerByAnyOfItsKeys) {
  EXPECT_EQ(Outcome({{"Authorization", "Token key-of-arno"}}), "arno");
  EXPECT_EQ(Outcome({{"Authorization", "Token other-key"}}), "arno");
  EXPECT_EQ(Outcome({{"Authorization", "Token key of berta"}}), "berta");
}

TEST_F(Authorization, IgnoresTheCaseOfNamesAndBlanksAroundTheKey) {
  for (const char* name : {"authorization", "AUTHORIZATION", "AuThOrIzAtIoN"}) {
    EXPECT_EQ(Outcome({{name, "Token key-of-arno"}}), "arno") << name;
  }
  for (const char* value : {"token key-of-arno", "TOKEN   key-of-arno",
                            "Token \t key-of-arno \t ", " Token key-of-arno"}) {
    EXPECT_EQ(Outcome({{"Authorization", value}}), "arno") << value;
  }
}

TEST_F(Authorization, RefusesRequestsWithoutOneKnownKey) {
  EXPECT_EQ(Outcome({}), "unauthenticated");
  for (const char* value :
       {"", " ", "Token", "Token ", "Token \t", "Token unknown", "key-of-arno",
        "Bearer key-of-arno", "Tokenkey-of-arno", "Token KEY-OF-ARNO",
        "Token key-of-arno x", "Token Token key-of-arno", "Token key-of-arn"}) {
    EXPECT_EQ(Outcome({{"Authorization", value}}), "unauthenticated") << value;
  }
  // Also with the same key: another server may read either.
  EXPECT_EQ(Outcome({{"Authorization", "Token key-of-arno"},
                     {"authorization", "Token key-of-arno"}}),
            "unauthenticated");
}

TEST_F(Authorization, ServesPublicRoutesWithAndWithoutAKey) {
  route.is_public = true;
  EXPECT_EQ(Outcome({{"Authorization", "Token key-of-arno"}}), "arno");
  for (const Headers& headers :
       {Headers{}, Headers{{"Authorization", "Token unknown"}},
        Headers{{"Authorization", "Basic eA=="}},
        Headers{{"Authorization", "Token key-of-arno"},
                {"Authorization", "Token key-of-arno"}}}) {
    EXPECT_EQ(Outcome(headers), "none");
    EXPECT_EQ(Outcome(headers, kMayBeBehind), "none");
  }
}

TEST_F(Authorization, IsNotNeededWithoutCustomers) {
  directory = DirectoryOf({});
  for (const RoutingFreshness freshness : {kCurrent, kMayBeBehind}) {
    EXPECT_EQ(Outcome({}, freshness), "none");
    EXPECT_EQ(Outcome({{"Authorization", "Token unknown"}}, freshness), "none");
  }
}

// Guards against a key that is shown to targets, since the first customers were
// introduced while the host was suspended.
TEST_F(Authorization, WithoutCustomersKeysWaitForTheEndOfASuspension) {
  directory = DirectoryOf({});
  EXPECT_EQ(Outcome({{"Authorization", "Token unknown"}}, kSuspended),
            "not-ready");
  EXPECT_EQ(Outcome({}, kSuspended), "none");
  EXPECT_EQ(Outcome({{"Authorization", "Bearer unknown"}}, kSuspended), "none");
}

// A caller with a new key must not be told that the key is invalid.
TEST_F(Authorization, RefusesForNowWhereANewerRoutingMayHaveTheKey) {
  const Headers known = {{"Authorization", "Token key-of-arno"}};
  const Headers unknown = {{"Authorization", "Token unknown"}};
  for (const RoutingFreshness freshness : {kMayBeBehind, kSuspended}) {
    const auto refused = Authorize(unknown, route, directory, freshness, names);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, ErrorKind::kNotReady);
    EXPECT_TRUE(refused.error().retry_after);
  }
  EXPECT_EQ(Outcome(known, kMayBeBehind), "arno");
  // The key may have been removed while the host did not run.
  EXPECT_EQ(Outcome(known, kSuspended), "not-ready");
}

TEST_F(Authorization, FollowsAKeyToItsNewCustomer) {
  directory = DirectoryOf({{"arno", {"other-key"}}, {"berta", {kKey}}});
  EXPECT_EQ(Outcome({{"Authorization", "Token key-of-arno"}}), "berta");
  directory = DirectoryOf({{"arno", {"other-key"}}});
  EXPECT_EQ(Outcome({{"Authorization", "Token key-of-arno"}}),
            "unauthenticated");
}

TEST_F(Authorization, KeepsWhatQuotasNeedAndNoKeys) {
  const Customer* arno = directory.Find(kKey);
  ASSERT_NE(arno, nullptr);
  EXPECT_EQ(*arno, (Customer{"arno", {}, 1, 5.0, 8.0}));
  EXPECT_EQ(directory.customers().size(), 3U);
}

// A customer's rank goes before its route's, which is all that a request
// without a customer has.
TEST_F(Authorization, GivesRequestsTheRankOfTheirCustomer) {
  route.rank = 1;
  const Customer urgent{"urgent", {}, 0};
  const Customer last{"last", {}, 7};
  EXPECT_EQ(CustomerRank(&urgent, route, directory), 0U);
  EXPECT_EQ(CustomerRank(&last, route, directory), kLowestCustomerRank);
  EXPECT_EQ(CustomerRank(nullptr, route, directory), 1U);
  EXPECT_EQ(CustomerRank(nullptr, route, CustomerDirectory()), 0U);
}

HttpRequest RequestWith(Headers headers) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.headers = std::move(headers);
  return request;
}

std::string HeadOf(HttpRequest request, const ForwardedIdentity& identity) {
  return ToForwardedRequest(request, ForwardNames(), identity)->message->head;
}

TEST(CustomerHeaders, ReplaceThoseOfTheCaller) {
  const HttpRequest request = RequestWith({{"Snipe-Customer", "forged"},
                                           {"SNIPE-CUSTOMER", "forged"},
                                           {"X-Own", "kept"}});
  EXPECT_EQ(HeadOf(request, {"arno", true}),
            "GET / HTTP/1.1\r\nX-Own: kept\r\nSnipe-Customer: arno\r\n");
  EXPECT_EQ(HeadOf(request, {"", true}), "GET / HTTP/1.1\r\nX-Own: kept\r\n");
  EXPECT_EQ(HeadOf(request, {}), "GET / HTTP/1.1\r\nX-Own: kept\r\n");
}

// Headers named in Connection are removed; that must not reach the customer.
TEST(CustomerHeaders, AreSetWhateverConnectionNames) {
  EXPECT_EQ(HeadOf(RequestWith({{"Connection", "Snipe-Customer, Authorization"},
                                {"Authorization", "Token key-of-arno"}}),
                   {"arno", true}),
            "GET / HTTP/1.1\r\nSnipe-Customer: arno\r\n");
}

TEST(CustomerHeaders, KeepTheKeyFromTargets) {
  for (const char* value : {"Token key-of-arno", "Basic eA==", ""}) {
    const HttpRequest request = RequestWith(
        {{"Authorization", value}, {"AUTHORIZATION", "Bearer key"}});
    EXPECT_EQ(HeadOf(request, {"arno", true}),
              "GET / HTTP/1.1\r\nSnipe-Customer: arno\r\n");
    EXPECT_EQ(HeadOf(request, {"", true}), "GET / HTTP/1.1\r\n");
  }
  // Without customers the header belongs to the caller and the target.
  EXPECT_EQ(HeadOf(RequestWith({{"Authorization", "Basic eA=="}}), {}),
            "GET / HTTP/1.1\r\nAuthorization: Basic eA==\r\n");
}

}  // namespace
}  // namespace snipeworks
