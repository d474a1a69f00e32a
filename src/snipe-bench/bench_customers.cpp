#include <xxhash.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>

#include "bench.h"
#include "snipeworks/compression.h"
#include "snipeworks/control_calls.h"
#include "snipeworks/customer_directory.h"
#include "snipeworks/routing.h"

namespace snipeworks {

namespace {

constexpr std::size_t kKeysPerCustomer = 2;
constexpr std::size_t kLookUps = 100000;
constexpr std::uint64_t kSeed = 17;
constexpr double kMillisecond = 1000.0;

// 32 digits that do not compress.
std::string KeyOf(std::size_t customer, std::size_t key) {
  const std::size_t number = customer * kKeysPerCustomer + key;
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(&number, sizeof number, kSeed);
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digits.data();
}

std::string DocumentOf(std::size_t customers) {
  std::string text =
      R"({"version":1,"routes":[{"host":"a","path_prefix":"/",)"
      R"("timeout_ms":100,"group":"g"}],"groups":[{"name":"g"}],"customers":[)";
  for (std::size_t i = 0; i < customers; ++i) {
    text += (i > 0 ? ",{" : "{");
    text += R"("name":"customer-)" + std::to_string(i) + R"(","keys":[")" +
            KeyOf(i, 0) + R"(",")" + KeyOf(i, 1) +
            R"("],"rank":1,"requests_per_s":2,"burst":4})";
  }
  return text + "]}";
}

// Runs `step` and returns its processor time in milliseconds.
template <typename Step>
double Milliseconds(const Step& step) {
  const double start = CpuMicroseconds();
  step();
  return (CpuMicroseconds() - start) / kMillisecond;
}

}  // namespace

void BenchCustomers(std::size_t customers) {
  const std::string document = DocumentOf(customers);
  Routing parsed;
  const double parse_ms =
      Milliseconds([&] { parsed = *ParseRouting(document, RoutingNames()); });
  std::string message;
  const double encode_ms =
      Milliseconds([&] { message = Compress(Encode(parsed)); });

  // An entry host holds the routing that it received and the directory.
  const std::size_t before = ResidentBytes();
  Routing received;
  const double decode_ms =
      Milliseconds([&] { received = *Decode<Routing>(*Decompress(message)); });
  const std::size_t routing_bytes = ResidentBytes() - before;
  CustomerDirectory directory;
  const double directory_ms = Milliseconds(
      [&] { directory = CustomerDirectory(received.customers, kSeed); });
  const std::size_t all_bytes = ResidentBytes() - before;

  Routing next = parsed;
  next.version = 2;
  std::swap(next.customers.front().keys, next.customers.back().keys);
  std::string change;
  const double diff_ms = Milliseconds(
      [&] { change = Compress(Encode(*DiffRouting(parsed, next))); });
  const double change_ms = Milliseconds([&] {
    received = *ApplyRoutingChange(received,
                                   *Decode<RoutingChange>(*Decompress(change)));
    directory = CustomerDirectory(received.customers, kSeed);
  });

  std::size_t found = 0;
  const double look_up_ms = Milliseconds([&] {
    for (std::size_t i = 0; i < kLookUps; ++i) {
      found += directory.Find(KeyOf(i % customers, 0)) != nullptr ? 1 : 0;
    }
  });
  std::printf(
      "customers=%zu document_bytes=%zu parse_ms=%.1f encode_ms=%.1f "
      "message_bytes=%zu decode_ms=%.1f directory_ms=%.1f routing_bytes=%zu "
      "directory_bytes=%zu diff_ms=%.1f change_bytes=%zu change_ms=%.1f "
      "look_up_us=%.2f found=%zu\n",
      customers, document.size(), parse_ms, encode_ms, message.size(),
      decode_ms, directory_ms, routing_bytes, all_bytes - routing_bytes,
      diff_ms, change.size(), change_ms,
      look_up_ms * kMillisecond / static_cast<double>(kLookUps), found);
}

}  // namespace snipeworks
