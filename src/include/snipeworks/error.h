#ifndef SNIPEWORKS_ERROR_H_
#define SNIPEWORKS_ERROR_H_

#include <compare>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "snipeworks/clock.h"

namespace snipeworks {

/// Reasons for which a request ends without a result.
enum class ErrorKind {
  kBadRequest,
  kTooLarge,
  kUnauthenticated,
  kQuotaExceeded,
  kUnknownGroup,
  kUnknownRoute,
  kUnknownPath,
  kNotReady,
  kOverloaded,
  kQuarantined,
  kNoTarget,
  kClaimUnavailable,
  kNoQuorum,
  kOvertaken,
  kKeyReused,
  kKeyExpired,
  kInProgress,
  kDeadline,
  kTargetsFailed,
  kBrokeTargets,
  kOutcomeUnknown,
  kConflict,
  kInternal,
};

/// Whether the request was run on a target.
enum class ExecutionStatus { kNotRun, kMayHaveRun, kRan };

/// How an error kind is reported to callers.
struct ErrorRow {
  ErrorKind kind;
  std::string_view name;  ///< Stable name in `type` and in metrics.
  int http_status;
  ExecutionStatus execution;
  bool retryable;  ///< The same request may succeed later.
  std::string_view title;
};

/// One row for each ErrorKind.
std::span<const ErrorRow> ErrorTable();

const ErrorRow& RowOf(ErrorKind kind);

/// True if another host may succeed with a request that failed here: not if
/// the request itself is at fault.
bool MaySucceedElsewhere(ErrorKind kind);

/// The value in problem documents: "no", "maybe" or "yes".
std::string_view ToString(ExecutionStatus execution);

/// An error to return to a caller.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;                   ///< Human-readable explanation.
  std::optional<Duration> retry_after;  ///< Time to wait before a retry.

  friend bool operator==(const Error&, const Error&) = default;
};

/// Either a T or the Error that prevented it.
template <typename T>
using Result = tl::expected<T, Error>;

/// A Result in the failed state.
inline tl::unexpected<Error> Fail(
    ErrorKind kind,
    std::string detail,
    std::optional<Duration> retry_after = std::nullopt) {
  return tl::unexpected<Error>(Error{kind, std::move(detail), retry_after});
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_ERROR_H_
