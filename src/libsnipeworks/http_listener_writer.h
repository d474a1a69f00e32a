#ifndef SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_WRITER_H_
#define SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_WRITER_H_

#include <cstddef>
#include <string>

#include "http_listener_state.h"

namespace snipeworks {

/// Called when `bytes` that were queued have been taken by the socket, or the
/// connection has failed; not for a connection that is being closed.
using WrittenCallback = void (*)(ListenerConnection& connection,
                                 std::size_t bytes,
                                 bool failed);

/// Sends `bytes`; what the socket does not take at once is queued and held.
/// Returns false if the connection has failed.
bool WriteOrQueue(ListenerConnection& connection,
                  std::string bytes,
                  WrittenCallback on_written);

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_HTTP_LISTENER_WRITER_H_
