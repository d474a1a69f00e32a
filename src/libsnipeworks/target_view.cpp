#include "snipeworks/target_view.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace snipeworks {

namespace {

// Kept this many leases after its last announcement, so that a relayed copy of
// an old announcement is still recognised as old.
constexpr int kLeasesRemembered = 20;
// Reports that a cut has held back arrive within its length and that of their
// connection's retransmissions: minutes at most.
constexpr Duration kEndRemembered = std::chrono::minutes(30);

// All of an announcement but its sequence and load, for comparing.
auto WithoutRenewal(const Announcement& one) {
  return std::tie(one.incarnation, one.zone, one.address, one.group, one.state,
                  one.slots, one.connections, one.snapshots);
}

std::uint64_t StableDigest(const Announcement& one) {
  Announcement stable = one;
  stable.sequence = 0;
  stable.queued = 0;
  const std::string text = ToJson(stable);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

bool TargetView::Merge(Instant now, const Announcement& news, Duration age) {
  const Instant heard_at = now - age;
  auto found = records_.find(news.target);
  if (found == records_.end()) {
    Replace(records_[news.target], news, heard_at);
    return true;
  }
  Record& record = found->second;
  if (news.IsNewerThan(record.announcement)) {
    Replace(record, news, heard_at);
    return true;
  }
  // That a target takes no more work is true whatever else it has said since:
  // an entry host learns it from an answer, between two reports.
  const Announcement& known = record.announcement;
  const bool ends = news.incarnation == known.incarnation &&
                    news.state == TargetState::kDraining &&
                    known.state != TargetState::kDraining;
  if (ends) {
    Announcement ended = known;
    ended.state = TargetState::kDraining;
    Replace(record, ended, record.heard_at);
  }
  return ends;
}

// Most news are renewals, which leave the digest as it is: taking the digest of
// a whole manifest each time would cost more than all the rest.
void TargetView::Replace(Record& record,
                         const Announcement& news,
                         Instant heard_at) {
  const Announcement& before = record.announcement;
  const bool drained_before = news.incarnation == before.incarnation &&
                              before.state == TargetState::kDraining;
  const bool renewal =
      record.digest != 0 && WithoutRenewal(before) == WithoutRenewal(news);
  record.announcement = news;
  record.heard_at = heard_at;
  // Also silence or another start at its address does not undo it: a target
  // that is gone is back with its next report, and an old one must not do that
  // for one that has drained.
  if (drained_before) {
    record.announcement.state = TargetState::kDraining;
  }
  if (!renewal) {
    digest_ ^= record.digest;
    record.digest = StableDigest(record.announcement);
    digest_ ^= record.digest;
  }
}

std::uint32_t TargetView::DigestOf(std::string_view target) const {
  const Record* record = RecordOf(target);
  return record == nullptr ? 0 : static_cast<std::uint32_t>(record->digest);
}

// A renewal says nothing of the state. Taken by a host that has missed that a
// target is draining, its later sequence would make the news itself look old.
std::optional<Announcement> TargetView::Renewed(const RenewalNews& news) const {
  const Announcement* known = Find(news.target);
  if (known == nullptr || known->incarnation != news.incarnation ||
      DigestOf(news.target) != news.digest) {
    return std::nullopt;
  }
  Announcement renewed = *known;
  renewed.sequence = news.sequence;
  renewed.queued = news.queued;
  return renewed;
}

const TargetView::Record* TargetView::RecordOf(std::string_view target) const {
  auto found = records_.find(target);
  return found == records_.end() ? nullptr : &found->second;
}

bool TargetView::IsUsable(Instant now, const Record& record) const {
  const bool serving = record.announcement.state == TargetState::kServing;
  return serving && now - record.heard_at <= lease_;
}

const Announcement* TargetView::Usable(Instant now,
                                       std::string_view target) const {
  const Record* record = RecordOf(target);
  return record != nullptr && IsUsable(now, *record) ? &record->announcement
                                                     : nullptr;
}

const Announcement* TargetView::Find(std::string_view target) const {
  const Record* record = RecordOf(target);
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
  const Record* record = RecordOf(target);
  return record == nullptr ? std::nullopt
                           : std::optional(now - record->heard_at);
}

std::vector<std::string> TargetView::ForgetEnded(Instant now) {
  std::vector<std::string> forgotten;
  std::erase_if(records_, [&](const auto& entry) {
    const Record& record = entry.second;
    const bool ended = record.announcement.state != TargetState::kServing &&
                       now - record.heard_at > kEndRemembered;
    if (ended) {
      digest_ ^= record.digest;
      forgotten.push_back(entry.first);
    }
    return ended;
  });
  return forgotten;
}

void TargetView::Prune(Instant now) {
  std::erase_if(records_, [&](const auto& entry) {
    const bool forgotten =
        now - entry.second.heard_at > lease_ * kLeasesRemembered;
    if (forgotten) {
      digest_ ^= entry.second.digest;
    }
    return forgotten;
  });
}

}  // namespace snipeworks
