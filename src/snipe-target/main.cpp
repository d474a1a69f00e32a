// snipe-target: simulates the targets of a fleet, or a selection of them.

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

#include <glog/logging.h>

#include "fleet_config.h"
#include "simulated_target.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/program.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAnnounceInterval = milliseconds(1000);
constexpr Duration kDrainPollInterval = milliseconds(50);
// Minimum time from the start of a drain to the exit. Draining targets keep
// announcing, so all entry hosts learn of the drain well within it.
constexpr Duration kMinDrainTime = milliseconds(1500);
constexpr Duration kAnnounceTimeout = milliseconds(300);
constexpr Duration kExclusionTime = milliseconds(2000);

// Posts announcements to the entry hosts round-robin, as a load balancer would:
// a host that does not answer is excluded for kExclusionTime, and the
// announcement goes to the next one.
class Announcer {
 public:
  Announcer(EventLoop& loop, std::vector<std::string> entries)
      : client_(loop), entries_(std::move(entries)) {}

  void Post(SimulatedTarget& target) {
    if (!entries_.empty() && target.announces()) {
      Send(ToJson(target.NextAnnouncement()), entries_.size());
    }
  }

 private:
  void Send(const std::string& announcement, std::size_t attempts_left) {
    const std::string entry = NextEntry();
    HttpCall call;
    call.address = entry;
    call.path = "/v1/announcements";
    call.body = announcement;
    call.timeout = kAnnounceTimeout;
    client_.Send(call, [this, announcement, attempts_left,
                        entry](const HttpCallResult& result) {
      if (result.status == HttpCallStatus::kAnswered) {
        return;
      }
      excluded_until_[entry] = MonotonicNow() + kExclusionTime;
      if (attempts_left > 1) {
        Send(announcement, attempts_left - 1);
      }
    });
  }

  const std::string& NextEntry() {
    const Instant now = MonotonicNow();
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      const std::string& entry = entries_[next_entry_++ % entries_.size()];
      if (excluded_until_[entry] <= now) {
        return entry;
      }
    }
    return entries_[next_entry_++ % entries_.size()];
  }

  HttpClient client_;
  std::vector<std::string> entries_;
  std::map<std::string, Instant> excluded_until_;
  std::size_t next_entry_ = 0;
};

bool Selected(const TargetConfig& config,
              const std::string& zone,
              const std::vector<std::string>& only) {
  if (!zone.empty() && config.announcement.zone != zone) {
    return false;
  }
  return only.empty() ||
         std::ranges::find(only, config.announcement.target) != only.end();
}

using SimulatedTargets = std::vector<std::unique_ptr<SimulatedTarget>>;

// Announces every target once per kAnnounceInterval. The targets are spread
// over the interval, as those of a real fleet are.
void StartAnnouncing(EventLoop& loop,
                     Announcer& announcer,
                     SimulatedTargets& targets) {
  for (std::size_t i = 0; i < targets.size(); ++i) {
    SimulatedTarget* target = targets[i].get();
    const Duration offset = kAnnounceInterval * static_cast<std::int64_t>(i) /
                            static_cast<std::int64_t>(targets.size());
    announcer.Post(*target);
    loop.After(offset, [&loop, &announcer, target] {
      loop.Every(kAnnounceInterval,
                 [&announcer, target] { announcer.Post(*target); });
    });
  }
}

// Puts the targets into draining, announces that, and stops the loop once all
// are idle.
void Drain(EventLoop& loop, Announcer& announcer, SimulatedTargets& targets) {
  LOG(INFO) << "event=draining";
  for (auto& target : targets) {
    target->Drain();
    announcer.Post(*target);
  }
  loop.After(kMinDrainTime, [&loop, &targets] {
    loop.Every(kDrainPollInterval, [&loop, &targets] {
      if (std::ranges::all_of(targets,
                              [](auto& target) { return target->Idle(); })) {
        loop.Stop();
      }
    });
  });
}

int Serve(SimulatedTargets& targets, const std::vector<std::string>& entries) {
  LOG(INFO) << "event=started targets=" << targets.size();
  EventLoop loop;
  Announcer announcer(loop, entries);
  StartAnnouncing(loop, announcer, targets);
  bool draining = false;
  const auto drain = [&] {
    if (!std::exchange(draining, true)) {
      Drain(loop, announcer, targets);
    }
  };
  loop.OnSignal(SIGTERM, drain);
  loop.OnSignal(SIGINT, drain);
  loop.Run();
  targets.clear();
  LOG(INFO) << "event=stopped";
  return kExitOk;
}

cxxopts::Options TargetOptions() {
  cxxopts::Options options =
      ProgramOptions("snipe-target", "Stands in for the targets of a fleet.");
  const auto text = cxxopts::value<std::string>()->default_value("");
  const auto list =
      cxxopts::value<std::vector<std::string>>()->default_value("");
  options.add_options()("fleet", "Fleet file", cxxopts::value<std::string>())(
      "zone", "Only the targets of this availability zone", text)(
      "only", "Only the targets of these names", list)(
      "entries", "Addresses that take announcements", list)(
      "history", "File for what was run", text)(
      "traces", "File for spans", text)("check",
                                        "Check the fleet file and exit")(
      "list", "Print name, zone and address of each target and exit");
  return options;
}

std::vector<std::string> ListOption(const cxxopts::ParseResult& options,
                                    const char* name) {
  auto values = options[name].as<std::vector<std::string>>();
  std::erase(values, "");
  return values;
}

std::vector<TargetConfig> SelectedTargets(const FleetConfig& config,
                                          const cxxopts::ParseResult& options) {
  const auto zone = options["zone"].as<std::string>();
  const auto only = ListOption(options, "only");
  std::vector<TargetConfig> selected;
  for (const TargetConfig& target : config.targets()) {
    if (Selected(target, zone, only)) {
      selected.push_back(target);
    }
  }
  return selected;
}

// The wall clock in milliseconds. A process cannot restart within a
// millisecond, so every start of a target has an incarnation of its own.
std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(WallMillisecondsNow());
}

int Main(int argc, char** argv) {
  cxxopts::Options options = TargetOptions();
  ParsedOptions parsed = ReadOptions(options, argc, argv);
  if (parsed.exit) {
    return parsed.exit_code;
  }
  if (parsed.result.count("fleet") == 0) {
    return UsageError("snipe-target", "--fleet is needed");
  }
  const auto path = parsed.result["fleet"].as<std::string>();
  auto config = ReadFile(path).and_then(
      [](const std::string& text) { return FleetConfig::Parse(text); });
  if (!config) {
    return UsageError("snipe-target", path + ": " + config.error().detail);
  }
  if (parsed.result.count("check") > 0) {
    std::cout << path << ": " << config->targets().size() << " targets\n";
    return kExitOk;
  }
  const auto selected = SelectedTargets(*config, parsed.result);
  if (parsed.result.count("list") > 0) {
    for (const TargetConfig& target : selected) {
      std::cout << target.announcement.target << " " << target.announcement.zone
                << " " << target.announcement.address << "\n";
    }
    return kExitOk;
  }
  HistoryWriter history(parsed.result["history"].as<std::string>());
  SpanWriter spans(parsed.result["traces"].as<std::string>(), "snipe-target");
  const std::uint64_t incarnation = NewIncarnation();
  SimulatedTargets targets;
  for (const TargetConfig& target : selected) {
    auto started = SimulatedTarget::Start(target, incarnation, history, spans);
    if (!started) {
      LOG(ERROR) << "event=start_failed reason=\"" << started.error().detail
                 << "\"";
      return kExitFailed;
    }
    targets.push_back(std::move(*started));
  }
  return Serve(targets, ListOption(parsed.result, "entries"));
}

}  // namespace
}  // namespace snipeworks

int main(int argc, char** argv) {
  return snipeworks::Main(argc, argv);
}
