#ifndef SNIPEWORKS_SEARCH_RUN_H_
#define SNIPEWORKS_SEARCH_RUN_H_

#include <memory>
#include <string>
#include <vector>

#include "snipeworks/part_queue.h"
#include "snipeworks/poison_tracker.h"
#include "snipeworks/policy.h"
#include "snipeworks/search.h"
#include "snipeworks/snapshot_catalog.h"

namespace snipeworks {

/// State of one part of a search. A pending part is not in the queue.
enum class PartStatus { kPending, kQueued, kRunning, kAnswered, kMissing };

/// One part of a running search.
struct PartRun {
  PartStatus status = PartStatus::kPending;
  MissingReason reason = MissingReason::kLate;
  std::vector<std::string> tried;  ///< Targets that were sent an attempt.
  std::vector<AttemptId> running;
  bool hedged = false;
  bool started = false;  ///< True after the first attempt.
  std::uint64_t documents = 0;
  std::vector<Hit> hits;
  std::shared_ptr<const TargetAnswer> answer;
  /// Attempts that may have run or may be running.
  std::int64_t possibly_run_attempts = 0;
  /// True if an attempt was charged to the extra-attempt budget and was not
  /// sent. The next attempt replaces it and is not charged again.
  bool budget_reserved = false;
};

/// Phase of a running search.
enum class SearchPhase {
  kCanaryQueued,  ///< Waits for another search's canary.
  kCanary,        ///< One part runs alone.
  kAskingPeers,   ///< Reports a crashed target to the other hosts.
  kFanOut,
};

/// How many of `parts` parts an answer needs under `policy`; at least one.
std::size_t NeededParts(const GroupPolicy& policy, std::size_t parts);

/// The queue key of a part of `snapshot`.
PartKey PartKeyOf(const SearchRequest& request,
                  const PinnedSnapshot& snapshot,
                  std::size_t part_index);

/// The state of one search between admission and answer.
class SearchRun {
 public:
  SearchRun(SearchRequest request,
            GroupPolicy policy,
            Instant started,
            Duration budget,
            Fingerprint fingerprint);

  /// Pins the search to `snapshot` and resets every part to pending.
  void Pin(std::shared_ptr<const PinnedSnapshot> snapshot);

  const SearchRequest& request() const { return request_; }
  /// The request turns out to be one that may run at most once.
  void ForbidRepeats() { request_.repeatable = false; }
  const GroupPolicy& policy() const { return policy_; }
  const PinnedSnapshot& snapshot() const { return *snapshot_; }
  Fingerprint fingerprint() const { return fingerprint_; }
  Instant started() const { return started_; }
  Instant deadline() const { return deadline_; }
  /// The time by which the answer is due: the soft deadline if the group has
  /// one, else the deadline.
  Instant AnswerBy() const;
  const std::shared_ptr<const std::string>& query() const { return query_; }

  std::vector<PartRun>& parts() { return parts_; }
  const std::vector<PartRun>& parts() const { return parts_; }
  PartKey PartKeyOf(std::size_t part_index) const;
  PartNumber PartNumberOf(std::size_t part_index) const;
  const std::vector<std::string>& ReplicasOf(std::size_t part_index) const;

  /// True if every part is answered or missing.
  bool Settled() const;
  std::size_t AnsweredParts() const;
  /// Number of parts that an answer needs.
  std::size_t NeededParts() const;
  /// True if an answer needs fewer parts than are not missing.
  bool CanSpareAPart() const;
  /// True if too many parts are missing to reach the required coverage.
  bool CoverageUnreachable() const;
  /// True unless every attempt provably was not run.
  bool MayHaveRun() const;
  /// The most attempts of one part that may have run.
  std::int64_t MostAttempts() const;
  /// True if any attempt was sent for this search.
  bool Started() const;

  /// Merges the answered parts; all other parts count as missing.
  SearchAnswer Answer() const;

  SearchPhase phase = SearchPhase::kFanOut;
  std::size_t canary_part = 0;
  bool repinned = false;
  /// True once the soft deadline has passed.
  bool overdue = false;
  /// The latest error answer of a target.
  std::shared_ptr<const TargetAnswer> failure;
  /// Targets whose connection was lost while they ran a part of this search.
  /// Cleared when a part is answered.
  std::vector<CrashedTarget> lost_targets;
  AttemptCounts attempts;

 private:
  std::size_t PartsNotMissing() const;

  SearchRequest request_;
  GroupPolicy policy_;
  Instant started_;
  Instant deadline_;
  Fingerprint fingerprint_;
  std::shared_ptr<const std::string> query_;
  std::shared_ptr<const PinnedSnapshot> snapshot_;
  std::vector<PartRun> parts_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_SEARCH_RUN_H_
