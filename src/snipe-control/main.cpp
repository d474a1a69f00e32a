// snipe-control: a control host, which keeps the settings and the claims.

#include <csignal>
#include <iostream>

#include <glog/logging.h>

#include "control_host.h"
#include "snipeworks/program.h"

namespace snipeworks {
namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options = ProgramOptions(
      "snipe-control", "Keeps the fleet's settings and claims on disk.");
  options.add_options()("settings", "Settings file of this host",
                        cxxopts::value<std::string>())(
      "check", "Check the settings file and exit")(
      "bootstrap", "Start a new cluster from this blank host");
  ParsedOptions parsed = ReadOptions(options, argc, argv);
  if (parsed.exit) {
    return parsed.exit_code;
  }
  if (parsed.result.count("settings") == 0) {
    return UsageError("snipe-control", "--settings is needed");
  }
  const auto path = parsed.result["settings"].as<std::string>();
  auto settings = ReadFile(path).and_then(
      [](const std::string& text) { return HostSettings::Parse(text); });
  if (!settings) {
    return UsageError("snipe-control", path + ": " + settings.error().detail);
  }
  if (settings->data_folder().empty()) {
    return UsageError("snipe-control", path + ": data_folder is needed");
  }
  if (parsed.result.count("check") > 0) {
    std::cout << path << ": ok\n";
    return kExitOk;
  }
  auto store = RocksLogStore::Open(settings->data_folder());
  if (!store) {
    LOG(ERROR)
        << "event=store_refused reason=\"" << store.error().detail
        << "\" advice=\"move the folder away to rejoin as a blank host\"";
    return kExitFailed;
  }
  EventLoop loop;
  ControlHost host(loop, *settings, std::move(*store));
  if (auto started = host.Start(); !started) {
    LOG(ERROR) << "event=start_failed reason=\"" << started.error().detail
               << "\"";
    return kExitFailed;
  }
  int exit_code = kExitOk;
  if (parsed.result.count("bootstrap") > 0) {
    host.Bootstrap([&](const std::string& refused) {
      if (!refused.empty()) {
        LOG(ERROR) << "event=bootstrap_refused reason=\"" << refused << "\"";
        exit_code = kExitFailed;
        loop.Stop();
      }
    });
  }
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  LOG(INFO) << "event=started host=" << settings->host()
            << " zone=" << settings->zone();
  loop.Run();
  LOG(INFO) << "event=stopped host=" << settings->host();
  return exit_code;
}

}  // namespace
}  // namespace snipeworks

int main(int argc, char** argv) {
  return snipeworks::Main(argc, argv);
}
