#ifndef SNIPE_ENTRY_ENTRY_PEERS_H_
#define SNIPE_ENTRY_ENTRY_PEERS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "settings_store.h"
#include "snipeworks/entry_messages.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/random.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// This entry host's exchange with the other entry hosts: announcements,
/// evidence against requests, and settings.
class EntryPeers {
 public:
  EntryPeers(EventLoop& loop,
             const HostSettings& settings,
             SearchController& controller,
             SettingsStore& settings_store,
             Random& random);

  /// Starts listening and exchanging. Fails with kInternal.
  Result<void> Start();

  /// Takes an announcement that a target posted to this host.
  void OnAnnouncement(const Announcement& announcement);

  /// Tells the others; OnEvidenceShared follows if `share.confirm` is set.
  void Share(const ShareEvidence& share);

  /// True once another entry host has given its view, or none answers.
  bool synced() const { return synced_; }

  PeerTraffic traffic() const;
  PeerClient& client() { return client_; }

 private:
  void OnCall(const std::string& path,
              const std::string& payload,
              const PeerServer::Reply& reply);
  void TakeAnnouncements(const std::string& payload, bool spread_changes);
  void TakeRenewals(const std::string& payload);
  bool RenewFrom(const RenewalBatch& batch);
  void AskForStale();
  std::string RenewalsOf(const StaleQuery& query) const;
  std::string ViewInFull() const;
  void SpreadChange(const Announcement& announcement);
  void SendRenewals();
  void FetchView(const std::string& address);
  void FetchFirstView();
  void FetchSettings(const std::string& address, const char* path);
  void PollControl();

  EventLoop& loop_;
  const HostSettings& settings_;
  SearchController& controller_;
  SettingsStore& settings_store_;
  Random& random_;
  PeerClient client_;
  std::unique_ptr<PeerServer> server_;
  std::vector<std::string> others_;  ///< Addresses of the other entry hosts.
  std::vector<Renewal> renewals_;
  std::vector<Instant> renewed_at_;
  bool synced_ = false;
  std::size_t views_asked_ = 0;
  std::size_t next_control_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPE_ENTRY_ENTRY_PEERS_H_
