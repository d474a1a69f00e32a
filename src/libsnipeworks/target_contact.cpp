#include "snipeworks/target_contact.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Targets pause one at a time; this many do not fail together by chance.
constexpr std::size_t kMinFailingTargets = 3;
// Of fewer targets, in a group that has no more.
constexpr std::size_t kMinFailures = 4;
// A host under load hears from some target within a few milliseconds.
constexpr Duration kMinSilence = milliseconds(150);
constexpr Duration kMinOverdue = milliseconds(100);
// Without knowledge of the usual latency.
constexpr Duration kDefaultOverdue = milliseconds(500);
// Failures further apart are those of single targets.
constexpr Duration kFailureWindow = milliseconds(1000);
// A failed connection while no target responds for this long asks for tests.
constexpr Duration kFailureSilence = milliseconds(50);
constexpr Duration kOverdueScanInterval = milliseconds(20);
// Enough to reach one even if most targets have crashed.
constexpr std::size_t kTestsOfSuspicion = 6;
constexpr std::size_t kTestsOfRecovery = 3;
constexpr Duration kRecoveryTestInterval = milliseconds(250);
constexpr Duration kMinTestPause = milliseconds(500);
constexpr Duration kMaxTestPause = milliseconds(1000);

}  // namespace

const char* ToString(ContactState state) {
  switch (state) {
    case ContactState::kReached:
      return "reached";
    case ContactState::kSuspected:
      return "suspected";
    case ContactState::kLost:
      return "lost";
  }
  return "";
}

void TargetContact::OnSent(Instant now,
                           AttemptId attempt,
                           const std::string& target,
                           Duration expected) {
  const Duration overdue =
      expected > Duration{} ? std::max(expected, kMinOverdue) : kDefaultOverdue;
  pending_[attempt] = {target, now + overdue};
}

void TargetContact::OnEnded(Instant now,
                            AttemptId attempt,
                            bool responded,
                            bool new_connection) {
  auto node = pending_.extract(attempt);
  if (responded) {
    OnContact(now);
    if (new_connection) {
      OnNewConnection();
    }
  } else if (!node.empty() && now >= node.mapped().overdue_at) {
    overdue_targets_.insert(node.mapped().target);
  }
}

// The attempt that lost its connection counts as running until it is clear
// whether its target has crashed: a hedge must not carry a request that crashes
// targets to another one meanwhile.
void TargetContact::OnLoss(Instant now, const std::string& target) {
  OnConnectionFailed(now, target);
  loss_untested_ = true;
}

void TargetContact::OnContact(Instant now) {
  loss_untested_ = false;
  last_contact_ = now;
  overdue_targets_.clear();
}

void TargetContact::OnNewConnection() {
  unconnected_targets_.clear();
  connection_failures_ = 0;
}

bool TargetContact::ConnectionsFail(Instant now) const {
  return connection_failures_ > 0 && now - first_failure_at_ <= kFailureWindow;
}

void TargetContact::OnConnectionFailed(Instant now, const std::string& target) {
  if (!ConnectionsFail(now)) {
    OnNewConnection();
  }
  if (unconnected_targets_.empty()) {
    first_failure_at_ = now;
  }
  unconnected_targets_.insert(target);
  ++connection_failures_;
}

void TargetContact::OnTest(Instant now, bool reached) {
  tests_running_ -= std::min<std::size_t>(tests_running_, 1);
  if (reached) {
    OnContact(now);
    OnNewConnection();
    if (std::exchange(state_, ContactState::kReached) !=
        ContactState::kReached) {
      test_pause_ = std::clamp(2 * test_pause_, kMinTestPause, kMaxTestPause);
      next_test_at_ = now + test_pause_;
    }
    return;
  }
  if (state_ == ContactState::kSuspected && tests_running_ == 0) {
    state_ = ContactState::kLost;
    test_pause_ = Duration{};
    next_test_at_ = now + kRecoveryTestInterval;
  }
}

bool TargetContact::IsSuspicious(Instant now, std::size_t usable_targets) {
  const std::size_t enough = std::min(kMinFailingTargets, usable_targets);
  const bool several_fail =
      unconnected_targets_.size() >= enough ||
      (unconnected_targets_.size() > 1 && connection_failures_ >= kMinFailures);
  if (ConnectionsFail(now) &&
      (several_fail || now - last_contact_ >= kFailureSilence)) {
    return true;
  }
  if (now - last_contact_ < kMinSilence ||
      now - last_overdue_scan_ < kOverdueScanInterval) {
    return false;
  }
  last_overdue_scan_ = now;
  for (const auto& [attempt, pending] : pending_) {
    if (now >= pending.overdue_at) {
      overdue_targets_.insert(pending.target);
    }
  }
  return overdue_targets_.size() >= enough;
}

void TargetContact::BeginTests(Instant now, std::size_t count) {
  tests_running_ = count;
  loss_untested_ = false;
  next_test_at_ = now + kRecoveryTestInterval;
}

std::size_t TargetContact::Update(Instant now, std::size_t usable_targets) {
  if (usable_targets == 0 || tests_running_ > 0 ||
      (now < next_test_at_ && !loss_untested_)) {
    return 0;
  }
  if (state_ == ContactState::kLost) {
    BeginTests(now, std::min(kTestsOfRecovery, usable_targets));
    return tests_running_;
  }
  if (!loss_untested_ && !IsSuspicious(now, usable_targets)) {
    if (now - next_test_at_ > kMaxTestPause) {
      test_pause_ = Duration{};
    }
    return 0;
  }
  state_ = ContactState::kSuspected;
  suspected_since_ = now;
  BeginTests(now, std::min(kTestsOfSuspicion, usable_targets));
  return tests_running_;
}

}  // namespace snipeworks
