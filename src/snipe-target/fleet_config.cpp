#include "fleet_config.h"

#include "snipeworks/json_reader.h"

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxZones = 64;
constexpr std::size_t kMaxGroups = 256;
constexpr std::uint64_t kMaxPort = 65535;

double NumberOr(JsonReader& reader,
                const json& object,
                const char* name,
                double fallback) {
  if (!reader.Has(name)) {
    return fallback;
  }
  if (!object[name].is_number() || object[name].get<double>() < 0) {
    reader.AddError(name, "must be a number that is not negative");
    return fallback;
  }
  return object[name].get<double>();
}

ServiceTime ReadServiceTime(JsonReader& reader, const json& group) {
  ServiceTime service;
  service.median_ms = NumberOr(reader, group, "service_ms", service.median_ms);
  service.sigma = NumberOr(reader, group, "sigma", service.sigma);
  service.straggler_percent =
      NumberOr(reader, group, "straggler_percent", service.straggler_percent);
  service.straggler_factor =
      NumberOr(reader, group, "straggler_factor", service.straggler_factor);
  service.connect_ms =
      NumberOr(reader, group, "connect_ms", service.connect_ms);
  service.cold_ms = NumberOr(reader, group, "cold_ms", service.cold_ms);
  return service;
}

Manifest InitialManifest(const std::string& group,
                         std::uint64_t parts,
                         std::uint64_t documents) {
  Manifest manifest;
  manifest.id = {1, group + "-1"};
  for (PartNumber part = 0; part < parts; ++part) {
    manifest.parts.push_back({part, documents});
  }
  return manifest;
}

}  // namespace

Result<FleetConfig> FleetConfig::Parse(std::string_view text) {
  Result<json> document = ParseJson(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  JsonReader reader(*document);
  FleetConfig config;
  std::vector<std::string> zones;
  for (const json& zone : reader.Array("zones", kMaxZones)) {
    zones.push_back(zone.is_string() ? zone.get<std::string>() : "");
  }
  if (zones.empty()) {
    reader.AddError("zones", "must not be empty");
  }
  std::uint64_t port = reader.Unsigned("first_port", 1, kMaxPort);
  for (const json& item : reader.Array("groups", kMaxGroups)) {
    JsonReader group(item, "groups");
    const std::string name = group.String("name");
    const std::uint64_t parts = group.Unsigned("parts", 1, 4096);
    const std::uint64_t replicas = group.Unsigned("replicas", 1, 256);
    const auto slots = group.Unsigned("slots", 1, 4096);
    const auto connections = group.Unsigned("connections", 1, 65536);
    const auto documents = group.UnsignedOr("documents", 1000, 1, 1000000000);
    const ServiceTime service = ReadServiceTime(group, item);
    reader.AddErrorFrom(group);
    if (!reader.ok()) {
      break;
    }
    const Manifest manifest = InitialManifest(name, parts, documents);
    for (PartNumber part = 0; part < parts; ++part) {
      for (std::uint64_t replica = 0; replica < replicas; ++replica) {
        TargetConfig target;
        target.service = service;
        target.enforce_connections = item.value("enforce_connections", true);
        Announcement& announcement = target.announcement;
        announcement.target =
            name + "-p" + std::to_string(part) + "-r" + std::to_string(replica);
        announcement.zone = zones[(part + replica) % zones.size()];
        announcement.address = "127.0.0.1:" + std::to_string(port++);
        announcement.group = name;
        announcement.slots = static_cast<std::uint32_t>(slots);
        announcement.connections = static_cast<std::uint32_t>(connections);
        announcement.snapshots = {{manifest, {part}}};
        config.targets_.push_back(std::move(target));
      }
    }
  }
  if (port > kMaxPort + 1) {
    reader.AddError("first_port", "leaves too few ports for the targets");
  }
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
  }
  return config;
}

}  // namespace snipeworks
