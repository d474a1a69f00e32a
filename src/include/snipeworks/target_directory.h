#ifndef SNIPEWORKS_TARGET_DIRECTORY_H_
#define SNIPEWORKS_TARGET_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/clock.h"
#include "snipeworks/search_controller.h"
#include "snipeworks/target_view.h"

namespace snipeworks {

/// What a control host knows of targets: their own reports, those that other
/// control hosts pass on, and which of them have gone. Numbers each change, so
/// that entry hosts can ask for what they have not seen.
///
/// Does no I/O and reads no clock.
class TargetDirectory {
 public:
  /// A target that is silent for `lease` is taken to be gone.
  explicit TargetDirectory(Duration lease);

  /// Takes a report that came now. A report cannot change the group, zone or
  /// address of an incarnation: such a one has another writer and is old news.
  AnnounceResult Take(Instant now, const Announcement& news);

  /// A target takes no more work. Returns false if it is not known, or if the
  /// news is of an earlier incarnation.
  bool Leave(Instant now,
             const std::string& target,
             std::optional<std::uint64_t> incarnation,
             std::optional<std::uint64_t> sequence);

  /// An entry host knows that this incarnation of a target takes no more work,
  /// from its own answers or from before a restart of this host.
  void TakeDrained(Instant now, const Announcement& news);

  /// Marks as gone what has been silent for a lease. To be called only while
  /// this host hears what the others hear. Returns the targets concerned.
  std::vector<std::string> DropSilent(Instant now);

  /// Forgets targets that ended so long ago that no old report of theirs can
  /// still arrive.
  void ForgetEnded(Instant now);

  /// Grows with each change, renewals left out.
  std::uint64_t serial() const { return serial_; }

  /// What has changed since `serial`, oldest first; everything for 0.
  std::vector<Announcement> ChangesSince(std::uint64_t serial) const;

  const TargetView& view() const { return view_; }

 private:
  void NoteChange(const std::string& target);
  void Replaced(Instant now, const Announcement& news);

  Duration lease_;
  TargetView view_;
  std::uint64_t serial_ = 0;
  std::map<std::uint64_t, std::string> changes_;
  std::map<std::string, std::uint64_t> serial_of_;
  std::map<std::string, std::string> at_address_;
};

/// A digest of the targets in `view` that serve, sequences and load left out.
std::uint64_t ServingDigest(const TargetView& view);

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_DIRECTORY_H_
