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

/// What an experiment can change on a running target, with a POST to
/// /v1/stand-in.
struct SimulationSettings {
  ServiceTime service;
  std::uint32_t shed_percent = 0;    ///< Share of requests that are shed.
  std::uint32_t reported_queue = 0;  ///< Used if `override_queue` is set.
  /// Announce `reported_queue` instead of the real queue length.
  bool override_queue = false;
  std::size_t report_lag = 0;  ///< Age of the reported load, in announcements.
  bool announce = true;        ///< False stops the announcements.
};

/// Simulates one target: queues requests for slots, runs each for a random
/// service time, holds snapshots, sheds, drains, cancels and fails on demand.
class SimulatedTarget {
 public:
  /// Starts serving at the configured address. Fails with kInternal.
  static Result<std::unique_ptr<SimulatedTarget>> Start(
      TargetConfig config,
      std::uint64_t incarnation,
      HistoryWriter& history,
      SpanWriter& spans);
  ~SimulatedTarget();

  /// The next announcement, with the next sequence number.
  Announcement NextAnnouncement();
  bool announces();

  /// Refuses new requests; queued and running ones are completed.
  void Drain();
  /// True if no request is running, queued or being answered.
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
  bool ShouldRefuse(const RunRequest& request, AttemptOutcome& refusal);
  bool WaitForSlot(const RunRequest& request,
                   Instant deadline,
                   std::unique_lock<std::mutex>& lock);
  Duration DrawServiceTime();
  const HeldSnapshot* FindSnapshot(const RunRequest& request) const;
  void SimulateConnectionSetup(std::uint64_t connection);
  bool BlockIfSilenced(std::uint64_t connection);
  void RecordEnded(const std::string& attempt);

  TargetConfig config_;
  HistoryWriter& history_;
  SpanWriter& spans_;
  std::mutex mutex_;
  std::condition_variable changed_;
  Random random_;
  SimulationSettings simulation_;
  Instant started_ = MonotonicNow();
  std::uint64_t sequence_ = 0;
  /// The latest queue lengths, oldest first; report_lag delays them.
  std::deque<std::uint32_t> delayed_queue_lengths_;
  std::uint32_t running_ = 0;
  std::deque<std::string> queue_;
  std::map<std::string, RunState> attempts_;
  /// Attempts that ended, or that a cancel or probe named before they arrived.
  /// Bounded: the oldest are dropped first.
  std::map<std::string, bool> ended_;
  std::deque<std::string> ended_order_;
  std::uint64_t newest_connection_ = 0;
  std::uint64_t silenced_up_to_connection_ = 0;
  bool stopping_ = false;
  std::unique_ptr<BlockingServer> server_;
};

}  // namespace snipeworks

#endif  // SNIPE_TARGET_SIMULATED_TARGET_H_
