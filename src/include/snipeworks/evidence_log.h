#ifndef SNIPEWORKS_EVIDENCE_LOG_H_
#define SNIPEWORKS_EVIDENCE_LOG_H_

#include "snipeworks/event_log.h"
#include "snipeworks/poison_tracker.h"

namespace snipeworks {

/// Writes what counts against a request; `source` is who has told it.
void LogEvidence(EventLog& log,
                 const PoisonEvidence& evidence,
                 const char* source);

}  // namespace snipeworks

#endif  // SNIPEWORKS_EVIDENCE_LOG_H_
