#ifndef SNIPEWORKS_TARGET_VIEW_H_
#define SNIPEWORKS_TARGET_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/clock.h"
#include "snipeworks/string_map.h"

namespace snipeworks {

/// The targets known to this host, merged from announcements that may arrive in
/// any order and more than once.
///
/// A lease runs from the moment a new sequence is first seen here, so a copy
/// that is relayed late or twice never extends it.
class TargetView {
 public:
  /// A target whose newest announcement is older than `lease` gets no work.
  explicit TargetView(Duration lease) : lease_(lease) {}

  /// Merges an announcement that the relaying host heard `age` ago. Returns
  /// true if it was new and should be relayed further.
  bool Merge(Instant now, const Announcement& announcement, Duration age = {});

  /// A later sequence of an announcement that is otherwise unchanged.
  struct RenewalNotice {
    std::string_view target;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t queued = 0;
    std::uint32_t digest = 0;  ///< The sender's DigestOf the target.
  };

  /// Returns the announcement known here, renewed by `renewal`, if both sides
  /// know the same; nothing if the sender knows another state, address or set
  /// of parts.
  std::optional<Announcement> Renewed(const RenewalNotice& renewal) const;

  /// A digest of the announcement of `target` without sequence and load; 0 if
  /// the target is unknown.
  std::uint32_t DigestOf(std::string_view target) const;

  /// Returns the announcement of `target` if it may get new work at `now`, or
  /// null.
  const Announcement* Usable(Instant now, std::string_view target) const;

  /// Returns the newest announcement of `target`, usable or not, or null.
  const Announcement* Find(std::string_view target) const;

  /// Returns all announcements that have not been forgotten, sorted by target.
  std::vector<const Announcement*> All() const;
  /// Number of targets that All() returns.
  std::size_t size() const { return records_.size(); }

  /// Returns targets of `group` that may get new work at `now`, sorted by
  /// target.
  std::vector<const Announcement*> UsableInGroup(Instant now,
                                                 std::string_view group) const;

  /// True if an announcement of any target of `group` is known.
  bool KnowsGroup(std::string_view group) const;

  /// How long ago this host heard the newest announcement of `target`.
  std::optional<Duration> Age(Instant now, std::string_view target) const;

  /// Targets of these zones get no new work.
  void SetEvacuatedZones(std::vector<std::string> zones) {
    evacuated_zones_ = std::move(zones);
  }
  const std::vector<std::string>& evacuated_zones() const {
    return evacuated_zones_;
  }
  /// True if a target of `group` would get new work if its zone were not
  /// evacuated.
  bool HasEvacuated(Instant now, std::string_view group) const;

  /// A digest of everything known except sequences and load: hosts with equal
  /// digests know the same targets.
  std::uint64_t Digest() const { return digest_; }

  /// Forgets targets that have drained or gone and have been silent for longer
  /// than any report can be in transit. Returns their names.
  std::vector<std::string> ForgetEnded(Instant now);

  /// Forgets targets that have been silent for many leases.
  void Prune(Instant now);

  Duration lease() const { return lease_; }
  void set_lease(Duration lease) { lease_ = lease; }

 private:
  struct Record {
    Announcement announcement;
    Instant heard_at;
    std::uint64_t digest = 0;
  };

  bool IsServing(Instant now, const Record& record) const;
  bool IsEvacuated(const Record& record) const;
  bool IsUsable(Instant now, const Record& record) const;

  void Replace(Record& record,
               const Announcement& announcement,
               Instant heard_at);

  const Record* FindRecord(std::string_view target) const;

  Duration lease_;
  /// The combined digests of all records, updated with each change.
  std::uint64_t digest_ = 0;
  StringMap<Record> records_;
  std::vector<std::string> evacuated_zones_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_VIEW_H_
