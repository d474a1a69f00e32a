#include "snipeworks/search_run.h"

#include <algorithm>
#include <utility>

namespace snipeworks {

std::size_t NeededParts(const GroupPolicy& policy, std::size_t parts) {
  constexpr std::size_t kPermille = 1000;
  const std::size_t share =
      parts * static_cast<std::size_t>(policy.min_coverage_permille);
  return std::max<std::size_t>(1, (share + kPermille - 1) / kPermille);
}

// With a plan, requests of all routes share one queue for a group's targets.
PartKey PartKeyOf(const SearchRequest& request,
                  const PinnedSnapshot& snapshot,
                  std::size_t part_index) {
  if (!snapshot.groups.empty()) {
    return {snapshot.groups[part_index], {}, 0};
  }
  return {request.group, snapshot.id(),
          snapshot.manifest.parts[part_index].part};
}

SearchRun::SearchRun(SearchRequest request,
                     GroupPolicy policy,
                     Instant started,
                     Duration budget,
                     Fingerprint fingerprint)
    : request_(std::move(request)),
      policy_(policy),
      started_(started),
      deadline_(started + budget),
      fingerprint_(fingerprint),
      query_(std::make_shared<const std::string>(request_.query)) {}

void SearchRun::Pin(std::shared_ptr<const PinnedSnapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  parts_.assign(snapshot_->manifest.parts.size(), PartRun{});
}

Instant SearchRun::AnswerBy() const {
  if (policy_.answer_rule() == AnswerRule::kCoverage) {
    return deadline_;
  }
  const Instant soft =
      started_ + std::chrono::milliseconds(policy_.soft_deadline_ms);
  return std::min(soft, deadline_);
}

PartKey SearchRun::PartKeyOf(std::size_t part_index) const {
  return snipeworks::PartKeyOf(request_, *snapshot_, part_index);
}

PartNumber SearchRun::PartNumberOf(std::size_t part_index) const {
  return snapshot_->manifest.parts[part_index].part;
}

const std::vector<std::string>& SearchRun::ReplicasOf(
    std::size_t part_index) const {
  return snapshot_->replicas[part_index];
}

bool SearchRun::Settled() const {
  return std::ranges::all_of(parts_, [](const PartRun& part) {
    return part.status == PartStatus::kAnswered ||
           part.status == PartStatus::kMissing;
  });
}

std::size_t SearchRun::AnsweredParts() const {
  return static_cast<std::size_t>(
      std::ranges::count(parts_, PartStatus::kAnswered, &PartRun::status));
}

std::size_t SearchRun::NeededParts() const {
  return snipeworks::NeededParts(policy_, parts_.size());
}

bool SearchRun::CanSpareAPart() const {
  return PartsNotMissing() > NeededParts();
}

bool SearchRun::CoverageUnreachable() const {
  return PartsNotMissing() < NeededParts();
}

std::size_t SearchRun::PartsNotMissing() const {
  const auto missing = static_cast<std::size_t>(
      std::ranges::count(parts_, PartStatus::kMissing, &PartRun::status));
  return parts_.size() - missing;
}

std::int64_t SearchRun::MostAttempts() const {
  std::int64_t most = 0;
  for (const PartRun& part : parts_) {
    most = std::max(most, part.possibly_run_attempts);
  }
  return most;
}

bool SearchRun::MayHaveRun() const {
  return MostAttempts() > 0;
}

bool SearchRun::Started() const {
  return std::ranges::any_of(parts_, &PartRun::started);
}

SearchAnswer SearchRun::Answer() const {
  SearchAnswer answer;
  answer.snapshot = snapshot_->id();
  answer.attempts = attempts;
  Coverage& coverage = answer.coverage;
  coverage.parts_total = static_cast<std::uint32_t>(parts_.size());
  coverage.documents_total = snapshot_->manifest.documents();
  for (std::size_t i = 0; i < parts_.size(); ++i) {
    const PartRun& part = parts_[i];
    const std::uint64_t in_manifest = snapshot_->manifest.parts[i].documents;
    if (part.status != PartStatus::kAnswered) {
      coverage.missing.push_back({PartNumberOf(i), in_manifest, part.reason});
      continue;
    }
    ++coverage.parts_answered;
    coverage.documents_answered += part.documents;
    answer.hits.insert(answer.hits.end(), part.hits.begin(), part.hits.end());
    if (part.answer) {
      answer.answers.push_back(part.answer);
    }
  }
  std::ranges::sort(answer.hits, [](const Hit& a, const Hit& b) {
    return std::tie(b.score, a.document) < std::tie(a.score, b.document);
  });
  if (answer.hits.size() > request_.limit) {
    answer.hits.resize(request_.limit);
  }
  return answer;
}

}  // namespace snipeworks
