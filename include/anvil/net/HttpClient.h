#ifndef ANVIL_NET_HTTPCLIENT_H
#define ANVIL_NET_HTTPCLIENT_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"

#include "anvil/base/LayerError.h"
#include "anvil/base/Time.h"
#include "anvil/net/Endpoint.h"
#include "anvil/net/Http.h"

namespace boost::asio {
class io_context;
}

namespace anvil {

namespace net {

/// Why an exchange ended without a complete response.
enum class HttpClientErrc {
  Connect = 1, ///< No connection could be opened.
  Write = 2,   ///< The request could not be written completely.
  Read = 3,    ///< The connection closed before the response was complete.
  Malformed =
      4, ///< The response is not valid HTTP, or its end can't be determined.
  TooLarge = 5,   ///< The response exceeds a limit.
  Deadline = 6,   ///< The deadline of the exchange passed.
  Overloaded = 7, ///< All connections are in use.
  Abandoned = 8   ///< The caller abandoned the exchange.
};

} // namespace net

template <> struct LayerErrorTraits<net::HttpClientErrc> {
  static constexpr std::string_view Layer = "http-client";
};

namespace net {

/// Limits of an HTTP client.
struct HttpClientOptions {
  size_t m_MaxConnections = 64; ///< Connections in use and idle ones together.
  size_t m_MaxHeaderBytes = 16u << 10;
  size_t m_MaxBodyBytes = 4u << 20;
  Duration m_ConnectTimeout = std::chrono::seconds(1);
  /// An idle connection is not reused after this time, because the peer may be
  /// about to close it.
  Duration m_IdleLimit = std::chrono::seconds(5);
};

/// One request to send.
struct HttpClientRequest {
  std::string m_Method = "GET";
  std::string m_Target = "/";
  std::vector<HttpField>
      m_Fields; ///< Host, Connection and Content-Length are added.
  std::string m_Body;
};

/// How an exchange ended.
struct HttpExchangeResult {
  absl::Status m_Status;     ///< OK only if the response is complete.
  bool m_AnyByteSent = true; ///< False only if it is certain that no byte of
                             ///< the request was written.
  bool m_Refused = false;    ///< Nothing listens at the peer's address.
  int m_HttpStatus = 0;
  std::string m_ContentType;
  std::string m_Body;
};

/// Receives the result of an exchange. Called exactly once, never from within
/// the call that started the exchange.
using HttpExchangeDone = std::function<void(HttpExchangeResult)>;

/// Sends HTTP/1.1 requests to one peer over a bounded set of connections that
/// are kept open for reuse.
///
/// A request is written at most once: a failed exchange is never repeated,
/// because the peer may have received it. A response with neither
/// Content-Length nor chunked encoding is an error, because a dropped
/// connection can't be told from its end. Single-threaded.
class HttpClient {
public:
  static std::unique_ptr<HttpClient>
  create(boost::asio::io_context &Io, Endpoint Peer, HttpClientOptions Options);
  /// Abandons all exchanges without calling their callbacks.
  ~HttpClient();

  /// Starts an exchange; \p Deadline bounds it from the connection to the last
  /// byte of the response. \returns the id to pass to abandon().
  uint64_t send(const HttpClientRequest &Request, Duration Deadline,
                HttpExchangeDone Done);
  /// Closes the connection of an exchange, which ends with
  /// HttpClientErrc::Abandoned. Does nothing if the exchange has ended.
  void abandon(uint64_t ExchangeId);
  /// Opens and closes a connection without sending anything; \p Done receives
  /// whether the connection could be opened.
  void probe(std::function<void(bool)> Done);
  /// Returns the number of connections, in use and idle.
  size_t connectionCount() const;

private:
  struct Impl;
  explicit HttpClient(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace net
} // namespace anvil

#endif // ANVIL_NET_HTTPCLIENT_H
