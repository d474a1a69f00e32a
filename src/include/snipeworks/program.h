#ifndef SNIPEWORKS_PROGRAM_H_
#define SNIPEWORKS_PROGRAM_H_

#include <string>

#include <cxxopts.hpp>

#include "snipeworks/error.h"

namespace snipeworks {

/// Exit codes of all programs, for use in scripts.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;       ///< The task failed.
inline constexpr int kExitUsage = 2;        ///< Wrong options or settings.
inline constexpr int kExitConflict = 3;     ///< Another change was made first.
inline constexpr int kExitUnavailable = 4;  ///< No host could answer.

/// The version that --version prints.
const char* VersionText();

/// The options common to all programs: --help, --version and --log-level.
cxxopts::Options ProgramOptions(const std::string& name,
                                const std::string& brief);

/// The result of ReadOptions: parsed options, or the code to exit with.
struct ParsedOptions {
  cxxopts::ParseResult result;
  bool exit = false;
  int exit_code = kExitOk;
};

/// Parses the command line, handles --help and --version, ignores SIGPIPE and
/// SIGXFSZ, and initializes logging.
ParsedOptions ReadOptions(cxxopts::Options& options,
                          int argc,
                          const char* const* argv);

/// The contents of a file. Fails with kBadRequest if it cannot be read.
Result<std::string> ReadFile(const std::string& path);

/// Prints "NAME: reason" to standard error and returns kExitUsage.
int UsageError(const std::string& name, const std::string& reason);

}  // namespace snipeworks

#endif  // SNIPEWORKS_PROGRAM_H_
