#include "snipeworks/zone_order.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace snipeworks {

namespace {

constexpr std::size_t kMaxSamples = 4096;
// Keeps kMaxSamples samples for a while under a steady load of commands.
constexpr Duration kSampleInterval = std::chrono::milliseconds(10);

bool IsZoneOrder(const ControlCommand& command) {
  return command.kind == CommandKind::kEvacuate ||
         command.kind == CommandKind::kReadmit;
}

}  // namespace

// Commands may contain large documents, so most are skipped without decoding.
std::vector<ControlCommand> ZoneOrders(
    std::string_view zone,
    const std::vector<std::string_view>& commands) {
  std::vector<ControlCommand> orders;
  for (const std::string_view bytes : commands) {
    if (bytes.find(zone) == std::string_view::npos) {
      continue;
    }
    auto command = Decode<ControlCommand>(bytes);
    if (command && IsZoneOrder(*command) && command->zone == zone) {
      orders.push_back(std::move(*command));
    }
  }
  return orders;
}

bool IsOvertaken(const ControlCommand& order,
                 const std::vector<std::string_view>& later) {
  const std::vector<ControlCommand> orders = ZoneOrders(order.zone, later);
  return !orders.empty() && orders.back().kind != order.kind &&
         std::ranges::find(orders, order.change_id,
                           &ControlCommand::change_id) == orders.end();
}

bool IsRepeatedReversal(const ControlCommand& order,
                        const std::vector<std::string_view>& commands,
                        std::int64_t since_s) {
  const std::vector<ControlCommand> orders = ZoneOrders(order.zone, commands);
  return orders.size() > 1 && orders.back().kind != order.kind &&
         orders[orders.size() - 2].time_s > since_s;
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
