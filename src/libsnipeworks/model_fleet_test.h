#ifndef SNIPEWORKS_LIBSNIPEWORKS_MODEL_FLEET_TEST_H_
#define SNIPEWORKS_LIBSNIPEWORKS_MODEL_FLEET_TEST_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "model_traffic_test.h"
#include "snipeworks/condition_aggregator.h"
#include "snipeworks/random.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// A simulated target with slots, a queue, a speed and periodic pauses.
struct ModelTarget {
  Announcement announcement;
  std::size_t queue_limit = 18;
  Duration work = std::chrono::milliseconds(20);
  double slowdown = 1.0;
  bool unresponsive = false;         ///< Accepts requests and never answers.
  std::size_t failing_percent = 0;   ///< Share of answers that are errors.
  std::size_t shedding_percent = 0;  ///< Share of requests refused at once.
  /// Requests per second that the target states in its answers; none if unset.
  std::optional<double> limit;
  Duration pause{};
  Duration pause_every{};
  Duration pause_phase{};

  struct Job {
    std::size_t host = 0;
    AttemptId attempt = 0;
    AttemptCommand command;
    bool ended = false;
  };
  std::deque<std::shared_ptr<Job>> waiting;
  std::size_t running = 0;
  std::vector<Instant> arrivals;

  /// The most arrivals within `length`, from the time `from` on.
  std::size_t MostArrivals(Instant from, Duration length) const {
    std::size_t most = 0;
    auto begin = std::ranges::lower_bound(arrivals, from);
    for (auto end = begin; end != arrivals.end(); ++end) {
      while (*end - *begin >= length) {
        ++begin;
      }
      most = std::max(most, static_cast<std::size_t>(end - begin) + 1);
    }
    return most;
  }
};

/// Replays a seeded trace of requests over real SearchControllers, one for each
/// entry host, against simulated targets under a fake clock.
class ModelFleet {
 public:
  ModelFleet(std::uint64_t seed, std::size_t hosts, std::size_t zones)
      : random_(seed), zones_(zones) {
    for (std::size_t i = 0; i < hosts; ++i) {
      SearchControllerConfig config;
      config.host = "entry-" + std::to_string(i);
      config.fleet_hosts = static_cast<std::uint32_t>(hosts);
      config.zone = ZoneOf(i);
      config.seed = seed * 1000 + i;
      config.spare_connections = 0;
      config.leases = false;
      hosts_.push_back(std::make_unique<SearchController>(config));
    }
  }

  /// Adds one target in each zone for each of `groups` groups "g0", "g1", ...
  void AddTargets(std::size_t groups, const ModelTarget& target_template) {
    for (std::size_t group = 0; group < groups; ++group) {
      for (std::size_t zone = 0; zone < zones_; ++zone) {
        ModelTarget target = target_template;
        Announcement& announced = target.announcement;
        announced.group = "g" + std::to_string(group);
        announced.target = announced.group + "-" + std::to_string(zone);
        announced.zone = ZoneOf(zone);
        announced.address = "10.0.0.1:80";
        announced.incarnation = 1;
        announced.sequence = 1;
        if (target.pause_every > Duration{}) {
          target.pause_phase = Duration(static_cast<std::int64_t>(random_.Below(
              static_cast<std::size_t>(target.pause_every.count()))));
        }
        targets_[announced.target] = target;
        for (auto& host : hosts_) {
          host->Announce(now_, announced);
        }
      }
    }
  }

  ModelTarget& target(const std::string& name) { return targets_.at(name); }
  Instant now() const { return now_; }

  /// Tells all hosts that the target has terminated.
  void RemoveTarget(const std::string& name) {
    Announcement& announced = targets_.at(name).announcement;
    announced.state = TargetState::kGone;
    ++announced.sequence;
    for (auto& host : hosts_) {
      host->Announce(now_, announced);
    }
  }

  /// From now on hosts report their samples to a ConditionAggregator every
  /// `interval` and receive the conditions that it derives from all of them.
  void ShareConditions(Duration interval) {
    ScheduleAt(now_ + interval, [this, interval] {
      for (auto& host : hosts_) {
        condition_aggregator_.Add(now_, host->TakeSamples());
      }
      const std::uint64_t known = condition_aggregator_.serial();
      condition_aggregator_.Publish(now_);
      if (condition_aggregator_.serial() > known) {
        const auto conditions = condition_aggregator_.ChangesSince(known);
        for (auto& host : hosts_) {
          host->OnConditions(now_, conditions);
        }
      }
      ShareConditions(interval);
    });
  }

  /// A plan over the groups "g0", "g1", ... with a soft deadline at
  /// `objective`.
  std::shared_ptr<SearchPlan> NewPlan(std::size_t groups, Duration objective) {
    auto plan = std::make_shared<SearchPlan>();
    plan->name = "route";
    plan->version = 1;
    for (std::size_t i = 0; i < groups; ++i) {
      plan->groups.push_back("g" + std::to_string(i));
    }
    GroupPolicy& policy = plan->policy;
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(objective);
    policy.answer = static_cast<std::int64_t>(AnswerRule::kSoftDeadline);
    policy.soft_deadline_ms = millis.count();
    policy.objective_ms = millis.count();
    policy.min_coverage_permille = 890;
    policy.max_attempts = 2;
    policy.canary = static_cast<std::int64_t>(Canary::kSuspected);
    policy.probe_silent = 0;
    policy.slow_start_ms = 0;
    policy.hedge_percentile = 95;
    policy.extra_attempts_percent = 20;
    policy.extra_attempts_slack = 58;
    policy.other_zone_percent = 200;
    policy.eject_ms = 1000;
    return plan;
  }

  /// Applies `change` to the fleet at the time `after` of the next replay.
  void ScheduleAfter(Duration after, std::function<void(ModelFleet&)> change) {
    ScheduleAt(now_ + after,
               [this, change = std::move(change)] { change(*this); });
  }

  /// Applies `change` to every host.
  void ForEachHost(const std::function<void(SearchController&)>& change) {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      change(*hosts_[i]);
      ExecuteActions(i);
    }
  }

  /// Tells all hosts what the target announces now.
  void Announce(ModelTarget& target) {
    ++target.announcement.sequence;
    for (auto& host : hosts_) {
      host->Announce(now_, target.announcement);
    }
  }

  /// Applies `change` to every target.
  void ForEachTarget(const std::function<void(ModelTarget&)>& change) {
    for (auto& [name, target] : targets_) {
      change(target);
    }
  }

  /// Sends `per_second` requests for `length`, then runs until all have ended.
  ReplayReport Replay(const std::shared_ptr<const SearchPlan>& plan,
                      double per_second,
                      Duration length) {
    ModelTraffic traffic;
    traffic.plan = plan;
    traffic.per_second = per_second;
    return Replay({traffic}, length).front();
  }

  /// Sends all of `traffic` concurrently and returns a report for each.
  /// `arrivals`, `extra` and `worst_budget_use` cover all kinds together.
  std::vector<ReplayReport> Replay(const std::vector<ModelTraffic>& traffic,
                                   Duration length) {
    workloads_.clear();
    for (const ModelTraffic& one : traffic) {
      workloads_.push_back({one, {}, 0.0});
    }
    arrivals_ = 0;
    extra_ = 0;
    crossings_ = 0;
    start_ = now_;
    const Instant end = now_ + length;
    Duration longest{};
    for (std::size_t i = 0; i < workloads_.size(); ++i) {
      ScheduleNext(i, end);
      longest = std::max(longest, traffic[i].deadline);
    }
    Run(end + 2 * longest + std::chrono::milliseconds(200));
    std::vector<ReplayReport> reports;
    for (Workload& workload : workloads_) {
      ReplayReport& report = workload.report;
      const auto answered = static_cast<double>(report.in_time + report.late);
      report.coverage = answered > 0 ? workload.coverage_sum / answered : 0.0;
      report.utility /= std::max(1.0, static_cast<double>(report.requests));
      report.arrivals = arrivals_;
      report.extra = extra_;
      report.crossings = crossings_;
      report.worst_budget_use = WorstBudgetUse();
      reports.push_back(report);
    }
    return reports;
  }

 private:
  struct Workload {
    ModelTraffic traffic;
    ReplayReport report;
    double coverage_sum = 0.0;
  };

  // One attempt by a caller.
  struct CallerAttempt {
    std::size_t workload = 0;
    std::size_t host = 0;
    std::size_t tries_left = 0;
    Instant first_at{};  ///< Time of the caller's first attempt.
    Instant at{};
    bool prompt = true;  ///< All refusals so far were prompt.
    std::map<PartNumber, int> parts;
  };

  std::string ZoneOf(std::size_t i) const {
    return "zone-" + std::to_string(i % zones_);
  }

  void ScheduleAt(Instant when, std::function<void()> change) {
    events_.emplace(when, std::move(change));
  }

  void ScheduleNext(std::size_t workload, Instant end) {
    const double gap = -std::log(1.0 - random_.Unit()) /
                       workloads_[workload].traffic.per_second;
    const ModelTraffic& traffic = workloads_[workload].traffic;
    const Instant when = std::max(now_, start_ + traffic.from) +
                         Duration(static_cast<std::int64_t>(gap * 1e6));
    if (when >= std::min(end, start_ + traffic.until)) {
      return;
    }
    ScheduleAt(when, [this, workload, end] {
      ++workloads_[workload].report.requests;
      CountInSecond(workloads_[workload].report.requests_by_second, now_);
      CallerAttempt caller_attempt;
      caller_attempt.workload = workload;
      caller_attempt.tries_left = workloads_[workload].traffic.tries - 1;
      caller_attempt.first_at = now_;
      SubmitAttempt(caller_attempt);
      ScheduleNext(workload, end);
    });
  }

  std::size_t PickHost(const ModelTraffic& traffic) {
    if (traffic.first_host_share > 0.0 &&
        random_.Unit() < traffic.first_host_share) {
      return 0;
    }
    return std::min(random_.Below(hosts_.size()),
                    random_.Below(hosts_.size() * 2)) %
           hosts_.size();
  }

  void SubmitAttempt(CallerAttempt caller_attempt) {
    const ModelTraffic& traffic = workloads_[caller_attempt.workload].traffic;
    caller_attempt.at = now_;
    caller_attempt.host = PickHost(traffic);
    ++workloads_[caller_attempt.workload].report.attempts;
    SearchRequest request;
    request.id = next_request_++;
    request.group = traffic.plan->name;
    request.plan = traffic.plan;
    request.request_class = traffic.request_class;
    request.customer_rank = traffic.customer_rank;
    request.budget = traffic.deadline - (now_ - caller_attempt.first_at);
    auto forwarded = std::make_shared<ForwardedRequest>();
    forwarded->fingerprint = request.id;
    request.forwarded = forwarded;
    caller_attempts_[request.id] = caller_attempt;
    hosts_[caller_attempt.host]->Submit(now_, request);
    ExecuteActions(caller_attempt.host);
  }

  void Run(Instant until) {
    while (now_ < until) {
      Instant next = until;
      if (!events_.empty()) {
        next = std::min(next, events_.begin()->first);
      }
      for (const auto& host : hosts_) {
        if (auto due = host->NextDue()) {
          next = std::min(next, *due);
        }
      }
      now_ = std::max(now_, next);
      while (!events_.empty() && events_.begin()->first <= now_) {
        auto node = events_.extract(events_.begin());
        node.mapped()();
      }
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const auto due = hosts_[i]->NextDue();
        if (due && *due <= now_) {
          hosts_[i]->Tick(now_);
          ExecuteActions(i);
        }
      }
    }
  }

  void ExecuteActions(std::size_t host) {
    for (const SearchAction& action : hosts_[host]->TakeActions()) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        SendToTarget(host, start->command);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        Cancel(host, cancel->id);
      } else if (const auto* finish = std::get_if<FinishSearch>(&action)) {
        Finish(*finish);
      }
    }
  }

  Duration LinkLatency(std::size_t host, const ModelTarget& target) const {
    return ZoneOf(host) == target.announcement.zone ? Duration(200)
                                                    : Duration(900);
  }

  void SendToTarget(std::size_t host, const AttemptCommand& command) {
    ModelTarget& target = targets_.at(command.target);
    auto job = std::make_shared<ModelTarget::Job>();
    job->host = host;
    job->attempt = command.id;
    job->command = command;
    jobs_[{host, command.id}] = job;
    ScheduleAt(now_ + LinkLatency(host, target), [this, job, &target] {
      if (job->ended) {
        return;
      }
      ++arrivals_;
      target.arrivals.push_back(now_);
      crossings_ += ZoneOf(job->host) == target.announcement.zone ? 0 : 1;
      auto caller_attempt = caller_attempts_.find(job->command.request);
      const bool repeated =
          caller_attempt != caller_attempts_.end() &&
          caller_attempt->second.parts[job->command.part]++ > 0;
      arrivals_by_group_[target.announcement.group].push_back({now_, repeated});
      extra_ += repeated ? 1 : 0;
      if (target.unresponsive) {
        return;
      }
      if (target.waiting.size() >= target.queue_limit ||
          random_.Below(100) < target.shedding_percent) {
        Answer(job, AttemptStatus::kShed);
        return;
      }
      target.waiting.push_back(job);
      StartWaitingJobs(target);
    });
  }

  void StartWaitingJobs(ModelTarget& target) {
    while (target.running < target.announcement.slots &&
           !target.waiting.empty()) {
      const auto job = target.waiting.front();
      target.waiting.pop_front();
      if (job->ended) {
        continue;
      }
      ++target.running;
      // Service times vary from 0.5 to 1.5 times `work`; 1% take five times as
      // long.
      double share = 0.5 + random_.Unit();
      share *= random_.Below(100) == 0 ? 5.0 : 1.0;
      const auto work = Duration(static_cast<std::int64_t>(
          static_cast<double>(target.work.count()) * share * target.slowdown));
      ScheduleAt(now_ + work + PauseDuring(target, work), [this, job, &target] {
        --target.running;
        const bool fails = random_.Below(100) < target.failing_percent;
        Answer(job, fails ? AttemptStatus::kFailed : AttemptStatus::kAnswered);
        StartWaitingJobs(target);
      });
    }
  }

  // The time by which pauses delay work that starts now.
  Duration PauseDuring(const ModelTarget& target, Duration work) const {
    if (target.pause_every == Duration{}) {
      return {};
    }
    const Duration phase(
        (now_.time_since_epoch() + target.pause_phase).count() %
        target.pause_every.count());
    if (phase < target.pause) {
      return target.pause - phase;
    }
    return phase + work > target.pause_every ? target.pause : Duration{};
  }

  void Answer(const std::shared_ptr<ModelTarget::Job>& job,
              AttemptStatus status) {
    if (job->ended) {
      return;
    }
    const ModelTarget& target = targets_.at(job->command.target);
    AttemptOutcome outcome;
    outcome.status = status;
    outcome.snapshot = job->command.snapshot;
    outcome.part = job->command.part;
    outcome.documents = 1;
    outcome.load =
        ReportedLoad{static_cast<std::uint32_t>(target.running),
                     static_cast<std::uint32_t>(target.waiting.size()),
                     target.announcement.slots};
    outcome.stated_limit = StatedLimit{target.limit};
    if (status == AttemptStatus::kAnswered) {
      outcome.answer = std::make_shared<TargetAnswer>();
    }
    ScheduleAt(now_ + LinkLatency(job->host, target),
               [this, job, outcome] { EndAttempt(job, outcome); });
  }

  void Cancel(std::size_t host, AttemptId attempt) {
    auto found = jobs_.find({host, attempt});
    if (found != jobs_.end()) {
      const auto job = found->second;
      ScheduleAt(now_,
                 [this, job] { EndAttempt(job, {AttemptStatus::kCancelled}); });
    }
  }

  void EndAttempt(const std::shared_ptr<ModelTarget::Job>& job,
                  const AttemptOutcome& outcome) {
    if (std::exchange(job->ended, true)) {
      return;
    }
    jobs_.erase({job->host, job->attempt});
    hosts_[job->host]->OnOutcome(now_, job->attempt, outcome);
    ExecuteActions(job->host);
  }

  void Finish(const FinishSearch& finish) {
    auto node = caller_attempts_.extract(finish.id);
    const CallerAttempt& caller_attempt = node.mapped();
    Workload& workload = workloads_[caller_attempt.workload];
    if (finish.result) {
      RecordAnswer(caller_attempt, finish.result->coverage);
      return;
    }
    if (RowOf(finish.result.error().kind).execution !=
        ExecutionStatus::kNotRun) {
      ++workload.report.failed;
      return;
    }
    const Duration took = now_ - caller_attempt.at;
    const bool prompt = took <= ObjectiveOf(caller_attempt) / 4;
    ++workload.report.refused;
    workload.report.slow_refusals += prompt ? 0 : 1;
    workload.report.refusals.push_back(took);
    ScheduleRetry(caller_attempt, prompt,
                  finish.result.error().retry_after.value_or(Duration{}));
  }

  // Callers that ignore the advised wait retry within milliseconds.
  void ScheduleRetry(CallerAttempt caller_attempt,
                     bool prompt,
                     Duration advised_wait) {
    const ModelTraffic& traffic = workloads_[caller_attempt.workload].traffic;
    const Duration wait =
        traffic.honors_retry_after
            ? traffic.fixed_retry_after.value_or(advised_wait)
            : Duration(static_cast<std::int64_t>(random_.Unit() * 10e3));
    const Duration left =
        traffic.deadline - (now_ + wait - caller_attempt.first_at);
    if (caller_attempt.tries_left == 0 || left <= Duration{}) {
      return;
    }
    --caller_attempt.tries_left;
    caller_attempt.prompt &= prompt;
    caller_attempt.parts.clear();
    ScheduleAt(now_ + wait,
               [this, caller_attempt] { SubmitAttempt(caller_attempt); });
  }

  void CountInSecond(std::vector<std::size_t>& by_second, Instant when) const {
    const auto second =
        static_cast<std::size_t>((when - start_) / std::chrono::seconds(1));
    by_second.resize(std::max(by_second.size(), second + 1));
    ++by_second[second];
  }

  static Duration ObjectiveOf(const ModelTraffic& traffic) {
    return std::chrono::milliseconds(traffic.plan->policy.soft_deadline_ms);
  }
  Duration ObjectiveOf(const CallerAttempt& caller_attempt) const {
    return ObjectiveOf(workloads_[caller_attempt.workload].traffic);
  }

  void RecordAnswer(const CallerAttempt& caller_attempt,
                    const Coverage& coverage) {
    Workload& workload = workloads_[caller_attempt.workload];
    const double share = static_cast<double>(coverage.parts_answered) /
                         static_cast<double>(coverage.parts_total);
    workload.coverage_sum += share;
    // Timers fire at the objective itself.
    const Duration objective =
        ObjectiveOf(caller_attempt) + std::chrono::milliseconds(1);
    const bool retried = caller_attempt.at != caller_attempt.first_at;
    const bool in_time = now_ - caller_attempt.first_at <= objective;
    const bool retry_in_time = retried && now_ - caller_attempt.at <= objective;
    (in_time ? workload.report.in_time : workload.report.late) += 1;
    if (in_time) {
      CountInSecond(workload.report.in_time_by_second, caller_attempt.first_at);
    }
    workload.report.answered_on_retry += retry_in_time ? 1 : 0;
    constexpr double kLateValue = 0.1;
    double value = in_time ? 1.0 : kLateValue;
    if (!in_time && retry_in_time && caller_attempt.prompt) {
      value = (1.0 + kLateValue) / 2.0;
    }
    workload.report.utility += value * share * share;
  }

  // Compares windows that end with an arrival against the fleet's budget.
  double WorstBudgetUse() const {
    const ExtraAttemptLimits limits =
        workloads_.front().traffic.plan->policy.extra_limits();
    double worst = 0.0;
    for (const auto& [group, arrivals] : arrivals_by_group_) {
      for (std::size_t end = 0; end < arrivals.size(); end += 50) {
        double primary = 0;
        double extra = 0;
        for (const auto& [when, repeated] : arrivals) {
          const bool inside = when <= arrivals[end].first &&
                              when > arrivals[end].first - limits.window;
          (repeated ? extra : primary) += inside ? 1 : 0;
        }
        worst =
            std::max(worst, extra / (limits.ratio * primary + limits.slack));
      }
    }
    return worst;
  }

  Random random_;
  std::size_t zones_;
  Instant now_{std::chrono::seconds(1000)};
  std::vector<std::unique_ptr<SearchController>> hosts_;
  std::map<std::string, ModelTarget> targets_;
  ConditionAggregator condition_aggregator_;
  std::multimap<Instant, std::function<void()>> events_;
  std::map<std::pair<std::size_t, AttemptId>, std::shared_ptr<ModelTarget::Job>>
      jobs_;
  std::unordered_map<RequestId, CallerAttempt> caller_attempts_;
  std::map<std::string, std::vector<std::pair<Instant, bool>>>
      arrivals_by_group_;
  RequestId next_request_ = 1;
  std::vector<Workload> workloads_;
  Instant start_{};
  std::size_t arrivals_ = 0;
  std::size_t extra_ = 0;
  std::size_t crossings_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_MODEL_FLEET_TEST_H_
