#include "snipeworks/caller_api.h"

#include <charconv>

#include "snipeworks/json_reader.h"
#include "snipeworks/text.h"

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint64_t kMaxLimit = 1000;
constexpr std::uint64_t kDefaultLimit = 10;
// Above the limit of the query filter, so that the filter rejects longer
// queries and gives the reason.
constexpr std::size_t kMaxQueryBytes = std::size_t{64} * 1024;
constexpr Duration kOneSecond = std::chrono::seconds(1);

Result<std::optional<Duration>> ParseDeadline(std::string_view text) {
  if (text.empty()) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || end != text.data() + text.size()) {
    return Fail(ErrorKind::kBadRequest,
                std::string(kDeadlineHeader) + ": must be a whole number");
  }
  return std::chrono::milliseconds(milliseconds);
}

Result<RequestClass> ParseClass(std::string_view text) {
  if (text.empty()) {
    return RequestClass::kNormal;
  }
  if (auto known = ParseRequestClass(text)) {
    return *known;
  }
  return Fail(
      ErrorKind::kBadRequest,
      std::string(kClassHeader) + ": must be urgent, normal or routine");
}

json CoverageJson(const Coverage& coverage) {
  json missing = json::array();
  for (const MissingPart& part : coverage.missing) {
    missing.push_back({{"part", part.part},
                       {"documents", part.documents},
                       {"reason", ToString(part.reason)}});
  }
  return {{"parts_total", coverage.parts_total},
          {"parts_answered", coverage.parts_answered},
          {"documents_total", coverage.documents_total},
          {"documents_answered", coverage.documents_answered},
          {"missing", std::move(missing)}};
}

}  // namespace

std::string GroupInPath(std::string_view path, std::string_view verb) {
  constexpr std::string_view kPrefix = "/v1/groups/";
  const std::string suffix = "/" + std::string(verb);
  const bool matches = path.starts_with(kPrefix) && path.ends_with(suffix) &&
                       path.size() > kPrefix.size() + suffix.size();
  if (!matches) {
    return {};
  }
  const std::string_view group =
      path.substr(kPrefix.size(), path.size() - kPrefix.size() - suffix.size());
  const bool valid = group.find('/') == std::string_view::npos &&
                     group.size() <= kMaxNameBytes && IsPrintable(group);
  return valid ? std::string(group) : std::string();
}

Result<SearchRequest> ParseSearch(const std::string& group,
                                  const HttpRequest& request) {
  Result<json> document = ParseJson(request.body);
  if (!document) {
    return tl::unexpected(document.error());
  }
  JsonReader reader(*document);
  SearchRequest search;
  search.group = group;
  search.query = reader.String("query", kMaxQueryBytes);
  search.limit = static_cast<std::uint32_t>(
      reader.UnsignedOr("limit", kDefaultLimit, 1, kMaxLimit));
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
  }
  for (const auto& [name, value] : document->items()) {
    if (name != "query" && name != "limit") {
      return Fail(ErrorKind::kBadRequest, name + ": unknown member");
    }
  }
  auto deadline = ParseDeadline(request.Header(kDeadlineHeader));
  if (!deadline) {
    return tl::unexpected(deadline.error());
  }
  auto request_class = ParseClass(request.Header(kClassHeader));
  if (!request_class) {
    return tl::unexpected(request_class.error());
  }
  search.budget = *deadline;
  search.request_class = *request_class;
  search.caller = std::string(request.Header(kCallerHeader));
  if (search.caller.size() > kMaxNameBytes) {
    return Fail(ErrorKind::kBadRequest,
                std::string(kCallerHeader) + ": must have at most 128 bytes");
  }
  return search;
}

HttpResponse ToHttpResponse(const SearchAnswer& answer) {
  json hits = json::array();
  for (const Hit& hit : answer.hits) {
    hits.push_back({{"document", hit.document}, {"score", hit.score}});
  }
  const json document = {{"snapshot", answer.snapshot.number},
                         {"digest", answer.snapshot.digest},
                         {"coverage", CoverageJson(answer.coverage)},
                         {"hits", std::move(hits)},
                         {"attempts",
                          {{"primary", answer.attempts.primary},
                           {"hedge", answer.attempts.hedge},
                           {"retry", answer.attempts.retry},
                           {"replacement", answer.attempts.replacement}}}};
  HttpResponse response;
  response.body = WriteJson(document) + "\n";
  return response;
}

HttpResponse ToHttpResponse(const Error& error, RetryAfterFormat format) {
  const ErrorRow& row = RowOf(error.kind);
  json document = {{"type", "urn:snipeworks:error:" + std::string(row.name)},
                   {"title", row.title},
                   {"status", row.http_status},
                   {"detail", error.detail},
                   {"ran", ToString(row.execution)},
                   {"retry", row.retryable}};
  HttpResponse response;
  response.status = row.http_status;
  response.content_type = "application/problem+json";
  // Callers that accept fractions get Retry-After only for requests that were
  // not run; for others they decide themselves when to retry.
  if (row.retryable && (format == RetryAfterFormat::kWholeSeconds ||
                        row.execution == ExecutionStatus::kNotRun)) {
    const Duration wait = error.retry_after.value_or(kOneSecond);
    const auto rounded_up =
        std::chrono::ceil<std::chrono::seconds>(std::max(wait, Duration{1}));
    document["retry_after_ms"] = wait.count() / 1000;
    const double fraction = std::chrono::duration<double>(wait).count();
    response.headers.push_back(
        {"Retry-After", format == RetryAfterFormat::kWholeSeconds
                            ? std::to_string(rounded_up.count())
                            : std::to_string(fraction)});
  }
  response.body = WriteJson(document) + "\n";
  return response;
}

}  // namespace snipeworks
