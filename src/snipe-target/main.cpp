// snipe-target: stands in for the back ends of a fleet, or for some of them.

#include <csignal>
#include <iostream>
#include <memory>
#include <vector>

#include <glog/logging.h>

#include "fleet_plan.h"
#include "snipeworks/event_loop.h"
#include "snipeworks/http_client.h"
#include "snipeworks/program.h"
#include "stand_in.h"

namespace snipeworks {
namespace {

using std::chrono::milliseconds;

constexpr Duration kAnnounceInterval = milliseconds(1000);
constexpr Duration kDrainCheck = milliseconds(50);
// Entry hosts hear of a drain well within this time.
constexpr Duration kDrainHold = milliseconds(1500);
constexpr Duration kAnnounceTimeout = milliseconds(800);

// Posts announcements to the entry hosts in turn, as a balancer would.
class Announcer {
 public:
  Announcer(EventLoop& loop, std::vector<std::string> entries)
      : client_(loop), entries_(std::move(entries)) {}

  void Post(StandIn& target) {
    if (entries_.empty() || !target.announces()) {
      return;
    }
    HttpCall call;
    call.address = entries_[next_++ % entries_.size()];
    call.path = "/v1/announcements";
    call.body = ToJson(target.NextAnnouncement());
    call.timeout = kAnnounceTimeout;
    client_.Send(call, [](const HttpCallResult&) {});
  }

 private:
  HttpClient client_;
  std::vector<std::string> entries_;
  std::size_t next_ = 0;
};

bool Selected(const TargetPlan& plan,
              const std::string& zone,
              const std::vector<std::string>& only) {
  if (!zone.empty() && plan.announcement.zone != zone) {
    return false;
  }
  return only.empty() ||
         std::ranges::find(only, plan.announcement.target) != only.end();
}

int Main(int argc, char** argv) {
  cxxopts::Options options =
      ProgramOptions("snipe-target", "Stands in for the targets of a fleet.");
  options.add_options()("fleet", "Fleet file", cxxopts::value<std::string>())(
      "zone", "Only the targets of this availability zone",
      cxxopts::value<std::string>()->default_value(""))(
      "only", "Only the targets of these names",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "entries", "Addresses that take announcements",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "history", "File for what was run",
      cxxopts::value<std::string>()->default_value(""))(
      "traces", "File for spans",
      cxxopts::value<std::string>()->default_value(""))(
      "check", "Check the fleet file and exit")(
      "list", "Print name, zone and address of each target and exit");
  ParsedOptions parsed = ReadOptions(options, argc, argv);
  if (parsed.exit) {
    return parsed.exit_code;
  }
  if (parsed.result.count("fleet") == 0) {
    return UsageError("snipe-target", "--fleet is needed");
  }
  const auto path = parsed.result["fleet"].as<std::string>();
  auto plan = ReadFile(path).and_then(
      [](const std::string& text) { return FleetPlan::Parse(text); });
  if (!plan) {
    return UsageError("snipe-target", path + ": " + plan.error().detail);
  }
  if (parsed.result.count("check") > 0) {
    std::cout << path << ": " << plan->targets().size() << " targets\n";
    return kExitOk;
  }
  const auto zone = parsed.result["zone"].as<std::string>();
  auto only = parsed.result["only"].as<std::vector<std::string>>();
  std::erase(only, "");
  auto entries = parsed.result["entries"].as<std::vector<std::string>>();
  std::erase(entries, "");

  HistoryWriter history(parsed.result["history"].as<std::string>());
  SpanWriter spans(parsed.result["traces"].as<std::string>(), "snipe-target");
  const auto incarnation = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
  std::vector<std::unique_ptr<StandIn>> targets;
  for (const TargetPlan& target : plan->targets()) {
    if (!Selected(target, zone, only)) {
      continue;
    }
    if (parsed.result.count("list") > 0) {
      std::cout << target.announcement.target << " " << target.announcement.zone
                << " " << target.announcement.address << "\n";
      continue;
    }
    auto started = StandIn::Start(target, incarnation, history, spans);
    if (!started) {
      LOG(ERROR) << "event=start_failed reason=\"" << started.error().detail
                 << "\"";
      return kExitFailed;
    }
    targets.push_back(std::move(*started));
  }
  if (parsed.result.count("list") > 0) {
    return kExitOk;
  }
  LOG(INFO) << "event=started targets=" << targets.size();

  EventLoop loop;
  Announcer announcer(loop, entries);
  const auto announce_all = [&] {
    for (auto& target : targets) {
      announcer.Post(*target);
    }
  };
  // Spread over the interval, as targets of a real fleet are.
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const Duration offset = kAnnounceInterval * static_cast<std::int64_t>(i) /
                            static_cast<std::int64_t>(targets.size());
    announcer.Post(*targets[i]);
    loop.After(offset, [&loop, &announcer, target = targets[i].get()] {
      loop.Every(kAnnounceInterval,
                 [&announcer, target] { announcer.Post(*target); });
    });
  }
  bool draining = false;
  const auto drain = [&] {
    if (std::exchange(draining, true)) {
      return;
    }
    LOG(INFO) << "event=draining";
    for (auto& target : targets) {
      target->Drain();
    }
    announce_all();
    loop.After(kDrainHold, [&] {
      loop.Every(kDrainCheck, [&] {
        if (std::ranges::all_of(targets,
                                [](auto& target) { return target->Idle(); })) {
          loop.Stop();
        }
      });
    });
  };
  loop.OnSignal(SIGTERM, drain);
  loop.OnSignal(SIGINT, drain);
  loop.Run();
  targets.clear();
  LOG(INFO) << "event=stopped";
  return kExitOk;
}

}  // namespace
}  // namespace snipeworks

int main(int argc, char** argv) {
  return snipeworks::Main(argc, argv);
}
