#ifndef SNIPEWORKS_TARGET_DIRECTORY_H_
#define SNIPEWORKS_TARGET_DIRECTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/clock.h"
#include "snipeworks/departure.h"
#include "snipeworks/search_controller.h"
#include "snipeworks/target_view.h"

namespace snipeworks {

/// What a control host knows of targets: their own reports, those that other
/// control hosts relay, and which targets have gone. Numbers each change, so
/// that entry hosts can request the changes that they have not seen.
///
/// Does no I/O and reads no clock.
class TargetDirectory {
 public:
  /// A target counts as gone after `lease` without a report.
  explicit TargetDirectory(Duration lease);

  /// Sets the groups that routes name. Targets of other groups displace nobody:
  /// not the target at their address, and not the one whose name they use.
  void SetRoutedGroups(Instant now, std::set<std::string> groups);

  /// Applies a report that arrived now. A report that changes the group, zone
  /// or address within an incarnation comes from another writer and is rejected
  /// as kStale, and so is one that would move a serving target to a group that
  /// no route names. One of a start that has departed counts as draining.
  AnnounceResult Apply(Instant now, const Announcement& announcement);

  /// Records that a target accepts no more work. Returns false if the target is
  /// unknown, or if the message is about an earlier incarnation.
  bool MarkLeaving(Instant now,
                   const std::string& target,
                   std::optional<std::uint64_t> incarnation,
                   std::optional<std::uint64_t> sequence);

  /// Records a departure that the control log has, whether or not the target is
  /// known.
  void MarkDeparted(Instant now, const Departure& departure);

  /// Records that an entry host knows, from an answer of the target or from
  /// before a restart of this host, that this incarnation accepts no more work.
  void MarkDrained(Instant now, const Announcement& announcement);

  /// Marks targets without a report for a lease as gone. Call only while this
  /// host receives the same reports as its peers. Returns the targets
  /// concerned.
  std::vector<std::string> ExpireLeases(Instant now);

  /// Forgets targets and departures that ended so long ago that none of their
  /// reports can still arrive.
  void ForgetEnded(Instant now);

  /// Increases with each change other than a renewal.
  std::uint64_t serial() const { return serial_; }

  /// Whether reports that a target is cold for longer than was known count as
  /// changes. Off at first; needed once the routing limits cold targets.
  void SetShareCold(Instant now, bool share);
  bool shares_cold() const { return share_cold_; }
  /// How long `target` is still cold by its reports, in milliseconds.
  std::uint32_t ColdTimeLeftMs(Instant now, const std::string& target) const;

  /// The changes after `serial`, with the times that targets are still cold if
  /// these are shared.
  std::vector<Announcement> ChangesSince(Instant now,
                                         std::uint64_t serial) const;

  /// Returns the changes after `serial`, oldest first; everything for 0.
  std::vector<Announcement> ChangesSince(std::uint64_t serial) const;

  const TargetView& view() const { return view_; }

 private:
  void RecordChange(const std::string& target);
  /// Takes the cold time of a report that was merged. Returns true if the
  /// target is cold for longer than was known.
  bool UpdateCold(Instant now,
                  const Announcement& announcement,
                  bool same_incarnation);
  void ResolveAddressReuse(Instant now, const Announcement& announcement);

  bool IsRouted(const Announcement& announcement) const {
    return routed_groups_.contains(announcement.group);
  }

  Duration lease_;
  std::set<std::string> routed_groups_;
  TargetView view_;
  DepartureSet departures_;
  /// By the time at which they were learned of, oldest first.
  std::deque<std::pair<Instant, Departure>> departures_by_age_;
  bool share_cold_ = false;
  std::map<std::string, Instant> cold_until_;  ///< Of targets that were cold.
  std::uint64_t serial_ = 0;
  std::map<std::uint64_t, std::string> target_by_serial_;
  std::map<std::string, std::uint64_t> serial_by_target_;
  std::map<std::string, std::string> target_by_address_;
};

/// A digest of the serving targets in `view`, without sequences and load.
std::uint64_t ServingDigest(const TargetView& view);

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_DIRECTORY_H_
