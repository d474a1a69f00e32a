#ifndef SNIPE_BENCH_BENCH_H_
#define SNIPE_BENCH_BENCH_H_

#include <chrono>
#include <cstddef>
#include <string>

namespace snipeworks {

/// Memory that the process holds, in bytes.
std::size_t ResidentBytes();

/// Processor time that the process has used, in microseconds.
double CpuMicroseconds();

/// Targets that one entry host knows: bytes, merge, digest, snapshot choice.
void BenchTargets(std::size_t targets);
/// One search over `parts` parts, in the decision classes alone.
void BenchFanOut(std::size_t parts);
/// Claims and settings in the control state.
void BenchControlState(std::size_t claims);
/// Commits to the store in batches of `batch`, and reading it back.
void BenchStore(const std::string& folder, std::size_t batch);
/// Reading a store of `entries` entries.
void BenchRecovery(const std::string& folder, std::size_t entries);

}  // namespace snipeworks

#endif  // SNIPE_BENCH_BENCH_H_
