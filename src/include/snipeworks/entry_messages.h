#ifndef SNIPEWORKS_ENTRY_MESSAGES_H_
#define SNIPEWORKS_ENTRY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "snipeworks/announcement.h"
#include "snipeworks/poison_tracker.h"
#include "snipeworks/wire.h"

MSGPACK_ADD_ENUM(snipeworks::TargetState)

namespace snipeworks {

/// Paths of calls between entry hosts.
inline constexpr char kChangesPath[] = "/entry/changes";
inline constexpr char kRenewalsPath[] = "/entry/renewals";
inline constexpr char kStalePath[] = "/entry/stale";
inline constexpr char kViewPath[] = "/entry/view";
inline constexpr char kEvidencePath[] = "/entry/evidence";
inline constexpr char kSettingsPath[] = "/entry/settings";

template <SameStruct<SnapshotId> S>
auto WireFields(S& v) {
  return std::tie(v.number, v.digest);
}

template <SameStruct<ManifestPart> S>
auto WireFields(S& v) {
  return std::tie(v.part, v.documents);
}

template <SameStruct<Manifest> S>
auto WireFields(S& v) {
  return std::tie(v.id, v.parts);
}

template <SameStruct<HeldSnapshot> S>
auto WireFields(S& v) {
  return std::tie(v.manifest, v.parts);
}

template <SameStruct<Announcement> S>
auto WireFields(S& v) {
  return std::tie(v.target, v.incarnation, v.sequence, v.zone, v.address,
                  v.group, v.state, v.slots, v.connections, v.queued, v.cold_ms,
                  v.snapshots);
}

/// An announcement and how long ago the sender heard it.
struct RelayedAnnouncement {
  Announcement announcement;
  std::int64_t age_us = 0;
};

template <SameStruct<RelayedAnnouncement> S>
auto WireFields(S& v) {
  return std::tie(v.announcement, v.age_us);
}

/// Full announcements: changes as they happen, or the whole view on request.
struct AnnouncementBatch {
  std::string host;
  std::vector<RelayedAnnouncement> announcements;
};

template <SameStruct<AnnouncementBatch> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.announcements);
}

/// A later sequence of a target that is otherwise unchanged.
struct Renewal {
  std::string target;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint32_t queued = 0;
  std::uint32_t digest = 0;  ///< See TargetView::DigestOf.
  std::int64_t age_us = 0;
};

template <SameStruct<Renewal> S>
auto WireFields(S& v) {
  return std::tie(v.target, v.incarnation, v.sequence, v.queued, v.digest,
                  v.age_us);
}

/// Renewals that a host has received since its last batch. `view_digest` shows
/// whether sender and receiver know the same targets.
struct RenewalBatch {
  std::string host;
  std::uint64_t view_digest = 0;
  std::uint64_t settings_version = 0;
  std::vector<Renewal> renewals;
  std::string caller_address;  ///< At which the sender serves callers.
};

template <SameStruct<RenewalBatch> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.view_digest, v.settings_version, v.renewals,
                  v.caller_address);
}

/// Targets that the sender has not heard from recently. The answer is a
/// RenewalBatch with those that the receiver knows.
struct StaleQuery {
  std::vector<std::string> targets;
};

template <SameStruct<StaleQuery> S>
auto WireFields(S& v) {
  return std::tie(v.targets);
}

template <SameStruct<CrashedTarget> S>
auto WireFields(S& v) {
  return std::tie(v.target, v.incarnation);
}

/// The wire form of PoisonEvidence.
struct EvidenceMessage {
  std::uint64_t fingerprint = 0;
  std::string host;
  std::vector<CrashedTarget> targets;
  std::int64_t testing_us = 0;
  std::int64_t quarantine_us = 0;

  static EvidenceMessage From(const PoisonEvidence& evidence) {
    return {evidence.fingerprint, evidence.host, evidence.targets,
            evidence.testing.count(), evidence.quarantine.count()};
  }
  PoisonEvidence ToEvidence() const {
    return {fingerprint, host, targets, Duration(testing_us),
            Duration(quarantine_us)};
  }
};

template <SameStruct<EvidenceMessage> S>
auto WireFields(S& v) {
  return std::tie(v.fingerprint, v.host, v.targets, v.testing_us,
                  v.quarantine_us);
}

inline std::vector<EvidenceMessage> ToMessages(
    const std::vector<PoisonEvidence>& evidence) {
  std::vector<EvidenceMessage> messages;
  messages.reserve(evidence.size());
  for (const PoisonEvidence& one : evidence) {
    messages.push_back(EvidenceMessage::From(one));
  }
  return messages;
}

/// Whether the receiver of the evidence is running such a request.
struct EvidenceReply {
  bool running = false;
};

template <SameStruct<EvidenceReply> S>
auto WireFields(S& v) {
  return std::tie(v.running);
}

/// Accepted fleet settings: the text and its version.
struct VersionedSettings {
  std::uint64_t version = 0;
  std::string text;

  friend auto operator<=>(const VersionedSettings&,
                          const VersionedSettings&) = default;
};

template <SameStruct<VersionedSettings> S>
auto WireFields(S& v) {
  return std::tie(v.version, v.text);
}

/// Requests settings later than `version`; the answer is VersionedSettings.
struct SettingsQuery {
  std::string host;
  std::uint64_t version = 0;
};

template <SameStruct<SettingsQuery> S>
auto WireFields(S& v) {
  return std::tie(v.host, v.version);
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_ENTRY_MESSAGES_H_
