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

/// The replicas of the parts of one snapshot of one group. Immutable and shared
/// by the requests that are pinned to it.
struct PinnedSnapshot {
  Manifest manifest;
  /// Target names, indexed like manifest.parts.
  std::vector<std::vector<std::string>> replicas;
  /// For a plan: the group of each part; empty otherwise.
  std::vector<std::string> groups;

  const SnapshotId& id() const { return manifest.id; }

  friend bool operator==(const PinnedSnapshot&,
                         const PinnedSnapshot&) = default;
};

/// The snapshot that represents a plan: one part with one document for each
/// group.
std::shared_ptr<const PinnedSnapshot> SnapshotForPlan(const SearchPlan& plan,
                                                      Instant now,
                                                      const TargetView& view);

/// Chooses the snapshot that new requests of a group are pinned to: the one
/// with the largest share of reachable documents and, of equal ones, the
/// newest. Null if `targets` hold none.
///
/// `targets` are the usable announcements of one group. The share is relative
/// to the manifest, so parts without a replica reduce it.
std::shared_ptr<const PinnedSnapshot> ChooseSnapshot(
    const std::vector<const Announcement*>& targets);

}  // namespace snipeworks

#endif  // SNIPEWORKS_SNAPSHOT_CATALOG_H_
