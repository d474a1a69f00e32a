#include "snipeworks/event_loop.h"

#include <algorithm>
#include <array>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include <uv.h>

namespace snipeworks {

namespace {

// libuv timers count whole milliseconds; rounding up ensures that they never
// fire early.
std::uint64_t ToUvMilliseconds(Duration delay) {
  const auto micros = std::max<std::int64_t>(0, delay.count());
  return static_cast<std::uint64_t>((micros + 999) / 1000);
}

struct TimerTask {
  uv_timer_t handle;
  EventLoop::Task task;
  bool once = true;
};

struct SignalTask {
  uv_signal_t handle;
  EventLoop::Task task;
};

struct BlockingTask {
  uv_work_t request;
  EventLoop::Task work;
  EventLoop::Task done;
};

void DeleteTimer(uv_handle_t* handle) {
  delete static_cast<TimerTask*>(handle->data);
}

void DeleteSignal(uv_handle_t* handle) {
  delete static_cast<SignalTask*>(handle->data);
}

void CloseRemainingHandle(uv_handle_t* handle, void*) {
  if (uv_is_closing(handle)) {
    return;
  }
  uv_close_cb on_closed = nullptr;
  if (handle->type == UV_TIMER && handle->data != nullptr) {
    on_closed = DeleteTimer;
  } else if (handle->type == UV_SIGNAL) {
    on_closed = DeleteSignal;
  }
  uv_close(handle, on_closed);
}

}  // namespace

class EventLoop::Impl {
 public:
  Impl() {
    uv_loop_init(&loop_);
    uv_async_init(&loop_, &wakeup_, [](uv_async_t* handle) {
      static_cast<Impl*>(handle->data)->RunPosted();
    });
    wakeup_.data = this;
    uv_prepare_init(&loop_, &poll_start_);
    poll_start_.data = this;
    uv_prepare_start(&poll_start_, [](uv_prepare_t* handle) {
      auto& starts = static_cast<Impl*>(handle->data)->poll_starts_;
      std::shift_left(starts.begin(), starts.end(), 1);
      starts.back() = MonotonicNow();
    });
  }

  // Tasks that have not run may own handles of this loop, so they are destroyed
  // before the loop is closed.
  ~Impl() {
    posted_.clear();
    uv_walk(&loop_, CloseRemainingHandle, nullptr);
    uv_run(&loop_, UV_RUN_DEFAULT);
    uv_loop_close(&loop_);
  }

  void Post(Task task) {
    {
      const std::lock_guard lock(mutex_);
      posted_.push_back(std::move(task));
    }
    uv_async_send(&wakeup_);
  }

  void AddTimer(Duration delay, Duration repeat, Task task) {
    auto* timer = new TimerTask{{}, std::move(task), repeat == Duration{}};
    uv_timer_init(&loop_, &timer->handle);
    timer->handle.data = timer;
    uv_timer_start(
        &timer->handle,
        [](uv_timer_t* handle) {
          auto* fired = static_cast<TimerTask*>(handle->data);
          fired->task();
          if (fired->once) {
            uv_close(reinterpret_cast<uv_handle_t*>(handle), DeleteTimer);
          }
        },
        ToUvMilliseconds(delay), ToUvMilliseconds(repeat));
  }

  void OnSignal(int signal, Task task) {
    auto* entry = new SignalTask{{}, std::move(task)};
    uv_signal_init(&loop_, &entry->handle);
    entry->handle.data = entry;
    uv_signal_start(
        &entry->handle,
        [](uv_signal_t* handle, int) {
          static_cast<SignalTask*>(handle->data)->task();
        },
        signal);
  }

  // libuv runs timers before it polls for I/O and I/O callbacks after it, so
  // the task runs at both ends of the poll.
  void AfterEventBatch(Task task) {
    after_batch_task_ = std::move(task);
    uv_prepare_init(&loop_, &prepare_);
    prepare_.data = this;
    uv_prepare_start(&prepare_, [](uv_prepare_t* handle) {
      static_cast<Impl*>(handle->data)->after_batch_task_();
    });
    uv_check_init(&loop_, &check_);
    check_.data = this;
    uv_check_start(&check_, [](uv_check_t* handle) {
      static_cast<Impl*>(handle->data)->after_batch_task_();
    });
  }

  // What an earlier poll did not report happened after the start of that poll.
  // The first bytes of a connection may have come before it was accepted, one
  // poll ago.
  Instant events_since() const { return poll_starts_.front(); }

  uv_loop_t* loop() { return &loop_; }

 private:
  void RunPosted() {
    std::vector<Task> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks = std::exchange(posted_, {});
    }
    for (Task& task : tasks) {
      task();
    }
  }

  uv_loop_t loop_;
  uv_async_t wakeup_;
  uv_prepare_t poll_start_{};
  /// Of this poll and the two before it, oldest first.
  std::array<Instant, 3> poll_starts_ = {MonotonicNow(), MonotonicNow(),
                                         MonotonicNow()};
  uv_prepare_t prepare_{};
  uv_check_t check_{};
  Task after_batch_task_;
  std::mutex mutex_;
  std::vector<Task> posted_;
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {}

EventLoop::~EventLoop() = default;

void EventLoop::Run() {
  uv_run(impl_->loop(), UV_RUN_DEFAULT);
}

void EventLoop::Stop() {
  uv_stop(impl_->loop());
}

void EventLoop::RunBlocking(Task work, Task done) {
  auto* task = new BlockingTask{{}, std::move(work), std::move(done)};
  task->request.data = task;
  uv_queue_work(
      raw(), &task->request,
      [](uv_work_t* request) {
        static_cast<BlockingTask*>(request->data)->work();
      },
      [](uv_work_t* request, int) {
        const std::unique_ptr<BlockingTask> task(
            static_cast<BlockingTask*>(request->data));
        task->done();
      });
}

void EventLoop::Post(Task task) {
  impl_->Post(std::move(task));
}

void EventLoop::After(Duration delay, Task task) {
  impl_->AddTimer(delay, Duration{}, std::move(task));
}

void EventLoop::Every(Duration interval, Task task) {
  impl_->AddTimer(interval, interval, std::move(task));
}

void EventLoop::OnSignal(int signal, Task task) {
  impl_->OnSignal(signal, std::move(task));
}

void EventLoop::AfterEventBatch(Task task) {
  impl_->AfterEventBatch(std::move(task));
}

Instant EventLoop::events_since() const {
  return impl_->events_since();
}

uv_loop_s* EventLoop::raw() {
  return impl_->loop();
}

// libuv closes the handle after the owner is destroyed, so this object deletes
// itself in the close callback.
class LoopTimer::Impl {
 public:
  Impl(uv_loop_t* loop, EventLoop::Task task) : task_(std::move(task)) {
    uv_timer_init(loop, &handle_);
    // The loop's destructor frees timers whose `data` is set; this one is freed
    // by Close.
    handle_.data = nullptr;
  }

  void Set(Duration delay) {
    uv_timer_start(
        &handle_,
        [](uv_timer_t* handle) { reinterpret_cast<Impl*>(handle)->task_(); },
        ToUvMilliseconds(delay), 0);
  }

  void Close() {
    task_ = nullptr;
    if (!uv_is_closing(reinterpret_cast<uv_handle_t*>(&handle_))) {
      uv_close(
          reinterpret_cast<uv_handle_t*>(&handle_),
          [](uv_handle_t* handle) { delete reinterpret_cast<Impl*>(handle); });
    }
  }

 private:
  // Must be first: the callbacks cast its address to Impl.
  uv_timer_t handle_;
  EventLoop::Task task_;
};

LoopTimer::LoopTimer(EventLoop& loop, EventLoop::Task task)
    : impl_(new Impl(loop.raw(), std::move(task))) {}

LoopTimer::~LoopTimer() {
  impl_->Close();
}

void LoopTimer::Set(Duration delay) {
  impl_->Set(delay);
}

}  // namespace snipeworks
