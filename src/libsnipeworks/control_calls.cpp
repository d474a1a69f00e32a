#include "snipeworks/control_calls.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

#include "snipeworks/json_reader.h"

namespace snipeworks {

namespace {

using nlohmann::json;

// Below 2^53: a double represents every integer up to there.
constexpr double kMaxExactInteger = 9.0e15;
constexpr char kFaultsPath[] = "/v1/faults";
// A report has a dozen short members.
constexpr std::size_t kMaxReportBytes = std::size_t{64} * 1024;
constexpr double kMillisPerSecond = 1000.0;
// Keeps the time in milliseconds an exact integer.
constexpr double kMaxColdSeconds = kMaxExactInteger / kMillisPerSecond;

// Reads typed members of one JSON object and keeps the first error.
class MemberReader {
 public:
  MemberReader(const json& object, std::string path)
      : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) {
      AddError("", "must be an object");
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
      AddError(name, "must be a string");
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
        value->get<double>() > kMaxExactInteger) {
      AddError(name, "must be a number from 0 to 9e15");
      return fallback;
    }
    return value->get<double>();
  }

  bool BoolOr(const std::string& name, bool fallback) {
    const json* value = Find(name);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_boolean()) {
      AddError(name, "must be true or false");
      return fallback;
    }
    return value->get<bool>();
  }

  std::vector<std::string> StringsOr(const std::string& name) {
    std::vector<std::string> strings;
    for (const json& item : ArrayOr(name)) {
      if (!item.is_string()) {
        AddError(name, "must be an array of strings");
        break;
      }
      strings.push_back(item.get<std::string>());
    }
    return strings;
  }

  std::uint64_t UnsignedOr(const std::string& name, std::uint64_t fallback) {
    const json* value = Find(name);
    if (value != nullptr && value->is_number_unsigned()) {
      const auto whole = value->get<std::uint64_t>();
      if (static_cast<double>(whole) <= kMaxExactInteger) {
        return whole;
      }
    }
    const double number = NumberOr(name, static_cast<double>(fallback));
    return static_cast<std::uint64_t>(std::llround(number));
  }

  std::uint64_t Unsigned(const std::string& name) {
    RequireMember(name);
    return UnsignedOr(name, 0);
  }

  std::uint64_t Whole(const std::string& name) {
    const std::uint64_t whole = Unsigned(name);
    const json* value = Find(name);
    if (ok() && value->is_number_float() &&
        value->get<double>() != static_cast<double>(whole)) {
      AddError(name, "must be a whole number");
    }
    return whole;
  }

  std::uint32_t Unsigned32(const std::string& name) {
    RequireMember(name);
    return Unsigned32Or(name, 0);
  }

  std::uint32_t Unsigned32Or(const std::string& name, std::uint32_t fallback) {
    const std::uint64_t value = UnsignedOr(name, fallback);
    if (value > std::numeric_limits<std::uint32_t>::max()) {
      AddError(name, "is too large");
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
      AddError(name, "must be an array");
      return empty;
    }
    return *value;
  }

  void RequireMember(const std::string& name) {
    if (Find(name) == nullptr) {
      AddError(name, "is missing");
    }
  }

  void AddError(const std::string& name, const std::string& reason) {
    if (error_.empty()) {
      error_ = path_ + name + ": " + reason;
    }
  }

  void AddErrorFrom(const MemberReader& nested) {
    if (error_.empty()) {
      error_ = nested.error_;
    }
  }

  bool ok() const { return error_.empty(); }
  const std::string& error() const { return error_; }

 private:
  const json& object_;
  std::string path_;
  std::string error_;
};

Result<json> ParseObject(std::string_view text) {
  if (auto bounded = CheckJsonExtent(text); !bounded) {
    return tl::unexpected(bounded.error());
  }
  json document = json::parse(text, nullptr, false);
  if (!document.is_object()) {
    return Fail(ErrorKind::kBadRequest, "the body is not a JSON object");
  }
  return document;
}

Route ReadRoute(const json& value,
                const RoutingNames& names,
                MemberReader& outer) {
  MemberReader reader(value, names.routes + ".");
  Route route;
  route.name = reader.StringOr(names.name, "");
  route.host = reader.String(names.host);
  route.path_prefix = reader.String(names.path_prefix);
  route.repeatable = reader.StringOr(names.kind, "") == names.repeatable;
  route.timeout_ms =
      static_cast<std::int64_t>(reader.UnsignedOr(names.timeout_ms, 0));
  route.objective_ms = static_cast<std::int64_t>(reader.UnsignedOr(
      names.objective_ms, static_cast<std::uint64_t>(route.timeout_ms)));
  route.rank = reader.Unsigned32Or(names.rank, 0);
  route.max_attempts = reader.Unsigned32Or(names.max_attempts, 1);
  route.top_records = reader.Unsigned32Or(names.top_records, 0);
  route.min_shard_share = reader.NumberOr(names.min_shard_share, 0.0);
  if (reader.Find(names.group) != nullptr) {
    route.groups.push_back({reader.String(names.group), 1});
  }
  for (const json& item : reader.ArrayOr(names.weighted_groups)) {
    MemberReader weighted(item, names.weighted_groups + ".");
    route.groups.push_back(
        {weighted.String(names.group), weighted.Unsigned32Or(names.weight, 1)});
    reader.AddErrorFrom(weighted);
  }
  route.shards = GroupSet::Of(reader.StringsOr(names.shards));
  route.is_public = reader.BoolOr(names.is_public, false);
  outer.AddErrorFrom(reader);
  return route;
}

GroupSpec ReadGroup(const json& value,
                    const RoutingNames& names,
                    MemberReader& outer) {
  MemberReader reader(value, names.groups + ".");
  GroupSpec group;
  group.name = reader.String(names.name);
  group.health_path = reader.StringOr(names.health_path, "");
  group.max_connections = reader.Unsigned32Or(names.max_connections, 0);
  group.cold_requests_per_second =
      reader.NumberOr(names.cold_requests_per_second, 0.0);
  group.cold_start_ms = std::llround(
      std::min(reader.NumberOr(names.cold_start_s, 0.0), kMaxColdSeconds) *
      kMillisPerSecond);
  outer.AddErrorFrom(reader);
  return group;
}

Customer ReadCustomer(const json& value,
                      const RoutingNames& names,
                      MemberReader& outer) {
  MemberReader reader(value, names.customers + ".");
  Customer customer;
  customer.name = reader.StringOr(names.name, "");
  customer.keys = reader.StringsOr(names.keys);
  customer.rank = reader.Unsigned32Or(names.rank, 0);
  customer.requests_per_second = reader.NumberOr(names.requests_per_second, 0);
  customer.burst = reader.NumberOr(names.burst, 0);
  outer.AddErrorFrom(reader);
  return customer;
}

CallerLimits ReadLimits(const json& value,
                        const RoutingNames& names,
                        MemberReader& outer) {
  MemberReader reader(value, names.limits + ".");
  CallerLimits limits;
  limits.max_header_bytes = reader.UnsignedOr(names.max_header_bytes, 0);
  limits.max_body_bytes = reader.UnsignedOr(names.max_body_bytes, 0);
  limits.header_timeout_ms =
      static_cast<std::int64_t>(reader.UnsignedOr(names.header_timeout_ms, 0));
  limits.idle_timeout_ms =
      static_cast<std::int64_t>(reader.UnsignedOr(names.idle_timeout_ms, 0));
  outer.AddErrorFrom(reader);
  return limits;
}

Result<LeaveRequest> ParseLeave(std::string target,
                                std::string_view text,
                                const ReportNames& names) {
  if (auto valid = ValidateName("target", target); !valid) {
    return tl::unexpected(valid.error());
  }
  LeaveRequest leave;
  leave.target = std::move(target);
  // The name of the target is enough.
  if (text.empty()) {
    return leave;
  }
  Result<json> document = ParseObject(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  MemberReader reader(*document, "");
  if (reader.Find(names.incarnation) != nullptr) {
    leave.incarnation = reader.Unsigned(names.incarnation);
  }
  if (reader.Find(names.sequence) != nullptr) {
    leave.sequence = reader.Unsigned(names.sequence);
  }
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
  }
  return leave;
}

// Returns the target name between `prefix` and `suffix`, or an empty string.
std::string TargetInPath(std::string_view path,
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

// Returns the bytes that `text` stands for; nothing if an escape is malformed.
std::optional<std::string> DecodePercent(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      bytes += text[i];
      continue;
    }
    unsigned value = 0;
    const std::string_view digits = text.substr(i + 1, 2);
    const char* const end = digits.data() + digits.size();
    const auto [parsed, error] = std::from_chars(digits.data(), end, value, 16);
    if (digits.size() < 2 || error != std::errc() || parsed != end) {
      return std::nullopt;
    }
    bytes += static_cast<char>(value);
    i += 2;
  }
  return bytes;
}

// Decodes an order about a zone if `path` is that of one.
std::optional<Result<ZoneOrder>> DecodeZoneOrder(std::string_view path,
                                                 const ControlNames& names) {
  if (!path.starts_with(names.evacuation_prefix)) {
    return std::nullopt;
  }
  path.remove_prefix(names.evacuation_prefix.size());
  const bool evacuate = path.ends_with(names.evacuate_suffix);
  if (!evacuate && !path.ends_with(names.readmit_suffix)) {
    return std::nullopt;
  }
  path.remove_suffix(evacuate ? names.evacuate_suffix.size()
                              : names.readmit_suffix.size());
  const std::optional<std::string> zone = DecodePercent(path);
  if (!zone || path.find('/') != std::string_view::npos) {
    return Result<ZoneOrder>(
        Fail(ErrorKind::kBadRequest, "zone: must be one path segment"));
  }
  if (auto valid = ValidateName("zone", *zone); !valid) {
    return Result<ZoneOrder>(tl::unexpected(valid.error()));
  }
  return Result<ZoneOrder>(ZoneOrder{*zone, evacuate});
}

}  // namespace

Result<Routing> ParseRouting(std::string_view text, const RoutingNames& names) {
  Result<json> document = ParseObject(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  MemberReader reader(*document, "");
  Routing routing;
  routing.version = reader.Unsigned(names.version);
  if (reader.Find(names.routes) == nullptr) {
    reader.AddError(names.routes, "is missing");
  }
  for (const json& item : reader.ArrayOr(names.routes)) {
    routing.routes.push_back(ReadRoute(item, names, reader));
  }
  for (const json& item : reader.ArrayOr(names.groups)) {
    routing.groups.push_back(ReadGroup(item, names, reader));
  }
  for (const json& item : reader.ArrayOr(names.customers)) {
    routing.customers.push_back(ReadCustomer(item, names, reader));
  }
  if (const json* limits = reader.Find(names.limits)) {
    routing.limits = ReadLimits(*limits, names, reader);
  }
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
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
  // What another writer sends may lack members: defaults for them would make
  // its address a target.
  MemberReader reader(*document, "");
  Announcement announcement;
  announcement.target = target;
  announcement.group = reader.String(names.group);
  announcement.address = reader.String(names.address);
  announcement.zone = reader.String(names.zone);
  reader.String(names.version);
  announcement.slots = std::max(1U, reader.Unsigned32(names.slots));
  announcement.cold_ms = reader.Unsigned32(names.cold_ms);
  announcement.sequence = reader.Unsigned(names.sequence);
  announcement.incarnation = reader.Whole(names.incarnation);
  const std::string state = reader.String(names.state);
  if (state == names.draining) {
    announcement.state = TargetState::kDraining;
  } else if (state != names.serving) {
    reader.AddError(names.state, "is not a valid target state");
  }
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
  }
  if (auto valid = Validate(announcement); !valid) {
    return tl::unexpected(valid.error());
  }
  return announcement;
}

std::size_t NeededBodyBytes(const HttpRequest& head,
                            const ControlNames& names,
                            bool allow_faults) {
  if (head.path == names.replace_path) {
    return std::numeric_limits<std::size_t>::max();
  }
  const bool reports =
      !TargetInPath(head.path, names.report_prefix, names.report_suffix)
           .empty() ||
      !TargetInPath(head.path, names.report_prefix, names.leave_suffix)
           .empty() ||
      (allow_faults && head.path == kFaultsPath);
  // One byte more shows that the body is too large.
  return head.method == "POST" && reports ? kMaxReportBytes + 1 : 0;
}

Result<ControlCall> DecodeControlCall(const HttpRequest& request,
                                      const ControlNames& names) {
  const bool post = request.method == "POST";
  const bool replaces = post && request.path == names.replace_path;
  if (!replaces && request.body.size() > kMaxReportBytes) {
    return Fail(
        ErrorKind::kTooLarge,
        "the body has more than " + std::to_string(kMaxReportBytes) + " bytes");
  }
  if (post) {
    const std::string reporting_target =
        TargetInPath(request.path, names.report_prefix, names.report_suffix);
    if (!reporting_target.empty()) {
      return ParseReport(reporting_target, request.body, names.report)
          .map([](Announcement announcement) {
            return ControlCall(TargetReport{std::move(announcement)});
          });
    }
    const std::string leaving_target =
        TargetInPath(request.path, names.report_prefix, names.leave_suffix);
    if (!leaving_target.empty()) {
      return ParseLeave(leaving_target, request.body, names.report)
          .map(
              [](LeaveRequest leave) { return ControlCall(std::move(leave)); });
    }
    if (auto order = DecodeZoneOrder(request.path, names)) {
      return order->map(
          [](ZoneOrder decoded) { return ControlCall(std::move(decoded)); });
    }
    if (replaces) {
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
              request.method + " " + request.path + " does not match any call");
}

}  // namespace snipeworks
