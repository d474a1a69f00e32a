#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace snipeworks {

using nlohmann::json;

namespace {

double Round(double value) {
  constexpr double kScale = 1000.0;
  return std::round(value * kScale) / kScale;
}

json Percentiles(std::vector<double> values) {
  std::ranges::sort(values);
  return {{"p50_ms", Round(PercentileOf(values, 50))},
          {"p90_ms", Round(PercentileOf(values, 90))},
          {"p99_ms", Round(PercentileOf(values, 99))},
          {"p999_ms", Round(PercentileOf(values, 99.9))}};
}

}  // namespace

double PercentileOf(const std::vector<double>& sorted, double percent) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(percent / 100.0 * static_cast<double>(sorted.size())));
  return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

json ReportOf(const LoadPlan& plan, const LoadArm& arm, ArmResult result) {
  json classes = json::object();
  for (auto& [name, latencies] : result.class_latencies_ms) {
    classes[name] = Percentiles(latencies);
    classes[name]["answers"] = latencies.size();
  }
  const double extra =
      result.attempts.primary == 0
          ? 0.0
          : 100.0 * (result.attempts.hedge + result.attempts.retry) /
                result.attempts.primary;
  const double seconds =
      std::chrono::duration<double>(plan.length).count() /
      (plan.slice > Duration{} ? static_cast<double>(plan.arms.size()) : 1.0);
  return {
      {"arm", arm.name},
      {"sent", result.sent},
      {"answers", result.answers},
      {"complete", result.complete},
      {"complete_per_s", Round(static_cast<double>(result.complete) / seconds)},
      {"outcomes", result.outcomes},
      {"latency", Percentiles(result.latencies_ms)},
      {"refusal", Percentiles(result.refusals_ms)},
      {"classes", std::move(classes)},
      {"coverage_mean",
       result.answers == 0
           ? 0.0
           : Round(result.coverage_sum / static_cast<double>(result.answers))},
      {"coverage_min", result.answers == 0 ? 0.0 : Round(result.coverage_min)},
      {"attempts",
       {{"primary", result.attempts.primary},
        {"hedge", result.attempts.hedge},
        {"retry", result.attempts.retry},
        {"replacement", result.attempts.replacement}}},
      {"extra_percent", Round(extra)}};
}

std::string ReportText(const std::vector<json>& arms) {
  std::string text =
      "arm               sent  complete  coverage   p50 ms   p99 ms p99.9 ms  "
      "extra %  outcomes\n";
  for (const json& arm : arms) {
    char line[256];
    std::snprintf(
        line, sizeof(line), "%-14s %7llu %9llu %9.4f %8.1f %8.1f %8.1f %8.2f  ",
        arm["arm"].get<std::string>().c_str(),
        static_cast<unsigned long long>(arm["sent"].get<std::uint64_t>()),
        static_cast<unsigned long long>(arm["complete"].get<std::uint64_t>()),
        arm["coverage_mean"].get<double>(),
        arm["latency"]["p50_ms"].get<double>(),
        arm["latency"]["p99_ms"].get<double>(),
        arm["latency"]["p999_ms"].get<double>(),
        arm["extra_percent"].get<double>());
    text += line;
    text += arm["outcomes"].dump() + "\n";
  }
  return text;
}

}  // namespace snipeworks
