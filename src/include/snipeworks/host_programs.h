#ifndef SNIPEWORKS_HOST_PROGRAMS_H_
#define SNIPEWORKS_HOST_PROGRAMS_H_

#include <optional>
#include <string>

#include "snipeworks/protocol_names.h"

namespace snipeworks {

/// Runs a forwarding entry host, with the header names of a deployment, until
/// SIGTERM or SIGINT. `settings` is the settings file to use if the command
/// line names none. Returns the exit code.
int RunForwardProgram(int argc,
                      const char* const* argv,
                      const ForwardNames& names,
                      const std::optional<std::string>& settings);

/// Runs a control host in the same way, with the names of its calls.
int RunControlProgram(int argc,
                      const char* const* argv,
                      const ControlNames& names,
                      const std::optional<std::string>& settings);

}  // namespace snipeworks

#endif  // SNIPEWORKS_HOST_PROGRAMS_H_
