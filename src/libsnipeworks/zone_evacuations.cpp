#include "snipeworks/zone_evacuations.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace snipeworks {

ZoneEvacuations::ZoneEvacuations(std::vector<EvacuatedZone> zones,
                                 std::vector<AppliedOrder> orders)
    : zones_(std::move(zones)), orders_(std::move(orders)) {}

// The reply to a proposal may be lost, and the order is then proposed again.
// Without its id, it would undo a later order that was acknowledged meanwhile.
bool ZoneEvacuations::IsRepeated(const std::string& order,
                                 std::int64_t time_s) {
  if (std::ranges::find(orders_, order, &AppliedOrder::id) != orders_.end()) {
    return true;
  }
  orders_.push_back({order, time_s});
  return false;
}

ZoneEvacuations::Outcome ZoneEvacuations::Evacuate(const std::string& order,
                                                   const std::string& zone,
                                                   std::int64_t time_s) {
  const auto at =
      std::ranges::lower_bound(zones_, zone, {}, &EvacuatedZone::zone);
  const bool known = at != zones_.end() && at->zone == zone;
  // A refused order must be refused again if it is repeated.
  if (!known && zones_.size() >= kMaxEvacuatedZones) {
    return Outcome::kTooMany;
  }
  if (IsRepeated(order, time_s) || known) {
    return Outcome::kUnchanged;
  }
  zones_.insert(at, {zone, time_s});
  return Outcome::kChanged;
}

ZoneEvacuations::Outcome ZoneEvacuations::Readmit(const std::string& order,
                                                  const std::string& zone,
                                                  std::int64_t time_s) {
  if (IsRepeated(order, time_s)) {
    return Outcome::kUnchanged;
  }
  const std::size_t removed = std::erase_if(
      zones_, [&](const EvacuatedZone& known) { return known.zone == zone; });
  return removed > 0 ? Outcome::kChanged : Outcome::kUnchanged;
}

void ZoneEvacuations::ForgetOrders(std::int64_t time_s) {
  std::erase_if(orders_, [&](const AppliedOrder& order) {
    return order.time_s < time_s - kOrderRetentionS;
  });
}

std::uint64_t EvacuationDigest(const std::vector<EvacuatedZone>& zones) {
  if (zones.empty()) {
    return 0;
  }
  const std::string text = Encode(zones);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace snipeworks
