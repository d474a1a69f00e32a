#include "snipeworks/part_queue.h"

#include <algorithm>
#include <cstddef>

namespace snipeworks {

void PartQueue::LevelQueue::Pop() {
  ++begin_;
  if (begin_ * 2 > parts_.size()) {
    parts_.erase(parts_.begin(),
                 parts_.begin() + static_cast<std::ptrdiff_t>(begin_));
    begin_ = 0;
  }
}

void PartQueue::Add(const PartKey& key,
                    const Priority& priority,
                    WaitingPart waiting) {
  queues_[key][priority.Level()].Push(waiting);
  ++size_;
}

void PartQueue::Drain(
    const PartKey& key,
    const std::function<OfferResult(const WaitingPart&)>& offer) {
  auto found = queues_.find(key);
  if (found == queues_.end()) {
    return;
  }
  for (auto& queue : found->second) {
    while (!queue.empty()) {
      const WaitingPart next = queue.front();
      if (offer(next) == OfferResult::kBusy) {
        return;
      }
      queue.Pop();
      --size_;
    }
  }
  const bool empty = std::ranges::all_of(
      found->second, [](const auto& queue) { return queue.empty(); });
  if (empty) {
    queues_.erase(found);
  }
}

std::vector<PartKey> PartQueue::Keys() const {
  std::vector<PartKey> keys;
  keys.reserve(queues_.size());
  for (const auto& [key, level_queues] : queues_) {
    keys.push_back(key);
  }
  return keys;
}

std::size_t PartQueue::CountAhead(const PartKey& key,
                                  const Priority& priority) const {
  auto found = queues_.find(key);
  if (found == queues_.end()) {
    return 0;
  }
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= priority.Level(); ++i) {
    ahead += found->second[i].size();
  }
  return ahead;
}

std::size_t PartQueue::CountAheadAtPriority(const PartKey& key,
                                            const Priority& priority) const {
  auto found = queues_.find(key);
  return found == queues_.end() ? 0 : found->second[priority.Level()].size();
}

}  // namespace snipeworks
