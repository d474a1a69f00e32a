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

/// The targets that this host knows, merged from announcements in any order
/// and any number of copies.
///
/// A lease runs from the moment a new sequence is first seen here, so a copy
/// relayed late or twice never lengthens it.
class TargetView {
 public:
  /// A target whose newest announcement is older than `lease` gets no work.
  explicit TargetView(Duration lease) : lease_(lease) {}

  /// Takes an announcement heard `age` ago by the host that relays it. Returns
  /// true if it was news, to be spread further.
  bool Merge(Instant now, const Announcement& news, Duration age = {});

  /// A later sequence of an announcement that is known here otherwise.
  struct RenewalNews {
    std::string_view target;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t queued = 0;
    std::uint32_t digest = 0;  ///< Of what the teller knows, see DigestOf.
  };

  /// What `news` makes of the announcement known here, if both sides know the
  /// same; nothing if the teller knows another state, address or set of parts.
  std::optional<Announcement> Renewed(const RenewalNews& news) const;

  /// A digest of what is known of `target`, sequence and load left out; 0 if
  /// it is not known.
  std::uint32_t DigestOf(std::string_view target) const;

  /// The announcement of `target` if it may get new work at `now`.
  const Announcement* Usable(Instant now, std::string_view target) const;

  /// The newest announcement of `target`, usable or not, or null.
  const Announcement* Find(std::string_view target) const;

  /// Every known announcement that has not been forgotten, by name.
  std::vector<const Announcement*> All() const;

  /// Targets of `group` that may get new work at `now`, by name.
  std::vector<const Announcement*> UsableInGroup(Instant now,
                                                 std::string_view group) const;

  /// True if any target of `group` has announced itself and is remembered.
  bool KnowsGroup(std::string_view group) const;

  /// How long ago this host heard the newest announcement of `target`.
  std::optional<Duration> Age(Instant now, std::string_view target) const;

  /// A digest of all that is known but sequences and load: hosts with equal
  /// digests know the same targets.
  std::uint64_t Digest() const { return digest_; }

  /// Forgets targets that took their last work, or have gone, and have been
  /// silent for much longer than any report is on its way. Returns their names.
  std::vector<std::string> ForgetEnded(Instant now);

  /// Forgets targets silent for much longer than a lease.
  void Prune(Instant now);

  Duration lease() const { return lease_; }
  void set_lease(Duration lease) { lease_ = lease; }

 private:
  struct Record {
    Announcement announcement;
    Instant heard_at;
    std::uint64_t digest = 0;
  };

  bool IsUsable(Instant now, const Record& record) const;

  void Replace(Record& record, const Announcement& news, Instant heard_at);

  const Record* RecordOf(std::string_view target) const;

  Duration lease_;
  /// The digests of all records combined, kept up with each change.
  std::uint64_t digest_ = 0;
  StringMap<Record> records_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_VIEW_H_
