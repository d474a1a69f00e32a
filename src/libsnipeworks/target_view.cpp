#include "snipeworks/target_view.h"

#include <xxhash.h>

namespace snipeworks {

namespace {

// Kept this many leases after its last announcement, so that a relayed copy of
// an old announcement is still recognised as old.
constexpr int kLeasesRemembered = 20;

}  // namespace

bool TargetView::Merge(Instant now, const Announcement& news, Duration age) {
  const Instant heard_at = now - age;
  auto [slot, added] =
      records_.try_emplace(news.target, Record{news, heard_at});
  if (added) {
    return true;
  }
  Record& record = slot->second;
  if (!news.IsNewerThan(record.announcement)) {
    return false;
  }
  const bool same_incarnation =
      news.incarnation == record.announcement.incarnation;
  const bool was_draining = record.announcement.state == TargetState::kDraining;
  record = Record{news, heard_at};
  if (same_incarnation && was_draining) {
    record.announcement.state = TargetState::kDraining;
  }
  return true;
}

bool TargetView::IsUsable(Instant now, const Record& record) const {
  const bool serving = record.announcement.state == TargetState::kServing;
  return serving && now - record.heard_at <= lease_;
}

const Announcement* TargetView::Usable(Instant now,
                                       std::string_view target) const {
  auto found = records_.find(target);
  if (found == records_.end() || !IsUsable(now, found->second)) {
    return nullptr;
  }
  return &found->second.announcement;
}

const Announcement* TargetView::Find(std::string_view target) const {
  auto found = records_.find(target);
  return found == records_.end() ? nullptr : &found->second.announcement;
}

std::vector<const Announcement*> TargetView::All() const {
  std::vector<const Announcement*> result;
  for (const auto& [name, record] : records_) {
    result.push_back(&record.announcement);
  }
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
  auto found = records_.find(target);
  if (found == records_.end()) {
    return std::nullopt;
  }
  return now - found->second.heard_at;
}

std::uint64_t TargetView::Digest() const {
  std::uint64_t digest = 0;
  for (const auto& [name, record] : records_) {
    Announcement stable = record.announcement;
    stable.sequence = 0;
    stable.queued = 0;
    const std::string text = ToJson(stable);
    digest ^= XXH3_64bits(text.data(), text.size());
  }
  return digest;
}

void TargetView::Prune(Instant now) {
  std::erase_if(records_, [&](const auto& entry) {
    return now - entry.second.heard_at > lease_ * kLeasesRemembered;
  });
}

}  // namespace snipeworks
