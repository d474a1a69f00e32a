#include "snipeworks/target_directory.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace snipeworks {

namespace {

// Leases never expire in the view itself: the directory expires them.
constexpr Duration kUnboundedLease = std::chrono::hours(24);
// A report of a steady countdown arrives earlier or later than the one before.
constexpr Duration kColdTolerance = std::chrono::milliseconds(300);
constexpr Duration kDepartureRetention =
    std::chrono::seconds(kDepartureRetentionS);

}  // namespace

TargetDirectory::TargetDirectory(Duration lease)
    : lease_(lease), view_(kUnboundedLease) {}

// Groups report before a route names them. Their targets are known from their
// first report on, and get their addresses once they are routed.
void TargetDirectory::SetRoutedGroups(Instant now,
                                      std::set<std::string> groups) {
  const std::set<std::string> before =
      std::exchange(routed_groups_, std::move(groups));
  std::vector<Announcement> added;
  for (const Announcement* target : view_.All()) {
    if (target->state != TargetState::kGone && IsRouted(*target) &&
        !before.contains(target->group)) {
      added.push_back(*target);
    }
  }
  std::ranges::sort(added, {}, &Announcement::incarnation);
  for (const Announcement& target : added) {
    ResolveAddressReuse(now, target);
  }
}

AnnounceResult TargetDirectory::Apply(Instant now,
                                      const Announcement& reported) {
  Announcement announcement = reported;
  if (announcement.state == TargetState::kServing &&
      departures_.Covers(announcement.target, announcement.incarnation)) {
    announcement.state = TargetState::kDraining;
  }
  const Announcement* known = view_.Find(announcement.target);
  const bool same_incarnation =
      known != nullptr && known->incarnation == announcement.incarnation;
  if (same_incarnation && (known->group != announcement.group ||
                           known->address != announcement.address ||
                           known->zone != announcement.zone)) {
    return AnnounceResult::kStale;
  }
  if (known != nullptr && known->state == TargetState::kServing &&
      IsRouted(*known) && !IsRouted(announcement)) {
    return AnnounceResult::kStale;
  }
  const bool change = !same_incarnation || known->state != announcement.state;
  const TargetState previous_state = known ? known->state : TargetState::kGone;
  if (!view_.Merge(now, announcement)) {
    return AnnounceResult::kStale;
  }
  // A draining target keeps reporting, and its reports may arrive out of order.
  const bool state_unchanged =
      same_incarnation &&
      view_.Find(announcement.target)->state == previous_state;
  const bool colder = UpdateCold(now, announcement, same_incarnation);
  if ((!change || state_unchanged) && !colder) {
    return AnnounceResult::kRenewal;
  }
  RecordChange(announcement.target);
  if (announcement.state != TargetState::kGone) {
    ResolveAddressReuse(now, announcement);
  }
  return AnnounceResult::kChange;
}

bool TargetDirectory::UpdateCold(Instant now,
                                 const Announcement& announcement,
                                 bool same_incarnation) {
  if (announcement.state != TargetState::kServing) {
    return false;
  }
  const auto known = cold_until_.find(announcement.target);
  if (announcement.cold_ms == 0) {
    if (known != cold_until_.end()) {
      cold_until_.erase(known);
    }
    return false;
  }
  const Instant until = now + std::chrono::milliseconds(announcement.cold_ms);
  const bool longer = known == cold_until_.end() || !same_incarnation ||
                      until > known->second + kColdTolerance;
  if (longer) {
    cold_until_[announcement.target] = until;
  }
  return longer && share_cold_;
}

void TargetDirectory::SetShareCold(Instant now, bool share) {
  if (std::exchange(share_cold_, share) || !share) {
    return;
  }
  for (const auto& [target, until] : cold_until_) {
    if (until > now) {
      RecordChange(target);
    }
  }
}

std::uint32_t TargetDirectory::ColdTimeLeftMs(Instant now,
                                              const std::string& target) const {
  const auto found = cold_until_.find(target);
  if (found == cold_until_.end() || found->second <= now) {
    return 0;
  }
  return static_cast<std::uint32_t>((found->second - now) /
                                    std::chrono::milliseconds(1)) +
         1;
}

// An address belongs to the target that started there most recently, of those
// whose group is routed: a report for any other group may come from a writer
// that lists addresses of targets as its own.
void TargetDirectory::ResolveAddressReuse(Instant now,
                                          const Announcement& announcement) {
  if (!IsRouted(announcement)) {
    return;
  }
  std::string& holder = target_by_address_[announcement.address];
  if (holder == announcement.target) {
    return;
  }
  const Announcement* other = holder.empty() ? nullptr : view_.Find(holder);
  const bool other_active =
      other != nullptr && other->address == announcement.address &&
      IsRouted(*other) && other->state != TargetState::kGone;
  if (other_active && other->incarnation > announcement.incarnation) {
    Announcement late_report = announcement;
    late_report.state = TargetState::kGone;
    Apply(now, late_report);
    return;
  }
  holder = announcement.target;
  if (other_active) {
    Announcement gone = *other;
    gone.state = TargetState::kGone;
    Apply(now, gone);
  }
}

bool TargetDirectory::MarkLeaving(Instant now,
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
  Apply(now, leaving);
  return true;
}

void TargetDirectory::MarkDeparted(Instant now, const Departure& departure) {
  if (departures_.Add(departure)) {
    departures_by_age_.emplace_back(now, departure);
  }
  MarkLeaving(now, departure.target, departure.incarnation, std::nullopt);
}

void TargetDirectory::MarkDrained(Instant now,
                                  const Announcement& announcement) {
  if (view_.Find(announcement.target) != nullptr) {
    MarkLeaving(now, announcement.target, announcement.incarnation,
                announcement.sequence);
    return;
  }
  Announcement drained = announcement;
  drained.state = TargetState::kDraining;
  Apply(now, drained);
}

void TargetDirectory::ForgetEnded(Instant now) {
  while (!departures_by_age_.empty() &&
         now - departures_by_age_.front().first > kDepartureRetention) {
    departures_.Remove(departures_by_age_.front().second);
    departures_by_age_.pop_front();
  }
  for (const std::string& target : view_.ForgetEnded(now)) {
    if (auto found = serial_by_target_.find(target);
        found != serial_by_target_.end()) {
      target_by_serial_.erase(found->second);
      serial_by_target_.erase(found);
    }
    cold_until_.erase(target);
    std::erase_if(target_by_address_,
                  [&](const auto& holder) { return holder.second == target; });
  }
}

std::vector<std::string> TargetDirectory::ExpireLeases(Instant now) {
  std::vector<Announcement> expired;
  for (const Announcement* target : view_.All()) {
    const bool serving = target->state == TargetState::kServing;
    if (serving &&
        view_.Age(now, target->target).value_or(Duration{}) > lease_) {
      expired.push_back(*target);
    }
  }
  std::vector<std::string> expired_names;
  for (Announcement& target : expired) {
    target.state = TargetState::kGone;
    Apply(now, target);
    expired_names.push_back(target.target);
  }
  return expired_names;
}

void TargetDirectory::RecordChange(const std::string& target) {
  std::uint64_t& serial = serial_by_target_[target];
  target_by_serial_.erase(serial);
  serial = ++serial_;
  target_by_serial_[serial] = target;
}

std::vector<Announcement> TargetDirectory::ChangesSince(
    std::uint64_t serial) const {
  std::vector<Announcement> changes;
  for (auto it = target_by_serial_.upper_bound(serial);
       it != target_by_serial_.end(); ++it) {
    if (const Announcement* target = view_.Find(it->second)) {
      changes.push_back(*target);
    }
  }
  return changes;
}

std::vector<Announcement> TargetDirectory::ChangesSince(
    Instant now,
    std::uint64_t serial) const {
  std::vector<Announcement> changes = ChangesSince(serial);
  if (share_cold_) {
    for (Announcement& announcement : changes) {
      announcement.cold_ms = ColdTimeLeftMs(now, announcement.target);
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
