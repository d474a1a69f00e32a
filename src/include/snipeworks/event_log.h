#ifndef SNIPEWORKS_EVENT_LOG_H_
#define SNIPEWORKS_EVENT_LOG_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "snipeworks/clock.h"

namespace snipeworks {

/// The kinds of events that programs write to the event log.
enum class EventKind {
  kStarted,
  kStopping,
  kStopped,
  kReloaded,
  kReady,
  kUnready,
  kControlLost,
  kControlRegained,
  kRoutingInForce,
  kRoutingConfirmed,
  kTargetChanged,
  kTargetsRestored,
  kFleetSize,
  kConditions,
  kRequest,
  kAttempt,
  kHedgeSkipped,
  kTargetLimit,
  kTargetContact,
  kRelayed,
  kQuotaContact,
  kQuota,
  kEvidence,
  kCallerGone,
  kRequestRejected,
  kReportRejected,
  kDepartureUnrecorded,
  kRoutingAccepted,
  kRoutingRejected,
  kRoutingUnanswered,
  kZoneOrder,
  kZoneEvacuated,
  kReadUnanswered,
  kLeading,
  kNotLeading,
  kCurrent,
  kNotCurrent,
  kMembers,
  kRedundancy,
  kNoLeader,
  kStoreFailed,
  kStoreReopened,
  kTraffic,
  kStalled,
  kLinesDropped,
};

/// One row of the table of events.
struct EventRow {
  EventKind kind;
  std::string_view name;
  /// True if the limit of lines per second does not apply.
  bool exempt_from_rate_limit;
  std::string_view brief;
};

/// All events in the order of EventKind, for the documentation and its test.
std::span<const EventRow> EventTable();

/// A key and value in an event line.
struct EventField {
  std::string_view name;
  std::variant<std::int64_t, double, std::string_view, bool> value;

  EventField(std::string_view field, std::string_view text)
      : name(field), value(text) {}
  EventField(std::string_view field, const char* text)
      : name(field), value(std::string_view(text)) {}
  EventField(std::string_view field, const std::string& text)
      : name(field), value(std::string_view(text)) {}
  EventField(std::string_view field, bool flag) : name(field), value(flag) {}
  EventField(std::string_view field, double number)
      : name(field), value(number) {}
  template <std::integral T>
  requires(!std::same_as<T, bool>) EventField(std::string_view field, T number)
      : name(field), value(static_cast<std::int64_t>(number)) {}
  /// In milliseconds.
  EventField(std::string_view field, Duration duration)
      : name(field), value(ToMilliseconds(duration)) {}
};

struct EventLogLimits {
  /// Lines per second; events exempt from the rate limit do not count.
  std::uint32_t lines_per_second = 200;
  /// Bytes buffered while the reader of the descriptor is slow.
  std::size_t buffer_bytes = std::size_t{256} * 1024;
};

/// Writes JSON lines to a non-blocking file descriptor. Lines that the reader
/// has not consumed are buffered. Lines beyond the limits of the buffer and of
/// the rate are dropped and counted.
class EventLog {
 public:
  /// Writes to `descriptor`, which is set to non-blocking mode. Each line has
  /// `host` as its "host" value.
  EventLog(int descriptor, std::string host, EventLogLimits limits = {});

  void Write(EventKind kind, std::initializer_list<EventField> fields);

  /// True if a line that is subject to the rate limit would be written.
  bool HasRoom() const;

  /// Writes the buffered lines to the descriptor.
  void Flush();
  /// Flushes if the buffer holds a line exempt from the rate limit, is large
  /// enough for one write, or was last flushed some time ago. Call once per
  /// iteration of the event loop.
  void FlushIfDue(Instant now);

  std::uint64_t lines() const { return lines_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Append(const EventRow& row, std::span<const EventField> fields);
  void UpdateRateWindow();

  int descriptor_;
  std::string host_;
  EventLogLimits limits_;
  std::string buffer_;
  /// The buffer holds a line exempt from the rate limit.
  bool urgent_ = false;
  Instant flushed_at_{};
  std::int64_t second_ = 0;
  std::uint32_t lines_in_second_ = 0;
  std::uint64_t lines_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_reported_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_EVENT_LOG_H_
