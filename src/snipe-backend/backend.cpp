#include "backend.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

namespace snipeworks {

namespace {

using std::chrono::milliseconds;

constexpr int kRefusedStatus = 503;
constexpr int kCrashExitCode = 3;
constexpr int kMisdirectedStatus = 421;
constexpr Duration kReportTimeout = milliseconds(1000);
// Work takes between half and one and a half of its plan.
constexpr double kLeastWork = 0.5;

// FNV-1a: a checker in any language can compute it again.
constexpr std::uint64_t kFnvBasis = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t Fnv(const std::string& text, std::uint64_t hash) {
  for (unsigned char byte : text) {
    hash = (hash ^ byte) * kFnvPrime;
  }
  return hash;
}

std::string BigEndian(std::uint64_t value) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes += static_cast<char>(value >> shift);
  }
  return bytes;
}

std::uint64_t WallMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

std::string RecordsOf(const std::string& group,
                      const std::string& method,
                      const std::string& target,
                      std::size_t count) {
  std::string records;
  std::string key = group;
  key += '\n';
  key += method;
  key += '\n';
  key += target;
  key += '\n';
  for (std::size_t i = 0; i < count; ++i) {
    const std::string text = key + std::to_string(i);
    records += BigEndian(Fnv(text, kFnvBasis));
    records += BigEndian(Fnv(text, kFnvBasis + 1));
  }
  return records;
}

Backend::Backend(EventLoop& loop, BackendPlan plan, OnEvent on_event)
    : loop_(loop),
      plan_(std::move(plan)),
      on_event_(std::move(on_event)),
      random_(std::random_device()()),
      name_(plan_.group + "-" + std::to_string(plan_.address.port) + "-" +
            std::to_string(random_.Below(1000000))),
      incarnation_(WallMilliseconds()),
      client_(loop) {}

Result<void> Backend::Start() {
  auto listener =
      HttpListener::Start(loop_, plan_.address, {},
                          {[this](ExchangeId exchange, HttpRequest request) {
                             OnRequest(exchange, std::move(request));
                           },
                           [this](ExchangeId exchange) {
                             std::erase_if(waiting_, [&](const Work& work) {
                               return work.exchange == exchange;
                             });
                             End(exchange);
                           }});
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  listener_ = std::move(*listener);
  loop_.Every(plan_.report_interval, [this] { Report(); });
  Report();
  return {};
}

std::string Backend::Load() const {
  return std::to_string(running_.size()) + "," +
         std::to_string(waiting_.size()) + "," + std::to_string(plan_.slots);
}

void Backend::OnRequest(ExchangeId exchange, HttpRequest request) {
  const std::string_view expected = request.Header(names_.expected_target);
  if (!expected.empty() && expected != name_) {
    Refuse(exchange, kMisdirectedStatus);
    return;
  }
  Work work;
  work.exchange = exchange;
  std::int64_t left = 10000;
  const std::string_view text = request.Header(names_.deadline_ms);
  std::from_chars(text.data(), text.data() + text.size(), left);
  work.deadline = MonotonicNow() + milliseconds(left);
  work.request = std::move(request);
  if (running_.size() < plan_.slots) {
    Begin(std::move(work));
  } else if (waiting_.size() < plan_.queue) {
    waiting_.push_back(std::move(work));
  } else {
    Refuse(exchange, kRefusedStatus);
  }
}

void Backend::Refuse(ExchangeId exchange, int status) {
  HttpResponse response;
  response.status = status;
  response.content_type.clear();
  response.headers = {{names_.not_run, "1"}, {names_.load, Load()}};
  listener_->SendResponse(exchange, response);
}

void Backend::Begin(Work work) {
  const ExchangeId exchange = work.exchange;
  on_event_("run", std::string(work.request.Header(names_.request_id)));
  const bool crashes =
      !plan_.crash_on.empty() &&
      work.request.target.find(plan_.crash_on) != std::string::npos;
  if (crashes) {
    std::_Exit(kCrashExitCode);
  }
  running_[exchange] = std::move(work);
  const double share = kLeastWork + random_.Unit();
  loop_.After(
      Duration(static_cast<std::int64_t>(
          static_cast<double>(plan_.work.count()) * share)),
      [this, exchange] {
        auto found = running_.find(exchange);
        if (found == running_.end()) {
          return;
        }
        const HttpRequest& request = found->second.request;
        const std::string id(request.Header(names_.request_id));
        HttpResponse response;
        response.content_type = "application/octet-stream";
        response.body = RecordsOf(plan_.group, request.method, request.target,
                                  plan_.records);
        response.headers = {
            {names_.request_id, id},
            {names_.signature, plan_.group + "." + id + "." + name_},
            {names_.load, Load()}};
        if (draining_) {
          response.headers.push_back({names_.leaving, names_.leaving_value});
        }
        listener_->SendResponse(exchange, response);
        End(exchange);
      });
}

void Backend::End(ExchangeId exchange) {
  if (running_.erase(exchange) == 0) {
    return;
  }
  while (running_.size() < plan_.slots && !waiting_.empty()) {
    Work next = std::move(waiting_.front());
    waiting_.pop_front();
    if (MonotonicNow() >= next.deadline) {
      Refuse(next.exchange, kRefusedStatus);
    } else {
      Begin(std::move(next));
    }
  }
}

// A report that is not acknowledged goes to the next control host.
void Backend::Report() {
  if (std::exchange(reporting_, true)) {
    return;
  }
  const ReportNames& names = calls_.report;
  HttpCall call;
  call.address = plan_.controls[control_ % plan_.controls.size()];
  call.path = calls_.report_prefix + name_ + calls_.report_suffix;
  call.timeout = kReportTimeout;
  call.body =
      nlohmann::json{{names.group, plan_.group},
                     {names.address, plan_.reported.ToString()},
                     {names.zone, plan_.zone},
                     {names.slots, plan_.slots},
                     {names.state, draining_ ? names.draining : names.serving},
                     {names.sequence, ++sequence_},
                     {names.incarnation, incarnation_}}
          .dump();
  const bool draining = draining_;
  client_.Send(call, [this, draining](const HttpCallResult& result) {
    reporting_ = false;
    const bool taken =
        result.status == HttpCallStatus::kAnswered && result.http_status == 200;
    if (!taken) {
      ++control_;
    } else if (draining && !std::exchange(drain_told_, true)) {
      on_event_("drain_acknowledged", "");
      loop_.After(plan_.drain, drained_);
    }
  });
}

void Backend::Drain(std::function<void()> done) {
  if (!std::exchange(draining_, true)) {
    drained_ = std::move(done);
    Report();
  }
}

}  // namespace snipeworks
