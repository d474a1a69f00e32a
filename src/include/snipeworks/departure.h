#ifndef SNIPEWORKS_DEPARTURE_H_
#define SNIPEWORKS_DEPARTURE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "snipeworks/control_messages.h"

namespace snipeworks {

/// A target has said that it accepts no more work, in this start of it. Earlier
/// starts have ended.
struct Departure {
  std::string target;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const Departure&, const Departure&) = default;
};

/// How long the control log keeps a departure, in seconds. Reports from before
/// it arrive within seconds, or after a network partition within minutes.
inline constexpr std::int64_t kDepartureRetentionS = 3600;

/// The command that records `departure` in the control log. `time_s` is the
/// wall-clock time in seconds since 1970.
ControlCommand ToCommand(const Departure& departure, std::int64_t time_s);

/// The departure that a claim stands for; nothing for the claim of a caller.
std::optional<Departure> DepartureOf(std::string_view caller,
                                     std::string_view key);

/// The departure that `command` records, unless the log has forgotten it by
/// `now_s`.
std::optional<Departure> DepartureOf(const ControlCommand& command,
                                     std::int64_t now_s);

/// True if `result` of a departure's command shows that the log has it.
bool IsRecorded(const CommandResult& result);

/// Departures that are known.
class DepartureSet {
 public:
  /// Returns true if the departure was not known.
  bool Add(const Departure& departure);
  void Remove(const Departure& departure);

  /// True if this start of the target, or a later one, has departed.
  bool Covers(const std::string& target, std::uint64_t incarnation) const;

  std::size_t size() const { return departures_.size(); }

 private:
  std::set<Departure> departures_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_DEPARTURE_H_
