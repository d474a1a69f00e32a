#ifndef SNIPEWORKS_POISON_TRACKER_H_
#define SNIPEWORKS_POISON_TRACKER_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/snapshot.h"

namespace snipeworks {

/// Identifies equal requests: same group and same query.
using Fingerprint = std::uint64_t;

/// The fingerprint of `query` sent to `group`.
Fingerprint FingerprintOf(std::string_view group, std::string_view query);

/// An incarnation of a target that ended while it was running a request.
struct CrashedTarget {
  std::string target;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const CrashedTarget&, const CrashedTarget&) = default;
};

/// Evidence that an entry host shares about a request that crashes targets.
struct PoisonEvidence {
  Fingerprint fingerprint = 0;
  std::string host;  ///< The entry host that reports.
  /// Crashed while running the request; empty if the request is cleared.
  std::vector<CrashedTarget> targets;
  Duration testing{};     ///< The reporter reruns it within this time.
  Duration quarantine{};  ///< Time left; zero if not quarantined.

  friend auto operator<=>(const PoisonEvidence&,
                          const PoisonEvidence&) = default;
};

/// Tracks which requests have survived and which have crashed targets.
///
/// Two crashed targets put a request in quarantine, unless each of them also
/// counts against another request: then one of the two is not the cause,
/// and which one shows when either crashes another target or survives alone.
///
/// Callers must count at most one target for parts that ran concurrently, so
/// that targets that crash together do not quarantine what they were running.
class PoisonTracker {
 public:
  enum class Verdict {
    kUnknown,          ///< No recent record.
    kSafe,             ///< Survived on this snapshot.
    kSuspected,        ///< A target crashed while running it.
    kTestedElsewhere,  ///< Suspected, and another host is running it.
    kQuarantined,      ///< Crashed two targets.
  };

  Verdict VerdictOf(Instant now,
                    Fingerprint fingerprint,
                    const SnapshotId& snapshot);

  /// The time for which the request is still refused; zero if it is not.
  Duration RefusedFor(Instant now, Fingerprint fingerprint) const;

  /// Records that a target has answered the request on `snapshot`.
  void OnSurvived(Instant now,
                  Fingerprint fingerprint,
                  const SnapshotId& snapshot);

  /// Records that `target` crashed while running the request. Returns the
  /// number of targets that did; two or more put the request in quarantine.
  std::size_t OnCrash(Instant now,
                      Fingerprint fingerprint,
                      const CrashedTarget& target,
                      Duration quarantine);

  /// Merges the evidence of another host. Returns true if that puts the request
  /// in quarantine.
  bool Merge(Instant now, const PoisonEvidence& evidence, Duration quarantine);

  /// The evidence about `fingerprint` to share with other hosts.
  PoisonEvidence EvidenceOf(Instant now,
                            Fingerprint fingerprint,
                            const std::string& host) const;

  /// The evidence about every suspected or quarantined request.
  std::vector<PoisonEvidence> All(Instant now, const std::string& host) const;

  /// The requests in quarantine.
  std::vector<Fingerprint> Quarantined(Instant now) const;

  /// Clears a request. Returns false if nothing counted against it.
  bool Release(Fingerprint fingerprint);

  /// Removes expired records.
  void Prune(Instant now);

 private:
  struct Suspect {
    std::set<CrashedTarget> crashed;
    Instant quarantined_until{};
    Instant tested_elsewhere_until{};
    Instant expires_at{};
  };
  struct Survivor {
    SnapshotId snapshot;
    Instant expires_at{};
  };

  using Suspects = std::map<Fingerprint, Suspect>;

  /// The record of a suspect; a new one if there is none or it has expired,
  /// null if there are too many.
  Suspect* FindOrAddSuspect(Instant now, Fingerprint fingerprint);
  void AddCrash(Fingerprint fingerprint,
                Suspect& suspect,
                const CrashedTarget& target);
  Suspects::iterator Remove(Suspects::iterator suspect);
  bool IsQuarantined(Instant now, const Suspect& suspect) const;

  Suspects suspects_;
  /// The requests that each target counts against.
  std::map<CrashedTarget, std::set<Fingerprint>> suspects_of_;
  std::map<Fingerprint, Survivor> survivors_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_POISON_TRACKER_H_
