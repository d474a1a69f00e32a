#include "fold_detector.h"

namespace snipeworks {

bool FoldDetector::Read(std::string_view bytes) {
  while (!bytes.empty() && state_ != State::kAfterHead) {
    if (state_ == State::kLine) {
      const auto line_end = bytes.find('\n');
      if (line_end == std::string_view::npos) {
        return false;
      }
      bytes.remove_prefix(line_end + 1);
      state_ = State::kLineStart;
      continue;
    }
    const char next = bytes.front();
    bytes.remove_prefix(1);
    const bool is_line_break = next == '\r' || next == '\n';
    if (state_ == State::kBeforeHead) {
      state_ = is_line_break ? State::kBeforeHead : State::kLine;
    } else if (next == '\n') {
      state_ = State::kAfterHead;
    } else if (state_ == State::kLineStart && (next == ' ' || next == '\t')) {
      return true;
    } else {
      state_ = next == '\r' ? State::kAfterReturn : State::kLine;
    }
  }
  return false;
}

}  // namespace snipeworks
