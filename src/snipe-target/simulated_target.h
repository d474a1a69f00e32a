#ifndef SNIPE_TARGET_SIMULATED_TARGET_H_
#define SNIPE_TARGET_SIMULATED_TARGET_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "blocking_server.h"
#include "fleet_config.h"
#include "snipeworks/announcement.h"
#include "snipeworks/history.h"
#include "snipeworks/random.h"
#include "snipeworks/target_protocol.h"
#include "snipeworks/trace.h"

namespace snipeworks {

/// What an experiment can change on a running stand-in.
struct SimulationSettings {
  ServiceTime service;
  std::uint32_t shed_percent = 0;    ///< Share of requests refused for load.
  std::uint32_t reported_queue = 0;  ///< A lie, used if `lie` is set.
  bool lie = false;
  std::size_t report_lag = 0;  ///< Reports are this many announcements old.
  bool announce = true;        ///< False falls silent to the platform.
};

/// A stand-in for one back end: it queues for slots, takes its time, keeps
/// snapshots, sheds, drains, cancels and fails on demand.
class SimulatedTarget {
 public:
  /// Starts serving at the config's address. Fails with kInternal.
  static Result<std::unique_ptr<SimulatedTarget>> Start(
      TargetConfig config,
      std::uint64_t incarnation,
      HistoryWriter& history,
      SpanWriter& spans);
  ~SimulatedTarget();

  /// The next announcement, with a new sequence.
  Announcement NextAnnouncement();
  bool announces();

  /// Takes no new work; what is running goes on.
  void Drain();
  /// True once nothing runs and nothing waits.
  bool Idle();

 private:
  enum class RunState { kQueued, kRunning, kCancelled };

  SimulatedTarget(TargetConfig config,
                  std::uint64_t incarnation,
                  HistoryWriter& history,
                  SpanWriter& spans);

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandleRun(const HttpRequest& request);
  HttpResponse HandleCancel(const HttpRequest& request);
  HttpResponse HandleProbe(const HttpRequest& request);
  HttpResponse HandleSimulationSettings(const HttpRequest& request);

  AttemptOutcome Run(const RunRequest& request, const std::string& trace);
  void Answer(const RunRequest& request, AttemptOutcome& outcome) const;
  bool Refuses(const RunRequest& request, AttemptOutcome& refusal);
  bool WaitForSlot(const RunRequest& request,
                   Instant deadline,
                   std::unique_lock<std::mutex>& lock);
  Duration DrawServiceTime();
  const HeldSnapshot* Find(const RunRequest& request) const;
  void ConnectionCost(std::uint64_t connection);
  bool IsSilent(std::uint64_t connection);
  void Remember(const std::string& attempt);

  TargetConfig config_;
  HistoryWriter& history_;
  SpanWriter& spans_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Random random_;
  SimulationSettings simulation_;
  Instant started_ = MonotonicNow();
  std::uint64_t sequence_ = 0;
  std::deque<std::uint32_t> reports_;  ///< Loads not reported yet.
  std::uint32_t running_ = 0;
  std::deque<std::string> queue_;
  std::map<std::string, RunState> attempts_;
  /// Attempts that have ended or were asked for before they came; the oldest
  /// are forgotten.
  std::map<std::string, bool> ended_;
  std::deque<std::string> ended_order_;
  std::uint64_t newest_connection_ = 0;
  std::uint64_t silent_up_to_ = 0;
  bool stopping_ = false;
  std::unique_ptr<BlockingServer> server_;
};

}  // namespace snipeworks

#endif  // SNIPE_TARGET_SIMULATED_TARGET_H_
