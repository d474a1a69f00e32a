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

/// Every way in which a request can end without a result.
enum class ErrorKind {
  kBadRequest,
  kTooLarge,
  kUnknownGroup,
  kUnknownRoute,
  kUnknownPath,
  kNotReady,
  kOverloaded,
  kQuarantined,
  kNoTarget,
  kClaimUnavailable,
  kNoQuorum,
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

/// How an error kind is told to a caller.
struct ErrorRow {
  ErrorKind kind;
  std::string_view name;  ///< Stable name, used in `type` and in metrics.
  int http_status;
  ExecutionStatus execution;
  bool retryable;  ///< True if the same request may succeed later.
  std::string_view title;
};

/// The closed table from kind to answer, one row for each kind.
std::span<const ErrorRow> ErrorTable();

/// The row of `kind`.
const ErrorRow& RowOf(ErrorKind kind);

/// "no", "maybe" or "yes".
std::string_view ToString(ExecutionStatus execution);

/// An error on its way to a caller.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;                   ///< What happened, for a person.
  std::optional<Duration> retry_after;  ///< When to come back.

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
