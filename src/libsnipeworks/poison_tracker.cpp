#include "snipeworks/poison_tracker.h"

#include <algorithm>
#include <iterator>

#include <xxhash.h>

namespace snipeworks {

namespace {

constexpr std::size_t kCrashesToQuarantine = 2;
constexpr Duration kSurvivorRetention = std::chrono::minutes(10);
// Limits the memory that a stream of distinct queries can use.
constexpr std::size_t kMaxSurvivors = 100000;
// Limits what suspected requests can use in memory and on the wire.
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
  if (suspect != suspects_.end() && now < suspect->second.expires_at) {
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
  const bool safe = survivor != survivors_.end() &&
                    survivor->second.snapshot == snapshot &&
                    now < survivor->second.expires_at;
  return safe ? Verdict::kSafe : Verdict::kUnknown;
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
  const Instant refused_until =
      IsQuarantined(now, suspect) ? suspect.quarantined_until : now;
  return std::max(refused_until, suspect.tested_elsewhere_until) - now;
}

void PoisonTracker::OnSurvived(Instant now,
                               Fingerprint fingerprint,
                               const SnapshotId& snapshot) {
  auto suspect = suspects_.find(fingerprint);
  if (suspect != suspects_.end()) {
    if (IsQuarantined(now, suspect->second)) {
      return;
    }
    Remove(suspect);
  }
  if (survivors_.size() >= kMaxSurvivors && !survivors_.contains(fingerprint)) {
    return;
  }
  survivors_[fingerprint] = {snapshot, now + kSurvivorRetention};
}

PoisonTracker::Suspect* PoisonTracker::FindOrAddSuspect(
    Instant now,
    Fingerprint fingerprint) {
  survivors_.erase(fingerprint);
  auto found = suspects_.find(fingerprint);
  if (found != suspects_.end() && now >= found->second.expires_at) {
    Remove(found);
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

PoisonTracker::Suspects::iterator PoisonTracker::Remove(
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
  Suspect* suspect = FindOrAddSuspect(now, fingerprint);
  if (suspect == nullptr) {
    return 0;
  }
  AddCrash(fingerprint, *suspect, target);
  suspect->expires_at = now + quarantine;
  if (suspect->crashed.size() >= kCrashesToQuarantine &&
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
      Remove(cleared);
    }
    return false;
  }
  Suspect* suspect = FindOrAddSuspect(now, evidence.fingerprint);
  if (suspect == nullptr) {
    return false;
  }
  const bool was_quarantined = IsQuarantined(now, *suspect);
  for (const CrashedTarget& target : evidence.targets) {
    AddCrash(evidence.fingerprint, *suspect, target);
  }
  suspect->tested_elsewhere_until =
      std::max(suspect->tested_elsewhere_until, now + evidence.testing);
  if (now >= suspect->quarantined_until) {
    suspect->expires_at = now + quarantine;
    if (evidence.quarantine > Duration{}) {
      suspect->quarantined_until = now + evidence.quarantine;
      suspect->expires_at = suspect->quarantined_until;
    } else if (suspect->crashed.size() >= kCrashesToQuarantine) {
      suspect->quarantined_until = now + quarantine;
    }
  }
  return !was_quarantined && IsQuarantined(now, *suspect);
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
    if (now < suspect.expires_at) {
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
  Remove(found);
  return true;
}

void PoisonTracker::Prune(Instant now) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    it = now >= it->second.expires_at ? Remove(it) : std::next(it);
  }
  std::erase_if(survivors_, [&](const auto& entry) {
    return now >= entry.second.expires_at;
  });
}

}  // namespace snipeworks
