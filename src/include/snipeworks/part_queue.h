#ifndef SNIPEWORKS_PART_QUEUE_H_
#define SNIPEWORKS_PART_QUEUE_H_

#include <array>
#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/attempt.h"
#include "snipeworks/search.h"
#include "snipeworks/snapshot.h"

namespace snipeworks {

/// Identifies an index part of one snapshot of a group.
struct PartKey {
  std::string group;
  SnapshotId snapshot;
  PartNumber part = 0;

  friend auto operator<=>(const PartKey&, const PartKey&) = default;
};

/// A part of a search that waits for a replica with free capacity.
struct WaitingPart {
  RequestId request = 0;
  std::size_t part_index = 0;
  AttemptKind kind = AttemptKind::kPrimary;

  friend auto operator<=>(const WaitingPart&, const WaitingPart&) = default;
};

/// Parts that wait in this host for a slot at a target, in order of priority.
class PartQueue {
 public:
  /// Whether an offered part leaves the queue or finds every replica busy.
  enum class OfferResult { kDequeued, kBusy };

  void Add(const PartKey& key, const Priority& priority, WaitingPart waiting);

  /// Calls `offer` with the parts waiting under `key`, most urgent first, until
  /// one finds every replica busy.
  void Drain(const PartKey& key,
             const std::function<OfferResult(const WaitingPart&)>& offer);

  /// The number of parts under `key` that go before a new one of `priority`.
  std::size_t CountAhead(const PartKey& key, const Priority& priority) const;

  /// The number of those that are of `priority` itself.
  std::size_t CountAheadAtPriority(const PartKey& key,
                                   const Priority& priority) const;

  /// True if no part waits under `key`.
  bool IsEmpty(const PartKey& key) const {
    return size_ == 0 || !queues_.contains(key);
  }

  /// The keys that have waiting parts.
  std::vector<PartKey> Keys() const;

  /// The number of parts waiting under all keys.
  std::size_t size() const { return size_; }

 private:
  // The parts of one priority in FIFO order.
  class LevelQueue {
   public:
    void Push(const WaitingPart& waiting) { parts_.push_back(waiting); }
    void Pop();
    const WaitingPart& front() const { return parts_[begin_]; }
    bool empty() const { return begin_ == parts_.size(); }
    std::size_t size() const { return parts_.size() - begin_; }

   private:
    std::vector<WaitingPart> parts_;
    std::size_t begin_ = 0;  ///< Index of the first part.
  };

  using LevelQueues = std::array<LevelQueue, kPriorityLevels>;

  std::map<PartKey, LevelQueues> queues_;
  std::size_t size_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_PART_QUEUE_H_
