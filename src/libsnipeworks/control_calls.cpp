#include "snipeworks/control_calls.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "snipeworks/address.h"

namespace snipeworks {

namespace {

using nlohmann::json;

constexpr double kMaxWhole = 9.0e15;  // Whole numbers that a double holds.

// Typed members of one object; the first fault is kept.
class Members {
 public:
  Members(const json& object, std::string where)
      : object_(object), where_(std::move(where)) {
    if (!object_.is_object()) {
      Note("", "must be an object");
    }
  }

  const json* Find(const std::string& name) {
    if (!object_.is_object()) {
      return nullptr;
    }
    auto found = object_.find(name);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }

  std::string String(const std::string& name) {
    const json* value = Find(name);
    if (value == nullptr || !value->is_string()) {
      Note(name, "must be text");
      return {};
    }
    return value->get<std::string>();
  }

  std::string StringOr(const std::string& name, std::string fallback) {
    return Find(name) == nullptr ? std::move(fallback) : String(name);
  }

  double NumberOr(const std::string& name, double fallback) {
    const json* value = Find(name);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number() || value->get<double>() < 0 ||
        value->get<double>() > kMaxWhole) {
      Note(name, "must be a number from 0 up");
      return fallback;
    }
    return value->get<double>();
  }

  std::uint64_t WholeOr(const std::string& name, std::uint64_t fallback) {
    const json* value = Find(name);
    if (value != nullptr && value->is_number_unsigned()) {
      return value->get<std::uint64_t>();
    }
    const double number = NumberOr(name, static_cast<double>(fallback));
    return static_cast<std::uint64_t>(std::llround(number));
  }

  std::uint64_t Whole(const std::string& name) {
    if (Find(name) == nullptr) {
      Note(name, "is missing");
      return 0;
    }
    return WholeOr(name, 0);
  }

  std::uint32_t Whole32Or(const std::string& name, std::uint32_t fallback) {
    const std::uint64_t value = WholeOr(name, fallback);
    if (value > std::numeric_limits<std::uint32_t>::max()) {
      Note(name, "is too large");
      return fallback;
    }
    return static_cast<std::uint32_t>(value);
  }

  const json& ArrayOr(const std::string& name) {
    static const json empty = json::array();
    const json* value = Find(name);
    if (value == nullptr) {
      return empty;
    }
    if (!value->is_array()) {
      Note(name, "must be a list");
      return empty;
    }
    return *value;
  }

  void Note(const std::string& name, const std::string& reason) {
    if (fault_.empty()) {
      fault_ = where_ + name + ": " + reason;
    }
  }

  void NoteFrom(const Members& nested) {
    if (fault_.empty()) {
      fault_ = nested.fault_;
    }
  }

  bool ok() const { return fault_.empty(); }
  const std::string& fault() const { return fault_; }

 private:
  const json& object_;
  std::string where_;
  std::string fault_;
};

Result<json> ParseObject(std::string_view text) {
  json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return Fail(ErrorKind::kBadRequest, "not a JSON object");
  }
  return document;
}

Route ReadRoute(const json& value, const RoutingNames& names, Members& outer) {
  Members members(value, names.routes + ".");
  Route route;
  route.name = members.StringOr(names.name, "");
  route.host = members.String(names.host);
  route.path_prefix = members.String(names.path_prefix);
  route.repeatable = members.StringOr(names.kind, "") == names.repeatable;
  route.timeout_ms =
      static_cast<std::int64_t>(members.WholeOr(names.timeout_ms, 0));
  route.objective_ms = static_cast<std::int64_t>(members.WholeOr(
      names.objective_ms, static_cast<std::uint64_t>(route.timeout_ms)));
  route.rank = members.Whole32Or(names.rank, 0);
  route.max_attempts = members.Whole32Or(names.max_attempts, 1);
  route.top_records = members.Whole32Or(names.top_records, 0);
  route.min_shard_share = members.NumberOr(names.min_shard_share, 0.0);
  if (members.Find(names.group) != nullptr) {
    route.groups.push_back({members.String(names.group), 1});
  }
  for (const json& item : members.ArrayOr(names.weighted_groups)) {
    Members weighted(item, names.weighted_groups + ".");
    route.groups.push_back(
        {weighted.String(names.group), weighted.Whole32Or(names.weight, 1)});
    members.NoteFrom(weighted);
  }
  for (const json& item : members.ArrayOr(names.shards)) {
    if (!item.is_string()) {
      members.Note(names.shards, "must be a list of names");
      break;
    }
    route.shards.push_back(item.get<std::string>());
  }
  outer.NoteFrom(members);
  return route;
}

GroupSpec ReadGroup(const json& value,
                    const RoutingNames& names,
                    Members& outer) {
  Members members(value, names.groups + ".");
  GroupSpec group;
  group.name = members.String(names.name);
  group.health_path = members.StringOr(names.health_path, "");
  group.max_connections = members.Whole32Or(names.max_connections, 0);
  outer.NoteFrom(members);
  return group;
}

CallerLimits ReadLimits(const json& value,
                        const RoutingNames& names,
                        Members& outer) {
  Members members(value, names.limits + ".");
  CallerLimits limits;
  limits.max_header_bytes = members.WholeOr(names.max_header_bytes, 0);
  limits.max_body_bytes = members.WholeOr(names.max_body_bytes, 0);
  limits.header_timeout_ms =
      static_cast<std::int64_t>(members.WholeOr(names.header_timeout_ms, 0));
  limits.idle_timeout_ms =
      static_cast<std::int64_t>(members.WholeOr(names.idle_timeout_ms, 0));
  outer.NoteFrom(members);
  return limits;
}

Result<LeaveRequest> ParseLeave(std::string target,
                                std::string_view text,
                                const ReportNames& names) {
  LeaveRequest leave;
  leave.target = std::move(target);
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return leave;
  }
  Members members(document, "");
  if (members.Find(names.incarnation) != nullptr) {
    leave.incarnation = members.Whole(names.incarnation);
  }
  if (members.Find(names.sequence) != nullptr) {
    leave.sequence = members.Whole(names.sequence);
  }
  if (!members.ok()) {
    return Fail(ErrorKind::kBadRequest, members.fault());
  }
  return leave;
}

// The target named between `prefix` and `suffix`, or empty.
std::string NameBetween(std::string_view path,
                        std::string_view prefix,
                        std::string_view suffix) {
  if (path.size() <= prefix.size() + suffix.size() ||
      !path.starts_with(prefix) || !path.ends_with(suffix)) {
    return {};
  }
  path.remove_prefix(prefix.size());
  path.remove_suffix(suffix.size());
  return path.find('/') == std::string_view::npos ? std::string(path)
                                                  : std::string();
}

}  // namespace

Result<Routing> ParseRouting(std::string_view text, const RoutingNames& names) {
  Result<json> document = ParseObject(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  Members members(*document, "");
  Routing routing;
  routing.version = members.Whole(names.version);
  if (members.Find(names.routes) == nullptr) {
    members.Note(names.routes, "is missing");
  }
  for (const json& item : members.ArrayOr(names.routes)) {
    routing.routes.push_back(ReadRoute(item, names, members));
  }
  for (const json& item : members.ArrayOr(names.groups)) {
    routing.groups.push_back(ReadGroup(item, names, members));
  }
  if (const json* limits = members.Find(names.limits)) {
    routing.limits = ReadLimits(*limits, names, members);
  }
  if (!members.ok()) {
    return Fail(ErrorKind::kBadRequest, members.fault());
  }
  if (auto valid = Validate(routing); !valid) {
    return tl::unexpected(valid.error());
  }
  return routing;
}

Result<Announcement> ParseReport(const std::string& target,
                                 std::string_view text,
                                 const ReportNames& names) {
  Result<json> document = ParseObject(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  Members members(*document, "");
  Announcement news;
  news.target = target;
  news.group = members.String(names.group);
  news.address = members.String(names.address);
  news.zone = members.String(names.zone);
  news.slots = std::max(1U, members.Whole32Or(names.slots, 1));
  news.cold_ms = members.Whole32Or(names.cold_ms, 0);
  news.sequence = members.Whole(names.sequence);
  news.incarnation = members.WholeOr(names.incarnation, 0);
  const std::string state = members.String(names.state);
  if (state == names.draining) {
    news.state = TargetState::kDraining;
  } else if (state != names.serving) {
    members.Note(names.state, "is no state of a target");
  }
  if (members.ok() && news.group.empty()) {
    members.Note(names.group, "is empty");
  }
  if (auto address = Address::Parse(news.address); members.ok() && !address) {
    members.Note(names.address, address.error().detail);
  }
  if (!members.ok()) {
    return Fail(ErrorKind::kBadRequest, members.fault());
  }
  return news;
}

Result<ControlCall> DecodeControlCall(const HttpRequest& request,
                                      const ControlNames& names) {
  const bool post = request.method == "POST";
  if (post) {
    const std::string reporter =
        NameBetween(request.path, names.report_prefix, names.report_suffix);
    if (!reporter.empty()) {
      return ParseReport(reporter, request.body, names.report)
          .map([](Announcement news) {
            return ControlCall(TargetReport{std::move(news)});
          });
    }
    const std::string leaver =
        NameBetween(request.path, names.report_prefix, names.leave_suffix);
    if (!leaver.empty()) {
      return ParseLeave(leaver, request.body, names.report)
          .map(
              [](LeaveRequest leave) { return ControlCall(std::move(leave)); });
    }
    if (request.path == names.replace_path) {
      return ParseRouting(request.body, names.routing)
          .map([&](Routing routing) {
            return ControlCall(
                ReplaceRouting{std::move(routing), request.body});
          });
    }
  }
  if (request.method == "GET" && request.path == names.read_path) {
    return ControlCall(ReadRouting{});
  }
  return Fail(ErrorKind::kUnknownPath,
              request.method + " " + request.path + " is no call");
}

}  // namespace snipeworks
