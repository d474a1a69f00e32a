#include "blocking_server.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "snipeworks/event_loop.h"
#include "snipeworks/http_listener.h"

namespace snipeworks {

namespace {

constexpr int kInternalErrorStatus = 500;

}  // namespace

class BlockingServer::Impl {
 public:
  explicit Impl(Handler handler) : handler_(std::move(handler)) {}

  ~Impl() {
    loop_.Post([this] {
      listener_.reset();
      loop_.Stop();
    });
    if (loop_thread_.joinable()) {
      loop_thread_.join();
    }
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    for (std::thread& worker : workers_) {
      worker.join();
    }
  }

  Result<void> Start(const Address& address, std::size_t max_connections) {
    ListenerLimits limits;
    limits.max_connections = max_connections;
    auto listener =
        HttpListener::Start(loop_, address, limits,
                            {[this](ExchangeId exchange, HttpRequest request) {
                               Enqueue(exchange, std::move(request));
                             },
                             [](ExchangeId) {}});
    if (!listener) {
      return tl::unexpected(listener.error());
    }
    listener_ = std::move(*listener);
    loop_.AfterEventBatch([this] { UpdateConnectionCounts(); });
    loop_thread_ = std::thread([this] { loop_.Run(); });
    return {};
  }

  std::size_t in_flight() const { return in_flight_; }
  std::size_t connections() const { return connections_; }
  std::size_t max_connections_seen() const { return max_connections_seen_; }

 private:
  struct Job {
    ExchangeId exchange = 0;
    HttpRequest request;
  };

  void UpdateConnectionCounts() {
    if (listener_) {
      connections_ = listener_->connections();
      max_connections_seen_ = listener_->max_connections_seen();
    }
  }

  // Starts a worker unless an idle one is left for the request, so that a
  // blocked handler delays no other request. The connection limit bounds the
  // number of workers.
  void Enqueue(ExchangeId exchange, HttpRequest request) {
    ++in_flight_;
    const std::lock_guard lock(mutex_);
    jobs_.push_back({exchange, std::move(request)});
    if (jobs_.size() > idle_workers_) {
      workers_.emplace_back([this] { RunWorker(); });
    }
    changed_.notify_one();
  }

  void RunWorker() {
    std::unique_lock lock(mutex_);
    while (true) {
      ++idle_workers_;
      changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      --idle_workers_;
      if (stopping_) {
        return;
      }
      const Job job = std::move(jobs_.front());
      jobs_.pop_front();
      lock.unlock();
      HttpResponse response = HandleRequest(job.request);
      loop_.Post(
          [this, exchange = job.exchange, response = std::move(response)] {
            if (listener_) {
              listener_->SendResponse(exchange, response);
            }
            --in_flight_;
          });
      lock.lock();
    }
  }

  HttpResponse HandleRequest(const HttpRequest& request) {
    try {
      return handler_(request);
    } catch (const std::exception& error) {
      LOG(ERROR) << "event=handler_failed reason=\"" << error.what() << "\"";
      return {
          kInternalErrorStatus, "text/plain", "the request failed\n", {}, true};
    }
  }

  Handler handler_;
  EventLoop loop_;
  std::unique_ptr<HttpListener> listener_;
  std::thread loop_thread_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Job> jobs_;
  std::vector<std::thread> workers_;
  std::size_t idle_workers_ = 0;
  bool stopping_ = false;
  std::atomic<std::size_t> in_flight_ = 0;
  std::atomic<std::size_t> connections_ = 0;
  std::atomic<std::size_t> max_connections_seen_ = 0;
};

BlockingServer::BlockingServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

BlockingServer::~BlockingServer() = default;

Result<std::unique_ptr<BlockingServer>> BlockingServer::Start(
    const Address& address,
    std::size_t max_connections,
    Handler handler) {
  auto impl = std::make_unique<Impl>(std::move(handler));
  if (auto started = impl->Start(address, max_connections); !started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<BlockingServer>(new BlockingServer(std::move(impl)));
}

std::size_t BlockingServer::in_flight() const {
  return impl_->in_flight();
}

std::size_t BlockingServer::connections() const {
  return impl_->connections();
}

std::size_t BlockingServer::max_connections_seen() const {
  return impl_->max_connections_seen();
}

}  // namespace snipeworks
