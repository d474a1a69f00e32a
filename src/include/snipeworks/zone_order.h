#ifndef SNIPEWORKS_ZONE_ORDER_H_
#define SNIPEWORKS_ZONE_ORDER_H_

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/consensus_types.h"
#include "snipeworks/control_messages.h"

namespace snipeworks {

/// The newest order about `zone` among `commands`, encoded ControlCommands from
/// the oldest to the newest; nullopt if there is none.
std::optional<ControlCommand> NewestZoneOrder(
    std::string_view zone,
    const std::vector<std::string_view>& commands);

/// True if `order` contradicts the newest order about its zone in `later`, the
/// commands behind order.base_version in the log: it may have been given before
/// that one. An order that is itself in `later` is not overtaken.
bool IsOvertaken(const ControlCommand& order,
                 const std::vector<std::string_view>& later);

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
