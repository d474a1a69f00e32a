#ifndef SNIPEWORKS_COMPRESSION_H_
#define SNIPEWORKS_COMPRESSION_H_

#include <optional>
#include <string>
#include <string_view>

namespace snipeworks {

/// Compresses `bytes` with zlib and prepends their uncompressed length.
std::string Compress(std::string_view bytes);

/// Reverses Compress; nothing if `bytes` are not valid output of Compress.
std::optional<std::string> Decompress(std::string_view bytes);

}  // namespace snipeworks

#endif  // SNIPEWORKS_COMPRESSION_H_
