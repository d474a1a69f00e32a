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

/// Identifies requests that are alike: same group and same query.
using Fingerprint = std::uint64_t;

/// The fingerprint of `query` sent to `group`.
Fingerprint FingerprintOf(std::string_view group, std::string_view query);

/// A start of a target that ended while it had a request.
struct CrashedTarget {
  std::string target;
  std::uint64_t incarnation = 0;

  friend auto operator<=>(const CrashedTarget&, const CrashedTarget&) = default;
};

/// What one entry host tells the others of a request that breaks targets.
struct PoisonEvidence {
  Fingerprint fingerprint = 0;
  std::string host;  ///< The entry host that tells.
  /// Broke while they had it; none if the request was cleared.
  std::vector<CrashedTarget> targets;
  Duration testing{};     ///< The teller runs it once more within this time.
  Duration quarantine{};  ///< How long it must not be run; zero if not yet.

  friend auto operator<=>(const PoisonEvidence&,
                          const PoisonEvidence&) = default;
};

/// Remembers which requests survived and which broke targets.
///
/// Two targets that broke put a request in quarantine, unless each of them also
/// counts against another request: one of the two has broken neither, and which
/// one is seen when either breaks a target or survives by itself.
///
/// Whoever reports counts one target at most for parts that ran beside each
/// other, so targets that die together condemn none of what they ran.
class PoisonTracker {
 public:
  enum class Verdict {
    kUnknown,          ///< Not seen lately.
    kSafe,             ///< Survived on this snapshot.
    kSuspected,        ///< A target broke that had it.
    kTestedElsewhere,  ///< Suspected, and another entry host is running it.
    kQuarantined,      ///< Broke two targets.
  };

  Verdict VerdictOf(Instant now,
                    Fingerprint fingerprint,
                    const SnapshotId& snapshot);

  /// How long the request will still be refused; zero if it is not.
  Duration RefusedFor(Instant now, Fingerprint fingerprint) const;

  /// A target answered the request on `snapshot`.
  void OnSurvived(Instant now,
                  Fingerprint fingerprint,
                  const SnapshotId& snapshot);

  /// `target` broke under the request. Returns the number of targets that did;
  /// two or more put it in quarantine.
  std::size_t OnCrash(Instant now,
                      Fingerprint fingerprint,
                      const CrashedTarget& target,
                      Duration quarantine);

  /// Takes what another host tells. Returns true if the request is now in
  /// quarantine and was not before.
  bool Merge(Instant now, const PoisonEvidence& evidence, Duration quarantine);

  /// What to tell the others of `fingerprint`.
  PoisonEvidence EvidenceOf(Instant now,
                            Fingerprint fingerprint,
                            const std::string& host) const;

  /// Everything that counts against requests, as EvidenceOf tells it.
  std::vector<PoisonEvidence> All(Instant now, const std::string& host) const;

  /// Requests in quarantine now.
  std::vector<Fingerprint> Quarantined(Instant now) const;

  /// Lets a request run again. Returns false if it was not held.
  bool Release(Fingerprint fingerprint);

  /// Forgets what has run out.
  void Prune(Instant now);

 private:
  struct Suspect {
    std::set<CrashedTarget> crashed;
    Instant quarantined_until{};
    Instant tested_elsewhere_until{};
    Instant forgotten_at{};
  };
  struct Survivor {
    SnapshotId snapshot;
    Instant forgotten_at{};
  };

  using Suspects = std::map<Fingerprint, Suspect>;

  /// The record of a request that targets broke under, a new one if the old one
  /// has run out; null if there are too many.
  Suspect* EnsureSuspect(Instant now, Fingerprint fingerprint);
  void AddCrash(Fingerprint fingerprint,
                Suspect& suspect,
                const CrashedTarget& target);
  Suspects::iterator Forget(Suspects::iterator suspect);
  bool IsQuarantined(Instant now, const Suspect& suspect) const;

  Suspects suspects_;
  /// The requests that each target counts against.
  std::map<CrashedTarget, std::set<Fingerprint>> suspects_of_;
  std::map<Fingerprint, Survivor> survivors_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_POISON_TRACKER_H_
