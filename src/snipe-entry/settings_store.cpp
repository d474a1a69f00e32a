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
  auto stored = Decode<VersionedSettings>(*bytes);
  if (!stored || !Apply(*stored)) {
    LOG(ERROR) << "event=kept_settings_unreadable folder=" << folder_;
  }
}

bool SettingsStore::UpdateIfNewer(const VersionedSettings& settings) {
  if (settings.version <= current_.version || !Apply(settings)) {
    return false;
  }
  if (!folder_.empty()) {
    auto stored = ReplaceFile(folder_ + kFileName, Encode(settings));
    if (!stored) {
      LOG(ERROR) << "event=settings_not_kept reason=\"" << stored.error().detail
                 << "\"";
    }
  }
  return true;
}

bool SettingsStore::Apply(const VersionedSettings& settings) {
  auto parsed = FleetSettings::Parse(settings.text);
  if (!parsed) {
    LOG(ERROR) << "event=settings_unreadable version=" << settings.version
               << " reason=\"" << parsed.error().detail << "\"";
    return false;
  }
  current_ = settings;
  LOG(INFO) << "event=settings_in_force version=" << settings.version;
  on_change_(*parsed);
  return true;
}

}  // namespace snipeworks
