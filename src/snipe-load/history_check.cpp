#include "history_check.h"

#include <xxhash.h>

namespace snipeworks {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxFaults = 100;

std::string Describe(const json& answer) {
  std::string text = "trace ";
  text += answer.value("trace", "?");
  text += " query \"";
  text += answer.value("query", "?");
  text += '"';
  return text;
}

}  // namespace

void HistoryCheck::AddTargetEvent(const json& event) {
  const std::string trace = event.value("trace", "");
  const std::string kind = event.value("event", "");
  if (kind == "start") {
    ++starts_;
    ++starts_by_trace_[trace];
    const std::string key = event.value("key", "");
    if (!key.empty()) {
      ++starts_by_key_[key];
    }
  } else if (kind == "end" && event.value("status", "") == "answered") {
    ran_by_trace_[trace].insert(
        {event.value("digest", ""), event.value("part", std::uint64_t{0})});
  }
}

void HistoryCheck::AddAnswer(const json& answer) {
  answers_.push_back(answer);
}

// The name of a document holds its snapshot, its part and a hash of the query.
void HistoryCheck::CheckHits(const json& answer,
                             std::vector<std::string>& faults) const {
  const json& body = answer["body"];
  const std::string digest = body.value("digest", "");
  const std::string query = answer.value("query", "");
  const std::string hash =
      "/" + std::to_string(XXH3_64bits(query.data(), query.size())) + "/";
  for (const json& hit : body["hits"]) {
    const std::string document = hit.value("document", "");
    if (document.rfind(digest + "/", 0) != 0) {
      std::string fault = "mixed snapshots: ";
      fault += document;
      fault += " in an answer of ";
      fault += digest;
      fault += ", ";
      fault += Describe(answer);
      faults.push_back(std::move(fault));
    }
    if (document.find(hash) == std::string::npos) {
      faults.push_back("answer of another request: " + document + ", " +
                       Describe(answer));
    }
  }
}

void HistoryCheck::CheckCoverage(const json& answer,
                                 std::vector<std::string>& faults) const {
  const json& body = answer["body"];
  const json& coverage = body["coverage"];
  const std::string digest = body.value("digest", "");
  std::size_t ran = 0;
  auto found = ran_by_trace_.find(answer.value("trace", ""));
  if (found != ran_by_trace_.end()) {
    for (const RanPart& part : found->second) {
      ran += part.digest == digest ? 1 : 0;
    }
  }
  const auto answered = coverage.value("parts_answered", std::size_t{0});
  const auto total = coverage.value("parts_total", std::size_t{0});
  const auto missing = coverage["missing"].size();
  if (answered > ran) {
    faults.push_back("coverage: " + std::to_string(answered) +
                     " parts told, targets ran " + std::to_string(ran) + ", " +
                     Describe(answer));
  }
  if (answered + missing != total) {
    faults.push_back("coverage: answered and missing parts do not add up, " +
                     Describe(answer));
  }
}

void HistoryCheck::CheckNotRun(const json& answer,
                               std::vector<std::string>& faults) const {
  if (answer["body"].value("ran", "") != "no") {
    return;
  }
  auto found = starts_by_trace_.find(answer.value("trace", ""));
  if (found != starts_by_trace_.end()) {
    faults.push_back("told \"not run\" but ran, " + Describe(answer));
  }
}

std::vector<std::string> HistoryCheck::Faults() const {
  std::vector<std::string> faults;
  for (const auto& [key, count] : starts_by_key_) {
    if (count > 1) {
      faults.push_back("not repeatable, but ran " + std::to_string(count) +
                       " times: key " + key);
    }
  }
  for (const json& answer : answers_) {
    if (faults.size() >= kMaxFaults) {
      break;
    }
    if (answer["body"].contains("coverage")) {
      CheckHits(answer, faults);
      CheckCoverage(answer, faults);
    }
    CheckNotRun(answer, faults);
  }
  return faults;
}

}  // namespace snipeworks
