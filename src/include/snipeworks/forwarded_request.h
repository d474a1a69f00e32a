#ifndef SNIPEWORKS_FORWARDED_REQUEST_H_
#define SNIPEWORKS_FORWARDED_REQUEST_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "snipeworks/http_client.h"
#include "snipeworks/http_message.h"

namespace snipeworks {

/// A caller's request that targets get as the caller sent it.
struct ForwardedRequest {
  std::string request_id;  ///< The caller's; echoed in every answer.
  std::shared_ptr<const SharedRequest> message;
  /// Equal for requests that ask for the same; `request_id` does not count.
  std::uint64_t fingerprint = 0;
};

/// A target's answer to a forwarded request.
struct TargetAnswer {
  int status = 0;
  std::vector<HttpHeader> headers;  ///< Without those of the connection.
  std::string signature;            ///< Empty if the target gave none.
  std::string body;
  std::uint64_t declared_length = 0;  ///< The Content-Length of the answer.
};

/// A target's load as it tells it in an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  /// How long work takes there now, in percent of the usual.
  std::uint32_t work_percent = 100;

  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_FORWARDED_REQUEST_H_
