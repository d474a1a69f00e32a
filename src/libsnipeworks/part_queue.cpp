#include "snipeworks/part_queue.h"

#include <algorithm>

namespace snipeworks {

void PartQueue::Add(const PartKey& key,
                    RequestClass request_class,
                    WaitingPart waiting) {
  queues_[key][static_cast<std::size_t>(request_class)].push_back(waiting);
  ++size_;
}

void PartQueue::Drain(const PartKey& key,
                      const std::function<Offer(const WaitingPart&)>& offer) {
  auto found = queues_.find(key);
  if (found == queues_.end()) {
    return;
  }
  for (auto& lane : found->second) {
    while (!lane.empty()) {
      const WaitingPart next = lane.front();
      if (offer(next) == Offer::kBusy) {
        return;
      }
      lane.pop_front();
      --size_;
    }
  }
  const bool empty = std::ranges::all_of(
      found->second, [](const auto& lane) { return lane.empty(); });
  if (empty) {
    queues_.erase(found);
  }
}

std::size_t PartQueue::Ahead(const PartKey& key,
                             RequestClass request_class) const {
  auto found = queues_.find(key);
  if (found == queues_.end()) {
    return 0;
  }
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(request_class); ++i) {
    ahead += found->second[i].size();
  }
  return ahead;
}

std::size_t PartQueue::AheadInClass(const PartKey& key,
                                    RequestClass request_class) const {
  auto found = queues_.find(key);
  return found == queues_.end()
             ? 0
             : found->second[static_cast<std::size_t>(request_class)].size();
}

}  // namespace snipeworks
