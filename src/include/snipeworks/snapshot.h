#ifndef SNIPEWORKS_SNAPSHOT_H_
#define SNIPEWORKS_SNAPSHOT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeworks {

/// Identifies one version of a service group's index. Manifests with the same
/// number and different digests are different snapshots.
struct SnapshotId {
  std::uint64_t number = 0;
  std::string digest;

  friend auto operator<=>(const SnapshotId&, const SnapshotId&) = default;
};

/// The number of an index part within one snapshot. It can stand for other
/// documents in another snapshot.
using PartNumber = std::uint32_t;

/// One index part of a manifest.
struct ManifestPart {
  PartNumber part = 0;
  std::uint64_t documents = 0;

  friend auto operator<=>(const ManifestPart&, const ManifestPart&) = default;
};

/// All parts of one snapshot, including parts that no target holds.
struct Manifest {
  SnapshotId id;
  std::vector<ManifestPart> parts;

  /// Number of documents in all parts.
  std::uint64_t documents() const {
    std::uint64_t total = 0;
    for (const ManifestPart& part : parts) {
      total += part.documents;
    }
    return total;
  }

  friend auto operator<=>(const Manifest&, const Manifest&) = default;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_SNAPSHOT_H_
