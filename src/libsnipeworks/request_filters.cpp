#include "snipeworks/request_filters.h"

#include <algorithm>

#include "snipeworks/part_admission.h"
#include "snipeworks/retry_after.h"
#include "snipeworks/search_run.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxQueryBytes = std::size_t{16} * 1024;
constexpr Duration kMinBudget = milliseconds(1);
constexpr Duration kMaxBudget = milliseconds(60000);
constexpr Duration kNoTargetRetryAfter = milliseconds(1000);

}  // namespace

Result<void> SyntaxFilter::Apply(SearchContext& context) {
  const SearchRequest& request = context.request;
  if (request.plan) {
    return {};  // Checked by its interface, with its own limits.
  }
  if (request.query.empty()) {
    return Fail(ErrorKind::kBadRequest, "query: must not be empty");
  }
  if (request.query.size() > kMaxQueryBytes) {
    return Fail(ErrorKind::kTooLarge, "query: must have at most " +
                                          std::to_string(kMaxQueryBytes) +
                                          " bytes");
  }
  const bool out_of_range = request.budget && (*request.budget < kMinBudget ||
                                               *request.budget > kMaxBudget);
  if (out_of_range) {
    return Fail(ErrorKind::kBadRequest, "deadline: must be 1 to 60000 ms");
  }
  return {};
}

Result<void> SnapshotFilter::Apply(SearchContext& context) {
  const SearchRequest& request = context.request;
  context.group = find_group_(request.group);
  if (context.group == nullptr) {
    return Fail(ErrorKind::kUnknownGroup,
                "no target has announced the group " + request.group,
                kNoTargetRetryAfter);
  }
  const GroupPolicy& policy = context.group->policy;
  context.budget = request.budget.value_or(milliseconds(policy.deadline_ms));
  context.snapshot =
      request.plan ? context.group->Snapshot(context.now, view_, request.plan)
                   : context.group->Snapshot(context.now, view_);
  std::size_t held = 0;
  std::size_t needed = 1;
  if (context.snapshot) {
    const auto& replicas = context.snapshot->replicas;
    held = static_cast<std::size_t>(std::ranges::count_if(
        replicas, [](const auto& holders) { return !holders.empty(); }));
    needed = NeededParts(policy, replicas.size());
  }
  if (held < needed) {
    const std::vector<std::string> own_group = {request.group};
    const bool evacuated =
        std::ranges::any_of(request.plan ? request.plan->groups : own_group,
                            [&](const std::string& group) {
                              return view_.HasEvacuated(context.now, group);
                            });
    return Fail(ErrorKind::kNoTarget,
                "live targets hold " + std::to_string(held) + " parts of " +
                    request.group + ", " + std::to_string(needed) +
                    " are needed" +
                    (evacuated ? "; others are in evacuated zones" : ""),
                kNoTargetRetryAfter);
  }
  return {};
}

Result<void> QuarantineFilter::Apply(SearchContext& context) {
  using Verdict = PoisonTracker::Verdict;
  const SearchRequest& request = context.request;
  context.fingerprint = request.forwarded
                            ? request.forwarded->fingerprint
                            : FingerprintOf(request.group, request.query);
  context.verdict = poison_.VerdictOf(context.now, context.fingerprint,
                                      context.snapshot->id());
  const bool refused = context.verdict == Verdict::kQuarantined ||
                       context.verdict == Verdict::kTestedElsewhere;
  if (!refused) {
    return {};
  }
  return Fail(ErrorKind::kQuarantined, "targets broke while running it",
              poison_.RefusedFor(context.now, context.fingerprint));
}

int AdmissionFilter::Capacity(Instant now,
                              const std::vector<std::string>& replicas) const {
  int capacity = 0;
  for (const std::string& name : replicas) {
    const TargetStats* stats = selector_.Stats(name);
    if (stats != nullptr && !stats->IsEjected(now)) {
      capacity += stats->concurrency_limit();
    }
  }
  return std::max(1, capacity);
}

std::vector<Duration> AdmissionFilter::ExpectedWaits(
    const SearchContext& context) const {
  const PinnedSnapshot& snapshot = *context.snapshot;
  const Priority priority = context.request.priority();
  std::vector<Duration> waits(snapshot.replicas.size());
  for (std::size_t i = 0; i < waits.size(); ++i) {
    const PartKey key = PartKeyOf(context.request, snapshot, i);
    GroupState::Backlog backlog;
    backlog.ahead = queue_.CountAhead(key, priority);
    if (selector_.any_limited()) {
      waits[i] =
          selector_.LimitWait(context.now, snapshot.replicas[i], backlog.ahead);
    }
    if (backlog.ahead == 0) {
      continue;
    }
    backlog.ahead_at_priority = queue_.CountAheadAtPriority(key, priority);
    backlog.capacity = Capacity(context.now, snapshot.replicas[i]);
    backlog.parts = waits.size();
    waits[i] = std::max(
        waits[i], context.group->ExpectedWait(context.now, priority, backlog));
  }
  return waits;
}

Result<void> AdmissionFilter::Apply(SearchContext& context) {
  const GroupPolicy& policy = context.group->policy;
  const bool may_wait = queue_.size() > 0 || selector_.any_limited();
  if (policy.admission == 0 || !may_wait) {
    return {};
  }
  Duration allowed = context.budget;
  if (policy.answer_rule() == AnswerRule::kSoftDeadline) {
    allowed =
        std::min<Duration>(allowed, milliseconds(policy.soft_deadline_ms));
  }
  const std::vector<Duration> waits = ExpectedWaits(context);
  PartAdmission admission = AdmitParts(
      {waits, NeededParts(policy, waits.size()),
       static_cast<std::size_t>(std::ranges::count_if(
           context.snapshot->replicas, &std::vector<std::string>::empty)),
       allowed, context.group->TypicalLatency()});
  if (admission.admitted) {
    context.left_out = std::move(admission.left_out);
    return {};
  }
  const RefusedRequest refused_request{
      context.request.request_class, admission.wait, context.budget,
      milliseconds(policy.deadline_ms), policy.return_latest_percent};
  // Without a queue, only limits of targets make a part wait.
  return Fail(ErrorKind::kOverloaded,
              queue_.size() > 0
                  ? "too many requests wait for this group"
                  : "the targets of a part limit the requests they take",
              DrawRetryAfter(random_, refused_request));
}

}  // namespace snipeworks
