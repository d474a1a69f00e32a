#ifndef SNIPEWORKS_PROGRAM_H_
#define SNIPEWORKS_PROGRAM_H_

#include <string>

#include <cxxopts.hpp>

#include "snipeworks/error.h"

namespace snipeworks {

/// Exit codes of every program, for scripts.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;       ///< The task failed.
inline constexpr int kExitUsage = 2;        ///< Wrong options or settings.
inline constexpr int kExitConflict = 3;     ///< Another change came first.
inline constexpr int kExitUnavailable = 4;  ///< No host could answer.

/// The version that --version prints.
const char* VersionText();

/// Options that every program has: --help, --version and --log-level.
cxxopts::Options ProgramOptions(const std::string& name,
                                const std::string& brief);

/// What ReadOptions came to: a result to go on with, or a code to exit with.
struct ParsedOptions {
  cxxopts::ParseResult result;
  bool exit = false;
  int exit_code = kExitOk;
};

/// Parses the command line, answers --help and --version, and starts the log.
ParsedOptions ReadOptions(cxxopts::Options& options,
                          int argc,
                          const char* const* argv);

/// The whole file. Fails with kBadRequest if it cannot be read.
Result<std::string> ReadFile(const std::string& path);

/// Prints "NAME: reason" to standard error and returns kExitUsage.
int UsageError(const std::string& name, const std::string& reason);

}  // namespace snipeworks

#endif  // SNIPEWORKS_PROGRAM_H_
