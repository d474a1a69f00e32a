#ifndef SNIPEWORKS_CONTROL_MESSAGES_H_
#define SNIPEWORKS_CONTROL_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "snipeworks/consensus_types.h"
#include "snipeworks/entry_messages.h"
#include "snipeworks/wire.h"
#include "snipeworks/zone_evacuations.h"

namespace snipeworks {

/// Paths of the calls that control hosts serve.
inline constexpr char kControlSettingsPath[] = "/control/settings";
inline constexpr char kControlProposePath[] = "/control/propose";
inline constexpr char kControlConsensusPath[] = "/control/consensus";
inline constexpr char kControlStatusPath[] = "/control/status";
inline constexpr char kControlMembersPath[] = "/control/members";
inline constexpr char kControlHistoryPath[] = "/control/history";

/// How long claims are kept, in seconds, after the creation of their keys. An
/// older key is refused.
inline constexpr std::int64_t kClaimRetentionS = std::int64_t{24} * 3600;

/// The kind of a command.
enum class CommandKind : std::uint8_t {
  kSettings,
  kClaim,
  kOutcome,
  kRouting,
  kEvacuate,  ///< The targets of a zone get no new work.
  kReadmit,   ///< They get work again.
};

/// The state of a claim.
enum class ClaimState : std::uint8_t {
  kOpen,        ///< The owner may be running the action.
  kDone,        ///< The action ran; its outcome is stored.
  kNotRun,      ///< The owner proved that the action did not run.
  kMayHaveRun,  ///< The action may have run; it is not run again.
};

/// The status of a command's result.
enum class CommandStatus : std::uint8_t {
  kAccepted,
  kConflict,    ///< Settings: the base version is not the current one.
                ///< Evacuation: too many zones are evacuated.
  kInvalid,     ///< Settings that cannot be parsed, or an unknown command.
  kGranted,     ///< Claim: only this owner may run the action.
  kInProgress,  ///< Claim: another owner holds it.
  kDone,        ///< Claim: the action ran; the outcome is attached.
  kMayHaveRun,  ///< Claim: the action may have run.
  kKeyReused,   ///< Claim: the key was used with another body.
  kKeyExpired,  ///< Claim: the key's creation time is out of range.
  kUnknown,     ///< Outcome: there is no such claim.
  kUnchanged,   ///< Routing: the version is not above the current one.
                ///< Evacuation: the zone is in that state already.
  kOvertaken,   ///< Evacuation: a newer order contradicts this one. Never in
                ///< the log.
};

}  // namespace snipeworks

MSGPACK_ADD_ENUM(snipeworks::CommandKind)
MSGPACK_ADD_ENUM(snipeworks::ClaimState)
MSGPACK_ADD_ENUM(snipeworks::CommandStatus)

namespace snipeworks {

/// A command to the control state. Fields that its kind does not use are empty.
struct ControlCommand {
  CommandKind kind = CommandKind::kSettings;
  std::int64_t time_s = 0;  ///< Set by the leader.
  // kSettings; change_id and base_version also for kEvacuate and kReadmit
  std::string change_id;
  /// The settings that the change was made against. For an order about a zone
  /// the log index up to which its host had applied the log while the caller
  /// waited; 0 from hosts of earlier versions, which do not tell.
  std::uint64_t base_version = 0;
  std::string author;
  std::string text;
  // kRouting
  std::uint64_t routing_version = 0;
  std::string document;  ///< The operator's document, compressed.
  // kClaim and kOutcome
  std::string caller;
  std::string key;
  std::uint64_t body_hash = 0;
  std::string owner;  ///< Unique to one attempt of one entry host.
  std::int64_t created_s = 0;
  ClaimState outcome = ClaimState::kOpen;
  std::int32_t http_status = 0;
  std::string body;
  // kEvacuate and kReadmit
  std::string zone;

  friend auto operator<=>(const ControlCommand&,
                          const ControlCommand&) = default;
};

template <SameStruct<ControlCommand> S>
auto WireFields(S& v) {
  return std::tie(v.kind, v.time_s, v.change_id, v.base_version, v.author,
                  v.text, v.routing_version, v.document, v.caller, v.key,
                  v.body_hash, v.owner, v.created_s, v.outcome, v.http_status,
                  v.body, v.zone);
}

template <>
inline constexpr std::size_t kOptionalWireFields<ControlCommand> = 1;

/// The result of a command, identical on every host.
struct CommandResult {
  CommandStatus status = CommandStatus::kUnknown;
  std::uint64_t version = 0;  ///< Settings and routing: the current version.
  std::string detail;
  std::int32_t http_status = 0;  ///< With kDone.
  std::string body;              ///< With kDone.

  friend auto operator<=>(const CommandResult&, const CommandResult&) = default;
};

template <SameStruct<CommandResult> S>
auto WireFields(S& v) {
  return std::tie(v.status, v.version, v.detail, v.http_status, v.body);
}

/// The answer to a proposal: the command's result, or the host to try next.
struct ProposeReply {
  bool decided = false;  ///< True if `result` is valid; else retry.
  CommandResult result;
  std::string leader;  ///< The presumed leader, or empty.
};

template <SameStruct<ProposeReply> S>
auto WireFields(S& v) {
  return std::tie(v.decided, v.result, v.leader);
}

/// The status report of a control host.
struct ControlStatus {
  std::string host;
  std::string role;
  std::string leader;
  std::uint64_t term = 0;
  std::uint64_t commit = 0;
  std::uint64_t last = 0;
  std::uint64_t first = 0;
  bool current = false;  ///< False if its state may be outdated.
  bool failed = false;
  std::uint64_t settings_version = 0;
  std::uint64_t claims = 0;
  std::vector<Member> members;
  bool members_committed = false;
  std::vector<SettingsQuery>
      in_force;  ///< Settings versions that entry hosts reported.
  std::vector<EvacuatedZone> evacuated_zones;
};

template <SameStruct<ControlStatus> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.role, v.leader, v.term, v.commit, v.last, v.first,
                  v.current, v.failed, v.settings_version, v.claims, v.members,
                  v.members_committed, v.in_force, v.evacuated_zones);
}

template <>
inline constexpr std::size_t kOptionalWireFields<ControlStatus> = 1;

/// Asks the leader to add a member without a vote, or to remove a member.
struct MembersRequest {
  bool add = false;
  std::string host;
  std::string address;
};

template <SameStruct<MembersRequest> S>
auto WireFields(S& v) {
  return std::tie(v.add, v.host, v.address);
}

/// The newest accepted version of the routing document.
struct VersionedRouting {
  std::uint64_t version = 0;  ///< 0 until a document has been accepted.
  std::string document;       ///< The operator's document, compressed.

  friend auto operator<=>(const VersionedRouting&,
                          const VersionedRouting&) = default;
};

template <SameStruct<VersionedRouting> S>
auto WireFields(S& v) {
  return std::tie(v.version, v.document);
}

/// One accepted change of the settings.
struct SettingsRecord {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
  std::int64_t time_s = 0;
  std::string text;

  friend auto operator<=>(const SettingsRecord&,
                          const SettingsRecord&) = default;
};

template <SameStruct<SettingsRecord> S>
auto WireFields(S& v) {
  return std::tie(v.version, v.change_id, v.author, v.time_s, v.text);
}

/// The newest accepted changes, oldest first.
struct SettingsHistory {
  bool current = false;  ///< False if the host's state may be outdated.
  std::vector<SettingsRecord> records;
};

template <SameStruct<SettingsHistory> S>
auto WireFields(S& v) {
  return std::tie(v.current, v.records);
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_MESSAGES_H_
