#ifndef SNIPEWORKS_ACTION_CONTROLLER_H_
#define SNIPEWORKS_ACTION_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "snipeworks/attempt.h"
#include "snipeworks/clock.h"
#include "snipeworks/control_messages.h"
#include "snipeworks/error.h"
#include "snipeworks/search_controller.h"
#include "snipeworks/timer_queue.h"

namespace snipeworks {

/// A caller's request that is not repeatable, such as an order.
struct ActionRequest {
  RequestId id = 0;
  std::string group;
  std::string caller;
  std::string key;  ///< Idempotency key, "UNIX-SECONDS.TOKEN".
  std::string body;
  Duration budget = std::chrono::seconds(5);
  std::string trace_parent;

  friend bool operator==(const ActionRequest&, const ActionRequest&) = default;
};

/// When the key was made, as it says itself; nothing if it is malformed.
std::optional<std::int64_t> KeyCreationSeconds(const std::string& key);

/// The outcome of an action that ran, kept under its key.
struct ActionAnswer {
  std::string body;       ///< JSON from the target.
  bool replayed = false;  ///< True if an earlier request ran it.

  friend bool operator==(const ActionAnswer&, const ActionAnswer&) = default;
};

/// Commit `command` to the control log; OnClaimResult must follow.
struct ClaimKey {
  RequestId id = 0;
  ControlCommand command;
};

/// Send the action to its target; OnOutcome must follow.
struct SendAction {
  AttemptCommand command;
};

/// Commit the outcome, again and again until it is kept.
struct RecordOutcome {
  ControlCommand command;
};

/// The answer of an action.
struct FinishAction {
  RequestId id = 0;
  Result<ActionAnswer> result;
};

using ActionStep =
    std::variant<ClaimKey, SendAction, RecordOutcome, FinishAction>;

/// Gives targets to an action and keeps count of their load.
class ActionTargetPool {
 public:
  virtual ~ActionTargetPool() = default;
  /// A target that is not in `tried`, with its load counted, or why there is
  /// none.
  virtual Result<ActionTarget> Acquire(
      Instant now,
      const ActionTargetQuery& need,
      const std::vector<std::string>& tried) = 0;
  /// The attempt at `target` has ended.
  virtual void Release(Instant now,
                       const ActionTargetQuery& need,
                       const ActionTarget& target,
                       const AttemptOutcome& outcome,
                       Duration latency) = 0;
};

/// Runs requests that are not repeatable: claims the key first, sends to one
/// target at a time, and to another only with proof that the first did not run
/// it. Does no I/O and reads no clock.
class ActionController {
 public:
  /// `host` and `incarnation` make owners unique over hosts and restarts.
  ActionController(std::string host,
                   std::uint64_t incarnation,
                   ActionTargetPool& targets);

  void Submit(Instant now, ActionRequest request);
  /// The result of a claim, or nothing if no control host answered in time.
  void OnClaimResult(Instant now,
                     RequestId request,
                     const std::optional<CommandResult>& result);
  void OnOutcome(Instant now, AttemptId attempt, const AttemptOutcome& outcome);
  void Tick(Instant now);
  std::optional<Instant> NextDue() const { return timers_.NextDue(); }
  std::vector<ActionStep> TakeSteps();

  /// Actions that have no final outcome yet.
  std::size_t running() const { return running_.size(); }

 private:
  enum class Phase { kClaiming, kSending };

  struct Running {
    ActionRequest request;
    Phase phase = Phase::kClaiming;
    Instant deadline{};
    std::string owner;
    ActionTargetQuery need;
    std::vector<std::string> tried;
    ActionTarget target;  ///< Of the latest attempt.
    AttemptId attempt = 0;
    Instant sent{};
    bool answered = false;
  };

  void Send(Instant now, Running& action);
  void Record(const Running& action, ClaimState state, const std::string& body);
  void Answer(Running& action, Result<ActionAnswer> result);
  void Refuse(Running& action, Error error);
  ControlCommand CommandFor(const Running& action, CommandKind kind) const;

  std::string host_;
  std::uint64_t incarnation_;
  ActionTargetPool& targets_;
  std::map<RequestId, Running> running_;
  std::map<AttemptId, RequestId> attempts_;
  TimerQueue<RequestId> timers_;
  std::vector<ActionStep> steps_;
  AttemptId next_attempt_ = 1;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ACTION_CONTROLLER_H_
