#include "snipeworks/forward_message.h"

#include <gtest/gtest.h>

namespace snipeworks {
namespace {

ForwardNames Names() {
  return {};
}

SearchRequest Asked(bool repeatable = true) {
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

std::shared_ptr<const TargetAnswer> Part(const std::string& signature,
                                         const std::string& body) {
  auto answer = std::make_shared<TargetAnswer>();
  answer->status = 200;
  answer->signature = signature;
  answer->body = body;
  return answer;
}

FinishSearch Failed(ErrorKind kind, int target_status) {
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

TEST(ForwardMessages, ARequestGoesToTargetsAsItsCallerSentIt) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/orders?a=1";
  request.body = "two tables";
  request.headers = {{"Host", "orders.test"},
                     {"Snipe-Request-Id", "0123456789abcdef"},
                     {"X-Own", "kept"}};
  const auto forwarded = ToForwarded(request, Names());
  const std::string& head = forwarded->message->head;
  EXPECT_EQ(head.find("POST /orders?a=1 HTTP/1.1\r\n"), 0U);
  EXPECT_NE(head.find("X-Own: kept\r\n"), std::string::npos);
  EXPECT_NE(head.find("Host: orders.test\r\n"), std::string::npos);
  EXPECT_EQ(forwarded->message->body, "two tables");
  EXPECT_EQ(forwarded->request_id, "0123456789abcdef");
}

TEST(ForwardMessages, WhatIsForEachTargetOrTheConnectionIsLeftOut) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.headers = {{"Snipe-Deadline-Ms", "100"},
                     {"Snipe-Expected-Target", "another"},
                     {"Connection", "X-Hop"},
                     {"X-Hop", "one hop only"}};
  const auto forwarded = ToForwarded(request, Names());
  EXPECT_EQ(forwarded->message->head, "GET / HTTP/1.1\r\n");
}

TEST(ForwardMessages, RequestsForTheSameHaveOneFingerprint) {
  const auto fingerprint = [](const std::string& id, const std::string& body) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/";
    request.body = body;
    request.headers = {{"Host", "a.test"}, {"Snipe-Request-Id", id}};
    return ToForwarded(request, Names())->fingerprint;
  };
  EXPECT_EQ(fingerprint("1", "x"), fingerprint("2", "x"));
  EXPECT_NE(fingerprint("1", "x"), fingerprint("1", "y"));
}

TEST(ForwardMessages, AnAnswerNamesItsPartsAndHowManyAreMissing) {
  SearchAnswer answer;
  answer.answers = {Part("first", std::string(16, 'b')),
                    Part("second", std::string(16, 'c'))};
  const HttpResponse response = ToResponse(answer, Asked(), {1}, Names());
  EXPECT_EQ(response.status, 200);
  EXPECT_EQ(HeaderOf(response, "Snipe-Part-Signatures"), "first, second");
  EXPECT_EQ(HeaderOf(response, "Snipe-Parts-Missing"), "1");
  EXPECT_EQ(HeaderOf(response, "Snipe-Request-Id"), "0123456789abcdef");
  EXPECT_EQ(response.body, std::string(16, 'c'));
}

TEST(ForwardMessages, OneTargetsAnswerIsPassedOnWhole) {
  SearchAnswer answer;
  auto only = std::make_shared<TargetAnswer>();
  only->status = 201;
  only->headers = {{"X-Own", "kept"}};
  only->body = "made";
  only->declared_length = 4;
  answer.answers = {only};
  const HttpResponse response =
      ToResponse(answer, Asked(), {0, true, false}, Names());
  EXPECT_EQ(response.status, 201);
  EXPECT_EQ(response.body, "made");
  EXPECT_EQ(HeaderOf(response, "X-Own"), "kept");
}

TEST(ForwardMessages, ATargetsOwnFailureIsPassedOn) {
  const HttpResponse response =
      ToFailure(Failed(ErrorKind::kTargetsFailed, 500), Asked(false),
                {0, true, false}, Names());
  EXPECT_EQ(response.status, 500);
  EXPECT_EQ(response.body, "the target's own words");
}

TEST(ForwardMessages, AFailureThatWouldPromiseTooMuchIsNot) {
  // 503 says that the request was not run; a target that ran it may not say so.
  const HttpResponse response =
      ToFailure(Failed(ErrorKind::kOutcomeUnknown, 503), Asked(false),
                {0, true, false}, Names());
  EXPECT_EQ(response.status, RowOf(ErrorKind::kOutcomeUnknown).http_status);
  EXPECT_NE(response.body, "the target's own words");
}

TEST(ForwardMessages, AFailureOfPartsIsToldInOurOwnWords) {
  const HttpResponse response =
      ToFailure(Failed(ErrorKind::kTargetsFailed, 500), Asked(), {10}, Names());
  EXPECT_EQ(response.status, RowOf(ErrorKind::kTargetsFailed).http_status);
  EXPECT_EQ(HeaderOf(response, "Snipe-Request-Id"), "0123456789abcdef");
}

}  // namespace
}  // namespace snipeworks
