#include "simulated_target.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <thread>
#include <utility>

#include <glog/logging.h>
#include <xxhash.h>

#include "snipeworks/json_reader.h"
#include "snipeworks/text.h"

namespace snipeworks {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

// A query that contains this text crashes the process, to simulate a poison
// request.
constexpr char kCrashQueryText[] = "crash-target";
constexpr int kCrashExitCode = 70;
constexpr std::size_t kQueuePerSlot = 8;
constexpr Duration kShedRetryAfter = milliseconds(200);
constexpr std::size_t kMaxEndedAttempts = 20000;
constexpr int kHitsPerPart = 3;
// Extra service time of a target that has just started, as a factor.
constexpr double kColdPenalty = 2.0;
constexpr double kHitScoreRange = 1000.0;
constexpr Duration kSilencePollInterval = milliseconds(100);

HttpResponse JsonResponse(int status, const json& document) {
  return {status, "application/json", WriteJson(document) + "\n", {}, false};
}

Duration FromMilliseconds(double value) {
  return Duration(static_cast<std::int64_t>(value * 1000.0));
}

// Each document's name holds the snapshot, the part and a hash of the query, so
// that the history check detects an answer to another request.
std::vector<Hit> HitsFor(const RunRequest& request) {
  std::vector<Hit> hits;
  const std::uint64_t query =
      XXH3_64bits(request.query.data(), request.query.size());
  for (int i = 0; i < kHitsPerPart; ++i) {
    const std::uint64_t mixed = XXH3_64bits_withSeed(
        &query, sizeof(query),
        std::uint64_t{request.part} * 16 + static_cast<std::uint64_t>(i));
    Hit hit;
    hit.document = request.snapshot.digest + "/" +
                   std::to_string(request.part) + "/" + std::to_string(query) +
                   "/" + std::to_string(i);
    hit.score = static_cast<double>(mixed % 1000) / kHitScoreRange;
    hits.push_back(std::move(hit));
  }
  return hits;
}

}  // namespace

SimulatedTarget::SimulatedTarget(TargetConfig config,
                                 std::uint64_t incarnation,
                                 HistoryWriter& history,
                                 SpanWriter& spans)
    : config_(std::move(config)),
      history_(history),
      spans_(spans),
      random_(incarnation ^ XXH3_64bits(config_.announcement.target.data(),
                                        config_.announcement.target.size())) {
  config_.announcement.incarnation = incarnation;
  simulation_.service = config_.service;
}

Result<std::unique_ptr<SimulatedTarget>> SimulatedTarget::Start(
    TargetConfig config,
    std::uint64_t incarnation,
    HistoryWriter& history,
    SpanWriter& spans) {
  std::unique_ptr<SimulatedTarget> target(
      new SimulatedTarget(std::move(config), incarnation, history, spans));
  auto address = Address::Parse(target->config_.announcement.address);
  if (!address) {
    return tl::unexpected(address.error());
  }
  // The target itself enforces the announced limit, so that a client that
  // exceeds it fails visibly.
  std::size_t max_connections = target->config_.announcement.connections;
  if (!target->config_.enforce_connections) {
    max_connections *= 4;
  }
  auto server =
      BlockingServer::Start(*address, max_connections,
                            [raw = target.get()](const HttpRequest& request) {
                              return raw->Handle(request);
                            });
  if (!server) {
    return tl::unexpected(server.error());
  }
  target->server_ = std::move(*server);
  return target;
}

SimulatedTarget::~SimulatedTarget() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  server_.reset();
}

Announcement SimulatedTarget::NextAnnouncement() {
  const std::lock_guard lock(mutex_);
  Announcement& announcement = config_.announcement;
  announcement.sequence = ++sequence_;
  delayed_queue_lengths_.push_back(static_cast<std::uint32_t>(queue_.size()));
  while (delayed_queue_lengths_.size() > simulation_.report_lag + 1) {
    delayed_queue_lengths_.pop_front();
  }
  announcement.queued = simulation_.override_queue
                            ? simulation_.reported_queue
                            : delayed_queue_lengths_.front();
  return announcement;
}

bool SimulatedTarget::announces() {
  const std::lock_guard lock(mutex_);
  return simulation_.announce;
}

void SimulatedTarget::Drain() {
  const std::lock_guard lock(mutex_);
  config_.announcement.state = TargetState::kDraining;
}

bool SimulatedTarget::Idle() {
  const std::lock_guard lock(mutex_);
  return attempts_.empty() && server_->in_flight() == 0;
}

HttpResponse SimulatedTarget::Handle(const HttpRequest& request) {
  if (BlockIfSilenced(request.connection_id)) {
    return JsonResponse(503, {{"status", "silent"}});
  }
  if (request.path == kRunPath) {
    SimulateConnectionSetup(request.connection_id);
    return HandleRun(request);
  }
  if (request.path == kCancelPath) {
    return HandleCancel(request);
  }
  if (request.path == kProbePath) {
    return HandleProbe(request);
  }
  if (request.path == "/v1/stand-in") {
    return HandleSimulationSettings(request);
  }
  if (request.path == "/healthz") {
    SimulateConnectionSetup(request.connection_id);
    return JsonResponse(
        200, {{"connections", server_->connections()},
              {"connections_most", server_->max_connections_seen()}});
  }
  return JsonResponse(404, {{"error", "unknown path"}});
}

void SimulatedTarget::SimulateConnectionSetup(std::uint64_t connection) {
  double cost_ms = 0.0;
  {
    const std::lock_guard lock(mutex_);
    if (connection <= newest_connection_) {
      return;
    }
    newest_connection_ = connection;
    cost_ms = simulation_.service.connect_ms;
  }
  std::this_thread::sleep_for(FromMilliseconds(cost_ms));
}

// Blocks the request of a silenced connection until the program stops; returns
// false at once for other connections.
bool SimulatedTarget::BlockIfSilenced(std::uint64_t connection) {
  std::unique_lock lock(mutex_);
  if (connection > silenced_up_to_connection_) {
    return false;
  }
  while (!stopping_) {
    changed_.wait_for(lock, kSilencePollInterval);
  }
  return true;
}

HttpResponse SimulatedTarget::HandleRun(const HttpRequest& http) {
  Result<RunRequest> request = ParseRunRequest(http.body);
  if (!request) {
    return JsonResponse(400, {{"error", request.error().detail}});
  }
  const auto started = std::chrono::system_clock::now();
  const auto parent = TraceContext::Parse(http.Header("traceparent"));
  RunAnswer answer{request->attempt,
                   Run(*request, parent ? parent->trace_id : "")};
  if (parent) {
    TraceContext context = *parent;
    {
      const std::lock_guard lock(mutex_);
      context = parent->Child(random_);
    }
    spans_.Write({"target.run",
                  context,
                  parent->span_id,
                  started,
                  std::chrono::system_clock::now(),
                  {{"target", config_.announcement.target},
                   {"status", ToString(answer.outcome.status)}}});
  }
  return {HttpStatusOf(answer.outcome.status),
          "application/json",
          ToJson(answer),
          {},
          false};
}

const HeldSnapshot* SimulatedTarget::FindSnapshot(
    const RunRequest& request) const {
  for (const HeldSnapshot& held : config_.announcement.snapshots) {
    const bool has_part =
        std::ranges::find(held.parts, request.part) != held.parts.end();
    if (held.manifest.id == request.snapshot && has_part) {
      return &held;
    }
  }
  return nullptr;
}

bool SimulatedTarget::ShouldRefuse(const RunRequest& request,
                                   AttemptOutcome& refusal) {
  if (ended_.contains(request.attempt)) {
    refusal.status = AttemptStatus::kCancelled;
    return true;
  }
  if (config_.announcement.state == TargetState::kDraining) {
    refusal.status = AttemptStatus::kDraining;
    return true;
  }
  if (FindSnapshot(request) == nullptr) {
    refusal.status = AttemptStatus::kWrongSnapshot;
    return true;
  }
  const bool full = queue_.size() >= kQueuePerSlot * config_.announcement.slots;
  if (full || random_.Below(100) < simulation_.shed_percent) {
    refusal.status = AttemptStatus::kShed;
    refusal.retry_after = kShedRetryAfter;
    return true;
  }
  return false;
}

bool SimulatedTarget::WaitForSlot(const RunRequest& request,
                                  Instant deadline,
                                  std::unique_lock<std::mutex>& lock) {
  queue_.push_back(request.attempt);
  const bool slot_available = changed_.wait_until(lock, deadline, [&] {
    const bool first = queue_.front() == request.attempt;
    return stopping_ || attempts_.at(request.attempt) == RunState::kCancelled ||
           (first && running_ < config_.announcement.slots);
  });
  const bool cancelled =
      stopping_ || attempts_.at(request.attempt) == RunState::kCancelled;
  std::erase(queue_, request.attempt);
  changed_.notify_all();
  return slot_available && !cancelled;
}

Duration SimulatedTarget::DrawServiceTime() {
  const ServiceTime& service = simulation_.service;
  // Box-Muller instead of std::normal_distribution, whose results for a seed
  // depend on the standard library.
  const double u = 1.0 - random_.Unit();
  const double v = random_.Unit();
  const double normal =
      std::sqrt(-2.0 * std::log(u)) * std::cos(2.0 * M_PI * v);
  double ms = service.median_ms * std::exp(service.sigma * normal);
  if (random_.Unit() * 100.0 < service.straggler_percent) {
    ms *= service.straggler_factor;
  }
  const double age_ms = ToMilliseconds(MonotonicNow() - started_);
  if (age_ms < service.cold_ms) {
    ms *= 1.0 + kColdPenalty * (1.0 - age_ms / service.cold_ms);
  }
  return FromMilliseconds(ms);
}

AttemptOutcome SimulatedTarget::Run(const RunRequest& request,
                                    const std::string& trace) {
  const Instant arrived = MonotonicNow();
  const Instant deadline = arrived + request.budget;
  AttemptOutcome outcome;
  std::unique_lock lock(mutex_);
  if (ShouldRefuse(request, outcome)) {
    return outcome;
  }
  attempts_[request.attempt] = RunState::kQueued;
  if (!WaitForSlot(request, deadline, lock)) {
    attempts_.erase(request.attempt);
    RecordEnded(request.attempt);
    outcome.status = AttemptStatus::kCancelled;
    return outcome;
  }
  ++running_;
  attempts_[request.attempt] = RunState::kRunning;
  outcome.queue_time =
      std::chrono::duration_cast<Duration>(MonotonicNow() - arrived);
  const Duration service = DrawServiceTime();
  json event = {{"event", "start"},
                {"target", config_.announcement.target},
                {"attempt", request.attempt},
                {"trace", trace},
                {"group", request.group},
                {"snapshot", request.snapshot.number},
                {"digest", request.snapshot.digest},
                {"part", request.part},
                {"key", request.idempotency_key},
                {"at_us", MonotonicNow().time_since_epoch().count()}};
  history_.Write(event);
  if (request.query.find(kCrashQueryText) != std::string::npos) {
    _exit(kCrashExitCode);
  }
  changed_.wait_until(lock, MonotonicNow() + service, [&] {
    return stopping_ || attempts_.at(request.attempt) == RunState::kCancelled;
  });
  const bool cancelled = attempts_.at(request.attempt) == RunState::kCancelled;
  --running_;
  attempts_.erase(request.attempt);
  RecordEnded(request.attempt);
  if (cancelled) {
    outcome.status = AttemptStatus::kCancelled;
  } else {
    Answer(request, outcome);
  }
  event["event"] = "end";
  event["status"] = ToString(outcome.status);
  event["at_us"] = MonotonicNow().time_since_epoch().count();
  changed_.notify_all();
  lock.unlock();
  history_.Write(event);
  return outcome;
}

// The snapshot is looked up again: it can be dropped while the request runs.
void SimulatedTarget::Answer(const RunRequest& request,
                             AttemptOutcome& outcome) const {
  const HeldSnapshot* held = FindSnapshot(request);
  if (held == nullptr) {
    outcome.status = AttemptStatus::kWrongSnapshot;
    return;
  }
  outcome.status = AttemptStatus::kAnswered;
  outcome.snapshot = request.snapshot;
  outcome.part = request.part;
  outcome.hits = HitsFor(request);
  for (const ManifestPart& part : held->manifest.parts) {
    outcome.documents += part.part == request.part ? part.documents : 0;
  }
}

void SimulatedTarget::RecordEnded(const std::string& attempt) {
  if (ended_.emplace(attempt, true).second) {
    ended_order_.push_back(attempt);
  }
  if (ended_order_.size() > kMaxEndedAttempts) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

HttpResponse SimulatedTarget::HandleCancel(const HttpRequest& http) {
  Result<json> body = ParseJson(http.body);
  const std::string attempt =
      body ? JsonReader(*body).StringOr("attempt", "") : "";
  const std::lock_guard lock(mutex_);
  auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    RecordEnded(attempt);
    return JsonResponse(200, {{"state", "unknown"}});
  }
  found->second = RunState::kCancelled;
  changed_.notify_all();
  return JsonResponse(200, {{"state", "cancelled"}});
}

// An attempt that is probed before it arrives is refused when it arrives, so
// "unknown" proves that the attempt was not and will not be run.
HttpResponse SimulatedTarget::HandleProbe(const HttpRequest& http) {
  Result<json> body = ParseJson(http.body);
  const std::string attempt =
      body ? JsonReader(*body).StringOr("attempt", "") : "";
  const std::lock_guard lock(mutex_);
  const char* state = "unknown";
  if (attempts_.contains(attempt)) {
    state = "running";
  } else if (ended_.contains(attempt)) {
    state = "finished";
  } else {
    RecordEnded(attempt);
  }
  return JsonResponse(200, {{"state", state},
                            {"incarnation", config_.announcement.incarnation}});
}

HttpResponse SimulatedTarget::HandleSimulationSettings(
    const HttpRequest& http) {
  Result<json> parsed = ParseJson(http.body);
  if (!parsed || !parsed->is_object()) {
    return JsonResponse(400, {{"error", "must be a JSON object"}});
  }
  const json& body = *parsed;
  const std::lock_guard lock(mutex_);
  ServiceTime& service = simulation_.service;
  service.median_ms = body.value("service_ms", service.median_ms);
  service.sigma = body.value("sigma", service.sigma);
  service.straggler_percent =
      body.value("straggler_percent", service.straggler_percent);
  service.straggler_factor =
      body.value("straggler_factor", service.straggler_factor);
  simulation_.shed_percent =
      body.value("shed_percent", simulation_.shed_percent);
  simulation_.report_lag = body.value("report_lag", simulation_.report_lag);
  simulation_.announce = body.value("announce", simulation_.announce);
  if (body.contains("reported_queue")) {
    simulation_.override_queue = true;
    simulation_.reported_queue = body["reported_queue"].get<std::uint32_t>();
  }
  if (body.value("drain", false)) {
    config_.announcement.state = TargetState::kDraining;
  }
  if (body.value("silence", false)) {
    silenced_up_to_connection_ = newest_connection_;
  }
  if (body.contains("snapshots")) {
    Announcement changed = config_.announcement;
    json whole = json::parse(ToJson(changed));
    whole["snapshots"] = body["snapshots"];
    auto reread = ParseAnnouncement(WriteJson(whole));
    if (!reread) {
      return JsonResponse(400, {{"error", reread.error().detail}});
    }
    config_.announcement.snapshots = reread->snapshots;
  }
  return JsonResponse(200, {{"state", "changed"}});
}

}  // namespace snipeworks
