// snipe-entry: an entry host, which answers callers from targets.

#include <csignal>
#include <iostream>
#include <memory>
#include <optional>

#include <glog/logging.h>

#include "entry_api.h"
#include "entry_host.h"
#include "snipeworks/program.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

constexpr Duration kDrainCheckInterval = milliseconds(20);
// Limits how long a request that never ends can delay the exit.
constexpr Duration kDrainTimeout = std::chrono::seconds(65);

// Stops a host without dropping requests: it first reports not ready, so that
// the load balancer stops sending; then it stops accepting connections; and it
// exits once all requests in flight have been answered.
class GracefulShutdown {
 public:
  GracefulShutdown(EventLoop& loop, EntryHost& host, EntryApi& api)
      : loop_(loop), host_(host), api_(api) {}

  void Start() {
    if (std::exchange(started_, true)) {
      return;
    }
    LOG(INFO) << "event=shutting_down running=" << host_.unfinished_requests();
    api_.CloseConnections();
    host_.StartDraining();
    loop_.After(milliseconds(host_.settings().shutdown_hold_ms()), [this] {
      api_.StopAccepting();
      loop_.Every(kDrainCheckInterval, [this] { StopIfIdle(); });
    });
    loop_.After(
        milliseconds(host_.settings().shutdown_hold_ms()) + kDrainTimeout,
        [this] {
          LOG(ERROR) << "event=shutdown_gave_up running="
                     << host_.unfinished_requests();
          loop_.Stop();
        });
  }

 private:
  void StopIfIdle() {
    const bool idle =
        host_.unfinished_requests() == 0 && api_.unfinished_connections() == 0;
    if (idle) {
      loop_.Stop();
    }
  }

  EventLoop& loop_;
  EntryHost& host_;
  EntryApi& api_;
  bool started_ = false;
};

int Main(int argc, char** argv) {
  cxxopts::Options options = ProgramOptions(
      "snipe-entry", "Answers callers from the targets of a fleet.");
  options.add_options()("settings", "Settings file of this host",
                        cxxopts::value<std::string>())(
      "fleet-settings", "Fleet settings for a host that has no control hosts",
      cxxopts::value<std::string>())("check",
                                     "Check the settings files and exit");
  ParsedOptions parsed = ReadOptions(options, argc, argv);
  if (parsed.exit) {
    return parsed.exit_code;
  }
  if (parsed.result.count("settings") == 0) {
    return UsageError("snipe-entry", "--settings is needed");
  }
  const auto path = parsed.result["settings"].as<std::string>();
  auto settings = ReadFile(path).and_then(
      [](const std::string& text) { return HostSettings::Parse(text); });
  if (!settings) {
    return UsageError("snipe-entry", path + ": " + settings.error().detail);
  }
  std::optional<std::string> fleet_text;
  if (parsed.result.count("fleet-settings") > 0) {
    const auto fleet_path = parsed.result["fleet-settings"].as<std::string>();
    auto text = ReadFile(fleet_path);
    auto fleet = text.and_then([](const std::string& content) {
      return FleetSettings::Parse(content);
    });
    if (!fleet) {
      return UsageError("snipe-entry",
                        fleet_path + ": " + fleet.error().detail);
    }
    if (!settings->control_hosts().empty()) {
      return UsageError("snipe-entry",
                        "--fleet-settings cannot be combined with "
                        "control_hosts");
    }
    fleet_text = std::move(*text);
  } else if (settings->control_hosts().empty()) {
    return UsageError("snipe-entry",
                      path +
                          ": without control_hosts, --fleet-settings is "
                          "needed");
  }
  if (parsed.result.count("check") > 0) {
    std::cout << path << ": ok\n";
    return kExitOk;
  }

  EventLoop loop;
  EntryHost host(loop, *settings);
  if (fleet_text) {
    host.ApplySettings({1, *fleet_text});
  }
  if (auto started = host.Start(); !started) {
    LOG(ERROR) << "event=start_failed reason=\"" << started.error().detail
               << "\"";
    return kExitFailed;
  }
  EntryApi api(loop, host);
  if (auto started = api.Start(); !started) {
    LOG(ERROR) << "event=start_failed reason=\"" << started.error().detail
               << "\"";
    return kExitFailed;
  }
  GracefulShutdown shutdown(loop, host, api);
  loop.OnSignal(SIGTERM, [&] { shutdown.Start(); });
  loop.OnSignal(SIGINT, [&] { shutdown.Start(); });
  LOG(INFO) << "event=started host=" << settings->host()
            << " zone=" << settings->zone()
            << " http=" << settings->http().ToString();
  loop.Run();
  LOG(INFO) << "event=stopped host=" << settings->host();
  return kExitOk;
}

}  // namespace
}  // namespace snipeworks

int main(int argc, char** argv) {
  return snipeworks::Main(argc, argv);
}
