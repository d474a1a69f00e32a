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

// How often the settings file is read again: it may change without a signal.
constexpr Duration kSettingsInterval = std::chrono::seconds(2);

// Reads the settings file again when a signal says so, and now and then.
class SettingsWatch {
 public:
  using OnChange = std::function<void(const HostSettings&)>;

  SettingsWatch(EventLoop& loop, std::string path, OnChange on_change)
      : path_(std::move(path)), on_change_(std::move(on_change)) {
    if (auto text = ReadFile(path_)) {
      text_ = *text;
    }
    loop.OnSignal(SIGHUP, [this] { Read(); });
    loop.Every(kSettingsInterval, [this] { Read(); });
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

struct Started {
  std::string path;
  std::optional<HostSettings> settings;
  bool bootstrap = false;
  int exit_code = kExitOk;
};

// Everything up to checked settings; none if the program is to exit.
Started ReadStart(const char* name,
                  const char* brief,
                  int argc,
                  const char* const* argv,
                  const std::optional<std::string>& fallback) {
  cxxopts::Options options = ProgramOptions(name, brief);
  options.add_options()("settings", "Settings file of this host",
                        cxxopts::value<std::string>())(
      "check", "Check the settings file and exit")(
      "bootstrap", "Control hosts: start a new cluster from this blank host");
  const ParsedOptions parsed = ReadOptions(options, argc, argv);
  Started started;
  started.exit_code = parsed.exit_code;
  if (parsed.exit) {
    return started;
  }
  if (parsed.result.count("settings") > 0) {
    started.path = parsed.result["settings"].as<std::string>();
  } else if (fallback) {
    started.path = *fallback;
  } else {
    started.exit_code = UsageError(name, "--settings is needed");
    return started;
  }
  auto settings = ReadFile(started.path).and_then([](const std::string& text) {
    return HostSettings::Parse(text);
  });
  if (!settings) {
    started.exit_code =
        UsageError(name, started.path + ": " + settings.error().detail);
    return started;
  }
  if (parsed.result.count("check") > 0) {
    std::cout << started.path << ": ok\n";
    return started;
  }
  started.bootstrap = parsed.result.count("bootstrap") > 0;
  started.settings = std::move(*settings);
  return started;
}

int Failed(const Error& error) {
  LOG(ERROR) << "event=start_failed reason=\"" << error.detail << "\"";
  return kExitFailed;
}

}  // namespace

int RunForwardProgram(int argc,
                      const char* const* argv,
                      const ForwardNames& names,
                      const std::optional<std::string>& settings) {
  const Started started = ReadStart(
      "snipe-forward", "Forwards callers' requests to the targets of a fleet.",
      argc, argv, settings);
  if (!started.settings) {
    return started.exit_code;
  }
  EventLoop loop;
  ForwardHost host(loop, *started.settings, names);
  if (auto listening = host.Start(); !listening) {
    return Failed(listening.error());
  }
  const SettingsWatch watch(
      loop, started.path,
      [&](const HostSettings& changed) { host.Reload(changed); });
  const auto leave = [&] { host.Leave([&] { loop.Stop(); }); };
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
  const Started started = ReadStart(
      "snipe-control", "Keeps the fleet's settings, routes and claims on disk.",
      argc, argv, settings);
  if (!started.settings) {
    return started.exit_code;
  }
  if (started.settings->data_folder().empty()) {
    return UsageError("snipe-control",
                      started.path + ": data_folder is needed");
  }
  auto store = RocksLogStore::Open(started.settings->data_folder(),
                                   FirstDiskId(*started.settings));
  if (!store) {
    LOG(ERROR)
        << "event=store_refused reason=\"" << store.error().detail
        << "\" advice=\"move the folder away to rejoin as a blank host\"";
    if (!started.settings->automatic_members()) {
      return kExitFailed;
    }
  }
  EventLoop loop;
  ControlHost host(loop, *started.settings, names,
                   store ? std::move(*store) : nullptr);
  if (auto listening = host.Start(); !listening) {
    return Failed(listening.error());
  }
  int exit_code = kExitOk;
  if (started.bootstrap) {
    host.Bootstrap([&](const std::string& refused) {
      if (!refused.empty()) {
        LOG(ERROR) << "event=bootstrap_refused reason=\"" << refused << "\"";
        exit_code = kExitFailed;
        loop.Stop();
      }
    });
  }
  const SettingsWatch watch(
      loop, started.path,
      [&](const HostSettings& changed) { host.Reload(changed); });
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  loop.Run();
  host.Stop();
  return exit_code;
}

}  // namespace snipeworks
