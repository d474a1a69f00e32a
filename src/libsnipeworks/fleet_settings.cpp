#include "snipeworks/fleet_settings.h"

#include <algorithm>
#include <set>

#include "snipeworks/json_reader.h"

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxExceptions = 256;
constexpr std::size_t kMaxReasonBytes = 1000;

// The JSON library reports no positions of members, so the line of an error is
// found by searching for the quoted name, starting at `from`.
tl::unexpected<Error> ErrorAt(std::string_view text,
                              std::size_t from,
                              std::string_view name,
                              const std::string& reason) {
  const std::size_t at =
      text.find('"' + std::string(name) + '"', std::min(from, text.size()));
  const std::size_t line =
      at == std::string_view::npos ? 1 : LineNumberAt(text, at);
  return Fail(ErrorKind::kBadRequest, "line " + std::to_string(line) + ": " +
                                          std::string(name) + ": " + reason);
}

std::string AllowedValues(const PolicyField& field) {
  if (field.choices.empty()) {
    return "must be a whole number from " + std::to_string(field.min) + " to " +
           std::to_string(field.max);
  }
  std::string text = "must be one of";
  for (std::string_view choice : field.choices) {
    text += " \"" + std::string(choice) + "\"";
  }
  return text;
}

tl::expected<std::int64_t, std::string> ReadValue(const PolicyField& field,
                                                  const json& value) {
  if (!field.choices.empty() && value.is_string()) {
    const auto& name = value.get_ref<const std::string&>();
    auto found = std::ranges::find(field.choices, name);
    if (found != field.choices.end()) {
      return found - field.choices.begin();
    }
  }
  if (field.choices.empty() && value.is_number_integer()) {
    const auto number = value.get<std::int64_t>();
    if (number >= field.min && number <= field.max) {
      return number;
    }
  }
  return tl::unexpected(AllowedValues(field));
}

Result<std::vector<PolicyOverride>> ReadOverrides(std::string_view text,
                                                  std::size_t from,
                                                  const json& object) {
  std::vector<PolicyOverride> result;
  for (const auto& [name, value] : object.items()) {
    const PolicyField* field = FindPolicyField(name);
    if (field == nullptr) {
      return ErrorAt(text, from, name, "unknown setting");
    }
    auto number = ReadValue(*field, value);
    if (!number) {
      return ErrorAt(text, from, name, number.error());
    }
    result.push_back({name, *number});
  }
  return result;
}

void Apply(const std::vector<PolicyOverride>& overrides, GroupPolicy& policy) {
  for (const PolicyOverride& item : overrides) {
    policy.*(FindPolicyField(item.field)->member) = item.value;
  }
}

Result<PolicyException> ReadException(std::string_view text,
                                      std::size_t from,
                                      const json& item) {
  JsonReader reader(item, "exceptions");
  PolicyException result;
  result.group = reader.String("group");
  result.reason = reader.String("reason", kMaxReasonBytes);
  if (!reader.ok()) {
    return ErrorAt(text, from, "exceptions", reader.error());
  }
  if (!item.contains("set") || !item["set"].is_object()) {
    return ErrorAt(text, from, result.group, "must have an object \"set\"");
  }
  auto overrides = ReadOverrides(text, from, item["set"]);
  if (!overrides) {
    return tl::unexpected(overrides.error());
  }
  for (const PolicyOverride& item : *overrides) {
    if (FindPolicyField(item.field)->fleet_wide) {
      return ErrorAt(text, from, item.field,
                     "applies to the whole fleet; set it in defaults");
    }
  }
  result.overrides = std::move(*overrides);
  return result;
}

}  // namespace

Result<FleetSettings> FleetSettings::Parse(std::string_view text) {
  Result<json> document = ParseJson(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  if (!document->is_object()) {
    return Fail(ErrorKind::kBadRequest, "line 1: must be an object");
  }
  for (const auto& [name, value] : document->items()) {
    if (name != "defaults" && name != "exceptions") {
      return ErrorAt(text, 0, name, "unknown name");
    }
  }
  FleetSettings result;
  const json defaults = document->value("defaults", json::object());
  if (!defaults.is_object()) {
    return ErrorAt(text, 0, "defaults", "must be an object");
  }
  auto overrides = ReadOverrides(text, 0, defaults);
  if (!overrides) {
    return tl::unexpected(overrides.error());
  }
  Apply(*overrides, result.defaults_);

  const json exceptions = document->value("exceptions", json::array());
  if (!exceptions.is_array() || exceptions.size() > kMaxExceptions) {
    return ErrorAt(text, 0, "exceptions",
                   "must be an array of at most 256 items");
  }
  const std::size_t from = text.find("\"exceptions\"");
  std::set<std::string> groups;
  for (const json& item : exceptions) {
    auto exception = ReadException(text, from, item);
    if (!exception) {
      return tl::unexpected(exception.error());
    }
    if (!groups.insert(exception->group).second) {
      return ErrorAt(text, from, exception->group,
                     "has more than one exception");
    }
    result.exceptions_.push_back(std::move(*exception));
  }
  return result;
}

GroupPolicy FleetSettings::PolicyFor(std::string_view group) const {
  GroupPolicy policy = defaults_;
  for (const PolicyException& exception : exceptions_) {
    if (exception.group == group) {
      Apply(exception.overrides, policy);
    }
  }
  return policy;
}

}  // namespace snipeworks
