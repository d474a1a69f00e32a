#ifndef SNIPEWORKS_TIMER_QUEUE_H_
#define SNIPEWORKS_TIMER_QUEUE_H_

#include <cstdint>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "snipeworks/clock.h"

namespace snipeworks {

/// Timers ordered by due time. Timers cannot be cancelled: the owner checks
/// when a timer fires whether it still applies.
template <typename T>
class TimerQueue {
 public:
  void Add(Instant due, T timer) {
    entries_.push({due, next_order_++, std::move(timer)});
  }

  /// Due time of the next timer.
  std::optional<Instant> NextDue() const {
    if (entries_.empty()) {
      return std::nullopt;
    }
    return entries_.top().due;
  }

  /// Removes and returns the next timer that is due at `now`.
  std::optional<T> PopDue(Instant now) {
    if (entries_.empty() || entries_.top().due > now) {
      return std::nullopt;
    }
    T timer = entries_.top().timer;
    entries_.pop();
    return timer;
  }

 private:
  struct Entry {
    Instant due;
    std::uint64_t order;
    T timer;

    bool operator<(const Entry& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };

  std::priority_queue<Entry> entries_;
  std::uint64_t next_order_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TIMER_QUEUE_H_
