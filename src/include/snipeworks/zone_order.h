#ifndef SNIPEWORKS_ZONE_ORDER_H_
#define SNIPEWORKS_ZONE_ORDER_H_

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/consensus_types.h"
#include "snipeworks/control_messages.h"

namespace snipeworks {

/// The orders about `zone` among `commands`, which are encoded ControlCommands.
std::vector<ControlCommand> ZoneOrders(
    std::string_view zone,
    const std::vector<std::string_view>& commands);

/// True if `order` contradicts the newest order about its zone in `later`, the
/// commands behind order.base_version in the log: it may have been given before
/// that one. An order that is itself in `later` is not overtaken.
bool IsOvertaken(const ControlCommand& order,
                 const std::vector<std::string_view>& later);

/// True if `order` contradicts the newest order about its zone in `commands`,
/// and that one has come after another, both later than `since_s`.
bool IsRepeatedReversal(const ControlCommand& order,
                        const std::vector<std::string_view>& commands,
                        std::int64_t since_s);

/// How far a host had applied the log at a time in the past.
class AppliedHistory {
 public:
  /// `now` and `applied` must not decrease, except after Clear.
  void Record(Instant now, LogIndex applied);
  void Clear() { samples_.clear(); }

  /// An index that had been applied at `time`; 0 if none is known.
  LogIndex At(Instant time) const;

 private:
  struct Sample {
    Instant time;
    LogIndex applied = 0;
  };

  std::deque<Sample> samples_;  ///< Oldest first.
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ZONE_ORDER_H_
