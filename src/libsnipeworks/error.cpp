#include "snipeworks/error.h"

#include <array>

namespace snipeworks {

namespace {

constexpr std::array kTable = {
    ErrorRow{ErrorKind::kBadRequest, "bad-request", 400, Ran::kNo, false,
             "The request is malformed"},
    ErrorRow{ErrorKind::kTooLarge, "too-large", 413, Ran::kNo, false,
             "The request is larger than allowed"},
    ErrorRow{ErrorKind::kUnknownGroup, "unknown-group", 404, Ran::kNo, true,
             "No target has announced this service group"},
    ErrorRow{ErrorKind::kUnknownRoute, "unknown-route", 404, Ran::kNo, false,
             "No route leads from this host name and path"},
    ErrorRow{ErrorKind::kUnknownPath, "unknown-path", 404, Ran::kNo, false,
             "There is no such call"},
    ErrorRow{ErrorKind::kNotReady, "not-ready", 503, Ran::kNo, true,
             "This entry host is still starting"},
    ErrorRow{ErrorKind::kOverloaded, "overloaded", 503, Ran::kNo, true,
             "The request could not finish in its deadline"},
    ErrorRow{ErrorKind::kQuarantined, "quarantined", 503, Ran::kNo, true,
             "This request has broken targets and is not run for now"},
    ErrorRow{ErrorKind::kNoTarget, "no-target", 503, Ran::kNo, true,
             "No live target can run this request"},
    ErrorRow{ErrorKind::kClaimUnavailable, "claim-unavailable", 503, Ran::kNo,
             true, "The control hosts cannot be reached to claim the key"},
    ErrorRow{ErrorKind::kNoQuorum, "no-quorum", 503, Ran::kMaybe, true,
             "No quorum of control hosts answers"},
    ErrorRow{ErrorKind::kKeyReused, "key-reused", 422, Ran::kNo, false,
             "The idempotency key was used with another body"},
    ErrorRow{ErrorKind::kKeyExpired, "key-expired", 422, Ran::kNo, false,
             "The idempotency key is older than claims are kept"},
    ErrorRow{ErrorKind::kInProgress, "in-progress", 409, Ran::kMaybe, true,
             "A request with this idempotency key is being run"},
    ErrorRow{ErrorKind::kDeadline, "deadline-exceeded", 504, Ran::kMaybe, true,
             "No answer arrived within the deadline"},
    ErrorRow{ErrorKind::kTargetsFailed, "targets-failed", 502, Ran::kMaybe,
             true, "The targets failed to answer"},
    ErrorRow{ErrorKind::kBrokeTargets, "broke-targets", 502, Ran::kMaybe, true,
             "Targets broke while running this request"},
    ErrorRow{ErrorKind::kOutcomeUnknown, "outcome-unknown", 502, Ran::kMaybe,
             false, "The request may have run; it will not be run again"},
    ErrorRow{ErrorKind::kConflict, "conflict", 409, Ran::kNo, false,
             "The settings have changed since the version named"},
    ErrorRow{ErrorKind::kInternal, "internal", 500, Ran::kMaybe, false,
             "The entry host failed"},
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

std::string_view ToString(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kMaybe:
      return "maybe";
    case Ran::kYes:
      return "yes";
  }
  return "maybe";
}

}  // namespace snipeworks
