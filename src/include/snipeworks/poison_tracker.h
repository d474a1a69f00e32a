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

/// What one entry host tells the others of a request that breaks targets.
struct PoisonEvidence {
  Fingerprint fingerprint = 0;
  std::string host;  ///< The entry host that tells.
  /// Broke while they ran it alone; none if the request was cleared.
  std::vector<std::string> targets;
  Duration testing{};     ///< The teller runs it once more within this time.
  Duration quarantine{};  ///< How long it must not be run; zero if not yet.

  friend auto operator<=>(const PoisonEvidence&,
                          const PoisonEvidence&) = default;
};

/// Remembers which requests survived and which broke targets.
///
/// Only a target that breaks while it runs a request as that request's single
/// part counts against the request: a target that dies under many requests
/// condemns none of them.
class PoisonTracker {
 public:
  enum class Standing {
    kUnknown,      ///< Not seen lately.
    kGood,         ///< Survived on this snapshot.
    kSuspected,    ///< Broke one target.
    kTested,       ///< Suspected, and another entry host is running it.
    kQuarantined,  ///< Broke two targets.
  };

  Standing StandingOf(Instant now,
                      Fingerprint fingerprint,
                      const SnapshotId& snapshot);

  /// How long the request will still be refused; zero if it is not.
  Duration RefusedFor(Instant now, Fingerprint fingerprint) const;

  /// A target answered the request on `snapshot`.
  void OnSurvived(Instant now,
                  Fingerprint fingerprint,
                  const SnapshotId& snapshot);

  /// `target` broke under the request. Returns the number of distinct targets
  /// that did; two or more put it in quarantine.
  std::size_t OnBroken(Instant now,
                       Fingerprint fingerprint,
                       const std::string& target,
                       Duration quarantine);

  /// Takes what another host tells. Returns true if the request is now in
  /// quarantine and was not before.
  bool Merge(Instant now, const PoisonEvidence& evidence, Duration quarantine);

  /// What to tell the others of `fingerprint`.
  PoisonEvidence EvidenceOf(Instant now,
                            Fingerprint fingerprint,
                            const std::string& host) const;

  /// Requests in quarantine now.
  std::vector<Fingerprint> Quarantined(Instant now) const;

  /// Lets a request run again. Returns false if it was not held.
  bool Release(Fingerprint fingerprint);

  /// Forgets what has run out.
  void Prune(Instant now);

 private:
  struct Suspect {
    std::set<std::string> broken;
    Instant quarantined_until{};
    Instant tested_elsewhere_until{};
    Instant forgotten_at{};
  };
  struct Survivor {
    SnapshotId snapshot;
    Instant forgotten_at{};
  };

  bool Condemn(Instant now, Suspect& suspect, Duration quarantine);

  std::map<Fingerprint, Suspect> suspects_;
  std::map<Fingerprint, Survivor> survivors_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_POISON_TRACKER_H_
