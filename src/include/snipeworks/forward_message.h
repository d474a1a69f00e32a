#ifndef SNIPEWORKS_FORWARD_MESSAGE_H_
#define SNIPEWORKS_FORWARD_MESSAGE_H_

#include <cstdint>
#include <memory>

#include "snipeworks/edge_names.h"
#include "snipeworks/forwarded_request.h"
#include "snipeworks/http_message.h"
#include "snipeworks/search.h"
#include "snipeworks/search_controller.h"

namespace snipeworks {

/// What the answer to a forwarded request is made of.
struct AnswerShape {
  std::uint32_t top_records = 0;  ///< Greatest records of all parts.
  bool whole_answer = false;      ///< One target's answer is passed on.
  bool is_head = false;           ///< Its headers only.
};

/// What every target gets of `request` alike; the deadline and the target's
/// name are added for each. Takes the body and headers that are passed on.
std::shared_ptr<const ForwardedRequest> ToForwarded(HttpRequest& request,
                                                    const ForwardNames& names);

/// The answer to the caller of `request`.
HttpResponse ToResponse(const SearchAnswer& answer,
                        const SearchRequest& request,
                        const AnswerShape& shape,
                        const ForwardNames& names);

/// The same for a request that failed. A target's own failure is passed on,
/// unless its status would promise that a request was not run which may have
/// been.
HttpResponse ToFailure(const FinishSearch& finish,
                       const SearchRequest& request,
                       const AnswerShape& shape,
                       const ForwardNames& names);

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARD_MESSAGE_H_
