#ifndef SNIPEWORKS_HOST_PROGRAMS_H_
#define SNIPEWORKS_HOST_PROGRAMS_H_

#include <optional>
#include <string>

#include "snipeworks/edge_names.h"

namespace snipeworks {

/// Runs an entry host that forwards requests, under the names of a deployment,
/// until it is told to stop. `settings` is the settings file if the command
/// line names none. Returns the exit code.
int RunForwardProgram(int argc,
                      const char* const* argv,
                      const ForwardNames& names,
                      const std::optional<std::string>& settings);

/// The same for a control host.
int RunControlProgram(int argc,
                      const char* const* argv,
                      const ControlNames& names,
                      const std::optional<std::string>& settings);

}  // namespace snipeworks

#endif  // SNIPEWORKS_HOST_PROGRAMS_H_
