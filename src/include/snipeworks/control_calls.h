#ifndef SNIPEWORKS_CONTROL_CALLS_H_
#define SNIPEWORKS_CONTROL_CALLS_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "snipeworks/announcement.h"
#include "snipeworks/edge_names.h"
#include "snipeworks/error.h"
#include "snipeworks/http_message.h"
#include "snipeworks/routing.h"

namespace snipeworks {

/// A target's report of itself.
struct TargetReport {
  Announcement announcement;
};

/// A target takes no more work. What it does not say of itself is what was last
/// known of it.
struct LeaveRequest {
  std::string target;
  std::optional<std::uint64_t> incarnation;
  std::optional<std::uint64_t> sequence;
};

/// The operator's new version of the routes.
struct ReplaceRouting {
  Routing routing;
  std::string document;  ///< As the operator sent it.
};

/// The operator asks for the newest version.
struct ReadRouting {};

/// A call to a control host, decoded.
using ControlCall =
    std::variant<TargetReport, LeaveRequest, ReplaceRouting, ReadRouting>;

/// Reads a call under the names of a deployment. Fails with kUnknownPath, or
/// with kBadRequest and the reason.
Result<ControlCall> DecodeControlCall(const HttpRequest& request,
                                      const ControlNames& names);

/// Reads and checks a routing document. Fails with kBadRequest.
Result<Routing> ParseRouting(std::string_view text, const RoutingNames& names);

/// Reads a report of `target`. Fails with kBadRequest.
Result<Announcement> ParseReport(const std::string& target,
                                 std::string_view text,
                                 const ReportNames& names);

}  // namespace snipeworks

#endif  // SNIPEWORKS_CONTROL_CALLS_H_
