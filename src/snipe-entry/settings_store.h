#ifndef SNIPE_ENTRY_SETTINGS_STORE_H_
#define SNIPE_ENTRY_SETTINGS_STORE_H_

#include <functional>
#include <string>

#include "snipeworks/entry_messages.h"
#include "snipeworks/error.h"
#include "snipeworks/fleet_settings.h"

namespace snipeworks {

/// The fleet settings in force on this host. The version never decreases, not
/// even over a restart if the host has a data folder.
class SettingsStore {
 public:
  using OnChange = std::function<void(const FleetSettings&)>;

  /// Loads the settings that an earlier run stored in `folder`. With an empty
  /// `folder`, settings are not stored.
  SettingsStore(std::string folder, OnChange on_change);

  /// Applies `settings` if their version is later than the current one. Returns
  /// false if it is not, or if they cannot be parsed.
  bool UpdateIfNewer(const VersionedSettings& settings);

  /// 0 if no settings are in force yet.
  std::uint64_t version() const { return current_.version; }
  const VersionedSettings& current() const { return current_; }

 private:
  bool Apply(const VersionedSettings& settings);

  std::string folder_;
  OnChange on_change_;
  VersionedSettings current_;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_SETTINGS_STORE_H_
