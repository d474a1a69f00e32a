#include "snipeworks/client_limiter.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <optional>

#include <glog/logging.h>

#include "snipeworks/host_settings.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kResidentCheckInterval = milliseconds(500);

// 0 if it cannot be read, as when no descriptor is left.
std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return file ? resident_pages * static_cast<std::size_t>(getpagesize()) : 0;
}

}  // namespace

std::size_t DescriptorLimit() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
                 limit.rlim_cur == RLIM_INFINITY
             ? 0
             : static_cast<std::size_t>(limit.rlim_cur);
}

ClientLimits ClientLimitsFor(const HostSettings& settings,
                             std::size_t default_bytes) {
  // The rest is for targets, other hosts and files.
  const std::size_t most_connections = DescriptorLimit() / 4 * 3;
  ClientLimits limits;
  limits.max_bytes = settings.client_memory_bytes() > 0
                         ? settings.client_memory_bytes()
                         : default_bytes;
  limits.max_connections = most_connections;
  if (settings.client_connections() > 0) {
    limits.max_connections =
        most_connections > 0
            ? std::min(most_connections, settings.client_connections())
            : settings.client_connections();
  }
  return limits;
}

ClientLimiter::ClientLimiter(EventLoop& loop, const ClientLimits& limits)
    : budget_(limits), timer_(loop, [this] { CheckResidentMemory(); }) {
  CheckResidentMemory();
}

void ClientLimiter::Add(ClientListener& listener) {
  listeners_.push_back(&listener);
}

void ClientLimiter::Remove(ClientListener& listener) {
  std::erase(listeners_, &listener);
}

void ClientLimiter::Enforce() {
  while (const auto client = budget_.NextForMemory(MonotonicNow())) {
    LOG_EVERY_T(WARNING, 1)
        << "event=client_turned_away held=" << budget_.held_bytes()
        << " retained=" << budget_.retained_bytes()
        << " connections=" << budget_.connections();
    ++turned_away_;
    if (std::ranges::none_of(listeners_, [&](ClientListener* listener) {
          return listener->TurnAway(*client);
        })) {
      return;
    }
  }
}

bool ClientLimiter::MakeRoom() {
  if (!budget_.IsFull()) {
    return true;
  }
  const auto client = budget_.NextForConnection(MonotonicNow());
  LOG_EVERY_T(WARNING, 1) << "event=connections_limited connections="
                          << budget_.connections()
                          << " held=" << budget_.held_bytes()
                          << " refused=" << (client ? "no" : "yes");
  ++turned_away_;
  return client && std::ranges::any_of(listeners_, [&](ClientListener* each) {
           return each->Disconnect(*client);
         });
}

void ClientLimiter::CheckResidentMemory() {
  const std::size_t resident = ResidentBytes();
  if (resident > 0 && budget_.OnResidentMemory(resident)) {
    malloc_trim(0);
    if (const std::size_t left = ResidentBytes(); left > 0) {
      budget_.OnMemoryReturned(left);
    }
  }
  Enforce();
  timer_.Set(kResidentCheckInterval);
}

}  // namespace snipeworks
