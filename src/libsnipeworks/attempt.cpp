#include "snipeworks/attempt.h"

namespace snipeworks {

const char* ToString(AttemptKind kind) {
  switch (kind) {
    case AttemptKind::kPrimary:
      return "primary";
    case AttemptKind::kHedge:
      return "hedge";
    case AttemptKind::kRetry:
      return "retry";
    case AttemptKind::kReplacement:
      return "replacement";
  }
  return "primary";
}

bool ProvesNotRun(AttemptStatus status) {
  switch (status) {
    case AttemptStatus::kShed:
    case AttemptStatus::kDraining:
    case AttemptStatus::kWrongTarget:
    case AttemptStatus::kWrongSnapshot:
    case AttemptStatus::kNotSent:
    case AttemptStatus::kSilent:
      return true;
    case AttemptStatus::kAnswered:
    case AttemptStatus::kLost:
    case AttemptStatus::kFailed:
    case AttemptStatus::kCancelled:
      return false;
  }
  return false;
}

const char* ToString(AttemptStatus status) {
  switch (status) {
    case AttemptStatus::kAnswered:
      return "answered";
    case AttemptStatus::kShed:
      return "shed";
    case AttemptStatus::kDraining:
      return "draining";
    case AttemptStatus::kWrongTarget:
      return "wrong-target";
    case AttemptStatus::kWrongSnapshot:
      return "wrong-snapshot";
    case AttemptStatus::kNotSent:
      return "not-sent";
    case AttemptStatus::kLost:
      return "lost";
    case AttemptStatus::kSilent:
      return "silent";
    case AttemptStatus::kFailed:
      return "failed";
    case AttemptStatus::kCancelled:
      return "cancelled";
  }
  return "failed";
}

bool HasResponded(const AttemptOutcome& outcome) {
  switch (outcome.status) {
    case AttemptStatus::kAnswered:
    case AttemptStatus::kShed:
    case AttemptStatus::kDraining:
    case AttemptStatus::kWrongTarget:
    case AttemptStatus::kWrongSnapshot:
      return true;
    case AttemptStatus::kFailed:
      return outcome.answer != nullptr;
    case AttemptStatus::kNotSent:
    case AttemptStatus::kLost:
    case AttemptStatus::kSilent:
    case AttemptStatus::kCancelled:
      return false;
  }
  return false;
}

}  // namespace snipeworks
