#include "snipeworks/poison_tracker.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace snipeworks {

namespace {

constexpr std::size_t kTargetsToCondemn = 2;
constexpr Duration kSurvivorKept = std::chrono::minutes(10);
// Bounds the memory that a stream of distinct queries can take.
constexpr std::size_t kMaxSurvivors = 100000;
// Bounds what requests that targets die under can take, here and on the wire.
constexpr std::size_t kMaxSuspects = 10000;

}  // namespace

Fingerprint FingerprintOf(std::string_view group, std::string_view query) {
  const std::uint64_t seed = XXH3_64bits(group.data(), group.size());
  return XXH3_64bits_withSeed(query.data(), query.size(), seed);
}

PoisonTracker::Verdict PoisonTracker::VerdictOf(Instant now,
                                                Fingerprint fingerprint,
                                                const SnapshotId& snapshot) {
  auto suspect = suspects_.find(fingerprint);
  if (suspect != suspects_.end() && now < suspect->second.forgotten_at) {
    if (IsQuarantined(now, suspect->second)) {
      return Verdict::kQuarantined;
    }
    if (now < suspect->second.tested_elsewhere_until) {
      return Verdict::kTestedElsewhere;
    }
    if (!suspect->second.crashed.empty()) {
      return Verdict::kSuspected;
    }
  }
  auto survivor = survivors_.find(fingerprint);
  const bool good = survivor != survivors_.end() &&
                    survivor->second.snapshot == snapshot &&
                    now < survivor->second.forgotten_at;
  return good ? Verdict::kSafe : Verdict::kUnknown;
}

bool PoisonTracker::IsQuarantined(Instant now, const Suspect& suspect) const {
  return now < suspect.quarantined_until &&
         std::ranges::any_of(suspect.crashed, [&](const CrashedTarget& target) {
           return suspects_of_.at(target).size() == 1;
         });
}

Duration PoisonTracker::RefusedFor(Instant now, Fingerprint fingerprint) const {
  auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return {};
  }
  const Suspect& suspect = found->second;
  const Instant held =
      IsQuarantined(now, suspect) ? suspect.quarantined_until : now;
  return std::max(held, suspect.tested_elsewhere_until) - now;
}

void PoisonTracker::OnSurvived(Instant now,
                               Fingerprint fingerprint,
                               const SnapshotId& snapshot) {
  auto suspect = suspects_.find(fingerprint);
  if (suspect != suspects_.end()) {
    if (IsQuarantined(now, suspect->second)) {
      return;
    }
    Forget(suspect);
  }
  if (survivors_.size() >= kMaxSurvivors && !survivors_.contains(fingerprint)) {
    return;
  }
  survivors_[fingerprint] = {snapshot, now + kSurvivorKept};
}

PoisonTracker::Suspect* PoisonTracker::EnsureSuspect(Instant now,
                                                     Fingerprint fingerprint) {
  survivors_.erase(fingerprint);
  auto found = suspects_.find(fingerprint);
  if (found != suspects_.end() && now >= found->second.forgotten_at) {
    Forget(found);
    found = suspects_.end();
  }
  if (found != suspects_.end()) {
    return &found->second;
  }
  if (suspects_.size() >= kMaxSuspects) {
    Prune(now);
  }
  return suspects_.size() < kMaxSuspects ? &suspects_[fingerprint] : nullptr;
}

void PoisonTracker::AddCrash(Fingerprint fingerprint,
                             Suspect& suspect,
                             const CrashedTarget& target) {
  suspect.crashed.insert(target);
  suspects_of_[target].insert(fingerprint);
}

PoisonTracker::Suspects::iterator PoisonTracker::Forget(
    Suspects::iterator suspect) {
  for (const CrashedTarget& target : suspect->second.crashed) {
    auto others = suspects_of_.find(target);
    others->second.erase(suspect->first);
    if (others->second.empty()) {
      suspects_of_.erase(others);
    }
  }
  return suspects_.erase(suspect);
}

std::size_t PoisonTracker::OnCrash(Instant now,
                                   Fingerprint fingerprint,
                                   const CrashedTarget& target,
                                   Duration quarantine) {
  Suspect* suspect = EnsureSuspect(now, fingerprint);
  if (suspect == nullptr) {
    return 0;
  }
  AddCrash(fingerprint, *suspect, target);
  suspect->forgotten_at = now + quarantine;
  if (suspect->crashed.size() >= kTargetsToCondemn &&
      now >= suspect->quarantined_until) {
    suspect->quarantined_until = now + quarantine;
  }
  return suspect->crashed.size();
}

bool PoisonTracker::Merge(Instant now,
                          const PoisonEvidence& evidence,
                          Duration quarantine) {
  if (evidence.targets.empty()) {
    auto cleared = suspects_.find(evidence.fingerprint);
    if (cleared != suspects_.end() && !IsQuarantined(now, cleared->second)) {
      Forget(cleared);
    }
    return false;
  }
  Suspect* suspect = EnsureSuspect(now, evidence.fingerprint);
  if (suspect == nullptr) {
    return false;
  }
  const bool was_held = IsQuarantined(now, *suspect);
  for (const CrashedTarget& target : evidence.targets) {
    AddCrash(evidence.fingerprint, *suspect, target);
  }
  suspect->tested_elsewhere_until =
      std::max(suspect->tested_elsewhere_until, now + evidence.testing);
  if (now >= suspect->quarantined_until) {
    suspect->forgotten_at = now + quarantine;
    if (evidence.quarantine > Duration{}) {
      suspect->quarantined_until = now + evidence.quarantine;
      suspect->forgotten_at = suspect->quarantined_until;
    } else if (suspect->crashed.size() >= kTargetsToCondemn) {
      suspect->quarantined_until = now + quarantine;
    }
  }
  return !was_held && IsQuarantined(now, *suspect);
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
  evidence.targets.assign(suspect.crashed.begin(), suspect.crashed.end());
  if (IsQuarantined(now, suspect)) {
    evidence.quarantine = suspect.quarantined_until - now;
  }
  return evidence;
}

std::vector<PoisonEvidence> PoisonTracker::All(Instant now,
                                               const std::string& host) const {
  std::vector<PoisonEvidence> result;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (now < suspect.forgotten_at) {
      result.push_back(EvidenceOf(now, fingerprint, host));
    }
  }
  return result;
}

std::vector<Fingerprint> PoisonTracker::Quarantined(Instant now) const {
  std::vector<Fingerprint> result;
  for (const auto& [fingerprint, suspect] : suspects_) {
    if (IsQuarantined(now, suspect)) {
      result.push_back(fingerprint);
    }
  }
  return result;
}

bool PoisonTracker::Release(Fingerprint fingerprint) {
  auto found = suspects_.find(fingerprint);
  if (found == suspects_.end()) {
    return false;
  }
  Forget(found);
  return true;
}

void PoisonTracker::Prune(Instant now) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    it = now >= it->second.forgotten_at ? Forget(it) : std::next(it);
  }
  std::erase_if(survivors_, [&](const auto& entry) {
    return now >= entry.second.forgotten_at;
  });
}

}  // namespace snipeworks
