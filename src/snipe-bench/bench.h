#ifndef SNIPE_BENCH_BENCH_H_
#define SNIPE_BENCH_BENCH_H_

#include <chrono>
#include <cstddef>
#include <string>

namespace snipeworks {

/// The resident set size of the process, after free memory was returned to the
/// operating system.
std::size_t ResidentBytes();

/// The processor time used by the process, user and system, in microseconds.
double CpuMicroseconds();

/// Measures what each of `targets` known targets costs an entry host: memory,
/// processor time to merge a renewal and to compute the digest, and the bytes
/// of a renewal and of an announcement.
void BenchTargets(std::size_t targets);
/// Measures the processor time of a search over `parts` parts in the search
/// controller, without network.
void BenchFanOut(std::size_t parts);
/// Measures memory, processor time and snapshot size of `claims` claims in the
/// control state.
void BenchControlState(std::size_t claims);
/// Measures commits to the log store in batches of `batch` entries.
void BenchStore(const std::string& folder, std::size_t batch);
/// Measures opening a log store that holds `entries` entries.
void BenchRecovery(const std::string& folder, std::size_t entries);
/// Measures memory, message sizes and times to read, send and apply a routing
/// with `customers` customers, and the processor time of one look-up of a key.
void BenchCustomers(std::size_t customers);

}  // namespace snipeworks

#endif  // SNIPE_BENCH_BENCH_H_
