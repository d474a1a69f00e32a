#include "snipeworks/compression.h"

#include <zlib.h>

#include <array>
#include <cstdint>
#include <cstring>

namespace snipeworks {

namespace {

using Length = std::uint64_t;

// Larger than any message between hosts.
constexpr Length kMaxUncompressedBytes = Length{64} * 1024 * 1024;
// The fastest level suffices, because messages are mostly repeated names.
constexpr int kCompressionLevel = 1;

}  // namespace

std::string Compress(std::string_view bytes) {
  const Length length = bytes.size();
  uLongf size = compressBound(bytes.size());
  std::string out(sizeof(length) + size, '\0');
  std::memcpy(out.data(), &length, sizeof(length));
  compress2(reinterpret_cast<Bytef*>(out.data() + sizeof(length)), &size,
            reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(),
            kCompressionLevel);
  out.resize(sizeof(length) + size);
  return out;
}

std::optional<std::string> Decompress(std::string_view bytes) {
  Length length = 0;
  if (bytes.size() < sizeof(length)) {
    return std::nullopt;
  }
  std::memcpy(&length, bytes.data(), sizeof(length));
  if (length > kMaxUncompressedBytes) {
    return std::nullopt;
  }
  bytes.remove_prefix(sizeof(length));
  std::string out(length, '\0');
  uLongf size = length;
  const int result =
      uncompress(reinterpret_cast<Bytef*>(out.data()), &size,
                 reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
  if (result != Z_OK || size != length) {
    return std::nullopt;
  }
  return out;
}

}  // namespace snipeworks
