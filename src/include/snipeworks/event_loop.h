#ifndef SNIPEWORKS_EVENT_LOOP_H_
#define SNIPEWORKS_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "snipeworks/clock.h"

struct uv_loop_s;

namespace snipeworks {

/// The single thread that owns a program's state. All members but Post must be
/// called on it, or before Run.
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

  /// Runs `task` on the loop soon. May be called from any thread.
  void Post(Task task);
  /// Runs `task` once after `delay`.
  void After(Duration delay, Task task);
  /// Runs `task` again and again until the loop stops.
  void Every(Duration interval, Task task);
  /// Runs `task` on the loop when the process gets `signal`.
  void OnSignal(int signal, Task task);

  /// Runs `task` after each batch of events and timers, before the loop waits.
  /// May be set once.
  void AfterEventBatch(Task task);

  uv_loop_s* raw();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// A timer that can be set again and again.
class LoopTimer {
 public:
  LoopTimer(EventLoop& loop, EventLoop::Task task);
  ~LoopTimer();
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /// Runs the task once after `delay`, instead of when it was last set to.
  void Set(Duration delay);

 private:
  class Impl;
  Impl* impl_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_EVENT_LOOP_H_
