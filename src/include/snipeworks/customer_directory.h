#ifndef SNIPEWORKS_CUSTOMER_DIRECTORY_H_
#define SNIPEWORKS_CUSTOMER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "snipeworks/routing.h"

namespace snipeworks {

/// Finds customers by their keys. Holds hashes of the keys, not the keys.
class CustomerDirectory {
 public:
  /// Without customers.
  CustomerDirectory() = default;
  /// `seed` must be random for each process: it keeps callers from choosing
  /// keys that share a bucket, and the time of a look-up from telling anything
  /// about the keys.
  CustomerDirectory(const std::vector<Customer>& customers, std::uint64_t seed);

  /// True if the routing has no customers, so that no request needs a key.
  bool empty() const { return customers_.empty(); }

  /// The customer with `key`, or null. Valid as long as the directory.
  const Customer* Find(std::string_view key) const;

  /// All customers, without their keys.
  const std::vector<Customer>& customers() const { return customers_; }

 private:
  struct KeyHash {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend bool operator==(const KeyHash&, const KeyHash&) = default;
  };
  struct LowBits {
    std::size_t operator()(const KeyHash& hash) const { return hash.low; }
  };

  KeyHash HashOf(std::string_view key) const;

  std::uint64_t seed_ = 0;
  std::vector<Customer> customers_;
  /// Positions in customers_.
  std::unordered_map<KeyHash, std::uint32_t, LowBits> owners_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CUSTOMER_DIRECTORY_H_
