#include "snipeworks/zone_order.h"

#include <algorithm>
#include <iterator>

namespace snipeworks {

namespace {

constexpr std::size_t kMaxSamples = 4096;
// Keeps kMaxSamples samples for a while under a steady load of commands.
constexpr Duration kSampleInterval = std::chrono::milliseconds(10);

bool IsZoneOrder(const ControlCommand& command) {
  return command.kind == CommandKind::kEvacuate ||
         command.kind == CommandKind::kReadmit;
}

// Commands may contain large documents, so most are skipped without decoding.
std::optional<ControlCommand> DecodeOrderAbout(std::string_view zone,
                                               std::string_view bytes) {
  if (bytes.find(zone) == std::string_view::npos) {
    return std::nullopt;
  }
  auto command = Decode<ControlCommand>(bytes);
  return command && IsZoneOrder(*command) && command->zone == zone
             ? std::move(command)
             : std::nullopt;
}

}  // namespace

std::optional<ControlCommand> NewestZoneOrder(
    std::string_view zone,
    const std::vector<std::string_view>& commands) {
  for (auto bytes = commands.rbegin(); bytes != commands.rend(); ++bytes) {
    if (auto order = DecodeOrderAbout(zone, *bytes)) {
      return order;
    }
  }
  return std::nullopt;
}

bool IsOvertaken(const ControlCommand& order,
                 const std::vector<std::string_view>& later) {
  const auto newest = NewestZoneOrder(order.zone, later);
  return newest && newest->kind != order.kind &&
         std::ranges::none_of(later, [&](std::string_view bytes) {
           const auto known = DecodeOrderAbout(order.zone, bytes);
           return known && known->change_id == order.change_id;
         });
}

void AppliedHistory::Record(Instant now, LogIndex applied) {
  if (!samples_.empty() && (samples_.back().applied == applied ||
                            now - samples_.back().time < kSampleInterval)) {
    return;
  }
  samples_.push_back({now, applied});
  if (samples_.size() > kMaxSamples) {
    samples_.pop_front();
  }
}

LogIndex AppliedHistory::At(Instant time) const {
  const auto after =
      std::ranges::upper_bound(samples_, time, {}, &Sample::time);
  return after == samples_.begin() ? 0 : std::prev(after)->applied;
}

}  // namespace snipeworks
