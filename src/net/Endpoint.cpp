#include "anvil/net/Endpoint.h"

#include <boost/asio/ip/address.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include "anvil/base/Port.h"

namespace anvil::net {

std::string Endpoint::str() const {
  if (m_Address.find(':') != std::string::npos)
    return absl::StrCat("[", m_Address, "]:", m_Port);
  return absl::StrCat(m_Address, ":", m_Port);
}

absl::StatusOr<Endpoint> parseEndpoint(std::string_view Text) {
  const auto MakeError = [&] {
    return absl::InvalidArgumentError(absl::StrCat(
        "'", toAbsl(Text), "' is not an IP address and port (ip:port)"));
  };
  const size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return MakeError();
  std::string Host(Text.substr(0, Colon));
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  boost::asio::ip::make_address(Host, Error);
  uint32_t Port = 0;
  if (Error || !absl::SimpleAtoi(toAbsl(Text.substr(Colon + 1)), &Port) ||
      Port > UINT16_MAX)
    return MakeError();
  return Endpoint{std::move(Host), static_cast<uint16_t>(Port)};
}

absl::StatusOr<std::vector<Endpoint>> parseEndpoints(std::string_view Text) {
  std::vector<Endpoint> Result;
  for (absl::string_view Part :
       absl::StrSplit(toAbsl(Text), ',', absl::SkipEmpty())) {
    absl::StatusOr<Endpoint> Parsed = parseEndpoint(fromAbsl(Part));
    if (!Parsed.ok())
      return Parsed.status();
    Result.push_back(*std::move(Parsed));
  }
  return Result;
}

} // namespace anvil::net
