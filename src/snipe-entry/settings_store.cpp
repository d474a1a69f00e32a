#include "settings_store.h"

#include <filesystem>
#include <utility>

#include <glog/logging.h>

#include "snipeworks/durable_file.h"
#include "snipeworks/program.h"

namespace snipeworks {

namespace {

constexpr char kFileName[] = "/fleet-settings.msgpack";

}  // namespace

SettingsStore::SettingsStore(std::string folder, OnChange on_change)
    : folder_(std::move(folder)), on_change_(std::move(on_change)) {
  if (folder_.empty()) {
    return;
  }
  std::filesystem::create_directories(folder_);
  auto bytes = ReadFile(folder_ + kFileName);
  if (!bytes) {
    return;
  }
  auto kept = Decode<VersionedSettings>(*bytes);
  if (!kept || !Apply(*kept)) {
    LOG(ERROR) << "event=kept_settings_unreadable folder=" << folder_;
  }
}

bool SettingsStore::Offer(const VersionedSettings& offer) {
  if (offer.version <= current_.version || !Apply(offer)) {
    return false;
  }
  if (!folder_.empty()) {
    auto kept = ReplaceFile(folder_ + kFileName, Encode(offer));
    if (!kept) {
      LOG(ERROR) << "event=settings_not_kept reason=\"" << kept.error().detail
                 << "\"";
    }
  }
  return true;
}

bool SettingsStore::Apply(const VersionedSettings& offer) {
  auto parsed = FleetSettings::Parse(offer.text);
  if (!parsed) {
    LOG(ERROR) << "event=settings_unreadable version=" << offer.version
               << " reason=\"" << parsed.error().detail << "\"";
    return false;
  }
  current_ = offer;
  LOG(INFO) << "event=settings_in_force version=" << offer.version;
  on_change_(*parsed);
  return true;
}

}  // namespace snipeworks
