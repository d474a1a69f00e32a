#include "snipeworks/forward_message.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

ForwardNames Names() {
  return {};
}

SearchRequest RequestOverParts(bool repeatable = true) {
  SearchRequest request;
  request.repeatable = repeatable;
  auto plan = std::make_shared<SearchPlan>();
  plan->groups = {"part-1", "part-2", "part-3"};
  request.plan = plan;
  auto forwarded = std::make_shared<ForwardedRequest>();
  forwarded->request_id = "0123456789abcdef";
  request.forwarded = forwarded;
  return request;
}

std::shared_ptr<const TargetAnswer> PartAnswer(const std::string& signature,
                                               const std::string& body) {
  auto answer = std::make_shared<TargetAnswer>();
  answer->status = 200;
  answer->signature = signature;
  answer->body = body;
  return answer;
}

FinishSearch FailedSearch(ErrorKind kind, int target_status) {
  FinishSearch finish{1, Fail(kind, "as told"), nullptr};
  if (target_status != 0) {
    auto failure = std::make_shared<TargetAnswer>();
    failure->status = target_status;
    failure->body = "the target's own words";
    finish.failure = failure;
  }
  return finish;
}

std::string HeaderOf(const HttpResponse& response, const std::string& name) {
  return std::string(FindHeader(response.headers, name));
}

TEST(ForwardMessages, ARequestIsForwardedUnchanged) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/orders?a=1";
  request.body = "two tables";
  request.headers = {{"Host", "orders.test"},
                     {"Snipe-Request-Id", "0123456789abcdef"},
                     {"X-Own", "kept"}};
  const auto forwarded = ToForwardedRequest(request, Names());
  const std::string& head = forwarded->message->head;
  EXPECT_EQ(head.find("POST /orders?a=1 HTTP/1.1\r\n"), 0U);
  EXPECT_NE(head.find("X-Own: kept\r\n"), std::string::npos);
  EXPECT_NE(head.find("Host: orders.test\r\n"), std::string::npos);
  EXPECT_EQ(forwarded->message->body, "two tables");
  EXPECT_EQ(forwarded->request_id, "0123456789abcdef");
}

TEST(ForwardMessages, PerTargetAndHopByHopHeadersAreStripped) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.headers = {{"Snipe-Deadline-Ms", "100"},
                     {"Snipe-Expected-Target", "another"},
                     {"Connection", "X-Hop"},
                     {"X-Hop", "one hop only"}};
  const auto forwarded = ToForwardedRequest(request, Names());
  EXPECT_EQ(forwarded->message->head, "GET / HTTP/1.1\r\n");
}

TEST(ForwardMessages, TheFingerprintIgnoresTheRequestId) {
  const auto fingerprint = [](const std::string& id, const std::string& body) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/";
    request.body = body;
    request.headers = {{"Host", "a.test"}, {"Snipe-Request-Id", id}};
    return ToForwardedRequest(request, Names())->fingerprint;
  };
  EXPECT_EQ(fingerprint("1", "x"), fingerprint("2", "x"));
  EXPECT_NE(fingerprint("1", "x"), fingerprint("1", "y"));
}

TEST(ForwardMessages, MergedAnswersListSignaturesAndMissingParts) {
  SearchAnswer answer;
  answer.answers = {PartAnswer("first", std::string(16, 'b')),
                    PartAnswer("second", std::string(16, 'c'))};
  const HttpResponse response =
      ToResponse(answer, RequestOverParts(), {1}, Names());
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(HeaderOf(response, "Snipe-Part-Signatures"), "first, second");
  EXPECT_EQ(HeaderOf(response, "Snipe-Parts-Missing"), "1");
  EXPECT_EQ(HeaderOf(response, "Snipe-Request-Id"), "0123456789abcdef");
  EXPECT_EQ(response.body, std::string(16, 'c'));
}

TEST(ForwardMessages, ASingleTargetsAnswerIsPassedThrough) {
  SearchAnswer answer;
  auto only = std::make_shared<TargetAnswer>();
  only->status = 201;
  only->headers = {{"X-Own", "kept"}};
  only->body = "made";
  only->declared_length = 4;
  answer.answers = {only};
  const HttpResponse response =
      ToResponse(answer, RequestOverParts(), {0, true, false}, Names());
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.body, "made");
  EXPECT_EQ(HeaderOf(response, "X-Own"), "kept");
}

TEST(ForwardMessages, ATargetsFailureIsPassedThrough) {
  const HttpResponse response =
      ToFailureResponse(FailedSearch(ErrorKind::kTargetsFailed, 500),
                        RequestOverParts(false), {0, true, false}, Names());
  EXPECT_EQ(response.status, 500);
  EXPECT_EQ(response.body, "the target's own words");
}

TEST(ForwardMessages, A503AfterAPossibleRunIsReplaced) {
  // 503 tells the caller that the request was not run, but it may have been.
  const HttpResponse response =
      ToFailureResponse(FailedSearch(ErrorKind::kOutcomeUnknown, 503),
                        RequestOverParts(false), {0, true, false}, Names());
  EXPECT_EQ(response.status, RowOf(ErrorKind::kOutcomeUnknown).http_status);
  EXPECT_NE(response.body, "the target's own words");
}

TEST(ForwardMessages, AFailureOverShardsIsReportedAsOwnError) {
  const HttpResponse response =
      ToFailureResponse(FailedSearch(ErrorKind::kTargetsFailed, 500),
                        RequestOverParts(), {10}, Names());
  EXPECT_EQ(response.status, RowOf(ErrorKind::kTargetsFailed).http_status);
  EXPECT_EQ(HeaderOf(response, "Snipe-Request-Id"), "0123456789abcdef");
}

}  // namespace
}  // namespace snipeworks
