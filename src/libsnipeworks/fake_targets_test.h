#ifndef SNIPEWORKS_LIBSNIPEWORKS_FAKE_TARGETS_TEST_H_
#define SNIPEWORKS_LIBSNIPEWORKS_FAKE_TARGETS_TEST_H_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "snipeworks/random.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// The response of a fake target to an attempt.
struct FakeReply {
  Duration after{};
  AttemptStatus status = AttemptStatus::kAnswered;
  Duration retry_after{};
  /// The target sends no answer, and probes report the attempt as unknown.
  bool silent = false;
};

/// Simulates the targets of one group for one SearchController, on a simulated
/// clock.
class FakeTargets {
 public:
  using Behaviour = std::function<FakeReply(const AttemptCommand&)>;

  explicit FakeTargets(std::uint64_t seed = 1,
                       std::uint32_t fleet_hosts = 1,
                       std::string host = "entry-1")
      : random(seed), controller({std::move(host), fleet_hosts, seed}) {}

  /// Adds targets "t<part>-<replica>" of group "g" and announces them.
  void AddTargets(std::size_t parts,
                  std::size_t replicas,
                  const std::string& digest = "d1",
                  std::uint64_t number = 1) {
    for (PartNumber part = 0; part < parts; ++part) {
      for (std::size_t replica = 0; replica < replicas; ++replica) {
        Announcement announcement;
        announcement.target =
            "t" + std::to_string(part) + "-" + std::to_string(replica);
        announcement.incarnation = 1;
        announcement.zone = "z" + std::to_string(replica);
        announcement.address = "127.0.0.1:1";
        announcement.group = "g";
        announcement.slots = slots;
        announcement.connections = 30;
        announcement.snapshots = {{ManifestOf(parts, digest, number), {part}}};
        targets[announcement.target] = announcement;
      }
    }
    AnnounceAll();
  }

  static Manifest ManifestOf(std::size_t parts,
                             const std::string& digest,
                             std::uint64_t number) {
    Manifest manifest{{number, digest}, {}};
    for (PartNumber part = 0; part < parts; ++part) {
      manifest.parts.push_back({part, 100});
    }
    return manifest;
  }

  void Announce(Announcement& announcement) {
    ++announcement.sequence;
    controller.Announce(now, announcement);
    ProcessActions();
  }

  void AnnounceAll() {
    for (auto& [name, announcement] : targets) {
      Announce(announcement);
    }
  }

  RequestId Search(const std::string& query,
                   RequestClass request_class = RequestClass::kNormal,
                   std::optional<Duration> budget = {}) {
    SearchRequest request;
    request.id = ++last_request;
    request.group = "g";
    request.query = query;
    request.request_class = request_class;
    request.budget = budget;
    submitted[request.id] = now;
    controller.Submit(now, request);
    ProcessActions();
    return request.id;
  }

  /// Advances the clock by `length`, with announcements every 500 ms.
  void Run(Duration length) {
    const Instant end = now + length;
    while (now < end) {
      Instant next = std::min(end, next_announcement);
      if (auto due = controller.NextDue()) {
        next = std::min(next, *due);
      }
      if (!events.empty()) {
        next = std::min(next, events.begin()->first);
      }
      now = std::max(now, next);
      if (now >= next_announcement) {
        next_announcement = now + std::chrono::milliseconds(500);
        if (announcing) {
          AnnounceAll();
        }
      }
      while (!events.empty() && events.begin()->first <= now) {
        auto node = events.extract(events.begin());
        node.mapped()();
        ProcessActions();
      }
      controller.Tick(now);
      ProcessActions();
    }
  }

  bool Finished(RequestId id) const { return results.contains(id); }
  const Result<SearchAnswer>& ResultOf(RequestId id) const {
    return results.at(id);
  }
  Duration LatencyOf(RequestId id) const {
    return finished_at.at(id) - submitted.at(id);
  }
  int ExtraAttempts() const {
    return sent[AttemptKind::kHedge] + sent[AttemptKind::kRetry];
  }

  std::uint32_t slots = 4;
  Instant now{std::chrono::seconds(1000)};
  Random random;
  SearchController controller;
  Behaviour behaviour = [](const AttemptCommand&) {
    return FakeReply{std::chrono::milliseconds(10)};
  };
  /// Whether the answer to an attempt reports that its target drains.
  std::function<bool(const AttemptCommand&)> reports_draining =
      [](const AttemptCommand&) { return false; };
  std::vector<std::string> reported_draining;
  /// Targets whose unsent attempts were to be cancelled.
  std::vector<std::string> unsent_cancelled;
  bool announcing = true;
  std::map<std::string, Announcement> targets;
  std::multimap<Instant, std::function<void()>> events;
  Instant next_announcement{};
  RequestId last_request = 0;
  std::map<RequestId, Result<SearchAnswer>> results;
  std::map<RequestId, Instant> submitted;
  std::map<RequestId, Instant> finished_at;
  mutable std::map<AttemptKind, int> sent;
  std::vector<AttemptCommand> commands;
  std::vector<PoisonEvidence> evidence;
  /// Called with shared evidence; returns whether a peer runs the request.
  std::function<bool(const PoisonEvidence&)> share_with_peers =
      [](const PoisonEvidence&) { return false; };

 private:
  struct InFlight {
    AttemptCommand command;
    bool silent = false;
  };

  void ProcessActions() {
    for (const SearchAction& action : controller.TakeActions()) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        Start(start->command);
      } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        End(cancel->id, {AttemptStatus::kCancelled}, Duration(500));
      } else if (const auto* probe = std::get_if<ProbeAttempt>(&action)) {
        Probe(probe->id);
      } else if (const auto* finish = std::get_if<FinishSearch>(&action)) {
        results.emplace(finish->id, finish->result);
        finished_at[finish->id] = now;
      } else if (const auto* draining = std::get_if<ReportDraining>(&action)) {
        reported_draining.push_back(draining->announcement.target);
      } else if (const auto* unsent =
                     std::get_if<CancelUnsentAttempts>(&action)) {
        unsent_cancelled.push_back(unsent->target);
      } else if (const auto* share = std::get_if<ShareEvidence>(&action)) {
        Share(*share);
      }
    }
  }

  void Start(const AttemptCommand& command) {
    ++sent[command.kind];
    commands.push_back(command);
    const FakeReply reply = behaviour(command);
    in_flight[command.id] = {command, reply.silent};
    if (reply.silent) {
      return;
    }
    AttemptOutcome outcome;
    outcome.status = reply.status;
    outcome.retry_after = reply.retry_after;
    outcome.draining = reports_draining(command);
    outcome.snapshot = command.snapshot;
    outcome.part = command.part;
    outcome.documents = 100;
    outcome.hits = {{command.snapshot.digest + "/" +
                         std::to_string(command.part) + "/" + *command.query,
                     1.0}};
    End(command.id, outcome, reply.after);
  }

  void End(AttemptId id, const AttemptOutcome& outcome, Duration after) {
    events.emplace(now + after, [this, id, outcome] {
      if (in_flight.erase(id) > 0) {
        controller.OnOutcome(now, id, outcome);
      }
    });
  }

  void Probe(AttemptId id) {
    auto found = in_flight.find(id);
    if (found == in_flight.end()) {
      return;
    }
    const ProbeState state =
        found->second.silent ? ProbeState::kUnknown : ProbeState::kRunning;
    events.emplace(now + std::chrono::milliseconds(2), [this, id, state] {
      if (in_flight.contains(id)) {
        controller.OnProbe(now, id, state);
      }
    });
  }

  void Share(const ShareEvidence& share) {
    evidence.push_back(share.evidence);
    const bool running = share_with_peers(share.evidence);
    if (share.confirm) {
      events.emplace(now + std::chrono::milliseconds(1),
                     [this, fingerprint = share.evidence.fingerprint, running] {
                       controller.OnEvidenceShared(now, fingerprint, running);
                     });
    }
  }

  std::map<AttemptId, InFlight> in_flight;
};

/// Runs enough searches that latencies are measured and the query "q" needs no
/// canary.
inline void WarmUp(FakeTargets& fake, int searches = 60) {
  for (int i = 0; i < searches; ++i) {
    fake.Search("q");
    fake.Run(std::chrono::milliseconds(25));
  }
  fake.sent.clear();
  fake.commands.clear();
}

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_FAKE_TARGETS_TEST_H_
