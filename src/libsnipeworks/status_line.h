#ifndef SNIPEWORKS_LIBSNIPEWORKS_STATUS_LINE_H_
#define SNIPEWORKS_LIBSNIPEWORKS_STATUS_LINE_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace snipeworks {

/// Reads the status line of a response (RFC 9112, section 4), which may arrive
/// in pieces.
class StatusLineReader {
 public:
  enum class State { kReading, kValid, kInvalid };

  /// Reads bytes of a response from its first one on. Returns how many of them
  /// precede the first header: all, unless the line ends in them.
  std::size_t Read(std::string_view bytes);

  /// kInvalid also for a line of more than 8 KiB.
  State state() const { return state_; }

  /// Prepares for the next response.
  void Reset();

 private:
  State state_ = State::kReading;
  std::string line_;  ///< The pieces read so far.
};

/// True if `line`, without its line end, is a status line of HTTP/1.x whose
/// status may answer a request that asks for no upgrade.
bool IsStatusLine(std::string_view line);

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_STATUS_LINE_H_
