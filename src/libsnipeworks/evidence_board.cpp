#include "snipeworks/evidence_board.h"

#include "snipeworks/policy.h"

namespace snipeworks {

namespace {

// For two suspicions of different hosts that add up to a quarantine here.
constexpr Duration kQuarantine =
    std::chrono::seconds(GroupPolicy().quarantine_s);
// A request that was cleared is told of for so long; a host that hears nothing
// until then runs it alone once.
constexpr Duration kClearedKept = std::chrono::seconds(10);

}  // namespace

bool EvidenceStore::Add(Instant now, const PoisonEvidence& evidence) {
  const Fingerprint fingerprint = evidence.fingerprint;
  const PoisonEvidence before = tracker_.EvidenceOf(now, fingerprint, {});
  tracker_.Merge(now, evidence, kQuarantine);
  const PoisonEvidence after = tracker_.EvidenceOf(now, fingerprint, {});
  const bool held_before = before.quarantine > Duration{};
  const bool held_after = after.quarantine > Duration{};
  if (before.targets == after.targets && held_before == held_after) {
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
    return cleared && now - entry.second.at > kClearedKept;
  });
}

}  // namespace snipeworks
