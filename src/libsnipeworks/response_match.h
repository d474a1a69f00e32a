#ifndef SNIPEWORKS_LIBSNIPEWORKS_RESPONSE_MATCH_H_
#define SNIPEWORKS_LIBSNIPEWORKS_RESPONSE_MATCH_H_

#include <optional>
#include <string_view>

#include "snipeworks/clock.h"

namespace snipeworks {

/// Whether a response answers the call in progress on its connection.
enum class ResponseMatch {
  kAnswer,
  /// It answers the call, but the connection must not be used for another one.
  kLastAnswer,
  kForeign,  ///< It may belong to an earlier call and must be skipped.
};

/// Decides by the identifiers of calls, which a server echoes in responses,
/// which call a response belongs to. One object for each server.
class ResponseMatcher {
 public:
  /// `expected` identifies the call, and `received` is what the response echoes
  /// (empty if it echoes nothing). `first_call` is true if no other call was
  /// sent on the connection.
  ResponseMatch Match(std::string_view expected,
                      std::string_view received,
                      bool first_call);

  /// A call ended without an answer after a response without an identifier had
  /// been skipped: that may have been its answer.
  void OnUnanswered(Instant now) { last_unanswered_ = now; }

  /// True if a connection may be used for more than one call.
  bool AllowsReuse(Instant now) const;

 private:
  bool echoes_ = false;  ///< The server has echoed an identifier.
  std::optional<Instant> last_unanswered_;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_RESPONSE_MATCH_H_
