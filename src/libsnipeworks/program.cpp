#include "snipeworks/program.h"

#include <malloc.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <glog/logging.h>

namespace snipeworks {

namespace {

constexpr int kMmapThresholdBytes = 128 * 1024;

}  // namespace

const char* VersionText() {
  return "snipeworks 0.1.0";
}

cxxopts::Options ProgramOptions(const std::string& name,
                                const std::string& brief) {
  cxxopts::Options options(name, brief);
  options.add_options()("h,help", "Show this help and exit")(
      "version", "Show the version and exit")(
      "log-level", "0 info, 1 warning, 2 error",
      cxxopts::value<int>()->default_value("0"));
  return options;
}

ParsedOptions ReadOptions(cxxopts::Options& options,
                          int argc,
                          const char* const* argv) {
  ParsedOptions parsed;
  try {
    parsed.result = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    parsed.exit = true;
    parsed.exit_code = UsageError(options.program(), error.what());
    return parsed;
  }
  if (parsed.result.count("help") > 0) {
    std::cout << options.help();
    parsed.exit = true;
    return parsed;
  }
  if (parsed.result.count("version") > 0) {
    std::cout << VersionText() << "\n";
    parsed.exit = true;
    return parsed;
  }
  // A write to a closed connection must fail and not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  // A write above the file size limit must fail, as on a full disk, and not end
  // the process.
  std::signal(SIGXFSZ, SIG_IGN);
  // Large buffers return to the system as soon as they are freed. By default
  // the threshold grows with their size, and the memory stays with the process.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = parsed.result["log-level"].as<int>();
  google::InitGoogleLogging(argv[0]);
  return parsed;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorKind::kBadRequest, path + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int UsageError(const std::string& name, const std::string& reason) {
  std::cerr << name << ": " << reason << "\n";
  return kExitUsage;
}

}  // namespace snipeworks
