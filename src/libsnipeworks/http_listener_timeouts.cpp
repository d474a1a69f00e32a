#include "http_listener_timeouts.h"

namespace snipeworks {

namespace {

// Time for a caller to read the last response before the connection is closed,
// which resets it if unread bytes remain.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(1000);

}  // namespace

TimeoutAction TimeoutActionFor(ConnectionPhase phase,
                               Duration age,
                               Duration silence,
                               const ListenerLimits& limits) {
  const bool stalled = silence > limits.stall_timeout;
  switch (phase) {
    case ConnectionPhase::kIdle:
      return age > limits.idle_timeout ? TimeoutAction::kClose
                                       : TimeoutAction::kNone;
    case ConnectionPhase::kHead:
      return age > limits.header_timeout ? TimeoutAction::kRefuse
                                         : TimeoutAction::kNone;
    case ConnectionPhase::kBody:
      return stalled || age > limits.request_timeout ? TimeoutAction::kRefuse
                                                     : TimeoutAction::kNone;
    case ConnectionPhase::kRunning:
      return TimeoutAction::kNone;
    case ConnectionPhase::kSending:
    case ConnectionPhase::kLastBytes:
      return stalled || age > limits.request_timeout ? TimeoutAction::kClose
                                                     : TimeoutAction::kNone;
    case ConnectionPhase::kLingering:
      return age > kLingerTimeout ? TimeoutAction::kClose
                                  : TimeoutAction::kNone;
  }
  return TimeoutAction::kNone;
}

}  // namespace snipeworks
