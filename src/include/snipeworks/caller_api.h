#ifndef SNIPEWORKS_CALLER_API_H_
#define SNIPEWORKS_CALLER_API_H_

#include <string>

#include "snipeworks/error.h"
#include "snipeworks/http_message.h"
#include "snipeworks/search.h"

namespace snipeworks {

/// Headers of a caller's request.
inline constexpr char kDeadlineHeader[] = "Snipe-Deadline-Ms";
inline constexpr char kCallerHeader[] = "Snipe-Caller";
inline constexpr char kClassHeader[] = "Snipe-Class";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

/// The group named in "/v1/groups/GROUP/VERB", or empty if the path is another.
std::string GroupInPath(std::string_view path, std::string_view verb);

/// Reads a search from headers and JSON body. Fails with kBadRequest.
Result<SearchRequest> ParseSearch(const std::string& group,
                                  const HttpRequest& request);

/// The JSON answer to a search.
HttpResponse ToHttp(const SearchAnswer& answer);

/// How Retry-After is written: in whole seconds, as RFC 9110 has it, or with a
/// fraction for callers who take it.
enum class RetryAfterFormat { kWholeSeconds, kFractionalSeconds };

/// An error as RFC 9457 problem JSON, with Retry-After where it helps.
HttpResponse ToHttp(const Error& error,
                    RetryAfterFormat form = RetryAfterFormat::kWholeSeconds);

}  // namespace snipeworks

#endif  // SNIPEWORKS_CALLER_API_H_
