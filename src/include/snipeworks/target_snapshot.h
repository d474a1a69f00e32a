#ifndef SNIPEWORKS_TARGET_SNAPSHOT_H_
#define SNIPEWORKS_TARGET_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/clock.h"
#include "snipeworks/error.h"

namespace snipeworks {

/// The serving targets that a control host knew at one time, for its disk.
struct TargetSnapshot {
  std::int64_t wall_ms = 0;  ///< When it was taken, since 1970.
  std::vector<Announcement> targets;

  friend auto operator<=>(const TargetSnapshot&,
                          const TargetSnapshot&) = default;
};

/// The content of the file for `snapshot`, with a checksum.
std::string EncodeTargetSnapshot(const TargetSnapshot& snapshot);

/// The targets in the content of a file. Fails with kBadRequest if it is
/// damaged, was taken more than `max_age` before `wall_ms`, or after it.
Result<std::vector<Announcement>> DecodeTargetSnapshot(std::string_view bytes,
                                                       std::int64_t wall_ms,
                                                       Duration max_age);

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_SNAPSHOT_H_
