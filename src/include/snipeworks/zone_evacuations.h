#ifndef SNIPEWORKS_ZONE_EVACUATIONS_H_
#define SNIPEWORKS_ZONE_EVACUATIONS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "snipeworks/wire.h"

namespace snipeworks {

/// An availability zone whose targets get no new work.
struct EvacuatedZone {
  std::string zone;
  std::int64_t since_s = 0;  ///< Wall-clock time of the order, since 1970.

  friend auto operator<=>(const EvacuatedZone&, const EvacuatedZone&) = default;
};

template <SameStruct<EvacuatedZone> S>
auto WireFields(S& v) {
  return std::tie(v.zone, v.since_s);
}

/// An order that has been applied.
struct AppliedOrder {
  std::string id;
  std::int64_t time_s = 0;

  friend auto operator<=>(const AppliedOrder&, const AppliedOrder&) = default;
};

template <SameStruct<AppliedOrder> S>
auto WireFields(S& v) {
  return std::tie(v.id, v.time_s);
}

/// How many zones may be evacuated at once.
inline constexpr std::size_t kMaxEvacuatedZones = 1000;
/// How long the ids of applied orders are kept, in seconds. A control host
/// proposes an order again for less than one second.
inline constexpr std::int64_t kOrderRetentionS = 60;

/// The zones that operators have ordered to be evacuated. Depends only on the
/// sequence of calls.
class ZoneEvacuations {
 public:
  enum class Outcome {
    kChanged,
    kUnchanged,  ///< Already so, or the order has been applied before.
    kTooMany,    ///< kMaxEvacuatedZones are evacuated.
  };

  ZoneEvacuations() = default;
  ZoneEvacuations(std::vector<EvacuatedZone> zones,
                  std::vector<AppliedOrder> orders);

  /// Applies the order with the id `order`, once however often it comes.
  Outcome Evacuate(const std::string& order,
                   const std::string& zone,
                   std::int64_t time_s);
  Outcome Readmit(const std::string& order,
                  const std::string& zone,
                  std::int64_t time_s);
  /// Forgets the ids of old orders.
  void ForgetOrders(std::int64_t time_s);

  /// Sorted by name.
  const std::vector<EvacuatedZone>& zones() const { return zones_; }
  /// Oldest first.
  const std::vector<AppliedOrder>& orders() const { return orders_; }

 private:
  bool IsRepeated(const std::string& order, std::int64_t time_s);

  std::vector<EvacuatedZone> zones_;
  std::vector<AppliedOrder> orders_;
};

/// A digest of `zones`; 0 if there are none.
std::uint64_t EvacuationDigest(const std::vector<EvacuatedZone>& zones);

}  // namespace snipeworks

#endif  // SNIPEWORKS_ZONE_EVACUATIONS_H_
