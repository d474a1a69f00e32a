#include "snipeworks/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace snipeworks {

Result<Address> Address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Fail(ErrorKind::kBadRequest,
                "\"" + std::string(text) + "\": must be IP:port");
  }
  Address address;
  address.ip = std::string(text.substr(0, colon));
  in_addr parsed{};
  // inet_pton reads up to a NUL character only.
  if (address.ip.find('\0') != std::string::npos ||
      inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
    return Fail(ErrorKind::kBadRequest,
                "\"" + address.ip + "\": must be an IPv4 address");
  }
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  const bool whole = end == port.data() + port.size() && error == std::errc();
  if (!whole || address.port == 0) {
    return Fail(ErrorKind::kBadRequest,
                "\"" + std::string(port) + "\": must be a port, 1 to 65535");
  }
  return address;
}

}  // namespace snipeworks
