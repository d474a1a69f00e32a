#include "snipeworks/snapshot_catalog.h"

#include <algorithm>
#include <tuple>

namespace snipeworks {

namespace {

struct Candidate {
  PinnedSnapshot snapshot;
  std::size_t announcing_targets = 0;
};

std::size_t IndexOfPart(const Manifest& manifest, PartNumber part) {
  auto found = std::ranges::find(manifest.parts, part, &ManifestPart::part);
  return static_cast<std::size_t>(found - manifest.parts.begin());
}

void AddReplica(const HeldSnapshot& held,
                const std::string& target,
                Candidate& candidate) {
  ++candidate.announcing_targets;
  for (PartNumber part : held.parts) {
    const std::size_t index = IndexOfPart(candidate.snapshot.manifest, part);
    if (index < candidate.snapshot.replicas.size()) {
      candidate.snapshot.replicas[index].push_back(target);
    }
  }
}

// In basis points, so that snapshots of different sizes are comparable.
std::uint64_t ReachableShare(const PinnedSnapshot& snapshot) {
  constexpr std::uint64_t kBasisPoints = 10000;
  const std::uint64_t total = snapshot.manifest.documents();
  if (total == 0) {
    return kBasisPoints;
  }
  std::uint64_t reachable = 0;
  for (std::size_t i = 0; i < snapshot.replicas.size(); ++i) {
    if (!snapshot.replicas[i].empty()) {
      reachable += snapshot.manifest.parts[i].documents;
    }
  }
  return reachable * kBasisPoints / total;
}

auto Rank(const Candidate& candidate) {
  return std::make_tuple(
      ReachableShare(candidate.snapshot), candidate.snapshot.id().number,
      candidate.announcing_targets, candidate.snapshot.id().digest);
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
    std::vector<std::string>& replicas = snapshot->replicas.emplace_back();
    for (const Announcement* target : view.UsableInGroup(now, plan.groups[i])) {
      replicas.push_back(target->target);
    }
  }
  return snapshot;
}

std::shared_ptr<const PinnedSnapshot> ChooseSnapshot(
    const std::vector<const Announcement*>& targets) {
  // Keyed by the whole manifest, so that different manifests with the same id
  // are kept apart.
  std::map<Manifest, Candidate> candidates;
  for (const Announcement* target : targets) {
    for (const HeldSnapshot& held : target->snapshots) {
      auto [it, inserted] = candidates.try_emplace(held.manifest);
      if (inserted) {
        it->second.snapshot.manifest = held.manifest;
        it->second.snapshot.replicas.resize(held.manifest.parts.size());
      }
      AddReplica(held, target->target, it->second);
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
