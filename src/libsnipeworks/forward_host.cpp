#include "snipeworks/forward_host.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include <glog/logging.h>

#include "snipeworks/caller_api.h"
#include "snipeworks/relay_messages.h"
#include "snipeworks/target_directory.h"
#include "snipeworks/target_events.h"

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kMaxTimerInterval = milliseconds(20);
// A longer gap between two iterations of the event loop is logged.
constexpr Duration kStallThreshold = milliseconds(1000);
constexpr Duration kIdleCheckInterval = milliseconds(50);
// Time before the shutdown limit at which open requests are answered with an
// error, so that these answers are still sent.
constexpr Duration kFinalAnswerMargin = milliseconds(400);
// Of the 160 MB that the smallest hosts have; responses of targets take up to
// 32 MB, the program and its targets the rest.
constexpr std::size_t kClientMemoryBytes = std::size_t{48} * 1024 * 1024;
// Time for callers to read the rest of their last answers.
constexpr Duration kFlushDelay = milliseconds(150);

SearchControllerConfig ControllerConfig(const HostSettings& settings) {
  SearchControllerConfig config;
  config.host = settings.host();
  config.zone = settings.zone();
  // No connections are reserved: targets get no probe or cancellation calls.
  config.spare_connections = 0;
  config.limit_bounds = settings.limit_bounds();
  config.leases = false;  // Control hosts decide which targets are gone.
  config.seed = std::random_device()();
  return config;
}

std::vector<std::string> PeerSeeds(const HostSettings& settings) {
  std::vector<std::string> seeds;
  for (const Address& seed : settings.control_seeds()) {
    seeds.push_back(Address{seed.ip, settings.peer().port}.ToString());
  }
  return seeds;
}

std::uint64_t RandomSeed() {
  std::random_device random;
  constexpr int kHalf = 32;
  return std::uint64_t{random()} << kHalf | random();
}

}  // namespace

ForwardHost::ForwardHost(EventLoop& loop,
                         HostSettings settings,
                         ForwardNames names)
    : loop_(loop),
      settings_(std::move(settings)),
      names_(std::move(names)),
      log_(STDOUT_FILENO, settings_.host()),
      random_(std::random_device()()),
      key_seed_(RandomSeed()),
      searches_(ControllerConfig(settings_)),
      planner_(settings_.policy(), settings_.answer_margin(), random_.Next()),
      peers_(loop),
      gateway_(loop,
               names_,
               [this](AttemptId attempt, const AttemptOutcome& outcome) {
                 OnOutcome(attempt, outcome);
               }),
      feed_(loop,
            peers_,
            log_,
            settings_.host(),
            settings_.zone(),
            PeerSeeds(settings_),
            {[this](const std::vector<Announcement>& changes) {
               OnTargets(changes);
             },
             [this](const Routing& routing) { OnRouting(routing); },
             [this](std::uint32_t hosts) {
               searches_.SetFleetHosts(MonotonicNow(), hosts);
               log_.Write(EventKind::kFleetSize, {{"entry_hosts", hosts}});
             },
             [this](const std::vector<TargetCondition>& conditions) {
               OnConditions(conditions);
             },
             [this] { return searches_.TakeSamples(); },
             [this] { return DrainingTargets(); },
             [this] { return ServingDigest(searches_.view()); },
             [this](const PoisonEvidence& evidence) {
               LogEvidence(log_, evidence, "control");
               searches_.OnEvidence(MonotonicNow(), evidence);
             },
             [this] { return searches_.Evidence(MonotonicNow()); },
             [this](const std::vector<RelayHost>& hosts) {
               relay_.selector().SetHosts(hosts);
             },
             [this](const std::vector<EvacuatedZone>& zones) {
               OnEvacuations(zones);
             },
             [this] { OnControlReply(); }}),
      quotas_(loop,
              peers_,
              log_,
              settings_.host(),
              settings_.quota_bounds(),
              [this] { return feed_.control_hosts(); }),
      contact_(searches_.view(),
               random_.Next(),
               {[this](const std::string& address,
                       const std::function<void(bool)>& done) {
                  gateway_.TestConnection(address, done);
                },
                [this](AttemptId attempt, const AttemptOutcome& outcome) {
                  ApplyOutcome(attempt, outcome);
                },
                [this](ContactState state, Duration silence) {
                  LogContact(state, silence);
                },
                [this] { FailOverAll(MonotonicNow()); }}),
      relay_(loop, RelaySelector(settings_.zone(), random_.Next())),
      timer_(loop,
             [this] {
               searches_.Tick(MonotonicNow());
               SetNextTimer();
             }),
      clients_(loop, ClientLimitsFor(settings_, kClientMemoryBytes)) {}

Result<void> ForwardHost::Start() {
  if (Result<void> started = StartListeners(); !started) {
    return started;
  }
  feed_.OfferRelay(settings_.peer().ToString());
  // Nothing is known of the routing yet.
  searches_.RepeatUntil(feed_.repeatable_until());
  started_ = MonotonicNow();
  last_event_batch_at_ = started_;
  loop_.AfterEventBatch([this] { AfterEventBatch(); });
  feed_.Start();
  SetNextTimer();
  log_.Write(EventKind::kStarted,
             {{"zone", settings_.zone()},
              {"http", settings_.http().ToString()},
              {"seeds", settings_.control_seeds().size()}});
  return {};
}

void ForwardHost::Reload(const HostSettings& settings) {
  settings_ = settings;
  feed_.AddSeeds(PeerSeeds(settings_));
  log_.Write(EventKind::kReloaded,
             {{"seeds", settings_.control_seeds().size()}});
}

bool ForwardHost::ready() const {
  return !draining_ && planner_.table() != nullptr && feed_.synced() &&
         !reachability_.cut_off() &&
         (contact_.state() != ContactState::kLost ||
          relay_.selector().HasCandidate(MonotonicNow()));
}

void ForwardHost::ShutDown(const std::function<void()>& done) {
  if (std::exchange(draining_, true)) {
    return;
  }
  log_.Write(EventKind::kStopping, {{"running", running_.size()},
                                    {"connections", front_->connections()}});
  front_->CloseAfterResponses();
  relay_listener_->CloseAfterResponses();
  const Duration hold = milliseconds(settings_.shutdown_hold_ms());
  loop_.After(hold, [this, done] {
    front_->StopAccepting();
    loop_.Every(kIdleCheckInterval, [this, done] { FinishIfIdle(done); });
  });
  const Duration limit = settings_.shutdown_limit() - kFinalAnswerMargin;
  final_answers_at_ = MonotonicNow() + std::max(hold, limit);
  loop_.After(std::max(hold, limit), [this, done] {
    const HttpResponse response =
        ToHttpResponse({ErrorKind::kDeadline, "this host is shutting down", {}},
                       RetryAfterFormat::kFractionalSeconds);
    const auto open_exchanges = requests_by_exchange_;
    for (const auto& [exchange, id] : open_exchanges) {
      front_->SendResponse(exchange, response);
    }
    for (const auto& [exchange, held] : std::exchange(held_, {})) {
      front_->SendResponse(exchange, response);
    }
    const auto open_relayed = requests_by_relayed_exchange_;
    for (const auto& [exchange, id] : open_relayed) {
      relay_listener_->SendResponse(exchange,
                                    Encapsulate(RelayReply::From(response)));
    }
    loop_.After(kFlushDelay, done);
  });
}

void ForwardHost::FinishIfIdle(const std::function<void()>& done) {
  if (front_->unfinished_connections() == 0 &&
      requests_by_relayed_exchange_.empty()) {
    final_answers_at_ = std::min(final_answers_at_, MonotonicNow());
    loop_.After(front_->connections() > 0 ? kFlushDelay : Duration{}, done);
  }
}

void ForwardHost::Stop() {
  log_.Write(EventKind::kStopped,
             {{"unanswered", requests_by_exchange_.size()}});
  log_.Flush();
}

void ForwardHost::SetNextTimer() {
  Duration wait = kMaxTimerInterval;
  if (auto due = searches_.NextDue()) {
    wait = std::min(wait, *due - MonotonicNow());
  }
  timer_.Set(std::max(Duration{}, wait));
}

void ForwardHost::AfterEventBatch() {
  const Instant now = MonotonicNow();
  if (now - last_event_batch_at_ > kStallThreshold) {
    log_.Write(EventKind::kStalled, {{"for_ms", now - last_event_batch_at_}});
  }
  last_event_batch_at_ = now;
  bool acted = false;
  for (const SearchAction& action : searches_.TakeActions()) {
    Execute(action);
    acted = true;
  }
  if (acted) {
    SetNextTimer();
  }
  reachability_.Update(now, feed_.quorum_reachable(now));
  contact_.Update(now);
  LogTraffic(now);
  LogReadiness();
  log_.FlushIfDue(now);
}

bool ForwardHost::IsInOtherZone(const std::string& target) const {
  const Announcement* known = searches_.view().Find(target);
  return known != nullptr && known->zone != settings_.zone();
}

bool ForwardHost::ZoneCanServe(Instant now, const SearchPlan& plan) const {
  const auto covered =
      std::ranges::count_if(plan.groups, [&](const std::string& group) {
        return std::ranges::any_of(searches_.view().UsableInGroup(now, group),
                                   [&](const Announcement* target) {
                                     return target->zone == settings_.zone();
                                   });
      });
  return covered * 1000 >=
         plan.policy.min_coverage_permille * std::ssize(plan.groups);
}

void ForwardHost::Execute(const SearchAction& action) {
  if (const auto* start = std::get_if<StartAttempt>(&action)) {
    const AttemptCommand& command = start->command;
    metrics_.OnAttempt(command.group, command.kind);
    const Instant now = MonotonicNow();
    if (IsInOtherZone(command.target)) {
      reachability_.OnSent(now);
    }
    const auto running =
        running_.find(searches_.FindAttempt(command.id).request);
    contact_.OnSent(now, command,
                    running == running_.end()
                        ? Duration{}
                        : searches_.SlowLatency(running->second.request.group));
    if (const Announcement* target = searches_.view().Find(command.target)) {
      gateway_.SetMaxConnections(command.address,
                                 searches_.ConnectionShare(*target));
    }
    if (command.kind != AttemptKind::kPrimary) {
      log_.Write(
          EventKind::kAttempt,
          {{"request", command.forwarded->request_id},
           {"attempt", command.id},
           {"kind", ToString(command.kind)},
           {"fingerprint", std::to_string(command.forwarded->fingerprint)},
           {"group", command.group},
           {"target", command.target},
           {"budget_ms", command.budget}});
    }
    gateway_.Start(command);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    gateway_.Cancel(cancel->id);
  } else if (const auto* finish = std::get_if<FinishSearch>(&action)) {
    Finish(*finish);
  } else if (const auto* cancel_unsent =
                 std::get_if<CancelUnsentAttempts>(&action)) {
    gateway_.CancelUnsent(cancel_unsent->target);
  } else if (const auto* draining = std::get_if<ReportDraining>(&action)) {
    LogTargetChange(log_, draining->announcement, "answer");
    feed_.ReportDraining(draining->announcement);
  } else if (const auto* share = std::get_if<ShareEvidence>(&action)) {
    LogEvidence(log_, share->evidence, "own");
    feed_.ReportEvidence(share->evidence);
    if (share->confirm) {
      // The confirming run starts without waiting for the other hosts to
      // receive the evidence.
      loop_.Post([this, fingerprint = share->evidence.fingerprint] {
        searches_.OnEvidenceShared(MonotonicNow(), fingerprint, false);
      });
    }
  } else if (const auto* limit = std::get_if<LimitChanged>(&action)) {
    log_.Write(EventKind::kTargetLimit,
               {{"target", limit->target},
                {"limited", limit->per_second.has_value()},
                {"per_second", limit->per_second.value_or(0.0)},
                {"share", limit->share}});
  } else if (const auto* skipped = std::get_if<HedgeSkipped>(&action)) {
    auto running = running_.find(skipped->request);
    if (running != running_.end()) {
      log_.Write(EventKind::kHedgeSkipped,
                 {{"request", running->second.request.forwarded->request_id},
                  {"attempt", skipped->id},
                  {"target", skipped->target},
                  {"after_ms", MonotonicNow() - running->second.started},
                  {"reason", skipped->reason}});
    }
  }
}

void ForwardHost::OnOutcome(AttemptId attempt, const AttemptOutcome& outcome) {
  contact_.OnOutcome(MonotonicNow(), attempt,
                     searches_.FindAttempt(attempt).target, outcome);
}

void ForwardHost::ApplyOutcome(AttemptId attempt,
                               const AttemptOutcome& outcome) {
  metrics_.OnOutcome(outcome.status);
  const auto [request, target, fingerprint] = searches_.FindAttempt(attempt);
  if (HasResponded(outcome) && IsInOtherZone(target)) {
    reachability_.OnResponse();
  }
  const bool expected = outcome.status == AttemptStatus::kAnswered ||
                        outcome.status == AttemptStatus::kCancelled;
  if (!expected) {
    auto running = running_.find(request);
    log_.Write(
        EventKind::kAttempt,
        {{"request", running == running_.end()
                         ? std::string()
                         : running->second.request.forwarded->request_id},
         {"attempt", attempt},
         {"target", target},
         {"fingerprint", std::to_string(fingerprint)},
         {"outcome", ToString(outcome.status)},
         {"status", outcome.answer ? outcome.answer->status : 0},
         {"retry_after_ms", outcome.retry_after}});
  }
  searches_.OnOutcome(MonotonicNow(), attempt, outcome);
}

void ForwardHost::Finish(const FinishSearch& finish) {
  if (!finish.result && MaySucceedElsewhere(finish.result.error().kind) &&
      FailOver(finish.id, finish.most_attempts)) {
    return;
  }
  auto node = running_.extract(finish.id);
  if (node.empty()) {
    return;
  }
  const RunningRequest& running = node.mapped();
  if (!finish.result && finish.most_attempts == 0) {
    Credit(running);
  }
  metrics_.OnSearch(running.request, finish.result,
                    MonotonicNow() - running.started);
  const HttpResponse response =
      finish.result
          ? ToResponse(*finish.result, running.request, running.format, names_)
          : ToFailureResponse(finish, running.request, running.format, names_);
  LogFinish(running, finish, response.status);
  if (running.origin.empty()) {
    requests_by_exchange_.erase(running.exchange);
    front_->SendResponse(running.exchange, response);
  } else {
    requests_by_relayed_exchange_.erase(running.exchange);
    relay_listener_->SendResponse(running.exchange,
                                  Encapsulate(RelayReply::From(response)));
  }
}

}  // namespace snipeworks
