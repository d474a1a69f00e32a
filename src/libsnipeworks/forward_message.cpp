#include "snipeworks/forward_message.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "snipeworks/caller_api.h"
#include "snipeworks/http_client.h"
#include "snipeworks/poison_tracker.h"
#include "snipeworks/record_merge.h"

namespace snipeworks {

namespace {

// Statuses that tell callers that the request was not run.
constexpr std::array<int, 4> kNotRunStatuses = {408, 421, 429, 503};

}  // namespace

std::shared_ptr<const ForwardedRequest> ToForwardedRequest(
    HttpRequest& request,
    const ForwardNames& names,
    const ForwardedIdentity& identity) {
  auto message = std::make_shared<SharedRequest>();
  const std::string place = request.method + ' ' + request.target + ' ' +
                            std::string(request.Header("Host"));
  message->is_head_method = request.method == "HEAD";
  message->head.reserve(512);
  message->head = request.method + ' ' + request.target + " HTTP/1.1\r\n";
  auto forwarded = std::make_shared<ForwardedRequest>();
  RemoveHopByHopHeaders(request.headers);
  // What the target sees: not an id that the caller had removed, and without
  // the blanks around it.
  forwarded->request_id =
      std::string(TrimBlanks(request.Header(names.request_id)));
  for (const HttpHeader& header : request.headers) {
    if (SameHeaderName(header.name, names.deadline_ms) ||
        SameHeaderName(header.name, names.expected_target) ||
        SameHeaderName(header.name, names.customer) ||
        (identity.strip_authorization &&
         SameHeaderName(header.name, names.authorization))) {
      continue;
    }
    message->head += header.name + ": " + header.value + "\r\n";
  }
  if (!identity.customer.empty()) {
    message->head += names.customer + ": " + identity.customer + "\r\n";
  }
  const bool has_no_body = request.body.empty();
  if (has_no_body && (request.method == "POST" || request.method == "PUT")) {
    message->head += "Content-Length: 0\r\n";
  }
  message->body = std::move(request.body);
  forwarded->fingerprint = FingerprintOf(place, message->body);
  forwarded->message = std::move(message);
  return forwarded;
}

HttpResponse ToResponse(const SearchAnswer& answer,
                        const SearchRequest& request,
                        const ResponseFormat& format,
                        const ForwardNames& names) {
  HttpResponse response;
  if (format.pass_through) {
    const TargetAnswer& only = *answer.answers.front();
    response.status = only.status;
    response.content_type.clear();
    response.headers = only.headers;
    response.body = only.body;
    if (format.is_head_method) {
      response.declared_length = only.declared_length;
    }
    return response;
  }
  std::vector<std::string_view> bodies;
  std::string signatures;
  for (const auto& part : answer.answers) {
    bodies.push_back(part->body);
    signatures += (signatures.empty() ? "" : ", ") + part->signature;
  }
  const std::size_t missing =
      request.plan->groups.size() - answer.answers.size();
  response.content_type = "application/octet-stream";
  response.body = TopRecords(bodies, format.top_records);
  response.headers = {{names.request_id, request.forwarded->request_id},
                      {names.part_signatures, std::move(signatures)},
                      {names.missing_parts, std::to_string(missing)}};
  return response;
}

HttpResponse ToFailureResponse(const FinishSearch& finish,
                               const SearchRequest& request,
                               const ResponseFormat& format,
                               const ForwardNames& names) {
  const Error& error = finish.result.error();
  const bool ran = RowOf(error.kind).execution != ExecutionStatus::kNotRun;
  if (format.pass_through && finish.failure && ran) {
    const TargetAnswer& failure = *finish.failure;
    const bool implies_not_run =
        std::ranges::find(kNotRunStatuses, failure.status) !=
        kNotRunStatuses.end();
    const bool success = failure.status >= 200 && failure.status < 300;
    if (!success && (!implies_not_run || request.repeatable)) {
      HttpResponse response;
      response.status = failure.status;
      response.content_type.clear();
      response.headers = failure.headers;
      response.body = failure.body;
      return response;
    }
  }
  HttpResponse response =
      ToHttpResponse(error, RetryAfterFormat::kFractionalSeconds);
  response.headers.push_back({names.request_id, request.forwarded->request_id});
  return response;
}

}  // namespace snipeworks
