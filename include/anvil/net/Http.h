#ifndef ANVIL_NET_HTTP_H
#define ANVIL_NET_HTTP_H

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvil::net {

/// One header of an HTTP message.
struct HttpField {
  std::string m_Name;
  std::string m_Value;
};

/// A completely received request.
struct HttpRequest {
  std::string m_Method; ///< Upper case, such as "GET".
  std::string m_Path;   ///< Up to the query, percent-encoded as received.
  std::string m_Query;  ///< After '?', without it; empty if there is none.
  std::vector<HttpField> m_Fields;
  std::string m_Body;
  std::string m_Peer; ///< ip:port of the caller.
  /// Returns false once the caller has closed the connection, or its side of
  /// it. Empty if that can't be told.
  std::function<bool()> m_CallerWaits;

  /// Returns the value of the first header named \p Name, ignoring case, or
  /// nothing.
  std::optional<std::string_view> field(std::string_view Name) const;
  /// Returns the number of headers named \p Name, ignoring case.
  size_t fieldCount(std::string_view Name) const;
  /// Returns whether the caller may still wait for the response. A request can
  /// wait in the socket of a frozen process for longer than its caller does.
  bool callerWaits() const { return !m_CallerWaits || m_CallerWaits(); }
  /// Returns the path with its query, as the caller sent it.
  std::string target() const;
};

/// A complete response. The server adds Content-Length and Connection.
struct HttpResponse {
  int m_Status = 200;
  std::string m_ContentType = "application/json";
  std::vector<HttpField> m_Fields;
  std::string m_Body;
};

/// Returns a response with the body
/// `{"error":{"code":...,"message":...,"field":...}}`.
///
/// \p Code is a stable identifier for programs, \p Message a sentence for
/// people; "field" is omitted if \p Field is empty.
HttpResponse makeHttpError(int Status, std::string_view Code,
                           std::string_view Message,
                           std::string_view Field = "");

/// Returns true if both texts are equal when ASCII case is ignored.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

} // namespace anvil::net

#endif // ANVIL_NET_HTTP_H
