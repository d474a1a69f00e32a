#ifndef SNIPEWORKS_CONTROL_CALLS_H_
#define SNIPEWORKS_CONTROL_CALLS_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "snipeworks/announcement.h"
#include "snipeworks/error.h"
#include "snipeworks/http_message.h"
#include "snipeworks/protocol_names.h"
#include "snipeworks/routing.h"

namespace snipeworks {

/// A target announces its address, capacity and state.
struct TargetReport {
  Announcement announcement;
};

/// A target accepts no more requests. Absent members default to the values last
/// known for the target.
struct LeaveRequest {
  std::string target;
  std::optional<std::uint64_t> incarnation;
  std::optional<std::uint64_t> sequence;
};

/// The operator submits a new version of the routing document.
struct ReplaceRouting {
  Routing routing;
  std::string document;  ///< The document as sent by the operator.
};

/// The operator orders that the targets of `zone` get no new work, or that they
/// get work again.
struct ZoneOrder {
  std::string zone;
  bool evacuate = false;
};

/// The operator requests the newest version of the routing document.
struct ReadRouting {};

/// A decoded call to a control host.
using ControlCall = std::
    variant<TargetReport, LeaveRequest, ReplaceRouting, ZoneOrder, ReadRouting>;

/// Decodes a call; `names` holds the paths and member names of the deployment.
/// Fails with kUnknownPath, or with kBadRequest and the reason.
Result<ControlCall> DecodeControlCall(const HttpRequest& request,
                                      const ControlNames& names);

/// Bytes of the body that DecodeControlCall and `allow_faults` need of a
/// request with this head.
std::size_t NeededBodyBytes(const HttpRequest& head,
                            const ControlNames& names,
                            bool allow_faults);

/// Parses and validates a routing document. Fails with kBadRequest.
Result<Routing> ParseRouting(std::string_view text, const RoutingNames& names);

/// Parses a report of `target`. Fails with kBadRequest.
Result<Announcement> ParseReport(const std::string& target,
                                 std::string_view text,
                                 const ReportNames& names);

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_CALLS_H_
