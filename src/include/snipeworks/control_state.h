#ifndef SNIPEWORKS_CONTROL_STATE_H_
#define SNIPEWORKS_CONTROL_STATE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/consensus_node.h"
#include "snipeworks/control_messages.h"
#include "snipeworks/departure.h"
#include "snipeworks/zone_evacuations.h"

namespace snipeworks {

/// How far the creation time of a key may lie ahead of the control hosts'
/// clock.
inline constexpr std::int64_t kMaxKeyClockSkewS = 300;
/// How long a claim may stay open before its state becomes kMayHaveRun.
inline constexpr std::int64_t kMaxClaimOpenS = 60;

/// One claim of an idempotency key.
struct ClaimRecord {
  std::uint64_t body_hash = 0;
  std::string owner;
  std::int64_t created_s = 0;
  std::int64_t open_until_s = 0;
  ClaimState state = ClaimState::kOpen;
  std::int32_t http_status = 0;
  std::string body;

  friend auto operator<=>(const ClaimRecord&, const ClaimRecord&) = default;
};

template <SameStruct<ClaimRecord> S>
auto WireFields(S& v) {
  return std::tie(v.body_hash, v.owner, v.created_s, v.open_until_s, v.state,
                  v.http_status, v.body);
}

/// The replicated state of the control hosts: the fleet settings with their
/// history, the routing document, the claims, the departures of targets and the
/// evacuated zones. The state depends only on the sequence of commands; the
/// time is taken from them too.
class ControlState : public StateMachine {
 public:
  ControlState() = default;

  std::string Apply(const std::string& command) override;
  std::string Save() const override;
  void Load(const std::string& state) override;

  CommandResult Apply(const ControlCommand& command);

  /// Version 0 with empty text until a change has been accepted.
  VersionedSettings settings() const;
  const VersionedRouting& routing() const { return routing_; }
  const std::vector<EvacuatedZone>& evacuated_zones() const {
    return evacuations_.zones();
  }
  /// The claims of callers.
  std::size_t claims() const { return claims_.size() - departures_; }
  std::size_t departures() const { return departures_; }
  /// True if the state has the departure, and still keeps it at `now_s`.
  bool HasDeparture(const Departure& departure, std::int64_t now_s) const;
  /// The departures that were applied or loaded since the last call and are
  /// still kept at `now_s`.
  std::vector<Departure> TakeDepartures(std::int64_t now_s);
  /// The newest changes, at most `max_records`, oldest first.
  std::vector<SettingsRecord> History(std::size_t max_records) const;
  /// The latest time of any command applied so far.
  std::int64_t time_s() const { return time_s_; }

 private:
  using ClaimKey = std::pair<std::string, std::string>;  // Caller and key.

  CommandResult ApplySettings(const ControlCommand& command);
  CommandResult ApplyClaim(const ControlCommand& command);
  CommandResult ApplyOutcome(const ControlCommand& command);
  CommandResult ApplyRouting(const ControlCommand& command);
  CommandResult ApplyEvacuation(const ControlCommand& command);
  void DeleteExpiredClaims();
  void AddClaim(const ClaimKey& key, const ClaimRecord& record);

  std::int64_t time_s_ = 0;
  VersionedRouting routing_;
  ZoneEvacuations evacuations_;
  std::deque<SettingsRecord> history_;
  /// The first results of recent change ids; the ids are ordered by age, oldest
  /// first.
  std::deque<std::string> change_order_;
  std::map<std::string, CommandResult> change_results_;
  std::map<ClaimKey, ClaimRecord> claims_;
  /// Claims by the creation time of their keys, for deleting expired ones.
  std::multimap<std::int64_t, ClaimKey> claims_by_creation_;
  std::size_t departures_ = 0;  ///< Claims that stand for departures.
  std::vector<ClaimKey> new_departures_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_STATE_H_
