#ifndef SNIPEWORKS_ANNOUNCEMENT_H_
#define SNIPEWORKS_ANNOUNCEMENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/error.h"
#include "snipeworks/snapshot.h"

namespace snipeworks {

/// Whether a target accepts new work. Draining is final within an incarnation.
/// A target that is gone (silent for too long, or replaced at its address)
/// returns with its next announcement.
enum class TargetState { kServing, kDraining, kGone };

/// "serving", "draining" or "gone".
const char* ToString(TargetState state);

/// A snapshot that a target holds, and which of its parts.
struct HeldSnapshot {
  Manifest manifest;
  std::vector<PartNumber> parts;

  friend auto operator<=>(const HeldSnapshot&, const HeldSnapshot&) = default;
};

/// What a target reports about itself, about once a second.
struct Announcement {
  std::string target;             ///< Unique name, kept across restarts.
  std::uint64_t incarnation = 0;  ///< Increases with each restart.
  std::uint64_t sequence = 0;     ///< Increases with each announcement.
  std::string zone;
  std::string address;  ///< "IP:port".
  std::string group;    ///< Service group.
  TargetState state = TargetState::kServing;
  std::uint32_t slots = 1;        ///< Requests that it runs concurrently.
  std::uint32_t connections = 1;  ///< Connections that it accepts.
  std::uint32_t queued = 0;       ///< Reported load: requests waiting.
  std::uint32_t cold_ms = 0;      ///< Remaining time of its slow start.
  std::vector<HeldSnapshot> snapshots;

  /// True if this announcement replaces `other` of the same target.
  bool IsNewerThan(const Announcement& other) const {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    if (sequence != other.sequence) {
      return sequence > other.sequence;
    }
    return state > other.state;
  }

  friend auto operator<=>(const Announcement&, const Announcement&) = default;
};

/// Checks the name of a target, group or zone: at most 256 bytes of printable
/// text. Fails with kBadRequest and the reason, which begins with `member`.
Result<void> ValidateName(std::string_view member, std::string_view name);

/// Checks the names and the address of an announcement, whichever way they came
/// in. Fails with kBadRequest and the reason.
Result<void> Validate(const Announcement& announcement);

/// Parses and validates the JSON form. Fails with kBadRequest and the reason.
Result<Announcement> ParseAnnouncement(std::string_view json);

/// The JSON form, as targets post it.
std::string ToJson(const Announcement& announcement);

}  // namespace snipeworks

#endif  // SNIPEWORKS_ANNOUNCEMENT_H_
