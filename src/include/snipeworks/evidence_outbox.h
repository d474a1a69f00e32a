#ifndef SNIPEWORKS_EVIDENCE_OUTBOX_H_
#define SNIPEWORKS_EVIDENCE_OUTBOX_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/poison_tracker.h"

namespace snipeworks {

/// Evidence that control hosts have not heard yet from this entry host. Each
/// piece is for several of them, for the case that one is lost before it has
/// told the others.
///
/// Does no I/O and reads no clock.
class EvidenceOutbox {
 public:
  /// Newer evidence against a request takes the place of older.
  void Add(Instant now, const PoisonEvidence& evidence);

  /// What `control` has not heard yet.
  std::vector<PoisonEvidence> PendingFor(Instant now,
                                         const std::string& control);

  /// `control` has heard `told`; each piece is done with once `enough` control
  /// hosts have.
  void OnDelivered(const std::string& control,
                   const std::vector<PoisonEvidence>& told,
                   std::size_t enough);

  bool empty() const { return untold_.empty(); }

 private:
  struct Untold {
    PoisonEvidence evidence;
    Instant since{};
    std::set<std::string> heard_by;
  };

  std::map<Fingerprint, Untold> untold_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_EVIDENCE_OUTBOX_H_
