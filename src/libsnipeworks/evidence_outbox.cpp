#include "snipeworks/evidence_outbox.h"

namespace snipeworks {

namespace {

// Older undelivered evidence is of little use: by then the request has arrived
// again or will not.
constexpr Duration kRetention = std::chrono::seconds(30);

}  // namespace

void EvidenceOutbox::Add(Instant now, const PoisonEvidence& evidence) {
  pending_[evidence.fingerprint] = {evidence, now, {}};
}

std::vector<PoisonEvidence> EvidenceOutbox::PendingFor(
    Instant now,
    const std::string& control) {
  std::erase_if(pending_, [&](const auto& entry) {
    return now - entry.second.added_at > kRetention;
  });
  std::vector<PoisonEvidence> result;
  for (const auto& [fingerprint, pending] : pending_) {
    if (!pending.received_by.contains(control)) {
      result.push_back(pending.evidence);
    }
  }
  return result;
}

void EvidenceOutbox::OnDelivered(const std::string& control,
                                 const std::vector<PoisonEvidence>& delivered,
                                 std::size_t required_hosts) {
  for (const PoisonEvidence& one : delivered) {
    auto found = pending_.find(one.fingerprint);
    if (found == pending_.end() || found->second.evidence != one) {
      continue;
    }
    found->second.received_by.insert(control);
    if (found->second.received_by.size() >= required_hosts) {
      pending_.erase(found);
    }
  }
}

}  // namespace snipeworks
