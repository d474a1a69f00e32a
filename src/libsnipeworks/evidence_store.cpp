#include "snipeworks/evidence_store.h"

#include "snipeworks/policy.h"

namespace snipeworks {

namespace {

// Applies if suspicions of different hosts add up to a quarantine here.
constexpr Duration kQuarantine =
    std::chrono::seconds(GroupPolicy().quarantine_s);
// Retention of cleared requests. A host that does not learn of the clearing in
// this time runs the request alone once.
constexpr Duration kClearedRetention = std::chrono::seconds(10);

}  // namespace

bool EvidenceStore::Add(Instant now, const PoisonEvidence& evidence) {
  const Fingerprint fingerprint = evidence.fingerprint;
  const PoisonEvidence before = tracker_.EvidenceOf(now, fingerprint, {});
  tracker_.Merge(now, evidence, kQuarantine);
  const PoisonEvidence after = tracker_.EvidenceOf(now, fingerprint, {});
  const bool was_quarantined = before.quarantine > Duration{};
  const bool is_quarantined = after.quarantine > Duration{};
  if (before.targets == after.targets && was_quarantined == is_quarantined) {
    return false;
  }
  changes_[fingerprint] = {++serial_, now};
  return true;
}

std::vector<PoisonEvidence> EvidenceStore::ChangesSince(
    Instant now,
    std::uint64_t serial) const {
  if (serial == 0) {
    return tracker_.All(now, {});
  }
  std::vector<PoisonEvidence> result;
  for (const auto& [fingerprint, change] : changes_) {
    if (change.serial > serial) {
      result.push_back(tracker_.EvidenceOf(now, fingerprint, {}));
    }
  }
  return result;
}

void EvidenceStore::Prune(Instant now) {
  tracker_.Prune(now);
  std::erase_if(changes_, [&](const auto& entry) {
    const bool cleared =
        tracker_.EvidenceOf(now, entry.first, {}).targets.empty();
    return cleared && now - entry.second.at > kClearedRetention;
  });
}

}  // namespace snipeworks
