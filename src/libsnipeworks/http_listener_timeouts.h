#ifndef SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_TIMEOUTS_H_
#define SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_TIMEOUTS_H_

#include <cstdint>

#include "snipeworks/clock.h"
#include "snipeworks/http_listener.h"

namespace snipeworks {

/// What a connection waits for, as far as its time-outs depend on it.
enum class ConnectionPhase : std::uint8_t {
  kIdle,       ///< For a request.
  kHead,       ///< For the rest of a head.
  kBody,       ///< For the rest of a body.
  kRunning,    ///< For the response of the host.
  kSending,    ///< For the client to read a response.
  kLastBytes,  ///< For the client to read the last response.
  kLingering,  ///< For the client to close.
};

enum class TimeoutAction : std::uint8_t {
  kNone,
  kRefuse,  ///< Refuse the request: it was not read to its end.
  kClose,
};

/// Decides on a connection that has been in its phase for `age`, and whose
/// client has moved no byte for `silence`.
TimeoutAction TimeoutActionFor(ConnectionPhase phase,
                               Duration age,
                               Duration silence,
                               const ListenerLimits& limits);

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_TIMEOUTS_H_
