#ifndef SNIPEWORKS_PART_ADMISSION_H_
#define SNIPEWORKS_PART_ADMISSION_H_

#include <cstddef>
#include <vector>

#include "snipeworks/clock.h"

namespace snipeworks {

/// A search that asks for admission.
struct PartAdmissionQuery {
  /// The expected time of each part in the queue of this host.
  const std::vector<Duration>& waits;
  std::size_t needed = 1;      ///< Number of parts that an answer needs.
  std::size_t absent = 0;      ///< Number of parts without any target.
  Duration allowed{};          ///< Until the answer is due.
  Duration typical_latency{};  ///< Of an attempt once it is sent.
};

/// Which parts of a search to run.
struct PartAdmission {
  bool admitted = true;
  std::vector<std::size_t> left_out;  ///< Indexes of parts not to be run.
  /// The longest wait of a part that is left out. If the search is not
  /// admitted, the wait after which it can be.
  Duration wait{};

  friend bool operator==(const PartAdmission&, const PartAdmission&) = default;
};

/// Admits a search, as a whole or without some of its parts, or refuses it.
///
/// Load pattern: the targets of one part cannot keep up, since replicas are
/// gone or refuse work, while all other targets have room. If each search that
/// needs the part had to wait for it, or were refused, the one part would
/// decide what the whole fleet serves. An answer may lack parts, so a search
/// leaves out those that cannot come in time, as far as it can spare them, and
/// the queue of the part stays as long as it can be served. If too many parts
/// are late, the load is general and the search is refused.
PartAdmission AdmitParts(const PartAdmissionQuery& query);

}  // namespace snipeworks

#endif  // SNIPEWORKS_PART_ADMISSION_H_
