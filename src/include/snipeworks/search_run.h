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

/// Where one part of a search stands.
enum class PartStatus { kHeld, kWaiting, kRunning, kAnswered, kMissing };

/// One part of a running search.
struct PartRun {
  PartStatus status = PartStatus::kHeld;
  MissingReason reason = MissingReason::kLate;
  std::vector<std::string> tried;  ///< Targets that got an attempt.
  std::vector<AttemptId> running;
  bool hedged = false;
  bool started = false;  ///< True once any attempt was made.
  std::uint64_t documents = 0;
  std::vector<Hit> hits;
  std::shared_ptr<const TargetAnswer> answer;
  /// Attempts that may have run or may still run.
  std::int64_t unproved = 0;
  /// An extra attempt was paid for and reached no target: the next one, which
  /// takes its place, is not paid for again.
  bool paid_ahead = false;
};

/// What a running search is doing.
enum class SearchPhase {
  kCanaryQueued,  ///< Another search with its fingerprint runs first.
  kCanary,        ///< One part runs alone.
  kAskingPeers,   ///< The other entry hosts are told of a broken target.
  kFanOut,
};

/// Parts of `parts` that an answer needs under `policy`; at least one.
std::size_t NeededParts(const GroupPolicy& policy, std::size_t parts);

/// Where a part of `snapshot` waits for a target.
PartKey KeyOf(const SearchRequest& request,
              const PinnedSnapshot& snapshot,
              std::size_t part_index);

/// The state of one search from its admission to its answer.
class SearchRun {
 public:
  SearchRun(SearchRequest request,
            GroupPolicy policy,
            Instant started,
            Duration budget,
            Fingerprint fingerprint);

  /// Starts over on `snapshot`; every part is held.
  void Pin(std::shared_ptr<const PinnedSnapshot> snapshot);

  const SearchRequest& request() const { return request_; }
  const GroupPolicy& policy() const { return policy_; }
  const PinnedSnapshot& snapshot() const { return *snapshot_; }
  Fingerprint fingerprint() const { return fingerprint_; }
  Instant started() const { return started_; }
  Instant deadline() const { return deadline_; }
  /// When the answer is wanted: the soft deadline if the group has one.
  Instant AnswerBy() const;
  const std::shared_ptr<const std::string>& query() const { return query_; }

  std::vector<PartRun>& parts() { return parts_; }
  const std::vector<PartRun>& parts() const { return parts_; }
  PartKey KeyOf(std::size_t part_index) const;
  PartNumber NumberOf(std::size_t part_index) const;
  const std::vector<std::string>& ReplicasOf(std::size_t part_index) const;

  /// True if no part is held, waiting or running.
  bool Settled() const;
  std::size_t AnsweredParts() const;
  /// Parts that an answer needs.
  std::size_t NeededParts() const;
  /// True if too many parts are missing for an answer.
  bool OutOfReach() const;
  /// True unless every attempt is proved not to have run.
  bool MayHaveRun() const;
  /// True if any attempt was made for this search.
  bool Started() const;

  /// The answer from the parts that have answered; others count as missing.
  SearchAnswer Answer() const;

  SearchPhase phase = SearchPhase::kFanOut;
  std::size_t canary_part = 0;
  bool replanned = false;
  /// The soft deadline has passed without enough parts.
  bool overdue = false;
  /// The latest failure that a target answered.
  std::shared_ptr<const TargetAnswer> failure;
  /// Targets that ended while they had a part of this search, unless a part
  /// was answered since.
  std::vector<CrashedTarget> lost_targets;
  AttemptCounts attempts;

 private:
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
