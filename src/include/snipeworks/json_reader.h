#ifndef SNIPEWORKS_JSON_READER_H_
#define SNIPEWORKS_JSON_READER_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "snipeworks/error.h"

namespace snipeworks {

/// Reads typed members of one JSON object and keeps the first error, so that a
/// parser can read all members in sequence and check once at the end.
class JsonReader {
 public:
  /// `path` precedes member names in errors.
  explicit JsonReader(const nlohmann::json& object, std::string path = "");

  /// The member; if it is missing or invalid, records an error and returns an
  /// empty string or `min`.
  std::string String(const char* name, std::size_t max_length = 256);
  std::uint64_t Unsigned(
      const char* name,
      std::uint64_t min = 0,
      std::uint64_t max = std::numeric_limits<std::int64_t>::max());
  /// As Unsigned, but a missing member is no error and gives `fallback`.
  std::uint64_t UnsignedOr(const char* name,
                           std::uint64_t fallback,
                           std::uint64_t min,
                           std::uint64_t max);
  /// As String, but a missing member is no error and gives `fallback`.
  std::string StringOr(const char* name, std::string fallback);
  /// The array member; if it is missing or longer than `max_items`, records an
  /// error and returns an empty array.
  const nlohmann::json& Array(const char* name, std::size_t max_items);
  bool Has(const char* name) const;

  /// Records an error of member `name` unless there is an earlier one.
  void AddError(const char* name, std::string_view reason);
  /// Records the error of a nested reader, if any, unless there is an earlier
  /// one.
  void AddErrorFrom(const JsonReader& nested);

  bool ok() const { return error_.empty(); }
  /// "path.member: reason", or empty if there is no error.
  const std::string& error() const { return error_; }

 private:
  const nlohmann::json* Find(const char* name) const;

  const nlohmann::json& object_;
  std::string path_;
  std::string error_;
};

/// Bounds the memory that the parser needs for `text`. Fails with kBadRequest
/// if it has too many values or nests them too deeply.
Result<void> CheckJsonExtent(std::string_view text);

/// Parses JSON with comments. Fails with kBadRequest; syntax errors name the
/// line.
Result<nlohmann::json> ParseJson(std::string_view text);

/// The 1-based line of byte `offset` in `text`.
std::size_t LineNumberAt(std::string_view text, std::size_t offset);

}  // namespace snipeworks

#endif  // SNIPEWORKS_JSON_READER_H_
