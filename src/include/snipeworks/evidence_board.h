#ifndef SNIPEWORKS_EVIDENCE_BOARD_H_
#define SNIPEWORKS_EVIDENCE_BOARD_H_

#include <cstdint>
#include <map>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/poison_tracker.h"

namespace snipeworks {

/// What hosts have told a control host of requests that break targets, for it
/// to tell all others.
///
/// Does no I/O and reads no clock.
class EvidenceStore {
 public:
  /// Takes what a host tells. Returns true if the others have to hear of it.
  bool Add(Instant now, const PoisonEvidence& evidence);

  /// Rises with everything that the others have to hear of.
  std::uint64_t serial() const { return serial_; }

  /// What is so of the requests whose evidence changed after `serial`; no
  /// targets if a request was cleared. With 0, all that counts against any.
  std::vector<PoisonEvidence> ChangesSince(Instant now,
                                           std::uint64_t serial) const;

  /// Forgets what has run out.
  void Prune(Instant now);

 private:
  struct Change {
    std::uint64_t serial = 0;
    Instant at{};
  };

  PoisonTracker tracker_;
  std::map<Fingerprint, Change> changes_;
  std::uint64_t serial_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_EVIDENCE_BOARD_H_
