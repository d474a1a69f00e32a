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

/// One index part of one snapshot of one group.
struct PartKey {
  std::string group;
  SnapshotId snapshot;
  PartNumber part = 0;

  friend auto operator<=>(const PartKey&, const PartKey&) = default;
};

/// One part of one search that waits for a replica with room.
struct WaitingPart {
  RequestId request = 0;
  std::size_t part_index = 0;
  AttemptKind kind = AttemptKind::kPrimary;

  friend auto operator<=>(const WaitingPart&, const WaitingPart&) = default;
};

/// Parts that wait in this host for a slot at a target, urgent ones first.
class PartQueue {
 public:
  /// What became of a part that was offered.
  enum class OfferResult { kDequeued, kBusy };

  void Add(const PartKey& key, RequestClass request_class, WaitingPart waiting);

  /// Offers the parts waiting under `key`, most urgent first, until one finds
  /// every replica busy.
  void Drain(const PartKey& key,
             const std::function<OfferResult(const WaitingPart&)>& offer);

  /// Parts waiting under `key` that go before a new one of `request_class`.
  std::size_t Ahead(const PartKey& key, RequestClass request_class) const;

  /// Of those, the ones of `request_class` itself.
  std::size_t AheadInClass(const PartKey& key,
                           RequestClass request_class) const;

  /// True if nothing waits under `key`.
  bool IsEmpty(const PartKey& key) const {
    return size_ == 0 || !queues_.contains(key);
  }

  /// The keys under which parts wait.
  std::vector<PartKey> Keys() const;

  /// Parts waiting under all keys.
  std::size_t size() const { return size_; }

 private:
  // Parts of one class, the first come first.
  class Lane {
   public:
    void Push(const WaitingPart& waiting) { parts_.push_back(waiting); }
    void Pop();
    const WaitingPart& front() const { return parts_[begin_]; }
    bool empty() const { return begin_ == parts_.size(); }
    std::size_t size() const { return parts_.size() - begin_; }

   private:
    std::vector<WaitingPart> parts_;
    std::size_t begin_ = 0;  ///< Those before it are gone.
  };

  using Lanes = std::array<Lane, kRequestClasses>;

  std::map<PartKey, Lanes> queues_;
  std::size_t size_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_PART_QUEUE_H_
