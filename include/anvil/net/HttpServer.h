#ifndef ANVIL_NET_HTTPSERVER_H
#define ANVIL_NET_HTTPSERVER_H

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/base/LayerError.h"
#include "anvil/base/Time.h"
#include "anvil/net/Endpoint.h"
#include "anvil/net/Http.h"

namespace boost::asio {
class io_context;
}

namespace anvil {

namespace net {

/// Why an HTTP server could not be started.
enum class HttpErrc { Listen = 1 };

} // namespace net

template <> struct LayerErrorTraits<net::HttpErrc> {
  static constexpr std::string_view Layer = "http";
};

namespace net {

/// Limits of an HTTP server.
struct HttpServerOptions {
  size_t m_MaxHeaderBytes = 16u << 10;
  size_t m_MaxBodyBytes = 1u << 20;
  Duration m_ReceiveLimit = std::chrono::seconds(
      10); ///< From the first byte of a request to its last.
  Duration m_IdleLimit = std::chrono::seconds(
      60); ///< A connection is closed after this time without a request.
  Duration m_SendLimit = std::chrono::seconds(30); ///< To write one response.
  size_t m_MaxConnections = 1024;
  size_t m_MaxRequests =
      512; ///< Requests that the handler has not answered yet.
  /// Total body size of all requests being received or handled. A chunked
  /// request counts with m_MaxBodyBytes.
  size_t m_MaxBufferedBytes = 64u << 20;
  /// Headers added to each refusal that the server itself sends; the entry
  /// reports the outcome of the request in them.
  std::vector<HttpField> m_RefusalFields;
};

/// Why the server itself refused or aborted a request.
enum class HttpRefusal {
  Malformed,      ///< 400: not HTTP, or an invalid header or chunk.
  HeaderTooLarge, ///< 431
  BodyTooLarge,   ///< 413
  Truncated, ///< 400: the caller closed its side in the middle of a request.
  TooSlow,   ///< 408
  UnsupportedMethod,  ///< 405
  TooManyConnections, ///< 503
  TooManyRequests,    ///< 503
  TooManyBytes,       ///< 503
  Disconnected        ///< No response: the connection was lost while
                      ///< receiving or sending.
};
inline constexpr size_t HttpRefusalCount = 10;

/// Returns the name of \p Reason for metrics and error codes, such as
/// "header-too-large".
std::string_view httpRefusalName(HttpRefusal Reason);

/// Counts of one HTTP server since its start, and its current use.
struct HttpCounters {
  int64_t m_Connections = 0; ///< Accepted, including those refused with 503.
  int64_t m_Requests = 0;    ///< Handed to the handler.
  std::array<int64_t, HttpRefusalCount> m_Refusals{};
  size_t m_OpenConnections = 0;
  size_t m_RequestsInProgress = 0;
  size_t m_BufferedBytes = 0;
};

/// Sends the response to one request. May be called from the handler or from
/// any later event on the same io_context; only the first call has an effect.
using HttpResponder = std::function<void(HttpResponse)>;
/// Handles one completely received request.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/// Serves HTTP/1.1 with limits on sizes, times and counts; input that exceeds a
/// limit is answered with a JSON error.
///
/// Usage: `auto Server = HttpServer::create(Io, Listen, Options, Handler);`
/// then run the io_context. Single-threaded: the handler runs on the thread of
/// the io_context.
class HttpServer {
public:
  /// Binds and listens. Port 0 selects a free port, see endpoint().
  /// \returns kUnavailable (HttpErrc::Listen) if the address can't be bound.
  static absl::StatusOr<std::unique_ptr<HttpServer>>
  create(boost::asio::io_context &Io, const Endpoint &Listen,
         HttpServerOptions Options, HttpHandler Handler);
  /// Closes all connections; a pending shutdown() callback is not called.
  ~HttpServer();

  /// Returns the bound endpoint.
  Endpoint endpoint() const;
  const HttpCounters &counters() const;

  /// Stops accepting, closes idle connections, lets requests in progress finish
  /// and then calls \p Done once.
  ///
  /// A request whose first byte has arrived is in progress.
  void shutdown(std::function<void()> Done);

  /// Closes all connections immediately.
  /// \returns the number of requests that were in progress.
  size_t cutOff();

private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace net
} // namespace anvil

#endif // ANVIL_NET_HTTPSERVER_H
