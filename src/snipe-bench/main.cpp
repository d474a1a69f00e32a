// snipe-bench: measures the costs from which docs/CAPACITY.md is derived.

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>

#include "bench.h"
#include "snipeworks/program.h"

namespace snipeworks {
namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options = ProgramOptions(
      "snipe-bench", "Measures costs per target, attempt, claim and commit.");
  ParsedOptions parsed = ReadOptions(options, argc, argv);
  if (parsed.exit) {
    return parsed.exit_code;
  }
  std::string directory =
      (std::filesystem::temp_directory_path() / "snipe-bench-XXXXXX").string();
  if (mkdtemp(directory.data()) == nullptr) {
    return UsageError("snipe-bench", "cannot create a temporary directory");
  }
  for (std::size_t targets : {100, 1000, 5000}) {
    BenchTargets(targets);
  }
  for (std::size_t parts : {10, 100, 1400}) {
    BenchFanOut(parts);
  }
  for (std::size_t claims : {1000, 10000, 100000}) {
    BenchControlState(claims);
  }
  for (std::size_t batch : {1, 16, 256}) {
    BenchStore(directory, batch);
  }
  for (std::size_t entries : {500, 50000}) {
    BenchRecovery(directory, entries);
  }
  for (std::size_t customers : {100, 10000}) {
    BenchCustomers(customers);
  }
  std::filesystem::remove_all(directory);
  return kExitOk;
}

}  // namespace
}  // namespace snipeworks

int main(int argc, char** argv) {
  return snipeworks::Main(argc, argv);
}
