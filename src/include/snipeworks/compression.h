#ifndef SNIPEWORKS_COMPRESSION_H_
#define SNIPEWORKS_COMPRESSION_H_

#include <optional>
#include <string>
#include <string_view>

namespace snipeworks {

/// `bytes` in zlib's form, with its length in front.
std::string Compress(std::string_view bytes);

/// What Compress was given; nothing if `bytes` are not of its making.
std::optional<std::string> Decompress(std::string_view bytes);

}  // namespace snipeworks

#endif  // SNIPEWORKS_COMPRESSION_H_
