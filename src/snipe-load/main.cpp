// snipe-load: generates load and reports on it, or checks the histories that
// callers and targets wrote.

#include <fstream>
#include <iostream>
#include <sstream>

#include "history_check.h"
#include "load_run.h"
#include "report.h"
#include "snipeworks/address.h"
#include "snipeworks/program.h"

namespace snipeworks {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

// Parses "NAME=IP:PORT,IP:PORT".
Result<LoadArm> ParseArm(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    return Fail(ErrorKind::kBadRequest,
                "--arm " + text + ": must be NAME=IP:PORT,IP:PORT");
  }
  LoadArm arm{text.substr(0, equals), Split(text.substr(equals + 1), ',')};
  for (const std::string& entry : arm.entries) {
    if (auto address = Address::Parse(entry); !address) {
      return tl::unexpected(address.error());
    }
  }
  if (arm.entries.empty()) {
    return Fail(ErrorKind::kBadRequest,
                "--arm " + text + ": lists no entry host");
  }
  return arm;
}

Duration Seconds(double value) {
  return Duration(static_cast<std::int64_t>(value * 1e6));
}

Result<LoadPlan> PlanFrom(const cxxopts::ParseResult& options) {
  LoadPlan plan;
  // Arms are separated by ';' in a single option: cxxopts splits the values of
  // a repeatable option at commas, and an arm contains commas.
  for (const std::string& text : Split(options["arm"].as<std::string>(), ';')) {
    auto arm = ParseArm(text);
    if (!arm) {
      return tl::unexpected(arm.error());
    }
    plan.arms.push_back(std::move(*arm));
  }
  plan.group = options["group"].as<std::string>();
  plan.rate = options["rate"].as<double>();
  plan.length = Seconds(options["seconds"].as<double>());
  plan.warm_up = Seconds(options["warm-up"].as<double>());
  plan.slice = Seconds(options["slice"].as<double>());
  plan.deadline = milliseconds(options["deadline-ms"].as<int>());
  plan.distinct_queries = options["queries"].as<std::size_t>();
  plan.query = options["query"].as<std::string>();
  plan.actions = options.count("actions") > 0;
  plan.seed = options["seed"].as<std::uint64_t>();
  const auto weights = Split(options["classes"].as<std::string>(), ',');
  if (plan.arms.empty() || plan.group.empty() || plan.rate <= 0 ||
      plan.distinct_queries == 0 || weights.size() != kRequestClasses) {
    return Fail(ErrorKind::kBadRequest,
                "--arm, --group, a rate above 0, --queries above 0 and three "
                "--classes weights are needed");
  }
  for (std::size_t i = 0; i < weights.size(); ++i) {
    plan.class_weights[i] = std::atof(weights[i].c_str());
  }
  return plan;
}

int RunLoad(const cxxopts::ParseResult& options) {
  auto plan = PlanFrom(options);
  if (!plan) {
    return UsageError("snipe-load", plan.error().detail);
  }
  HistoryWriter history(options["history"].as<std::string>());
  EventLoop loop;
  LoadRun run(loop, *plan, history);
  run.Start();
  loop.Run();
  std::vector<json> arms;
  std::uint64_t answers = 0;
  for (std::size_t i = 0; i < plan->arms.size(); ++i) {
    arms.push_back(ReportOf(*plan, plan->arms[i], run.results()[i]));
    answers += run.results()[i].answers;
  }
  std::cout << ReportText(arms);
  const auto json_path = options["json"].as<std::string>();
  if (!json_path.empty()) {
    std::ofstream(json_path) << json(arms).dump(2) << "\n";
  }
  return answers > 0 ? kExitOk : kExitFailed;
}

// Calls `take` with each line. Lines that are no JSON object, such as one that
// was truncated when the writer was killed, are skipped; returns their number.
std::size_t ReadLines(const std::string& path,
                      const std::function<void(const json&)>& take) {
  std::ifstream file(path);
  std::string line;
  std::size_t unreadable = 0;
  while (std::getline(file, line)) {
    const json event = json::parse(line, nullptr, false);
    if (event.is_object()) {
      take(event);
    } else {
      ++unreadable;
    }
  }
  return unreadable;
}

int Check(const cxxopts::ParseResult& options) {
  HistoryCheck check;
  std::size_t unreadable = 0;
  for (const auto& path : Split(options["targets"].as<std::string>(), ',')) {
    unreadable += ReadLines(
        path, [&](const json& event) { check.AddTargetEvent(event); });
  }
  for (const auto& path : Split(options["callers"].as<std::string>(), ',')) {
    unreadable +=
        ReadLines(path, [&](const json& event) { check.AddAnswer(event); });
  }
  if (check.answers() == 0) {
    return UsageError("snipe-load", "check: --callers holds no answers");
  }
  const std::vector<std::string> faults = check.Faults();
  for (const std::string& fault : faults) {
    std::cout << fault << "\n";
  }
  std::cout << "answers=" << check.answers() << " starts=" << check.starts()
            << " unreadable=" << unreadable << " faults=" << faults.size()
            << "\n";
  return faults.empty() ? kExitOk : kExitFailed;
}

int Main(int argc, char** argv) {
  cxxopts::Options options = ProgramOptions(
      "snipe-load",
      "Sends load and reports on it (run), or compares what callers were told "
      "with what targets ran (check).");
  options.positional_help("run|check");
  options.add_options()("command", "run or check",
                        cxxopts::value<std::string>())(
      "arm", "NAME=IP:PORT,IP:PORT; several arms are separated by ';'",
      cxxopts::value<std::string>()->default_value(""))(
      "group", "Service group",
      cxxopts::value<std::string>()->default_value(""))(
      "rate", "Requests a second over all arms",
      cxxopts::value<double>()->default_value("100"))(
      "seconds", "Length", cxxopts::value<double>()->default_value("10"))(
      "warm-up", "Seconds sent before counting",
      cxxopts::value<double>()->default_value("1"))(
      "slice", "Seconds that each arm has to itself; 0 alternates requests",
      cxxopts::value<double>()->default_value("0"))(
      "deadline-ms", "Deadline of each request",
      cxxopts::value<int>()->default_value("1000"))(
      "queries", "Distinct queries",
      cxxopts::value<std::size_t>()->default_value("1000"))(
      "query", "One query to send instead",
      cxxopts::value<std::string>()->default_value(""))(
      "classes", "Weights of urgent, normal and routine requests",
      cxxopts::value<std::string>()->default_value("0,1,0"))(
      "actions", "Send requests that are not repeatable")(
      "seed", "Seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "history", "File for what was answered",
      cxxopts::value<std::string>()->default_value(""))(
      "json", "File for the report in JSON",
      cxxopts::value<std::string>()->default_value(""))(
      "targets", "check: histories of targets, separated by commas",
      cxxopts::value<std::string>()->default_value(""))(
      "callers", "check: histories of callers, separated by commas",
      cxxopts::value<std::string>()->default_value(""));
  options.parse_positional({"command"});
  ParsedOptions parsed = ReadOptions(options, argc, argv);
  if (parsed.exit) {
    return parsed.exit_code;
  }
  const std::string command = parsed.result.count("command") > 0
                                  ? parsed.result["command"].as<std::string>()
                                  : "";
  if (command == "run") {
    return RunLoad(parsed.result);
  }
  if (command == "check") {
    return Check(parsed.result);
  }
  return UsageError("snipe-load", "the command must be run or check");
}

}  // namespace
}  // namespace snipeworks

int main(int argc, char** argv) {
  return snipeworks::Main(argc, argv);
}
