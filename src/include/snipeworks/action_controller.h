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

/// A non-repeatable request of a caller, such as an order.
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

/// The creation time in an idempotency key, in Unix seconds; nothing if the key
/// is malformed.
std::optional<std::int64_t> KeyCreationSeconds(const std::string& key);

/// The answer of an action that ran, stored under its key.
struct ActionAnswer {
  std::string body;       ///< JSON built from the target's answer.
  bool replayed = false;  ///< True if an earlier request ran the action.

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

/// Commit the outcome to the control log; retry until it is committed.
struct RecordOutcome {
  ControlCommand command;
};

/// The result of an action.
struct FinishAction {
  RequestId id = 0;
  Result<ActionAnswer> result;
};

using ActionStep =
    std::variant<ClaimKey, SendAction, RecordOutcome, FinishAction>;

/// Provides targets for actions and tracks their load.
class ActionTargetPool {
 public:
  virtual ~ActionTargetPool() = default;
  /// Acquires a target that is not in `tried` and counts its load. Fails if
  /// there is none.
  virtual Result<ActionTarget> Acquire(
      Instant now,
      const ActionTargetQuery& query,
      const std::vector<std::string>& tried) = 0;
  /// Releases `target` after its attempt has ended.
  virtual void Release(Instant now,
                       const ActionTargetQuery& query,
                       const ActionTarget& target,
                       const AttemptOutcome& outcome,
                       Duration latency) = 0;
};

/// Runs non-repeatable requests: claims the idempotency key first and sends to
/// one target at a time, to the next one only with proof that the previous one
/// did not run the request. Does no I/O and reads no clock.
class ActionController {
 public:
  /// `host` and `incarnation` make the owners of claims unique across hosts and
  /// restarts.
  ActionController(std::string host,
                   std::uint64_t incarnation,
                   ActionTargetPool& targets);

  void Submit(Instant now, ActionRequest request);
  /// The result of a claim; nothing if no control host answered in time.
  void OnClaimResult(Instant now,
                     RequestId request,
                     const std::optional<CommandResult>& result);
  void OnOutcome(Instant now, AttemptId attempt, const AttemptOutcome& outcome);
  void Tick(Instant now);
  std::optional<Instant> NextDue() const { return timers_.NextDue(); }
  std::vector<ActionStep> TakeSteps();

  /// Number of actions without a final outcome.
  std::size_t running() const { return running_.size(); }

 private:
  enum class Phase { kClaiming, kSending };

  struct RunningAction {
    ActionRequest request;
    Phase phase = Phase::kClaiming;
    Instant deadline{};
    std::string owner;
    ActionTargetQuery target_query;
    std::vector<std::string> tried;
    ActionTarget target;  ///< Of the latest attempt.
    AttemptId attempt = 0;
    Instant sent{};
    bool answered = false;
  };

  void Send(Instant now, RunningAction& action);
  void Record(const RunningAction& action,
              ClaimState state,
              const std::string& body);
  void Answer(RunningAction& action, Result<ActionAnswer> result);
  void FinishNotRun(RunningAction& action, Error error);
  ControlCommand CommandFor(const RunningAction& action,
                            CommandKind kind) const;

  std::string host_;
  std::uint64_t incarnation_;
  ActionTargetPool& targets_;
  std::map<RequestId, RunningAction> running_;
  std::map<AttemptId, RequestId> attempts_;
  TimerQueue<RequestId> timers_;
  std::vector<ActionStep> steps_;
  AttemptId next_attempt_ = 1;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ACTION_CONTROLLER_H_
