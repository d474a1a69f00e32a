#include "snipeworks/poison_tracker.h"

#include <algorithm>

#include <xxhash.h>

namespace snipeworks {

namespace {

constexpr std::size_t kTargetsToCondemn = 2;
constexpr Duration kSurvivorKept = std::chrono::minutes(10);
// Bounds the memory that a stream of distinct queries can take.
constexpr std::size_t kMaxSurvivors = 100000;

}  // namespace

Fingerprint FingerprintOf(std::string_view group, std::string_view query) {
  const std::uint64_t seed = XXH3_64bits(group.data(), group.size());
  return XXH3_64bits_withSeed(query.data(), query.size(), seed);
}

PoisonTracker::Standing PoisonTracker::StandingOf(Instant now,
                                                  Fingerprint fingerprint,
                                                  const SnapshotId& snapshot) {
  auto suspect = suspects_.find(fingerprint);
  if (suspect != suspects_.end() && now < suspect->second.forgotten_at) {
    if (now < suspect->second.quarantined_until) {
      return Standing::kQuarantined;
    }
    if (now < suspect->second.tested_elsewhere_until) {
      return Standing::kTested;
    }
    if (!suspect->second.broken.empty()) {
      return Standing::kSuspected;
    }
  }
  auto survivor = survivors_.find(fingerprint);
  const bool good = survivor != survivors_.end() &&
                    survivor->second.snapshot == snapshot &&
                    now < survivor->second.forgotten_at;
  return good ? Standing::kGood : Standing::kUnknown;
}

Duration PoisonTracker::RefusedFor(Instant now, Fingerprint fingerprint) const {
  auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return {};
  }
  const Instant until = std::max(found->second.quarantined_until,
                                 found->second.tested_elsewhere_until);
  return std::max(Duration{}, until - now);
}

void PoisonTracker::OnSurvived(Instant now,
                               Fingerprint fingerprint,
                               const SnapshotId& snapshot) {
  auto suspect = suspects_.find(fingerprint);
  if (suspect != suspects_.end()) {
    if (now < suspect->second.quarantined_until) {
      return;
    }
    suspects_.erase(suspect);
  }
  if (survivors_.size() >= kMaxSurvivors && !survivors_.contains(fingerprint)) {
    return;
  }
  survivors_[fingerprint] = {snapshot, now + kSurvivorKept};
}

bool PoisonTracker::Condemn(Instant now,
                            Suspect& suspect,
                            Duration quarantine) {
  const bool was_held = now < suspect.quarantined_until;
  if (was_held || suspect.broken.size() < kTargetsToCondemn) {
    return false;
  }
  suspect.quarantined_until = now + quarantine;
  return true;
}

std::size_t PoisonTracker::OnBroken(Instant now,
                                    Fingerprint fingerprint,
                                    const std::string& target,
                                    Duration quarantine) {
  survivors_.erase(fingerprint);
  Suspect& suspect = suspects_[fingerprint];
  if (now >= suspect.forgotten_at) {
    suspect = Suspect{};
  }
  suspect.broken.insert(target);
  suspect.forgotten_at = now + quarantine;
  Condemn(now, suspect, quarantine);
  return suspect.broken.size();
}

bool PoisonTracker::Merge(Instant now,
                          const PoisonEvidence& evidence,
                          Duration quarantine) {
  if (evidence.targets.empty()) {
    auto cleared = suspects_.find(evidence.fingerprint);
    if (cleared != suspects_.end() &&
        now >= cleared->second.quarantined_until) {
      suspects_.erase(cleared);
    }
    return false;
  }
  survivors_.erase(evidence.fingerprint);
  Suspect& suspect = suspects_[evidence.fingerprint];
  if (now >= suspect.forgotten_at) {
    suspect = Suspect{};
  }
  suspect.broken.insert(evidence.targets.begin(), evidence.targets.end());
  suspect.forgotten_at = now + quarantine;
  suspect.tested_elsewhere_until =
      std::max(suspect.tested_elsewhere_until, now + evidence.testing);
  if (evidence.quarantine > Duration{} && now >= suspect.quarantined_until) {
    suspect.quarantined_until = now + evidence.quarantine;
    suspect.forgotten_at = suspect.quarantined_until;
    return true;
  }
  return Condemn(now, suspect, quarantine);
}

PoisonEvidence PoisonTracker::EvidenceOf(Instant now,
                                         Fingerprint fingerprint,
                                         const std::string& host) const {
  PoisonEvidence evidence;
  evidence.fingerprint = fingerprint;
  evidence.host = host;
  auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return evidence;
  }
  const Suspect& suspect = found->second;
  evidence.targets.assign(suspect.broken.begin(), suspect.broken.end());
  evidence.quarantine = std::max(Duration{}, suspect.quarantined_until - now);
  return evidence;
}

std::vector<Fingerprint> PoisonTracker::Quarantined(Instant now) const {
  std::vector<Fingerprint> result;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (now < suspect.quarantined_until) {
      result.push_back(fingerprint);
    }
  }
  return result;
}

bool PoisonTracker::Release(Fingerprint fingerprint) {
  return suspects_.erase(fingerprint) > 0;
}

void PoisonTracker::Prune(Instant now) {
  std::erase_if(suspects_, [&](const auto& entry) {
    return now >= entry.second.forgotten_at;
  });
  std::erase_if(survivors_, [&](const auto& entry) {
    return now >= entry.second.forgotten_at;
  });
}

}  // namespace snipeworks
