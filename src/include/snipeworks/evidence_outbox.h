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

/// Evidence of this entry host that is pending delivery to control hosts. Each
/// piece goes to several of them, in case one is lost before it has forwarded
/// the evidence.
///
/// Does no I/O and reads no clock.
class EvidenceOutbox {
 public:
  /// Adds evidence, which replaces older evidence about the same request.
  void Add(Instant now, const PoisonEvidence& evidence);

  /// The evidence that `control` has not received yet.
  std::vector<PoisonEvidence> PendingFor(Instant now,
                                         const std::string& control);

  /// Records that `control` has received `delivered`. A piece is removed once
  /// `required_hosts` control hosts have received it.
  void OnDelivered(const std::string& control,
                   const std::vector<PoisonEvidence>& delivered,
                   std::size_t required_hosts);

  bool empty() const { return pending_.empty(); }

 private:
  struct Pending {
    PoisonEvidence evidence;
    Instant added_at{};
    std::set<std::string> received_by;
  };

  std::map<Fingerprint, Pending> pending_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_EVIDENCE_OUTBOX_H_
