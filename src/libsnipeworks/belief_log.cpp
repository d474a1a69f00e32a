#include "snipeworks/belief_log.h"

#include <string>

namespace snipeworks {

void LogTarget(EventLog& log, const Announcement& news, const char* source) {
  log.Write(EventKind::kTargetChanged, {{"target", news.target},
                                        {"group", news.group},
                                        {"address", news.address},
                                        {"state", ToString(news.state)},
                                        {"incarnation", news.incarnation},
                                        {"sequence", news.sequence},
                                        {"source", source}});
}

void LogEvidence(EventLog& log,
                 const PoisonEvidence& evidence,
                 const char* source) {
  std::string targets;
  for (const CrashedTarget& one : evidence.targets) {
    targets += (targets.empty() ? "" : " ") + one.target + "@" +
               std::to_string(one.incarnation);
  }
  log.Write(EventKind::kEvidence,
            {{"fingerprint", std::to_string(evidence.fingerprint)},
             {"targets", targets},
             {"refused_ms", evidence.quarantine},
             {"source", source}});
}

}  // namespace snipeworks
