#ifndef SNIPEWORKS_TARGET_EVENTS_H_
#define SNIPEWORKS_TARGET_EVENTS_H_

#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/event_log.h"
#include "snipeworks/poison_tracker.h"
#include "snipeworks/zone_evacuations.h"

namespace snipeworks {

/// Writes a target_changed event: what this host knows of the target from now
/// on. `source` names the origin of the change.
void LogTargetChange(EventLog& log,
                     const Announcement& announcement,
                     const char* source);

/// Writes a zone_evacuated event for each zone in which the evacuated ones
/// differ.
void LogEvacuations(EventLog& log,
                    const std::vector<EvacuatedZone>& before,
                    const std::vector<EvacuatedZone>& now);

/// Writes an evidence event. `source` names the origin of the evidence.
void LogEvidence(EventLog& log,
                 const PoisonEvidence& evidence,
                 const char* source);

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_EVENTS_H_
