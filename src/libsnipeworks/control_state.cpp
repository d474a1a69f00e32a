#include "snipeworks/control_state.h"

#include <algorithm>
#include <utility>

#include "snipeworks/fleet_settings.h"

namespace snipeworks {

namespace {

constexpr std::size_t kMaxHistoryRecords = 1000;
// Enough for four days of changes at the design size. A resend of an older
// change is still not applied again, because its base version is outdated.
constexpr std::size_t kMaxChangeIds = 16000;

// The encoding of the saved state.
struct SavedChange {
  std::string id;
  CommandResult result;
};

template <SameStruct<SavedChange> S>
auto WireFields(S& v) {
  return std::tie(v.id, v.result);
}

struct SavedClaim {
  std::string caller;
  std::string key;
  ClaimRecord record;
};

template <SameStruct<SavedClaim> S>
auto WireFields(S& v) {
  return std::tie(v.caller, v.key, v.record);
}

struct SavedState {
  std::int64_t time_s = 0;
  std::vector<SettingsRecord> history;
  std::vector<SavedChange> changes;
  std::vector<SavedClaim> claims;
  VersionedRouting routing;
  std::vector<EvacuatedZone> evacuated_zones;
  std::vector<AppliedOrder> evacuation_orders;
};

template <SameStruct<SavedState> S>
auto WireFields(S& v) {
  return std::tie(v.time_s, v.history, v.changes, v.claims, v.routing,
                  v.evacuated_zones, v.evacuation_orders);
}

}  // namespace

template <>
inline constexpr std::size_t kOptionalWireFields<SavedState> = 2;

namespace {

CommandResult MakeResult(CommandStatus status, std::string detail = "") {
  CommandResult result;
  result.status = status;
  result.detail = std::move(detail);
  return result;
}

CommandResult MakeDoneResult(const ClaimRecord& record) {
  CommandResult result = MakeResult(CommandStatus::kDone);
  result.http_status = record.http_status;
  result.body = record.body;
  return result;
}

}  // namespace

std::string ControlState::Apply(const std::string& bytes) {
  auto command = Decode<ControlCommand>(bytes);
  if (!command) {
    return Encode(MakeResult(CommandStatus::kInvalid, "unreadable command"));
  }
  return Encode(Apply(*command));
}

CommandResult ControlState::Apply(const ControlCommand& command) {
  time_s_ = std::max(time_s_, command.time_s);
  DeleteExpiredClaims();
  evacuations_.ForgetOrders(time_s_);
  switch (command.kind) {
    case CommandKind::kSettings:
      return ApplySettings(command);
    case CommandKind::kClaim:
      return ApplyClaim(command);
    case CommandKind::kOutcome:
      return ApplyOutcome(command);
    case CommandKind::kRouting:
      return ApplyRouting(command);
    case CommandKind::kEvacuate:
    case CommandKind::kReadmit:
      return ApplyEvacuation(command);
  }
  return MakeResult(CommandStatus::kInvalid, "unknown command");
}

VersionedSettings ControlState::settings() const {
  if (history_.empty()) {
    return {};
  }
  return {history_.back().version, history_.back().text};
}

// The highest version wins; a version that is already in use is not replaced.
CommandResult ControlState::ApplyRouting(const ControlCommand& command) {
  CommandResult result;
  if (command.routing_version > routing_.version) {
    routing_ = {command.routing_version, command.document};
    result.status = CommandStatus::kAccepted;
  } else {
    result.status = CommandStatus::kUnchanged;
  }
  result.version = routing_.version;
  return result;
}

CommandResult ControlState::ApplyEvacuation(const ControlCommand& command) {
  const auto outcome =
      command.kind == CommandKind::kEvacuate
          ? evacuations_.Evacuate(command.change_id, command.zone, time_s_)
          : evacuations_.Readmit(command.change_id, command.zone, time_s_);
  switch (outcome) {
    case ZoneEvacuations::Outcome::kChanged:
      return MakeResult(CommandStatus::kAccepted);
    case ZoneEvacuations::Outcome::kUnchanged:
      return MakeResult(CommandStatus::kUnchanged);
    case ZoneEvacuations::Outcome::kTooMany:
      break;
  }
  return MakeResult(CommandStatus::kConflict, "too many zones are evacuated");
}

CommandResult ControlState::ApplySettings(const ControlCommand& command) {
  auto known = change_results_.find(command.change_id);
  if (known != change_results_.end()) {
    return known->second;
  }
  const std::uint64_t current_version = settings().version;
  CommandResult result;
  result.version = current_version;
  if (command.base_version != current_version) {
    result.status = CommandStatus::kConflict;
    result.detail = "made against version " +
                    std::to_string(command.base_version) + ", current is " +
                    std::to_string(current_version);
    return result;
  }
  auto parsed = FleetSettings::Parse(command.text);
  if (!parsed) {
    result.status = CommandStatus::kInvalid;
    result.detail = parsed.error().detail;
    return result;
  }
  result.status = CommandStatus::kAccepted;
  result.version = current_version + 1;
  history_.push_back({result.version, command.change_id, command.author,
                      time_s_, command.text});
  if (history_.size() > kMaxHistoryRecords) {
    history_.pop_front();
  }
  change_results_[command.change_id] = result;
  change_order_.push_back(command.change_id);
  if (change_order_.size() > kMaxChangeIds) {
    change_results_.erase(change_order_.front());
    change_order_.pop_front();
  }
  return result;
}

// A deleted claim cannot be made again: the bound that deletes claims also
// refuses their keys, and the time never decreases.
CommandResult ControlState::ApplyClaim(const ControlCommand& command) {
  if (command.created_s <= time_s_ - kClaimRetentionS) {
    return MakeResult(CommandStatus::kKeyExpired, "the key is too old");
  }
  if (command.created_s > time_s_ + kMaxKeyClockSkewS) {
    return MakeResult(CommandStatus::kKeyExpired, "the key is from the future");
  }
  const ClaimKey key{command.caller, command.key};
  if (!claims_.contains(key)) {
    ClaimRecord added;
    added.body_hash = command.body_hash;
    added.created_s = command.created_s;
    added.state = ClaimState::kNotRun;
    AddClaim(key, added);
  }
  ClaimRecord& record = claims_.at(key);
  if (record.body_hash != command.body_hash) {
    return MakeResult(CommandStatus::kKeyReused,
                      "the key came with another body");
  }
  if (record.state == ClaimState::kOpen && time_s_ > record.open_until_s) {
    record.state = ClaimState::kMayHaveRun;
  }
  switch (record.state) {
    case ClaimState::kNotRun:
      record.state = ClaimState::kOpen;
      record.owner = command.owner;
      record.open_until_s = time_s_ + kMaxClaimOpenS;
      return MakeResult(CommandStatus::kGranted);
    case ClaimState::kOpen:
      // The owner may retry because it did not receive the result.
      return record.owner == command.owner
                 ? MakeResult(CommandStatus::kGranted)
                 : MakeResult(CommandStatus::kInProgress);
    case ClaimState::kDone:
      return MakeDoneResult(record);
    case ClaimState::kMayHaveRun:
      return MakeResult(CommandStatus::kMayHaveRun);
  }
  return MakeResult(CommandStatus::kMayHaveRun);
}

CommandResult ControlState::ApplyOutcome(const ControlCommand& command) {
  auto found = claims_.find({command.caller, command.key});
  if (found == claims_.end() || found->second.owner != command.owner) {
    return MakeResult(CommandStatus::kUnknown);
  }
  ClaimRecord& record = found->second;
  if (record.state == ClaimState::kOpen && time_s_ > record.open_until_s) {
    record.state = ClaimState::kMayHaveRun;
  }
  // Callers may already have received kMayHaveRun; from that state only kDone
  // is accepted.
  const bool is_final = record.state == ClaimState::kDone ||
                        (record.state == ClaimState::kMayHaveRun &&
                         command.outcome != ClaimState::kDone) ||
                        record.state == ClaimState::kNotRun;
  if (!is_final) {
    record.state = command.outcome;
    record.http_status = command.http_status;
    record.body = command.body;
  }
  return MakeResult(CommandStatus::kAccepted);
}

void ControlState::DeleteExpiredClaims() {
  const std::int64_t oldest = time_s_ - kClaimRetentionS;
  while (!claims_by_creation_.empty() &&
         claims_by_creation_.begin()->first <= oldest) {
    const ClaimKey& key = claims_by_creation_.begin()->second;
    departures_ -= DepartureOf(key.first, key.second) ? 1 : 0;
    claims_.erase(key);
    claims_by_creation_.erase(claims_by_creation_.begin());
  }
}

void ControlState::AddClaim(const ClaimKey& key, const ClaimRecord& record) {
  claims_by_creation_.emplace(record.created_s, key);
  claims_[key] = record;
  if (DepartureOf(key.first, key.second)) {
    ++departures_;
    new_departures_.push_back(key);
  }
}

// Expired claims are deleted with the next command only.
bool ControlState::HasDeparture(const Departure& departure,
                                std::int64_t now_s) const {
  const ControlCommand command = ToCommand(departure, now_s);
  const auto found = claims_.find({command.caller, command.key});
  return found != claims_.end() &&
         found->second.created_s > now_s - kClaimRetentionS;
}

std::vector<Departure> ControlState::TakeDepartures(std::int64_t now_s) {
  std::vector<Departure> departures;
  for (const ClaimKey& key : std::exchange(new_departures_, {})) {
    const auto departure = DepartureOf(key.first, key.second);
    if (departure && HasDeparture(*departure, now_s)) {
      departures.push_back(*departure);
    }
  }
  return departures;
}

std::vector<SettingsRecord> ControlState::History(
    std::size_t max_records) const {
  const std::size_t count = std::min(max_records, history_.size());
  return {history_.end() - static_cast<std::ptrdiff_t>(count), history_.end()};
}

std::string ControlState::Save() const {
  SavedState saved;
  saved.time_s = time_s_;
  saved.history.assign(history_.begin(), history_.end());
  for (const std::string& id : change_order_) {
    saved.changes.push_back({id, change_results_.at(id)});
  }
  for (const auto& [key, record] : claims_) {
    saved.claims.push_back({key.first, key.second, record});
  }
  saved.routing = routing_;
  saved.evacuated_zones = evacuations_.zones();
  saved.evacuation_orders = evacuations_.orders();
  return Encode(saved);
}

void ControlState::Load(const std::string& state) {
  *this = ControlState();
  auto saved = Decode<SavedState>(state);
  if (!saved) {
    return;
  }
  time_s_ = saved->time_s;
  routing_ = std::move(saved->routing);
  evacuations_ = ZoneEvacuations(std::move(saved->evacuated_zones),
                                 std::move(saved->evacuation_orders));
  history_.assign(saved->history.begin(), saved->history.end());
  for (SavedChange& change : saved->changes) {
    change_order_.push_back(change.id);
    change_results_[change.id] = std::move(change.result);
  }
  for (const SavedClaim& claim : saved->claims) {
    AddClaim({claim.caller, claim.key}, claim.record);
  }
}

}  // namespace snipeworks
