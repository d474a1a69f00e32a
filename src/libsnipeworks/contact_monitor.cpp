#include "snipeworks/contact_monitor.h"

#include <utility>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

// Requests in flight are given up once no target has responded for this long.
constexpr Duration kSilence = milliseconds(150);
// A lost connection counts against its request if it is unclear for longer
// whether the host reaches its targets.
constexpr Duration kMaxLossCheck = milliseconds(1000);

}  // namespace

ContactMonitor::ContactMonitor(const TargetView& view,
                               std::uint64_t seed,
                               Hooks hooks)
    : view_(view), random_(seed), hooks_(std::move(hooks)) {}

void ContactMonitor::OnSent(Instant now,
                            const AttemptCommand& command,
                            Duration expected) {
  contact_.OnSent(now, command.id, command.target, expected);
}

void ContactMonitor::OnOutcome(Instant now,
                               AttemptId attempt,
                               const std::string& target,
                               const AttemptOutcome& outcome) {
  const bool lost = outcome.status == AttemptStatus::kLost;
  contact_.OnEnded(now, attempt, HasResponded(outcome), outcome.new_connection);
  if (outcome.connect_failed) {
    contact_.OnConnectionFailed(now, target);
  }
  if (lost) {
    contact_.OnLoss(now, target);
    unconfirmed_losses_.push_back({attempt, outcome, now});
  } else {
    hooks_.apply(attempt, outcome);
  }
}

void ContactMonitor::Update(Instant now) {
  TestConnections(now, contact_.Update(now, view_.size()));
  ResolveLosses(now);
  const ContactState state = contact_.state();
  const Duration silence = now - contact_.last_contact();
  if (std::exchange(reported_, state) != state) {
    silence_reported_ = false;
    hooks_.on_change(state, silence);
  }
  if (state == ContactState::kLost && silence >= kSilence &&
      !std::exchange(silence_reported_, true)) {
    hooks_.on_silence();
  }
}

void ContactMonitor::TestConnections(Instant now, std::size_t count) {
  if (count == 0) {
    return;
  }
  std::vector<const Announcement*> targets = view_.All();
  std::erase_if(targets, [&](const Announcement* target) {
    return view_.Usable(now, target->target) == nullptr;
  });
  for (std::size_t i = 0; i < count; ++i) {
    if (targets.empty()) {
      contact_.OnTest(now, false);
      continue;
    }
    const std::size_t chosen = random_.Below(targets.size());
    const std::string address = targets[chosen]->address;
    targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(chosen));
    hooks_.test(address, [this](bool reached) {
      contact_.OnTest(MonotonicNow(), reached);
    });
  }
}

void ContactMonitor::ResolveLosses(Instant now) {
  std::vector<UnconfirmedLoss> resolved;
  std::erase_if(unconfirmed_losses_, [&](const UnconfirmedLoss& loss) {
    const bool confirmed = contact_.last_contact() > loss.lost_at ||
                           now - loss.lost_at > kMaxLossCheck ||
                           view_.size() <= 1;
    const bool refuted = contact_.state() == ContactState::kLost;
    if (confirmed || refuted) {
      resolved.push_back(loss);
    }
    if (refuted) {
      resolved.back().outcome.status = AttemptStatus::kFailed;
    }
    return confirmed || refuted;
  });
  for (const UnconfirmedLoss& loss : resolved) {
    hooks_.apply(loss.attempt, loss.outcome);
  }
}

}  // namespace snipeworks
