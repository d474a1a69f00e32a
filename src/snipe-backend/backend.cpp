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

constexpr int kUnavailableStatus = 503;
constexpr char kSoftwareVersion[] = "1";
constexpr int kCrashExitCode = 3;
constexpr int kMisdirectedStatus = 421;
constexpr Duration kReportTimeout = milliseconds(1000);
// Service times are uniform between 0.5 and 1.5 times the mean.
constexpr double kMinWorkFactor = 0.5;

// FNV-1a, which is simple to recompute in checks written in any language.
constexpr std::uint64_t kFnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::uint64_t Fnv1a(const std::string& text, std::uint64_t hash) {
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
    records += BigEndian(Fnv1a(text, kFnvOffsetBasis));
    records += BigEndian(Fnv1a(text, kFnvOffsetBasis + 1));
  }
  return records;
}

Backend::Backend(EventLoop& loop, BackendConfig config, OnEvent on_event)
    : loop_(loop),
      config_(std::move(config)),
      on_event_(std::move(on_event)),
      random_(std::random_device()()),
      name_(config_.group + "-" + std::to_string(config_.address.port) + "-" +
            std::to_string(random_.Below(1000000))),
      incarnation_(static_cast<std::uint64_t>(WallMillisecondsNow())),
      client_(loop) {}

Result<void> Backend::Start() {
  auto listener = HttpListener::Start(
      loop_, config_.address, {},
      {[this](ExchangeId exchange, HttpRequest request) {
         OnRequest(exchange, std::move(request));
       },
       [this](ExchangeId exchange) {
         std::erase_if(waiting_, [&](const AcceptedRequest& accepted) {
           return accepted.exchange == exchange;
         });
         EndRequest(exchange);
       }});
  if (!listener) {
    return tl::unexpected(listener.error());
  }
  listener_ = std::move(*listener);
  loop_.Every(config_.report_interval, [this] { Report(); });
  Report();
  return {};
}

std::string Backend::LoadHeaderValue() const {
  return std::to_string(running_.size()) + "," +
         std::to_string(waiting_.size()) + "," + std::to_string(config_.slots);
}

void Backend::OnRequest(ExchangeId exchange, HttpRequest request) {
  const std::string_view expected = request.Header(names_.expected_target);
  if (!expected.empty() && expected != name_) {
    Refuse(exchange, request, kMisdirectedStatus);
    return;
  }
  AcceptedRequest accepted;
  accepted.exchange = exchange;
  std::int64_t remaining_ms = 10000;
  const std::string_view text = request.Header(names_.deadline_ms);
  std::from_chars(text.data(), text.data() + text.size(), remaining_ms);
  accepted.deadline = MonotonicNow() + milliseconds(remaining_ms);
  accepted.request = std::move(request);
  if (running_.size() < config_.slots) {
    StartRequest(std::move(accepted));
  } else if (waiting_.size() < config_.queue) {
    waiting_.push_back(std::move(accepted));
  } else {
    Refuse(exchange, accepted.request, kUnavailableStatus);
  }
}

void Backend::Refuse(ExchangeId exchange,
                     const HttpRequest& request,
                     int status) {
  HttpResponse response;
  response.status = status;
  response.content_type.clear();
  response.headers = {
      {names_.request_id, std::string(request.Header(names_.request_id))},
      {names_.not_run, "1"},
      {names_.load, LoadHeaderValue()}};
  listener_->SendResponse(exchange, response);
}

void Backend::StartRequest(AcceptedRequest accepted) {
  const ExchangeId exchange = accepted.exchange;
  on_event_("run", std::string(accepted.request.Header(names_.request_id)));
  const bool crashes =
      !config_.crash_on.empty() &&
      accepted.request.target.find(config_.crash_on) != std::string::npos;
  if (crashes) {
    std::_Exit(kCrashExitCode);
  }
  running_[exchange] = std::move(accepted);
  const double factor = kMinWorkFactor + random_.Unit();
  loop_.After(
      Duration(static_cast<std::int64_t>(
          static_cast<double>(config_.work.count()) * factor)),
      [this, exchange] {
        auto found = running_.find(exchange);
        if (found == running_.end()) {
          return;
        }
        const HttpRequest& request = found->second.request;
        const std::string id(request.Header(names_.request_id));
        HttpResponse response;
        response.content_type = "application/octet-stream";
        response.body = RecordsOf(config_.group, request.method, request.target,
                                  config_.records);
        response.headers = {
            {names_.request_id, id},
            {names_.signature, config_.group + "." + id + "." + name_},
            {names_.load, LoadHeaderValue()}};
        if (draining_) {
          response.headers.push_back({names_.leaving, names_.leaving_value});
        }
        listener_->SendResponse(exchange, response);
        EndRequest(exchange);
      });
}

void Backend::EndRequest(ExchangeId exchange) {
  if (running_.erase(exchange) == 0) {
    return;
  }
  while (running_.size() < config_.slots && !waiting_.empty()) {
    AcceptedRequest next = std::move(waiting_.front());
    waiting_.pop_front();
    if (MonotonicNow() >= next.deadline) {
      Refuse(next.exchange, next.request, kUnavailableStatus);
    } else {
      StartRequest(std::move(next));
    }
  }
}

// If a report is not acknowledged, the next one goes to the next control host.
void Backend::Report() {
  if (std::exchange(reporting_, true)) {
    return;
  }
  const ReportNames& names = control_names_.report;
  HttpCall call;
  call.address =
      config_.control_hosts[control_index_ % config_.control_hosts.size()];
  call.path =
      control_names_.report_prefix + name_ + control_names_.report_suffix;
  call.timeout = kReportTimeout;
  call.body =
      nlohmann::json{{names.group, config_.group},
                     {names.address, config_.reported_address.ToString()},
                     {names.zone, config_.zone},
                     {names.version, kSoftwareVersion},
                     {names.slots, config_.slots},
                     {names.state, draining_ ? names.draining : names.serving},
                     {names.cold_ms, 0},
                     {names.sequence, ++sequence_},
                     {names.incarnation, incarnation_}}
          .dump();
  const bool draining = draining_;
  client_.Send(call, [this, draining](const HttpCallResult& result) {
    reporting_ = false;
    const bool acknowledged =
        result.status == HttpCallStatus::kAnswered && result.http_status == 200;
    if (!acknowledged) {
      ++control_index_;
    } else if (draining && !std::exchange(drain_acknowledged_, true)) {
      on_event_("drain_acknowledged", "");
      loop_.After(config_.drain, on_drained_);
    }
  });
}

void Backend::Drain(std::function<void()> done) {
  if (!std::exchange(draining_, true)) {
    on_drained_ = std::move(done);
    Report();
  }
}

}  // namespace snipeworks
