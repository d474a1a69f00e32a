#include "snipeworks/evidence_outbox.h"

namespace snipeworks {

namespace {

// Evidence that nobody has heard until then is of little use: what it counts
// against has come again, or does not come.
constexpr Duration kTold = std::chrono::seconds(30);

}  // namespace

void EvidenceOutbox::Add(Instant now, const PoisonEvidence& evidence) {
  untold_[evidence.fingerprint] = {evidence, now, {}};
}

std::vector<PoisonEvidence> EvidenceOutbox::PendingFor(
    Instant now,
    const std::string& control) {
  std::erase_if(untold_, [&](const auto& entry) {
    return now - entry.second.since > kTold;
  });
  std::vector<PoisonEvidence> result;
  for (const auto& [fingerprint, untold] : untold_) {
    if (!untold.heard_by.contains(control)) {
      result.push_back(untold.evidence);
    }
  }
  return result;
}

void EvidenceOutbox::OnDelivered(const std::string& control,
                                 const std::vector<PoisonEvidence>& told,
                                 std::size_t enough) {
  for (const PoisonEvidence& one : told) {
    auto found = untold_.find(one.fingerprint);
    if (found == untold_.end() || found->second.evidence != one) {
      continue;
    }
    found->second.heard_by.insert(control);
    if (found->second.heard_by.size() >= enough) {
      untold_.erase(found);
    }
  }
}

}  // namespace snipeworks
