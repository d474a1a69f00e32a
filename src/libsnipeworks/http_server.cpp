#include "snipeworks/http_server.h"

#include <arpa/inet.h>
#include <unistd.h>

#include <atomic>
#include <utility>

#include <glog/logging.h>
#include <microhttpd.h>
#include <ulfius.h>

namespace snipeworks {

namespace {

constexpr int kTooLargeStatus = 413;
constexpr int kFailedStatus = 500;

// One thread serves one connection, so what belongs to a connection is kept
// with its thread: ulfius does not show the connection to its callbacks.
thread_local std::uint64_t connection_of_thread = 0;
thread_local bool request_counted = false;

}  // namespace

class HttpServer::Impl {
 public:
  Impl(const HttpServerConfig& config, Handler handler)
      : config_(config), handler_(std::move(handler)) {}

  ~Impl() {
    if (started_) {
      ulfius_stop_framework(&instance_);
    }
    if (initialized_) {
      ulfius_clean_instance(&instance_);
    }
  }

  Result<void> Start() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(config_.address.port);
    inet_pton(AF_INET, config_.address.ip.c_str(), &address.sin_addr);
    const int made = ulfius_init_instance(&instance_, config_.address.port,
                                          &address, nullptr);
    if (made != U_OK) {
      return Fail(ErrorKind::kInternal, "the HTTP server cannot be made");
    }
    initialized_ = true;
    // One byte more than allowed, so that a longer body is seen as too long
    // and not silently cut.
    instance_.max_post_body_size = config_.max_body_bytes + 1;
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(&instance_, &Impl::OnRequest, this);
    MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED,
         reinterpret_cast<std::intptr_t>(&Impl::OnCompleted), this},
        {MHD_OPTION_URI_LOG_CALLBACK,
         reinterpret_cast<std::intptr_t>(&ulfius_uri_logger), nullptr},
        {MHD_OPTION_NOTIFY_CONNECTION,
         reinterpret_cast<std::intptr_t>(&Impl::OnConnection), this},
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         static_cast<std::intptr_t>(config_.idle_timeout_s), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<std::intptr_t>(config_.max_connections), nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                           MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                           MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(&instance_, flags, options) !=
        U_OK) {
      return Fail(ErrorKind::kInternal,
                  "cannot listen on " + config_.address.ToString());
    }
    started_ = true;
    return {};
  }

  void StopAccepting() {
    if (quiesced_.exchange(true)) {
      return;
    }
    const MHD_socket listener = MHD_quiesce_daemon(instance_.mhd_daemon);
    if (listener != MHD_INVALID_SOCKET) {
      close(listener);
    }
  }

  int in_flight() const { return in_flight_; }
  int connections() const { return connections_; }
  int max_connections_seen() const { return max_connections_seen_; }

 private:
  static void OnConnection(void* self,
                           MHD_Connection*,
                           void**,
                           MHD_ConnectionNotificationCode code) {
    auto* impl = static_cast<Impl*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      const int now = ++impl->connections_;
      int most = impl->max_connections_seen_;
      while (now > most &&
             !impl->max_connections_seen_.compare_exchange_weak(most, now)) {
      }
    } else {
      --impl->connections_;
    }
  }

  static int OnRequest(const _u_request* request,
                       _u_response* response,
                       void* self) {
    auto* impl = static_cast<Impl*>(self);
    ++impl->in_flight_;
    request_counted = true;
    const HttpResponse answer = impl->AnswerSafely(*request);
    ulfius_set_binary_body_response(response,
                                    static_cast<unsigned>(answer.status),
                                    answer.body.data(), answer.body.size());
    u_map_put(response->map_header, "Content-Type",
              answer.content_type.c_str());
    for (const HttpHeader& header : answer.headers) {
      u_map_put(response->map_header, header.name.c_str(),
                header.value.c_str());
    }
    if (answer.close || impl->quiesced_) {
      u_map_put(response->map_header, "Connection", "close");
    }
    return U_CALLBACK_COMPLETE;
  }

  // The answer has left, or its connection has.
  static void OnCompleted(void* self,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode code) {
    mhd_request_completed(self, connection, context, code);
    if (std::exchange(request_counted, false)) {
      --static_cast<Impl*>(self)->in_flight_;
    }
  }

  // An exception must not reach ulfius, which is written in C.
  HttpResponse AnswerSafely(const _u_request& request) {
    try {
      return Answer(request);
    } catch (const std::exception& error) {
      LOG(ERROR) << "event=handler_failed reason=\"" << error.what() << "\"";
      return {kFailedStatus, "text/plain", "the request failed\n", {}, true};
    }
  }

  HttpResponse Answer(const _u_request& request) {
    if (request.binary_body_length > config_.max_body_bytes) {
      return {
          kTooLargeStatus, "text/plain", "the body is too large\n", {}, true};
    }
    if (connection_of_thread == 0) {
      connection_of_thread = ++next_connection_;
    }
    HttpRequest copy;
    copy.connection = connection_of_thread;
    copy.method = request.http_verb;
    copy.path = request.url_path;
    const char** names = u_map_enum_keys(request.map_header);
    for (int i = 0; names != nullptr && names[i] != nullptr; ++i) {
      copy.headers.push_back(
          {names[i], u_map_get(request.map_header, names[i])});
    }
    if (request.binary_body_length > 0) {
      copy.body.assign(static_cast<const char*>(request.binary_body),
                       request.binary_body_length);
    }
    return handler_(copy);
  }

  HttpServerConfig config_;
  Handler handler_;
  _u_instance instance_{};
  bool initialized_ = false;
  bool started_ = false;
  std::atomic<bool> quiesced_ = false;
  std::atomic<int> in_flight_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<int> max_connections_seen_ = 0;
  std::atomic<std::uint64_t> next_connection_ = 0;
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::Start(
    const HttpServerConfig& config,
    Handler handler) {
  auto impl = std::make_unique<Impl>(config, std::move(handler));
  if (Result<void> started = impl->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

void HttpServer::StopAccepting() {
  impl_->StopAccepting();
}

int HttpServer::in_flight() const {
  return impl_->in_flight();
}

int HttpServer::connections() const {
  return impl_->connections();
}

int HttpServer::max_connections_seen() const {
  return impl_->max_connections_seen();
}

}  // namespace snipeworks
