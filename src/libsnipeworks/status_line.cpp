#include "status_line.h"

#include <algorithm>

namespace snipeworks {

namespace {

constexpr std::size_t kMaxLineBytes = std::size_t{8} * 1024;
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;
constexpr std::string_view kSwitchingProtocols = "101";

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Visible characters, bytes above ASCII, blanks and tabs.
bool IsReasonCharacter(char c) {
  return c == '\t' || (static_cast<unsigned char>(c) >= ' ' && c != '\x7f');
}

}  // namespace

bool IsStatusLine(std::string_view line) {
  constexpr std::size_t kVersionBytes = kVersionPrefix.size() + 1;
  constexpr std::size_t kMinBytes = kVersionBytes + 1 + kStatusDigits;
  if (!line.starts_with(kVersionPrefix) || line.size() < kMinBytes ||
      !IsDigit(line[kVersionPrefix.size()]) || line[kVersionBytes] != ' ') {
    return false;
  }
  const std::string_view status = line.substr(kVersionBytes + 1, kStatusDigits);
  if (status[0] < '1' || status[0] > '5' ||
      !std::ranges::all_of(status, IsDigit) || status == kSwitchingProtocols) {
    return false;
  }
  const std::string_view rest = line.substr(kMinBytes);
  return rest.empty() ||
         (rest[0] == ' ' && std::ranges::all_of(rest, IsReasonCharacter));
}

// Empty lines before a response are skipped, as the parser does.
std::size_t StatusLineReader::Read(std::string_view bytes) {
  std::size_t begin = 0;
  if (line_.empty()) {
    begin = std::min(bytes.find_first_not_of("\r\n"), bytes.size());
  }
  const std::size_t end = bytes.find('\n', begin);
  const bool complete = end != std::string_view::npos;
  const std::size_t used = complete ? end + 1 : bytes.size();
  std::string_view line = bytes.substr(begin, used - begin);
  if (!complete || !line_.empty()) {
    line_.append(line);
    line = line_;
  }
  if (line.size() > kMaxLineBytes) {
    state_ = State::kInvalid;
  } else if (complete) {
    line.remove_suffix(line.ends_with("\r\n") ? 2 : 1);
    state_ = IsStatusLine(line) ? State::kValid : State::kInvalid;
  }
  return used;
}

void StatusLineReader::Reset() {
  state_ = State::kReading;
  line_.clear();
}

}  // namespace snipeworks
