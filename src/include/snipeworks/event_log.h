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

/// Everything that a program can write to its event log.
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
  kTargetChanged,
  kFleetSize,
  kConditions,
  kRequest,
  kAttempt,
  kHedgeSkipped,
  kEvidence,
  kCallerGone,
  kRequestRejected,
  kReportRejected,
  kRoutingAccepted,
  kRoutingRejected,
  kRoutingUnanswered,
  kReadUnanswered,
  kLeading,
  kNotLeading,
  kCurrent,
  kNotCurrent,
  kMembers,
  kStoreFailed,
  kStoreReopened,
  kTraffic,
  kStalled,
  kLinesDropped,
};

/// One row of the list of events.
struct EventRow {
  EventKind kind;
  std::string_view name;
  /// True if the line is written however many there are.
  bool exempt_from_rate_limit;
  std::string_view brief;
};

/// Every event, for the documentation and its test.
std::span<const EventRow> EventTable();

/// A named value of an event.
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

/// What an EventLog may write.
struct EventLogLimits {
  /// Lines a second; those that are always written do not count.
  std::uint32_t lines_per_second = 200;
  /// Bytes that wait for a reader of standard output that is slow.
  std::size_t buffer_bytes = std::size_t{256} * 1024;
};

/// Lines of JSON on a file descriptor that never blocks: what its reader does
/// not take is kept up to a limit, and then counted and left out.
class EventLog {
 public:
  /// Writes to `descriptor`, which becomes non-blocking. Lines carry `host`.
  EventLog(int descriptor, std::string host, EventLogLimits limits = {});

  void Write(EventKind kind, std::initializer_list<EventField> fields);

  /// True if a line of a kind that is not always written would be written.
  bool HasRoom() const;

  /// Hands what was written to the descriptor.
  void Flush();
  /// Does so if a line of a kind that is always written waits, or many lines,
  /// or some for a while. To be called once a turn of the loop.
  void FlushIfDue(Instant now);

  std::uint64_t lines() const { return lines_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Append(const EventRow& row, std::span<const EventField> fields);
  void NextSecond();

  int descriptor_;
  std::string host_;
  EventLogLimits limits_;
  std::string buffer_;
  bool urgent_ = false;  ///< A line of a kind that is always written waits.
  Instant flushed_at_{};
  std::int64_t second_ = 0;
  std::uint32_t in_second_ = 0;
  std::uint64_t lines_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_told_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_EVENT_LOG_H_
