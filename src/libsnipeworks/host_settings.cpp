#include "snipeworks/host_settings.h"

#include <algorithm>
#include <array>

#include "snipeworks/json_reader.h"

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxHosts = 10000;
constexpr std::uint64_t kMaxShutdownHoldMs = 60000;
constexpr std::size_t kMaxSeeds = 100;
constexpr std::uint64_t kBytesPerKilobyte = 1024;
constexpr std::uint64_t kMaxClientMemoryKb = std::uint64_t{64} * 1024 * 1024;
constexpr std::uint64_t kMaxClientConnections = 1'000'000;

// Names of the settings that make up a RequestLimitBounds.
struct LimitBoundsNames {
  const char* window_ms;
  const char* tolerance_percent;
  const char* slack;
};

struct NumberRange {
  double min;
  double max;
};

constexpr std::array<std::string_view, 35> kSettingNames = {
    "host",
    "zone",
    "http",
    "peer",
    "entry_hosts",
    "control_hosts",
    "data_folder",
    "traces",
    "trace_percent",
    "shutdown_hold_ms",
    "allow_faults",
    "control_seeds",
    "ready",
    "metrics",
    "first_start",
    "automatic_members",
    "report_interval_ms",
    "target_snapshot_interval_ms",
    "shutdown_limit_ms",
    "answer_margin_ms",
    "tolerated_losses",
    "quota_window_s",
    "quota_overshoot",
    "quota_overshoot_percent",
    "quota_slack",
    "limit_window_ms",
    "limit_tolerance_percent",
    "limit_slack",
    "cold_window_ms",
    "cold_tolerance_percent",
    "cold_slack",
    "client_memory_kb",
    "client_connections",
    "client_stall_ms",
    "policy"};

Address ReadAddress(JsonReader& reader, const char* name) {
  const std::string text = reader.String(name);
  if (!reader.ok()) {
    return {};
  }
  auto address = Address::Parse(text);
  if (!address) {
    reader.AddError(name, address.error().detail);
    return {};
  }
  return *address;
}

Address ReadAddressOr(JsonReader& reader, const char* name) {
  return reader.Has(name) ? ReadAddress(reader, name) : Address{};
}

std::vector<Address> ReadSeeds(JsonReader& reader, const char* name) {
  std::vector<Address> seeds;
  if (!reader.Has(name)) {
    return seeds;
  }
  for (const json& item : reader.Array(name, kMaxSeeds)) {
    auto address = item.is_string()
                       ? Address::Parse(item.get<std::string>())
                       : Result<Address>(Fail(ErrorKind::kBadRequest,
                                              "must be a list of addresses"));
    if (!address) {
      reader.AddError(name, address.error().detail);
      break;
    }
    seeds.push_back(*address);
  }
  return seeds;
}

Duration ReadMilliseconds(JsonReader& reader,
                          const char* name,
                          Duration fallback) {
  constexpr std::uint64_t kMaxMs = 600000;
  const auto fallback_ms = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count());
  return std::chrono::milliseconds(
      reader.UnsignedOr(name, fallback_ms, 0, kMaxMs));
}

double ReadNumberOr(JsonReader& reader,
                    const json& document,
                    const char* name,
                    double fallback,
                    double min,
                    double max) {
  if (!reader.Has(name)) {
    return fallback;
  }
  const json& value = document[name];
  if (!value.is_number() || value.get<double>() < min ||
      value.get<double>() > max) {
    reader.AddError(name, "must be a number from " + std::to_string(min) +
                              " to " + std::to_string(max));
    return fallback;
  }
  return value.get<double>();
}

QuotaBounds ReadQuotaBounds(JsonReader& reader, const json& document) {
  constexpr double kMaxWindowS = 3600.0;
  constexpr double kMaxSlack = 1e6;
  QuotaBounds bounds;
  bounds.window_s = ReadNumberOr(reader, document, "quota_window_s",
                                 bounds.window_s, 1.0, kMaxWindowS);
  bounds.overshoot = ReadNumberOr(reader, document, "quota_overshoot",
                                  bounds.overshoot, 0.0, 10.0);
  bounds.overshoot = ReadNumberOr(reader, document, "quota_overshoot_percent",
                                  bounds.overshoot * 100.0, 0.0, 1000.0) /
                     100.0;
  bounds.slack = ReadNumberOr(reader, document, "quota_slack", bounds.slack,
                              0.0, kMaxSlack);
  return bounds;
}

GroupPolicy ReadPolicy(JsonReader& outer, const json& document) {
  GroupPolicy policy;
  if (!outer.Has("policy")) {
    return policy;
  }
  JsonReader reader(document["policy"], "policy");
  for (const PolicyField& field : PolicyFields()) {
    const std::string name(field.name);
    policy.*field.member = static_cast<std::int64_t>(reader.UnsignedOr(
        name.c_str(), static_cast<std::uint64_t>(policy.*field.member),
        static_cast<std::uint64_t>(field.min),
        static_cast<std::uint64_t>(field.max)));
  }
  outer.AddErrorFrom(reader);
  return policy;
}

double ReadNumberOr(JsonReader& reader,
                    const json& document,
                    const char* name,
                    double fallback,
                    NumberRange range) {
  if (!reader.Has(name)) {
    return fallback;
  }
  const json& value = document[name];
  if (!value.is_number() || value.get<double>() < range.min ||
      value.get<double>() > range.max) {
    reader.AddError(name, "must be a number from " + std::to_string(range.min) +
                              " to " + std::to_string(range.max));
    return fallback;
  }
  return value.get<double>();
}

// Numbers may have a fraction: a platform may write 150 as 1.5e2.
RequestLimitBounds ReadLimitBounds(JsonReader& reader,
                                   const json& document,
                                   const LimitBoundsNames& names,
                                   RequestLimitBounds bounds) {
  constexpr double kMillisecondsPerSecond = 1000.0;
  constexpr double kPercent = 100.0;
  bounds.window_seconds =
      ReadNumberOr(reader, document, names.window_ms,
                   bounds.window_seconds * kMillisecondsPerSecond,
                   {100.0, 60000.0}) /
      kMillisecondsPerSecond;
  bounds.tolerance =
      ReadNumberOr(reader, document, names.tolerance_percent,
                   bounds.tolerance * kPercent, {100.0, 10000.0}) /
      kPercent;
  bounds.slack =
      ReadNumberOr(reader, document, names.slack, bounds.slack, {0.0, 1e6});
  return bounds;
}

std::vector<PeerHost> ReadHosts(JsonReader& outer, const char* name) {
  std::vector<PeerHost> hosts;
  if (!outer.Has(name)) {
    return hosts;
  }
  for (const json& item : outer.Array(name, kMaxHosts)) {
    JsonReader reader(item, name);
    PeerHost host;
    host.host = reader.String("host");
    host.zone = reader.String("zone");
    host.address = ReadAddress(reader, "peer");
    outer.AddErrorFrom(reader);
    hosts.push_back(std::move(host));
  }
  return hosts;
}

bool ReadBool(JsonReader& reader, const json& document, const char* name) {
  if (!reader.Has(name)) {
    return false;
  }
  if (!document[name].is_boolean()) {
    reader.AddError(name, "must be true or false");
    return false;
  }
  return document[name].get<bool>();
}

std::size_t LineOfError(std::string_view text, const std::string& error) {
  const std::string path = error.substr(0, error.find(':'));
  const std::string name = path.substr(path.rfind('.') + 1);
  const std::size_t at = text.find('"' + name + '"');
  return at == std::string_view::npos ? 1 : LineNumberAt(text, at);
}

}  // namespace

Result<HostSettings> HostSettings::Parse(std::string_view text) {
  Result<json> document = ParseJson(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  JsonReader reader(*document);
  HostSettings settings;
  settings.host_ = reader.String("host");
  settings.zone_ = reader.String("zone");
  settings.http_ = ReadAddress(reader, "http");
  settings.peer_ = ReadAddress(reader, "peer");
  settings.entry_hosts_ = ReadHosts(reader, "entry_hosts");
  settings.control_hosts_ = ReadHosts(reader, "control_hosts");
  settings.data_folder_ = reader.StringOr("data_folder", "");
  settings.traces_ = reader.StringOr("traces", "");
  settings.trace_percent_ =
      static_cast<std::uint32_t>(reader.UnsignedOr("trace_percent", 0, 0, 100));
  settings.shutdown_hold_ms_ = static_cast<std::uint32_t>(
      reader.UnsignedOr("shutdown_hold_ms", 1000, 0, kMaxShutdownHoldMs));
  settings.allow_faults_ = ReadBool(reader, *document, "allow_faults");
  settings.control_seeds_ = ReadSeeds(reader, "control_seeds");
  settings.ready_ = ReadAddressOr(reader, "ready");
  settings.metrics_ = ReadAddressOr(reader, "metrics");
  settings.first_start_ = ReadBool(reader, *document, "first_start");
  settings.automatic_members_ =
      ReadBool(reader, *document, "automatic_members");
  settings.tolerated_losses_ = static_cast<std::uint32_t>(
      reader.UnsignedOr("tolerated_losses", 1, 0, 3));
  settings.report_interval_ =
      ReadMilliseconds(reader, "report_interval_ms", settings.report_interval_);
  settings.target_snapshot_interval_ =
      ReadMilliseconds(reader, "target_snapshot_interval_ms", Duration{});
  settings.shutdown_limit_ =
      ReadMilliseconds(reader, "shutdown_limit_ms", settings.shutdown_limit_);
  settings.answer_margin_ =
      ReadMilliseconds(reader, "answer_margin_ms", settings.answer_margin_);
  settings.quota_bounds_ = ReadQuotaBounds(reader, *document);
  settings.limit_bounds_.stated = ReadLimitBounds(
      reader, *document,
      {"limit_window_ms", "limit_tolerance_percent", "limit_slack"},
      settings.limit_bounds_.stated);
  settings.limit_bounds_.cold = ReadLimitBounds(
      reader, *document,
      {"cold_window_ms", "cold_tolerance_percent", "cold_slack"},
      settings.limit_bounds_.cold);
  settings.client_memory_bytes_ =
      kBytesPerKilobyte *
      reader.UnsignedOr("client_memory_kb", 0, 0, kMaxClientMemoryKb);
  settings.client_connections_ =
      reader.UnsignedOr("client_connections", 0, 0, kMaxClientConnections);
  settings.client_stall_ =
      ReadMilliseconds(reader, "client_stall_ms", settings.client_stall_);
  settings.policy_ = ReadPolicy(reader, *document);
  if (document->is_object()) {
    for (const auto& [name, value] : document->items()) {
      if (std::ranges::find(kSettingNames, name) == kSettingNames.end()) {
        reader.AddError(name.c_str(), "unknown name");
      }
    }
  }
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest,
                "line " + std::to_string(LineOfError(text, reader.error())) +
                    ": " + reader.error());
  }
  return settings;
}

}  // namespace snipeworks
