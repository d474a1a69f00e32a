#include "snipeworks/announcement.h"

#include <set>

#include "snipeworks/address.h"
#include "snipeworks/json_reader.h"
#include "snipeworks/text.h"

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxSnapshots = 8;
constexpr std::size_t kMaxParts = 4096;
constexpr std::uint64_t kMaxSlots = 4096;
constexpr std::uint64_t kMaxConnections = 65536;

HeldSnapshot ReadSnapshot(const json& value, JsonReader& outer) {
  JsonReader reader(value, "snapshots");
  HeldSnapshot held;
  held.manifest.id.number = reader.Unsigned("number");
  held.manifest.id.digest = reader.String("digest");
  std::set<PartNumber> known;
  for (const json& item : reader.Array("manifest", kMaxParts)) {
    JsonReader part(item, "snapshots.manifest");
    held.manifest.parts.push_back(
        {static_cast<PartNumber>(part.Unsigned("part", 0, UINT32_MAX)),
         part.Unsigned("documents")});
    if (!known.insert(held.manifest.parts.back().part).second) {
      reader.AddError("manifest", "lists a part more than once");
    }
    reader.AddErrorFrom(part);
  }
  for (const json& item : reader.Array("parts", kMaxParts)) {
    if (!item.is_number_unsigned() || !known.contains(item.get<PartNumber>())) {
      reader.AddError("parts", "must name parts of the manifest");
      break;
    }
    held.parts.push_back(item.get<PartNumber>());
  }
  outer.AddErrorFrom(reader);
  return held;
}

TargetState ReadState(JsonReader& reader) {
  const std::string state = reader.String("state");
  if (state == "draining") {
    return TargetState::kDraining;
  }
  if (state != "serving") {
    reader.AddError("state", "must be \"serving\" or \"draining\"");
  }
  return TargetState::kServing;
}

json SnapshotJson(const HeldSnapshot& held) {
  json manifest = json::array();
  for (const ManifestPart& part : held.manifest.parts) {
    manifest.push_back({{"part", part.part}, {"documents", part.documents}});
  }
  return {{"number", held.manifest.id.number},
          {"digest", held.manifest.id.digest},
          {"manifest", std::move(manifest)},
          {"parts", held.parts}};
}

}  // namespace

const char* ToString(TargetState state) {
  switch (state) {
    case TargetState::kServing:
      return "serving";
    case TargetState::kDraining:
      return "draining";
    case TargetState::kGone:
      return "gone";
  }
  return "gone";
}

Result<void> ValidateName(std::string_view member, std::string_view name) {
  if (name.empty() || name.size() > kMaxNameBytes) {
    return Fail(ErrorKind::kBadRequest,
                std::string(member) + ": must have 1 to " +
                    std::to_string(kMaxNameBytes) + " bytes");
  }
  if (!IsPrintable(name)) {
    return Fail(
        ErrorKind::kBadRequest,
        std::string(member) + ": must be UTF-8 without control characters");
  }
  return {};
}

Result<void> Validate(const Announcement& announcement) {
  for (const auto& [member, name] : {std::pair("target", &announcement.target),
                                     std::pair("group", &announcement.group),
                                     std::pair("zone", &announcement.zone)}) {
    if (auto valid = ValidateName(member, *name); !valid) {
      return valid;
    }
  }
  for (const HeldSnapshot& held : announcement.snapshots) {
    if (auto valid = ValidateName("digest", held.manifest.id.digest); !valid) {
      return valid;
    }
  }
  if (auto address = Address::Parse(announcement.address); !address) {
    return Fail(ErrorKind::kBadRequest, "address: " + address.error().detail);
  }
  return {};
}

Result<Announcement> ParseAnnouncement(std::string_view text) {
  Result<json> document = ParseJson(text);
  if (!document) {
    return tl::unexpected(document.error());
  }
  JsonReader reader(*document);
  Announcement result;
  result.target = reader.String("target");
  result.incarnation = reader.Unsigned("incarnation");
  result.sequence = reader.Unsigned("sequence");
  result.zone = reader.String("zone");
  result.address = reader.String("address");
  result.group = reader.String("group");
  result.state = ReadState(reader);
  result.slots =
      static_cast<std::uint32_t>(reader.Unsigned("slots", 1, kMaxSlots));
  result.connections = static_cast<std::uint32_t>(
      reader.Unsigned("connections", 1, kMaxConnections));
  result.queued =
      static_cast<std::uint32_t>(reader.UnsignedOr("queued", 0, 0, UINT32_MAX));
  for (const json& item : reader.Array("snapshots", kMaxSnapshots)) {
    result.snapshots.push_back(ReadSnapshot(item, reader));
  }
  if (!reader.ok()) {
    return Fail(ErrorKind::kBadRequest, reader.error());
  }
  if (auto valid = Validate(result); !valid) {
    return tl::unexpected(valid.error());
  }
  return result;
}

std::string ToJson(const Announcement& announcement) {
  json snapshots = json::array();
  for (const HeldSnapshot& held : announcement.snapshots) {
    snapshots.push_back(SnapshotJson(held));
  }
  return WriteJson({{"target", announcement.target},
                    {"incarnation", announcement.incarnation},
                    {"sequence", announcement.sequence},
                    {"zone", announcement.zone},
                    {"address", announcement.address},
                    {"group", announcement.group},
                    {"state", ToString(announcement.state)},
                    {"slots", announcement.slots},
                    {"connections", announcement.connections},
                    {"queued", announcement.queued},
                    {"snapshots", std::move(snapshots)}});
}

}  // namespace snipeworks
