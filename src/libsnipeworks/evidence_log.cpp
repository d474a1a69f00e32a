#include "snipeworks/evidence_log.h"

#include <string>

namespace snipeworks {

void LogEvidence(EventLog& log,
                 const PoisonEvidence& evidence,
                 const char* source) {
  std::string targets;
  for (const BrokenTarget& one : evidence.targets) {
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
