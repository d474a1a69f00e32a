#include "snipeworks/target_directory.h"

#include <algorithm>

#include <xxhash.h>

namespace snipeworks {

namespace {

// The view itself never lets a target's lease run out: that is decided here.
constexpr Duration kNoLease = std::chrono::hours(24);

}  // namespace

TargetDirectory::TargetDirectory(Duration lease)
    : lease_(lease), view_(kNoLease) {}

AnnounceResult TargetDirectory::Take(Instant now, const Announcement& news) {
  const Announcement* known = view_.Find(news.target);
  const bool same_start =
      known != nullptr && known->incarnation == news.incarnation;
  if (same_start &&
      (known->group != news.group || known->address != news.address ||
       known->zone != news.zone)) {
    return AnnounceResult::kStale;
  }
  const bool change = !same_start || known->state != news.state;
  const TargetState before = known ? known->state : TargetState::kGone;
  if (!view_.Merge(now, news)) {
    return AnnounceResult::kStale;
  }
  // A target that drains goes on saying so, or is heard of out of order.
  const bool still = same_start && view_.Find(news.target)->state == before;
  if (!change || still) {
    return AnnounceResult::kRenewal;
  }
  NoteChange(news.target);
  if (news.state != TargetState::kGone) {
    Replaced(now, news);
  }
  return AnnounceResult::kChange;
}

// An address belongs to the target that was started there last.
void TargetDirectory::Replaced(Instant now, const Announcement& news) {
  std::string& holder = at_address_[news.address];
  if (holder == news.target) {
    return;
  }
  const Announcement* other = holder.empty() ? nullptr : view_.Find(holder);
  const bool there = other != nullptr && other->address == news.address &&
                     other->state != TargetState::kGone;
  if (there && other->incarnation > news.incarnation) {
    Announcement late = news;
    late.state = TargetState::kGone;
    Take(now, late);
    return;
  }
  holder = news.target;
  if (there) {
    Announcement gone = *other;
    gone.state = TargetState::kGone;
    Take(now, gone);
  }
}

bool TargetDirectory::Leave(Instant now,
                            const std::string& target,
                            std::optional<std::uint64_t> incarnation,
                            std::optional<std::uint64_t> sequence) {
  const Announcement* known = view_.Find(target);
  if (known == nullptr ||
      incarnation.value_or(known->incarnation) < known->incarnation) {
    return false;
  }
  Announcement leaving = *known;
  leaving.state = std::max(known->state, TargetState::kDraining);
  leaving.sequence = std::max(known->sequence, sequence.value_or(0));
  Take(now, leaving);
  return true;
}

void TargetDirectory::TakeDrained(Instant now, const Announcement& news) {
  if (view_.Find(news.target) != nullptr) {
    Leave(now, news.target, news.incarnation, news.sequence);
    return;
  }
  Announcement drained = news;
  drained.state = TargetState::kDraining;
  Take(now, drained);
}

void TargetDirectory::ForgetEnded(Instant now) {
  for (const std::string& target : view_.ForgetEnded(now)) {
    if (auto found = serial_of_.find(target); found != serial_of_.end()) {
      changes_.erase(found->second);
      serial_of_.erase(found);
    }
    std::erase_if(at_address_,
                  [&](const auto& holder) { return holder.second == target; });
  }
}

std::vector<std::string> TargetDirectory::DropSilent(Instant now) {
  std::vector<Announcement> silent;
  for (const Announcement* target : view_.All()) {
    const bool here = target->state == TargetState::kServing;
    if (here && view_.Age(now, target->target).value_or(Duration{}) > lease_) {
      silent.push_back(*target);
    }
  }
  std::vector<std::string> dropped;
  for (Announcement& target : silent) {
    target.state = TargetState::kGone;
    Take(now, target);
    dropped.push_back(target.target);
  }
  return dropped;
}

void TargetDirectory::NoteChange(const std::string& target) {
  std::uint64_t& serial = serial_of_[target];
  changes_.erase(serial);
  serial = ++serial_;
  changes_[serial] = target;
}

std::vector<Announcement> TargetDirectory::ChangesSince(
    std::uint64_t serial) const {
  std::vector<Announcement> changes;
  for (auto it = changes_.upper_bound(serial); it != changes_.end(); ++it) {
    if (const Announcement* target = view_.Find(it->second)) {
      changes.push_back(*target);
    }
  }
  return changes;
}

std::uint64_t ServingDigest(const TargetView& view) {
  std::uint64_t digest = 0;
  for (const Announcement* target : view.All()) {
    if (target->state == TargetState::kServing) {
      const std::string text = target->target + '\n' + target->address + '\n' +
                               std::to_string(target->incarnation);
      digest ^= XXH3_64bits(text.data(), text.size());
    }
  }
  return digest;
}

}  // namespace snipeworks
