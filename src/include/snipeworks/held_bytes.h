#ifndef SNIPEWORKS_HELD_BYTES_H_
#define SNIPEWORKS_HELD_BYTES_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace snipeworks {

/// Bytes that count towards a total for as long as a copy of this exists.
class HeldBytes {
 public:
  HeldBytes() = default;

  /// Takes over `bytes`, which `total` contains already.
  HeldBytes(const std::shared_ptr<std::size_t>& total, std::size_t bytes)
      : hold_(total.get(), [total, bytes](void*) { *total -= bytes; }) {}

 private:
  std::shared_ptr<void> hold_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HELD_BYTES_H_
