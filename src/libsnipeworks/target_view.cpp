#include "snipeworks/target_view.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace snipeworks {

namespace {

// Records are kept for this many leases after their last announcement, so that
// a relayed copy of an old announcement is still recognised as old.
constexpr int kRetentionLeases = 20;
// A report held back by a network partition arrives within the length of the
// partition plus that of TCP retransmission: minutes at most.
constexpr Duration kEndedRetention = std::chrono::minutes(30);

// Everything in an announcement except its sequence and load, for comparison.
auto StableFields(const Announcement& announcement) {
  return std::tie(announcement.incarnation, announcement.zone,
                  announcement.address, announcement.group, announcement.state,
                  announcement.slots, announcement.connections,
                  announcement.snapshots);
}

std::uint64_t StableDigest(const Announcement& announcement) {
  Announcement stable = announcement;
  stable.sequence = 0;
  stable.queued = 0;
  const std::string text = ToJson(stable);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

bool TargetView::Merge(Instant now,
                       const Announcement& announcement,
                       Duration age) {
  const Instant heard_at = now - age;
  auto found = records_.find(announcement.target);
  if (found == records_.end()) {
    Replace(records_[announcement.target], announcement, heard_at);
    return true;
  }
  Record& record = found->second;
  if (announcement.IsNewerThan(record.announcement)) {
    Replace(record, announcement, heard_at);
    return true;
  }
  // Draining holds whatever the target has reported since: an entry host learns
  // of it from an answer, between two reports.
  const Announcement& known = record.announcement;
  const bool newly_draining = announcement.incarnation == known.incarnation &&
                              announcement.state == TargetState::kDraining &&
                              known.state != TargetState::kDraining;
  if (newly_draining) {
    Announcement drained = known;
    drained.state = TargetState::kDraining;
    Replace(record, drained, record.heard_at);
  }
  return newly_draining;
}

// Most announcements are renewals, which leave the digest unchanged: hashing
// the whole manifest each time would cost more than everything else here.
void TargetView::Replace(Record& record,
                         const Announcement& announcement,
                         Instant heard_at) {
  const Announcement& previous = record.announcement;
  const bool was_draining = announcement.incarnation == previous.incarnation &&
                            previous.state == TargetState::kDraining;
  const bool renewal = record.digest != 0 &&
                       StableFields(previous) == StableFields(announcement);
  record.announcement = announcement;
  record.heard_at = heard_at;
  // Draining also survives a lease expiry and another start at the same
  // address: a target that is gone returns with its next report, and a late
  // report must not bring back one that has drained.
  if (was_draining) {
    record.announcement.state = TargetState::kDraining;
  }
  if (!renewal) {
    digest_ ^= record.digest;
    record.digest = StableDigest(record.announcement);
    digest_ ^= record.digest;
  }
}

std::uint32_t TargetView::DigestOf(std::string_view target) const {
  const Record* record = FindRecord(target);
  return record == nullptr ? 0 : static_cast<std::uint32_t>(record->digest);
}

// A renewal does not carry the state. If a host that missed that a target is
// draining applied it, the later sequence would make the draining announcement
// itself look old.
std::optional<Announcement> TargetView::Renewed(
    const RenewalNotice& renewal) const {
  const Announcement* known = Find(renewal.target);
  if (known == nullptr || known->incarnation != renewal.incarnation ||
      DigestOf(renewal.target) != renewal.digest) {
    return std::nullopt;
  }
  Announcement renewed = *known;
  renewed.sequence = renewal.sequence;
  renewed.queued = renewal.queued;
  return renewed;
}

const TargetView::Record* TargetView::FindRecord(
    std::string_view target) const {
  auto found = records_.find(target);
  return found == records_.end() ? nullptr : &found->second;
}

bool TargetView::IsServing(Instant now, const Record& record) const {
  const bool serving = record.announcement.state == TargetState::kServing;
  return serving && now - record.heard_at <= lease_;
}

bool TargetView::IsEvacuated(const Record& record) const {
  return std::ranges::find(evacuated_zones_, record.announcement.zone) !=
         evacuated_zones_.end();
}

bool TargetView::IsUsable(Instant now, const Record& record) const {
  return IsServing(now, record) && !IsEvacuated(record);
}

bool TargetView::HasEvacuated(Instant now, std::string_view group) const {
  return !evacuated_zones_.empty() &&
         std::ranges::any_of(records_, [&](const auto& entry) {
           const Record& record = entry.second;
           return record.announcement.group == group &&
                  IsServing(now, record) && IsEvacuated(record);
         });
}

const Announcement* TargetView::Usable(Instant now,
                                       std::string_view target) const {
  const Record* record = FindRecord(target);
  return record != nullptr && IsUsable(now, *record) ? &record->announcement
                                                     : nullptr;
}

const Announcement* TargetView::Find(std::string_view target) const {
  const Record* record = FindRecord(target);
  return record == nullptr ? nullptr : &record->announcement;
}

std::vector<const Announcement*> TargetView::All() const {
  std::vector<const Announcement*> result;
  for (const auto& [name, record] : records_) {
    result.push_back(&record.announcement);
  }
  std::ranges::sort(result, {}, &Announcement::target);
  return result;
}

std::vector<const Announcement*> TargetView::UsableInGroup(
    Instant now,
    std::string_view group) const {
  std::vector<const Announcement*> result;
  for (const auto& [name, record] : records_) {
    if (record.announcement.group == group && IsUsable(now, record)) {
      result.push_back(&record.announcement);
    }
  }
  std::ranges::sort(result, {}, &Announcement::target);
  return result;
}

bool TargetView::KnowsGroup(std::string_view group) const {
  for (const auto& [name, record] : records_) {
    if (record.announcement.group == group) {
      return true;
    }
  }
  return false;
}

std::optional<Duration> TargetView::Age(Instant now,
                                        std::string_view target) const {
  const Record* record = FindRecord(target);
  return record == nullptr ? std::nullopt
                           : std::optional(now - record->heard_at);
}

std::vector<std::string> TargetView::ForgetEnded(Instant now) {
  std::vector<std::string> forgotten;
  std::erase_if(records_, [&](const auto& entry) {
    const Record& record = entry.second;
    const bool expired = record.announcement.state != TargetState::kServing &&
                         now - record.heard_at > kEndedRetention;
    if (expired) {
      digest_ ^= record.digest;
      forgotten.push_back(entry.first);
    }
    return expired;
  });
  return forgotten;
}

void TargetView::Prune(Instant now) {
  std::erase_if(records_, [&](const auto& entry) {
    const bool expired =
        now - entry.second.heard_at > lease_ * kRetentionLeases;
    if (expired) {
      digest_ ^= entry.second.digest;
    }
    return expired;
  });
}

}  // namespace snipeworks
