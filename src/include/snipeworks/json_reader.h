#ifndef SNIPEWORKS_JSON_READER_H_
#define SNIPEWORKS_JSON_READER_H_

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "snipeworks/error.h"

namespace snipeworks {

/// Reads typed members of one JSON object and keeps the first fault, so that a
/// parser can read all members in a row and check once at the end.
class JsonReader {
 public:
  /// `path` is put before member names in faults.
  explicit JsonReader(const nlohmann::json& object, std::string path = "");

  /// The member, or the fallback value with a fault noted.
  std::string String(const char* name, std::size_t max_length = 256);
  std::uint64_t Unsigned(
      const char* name,
      std::uint64_t min = 0,
      std::uint64_t max = std::numeric_limits<std::int64_t>::max());
  /// As Unsigned, but a missing member gives `fallback` without a fault.
  std::uint64_t UnsignedOr(const char* name,
                           std::uint64_t fallback,
                           std::uint64_t min,
                           std::uint64_t max);
  /// As String, but a missing member gives `fallback` without a fault.
  std::string StringOr(const char* name, std::string fallback);
  /// The array member, empty with a fault if it is missing or longer than
  /// `max_items`.
  const nlohmann::json& Array(const char* name, std::size_t max_items);
  /// True if the member exists.
  bool Has(const char* name) const;

  /// Notes a fault of member `name`; the first one is kept.
  void AddError(const char* name, std::string_view reason);
  /// Takes over the fault of a nested reader.
  void AddErrorFrom(const JsonReader& nested);

  bool ok() const { return error_.empty(); }
  /// "path.member: reason", empty if all was well.
  const std::string& error() const { return error_; }

 private:
  const nlohmann::json* Find(const char* name) const;

  const nlohmann::json& object_;
  std::string path_;
  std::string error_;
};

/// Parses JSON with comments. Fails with kBadRequest, naming the line.
Result<nlohmann::json> ParseJson(std::string_view text);

/// The 1-based line of byte `offset` in `text`.
std::size_t LineNumberAt(std::string_view text, std::size_t offset);

}  // namespace snipeworks

#endif  // SNIPEWORKS_JSON_READER_H_
