#include "snipeworks/error.h"

#include <array>

namespace snipeworks {

namespace {

constexpr std::array kTable = {
    ErrorRow{ErrorKind::kBadRequest, "bad-request", 400,
             ExecutionStatus::kNotRun, false, "The request is malformed"},
    ErrorRow{ErrorKind::kTooLarge, "too-large", 413, ExecutionStatus::kNotRun,
             false, "The request is larger than allowed"},
    ErrorRow{ErrorKind::kUnauthenticated, "unauthenticated", 401,
             ExecutionStatus::kNotRun, false,
             "The request has no key of a customer"},
    ErrorRow{ErrorKind::kQuotaExceeded, "quota-exceeded", 429,
             ExecutionStatus::kNotRun, true,
             "The customer has used its quota of requests"},
    ErrorRow{ErrorKind::kUnknownGroup, "unknown-group", 404,
             ExecutionStatus::kNotRun, true,
             "No target has announced this service group"},
    ErrorRow{ErrorKind::kUnknownRoute, "unknown-route", 404,
             ExecutionStatus::kNotRun, false,
             "No route leads from this host name and path"},
    ErrorRow{ErrorKind::kUnknownPath, "unknown-path", 404,
             ExecutionStatus::kNotRun, false, "There is no such call"},
    ErrorRow{ErrorKind::kNotReady, "not-ready", 503, ExecutionStatus::kNotRun,
             true, "This entry host is still starting"},
    ErrorRow{ErrorKind::kOverloaded, "overloaded", 503,
             ExecutionStatus::kNotRun, true,
             "The request could not finish in its deadline"},
    ErrorRow{ErrorKind::kQuarantined, "quarantined", 503,
             ExecutionStatus::kNotRun, true,
             "This request has broken targets and is not run for now"},
    ErrorRow{ErrorKind::kNoTarget, "no-target", 503, ExecutionStatus::kNotRun,
             true, "No live target can run this request"},
    ErrorRow{ErrorKind::kClaimUnavailable, "claim-unavailable", 503,
             ExecutionStatus::kNotRun, true,
             "The control hosts cannot be reached to claim the key"},
    ErrorRow{ErrorKind::kNoQuorum, "no-quorum", 503,
             ExecutionStatus::kMayHaveRun, true,
             "No quorum of control hosts answers"},
    ErrorRow{ErrorKind::kOvertaken, "overtaken", 503, ExecutionStatus::kNotRun,
             true, "A newer order may have replaced this one"},
    ErrorRow{ErrorKind::kKeyReused, "key-reused", 422, ExecutionStatus::kNotRun,
             false, "The idempotency key was used with another body"},
    ErrorRow{ErrorKind::kKeyExpired, "key-expired", 422,
             ExecutionStatus::kNotRun, false,
             "The idempotency key is older than claims are kept"},
    ErrorRow{ErrorKind::kInProgress, "in-progress", 409,
             ExecutionStatus::kMayHaveRun, true,
             "A request with this idempotency key is being run"},
    ErrorRow{ErrorKind::kDeadline, "deadline-exceeded", 504,
             ExecutionStatus::kMayHaveRun, true,
             "No answer arrived within the deadline"},
    ErrorRow{ErrorKind::kTargetsFailed, "targets-failed", 502,
             ExecutionStatus::kMayHaveRun, true,
             "The targets failed to answer"},
    ErrorRow{ErrorKind::kBrokeTargets, "broke-targets", 502,
             ExecutionStatus::kMayHaveRun, true,
             "Targets broke while running this request"},
    ErrorRow{ErrorKind::kOutcomeUnknown, "outcome-unknown", 502,
             ExecutionStatus::kMayHaveRun, false,
             "The request may have run; it will not be run again"},
    ErrorRow{ErrorKind::kConflict, "conflict", 409, ExecutionStatus::kNotRun,
             false, "The settings have changed since the version named"},
    ErrorRow{ErrorKind::kInternal, "internal", 500,
             ExecutionStatus::kMayHaveRun, false, "The entry host failed"},
};

}  // namespace

std::span<const ErrorRow> ErrorTable() {
  return kTable;
}

const ErrorRow& RowOf(ErrorKind kind) {
  for (const ErrorRow& row : kTable) {
    if (row.kind == kind) {
      return row;
    }
  }
  return kTable.back();
}

bool MaySucceedElsewhere(ErrorKind kind) {
  return kind == ErrorKind::kOverloaded || kind == ErrorKind::kNoTarget ||
         kind == ErrorKind::kUnknownGroup || kind == ErrorKind::kTargetsFailed;
}

std::string_view ToString(ExecutionStatus execution) {
  switch (execution) {
    case ExecutionStatus::kNotRun:
      return "no";
    case ExecutionStatus::kMayHaveRun:
      return "maybe";
    case ExecutionStatus::kRan:
      return "yes";
  }
  return "maybe";
}

}  // namespace snipeworks
