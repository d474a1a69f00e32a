#include "snipeworks/departure.h"

#include <charconv>

namespace snipeworks {

namespace {

// Departures are claims of a caller that no request can name: a header holds no
// line feed. Hosts of versions that know no departures replicate claims and
// keep them in their snapshots; a command or a field of the state that they do
// not know would be lost there, or would end them.
constexpr std::string_view kCaller = "\ndeparted";
// Names of targets hold no control characters.
constexpr char kSeparator = '\n';

}  // namespace

// A claim is deleted a fixed time after the creation of its key, so a key of
// the past makes the log forget it sooner.
ControlCommand ToCommand(const Departure& departure, std::int64_t time_s) {
  ControlCommand command;
  command.kind = CommandKind::kClaim;
  command.caller = kCaller;
  command.key =
      departure.target + kSeparator + std::to_string(departure.incarnation);
  command.created_s = time_s + kDepartureRetentionS - kClaimRetentionS;
  return command;
}

std::optional<Departure> DepartureOf(std::string_view caller,
                                     std::string_view key) {
  const std::size_t separator = key.rfind(kSeparator);
  if (caller != kCaller || separator == std::string_view::npos) {
    return std::nullopt;
  }
  Departure departure;
  departure.target = key.substr(0, separator);
  const std::string_view number = key.substr(separator + 1);
  const char* const end = number.data() + number.size();
  const auto [parsed, error] =
      std::from_chars(number.data(), end, departure.incarnation);
  return error == std::errc() && parsed == end ? std::optional(departure)
                                               : std::nullopt;
}

std::optional<Departure> DepartureOf(const ControlCommand& command,
                                     std::int64_t now_s) {
  const bool kept = command.kind == CommandKind::kClaim &&
                    command.created_s > now_s - kClaimRetentionS;
  return kept ? DepartureOf(command.caller, command.key) : std::nullopt;
}

bool IsRecorded(const CommandResult& result) {
  return result.status == CommandStatus::kGranted ||
         result.status == CommandStatus::kInProgress ||
         result.status == CommandStatus::kMayHaveRun;
}

bool DepartureSet::Add(const Departure& departure) {
  return departures_.insert(departure).second;
}

void DepartureSet::Remove(const Departure& departure) {
  departures_.erase(departure);
}

bool DepartureSet::Covers(const std::string& target,
                          std::uint64_t incarnation) const {
  const auto found = departures_.lower_bound({target, incarnation});
  return found != departures_.end() && found->target == target;
}

}  // namespace snipeworks
