#ifndef SNIPEWORKS_TARGET_EVENTS_H_
#define SNIPEWORKS_TARGET_EVENTS_H_

#include "snipeworks/announcement.h"
#include "snipeworks/event_log.h"
#include "snipeworks/poison_tracker.h"

namespace snipeworks {

/// Writes what a host believes of a target from now on; `source` is who told.
void LogTargetChange(EventLog& log,
                     const Announcement& news,
                     const char* source);

/// Writes what counts against a request; `source` is who has told it.
void LogEvidence(EventLog& log,
                 const PoisonEvidence& evidence,
                 const char* source);

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_EVENTS_H_
