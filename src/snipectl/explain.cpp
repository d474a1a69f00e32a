#include "explain.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <string_view>

namespace snipeworks {

namespace {

using nlohmann::json;

// Changes of targets and hosts that far from the request are not its cause.
constexpr double kContextSeconds = 15.0;

constexpr std::array<std::string_view, 10> kContextEvents = {
    "target_changed", "control_lost",  "control_regained",
    "stalled",        "lines_dropped", "routing_in_force",
    "ready",          "unready",       "stopping",
    "stopped"};

double TimeOf(const json& line) {
  return line.value("time", 0.0);
}

std::string TextOf(const json& line, const char* name) {
  auto found = line.find(name);
  return found != line.end() && found->is_string() ? found->get<std::string>()
                                                   : std::string();
}

std::string Shown(const json& line) {
  std::array<char, 64> time{};
  std::snprintf(time.data(), time.size(), "%.3f", TimeOf(line));
  std::string text = std::string(time.data()) + " " + TextOf(line, "host") +
                     " " + TextOf(line, "event");
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

void Explanation::Read(std::istream& lines) {
  for (std::string text; std::getline(lines, text);) {
    const auto start = text.find('{');
    json line = start == std::string::npos
                    ? json()
                    : json::parse(text.substr(start), nullptr, false);
    if (!line.is_object() || !line.contains("event")) {
      continue;
    }
    if (TextOf(line, "request") == request_) {
      own_.push_back(line);
    } else if (std::ranges::find(kContextEvents, TextOf(line, "event")) !=
               kContextEvents.end()) {
      changes_.push_back(line);
    }
    if (TextOf(line, "outcome") == "lost") {
      lost_.push_back(std::move(line));
    }
  }
  std::ranges::sort(own_, {}, TimeOf);
}

// Of the changes: those of targets that the request met, and those of the hosts
// that wrote about it, near its time.
std::vector<json> Explanation::Context() const {
  std::set<std::string> targets;
  std::set<std::string> hosts;
  for (const json& line : own_) {
    targets.insert(TextOf(line, "target"));
    hosts.insert(TextOf(line, "host"));
  }
  targets.erase("");
  std::vector<json> context;
  for (const json& line : changes_) {
    const double first = TimeOf(own_.front()) - kContextSeconds;
    const double last = TimeOf(own_.back()) + kContextSeconds;
    const bool near = TimeOf(line) >= first && TimeOf(line) <= last;
    const bool of_target = TextOf(line, "event") == "target_changed"
                               ? targets.contains(TextOf(line, "target"))
                               : hosts.contains(TextOf(line, "host"));
    if (near && of_target) {
      context.push_back(line);
    }
  }
  std::ranges::sort(context, {}, TimeOf);
  return context;
}

std::string Explanation::Cause() const {
  const auto end = std::ranges::find_if(own_, [](const json& line) {
    const std::string event = TextOf(line, "event");
    return event == "request" || event == "request_rejected" ||
           event == "caller_gone";
  });
  if (end == own_.end()) {
    return "no line tells its end: it succeeded and was sampled out, or the "
           "host stopped or dropped lines";
  }
  const std::string event = TextOf(*end, "event");
  if (event == "caller_gone") {
    return "the caller left before the answer";
  }
  if (event == "request_rejected") {
    return "refused before any target was chosen: " + TextOf(*end, "reason");
  }
  const std::string outcome = TextOf(*end, "outcome");
  std::string cause = outcome;
  if (const std::string detail = TextOf(*end, "detail"); !detail.empty()) {
    cause += ": " + detail;
  }
  if (const std::string missing = TextOf(*end, "missing"); !missing.empty()) {
    cause += "; missing " + missing;
  }
  for (const json& line : own_) {
    if (TextOf(line, "event") == "hedge_skipped") {
      cause += "; no hedge beside " + TextOf(line, "target") + ": " +
               TextOf(line, "reason");
    } else if (!TextOf(line, "outcome").empty() &&
               TextOf(line, "event") == "attempt") {
      cause += "; " + TextOf(line, "target") + " " + TextOf(line, "outcome");
    }
  }
  return cause + SameElsewhere();
}

// A request that ends its targets comes again under another id.
std::string Explanation::SameElsewhere() const {
  std::set<std::string> fingerprints;
  for (const json& line : own_) {
    fingerprints.insert(TextOf(line, "fingerprint"));
  }
  fingerprints.erase("");
  std::set<std::string> targets;
  std::size_t others = 0;
  for (const json& line : lost_) {
    if (fingerprints.contains(TextOf(line, "fingerprint"))) {
      targets.insert(TextOf(line, "target"));
      others += TextOf(line, "request") != request_ ? 1 : 0;
    }
  }
  if (others == 0) {
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
  std::vector<json> lines = own_;
  for (json& line : Context()) {
    lines.push_back(std::move(line));
  }
  std::ranges::stable_sort(lines, {}, TimeOf);
  std::string text;
  for (const json& line : lines) {
    text += Shown(line) + "\n";
  }
  return text + "cause: " + Cause() + "\n";
}

}  // namespace snipeworks
