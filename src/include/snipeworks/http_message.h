#ifndef SNIPEWORKS_HTTP_MESSAGE_H_
#define SNIPEWORKS_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipeworks/clock.h"

namespace snipeworks {

/// One header of a message.
struct HttpHeader {
  std::string name;
  std::string value;

  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};

/// True if `a` and `b` are the same header name, ignoring case.
bool SameHeaderName(std::string_view a, std::string_view b);

/// `text` without the blanks and tabs at its ends.
std::string_view TrimBlanks(std::string_view text);

/// True if `name` is a valid header name: a token (RFC 9110, section 5.6.2).
bool IsHeaderName(std::string_view name);

/// True if `status` may end a request: 200 to 599.
bool IsFinalStatus(int status);

/// The value of the first header named `name`, or empty.
std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name);

/// True if the comma-separated `list` contains `item`, ignoring case.
bool HeaderListContains(std::string_view list, std::string_view item);

/// Removes the hop-by-hop headers, including those named in `Connection`, and
/// the headers that frame the body.
void RemoveHopByHopHeaders(std::vector<HttpHeader>& headers);

/// A request as a server received it.
struct HttpRequest {
  std::string method;
  std::string path;    ///< Without the query string.
  std::string target;  ///< Path and query as the caller sent them.
  std::vector<HttpHeader> headers;
  std::string body;
  /// Unique within the server.
  std::uint64_t connection_id = 0;
  /// Part of the body was not kept, as the handler asked for less of it.
  bool body_truncated = false;
  /// The caller sent the request after this time, unless it sent it before it
  /// had the response to its last one.
  Instant sent_after{};

  /// The value of header `name`, ignoring case, or empty.
  std::string_view Header(std::string_view name) const;
};

/// A response of a server.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";  ///< Empty for none.
  std::string body;
  std::vector<HttpHeader> headers;
  bool close = false;  ///< Close the connection afterwards.
  /// The Content-Length of a response to HEAD, if not that of `body`.
  std::optional<std::uint64_t> declared_length;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_HTTP_MESSAGE_H_
