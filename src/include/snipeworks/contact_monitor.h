#ifndef SNIPEWORKS_CONTACT_MONITOR_H_
#define SNIPEWORKS_CONTACT_MONITOR_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "snipeworks/attempt.h"
#include "snipeworks/clock.h"
#include "snipeworks/random.h"
#include "snipeworks/target_contact.h"
#include "snipeworks/target_view.h"

namespace snipeworks {

/// Connects TargetContact to the attempts of an entry host, and holds back
/// outcomes that depend on it: a target that refuses connections after one was
/// lost has crashed only if another one can be reached.
class ContactMonitor {
 public:
  struct Hooks {
    /// Tests whether `address` takes a connection.
    std::function<void(const std::string& address,
                       std::function<void(bool reached)> done)>
        test;
    /// Applies the outcome of an attempt.
    std::function<void(AttemptId, const AttemptOutcome&)> apply;
    /// The state has changed; no target has responded for `silence`.
    std::function<void(ContactState, Duration silence)> on_change;
    /// Contact is lost and no target responds over open connections either:
    /// requests in flight are to be given up.
    std::function<void()> on_silence;
  };

  /// `view` must outlive the monitor.
  ContactMonitor(const TargetView& view, std::uint64_t seed, Hooks hooks);

  void OnSent(Instant now, const AttemptCommand& command, Duration expected);
  /// Applies `outcome`, now or once it is clear whether the host reaches its
  /// targets.
  void OnOutcome(Instant now,
                 AttemptId attempt,
                 const std::string& target,
                 const AttemptOutcome& outcome);

  /// Call after each batch of inputs, and at least every 20 ms while attempts
  /// run.
  void Update(Instant now);

  ContactState state() const { return contact_.state(); }
  bool ConnectionsFail(Instant now) const {
    return contact_.ConnectionsFail(now);
  }

 private:
  struct UnconfirmedLoss {
    AttemptId attempt = 0;
    AttemptOutcome outcome;
    Instant lost_at{};
  };

  void TestConnections(Instant now, std::size_t count);
  void ResolveLosses(Instant now);

  const TargetView& view_;
  Random random_;
  Hooks hooks_;
  TargetContact contact_;
  ContactState reported_ = ContactState::kReached;
  bool silence_reported_ = false;
  std::vector<UnconfirmedLoss> unconfirmed_losses_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTACT_MONITOR_H_
