#ifndef SNIPEWORKS_EVENT_LOOP_H_
#define SNIPEWORKS_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "snipeworks/clock.h"

struct uv_loop_s;

namespace snipeworks {

/// The event loop of the single thread that owns a program's state. All members
/// but Post must be called on that thread, or before Run.
class EventLoop {
 public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop.
  void Run();
  void Stop();

  /// Queues `task` to run on the loop. May be called from any thread.
  void Post(Task task);
  /// Runs `task` once after `delay`.
  void After(Duration delay, Task task);
  /// Runs `task` at each `interval` until the loop stops.
  void Every(Duration interval, Task task);
  /// Runs `work` on another thread and then `done` on the loop. For calls that
  /// block, such as those that wait for a disk.
  void RunBlocking(Task work, Task done);
  /// Runs `task` on the loop when the process gets `signal`.
  void OnSignal(int signal, Task task);

  /// Runs `task` after each batch of timers and each batch of I/O events, so
  /// also before the loop waits. May be called once.
  void AfterEventBatch(Task task);

  /// The I/O events that are being handled happened after this time, however
  /// long the process was stopped meanwhile.
  Instant events_since() const;

  uv_loop_s* raw();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// A timer that can be set repeatedly.
class LoopTimer {
 public:
  LoopTimer(EventLoop& loop, EventLoop::Task task);
  ~LoopTimer();
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /// Runs the task once after `delay`; replaces an earlier setting.
  void Set(Duration delay);

 private:
  class Impl;
  Impl* impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_EVENT_LOOP_H_
