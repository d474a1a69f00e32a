#include "response_match.h"

#include <chrono>

namespace snipeworks {

namespace {

// How long connections to a server that seems to omit identifiers in some
// responses are used for one call each.
constexpr Duration kSingleUseTime = std::chrono::seconds(60);

}  // namespace

// Late bytes of a server can look like a response without an identifier. Some
// servers echo none, or none in refusals, so such a response is only skipped
// where an identifier is expected, and never on the first call of a connection:
// no other call can have caused it. That connection is not used again, because
// what follows on it cannot be told apart any better.
ResponseMatch ResponseMatcher::Match(std::string_view expected,
                                     std::string_view received,
                                     bool first_call) {
  // The call has no identifier, so nothing but its connection tells.
  if (expected.empty()) {
    return first_call ? ResponseMatch::kLastAnswer : ResponseMatch::kForeign;
  }
  if (!received.empty()) {
    if (received != expected) {
      return ResponseMatch::kForeign;
    }
    echoes_ = true;
    return ResponseMatch::kAnswer;
  }
  if (!echoes_) {
    return ResponseMatch::kAnswer;
  }
  return first_call ? ResponseMatch::kLastAnswer : ResponseMatch::kForeign;
}

bool ResponseMatcher::AllowsReuse(Instant now) const {
  return !last_unanswered_ || now - *last_unanswered_ > kSingleUseTime;
}

}  // namespace snipeworks
