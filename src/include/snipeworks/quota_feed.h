#ifndef SNIPEWORKS_QUOTA_FEED_H_
#define SNIPEWORKS_QUOTA_FEED_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "snipeworks/clock.h"
#include "snipeworks/event_log.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/peer_transport.h"
#include "snipeworks/quota_limiter.h"
#include "snipeworks/routing.h"

namespace snipeworks {

/// Connects the QuotaLimiter of an entry host to the leader of the control
/// hosts: finds the leader, sends it reports and takes its grants.
class QuotaFeed {
 public:
  /// `control_hosts` returns the peer addresses of control hosts that may be
  /// up.
  QuotaFeed(EventLoop& loop,
            PeerClient& peers,
            EventLog& log,
            const std::string& host,
            QuotaBounds bounds,
            std::function<std::vector<std::string>()> control_hosts);

  void SetQuotas(const Routing& routing);

  /// See QuotaLimiter.
  QuotaDecision Take(Instant now, const std::string& customer);
  void Credit(const std::string& customer, const QuotaDecision& charge);

  const QuotaLimiter& limiter() const { return limiter_; }
  std::uint64_t exceeded() const { return exceeded_; }
  std::uint64_t without_contact() const { return without_contact_; }
  std::uint64_t credited() const { return credited_; }

 private:
  void SetTimer();
  void Send();
  void OnReply(const std::string& address,
               std::uint64_t serial,
               const PeerResult& result);
  void OnLost(std::uint64_t serial);
  const std::string& NextAddress();
  void LogContact();

  EventLoop& loop_;
  PeerClient& peers_;
  EventLog& log_;
  QuotaLimiter limiter_;
  std::function<std::vector<std::string>()> control_hosts_;
  LoopTimer timer_;
  std::string leader_;  ///< Peer address; empty if it is not known.
  std::string address_;
  std::size_t next_host_ = 0;
  std::uint64_t waiting_for_ = 0;  ///< Serial of the report in flight.
  bool logged_contact_ = true;
  std::uint64_t exceeded_ = 0;
  std::uint64_t without_contact_ = 0;
  std::uint64_t credited_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_QUOTA_FEED_H_
