// Operators' orders about zones at a ControlHost.

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "control_host_timeouts.h"
#include "snipeworks/control_host.h"
#include "snipeworks/zone_order.h"

namespace snipeworks {

namespace {

// Between the last byte of a request that was held back on its way and the end
// of its connection: a round trip over the longest link.
constexpr Duration kCloseDelay = std::chrono::milliseconds(100);
// For how long an order may be held back by a proxy that connects late, in
// seconds. What the connection itself holds back is recognized by its age.
constexpr std::int64_t kMaxProxyDelayS = 60;

std::string NewOrderId() {
  std::random_device device;
  return std::to_string(device()) + "-" + std::to_string(device());
}

// While the caller of an order still waits, what is applied here may be taken
// for older than the order.
bool MayRaiseBase(Instant now, Instant sent_after) {
  return now < sent_after + kAcknowledgeDeadline;
}

CommandResult Overtaken() {
  CommandResult result;
  result.status = CommandStatus::kOvertaken;
  return result;
}

const char* OutcomeName(const std::optional<CommandResult>& result) {
  if (!result) {
    return "undecided";
  }
  switch (result->status) {
    case CommandStatus::kAccepted:
      return "accepted";
    case CommandStatus::kUnchanged:
      return "unchanged";
    case CommandStatus::kConflict:
      return "rejected";
    case CommandStatus::kOvertaken:
      return "overtaken";
    default:  // A leader of an earlier version does not know the command.
      return "undecided";
  }
}

}  // namespace

// An order carries no version, and may reach this host long after its caller
// has given it up and had it, or a later one, acknowledged by another host: it
// waits in the socket of a host that is stopped, on a link that is cut, or on
// its way to the leader. It must not undo those. So it is proposed together
// with the state upon which it was given, and only while its caller waits.
//
// The state of this host does not tell whether a repeated order is still in
// force, so each one is proposed.
void ControlHost::OnZoneOrder(ExchangeId exchange,
                              const ZoneOrder& order,
                              Instant sent_after) {
  const Instant now = MonotonicNow();
  auto pending = std::make_shared<PendingZoneOrder>();
  pending->exchange = exchange;
  pending->sent_after = sent_after;
  pending->received_at = now;
  pending->command.kind =
      order.evacuate ? CommandKind::kEvacuate : CommandKind::kReadmit;
  pending->command.zone = order.zone;
  pending->command.change_id = NewOrderId();
  if (!node_ || TimeWithoutQuorum(now) > kQuorumPatience) {
    FinishZoneOrder(*pending, std::nullopt);
    return;
  }
  zone_order_exchanges_.insert(exchange);
  pending->command.base_version = BaseOfOrder(now, sent_after);
  if (!MayRaiseBase(now, sent_after) && IsOrderOvertaken(pending->command)) {
    FinishZoneOrder(*pending, Overtaken());
    return;
  }
  if (MayHaveBeenHeldByProxy(pending->command)) {
    loop_.After(kCloseDelay, [this, pending] { ProposeZoneOrder(pending); });
  } else {
    ProposeZoneOrder(pending);
  }
}

// The caller of a late order has usually had it, and then its opposite,
// acknowledged by other hosts.
bool ControlHost::MayHaveBeenHeldByProxy(const ControlCommand& order) const {
  const auto commands = node_->CommandsAfter(node_->first_index() - 1);
  const std::int64_t now_s = std::max(state_.time_s(), WallSecondsNow());
  return commands &&
         IsRepeatedReversal(order, *commands, now_s - kMaxProxyDelayS);
}

// What was applied here until the caller had waited for long enough to turn to
// another host is older than the order, or was given beside it.
LogIndex ControlHost::BaseOfOrder(Instant now, Instant sent_after) const {
  constexpr LogIndex kFirst = 1;
  return std::max(kFirst, applied_history_.At(std::min(
                              now, sent_after + kAcknowledgeDeadline)));
}

// Where compaction has removed later orders, one that would change nothing is
// harmless.
bool ControlHost::IsOrderOvertaken(const ControlCommand& order) const {
  const auto later = node_->CommandsAfter(order.base_version);
  if (later) {
    return IsOvertaken(order, *later);
  }
  const bool evacuated =
      std::ranges::find(state_.evacuated_zones(), order.zone,
                        &EvacuatedZone::zone) != state_.evacuated_zones().end();
  return evacuated != (order.kind == CommandKind::kEvacuate);
}

// A host that lags by a moment takes an order for overtaken that follows at
// once upon another: the order is tried again while its base may still rise.
void ControlHost::ProposeZoneOrder(
    const std::shared_ptr<PendingZoneOrder>& pending) {
  const Instant now = MonotonicNow();
  const Instant give_up = pending->received_at + kAcknowledgeDeadline;
  if (!zone_order_exchanges_.contains(pending->exchange)) {
    LogZoneOrder(*pending, "abandoned");
    return;
  }
  if (!node_ || now >= give_up) {
    FinishZoneOrder(*pending, std::nullopt);
    return;
  }
  pending->command.base_version = BaseOfOrder(now, pending->sent_after);
  const auto decide = [this,
                       pending](const std::optional<CommandResult>& result) {
    const bool overtaken =
        result && result->status == CommandStatus::kOvertaken;
    if (!result ||
        (overtaken && MayRaiseBase(MonotonicNow(), pending->sent_after))) {
      loop_.After(kProposeRetryDelay,
                  [this, pending] { ProposeZoneOrder(pending); });
    } else {
      FinishZoneOrder(*pending, result);
    }
  };
  if (IsOrderOvertaken(pending->command)) {
    decide(Overtaken());
    return;
  }
  ProposeOnce(Encode(pending->command), give_up, decide);
}

void ControlHost::FinishZoneOrder(const PendingZoneOrder& pending,
                                  const std::optional<CommandResult>& result) {
  zone_order_exchanges_.erase(pending.exchange);
  LogZoneOrder(pending, OutcomeName(result));
  const CommandStatus status =
      result ? result->status : CommandStatus::kUnknown;
  if (status == CommandStatus::kAccepted ||
      status == CommandStatus::kUnchanged) {
    metrics_.OnDecided(MonotonicNow() - pending.received_at);
    Answer(pending.exchange, "{}");
  } else if (status == CommandStatus::kConflict) {
    AnswerError(pending.exchange, {ErrorKind::kBadRequest, result->detail, {}});
  } else if (status == CommandStatus::kOvertaken) {
    AnswerError(pending.exchange,
                {ErrorKind::kOvertaken,
                 "the order may be older than the newest one for the zone",
                 kAcknowledgeRetryAfter});
  } else {
    AnswerError(pending.exchange,
                {ErrorKind::kNoQuorum, "no quorum of control hosts answered",
                 kAcknowledgeRetryAfter});
  }
}

void ControlHost::LogZoneOrder(const PendingZoneOrder& pending,
                               const char* outcome) {
  const bool evacuate = pending.command.kind == CommandKind::kEvacuate;
  log_.Write(EventKind::kZoneOrder,
             {{"zone", pending.command.zone},
              {"evacuate", evacuate},
              {"outcome", outcome},
              {"base", pending.command.base_version},
              {"age_at_most_ms", pending.received_at - pending.sent_after},
              {"after_ms", MonotonicNow() - pending.received_at}});
  metrics_.OnCall(evacuate ? "evacuate_zone" : "readmit_zone", outcome);
}

}  // namespace snipeworks
