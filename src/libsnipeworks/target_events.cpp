#include "snipeworks/target_events.h"

#include <algorithm>
#include <string>

namespace snipeworks {

void LogTargetChange(EventLog& log,
                     const Announcement& announcement,
                     const char* source) {
  log.Write(EventKind::kTargetChanged,
            {{"target", announcement.target},
             {"group", announcement.group},
             {"address", announcement.address},
             {"state", ToString(announcement.state)},
             {"incarnation", announcement.incarnation},
             {"sequence", announcement.sequence},
             {"source", source}});
}

void LogEvacuations(EventLog& log,
                    const std::vector<EvacuatedZone>& before,
                    const std::vector<EvacuatedZone>& now) {
  const auto write = [&](const EvacuatedZone& zone, bool evacuated) {
    log.Write(EventKind::kZoneEvacuated, {{"zone", zone.zone},
                                          {"evacuated", evacuated},
                                          {"since_s", zone.since_s}});
  };
  for (const EvacuatedZone& zone : before) {
    if (std::ranges::find(now, zone) == now.end()) {
      write(zone, false);
    }
  }
  for (const EvacuatedZone& zone : now) {
    if (std::ranges::find(before, zone) == before.end()) {
      write(zone, true);
    }
  }
}

void LogEvidence(EventLog& log,
                 const PoisonEvidence& evidence,
                 const char* source) {
  std::string targets;
  for (const CrashedTarget& target : evidence.targets) {
    targets += (targets.empty() ? "" : " ") + target.target + "@" +
               std::to_string(target.incarnation);
  }
  log.Write(EventKind::kEvidence,
            {{"fingerprint", std::to_string(evidence.fingerprint)},
             {"targets", targets},
             {"refused_ms", evidence.quarantine},
             {"source", source}});
}

}  // namespace snipeworks
