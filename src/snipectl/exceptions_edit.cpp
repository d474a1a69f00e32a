#include "exceptions_edit.h"

#include "snipeworks/fleet_settings.h"
#include "snipeworks/json_reader.h"

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr int kIndent = 2;

Result<json> ParseSettingsText(const std::string& text) {
  return ParseJson(text.empty() ? "{}" : text);
}

// Comments in the text are lost; the reasons for exceptions are stored in the
// exceptions themselves.
Result<std::string> SerializeIfValid(const json& document) {
  std::string text = document.dump(kIndent);
  auto parsed = FleetSettings::Parse(text);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  return text;
}

json ExceptionsOfOtherGroups(const json& document, const std::string& group) {
  json remaining = json::array();
  for (const json& exception : document.value("exceptions", json::array())) {
    if (exception.value("group", "") != group) {
      remaining.push_back(exception);
    }
  }
  return remaining;
}

}  // namespace

std::string ListExceptions(const std::string& text) {
  auto document = ParseSettingsText(text);
  if (!document) {
    return "";
  }
  std::string lines;
  for (const json& exception : document->value("exceptions", json::array())) {
    lines += exception.value("group", "") + " " + exception["set"].dump() +
             " because " + exception.value("reason", "") + "\n";
  }
  return lines;
}

Result<std::string> AddException(const std::string& text,
                                 const std::string& group,
                                 const std::vector<std::string>& assignments,
                                 const std::string& reason) {
  if (reason.empty()) {
    return Fail(ErrorKind::kBadRequest, "exceptions add: --reason is needed");
  }
  auto document = ParseSettingsText(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  json set = json::object();
  for (const std::string& assignment : assignments) {
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos) {
      return Fail(ErrorKind::kBadRequest, assignment + ": must be NAME=VALUE");
    }
    const std::string value_text = assignment.substr(equals + 1);
    const json parsed_value = json::parse(value_text, nullptr, false);
    set[assignment.substr(0, equals)] =
        parsed_value.is_number_integer() ? parsed_value : json(value_text);
  }
  json exceptions = ExceptionsOfOtherGroups(*document, group);
  exceptions.push_back({{"group", group}, {"set", set}, {"reason", reason}});
  (*document)["exceptions"] = std::move(exceptions);
  return SerializeIfValid(*document);
}

Result<std::string> RemoveException(const std::string& text,
                                    const std::string& group) {
  auto document = ParseSettingsText(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  json remaining = ExceptionsOfOtherGroups(*document, group);
  if (remaining.size() == document->value("exceptions", json::array()).size()) {
    return Fail(ErrorKind::kBadRequest, group + ": has no exception");
  }
  (*document)["exceptions"] = std::move(remaining);
  return SerializeIfValid(*document);
}

}  // namespace snipeworks
