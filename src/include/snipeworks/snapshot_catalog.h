#ifndef SNIPEWORKS_SNAPSHOT_CATALOG_H_
#define SNIPEWORKS_SNAPSHOT_CATALOG_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/search.h"
#include "snipeworks/target_view.h"

namespace snipeworks {

/// Who holds the parts of one snapshot of one group. Immutable, shared by the
/// requests that are pinned to it.
struct PinnedSnapshot {
  Manifest manifest;
  /// Names of targets, by index into manifest.parts.
  std::vector<std::vector<std::string>> replicas;
  /// With a plan: the group that serves each part; empty otherwise.
  std::vector<std::string> groups;

  const SnapshotId& id() const { return manifest.id; }

  friend bool operator==(const PinnedSnapshot&,
                         const PinnedSnapshot&) = default;
};

/// The snapshot that stands for a plan: a part of one document for each group.
std::shared_ptr<const PinnedSnapshot> SnapshotForPlan(const SearchPlan& plan,
                                                      Instant now,
                                                      const TargetView& view);

/// Chooses the snapshot that a new request of a group is pinned to: the one
/// whose reachable parts hold the largest share of its documents, then the
/// newest. Null if `targets` hold none.
///
/// `targets` are the usable announcements of one group. The denominator is the
/// manifest, so a part that nobody holds still counts.
std::shared_ptr<const PinnedSnapshot> ChooseSnapshot(
    const std::vector<const Announcement*>& targets);

}  // namespace snipeworks

#endif  // SNIPEWORKS_SNAPSHOT_CATALOG_H_
