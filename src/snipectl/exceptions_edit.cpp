#include "exceptions_edit.h"

#include "snipeworks/fleet_settings.h"
#include "snipeworks/json_reader.h"

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr int kIndent = 2;

Result<json> Read(const std::string& text) {
  return ParseJson(text.empty() ? "{}" : text);
}

// Editing loses the comments of the text; the reasons are kept with the
// exceptions, where they belong.
Result<std::string> Checked(const json& document) {
  std::string text = document.dump(kIndent);
  auto parsed = FleetSettings::Parse(text);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  return text;
}

json Others(const json& document, const std::string& group) {
  json others = json::array();
  for (const json& one : document.value("exceptions", json::array())) {
    if (one.value("group", "") != group) {
      others.push_back(one);
    }
  }
  return others;
}

}  // namespace

std::string ListExceptions(const std::string& text) {
  auto document = Read(text);
  if (!document) {
    return "";
  }
  std::string lines;
  for (const json& one : document->value("exceptions", json::array())) {
    lines += one.value("group", "") + " " + one["set"].dump() + " because " +
             one.value("reason", "") + "\n";
  }
  return lines;
}

Result<std::string> AddException(const std::string& text,
                                 const std::string& group,
                                 const std::vector<std::string>& values,
                                 const std::string& reason) {
  if (reason.empty()) {
    return Fail(ErrorKind::kBadRequest, "exceptions add: --reason is needed");
  }
  auto document = Read(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  json set = json::object();
  for (const std::string& value : values) {
    const std::size_t equals = value.find('=');
    if (equals == std::string::npos) {
      return Fail(ErrorKind::kBadRequest, value + ": must be NAME=VALUE");
    }
    const std::string right = value.substr(equals + 1);
    const json number = json::parse(right, nullptr, false);
    set[value.substr(0, equals)] =
        number.is_number_integer() ? number : json(right);
  }
  json exceptions = Others(*document, group);
  exceptions.push_back({{"group", group}, {"set", set}, {"reason", reason}});
  (*document)["exceptions"] = std::move(exceptions);
  return Checked(*document);
}

Result<std::string> RemoveException(const std::string& text,
                                    const std::string& group) {
  auto document = Read(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  json others = Others(*document, group);
  if (others.size() == document->value("exceptions", json::array()).size()) {
    return Fail(ErrorKind::kBadRequest, group + ": has no exception");
  }
  (*document)["exceptions"] = std::move(others);
  return Checked(*document);
}

}  // namespace snipeworks
