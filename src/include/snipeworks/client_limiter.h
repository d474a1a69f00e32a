#ifndef SNIPEWORKS_CLIENT_LIMITER_H_
#define SNIPEWORKS_CLIENT_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "snipeworks/client_memory_budget.h"
#include "snipeworks/event_loop.h"

namespace snipeworks {

class HostSettings;

/// The limits that `settings` ask for. Without a setting, `default_bytes` of
/// memory and three quarters of the descriptors that the process may open.
ClientLimits ClientLimitsFor(const HostSettings& settings,
                             std::size_t default_bytes);

/// Number of descriptors that the process may open; 0 if it is unlimited.
std::size_t DescriptorLimit();

/// A listener whose clients can be turned away.
class ClientListener {
 public:
  virtual ~ClientListener() = default;
  /// Refuses the request of a client, or disconnects it. Returns false if the
  /// client is not one of this listener.
  virtual bool TurnAway(ClientId client) = 0;
  /// Disconnects a client. Returns false if it is not one of this listener.
  virtual bool Disconnect(ClientId client) = 0;
};

/// Applies the decisions of one ClientMemoryBudget to all listeners of a
/// process, and makes the allocator return memory. All members must be called
/// on the loop's thread.
class ClientLimiter {
 public:
  ClientLimiter(EventLoop& loop, const ClientLimits& limits);

  ClientMemoryBudget& budget() { return budget_; }

  void Add(ClientListener& listener);
  void Remove(ClientListener& listener);

  /// Turns clients away until the others are within the limits.
  void Enforce();
  /// Makes room for another connection. Returns false if it must be refused.
  bool MakeRoom();

  std::uint64_t turned_away() const { return turned_away_; }

 private:
  void CheckResidentMemory();

  ClientMemoryBudget budget_;
  std::vector<ClientListener*> listeners_;
  std::uint64_t turned_away_ = 0;
  LoopTimer timer_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CLIENT_LIMITER_H_
