#ifndef SNIPECTL_EXPLAIN_H_
#define SNIPECTL_EXPLAIN_H_

#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace snipeworks {

/// Collects the event log lines of one request and explains its outcome.
class Explanation {
 public:
  /// `request` is the request id set by the caller.
  explicit Explanation(std::string request) : request_(std::move(request)) {}

  /// Adds the event log of a host. Logs may be added in any order; lines that
  /// are not events are skipped.
  void AddLog(std::istream& lines);

  /// The events in order of time, with the cause at the end.
  std::string Text() const;

  /// True if any line names the request.
  bool found() const { return !request_lines_.empty(); }

 private:
  std::vector<nlohmann::json> ContextLines() const;
  std::string Cause() const;
  /// Describes how many targets were lost to requests with the same
  /// fingerprint; empty if no other request is among them.
  std::string OtherTargetLosses() const;

  std::string request_;
  std::vector<nlohmann::json> request_lines_;  ///< Lines that name the request.
  std::vector<nlohmann::json> context_lines_;  ///< Changes of targets or hosts.
  std::vector<nlohmann::json> lost_attempts_;  ///< Attempts whose target ended.
};

}  // namespace snipeworks

#endif  // SNIPECTL_EXPLAIN_H_
