// Serving targets on the disk of a control host.

#include <fstream>
#include <iterator>
#include <memory>
#include <string>

#include <glog/logging.h>

#include "snipeworks/control_host.h"
#include "snipeworks/durable_file.h"
#include "snipeworks/target_snapshot.h"

namespace snipeworks {

namespace {

constexpr char kTargetSnapshotFile[] = "/serving-targets";
// A loss of power of all hosts lasts seconds. After a longer absence the other
// control hosts know more than the disk of this one.
constexpr Duration kMaxSnapshotAge = std::chrono::seconds(60);
// An unchanged set is written again, so that its file does not grow too old.
constexpr Duration kRewriteInterval = kMaxSnapshotAge / 4;

}  // namespace

// Targets report about once a second. Without the file, searches over many
// shards fail for that long after a loss of the memory of all control hosts.
// Departures are in the control log and go before the file.
void ControlHost::RestoreTargets() {
  if (settings_.target_snapshot_interval() == Duration{}) {
    return;
  }
  std::ifstream file(settings_.data_folder() + kTargetSnapshotFile,
                     std::ios::binary);
  if (!file) {
    return;
  }
  const std::string bytes{std::istreambuf_iterator<char>(file), {}};
  const auto targets =
      DecodeTargetSnapshot(bytes, WallMillisecondsNow(), kMaxSnapshotAge);
  if (targets) {
    membership_.Restore(*targets);
  }
  log_.Write(EventKind::kTargetsRestored,
             {{"targets", targets ? targets->size() : 0},
              {"reason", targets ? std::string() : targets.error().detail}});
}

void ControlHost::SaveTargets() {
  const TargetView& view = membership_.directory().view();
  const std::uint64_t digest = ServingDigest(view);
  const Instant now = MonotonicNow();
  const bool saved = targets_saved_at_ != Instant{} &&
                     digest == saved_targets_digest_ &&
                     now - targets_saved_at_ < kRewriteInterval;
  if (saving_targets_ || saved) {
    return;
  }
  TargetSnapshot snapshot;
  snapshot.wall_ms = WallMillisecondsNow();
  for (const Announcement* target : view.All()) {
    if (target->state == TargetState::kServing) {
      snapshot.targets.push_back(*target);
    }
  }
  saving_targets_ = true;
  const auto result = std::make_shared<Result<void>>();
  loop_.RunBlocking(
      [result, path = settings_.data_folder() + kTargetSnapshotFile,
       content = EncodeTargetSnapshot(snapshot)] {
        *result = ReplaceFile(path, content);
      },
      [this, result, digest, now] {
        saving_targets_ = false;
        if (*result) {
          saved_targets_digest_ = digest;
          targets_saved_at_ = now;
        } else {
          LOG_EVERY_N(WARNING, 10) << "event=targets_not_saved reason=\""
                                   << result->error().detail << "\"";
        }
      });
}

}  // namespace snipeworks
