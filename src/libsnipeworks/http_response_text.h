#ifndef SNIPEWORKS_LIBSNIPEWORKS_HTTP_RESPONSE_TEXT_H_
#define SNIPEWORKS_LIBSNIPEWORKS_HTTP_RESPONSE_TEXT_H_

#include <string>

#include "snipeworks/http_message.h"

namespace snipeworks {

/// The bytes of a response: head and body, or the head alone in response to a
/// HEAD request. `close` says that the connection ends with it.
std::string ResponseText(const HttpResponse& response,
                         bool close,
                         bool is_head_method);

}  // namespace snipeworks

#endif  // SNIPEWORKS_LIBSNIPEWORKS_HTTP_RESPONSE_TEXT_H_
