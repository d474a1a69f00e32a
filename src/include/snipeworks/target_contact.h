#ifndef SNIPEWORKS_TARGET_CONTACT_H_
#define SNIPEWORKS_TARGET_CONTACT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include "snipeworks/attempt.h"
#include "snipeworks/clock.h"

namespace snipeworks {

/// Whether an entry host reaches its targets at all.
enum class ContactState {
  kReached,
  kSuspected,  ///< Several targets fail; test connections are being made.
  kLost,       ///< No target takes a new connection from this host.
};

/// The name of `state` in logs.
const char* ToString(ContactState state);

/// Detects that an entry host has lost its targets, whatever the state of the
/// targets themselves.
///
/// Load pattern: one host, or all hosts of a zone, are partitioned from every
/// target, while callers, control hosts and other entry hosts reach them.
/// Connections fall silent, are reset, or stay open while new ones are refused.
/// Slow, silent and crashed targets look alike to the requests that they hold,
/// so several of them only raise a suspicion, which test connections to others
/// confirm or clear.
///
/// Does no I/O and reads no clock.
class TargetContact {
 public:
  /// An attempt was sent to `target`, whose response is overdue after
  /// `expected`, or after a default time if that is 0.
  void OnSent(Instant now,
              AttemptId attempt,
              const std::string& target,
              Duration expected);
  /// The attempt has ended. `responded`: the target sent any response.
  /// `new_connection`: over a connection opened for this attempt.
  void OnEnded(Instant now,
               AttemptId attempt,
               bool responded,
               bool new_connection);
  /// A connection to `target` could not be opened.
  void OnConnectionFailed(Instant now, const std::string& target);
  /// A connection to `target` broke during a request, and the target takes no
  /// new one. Asks for test connections at once, unless another target
  /// responds before the next Update.
  void OnLoss(Instant now, const std::string& target);
  /// A test connection has ended.
  void OnTest(Instant now, bool reached);

  /// Call a few times a second, and at least every 20 ms while attempts run.
  /// Returns the number of test connections to open, each to another of the
  /// `usable_targets` targets; OnTest must follow for each.
  std::size_t Update(Instant now, std::size_t usable_targets);

  ContactState state() const { return state_; }
  /// True if connections could not be opened lately, and none has been since.
  bool ConnectionsFail(Instant now) const;
  /// When a target last responded or took a test connection.
  Instant last_contact() const { return last_contact_; }
  /// Since when the state is other than kReached.
  Instant suspected_since() const { return suspected_since_; }

 private:
  struct Pending {
    std::string target;
    Instant overdue_at{};
  };

  bool IsSuspicious(Instant now, std::size_t usable_targets);
  void OnContact(Instant now);
  void OnNewConnection();
  void BeginTests(Instant now, std::size_t count);

  ContactState state_ = ContactState::kReached;
  std::unordered_map<AttemptId, Pending> pending_;
  std::set<std::string> overdue_targets_;  ///< Since the last contact.
  /// Since the last new connection.
  std::set<std::string> unconnected_targets_;
  std::size_t connection_failures_ = 0;  ///< Of unconnected_targets_.
  Instant first_failure_at_{};           ///< Of unconnected_targets_.
  Instant last_contact_{};
  Instant last_overdue_scan_{};
  Instant suspected_since_{};
  Instant next_test_at_{};
  Duration test_pause_{};  ///< Between a cleared suspicion and the next tests.
  std::size_t tests_running_ = 0;
  bool loss_untested_ = false;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_TARGET_CONTACT_H_
