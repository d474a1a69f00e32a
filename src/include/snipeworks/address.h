#ifndef SNIPEWORKS_ADDRESS_H_
#define SNIPEWORKS_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "snipeworks/error.h"

namespace snipeworks {

/// An IPv4 address and port.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  /// Parses "IP:port". Fails with kBadRequest and the reason.
  static Result<Address> Parse(std::string_view text);

  /// "IP:port".
  std::string ToString() const { return ip + ":" + std::to_string(port); }

  friend auto operator<=>(const Address&, const Address&) = default;
};

}  // namespace snipeworks

#endif  // SNIPEWORKS_ADDRESS_H_
