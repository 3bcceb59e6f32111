#ifndef ANVIL_NET_ENDPOINT_H
#define ANVIL_NET_ENDPOINT_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace anvil::net {

/// IP address and port of a listener or peer. Host names are not supported.
struct Endpoint {
  std::string m_Address;
  uint16_t m_Port = 0;

  /// Returns "ip:port", with IPv6 addresses in brackets.
  std::string str() const;
  bool operator==(const Endpoint &) const = default;
};

/// Parses "ip:port" or "[ipv6]:port".
/// \returns kInvalidArgument that quotes the text if it is not an IP address
/// and a port up to 65535.
absl::StatusOr<Endpoint> parseEndpoint(std::string_view Text);

/// Parses a comma-separated list of endpoints; an empty text is an empty list.
/// Fails like parseEndpoint() for the first invalid endpoint.
absl::StatusOr<std::vector<Endpoint>> parseEndpoints(std::string_view Text);

} // namespace anvil::net

#endif // ANVIL_NET_ENDPOINT_H
