#include "snipeworks/host_programs.h"

#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <utility>

#include <glog/logging.h>

#include "snipeworks/control_host.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/forward_host.h"
#include "snipeworks/host_settings.h"
#include "snipeworks/program.h"
#include "snipeworks/rocks_log_store.h"

namespace snipeworks {

namespace {

// The settings file may change without a signal, so it is also polled.
constexpr Duration kSettingsPollInterval = std::chrono::seconds(2);

// Reads the settings file again on SIGHUP and at regular intervals.
class SettingsWatcher {
 public:
  using OnChange = std::function<void(const HostSettings&)>;

  SettingsWatcher(EventLoop& loop, std::string path, OnChange on_change)
      : path_(std::move(path)), on_change_(std::move(on_change)) {
    if (auto text = ReadFile(path_)) {
      text_ = *text;
    }
    loop.OnSignal(SIGHUP, [this] { Read(); });
    loop.Every(kSettingsPollInterval, [this] { Read(); });
  }

 private:
  void Read() {
    const auto text = ReadFile(path_);
    if (!text || *text == text_) {
      return;
    }
    text_ = *text;
    const auto settings = HostSettings::Parse(text_);
    if (!settings) {
      LOG(ERROR) << "event=settings_refused reason=\"" << path_ << ": "
                 << settings.error().detail << "\"";
      return;
    }
    on_change_(*settings);
  }

  std::string path_;
  OnChange on_change_;
  std::string text_;
};

struct StartupOptions {
  std::string path;
  std::optional<HostSettings> settings;
  bool bootstrap = false;
  int exit_code = kExitOk;
};

// Reads the command line and the settings file. The result has no settings if
// the program is to exit.
StartupOptions ReadStartupOptions(
    const char* name,
    const char* brief,
    int argc,
    const char* const* argv,
    const std::optional<std::string>& default_path) {
  cxxopts::Options options = ProgramOptions(name, brief);
  options.add_options()("settings", "Settings file of this host",
                        cxxopts::value<std::string>())(
      "check", "Check the settings file and exit")(
      "bootstrap", "Control hosts: start a new cluster from this blank host");
  const ParsedOptions parsed = ReadOptions(options, argc, argv);
  StartupOptions startup;
  startup.exit_code = parsed.exit_code;
  if (parsed.exit) {
    return startup;
  }
  if (parsed.result.count("settings") > 0) {
    startup.path = parsed.result["settings"].as<std::string>();
  } else if (default_path) {
    startup.path = *default_path;
  } else {
    startup.exit_code = UsageError(name, "--settings is needed");
    return startup;
  }
  auto settings = ReadFile(startup.path).and_then([](const std::string& text) {
    return HostSettings::Parse(text);
  });
  if (!settings) {
    startup.exit_code =
        UsageError(name, startup.path + ": " + settings.error().detail);
    return startup;
  }
  if (parsed.result.count("check") > 0) {
    std::cout << startup.path << ": ok\n";
    return startup;
  }
  startup.bootstrap = parsed.result.count("bootstrap") > 0;
  startup.settings = std::move(*settings);
  return startup;
}

int ReportStartFailure(const Error& error) {
  LOG(ERROR) << "event=start_failed reason=\"" << error.detail << "\"";
  return kExitFailed;
}

}  // namespace

int RunForwardProgram(int argc,
                      const char* const* argv,
                      const ForwardNames& names,
                      const std::optional<std::string>& settings) {
  const StartupOptions startup = ReadStartupOptions(
      "snipe-forward", "Forwards callers' requests to the targets of a fleet.",
      argc, argv, settings);
  if (!startup.settings) {
    return startup.exit_code;
  }
  EventLoop loop;
  ForwardHost host(loop, *startup.settings, names);
  if (auto listening = host.Start(); !listening) {
    return ReportStartFailure(listening.error());
  }
  const SettingsWatcher watcher(
      loop, startup.path,
      [&](const HostSettings& changed) { host.Reload(changed); });
  const auto leave = [&] { host.ShutDown([&] { loop.Stop(); }); };
  loop.OnSignal(SIGTERM, leave);
  loop.OnSignal(SIGINT, leave);
  loop.Run();
  host.Stop();
  return kExitOk;
}

int RunControlProgram(int argc,
                      const char* const* argv,
                      const ControlNames& names,
                      const std::optional<std::string>& settings) {
  const StartupOptions startup = ReadStartupOptions(
      "snipe-control", "Keeps the fleet's settings, routes and claims on disk.",
      argc, argv, settings);
  if (!startup.settings) {
    return startup.exit_code;
  }
  if (startup.settings->data_folder().empty()) {
    return UsageError("snipe-control",
                      startup.path + ": data_folder is needed");
  }
  auto store = RocksLogStore::Open(startup.settings->data_folder(),
                                   FirstDiskId(*startup.settings));
  if (!store) {
    LOG(ERROR)
        << "event=store_refused reason=\"" << store.error().detail
        << "\" advice=\"move the folder away to rejoin as a blank host\"";
    if (!startup.settings->automatic_members()) {
      return kExitFailed;
    }
  }
  EventLoop loop;
  ControlHost host(loop, *startup.settings, names,
                   store ? std::move(*store) : nullptr);
  if (auto listening = host.Start(); !listening) {
    return ReportStartFailure(listening.error());
  }
  int exit_code = kExitOk;
  if (startup.bootstrap) {
    host.Bootstrap([&](const std::string& refusal) {
      if (!refusal.empty()) {
        LOG(ERROR) << "event=bootstrap_refused reason=\"" << refusal << "\"";
        exit_code = kExitFailed;
        loop.Stop();
      }
    });
  }
  const SettingsWatcher watcher(
      loop, startup.path,
      [&](const HostSettings& changed) { host.Reload(changed); });
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  loop.Run();
  host.Stop();
  return exit_code;
}

}  // namespace snipeworks
