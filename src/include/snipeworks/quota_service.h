#ifndef SNIPEWORKS_QUOTA_SERVICE_H_
#define SNIPEWORKS_QUOTA_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/event_log.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/quota_allocator.h"
#include "snipeworks/routing.h"

namespace snipeworks {

/// What a control host knows of the leader at present.
struct QuotaLeadership {
  bool leads = false;  ///< With recent answers of a quorum.
  std::uint64_t term = 0;
  std::string leader;                ///< Peer address; empty if unknown.
  const Routing* routing = nullptr;  ///< Set if the host leads.
};

/// The part of a control host that answers reports on the use of quotas. Only
/// the leader grants; other hosts name it.
class QuotaService {
 public:
  /// `leadership` tells the present state; `entry_hosts` the names of the entry
  /// hosts known to the control hosts.
  QuotaService(EventLog& log,
               QuotaBounds bounds,
               std::function<QuotaLeadership()> leadership,
               std::function<std::vector<std::string>()> entry_hosts);

  void OnReport(const std::string& payload, const PeerServer::Reply& reply);
  /// Call every 100 ms.
  void Tick();

  /// Null unless this host leads and a customer has a quota.
  const QuotaAllocator* allocator() const;

 private:
  /// Begins to lead if it has to. Returns whether this host may grant.
  bool Update(Instant now, const QuotaLeadership& leadership);
  void LogClosed(Instant now);

  EventLog& log_;
  QuotaAllocator allocator_;
  std::function<QuotaLeadership()> leadership_;
  std::function<std::vector<std::string>()> entry_hosts_;
  bool leads_ = false;
  std::uint64_t term_ = 0;  ///< Of allocator_; 0 if it has not begun.
  std::uint64_t routing_version_ = 0;
  std::set<std::string> logged_closed_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_QUOTA_SERVICE_H_
