#include "anvil/net/Http.h"

#include <algorithm>

#include "absl/strings/match.h"
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "anvil/base/Port.h"

namespace anvil::net {

std::optional<std::string_view>
HttpRequest::field(std::string_view Name) const {
  for (const HttpField &Each : m_Fields) {
    if (equalsIgnoringCase(Each.m_Name, Name))
      return Each.m_Value;
  }
  return std::nullopt;
}

size_t HttpRequest::fieldCount(std::string_view Name) const {
  const auto Matches = [Name](const HttpField &Each) {
    return equalsIgnoringCase(Each.m_Name, Name);
  };
  return static_cast<size_t>(
      std::count_if(m_Fields.begin(), m_Fields.end(), Matches));
}

std::string HttpRequest::target() const {
  return m_Query.empty() ? m_Path : m_Path + "?" + m_Query;
}

HttpResponse makeHttpError(int Status, std::string_view Code,
                           std::string_view Message, std::string_view Field) {
  boost::json::object Error;
  Error["code"] = boost::json::string_view(Code.data(), Code.size());
  Error["message"] = boost::json::string_view(Message.data(), Message.size());
  if (!Field.empty())
    Error["field"] = boost::json::string_view(Field.data(), Field.size());
  boost::json::object Body;
  Body["error"] = std::move(Error);
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = boost::json::serialize(Body) + "\n";
  return Response;
}

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return absl::EqualsIgnoreCase(toAbsl(Left), toAbsl(Right));
}

} // namespace anvil::net
