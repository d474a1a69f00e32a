#ifndef SNIPEWORKS_EVIDENCE_STORE_H_
#define SNIPEWORKS_EVIDENCE_STORE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/poison_tracker.h"

namespace snipeworks {

/// Evidence about requests that crash targets, which a control host collects
/// from hosts and distributes to all others.
///
/// Does no I/O and reads no clock.
class EvidenceStore {
 public:
  /// Merges the evidence of a host. Returns true if that is a change to
  /// distribute.
  bool Add(Instant now, const PoisonEvidence& evidence);

  /// Increases with every change to distribute.
  std::uint64_t serial() const { return serial_; }

  /// The current evidence about requests that changed after `serial`, without
  /// targets for those that were cleared. With 0, all evidence.
  std::vector<PoisonEvidence> ChangesSince(Instant now,
                                           std::uint64_t serial) const;

  /// Removes expired records.
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

#endif  // SNIPEWORKS_EVIDENCE_STORE_H_
