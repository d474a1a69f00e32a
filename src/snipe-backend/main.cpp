// snipe-backend: simulates targets of forwarded requests, one per group.

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

#include <nlohmann/json.hpp>

#include "backend.h"
#include "snipeworks/program.h"

namespace snipeworks {
namespace {

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> items;
  std::istringstream stream(text);
  for (std::string item; std::getline(stream, item, separator);) {
    items.push_back(item);
  }
  return items;
}

double WallSeconds() {
  return std::chrono::duration<double>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int Main(int argc, char** argv) {
  cxxopts::Options options = ProgramOptions(
      "snipe-backend", "Stands in for targets of forwarded requests.");
  options.add_options()("groups", "Groups, with commas: one target each",
                        cxxopts::value<std::string>())(
      "controls", "Control hosts as IP:port, with commas",
      cxxopts::value<std::string>())(
      "address", "IP of the targets",
      cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "first-port", "Port of the first target",
      cxxopts::value<std::uint16_t>())(
      "reported-port", "Port that the first target reports, if another",
      cxxopts::value<std::uint16_t>())(
      "zone", "Zone of the targets",
      cxxopts::value<std::string>()->default_value("zone-1"))(
      "slots", "Requests that a target runs at once",
      cxxopts::value<std::uint32_t>()->default_value("3"))(
      "work-us", "Mean work of a request, in microseconds",
      cxxopts::value<std::int64_t>()->default_value("5000"))(
      "crash-on",
      "The program ends when a target begins a request whose path has this",
      cxxopts::value<std::string>()->default_value(""))(
      "history", "File that gets a JSON line for each request that begins",
      cxxopts::value<std::string>()->default_value(""));
  ParsedOptions parsed = ReadOptions(options, argc, argv);
  if (parsed.exit) {
    return parsed.exit_code;
  }
  const std::vector<std::string> required_options = {"groups", "controls",
                                                     "first-port"};
  for (const std::string& option : required_options) {
    if (parsed.result.count(option) == 0) {
      return UsageError("snipe-backend", option + " is needed");
    }
  }
  std::ofstream history(parsed.result["history"].as<std::string>(),
                        std::ios::app);
  auto port = parsed.result["first-port"].as<std::uint16_t>();
  std::uint16_t reported_port =
      parsed.result.count("reported-port") > 0
          ? parsed.result["reported-port"].as<std::uint16_t>()
          : port;
  EventLoop loop;
  std::vector<std::unique_ptr<Backend>> backends;
  for (const std::string& group :
       Split(parsed.result["groups"].as<std::string>(), ',')) {
    BackendConfig config;
    config.group = group;
    config.zone = parsed.result["zone"].as<std::string>();
    const auto ip = parsed.result["address"].as<std::string>();
    config.address = {ip, port};
    config.reported_address = {ip, reported_port};
    ++port;
    ++reported_port;
    config.control_hosts =
        Split(parsed.result["controls"].as<std::string>(), ',');
    config.slots = parsed.result["slots"].as<std::uint32_t>();
    config.crash_on = parsed.result["crash-on"].as<std::string>();
    config.work = Duration(parsed.result["work-us"].as<std::int64_t>());
    const std::size_t index = backends.size();
    backends.push_back(std::make_unique<Backend>(
        loop, config,
        [&, index](const std::string& event, const std::string& request) {
          history << nlohmann::json{{"time", WallSeconds()},
                                    {"event", event},
                                    {"request", request},
                                    {"target", backends[index]->name()}}
                  << "\n"
                  << std::flush;
        }));
    if (auto started = backends.back()->Start(); !started) {
      return UsageError("snipe-backend", started.error().detail);
    }
  }
  std::size_t draining = backends.size();
  loop.OnSignal(SIGTERM, [&] {
    for (auto& backend : backends) {
      backend->Drain([&] {
        if (--draining == 0) {
          loop.Stop();
        }
      });
    }
  });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  loop.Run();
  return kExitOk;
}

}  // namespace
}  // namespace snipeworks

int main(int argc, char** argv) {
  return snipeworks::Main(argc, argv);
}
