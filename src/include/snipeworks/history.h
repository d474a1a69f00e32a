#ifndef SNIPEWORKS_HISTORY_H_
#define SNIPEWORKS_HISTORY_H_

#include <fstream>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "snipeworks/text.h"

namespace snipeworks {

/// Appends the events that a program observes to a file of JSON lines, for the
/// history check. Thread-safe. Each line is flushed to the operating system
/// before Write returns, so that it survives if the process is killed.
class HistoryWriter {
 public:
  /// Writes nothing if `path` is empty.
  explicit HistoryWriter(const std::string& path) {
    if (!path.empty()) {
      file_.open(path, std::ios::app);
    }
  }

  bool enabled() const { return file_.is_open(); }

  void Write(const nlohmann::json& event) {
    if (!enabled()) {
      return;
    }
    const std::string line = WriteJson(event);
    const std::lock_guard lock(mutex_);
    file_ << line << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HISTORY_H_
