#include "snipeworks/target_snapshot.h"

#include <chrono>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "snipeworks/entry_messages.h"
#include "snipeworks/wire.h"

namespace snipeworks {

namespace {

// Wall clocks of hosts may be stepped by some seconds.
constexpr std::int64_t kMaxClockStepMs = 5000;

struct SnapshotFile {
  std::uint64_t checksum = 0;  // Of `payload`.
  std::string payload;
};

template <SameStruct<SnapshotFile> S>
auto WireFields(S& v) {
  return std::tie(v.checksum, v.payload);
}

std::uint64_t ChecksumOf(std::string_view bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

template <SameStruct<TargetSnapshot> S>
auto WireFields(S& v) {
  return std::tie(v.wall_ms, v.targets);
}

std::string EncodeTargetSnapshot(const TargetSnapshot& snapshot) {
  SnapshotFile file;
  file.payload = Encode(snapshot);
  file.checksum = ChecksumOf(file.payload);
  return Encode(file);
}

Result<std::vector<Announcement>> DecodeTargetSnapshot(std::string_view bytes,
                                                       std::int64_t wall_ms,
                                                       Duration max_age) {
  const auto file = Decode<SnapshotFile>(bytes);
  if (!file || file->checksum != ChecksumOf(file->payload)) {
    return Fail(ErrorKind::kBadRequest, "the file is damaged");
  }
  auto snapshot = Decode<TargetSnapshot>(file->payload);
  if (!snapshot) {
    return Fail(ErrorKind::kBadRequest, "the file has another format");
  }
  const std::int64_t age_ms = wall_ms - snapshot->wall_ms;
  const std::int64_t max_age_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(max_age).count();
  if (age_ms < -kMaxClockStepMs || age_ms > max_age_ms) {
    return Fail(ErrorKind::kBadRequest,
                "the file is " + std::to_string(age_ms) + " ms old");
  }
  std::vector<Announcement> targets;
  for (Announcement& target : snapshot->targets) {
    if (Validate(target).has_value()) {
      targets.push_back(std::move(target));
    }
  }
  return targets;
}

}  // namespace snipeworks
