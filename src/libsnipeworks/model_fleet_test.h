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
#include "snipeworks/condition_board.h"
#include "snipeworks/random.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// One target of a model fleet: slots, a queue, a speed, pauses on its own
/// clock. Knows nothing of hosts.
struct ModelTarget {
  Announcement announcement;
  std::size_t queue_limit = 18;
  Duration work = std::chrono::milliseconds(20);
  double slow = 1.0;
  bool dark = false;                 ///< Takes requests and never answers.
  std::size_t failing_percent = 0;   ///< Of its answers are errors.
  std::size_t shedding_percent = 0;  ///< Of requests are refused at once.
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
};

/// Replays a seeded trace of requests over real SearchControllers, one for each
/// entry host, against model targets under a fake clock.
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

  /// One target in each zone for each of `groups` groups "g0", "g1", ...
  void AddTargets(std::size_t groups, const ModelTarget& like) {
    for (std::size_t group = 0; group < groups; ++group) {
      for (std::size_t zone = 0; zone < zones_; ++zone) {
        ModelTarget target = like;
        Announcement& news = target.announcement;
        news.group = "g" + std::to_string(group);
        news.target = news.group + "-" + std::to_string(zone);
        news.zone = ZoneOf(zone);
        news.address = "10.0.0.1:80";
        news.incarnation = 1;
        news.sequence = 1;
        if (target.pause_every > Duration{}) {
          target.pause_phase = Duration(static_cast<std::int64_t>(random_.Below(
              static_cast<std::size_t>(target.pause_every.count()))));
        }
        targets_[news.target] = target;
        for (auto& host : hosts_) {
          host->Announce(now_, news);
        }
      }
    }
  }

  ModelTarget& target(const std::string& name) { return targets_.at(name); }

  /// From now on hosts tell a board what they see every `interval`, and learn
  /// from it what all of them have seen.
  void ShareConditions(Duration interval) {
    At(now_ + interval, [this, interval] {
      for (auto& host : hosts_) {
        board_.Add(now_, host->TakeSamples());
      }
      const std::uint64_t known = board_.serial();
      board_.Publish(now_);
      if (board_.serial() > known) {
        const auto conditions = board_.ChangesSince(known);
        for (auto& host : hosts_) {
          host->OnConditions(now_, conditions);
        }
      }
      ShareConditions(interval);
    });
  }

  /// `plan` is what requests ask for, `budget` their deadline.
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

  /// Does `what` to the fleet `after` a while of the next replay.
  void Later(Duration after, std::function<void(ModelFleet&)> what) {
    At(now_ + after, [this, what = std::move(what)] { what(*this); });
  }

  /// Does `what` to every target.
  void ForEachTarget(const std::function<void(ModelTarget&)>& what) {
    for (auto& [name, target] : targets_) {
      what(target);
    }
  }

  /// Sends `per_second` requests for `length`, then lets all of them end.
  ReplayReport Replay(const std::shared_ptr<const SearchPlan>& plan,
                      double per_second,
                      Duration length) {
    ModelTraffic traffic;
    traffic.plan = plan;
    traffic.per_second = per_second;
    return Replay({traffic}, length).front();
  }

  /// Sends all of `traffic` at once; a report for each. Arrivals at targets,
  /// extra ones and the use of the budget are those of all kinds together.
  std::vector<ReplayReport> Replay(const std::vector<ModelTraffic>& traffic,
                                   Duration length) {
    kinds_.clear();
    for (const ModelTraffic& one : traffic) {
      kinds_.push_back({one, {}, 0.0});
    }
    arrivals_ = 0;
    extra_ = 0;
    begun_ = now_;
    const Instant end = now_ + length;
    Duration longest{};
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
      ScheduleNext(i, end);
      longest = std::max(longest, traffic[i].deadline);
    }
    Run(end + 2 * longest + std::chrono::milliseconds(200));
    std::vector<ReplayReport> reports;
    for (Kind& kind : kinds_) {
      ReplayReport& report = kind.report;
      const auto answered = static_cast<double>(report.in_time + report.late);
      report.coverage = answered > 0 ? kind.coverage_sum / answered : 0.0;
      report.credit /= std::max(1.0, static_cast<double>(report.asked));
      report.arrivals = arrivals_;
      report.extra = extra_;
      report.worst_budget_use = WorstBudgetUse();
      reports.push_back(report);
    }
    return reports;
  }

 private:
  struct Kind {
    ModelTraffic traffic;
    ReplayReport report;
    double coverage_sum = 0.0;
  };

  // One attempt of a caller.
  struct Asked {
    std::size_t kind = 0;
    std::size_t host = 0;
    std::size_t tries_left = 0;
    Instant first_at{};  ///< Of the caller's first attempt.
    Instant at{};
    bool prompt = true;  ///< All refusals so far came at once.
    std::map<PartNumber, int> parts;
  };

  std::string ZoneOf(std::size_t i) const {
    return "zone-" + std::to_string(i % zones_);
  }

  void At(Instant when, std::function<void()> what) {
    events_.emplace(when, std::move(what));
  }

  void ScheduleNext(std::size_t kind, Instant end) {
    const double gap =
        -std::log(1.0 - random_.Unit()) / kinds_[kind].traffic.per_second;
    const ModelTraffic& traffic = kinds_[kind].traffic;
    const Instant when = std::max(now_, begun_ + traffic.from) +
                         Duration(static_cast<std::int64_t>(gap * 1e6));
    if (when >= std::min(end, begun_ + traffic.until)) {
      return;
    }
    At(when, [this, kind, end] {
      ++kinds_[kind].report.asked;
      Count(kinds_[kind].report.asked_in, now_);
      Asked asked;
      asked.kind = kind;
      asked.tries_left = kinds_[kind].traffic.tries - 1;
      asked.first_at = now_;
      Ask(asked);
      ScheduleNext(kind, end);
    });
  }

  std::size_t DrawHost(const ModelTraffic& traffic) {
    if (traffic.first_host_share > 0.0 &&
        random_.Unit() < traffic.first_host_share) {
      return 0;
    }
    return std::min(random_.Below(hosts_.size()),
                    random_.Below(hosts_.size() * 2)) %
           hosts_.size();
  }

  void Ask(Asked asked) {
    const ModelTraffic& traffic = kinds_[asked.kind].traffic;
    asked.at = now_;
    asked.host = DrawHost(traffic);
    ++kinds_[asked.kind].report.attempts;
    SearchRequest request;
    request.id = next_request_++;
    request.group = traffic.plan->name;
    request.plan = traffic.plan;
    request.request_class = traffic.request_class;
    request.budget = traffic.deadline - (now_ - asked.first_at);
    auto forwarded = std::make_shared<ForwardedRequest>();
    forwarded->fingerprint = request.id;
    request.forwarded = forwarded;
    asked_[request.id] = asked;
    hosts_[asked.host]->Submit(now_, request);
    Drain(asked.host);
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
          Drain(i);
        }
      }
    }
  }

  void Drain(std::size_t host) {
    for (const SearchAction& action : hosts_[host]->TakeActions()) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        Send(host, start->command);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        Cancel(host, cancel->id);
      } else if (const auto* finish = std::get_if<FinishSearch>(&action)) {
        Finish(*finish);
      }
    }
  }

  Duration LinkTo(std::size_t host, const ModelTarget& target) const {
    return ZoneOf(host) == target.announcement.zone ? Duration(200)
                                                    : Duration(900);
  }

  void Send(std::size_t host, const AttemptCommand& command) {
    ModelTarget& target = targets_.at(command.target);
    auto job = std::make_shared<ModelTarget::Job>();
    job->host = host;
    job->attempt = command.id;
    job->command = command;
    jobs_[{host, command.id}] = job;
    At(now_ + LinkTo(host, target), [this, job, &target] {
      if (job->ended) {
        return;
      }
      ++arrivals_;
      auto asked = asked_.find(job->command.request);
      const bool again =
          asked != asked_.end() && asked->second.parts[job->command.part]++ > 0;
      primary_[target.announcement.group].push_back({now_, again});
      extra_ += again ? 1 : 0;
      if (target.dark) {
        return;
      }
      if (target.waiting.size() >= target.queue_limit ||
          random_.Below(100) < target.shedding_percent) {
        Answer(job, AttemptStatus::kShed);
        return;
      }
      target.waiting.push_back(job);
      Work(target);
    });
  }

  void Work(ModelTarget& target) {
    while (target.running < target.announcement.slots &&
           !target.waiting.empty()) {
      const auto job = target.waiting.front();
      target.waiting.pop_front();
      if (job->ended) {
        continue;
      }
      ++target.running;
      // Between a half and one and a half of the work, rarely five times it.
      double share = 0.5 + random_.Unit();
      share *= random_.Below(100) == 0 ? 5.0 : 1.0;
      const auto work = Duration(static_cast<std::int64_t>(
          static_cast<double>(target.work.count()) * share * target.slow));
      At(now_ + work + PauseIn(target, work), [this, job, &target] {
        --target.running;
        const bool fails = random_.Below(100) < target.failing_percent;
        Answer(job, fails ? AttemptStatus::kFailed : AttemptStatus::kAnswered);
        Work(target);
      });
    }
  }

  // The part of a pause that falls into work that begins now.
  Duration PauseIn(const ModelTarget& target, Duration work) const {
    if (target.pause_every == Duration{}) {
      return {};
    }
    const Duration place(
        (now_.time_since_epoch() + target.pause_phase).count() %
        target.pause_every.count());
    if (place < target.pause) {
      return target.pause - place;
    }
    return place + work > target.pause_every ? target.pause : Duration{};
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
    if (status == AttemptStatus::kAnswered) {
      outcome.answer = std::make_shared<TargetAnswer>();
    }
    At(now_ + LinkTo(job->host, target),
       [this, job, outcome] { End(job, outcome); });
  }

  void Cancel(std::size_t host, AttemptId attempt) {
    auto found = jobs_.find({host, attempt});
    if (found != jobs_.end()) {
      const auto job = found->second;
      At(now_, [this, job] { End(job, {AttemptStatus::kCancelled}); });
    }
  }

  void End(const std::shared_ptr<ModelTarget::Job>& job,
           const AttemptOutcome& outcome) {
    if (std::exchange(job->ended, true)) {
      return;
    }
    jobs_.erase({job->host, job->attempt});
    hosts_[job->host]->OnOutcome(now_, job->attempt, outcome);
    Drain(job->host);
  }

  void Finish(const FinishSearch& finish) {
    auto node = asked_.extract(finish.id);
    const Asked& asked = node.mapped();
    Kind& kind = kinds_[asked.kind];
    if (finish.result) {
      TakeAnswer(asked, finish.result->coverage);
      return;
    }
    if (RowOf(finish.result.error().kind).execution !=
        ExecutionStatus::kNotRun) {
      ++kind.report.failed;
      return;
    }
    const Duration took = now_ - asked.at;
    const bool prompt = took <= ObjectiveOf(asked) / 4;
    ++kind.report.refused;
    kind.report.slow_refusals += prompt ? 0 : 1;
    kind.report.refusals.push_back(took);
    ComeAgain(asked, prompt,
              finish.result.error().retry_after.value_or(Duration{}));
  }

  // Callers that do not wait as they are told come within milliseconds.
  void ComeAgain(Asked asked, bool prompt, Duration told) {
    const ModelTraffic& traffic = kinds_[asked.kind].traffic;
    const Duration wait =
        traffic.patient
            ? traffic.told_always.value_or(told)
            : Duration(static_cast<std::int64_t>(random_.Unit() * 10e3));
    const Duration left = traffic.deadline - (now_ + wait - asked.first_at);
    if (asked.tries_left == 0 || left <= Duration{}) {
      return;
    }
    --asked.tries_left;
    asked.prompt &= prompt;
    asked.parts.clear();
    At(now_ + wait, [this, asked] { Ask(asked); });
  }

  void Count(std::vector<std::size_t>& by_second, Instant when) const {
    const auto second =
        static_cast<std::size_t>((when - begun_) / std::chrono::seconds(1));
    by_second.resize(std::max(by_second.size(), second + 1));
    ++by_second[second];
  }

  static Duration ObjectiveOf(const ModelTraffic& traffic) {
    return std::chrono::milliseconds(traffic.plan->policy.soft_deadline_ms);
  }
  Duration ObjectiveOf(const Asked& asked) const {
    return ObjectiveOf(kinds_[asked.kind].traffic);
  }

  void TakeAnswer(const Asked& asked, const Coverage& coverage) {
    Kind& kind = kinds_[asked.kind];
    const double share = static_cast<double>(coverage.parts_answered) /
                         static_cast<double>(coverage.parts_total);
    kind.coverage_sum += share;
    // Timers fire at the objective itself.
    const Duration objective =
        ObjectiveOf(asked) + std::chrono::milliseconds(1);
    const bool came_again = asked.at != asked.first_at;
    const bool in_time = now_ - asked.first_at <= objective;
    const bool again_in_time = came_again && now_ - asked.at <= objective;
    (in_time ? kind.report.in_time : kind.report.late) += 1;
    if (in_time) {
      Count(kind.report.in_time_in, asked.first_at);
    }
    kind.report.found_room += again_in_time ? 1 : 0;
    constexpr double kLate = 0.1;
    double worth = in_time ? 1.0 : kLate;
    if (!in_time && again_in_time && asked.prompt) {
      worth = (1.0 + kLate) / 2.0;
    }
    kind.report.credit += worth * share * share;
  }

  // Of each window that ends with an arrival, as the whole fleet is bound.
  double WorstBudgetUse() const {
    const ExtraBudgetLimits whole =
        kinds_.front().traffic.plan->policy.extra_limits();
    double worst = 0.0;
    for (const auto& [group, arrivals] : primary_) {
      for (std::size_t end = 0; end < arrivals.size(); end += 50) {
        double primary = 0;
        double extra = 0;
        for (const auto& [when, again] : arrivals) {
          const bool inside = when <= arrivals[end].first &&
                              when > arrivals[end].first - whole.window;
          (again ? extra : primary) += inside ? 1 : 0;
        }
        worst = std::max(worst, extra / (whole.ratio * primary + whole.slack));
      }
    }
    return worst;
  }

  Random random_;
  std::size_t zones_;
  Instant now_{std::chrono::seconds(1000)};
  std::vector<std::unique_ptr<SearchController>> hosts_;
  std::map<std::string, ModelTarget> targets_;
  ConditionBoard board_;
  std::multimap<Instant, std::function<void()>> events_;
  std::map<std::pair<std::size_t, AttemptId>, std::shared_ptr<ModelTarget::Job>>
      jobs_;
  std::unordered_map<RequestId, Asked> asked_;
  std::map<std::string, std::vector<std::pair<Instant, bool>>> primary_;
  RequestId next_request_ = 1;
  std::vector<Kind> kinds_;
  Instant begun_{};
  std::size_t arrivals_ = 0;
  std::size_t extra_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_MODEL_FLEET_TEST_H_
