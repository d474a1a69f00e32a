#ifndef SNIPEWORKS_FOLD_DETECTOR_H_
#define SNIPEWORKS_FOLD_DETECTOR_H_

#include <string_view>

namespace snipeworks {

/// Finds folded headers (RFC 9112, section 5.2) in the head of a request that
/// arrives in pieces. http_parser accepts them and joins their lines without
/// the blank between them, so that servers would disagree on the value.
class FoldDetector {
 public:
  /// Reads the next bytes of a request; those after the head are ignored.
  /// Returns true if a line of the head begins with a blank.
  bool Read(std::string_view bytes);

 private:
  enum class State {
    kBeforeHead,  ///< Empty lines may precede the request line.
    kLine,
    kLineStart,
    kAfterReturn,  ///< After a carriage return at the start of a line.
    kAfterHead,
  };

  State state_ = State::kBeforeHead;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_FOLD_DETECTOR_H_
