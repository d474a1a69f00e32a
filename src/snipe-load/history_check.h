#ifndef SNIPE_LOAD_HISTORY_CHECK_H_
#define SNIPE_LOAD_HISTORY_CHECK_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

namespace snipeworks {

/// Checks the answers that callers received against what the targets ran:
/// - an answer belongs to its request and comes from a single snapshot;
/// - it reports no more parts as answered than the targets ran;
/// - a request reported as "not run" never started;
/// - a request that is not repeatable started at most once.
class HistoryCheck {
 public:
  /// Adds a line of a target's history.
  void AddTargetEvent(const nlohmann::json& event);
  /// Adds a line of a caller's history.
  void AddAnswer(const nlohmann::json& answer);

  /// Descriptions of the faults found. The check of answers stops after a
  /// hundred.
  std::vector<std::string> Faults() const;
  std::size_t answers() const { return answers_.size(); }
  std::size_t starts() const { return starts_; }

 private:
  struct RanPart {
    std::string digest;
    std::uint64_t part = 0;
    friend auto operator<=>(const RanPart&, const RanPart&) = default;
  };

  void CheckHits(const nlohmann::json& answer,
                 std::vector<std::string>& faults) const;
  void CheckCoverage(const nlohmann::json& answer,
                     std::vector<std::string>& faults) const;
  void CheckNotRun(const nlohmann::json& answer,
                   std::vector<std::string>& faults) const;

  std::vector<nlohmann::json> answers_;
  std::map<std::string, std::set<RanPart>> ran_by_trace_;
  std::map<std::string, int> starts_by_trace_;
  std::map<std::string, int> starts_by_key_;
  std::size_t starts_ = 0;
};

}  // namespace snipeworks

#endif  // SNIPE_LOAD_HISTORY_CHECK_H_
