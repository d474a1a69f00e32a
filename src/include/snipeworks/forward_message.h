#ifndef SNIPEWORKS_FORWARD_MESSAGE_H_
#define SNIPEWORKS_FORWARD_MESSAGE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "snipeworks/forwarded_request.h"
#include "snipeworks/http_message.h"
#include "snipeworks/protocol_names.h"
#include "snipeworks/search.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// How the response to a forwarded request is built.
struct ResponseFormat {
  std::uint32_t top_records = 0;  ///< Number of records merged from all parts.
  bool pass_through = false;      ///< One target's answer is passed through.
  bool is_head_method = false;    ///< The request is a HEAD request.
};

/// Whose request is forwarded.
struct ForwardedIdentity {
  std::string customer;  ///< Empty for none.
  /// True if the routing has customers: the request's key, and anything that
  /// may be one, stays on this host.
  bool strip_authorization = false;
};

/// The part of `request` that is the same for every target; the deadline and
/// the target's name are added for each attempt. Moves the body and strips the
/// headers of the connection from `request`. The customer named in the headers
/// is replaced by that of `identity`.
std::shared_ptr<const ForwardedRequest> ToForwardedRequest(
    HttpRequest& request,
    const ForwardNames& names,
    const ForwardedIdentity& identity = {});

/// The response to the caller of `request`.
HttpResponse ToResponse(const SearchAnswer& answer,
                        const SearchRequest& request,
                        const ResponseFormat& format,
                        const ForwardNames& names);

/// The response to the caller of a failed request. A target's own failure is
/// passed through, unless its status implies that the request was not run
/// although it may have been.
HttpResponse ToFailureResponse(const FinishSearch& finish,
                               const SearchRequest& request,
                               const ResponseFormat& format,
                               const ForwardNames& names);

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARD_MESSAGE_H_
