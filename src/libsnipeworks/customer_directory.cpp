#include "snipeworks/customer_directory.h"

#include <xxhash.h>

namespace snipeworks {

CustomerDirectory::CustomerDirectory(const std::vector<Customer>& customers,
                                     std::uint64_t seed)
    : seed_(seed) {
  customers_.reserve(customers.size());
  std::size_t keys = 0;
  for (const Customer& customer : customers) {
    keys += customer.keys.size();
  }
  owners_.reserve(keys);
  for (const Customer& customer : customers) {
    const auto position = static_cast<std::uint32_t>(customers_.size());
    for (const std::string& key : customer.keys) {
      owners_.emplace(HashOf(key), position);
    }
    customers_.push_back({customer.name,
                          {},
                          customer.rank,
                          customer.requests_per_second,
                          customer.burst});
  }
}

const Customer* CustomerDirectory::Find(std::string_view key) const {
  const auto found = owners_.find(HashOf(key));
  return found == owners_.end() ? nullptr : &customers_[found->second];
}

CustomerDirectory::KeyHash CustomerDirectory::HashOf(
    std::string_view key) const {
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(key.data(), key.size(), seed_);
  return {hash.high64, hash.low64};
}

}  // namespace snipeworks
