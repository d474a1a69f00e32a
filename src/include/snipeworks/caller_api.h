#ifndef SNIPEWORKS_CALLER_API_H_
#define SNIPEWORKS_CALLER_API_H_

#include <string>

#include "snipeworks/error.h"
#include "snipeworks/http_message.h"
#include "snipeworks/search.h"

namespace snipeworks {

/// Headers of a request from a caller.
inline constexpr char kDeadlineHeader[] = "Snipe-Deadline-Ms";
inline constexpr char kCallerHeader[] = "Snipe-Caller";
inline constexpr char kClassHeader[] = "Snipe-Class";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

/// The group in a path "/v1/groups/GROUP/VERB"; empty if the path has another
/// form.
std::string GroupInPath(std::string_view path, std::string_view verb);

/// Parses a search from headers and JSON body. Fails with kBadRequest.
Result<SearchRequest> ParseSearch(const std::string& group,
                                  const HttpRequest& request);

/// The HTTP response with a search answer in JSON.
HttpResponse ToHttpResponse(const SearchAnswer& answer);

/// Format of Retry-After: whole seconds, as RFC 9110 requires, or with a
/// fraction, for callers that accept one.
enum class RetryAfterFormat { kWholeSeconds, kFractionalSeconds };

/// An error as RFC 9457 problem JSON, with Retry-After if a retry may succeed.
HttpResponse ToHttpResponse(
    const Error& error,
    RetryAfterFormat format = RetryAfterFormat::kWholeSeconds);

}  // namespace snipeworks

#endif  // SNIPEWORKS_CALLER_API_H_
