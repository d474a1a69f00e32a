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

/// What a fake target does with an attempt.
struct FakeReply {
  Duration after{};
  AttemptStatus status = AttemptStatus::kAnswered;
  Duration retry_after{};
  /// Never answers; a probe finds that it never got the request.
  bool silent = false;
};

/// Targets of one group under a fake clock, driving one SearchController.
class FakeTargets {
 public:
  using Behaviour = std::function<FakeReply(const AttemptCommand&)>;

  explicit FakeTargets(std::uint64_t seed = 1,
                       std::uint32_t fleet_hosts = 1,
                       std::string host = "entry-1")
      : random(seed), controller({std::move(host), fleet_hosts, seed}) {}

  /// Targets "t<part>-<replica>" of group "g".
  void AddTargets(std::size_t parts,
                  std::size_t replicas,
                  const std::string& digest = "d1",
                  std::uint64_t number = 1) {
    for (PartNumber part = 0; part < parts; ++part) {
      for (std::size_t replica = 0; replica < replicas; ++replica) {
        Announcement one;
        one.target = "t" + std::to_string(part) + "-" + std::to_string(replica);
        one.incarnation = 1;
        one.zone = "z" + std::to_string(replica);
        one.address = "127.0.0.1:1";
        one.group = "g";
        one.slots = slots;
        one.connections = 30;
        one.snapshots = {{ManifestOf(parts, digest, number), {part}}};
        targets[one.target] = one;
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

  void Announce(Announcement& one) {
    ++one.sequence;
    controller.Announce(now, one);
    Drain();
  }

  void AnnounceAll() {
    for (auto& [name, one] : targets) {
      Announce(one);
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
    Drain();
    return request.id;
  }

  /// Lets time pass, with announcements twice a second.
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
        Drain();
      }
      controller.Tick(now);
      Drain();
    }
  }

  bool Finished(RequestId id) const { return results.contains(id); }
  const Result<SearchAnswer>& ResultOf(RequestId id) const {
    return results.at(id);
  }
  Duration LatencyOf(RequestId id) const {
    return finished_at.at(id) - submitted.at(id);
  }
  int Extra() const {
    return sent[AttemptKind::kHedge] + sent[AttemptKind::kRetry];
  }

  std::uint32_t slots = 4;
  Instant now{std::chrono::seconds(1000)};
  Random random;
  SearchController controller;
  Behaviour behaviour = [](const AttemptCommand&) {
    return FakeReply{std::chrono::milliseconds(10)};
  };
  /// Whether the answer to an attempt says that its target leaves.
  std::function<bool(const AttemptCommand&)> leaving =
      [](const AttemptCommand&) { return false; };
  std::vector<std::string> told_to_leave;
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
  /// What the other hosts answer when they are told of evidence.
  std::function<bool(const PoisonEvidence&)> tell_others =
      [](const PoisonEvidence&) { return false; };

 private:
  struct Open {
    AttemptCommand command;
    bool silent = false;
  };

  void Drain() {
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
      } else if (const auto* leaves = std::get_if<ReportDraining>(&action)) {
        told_to_leave.push_back(leaves->announcement.target);
      } else if (const auto* share = std::get_if<ShareEvidence>(&action)) {
        Share(*share);
      }
    }
  }

  void Start(const AttemptCommand& command) {
    ++sent[command.kind];
    commands.push_back(command);
    const FakeReply reply = behaviour(command);
    open[command.id] = {command, reply.silent};
    if (reply.silent) {
      return;
    }
    AttemptOutcome outcome;
    outcome.status = reply.status;
    outcome.retry_after = reply.retry_after;
    outcome.draining = leaving(command);
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
      if (open.erase(id) > 0) {
        controller.OnOutcome(now, id, outcome);
      }
    });
  }

  void Probe(AttemptId id) {
    auto found = open.find(id);
    if (found == open.end()) {
      return;
    }
    const ProbeState state =
        found->second.silent ? ProbeState::kUnknown : ProbeState::kRunning;
    events.emplace(now + std::chrono::milliseconds(2), [this, id, state] {
      if (open.contains(id)) {
        controller.OnProbe(now, id, state);
      }
    });
  }

  void Share(const ShareEvidence& share) {
    evidence.push_back(share.evidence);
    const bool running = tell_others(share.evidence);
    if (share.confirm) {
      events.emplace(now + std::chrono::milliseconds(1),
                     [this, fingerprint = share.evidence.fingerprint, running] {
                       controller.OnEvidenceShared(now, fingerprint, running);
                     });
    }
  }

  std::map<AttemptId, Open> open;
};

/// Enough searches that latencies are learnt and every query is known.
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
