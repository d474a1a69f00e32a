#include "explain.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <string_view>

namespace snipeworks {

namespace {

using nlohmann::json;

// Changes of targets and hosts further in time from the request are not its
// cause.
constexpr double kContextWindowSeconds = 15.0;

constexpr std::array<std::string_view, 15> kContextEvents = {
    "target_changed", "control_lost",  "control_regained",
    "stalled",        "lines_dropped", "routing_in_force",
    "ready",          "unready",       "stopping",
    "stopped",        "target_limit",  "target_contact",
    "quota_contact",  "quota",         "zone_evacuated"};

double TimeField(const json& line) {
  return line.value("time", 0.0);
}

std::string StringField(const json& line, const char* name) {
  auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

std::string FormatLine(const json& line) {
  std::array<char, 64> time{};
  std::snprintf(time.data(), time.size(), "%.3f", TimeField(line));
  std::string text = std::string(time.data()) + " " +
                     StringField(line, "host") + " " +
                     StringField(line, "event");
  for (const auto& [name, value] : line.items()) {
    if (name != "time" && name != "host" && name != "event" &&
        value != json("")) {
      text += " " + name + "=" +
              (value.is_string() ? value.get<std::string>() : value.dump());
    }
  }
  return text;
}

}  // namespace

void Explanation::AddLog(std::istream& lines) {
  for (std::string text; std::getline(lines, text);) {
    const auto start = text.find('{');
    json line = start == std::string::npos
                    ? json()
                    : json::parse(text.substr(start), nullptr, false);
    if (!line.is_object() || !line.contains("event")) {
      continue;
    }
    if (StringField(line, "request") == request_) {
      request_lines_.push_back(line);
    } else if (std::ranges::find(kContextEvents, StringField(line, "event")) !=
               kContextEvents.end()) {
      context_lines_.push_back(line);
    }
    if (StringField(line, "outcome") == "lost") {
      lost_attempts_.push_back(std::move(line));
    }
  }
  std::ranges::sort(request_lines_, {}, TimeField);
}

// Returns the changes close to the time of the request, of the targets that it
// was sent to and of the hosts that logged it.
std::vector<json> Explanation::ContextLines() const {
  std::set<std::string> targets;
  std::set<std::string> hosts;
  std::set<std::string> customers;
  for (const json& line : request_lines_) {
    customers.insert(StringField(line, "customer"));
    targets.insert(StringField(line, "target"));
    hosts.insert(StringField(line, "host"));
  }
  targets.erase("");
  std::vector<json> context;
  for (const json& line : context_lines_) {
    const double first =
        TimeField(request_lines_.front()) - kContextWindowSeconds;
    const double last =
        TimeField(request_lines_.back()) + kContextWindowSeconds;
    const bool in_window = TimeField(line) >= first && TimeField(line) <= last;
    const std::string event = StringField(line, "event");
    const bool of_target = event == "target_changed" || event == "target_limit";
    const bool relevant =
        event == "quota" ? customers.contains(StringField(line, "customer"))
        : of_target      ? targets.contains(StringField(line, "target"))
                         : hosts.contains(StringField(line, "host"));
    if (in_window && relevant) {
      context.push_back(line);
    }
  }
  std::ranges::sort(context, {}, TimeField);
  return context;
}

std::string Explanation::Cause() const {
  const auto final_line =
      std::ranges::find_if(request_lines_, [](const json& line) {
        const std::string event = StringField(line, "event");
        return event == "request" || event == "request_rejected" ||
               event == "caller_gone" || event == "relayed";
      });
  if (final_line == request_lines_.end()) {
    return "no line tells its end: it succeeded and was sampled out, or the "
           "host stopped or dropped lines";
  }
  const std::string event = StringField(*final_line, "event");
  if (event == "caller_gone") {
    return "the caller left before the answer";
  }
  if (event == "request_rejected") {
    const std::string detail = StringField(*final_line, "detail");
    return "refused before any target was chosen: " +
           StringField(*final_line, "reason") +
           (detail.empty() ? "" : ": " + detail);
  }
  const std::string outcome = StringField(*final_line, "outcome");
  if (event == "relayed") {
    return "relayed to " + StringField(*final_line, "relay") +
           ", as this host reached no target: " + outcome;
  }
  std::string cause = outcome;
  if (const std::string origin = StringField(*final_line, "origin");
      !origin.empty()) {
    cause += ", run for " + origin;
  }
  if (const std::string detail = StringField(*final_line, "detail");
      !detail.empty()) {
    cause += ": " + detail;
  }
  if (const std::string missing = StringField(*final_line, "missing");
      !missing.empty()) {
    cause += "; missing " + missing;
  }
  for (const json& line : request_lines_) {
    if (StringField(line, "event") == "hedge_skipped") {
      cause += "; no hedge beside " + StringField(line, "target") + ": " +
               StringField(line, "reason");
    } else if (!StringField(line, "outcome").empty() &&
               StringField(line, "event") == "attempt") {
      cause += "; " + StringField(line, "target") + " " +
               StringField(line, "outcome");
    }
  }
  return cause + OtherTargetLosses();
}

// A request that crashes its targets is sent again under another id.
std::string Explanation::OtherTargetLosses() const {
  std::set<std::string> fingerprints;
  for (const json& line : request_lines_) {
    fingerprints.insert(StringField(line, "fingerprint"));
  }
  fingerprints.erase("");
  std::set<std::string> targets;
  std::size_t other_requests = 0;
  for (const json& line : lost_attempts_) {
    if (fingerprints.contains(StringField(line, "fingerprint"))) {
      targets.insert(StringField(line, "target"));
      other_requests += StringField(line, "request") != request_ ? 1 : 0;
    }
  }
  if (other_requests == 0) {
    return {};
  }
  return "; the same request came under other ids too: " +
         std::to_string(targets.size()) + " targets ended while they had it";
}

std::string Explanation::Text() const {
  if (!found()) {
    return "no line names the request " + request_ +
           ": it was sampled out, dropped, or met no host of these logs\n";
  }
  std::vector<json> lines = request_lines_;
  for (json& line : ContextLines()) {
    lines.push_back(std::move(line));
  }
  std::ranges::stable_sort(lines, {}, TimeField);
  std::string text;
  for (const json& line : lines) {
    text += FormatLine(line) + "\n";
  }
  return text + "cause: " + Cause() + "\n";
}

}  // namespace snipeworks
