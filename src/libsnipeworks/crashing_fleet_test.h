#ifndef SNIPEWORKS_LIBSNIPEWORKS_CRASHING_FLEET_TEST_H_
#define SNIPEWORKS_LIBSNIPEWORKS_CRASHING_FLEET_TEST_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "snipeworks/random.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// Simulates entry hosts and targets under a fake clock. A target crashes when
/// it starts to run certain requests and restarts later. Hosts receive each
/// other's evidence after `evidence_delay`.
class CrashingFleet {
 public:
  struct Caller {
    Fingerprint fingerprint = 0;
    std::size_t tries_left = 0;
    std::shared_ptr<const SearchPlan> plan;
    bool repeatable = true;
  };

  CrashingFleet(std::uint64_t seed, std::size_t hosts, std::size_t zones)
      : random(seed), zones_(zones) {
    for (std::size_t i = 0; i < hosts; ++i) {
      SearchControllerConfig config;
      config.host = "entry-" + std::to_string(i);
      config.fleet_hosts = static_cast<std::uint32_t>(hosts);
      config.zone = "zone-" + std::to_string(i % zones);
      config.seed = seed * 1000 + i;
      config.spare_connections = 0;
      config.leases = false;
      hosts_.push_back(std::make_unique<SearchController>(config));
    }
  }

  void AddGroup(const std::string& group, std::size_t targets) {
    for (std::size_t i = 0; i < targets; ++i) {
      Target target;
      Announcement& announcement = target.announcement;
      announcement.target = group + "-" + std::to_string(i);
      announcement.group = group;
      announcement.zone = "zone-" + std::to_string(i % zones_);
      announcement.address = "10.0.0.1:80";
      announcement.slots = 3;
      announcement.incarnation = 1;
      Target& added = targets_[announcement.target] = target;
      Announce(added);
    }
  }

  /// A plan with a typical deployment's policy and one part for each of
  /// `groups`.
  static std::shared_ptr<const SearchPlan> PlanOver(
      std::vector<std::string> groups) {
    auto plan = std::make_shared<SearchPlan>();
    plan->name = groups.front() + "-route";
    plan->version = 1;
    GroupPolicy& policy = plan->policy;
    if (groups.size() > 1) {
      policy.answer = static_cast<std::int64_t>(AnswerRule::kSoftDeadline);
      policy.soft_deadline_ms = 150;
      policy.min_coverage_permille = 890;
    }
    policy.objective_ms = 150;
    policy.max_attempts = 2;
    policy.canary = static_cast<std::int64_t>(Canary::kSuspected);
    policy.probe_silent = 0;
    policy.slow_start_ms = 0;
    policy.hedge_percentile = 95;
    policy.extra_attempts_percent = 20;
    policy.extra_attempts_slack = 58;
    policy.other_zone_percent = 200;
    policy.eject_ms = 1000;
    plan->groups = std::move(groups);
    return plan;
  }

  /// Sends a request through `host`. When it fails, a caller with tries left
  /// retries it through a random host.
  RequestId Send(std::size_t host, const Caller& caller) {
    SearchRequest request;
    request.id = next_request_++;
    request.group = caller.plan->name;
    request.plan = caller.plan;
    request.repeatable = caller.repeatable;
    request.budget = std::chrono::milliseconds(2500);
    auto forwarded = std::make_shared<ForwardedRequest>();
    forwarded->fingerprint = caller.fingerprint;
    request.forwarded = forwarded;
    callers_[request.id] = caller;
    hosts_[host]->Submit(now, request);
    ExecuteActions(host);
    return request.id;
  }

  /// Sends normal requests, each with its own fingerprint, for `length`.
  void SendTraffic(const std::shared_ptr<const SearchPlan>& plan,
                   double per_second,
                   Duration length) {
    const double gap = -std::log(1.0 - random.Unit()) / per_second;
    const auto wait = Duration(static_cast<std::int64_t>(gap * 1e6));
    if (wait > length) {
      return;
    }
    Schedule(now + wait, [this, plan, per_second, left = length - wait] {
      Send(random.Below(hosts_.size()), {++next_fingerprint_, 1, plan, true});
      ++normal_requests;
      SendTraffic(plan, per_second, left);
    });
  }

  /// Crashes the targets that `selected` accepts, losing all their requests.
  void CrashIf(const std::function<bool(const Announcement&)>& selected) {
    for (auto& [name, target] : targets_) {
      if (target.up && selected(target.announcement)) {
        Crash(target);
      }
    }
  }

  void RunFor(Duration length) {
    const Instant end = now + length;
    while (now < end) {
      Instant next = std::min(end, now + std::chrono::milliseconds(20));
      if (!events_.empty()) {
        next = std::min(next, events_.begin()->first);
      }
      for (const auto& host : hosts_) {
        if (auto due = host->NextDue()) {
          next = std::min(next, *due);
        }
      }
      now = std::max(now, next);
      while (!events_.empty() && events_.begin()->first <= now) {
        auto node = events_.extract(events_.begin());
        node.mapped()();
      }
      for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i]->Tick(now);
        ExecuteActions(i);
      }
    }
  }

  /// The result of a request, or null while it runs.
  const FinishSearch* ResultOf(RequestId id) const {
    auto found = results_.find(id);
    return found == results_.end() ? nullptr : &found->second;
  }

  Instant now{std::chrono::seconds(1000)};
  Random random;
  /// Requests that crash every target that starts to run them.
  std::set<Fingerprint> crashing_fingerprints;
  Duration evidence_delay = std::chrono::milliseconds(5);
  std::size_t crashes = 0;  ///< Caused by crashing requests.
  std::size_t normal_requests = 0;
  std::size_t normal_served = 0;
  std::size_t normal_quarantined = 0;  ///< Refused as quarantined.
  /// Attempts that reached targets of each group: the first one for each part
  /// of a request, and all others.
  std::map<std::string, std::size_t> first_arrivals;
  std::map<std::string, std::size_t> extra_arrivals;

 private:
  static constexpr Duration kLinkLatency = std::chrono::milliseconds(1);
  static constexpr Duration kServiceTime = std::chrono::milliseconds(20);
  static constexpr Duration kRestartTime = std::chrono::milliseconds(2500);

  struct Job {
    std::size_t host = 0;
    AttemptCommand command;
    bool ended = false;
  };
  struct Target {
    Announcement announcement;
    bool up = true;
    std::vector<std::shared_ptr<Job>> running;
    std::deque<std::shared_ptr<Job>> waiting;
  };

  void Schedule(Instant when, std::function<void()> what) {
    events_.emplace(when, std::move(what));
  }

  void Announce(Target& target) {
    ++target.announcement.sequence;
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      hosts_[i]->Announce(now, target.announcement);
      ExecuteActions(i);
    }
  }

  void ExecuteActions(std::size_t host) {
    for (const SearchAction& action : hosts_[host]->TakeActions()) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        Start(host, start->command);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        auto job = jobs_.find({host, cancel->id});
        if (job != jobs_.end()) {
          EndJob(job->second, AttemptStatus::kCancelled, Duration{});
        }
      } else if (const auto* finish = std::get_if<FinishSearch>(&action)) {
        Finish(*finish);
      } else if (const auto* share = std::get_if<ShareEvidence>(&action)) {
        ShareWithOtherHosts(host, *share);
      }
    }
  }

  void ShareWithOtherHosts(std::size_t host, const ShareEvidence& share) {
    for (std::size_t other = 0; other < hosts_.size(); ++other) {
      if (other != host) {
        Schedule(now + evidence_delay,
                 [this, other, evidence = share.evidence] {
                   hosts_[other]->OnEvidence(now, evidence);
                   ExecuteActions(other);
                 });
      }
    }
    if (share.confirm) {
      Schedule(now, [this, host, fingerprint = share.evidence.fingerprint] {
        hosts_[host]->OnEvidenceShared(now, fingerprint, false);
        ExecuteActions(host);
      });
    }
  }

  void Start(std::size_t host, const AttemptCommand& command) {
    auto job = std::make_shared<Job>(Job{host, command});
    jobs_[{host, command.id}] = job;
    Target& target = targets_.at(command.target);
    Schedule(now + kLinkLatency, [this, job, &target] {
      if (job->ended) {
        return;
      }
      if (!target.up) {
        EndJob(job, AttemptStatus::kNotSent, kLinkLatency);
        return;
      }
      const AttemptCommand& arrived = job->command;
      const bool first =
          arrived_.insert({job->host, arrived.request, arrived.part}).second;
      ++(first ? first_arrivals : extra_arrivals)[arrived.group];
      target.waiting.push_back(job);
      StartWaitingJobs(target);
    });
  }

  void Crash(Target& target) {
    target.up = false;
    std::vector<std::shared_ptr<Job>> lost = std::exchange(target.running, {});
    lost.insert(lost.end(), target.waiting.begin(), target.waiting.end());
    target.waiting.clear();
    for (const auto& job : lost) {
      EndJob(job, AttemptStatus::kLost, kLinkLatency);
    }
    Schedule(now + kRestartTime, [this, &target] {
      target.up = true;
      ++target.announcement.incarnation;
      target.announcement.sequence = 0;
      Announce(target);
    });
  }

  void StartWaitingJobs(Target& target) {
    while (target.up && target.running.size() < target.announcement.slots &&
           !target.waiting.empty()) {
      const auto job = target.waiting.front();
      target.waiting.pop_front();
      if (job->ended) {
        continue;
      }
      target.running.push_back(job);
      if (crashing_fingerprints.contains(job->command.forwarded->fingerprint)) {
        ++crashes;
        Crash(target);
        return;
      }
      const auto work = Duration(static_cast<std::int64_t>(
          static_cast<double>(kServiceTime.count()) * (0.5 + random.Unit())));
      Schedule(now + work, [this, job, &target] {
        if (std::erase(target.running, job) > 0) {
          EndJob(job, AttemptStatus::kAnswered, kLinkLatency);
          StartWaitingJobs(target);
        }
      });
    }
  }

  void EndJob(const std::shared_ptr<Job>& job,
              AttemptStatus status,
              Duration after) {
    if (std::exchange(job->ended, true)) {
      return;
    }
    Schedule(now + after, [this, job, status] {
      AttemptOutcome outcome;
      outcome.status = status;
      outcome.snapshot = job->command.snapshot;
      outcome.part = job->command.part;
      outcome.documents = 1;
      jobs_.erase({job->host, job->command.id});
      hosts_[job->host]->OnOutcome(now, job->command.id, outcome);
      ExecuteActions(job->host);
    });
  }

  void Finish(const FinishSearch& finish) {
    results_.emplace(finish.id, finish);
    const Caller caller = callers_.at(finish.id);
    if (crashing_fingerprints.contains(caller.fingerprint)) {
      return;
    }
    if (finish.result) {
      ++normal_served;
      return;
    }
    normal_quarantined +=
        finish.result.error().kind == ErrorKind::kQuarantined ? 1 : 0;
    if (caller.tries_left > 0) {
      Schedule(now + std::chrono::milliseconds(20), [this, caller] {
        Caller again = caller;
        --again.tries_left;
        Send(random.Below(hosts_.size()), again);
      });
    }
  }

  std::size_t zones_;
  std::vector<std::unique_ptr<SearchController>> hosts_;
  std::map<std::string, Target> targets_;
  std::map<std::pair<std::size_t, AttemptId>, std::shared_ptr<Job>> jobs_;
  std::map<RequestId, Caller> callers_;
  std::set<std::tuple<std::size_t, RequestId, PartNumber>> arrived_;
  std::map<RequestId, FinishSearch> results_;
  std::multimap<Instant, std::function<void()>> events_;
  RequestId next_request_ = 1;
  Fingerprint next_fingerprint_ = 1000;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_CRASHING_FLEET_TEST_H_
