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

constexpr std::array<std::string_view, 24> kSettingNames = {
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
    "shutdown_limit_ms",
    "answer_margin_ms",
    "tolerated_losses",
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
  settings.shutdown_limit_ =
      ReadMilliseconds(reader, "shutdown_limit_ms", settings.shutdown_limit_);
  settings.answer_margin_ =
      ReadMilliseconds(reader, "answer_margin_ms", settings.answer_margin_);
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
