#include "snipeworks/snapshot_catalog.h"

#include <algorithm>
#include <tuple>

namespace snipeworks {

namespace {

struct Candidate {
  PinnedSnapshot snapshot;
  std::size_t announcers = 0;
};

std::size_t IndexOfPart(const Manifest& manifest, PartNumber part) {
  auto found = std::ranges::find(manifest.parts, part, &ManifestPart::part);
  return static_cast<std::size_t>(found - manifest.parts.begin());
}

void AddHolder(const HeldSnapshot& held,
               const std::string& target,
               Candidate& candidate) {
  ++candidate.announcers;
  for (PartNumber part : held.parts) {
    const std::size_t index = IndexOfPart(candidate.snapshot.manifest, part);
    if (index < candidate.snapshot.replicas.size()) {
      candidate.snapshot.replicas[index].push_back(target);
    }
  }
}

// Hundredths of a percent, so that snapshots of unlike size compare.
std::uint64_t ReachableShare(const PinnedSnapshot& snapshot) {
  constexpr std::uint64_t kWhole = 10000;
  const std::uint64_t total = snapshot.manifest.documents();
  if (total == 0) {
    return kWhole;
  }
  std::uint64_t reachable = 0;
  for (std::size_t i = 0; i < snapshot.replicas.size(); ++i) {
    if (!snapshot.replicas[i].empty()) {
      reachable += snapshot.manifest.parts[i].documents;
    }
  }
  return reachable * kWhole / total;
}

auto Rank(const Candidate& candidate) {
  return std::make_tuple(ReachableShare(candidate.snapshot),
                         candidate.snapshot.id().number, candidate.announcers,
                         candidate.snapshot.id().digest);
}

}  // namespace

std::shared_ptr<const PinnedSnapshot> SnapshotForPlan(const SearchPlan& plan,
                                                      Instant now,
                                                      const TargetView& view) {
  auto snapshot = std::make_shared<PinnedSnapshot>();
  snapshot->manifest.id = {plan.version, plan.name};
  snapshot->groups = plan.groups;
  for (std::size_t i = 0; i < plan.groups.size(); ++i) {
    snapshot->manifest.parts.push_back({static_cast<PartNumber>(i), 1});
    std::vector<std::string>& holders = snapshot->replicas.emplace_back();
    for (const Announcement* target : view.UsableInGroup(now, plan.groups[i])) {
      holders.push_back(target->target);
    }
  }
  return snapshot;
}

std::shared_ptr<const PinnedSnapshot> ChooseSnapshot(
    const std::vector<const Announcement*>& targets) {
  // Keyed by the whole manifest: two manifests under one id are kept apart too.
  std::map<Manifest, Candidate> candidates;
  for (const Announcement* target : targets) {
    for (const HeldSnapshot& held : target->snapshots) {
      auto [slot, added] = candidates.try_emplace(held.manifest);
      if (added) {
        slot->second.snapshot.manifest = held.manifest;
        slot->second.snapshot.replicas.resize(held.manifest.parts.size());
      }
      AddHolder(held, target->target, slot->second);
    }
  }
  auto best = std::ranges::max_element(
      candidates, {}, [](const auto& entry) { return Rank(entry.second); });
  if (best == candidates.end()) {
    return nullptr;
  }
  return std::make_shared<const PinnedSnapshot>(
      std::move(best->second.snapshot));
}

}  // namespace snipeworks
