#include "snipeworks/control_state.h"

#include <algorithm>
#include <utility>

#include "snipeworks/fleet_settings.h"

namespace snipeworks {

namespace {

constexpr std::size_t kHistoryKept = 1000;
// Four days of changes at the size designed for. A resend of an older one is
// still not applied again: its base version is in the past.
constexpr std::size_t kChangeIdsKept = 16000;

// Named pieces of the saved state.
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
};

template <SameStruct<SavedState> S>
auto WireFields(S& v) {
  return std::tie(v.time_s, v.history, v.changes, v.claims, v.routing);
}

CommandResult Answer(CommandStatus status, std::string detail = "") {
  CommandResult result;
  result.status = status;
  result.detail = std::move(detail);
  return result;
}

CommandResult DoneAnswer(const ClaimRecord& record) {
  CommandResult result = Answer(CommandStatus::kDone);
  result.http_status = record.http_status;
  result.body = record.body;
  return result;
}

}  // namespace

std::string ControlState::Apply(const std::string& bytes) {
  auto command = Decode<ControlCommand>(bytes);
  if (!command) {
    return Encode(Answer(CommandStatus::kInvalid, "unreadable command"));
  }
  return Encode(Apply(*command));
}

CommandResult ControlState::Apply(const ControlCommand& command) {
  time_s_ = std::max(time_s_, command.time_s);
  DropExpiredClaims();
  switch (command.kind) {
    case CommandKind::kSettings:
      return ApplySettings(command);
    case CommandKind::kClaim:
      return ApplyClaim(command);
    case CommandKind::kOutcome:
      return ApplyOutcome(command);
    case CommandKind::kRouting:
      return ApplyRouting(command);
  }
  return Answer(CommandStatus::kInvalid, "unknown command");
}

VersionedSettings ControlState::settings() const {
  if (history_.empty()) {
    return {};
  }
  return {history_.back().version, history_.back().text};
}

// The highest version wins, and the first document under a number stays.
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

CommandResult ControlState::ApplySettings(const ControlCommand& command) {
  auto first = changes_.find(command.change_id);
  if (first != changes_.end()) {
    return first->second;
  }
  const std::uint64_t current = settings().version;
  CommandResult result;
  result.version = current;
  if (command.base_version != current) {
    result.status = CommandStatus::kConflict;
    result.detail = "made against version " +
                    std::to_string(command.base_version) + ", current is " +
                    std::to_string(current);
    return result;
  }
  auto parsed = FleetSettings::Parse(command.text);
  if (!parsed) {
    result.status = CommandStatus::kInvalid;
    result.detail = parsed.error().detail;
    return result;
  }
  result.status = CommandStatus::kAccepted;
  result.version = current + 1;
  history_.push_back({result.version, command.change_id, command.author,
                      time_s_, command.text});
  if (history_.size() > kHistoryKept) {
    history_.pop_front();
  }
  changes_[command.change_id] = result;
  change_order_.push_back(command.change_id);
  if (change_order_.size() > kChangeIdsKept) {
    changes_.erase(change_order_.front());
    change_order_.pop_front();
  }
  return result;
}

// A dropped claim cannot be made again: the same bound that drops it refuses
// its key, and the time only goes forward.
CommandResult ControlState::ApplyClaim(const ControlCommand& command) {
  if (command.created_s <= time_s_ - kClaimRetentionS) {
    return Answer(CommandStatus::kKeyExpired, "the key is too old");
  }
  if (command.created_s > time_s_ + kClaimSkewS) {
    return Answer(CommandStatus::kKeyExpired, "the key is from the future");
  }
  const ClaimKey key{command.caller, command.key};
  auto [slot, added] = claims_.try_emplace(key);
  ClaimRecord& record = slot->second;
  if (added) {
    by_age_.emplace(command.created_s, key);
    record.body_hash = command.body_hash;
    record.created_s = command.created_s;
    record.state = ClaimState::kNotRun;
  }
  if (record.body_hash != command.body_hash) {
    return Answer(CommandStatus::kKeyReused, "the key came with another body");
  }
  if (record.state == ClaimState::kOpen && time_s_ > record.open_until_s) {
    record.state = ClaimState::kMayHaveRun;
  }
  switch (record.state) {
    case ClaimState::kNotRun:
      record.state = ClaimState::kOpen;
      record.owner = command.owner;
      record.open_until_s = time_s_ + kClaimOpenS;
      return Answer(CommandStatus::kGranted);
    case ClaimState::kOpen:
      // The owner asks again because it did not hear the answer.
      return record.owner == command.owner ? Answer(CommandStatus::kGranted)
                                           : Answer(CommandStatus::kInProgress);
    case ClaimState::kDone:
      return DoneAnswer(record);
    case ClaimState::kMayHaveRun:
      return Answer(CommandStatus::kMayHaveRun);
  }
  return Answer(CommandStatus::kMayHaveRun);
}

CommandResult ControlState::ApplyOutcome(const ControlCommand& command) {
  auto found = claims_.find({command.caller, command.key});
  if (found == claims_.end() || found->second.owner != command.owner) {
    return Answer(CommandStatus::kUnknown);
  }
  ClaimRecord& record = found->second;
  if (record.state == ClaimState::kOpen && time_s_ > record.open_until_s) {
    record.state = ClaimState::kMayHaveRun;
  }
  // Callers may have been told "may have run, will not be run again": then
  // only the news that it did run changes anything.
  const bool final = record.state == ClaimState::kDone ||
                     (record.state == ClaimState::kMayHaveRun &&
                      command.outcome != ClaimState::kDone) ||
                     record.state == ClaimState::kNotRun;
  if (!final) {
    record.state = command.outcome;
    record.http_status = command.http_status;
    record.body = command.body;
  }
  return Answer(CommandStatus::kAccepted);
}

void ControlState::DropExpiredClaims() {
  const std::int64_t oldest = time_s_ - kClaimRetentionS;
  while (!by_age_.empty() && by_age_.begin()->first <= oldest) {
    claims_.erase(by_age_.begin()->second);
    by_age_.erase(by_age_.begin());
  }
}

std::vector<SettingsRecord> ControlState::History(std::size_t most) const {
  const std::size_t count = std::min(most, history_.size());
  return {history_.end() - static_cast<std::ptrdiff_t>(count), history_.end()};
}

std::string ControlState::Save() const {
  SavedState saved;
  saved.time_s = time_s_;
  saved.history.assign(history_.begin(), history_.end());
  for (const std::string& id : change_order_) {
    saved.changes.push_back({id, changes_.at(id)});
  }
  for (const auto& [key, record] : claims_) {
    saved.claims.push_back({key.first, key.second, record});
  }
  saved.routing = routing_;
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
  history_.assign(saved->history.begin(), saved->history.end());
  for (SavedChange& change : saved->changes) {
    change_order_.push_back(change.id);
    changes_[change.id] = std::move(change.result);
  }
  for (SavedClaim& claim : saved->claims) {
    const ClaimKey key{claim.caller, claim.key};
    by_age_.emplace(claim.record.created_s, key);
    claims_[key] = std::move(claim.record);
  }
}

}  // namespace snipeworks
