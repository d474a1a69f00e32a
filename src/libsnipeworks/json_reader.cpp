#include "snipeworks/json_reader.h"

#include <algorithm>

namespace snipeworks {

using nlohmann::json;

namespace {

const json kEmptyArray = json::array();

// A parsed value takes up to a hundred bytes, many times its text.
constexpr std::size_t kMaxValues = 500'000;
constexpr std::size_t kMaxNesting = 32;

}  // namespace

JsonReader::JsonReader(const json& object, std::string path)
    : object_(object), path_(std::move(path)) {
  if (!object_.is_object()) {
    error_ = (path_.empty() ? "document" : path_) + ": must be an object";
  }
}

const json* JsonReader::Find(const char* name) const {
  if (!object_.is_object()) {
    return nullptr;
  }
  auto found = object_.find(name);
  return found == object_.end() ? nullptr : &*found;
}

bool JsonReader::Has(const char* name) const {
  return Find(name) != nullptr;
}

void JsonReader::AddError(const char* name, std::string_view reason) {
  if (!error_.empty()) {
    return;
  }
  error_ = path_.empty() ? "" : path_ + ".";
  error_ += name;
  error_ += ": ";
  error_ += reason;
}

void JsonReader::AddErrorFrom(const JsonReader& nested) {
  if (error_.empty()) {
    error_ = nested.error_;
  }
}

std::string JsonReader::String(const char* name, std::size_t max_length) {
  const json* value = Find(name);
  if (value == nullptr || !value->is_string()) {
    AddError(name, "must be a string");
    return {};
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.empty() || text.size() > max_length) {
    AddError(name, "must have 1 to " + std::to_string(max_length) + " bytes");
    return {};
  }
  return text;
}

std::string JsonReader::StringOr(const char* name, std::string fallback) {
  return Has(name) ? String(name) : std::move(fallback);
}

std::uint64_t JsonReader::Unsigned(const char* name,
                                   std::uint64_t min,
                                   std::uint64_t max) {
  const json* value = Find(name);
  const bool whole = value != nullptr && value->is_number_unsigned();
  if (!whole || value->get<std::uint64_t>() < min ||
      value->get<std::uint64_t>() > max) {
    AddError(name, "must be a whole number from " + std::to_string(min) +
                       " to " + std::to_string(max));
    return min;
  }
  return value->get<std::uint64_t>();
}

std::uint64_t JsonReader::UnsignedOr(const char* name,
                                     std::uint64_t fallback,
                                     std::uint64_t min,
                                     std::uint64_t max) {
  return Has(name) ? Unsigned(name, min, max) : fallback;
}

const json& JsonReader::Array(const char* name, std::size_t max_items) {
  const json* value = Find(name);
  if (value == nullptr || !value->is_array() || value->size() > max_items) {
    AddError(name, "must be an array of at most " + std::to_string(max_items) +
                       " items");
    return kEmptyArray;
  }
  return *value;
}

std::size_t LineNumberAt(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, offset);
  return 1 + static_cast<std::size_t>(
                 std::count(before.begin(), before.end(), '\n'));
}

// Braces, brackets and commas in strings count as well.
Result<void> CheckJsonExtent(std::string_view text) {
  std::size_t values = 1;
  std::size_t depth = 0;
  for (const char c : text) {
    if (c == '[' || c == '{') {
      ++values;
      ++depth;
    } else if (c == ']' || c == '}') {
      depth -= depth > 0 ? 1 : 0;
    } else if (c == ',') {
      ++values;
    }
    if (depth > kMaxNesting || values > kMaxValues) {
      return Fail(ErrorKind::kBadRequest, depth > kMaxNesting
                                              ? "the body is nested too deeply"
                                              : "the body has too many values");
    }
  }
  return {};
}

Result<json> ParseJson(std::string_view text) {
  if (auto bounded = CheckJsonExtent(text); !bounded) {
    return tl::unexpected(bounded.error());
  }
  try {
    return json::parse(text, nullptr, true, true);
  } catch (const json::parse_error& error) {
    return Fail(ErrorKind::kBadRequest,
                "line " + std::to_string(LineNumberAt(text, error.byte)) +
                    ": not valid JSON");
  } catch (const json::exception& error) {
    // Numbers that no type can hold raise json::out_of_range, not parse_error.
    return Fail(ErrorKind::kBadRequest, error.what());
  }
}

}  // namespace snipeworks
