#ifndef SNIPECTL_EXPLAIN_H_
#define SNIPECTL_EXPLAIN_H_

#include <istream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace snipeworks {

/// The lines of event logs that say what became of one request.
class Explanation {
 public:
  /// `request` is the id that its caller gave it.
  explicit Explanation(std::string request) : request_(std::move(request)) {}

  /// Takes every line of a host's event log, in any order of hosts. Lines that
  /// are no events are passed over.
  void Read(std::istream& lines);

  /// What happened, in order of time, with the cause at the end.
  std::string Text() const;

  /// True if any line names the request.
  bool found() const { return !own_.empty(); }

 private:
  std::vector<nlohmann::json> Context() const;
  std::string Cause() const;
  /// What attempts of requests with the same fingerprint ended with.
  std::string SameElsewhere() const;

  std::string request_;
  std::vector<nlohmann::json> own_;      ///< Lines that name the request.
  std::vector<nlohmann::json> changes_;  ///< Of targets and of hosts.
  std::vector<nlohmann::json> lost_;     ///< Attempts whose target ended.
};

}  // namespace snipeworks

#endif  // SNIPECTL_EXPLAIN_H_
