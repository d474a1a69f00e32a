#ifndef SNIPEWORKS_FORWARDED_REQUEST_H_
#define SNIPEWORKS_FORWARDED_REQUEST_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "snipeworks/held_bytes.h"
#include "snipeworks/http_client.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// A caller's request that is passed through to targets.
struct ForwardedRequest {
  std::string request_id;  ///< Set by the caller; echoed in every answer.
  std::shared_ptr<const SharedRequest> message;
  /// Equal for requests with the same content, whatever their `request_id`.
  std::uint64_t fingerprint = 0;
};

/// A target's answer to a forwarded request.
struct TargetAnswer {
  int status = 0;
  std::vector<HttpHeader> headers;  ///< Without hop-by-hop headers.
  std::string signature;            ///< Empty if the target gave none.
  std::string body;
  std::uint64_t declared_length = 0;  ///< The Content-Length of the answer.
  HeldBytes held;                     ///< See HttpCallResult.
};

/// The load that a target reports in an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// Current service time in percent of the usual one.
  std::uint32_t service_time_percent = 100;

  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARDED_REQUEST_H_
