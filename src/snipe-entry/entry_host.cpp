#include "entry_host.h"

#include <algorithm>
#include <random>
#include <utility>

#include <glog/logging.h>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr Duration kMaxTimerInterval = milliseconds(20);
constexpr Duration kRecordTimeout = std::chrono::seconds(30);
constexpr Duration kClaimTimeout = milliseconds(2500);

SearchControllerConfig SearchConfigFor(const HostSettings& settings) {
  SearchControllerConfig config;
  config.host = settings.host();
  config.fleet_hosts = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, settings.entry_hosts().size()));
  config.seed = std::random_device()();
  return config;
}

}  // namespace

EntryHost::EntryHost(EventLoop& loop, HostSettings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(std::random_device()()),
      spans_(settings_.traces(), "snipe-entry"),
      searches_(SearchConfigFor(settings_)),
      action_targets_(searches_),
      actions_(settings_.host(), WallMillisecondsNow(), action_targets_),
      settings_store_(settings_.data_folder(),
                      [this](const FleetSettings& fleet) {
                        searches_.ApplySettings(fleet);
                      }),
      peers_(loop, settings_, searches_, settings_store_, random_),
      control_(loop, peers_.client(), settings_.control_hosts()),
      gateway_(
          loop,
          settings_.host() + "-" + std::to_string(WallMillisecondsNow()),
          spans_,
          random_,
          [this](AttemptId attempt, const AttemptOutcome& outcome) {
            const auto action = action_targets_in_flight_.extract(attempt);
            contact_.OnOutcome(MonotonicNow(), attempt,
                               action.empty()
                                   ? searches_.FindAttempt(attempt).target
                                   : action.mapped(),
                               outcome);
          },
          [this](AttemptId attempt, ProbeState state) {
            searches_.OnProbe(MonotonicNow(), attempt, state);
          }),
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
                  LOG(WARNING)
                      << "event=target_contact state=" << ToString(state)
                      << " silent_ms=" << ToMilliseconds(silence)
                      << " relay_hosts=" << relay_.selector().hosts();
                },
                [this] { GiveUpSearches(MonotonicNow()); }}),
      relay_(loop, RelaySelector(settings_.zone(), random_.Next())),
      timer_(loop, [this] {
        const Instant now = MonotonicNow();
        searches_.Tick(now);
        actions_.Tick(now);
        SetNextTimer();
      }) {}

Result<void> EntryHost::Start() {
  peers_.OnRelayHosts([this](const std::vector<RelayHost>& hosts) {
    relay_.selector().SetHosts(hosts);
  });
  auto started = peers_.Start();
  if (!started) {
    return started;
  }
  loop_.AfterEventBatch([this] { AfterEventBatch(); });
  SetNextTimer();
  return {};
}

bool EntryHost::ready() const {
  return initialized() && !draining_ &&
         (contact_.state() != ContactState::kLost || MayRelay(MonotonicNow()));
}

bool EntryHost::MayRelay(Instant now) const {
  return contact_.state() != ContactState::kReached &&
         relay_.selector().HasCandidate(now);
}

bool EntryHost::MayFailOver(Instant now,
                            const SearchRequest& request,
                            const FinishSearch& finish) {
  const bool may_succeed = !finish.result &&
                           MaySucceedElsewhere(finish.result.error().kind) &&
                           relay_.selector().HasCandidate(now);
  const bool unconnected =
      finish.most_attempts == 0 && contact_.ConnectionsFail(now);
  const bool lost = contact_.state() != ContactState::kReached;
  return may_succeed && (unconnected || lost) &&
         (finish.most_attempts == 0 ||
          searches_.TakeExtraAttempts(now, request.group));
}

bool EntryHost::MayFailOver(Instant now, const Error& error) const {
  return error.kind == ErrorKind::kNoTarget &&
         (contact_.ConnectionsFail(now) ||
          contact_.state() != ContactState::kReached) &&
         relay_.selector().HasCandidate(now);
}

void EntryHost::ApplyOutcome(AttemptId attempt, const AttemptOutcome& outcome) {
  metrics_.OnOutcome(outcome.status);
  if (IsActionAttempt(attempt)) {
    actions_.OnOutcome(MonotonicNow(), attempt, outcome);
  } else {
    searches_.OnOutcome(MonotonicNow(), attempt, outcome);
  }
}

// Orders wait: their outcome may still arrive.
void EntryHost::GiveUpSearches(Instant now) {
  for (const auto& [id, running] : running_searches_) {
    searches_.GiveUp(now, id,
                     {ErrorKind::kTargetsFailed,
                      "this host has lost its targets", std::nullopt});
  }
}

bool EntryHost::initialized() const {
  return settings_store_.version() > 0 && peers_.synced();
}

std::size_t EntryHost::unfinished_requests() const {
  return running_searches_.size() + actions_.running() + unrecorded_outcomes_;
}

void EntryHost::ApplySettings(const VersionedSettings& settings) {
  settings_store_.UpdateIfNewer(settings);
}

TraceContext EntryHost::StartTrace(const std::string& traceparent) {
  const bool sample_here = random_.Below(100) < settings_.trace_percent();
  if (auto parent = TraceContext::Parse(traceparent)) {
    TraceContext child = parent->Child(random_);
    child.sampled = child.sampled || sample_here;
    return child;
  }
  return TraceContext::New(random_, sample_here);
}

void EntryHost::Search(SearchRequest request, SearchDone done) {
  const Instant now = MonotonicNow();
  request.id = next_request_++;
  RunningSearch& running = running_searches_[request.id];
  if (auto parent = TraceContext::Parse(request.trace_parent)) {
    running.parent_span = parent->span_id;
  }
  running.context = StartTrace(request.trace_parent);
  request.trace_parent = running.context.ToHeader();
  running.request = request;
  running.done = std::move(done);
  running.started = now;
  running.wall_started = std::chrono::system_clock::now();
  if (!initialized()) {
    CompleteSearch(
        {request.id,
         Fail(ErrorKind::kNotReady, "settings or targets are not known yet",
              milliseconds(1000)),
         nullptr, 0});
    return;
  }
  searches_.Submit(now, request);
}

void EntryHost::RunAction(ActionRequest request, ActionDone done) {
  request.id = next_request_++;
  running_actions_[request.id] = {request.group, std::move(done)};
  if (!initialized()) {
    CompleteAction({request.id, Fail(ErrorKind::kNotReady,
                                     "settings or targets are not known yet",
                                     milliseconds(1000))});
    return;
  }
  request.trace_parent = StartTrace(request.trace_parent).ToHeader();
  actions_.Submit(MonotonicNow(), std::move(request));
}

void EntryHost::Announce(const Announcement& announcement) {
  peers_.OnAnnouncement(announcement);
  gateway_.SetMaxConnections(announcement.address,
                             searches_.ConnectionShare(announcement));
}

void EntryHost::SetNextTimer() {
  const Instant now = MonotonicNow();
  Duration wait = kMaxTimerInterval;
  if (auto due = searches_.NextDue()) {
    wait = std::min(wait, *due - now);
  }
  if (auto due = actions_.NextDue()) {
    wait = std::min(wait, *due - now);
  }
  timer_.Set(std::max(Duration{}, wait));
}

void EntryHost::AfterEventBatch() {
  bool executed = false;
  for (const SearchAction& action : searches_.TakeActions()) {
    Execute(action);
    executed = true;
  }
  for (const ActionStep& step : actions_.TakeSteps()) {
    Execute(step);
    executed = true;
  }
  contact_.Update(MonotonicNow());
  if (executed) {
    SetNextTimer();
  }
}

void EntryHost::Execute(const SearchAction& action) {
  if (const auto* start = std::get_if<StartAttempt>(&action)) {
    const AttemptCommand& command = start->command;
    metrics_.OnAttempt(command.group, command.kind);
    if (const Announcement* target = searches_.view().Find(command.target)) {
      gateway_.SetMaxConnections(command.address,
                                 searches_.ConnectionShare(*target));
    }
    contact_.OnSent(MonotonicNow(), command,
                    searches_.SlowLatency(command.group));
    gateway_.Start(command);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    gateway_.Cancel(cancel->id);
  } else if (const auto* probe = std::get_if<ProbeAttempt>(&action)) {
    gateway_.Probe(probe->id);
  } else if (const auto* finish = std::get_if<FinishSearch>(&action)) {
    CompleteSearch(*finish);
  } else if (const auto* share = std::get_if<ShareEvidence>(&action)) {
    peers_.BroadcastEvidence(*share);
  }
}

void EntryHost::Execute(const ActionStep& step) {
  if (const auto* claim = std::get_if<ClaimKey>(&step)) {
    control_.Propose(claim->command, kClaimTimeout,
                     [this, id = claim->id](const auto& result) {
                       actions_.OnClaimResult(MonotonicNow(), id, result);
                     });
  } else if (const auto* send = std::get_if<SendAction>(&step)) {
    metrics_.OnAttempt(send->command.group, send->command.kind);
    contact_.OnSent(MonotonicNow(), send->command,
                    searches_.SlowLatency(send->command.group));
    action_targets_in_flight_[send->command.id] = send->command.target;
    gateway_.Start(send->command);
  } else if (const auto* record = std::get_if<RecordOutcome>(&step)) {
    ProposeOutcome(record->command);
  } else if (const auto* finish = std::get_if<FinishAction>(&step)) {
    CompleteAction(*finish);
  }
}

void EntryHost::ProposeOutcome(const ControlCommand& command) {
  ++unrecorded_outcomes_;
  control_.Propose(command, kRecordTimeout, [this](const auto& result) {
    --unrecorded_outcomes_;
    if (!result) {
      LOG(ERROR) << "event=outcome_not_recorded";
    }
  });
}

void EntryHost::CompleteSearch(const FinishSearch& finish) {
  auto node = running_searches_.extract(finish.id);
  if (node.empty()) {
    return;
  }
  const RunningSearch& running = node.mapped();
  metrics_.OnSearch(running.request, finish.result,
                    MonotonicNow() - running.started);
  spans_.Write({"entry.search",
                running.context,
                running.parent_span,
                running.wall_started,
                std::chrono::system_clock::now(),
                {{"group", running.request.group},
                 {"outcome",
                  finish.result
                      ? "answered"
                      : std::string(RowOf(finish.result.error().kind).name)}}});
  running.done(finish);
}

void EntryHost::CompleteAction(const FinishAction& finish) {
  auto node = running_actions_.extract(finish.id);
  if (node.empty()) {
    return;
  }
  const std::string outcome =
      finish.result ? "ran"
                    : std::string(RowOf(finish.result.error().kind).name);
  // Group names come from callers; see EntryMetrics::OnSearch.
  const std::string& group = node.mapped().group;
  metrics_.OnAction(searches_.view().KnowsGroup(group) ? group : "",
                    outcome.c_str());
  node.mapped().done(finish.result);
}

EntryGauges EntryHost::Gauges() const {
  EntryGauges gauges;
  gauges.running = searches_.running();
  gauges.waiting = searches_.waiting();
  const auto all = searches_.view().All();
  gauges.targets = all.size();
  const Instant now = MonotonicNow();
  gauges.targets_usable = static_cast<std::size_t>(
      std::ranges::count_if(all, [&](const Announcement* announced) {
        return searches_.view().Usable(now, announced->target) != nullptr;
      }));
  gauges.quarantined = searches_.Quarantined(now).size();
  gauges.settings_version = settings_store_.version();
  gauges.ready = ready();
  gauges.peer_traffic = peers_.traffic();
  return gauges;
}

Result<ActionTarget> EntryHost::ActionTargetAdapter::Acquire(
    Instant now,
    const ActionTargetQuery& need,
    const std::vector<std::string>& tried) {
  return searches_.AcquireTarget(now, need, tried);
}

void EntryHost::ActionTargetAdapter::Release(Instant now,
                                             const ActionTargetQuery& need,
                                             const ActionTarget& target,
                                             const AttemptOutcome& outcome,
                                             Duration latency) {
  searches_.ReleaseTarget(now, need, target, outcome, latency);
}

}  // namespace snipeworks
