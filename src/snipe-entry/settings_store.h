#ifndef SNIPE_ENTRY_SETTINGS_STORE_H_
#define SNIPE_ENTRY_SETTINGS_STORE_H_

#include <functional>
#include <string>

#include "snipeworks/entry_messages.h"
#include "snipeworks/error.h"
#include "snipeworks/fleet_settings.h"

namespace snipeworks {

/// The fleet settings in force on this host. Versions only go forward, also
/// over a restart if the host has a data folder.
class SettingsStore {
 public:
  using OnChange = std::function<void(const FleetSettings&)>;

  /// Reads what an earlier run kept in `folder`; an empty folder name keeps
  /// nothing.
  SettingsStore(std::string folder, OnChange on_change);

  /// Puts `offer` in force if it is later than what is. Returns false if it is
  /// older, the same, or cannot be read.
  bool Offer(const VersionedSettings& offer);

  /// Version 0 means that none is in force yet.
  std::uint64_t version() const { return current_.version; }
  const VersionedSettings& current() const { return current_; }

 private:
  bool Apply(const VersionedSettings& offer);

  std::string folder_;
  OnChange on_change_;
  VersionedSettings current_;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_SETTINGS_STORE_H_
