#ifndef SNIPE_ENTRY_ENTRY_PEERS_H_
#define SNIPE_ENTRY_ENTRY_PEERS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "settings_store.h"
#include "snipeworks/entry_messages.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/random.h"
#include "snipeworks/relay_selector.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// Exchanges announcements, evidence against requests, and settings with the
/// other entry hosts.
class EntryPeers {
 public:
  EntryPeers(EventLoop& loop,
             const HostSettings& settings,
             SearchController& controller,
             SettingsStore& settings_store,
             Random& random);

  /// Starts the server and the periodic calls. Fails with kInternal.
  Result<void> Start();

  /// Handles an announcement that a target posted to this host.
  void OnAnnouncement(const Announcement& announcement);

  /// Sends evidence to the other entry hosts. Calls OnEvidenceShared once all
  /// calls have ended if `share.confirm` is set.
  void BroadcastEvidence(const ShareEvidence& share);

  /// True once another entry host has sent its view or the wait for one has
  /// timed out.
  bool synced() const { return synced_; }

  /// Called with the other entry hosts whenever one is heard of.
  void OnRelayHosts(
      std::function<void(const std::vector<RelayHost>&)> handler) {
    on_relay_hosts_ = std::move(handler);
  }

  PeerTraffic traffic() const;
  PeerClient& client() { return client_; }

 private:
  void OnCall(const std::string& path,
              const std::string& payload,
              const PeerServer::Reply& reply);
  void ApplyAnnouncements(const std::string& payload, bool broadcast_changes);
  void OnRenewals(const std::string& payload);
  bool ApplyRenewals(const RenewalBatch& batch);
  void QueryStaleTargets();
  std::string EncodeRenewals(const StaleQuery& query) const;
  std::string EncodeView() const;
  void BroadcastChange(const Announcement& announcement);
  void SendRenewals();
  void RememberRelay(const PeerHost& sender, const std::string& address);
  void FetchView(const std::string& address);
  void FetchInitialViews();
  void FetchSettings(const std::string& address, const char* path);
  void PollControlHosts();

  EventLoop& loop_;
  const HostSettings& settings_;
  SearchController& controller_;
  SettingsStore& settings_store_;
  Random& random_;
  PeerClient client_;
  std::unique_ptr<PeerServer> server_;
  std::vector<std::string> peer_addresses_;       ///< Of the other entry hosts.
  std::map<std::string, RelayHost> relay_hosts_;  ///< By name.
  std::function<void(const std::vector<RelayHost>&)> on_relay_hosts_;
  std::vector<Renewal> pending_renewals_;
  std::vector<Instant> renewal_times_;
  bool synced_ = false;
  std::size_t views_requested_ = 0;
  std::size_t next_control_host_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_ENTRY_PEERS_H_
