#ifndef ANVIL_NET_HTTPSESSION_H
#define ANVIL_NET_HTTPSESSION_H

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "anvil/net/HttpServer.h"

namespace anvil::net::internal {

/// State that the sessions of one server share.
struct HttpShared {
  HttpServerOptions m_Options;
  HttpHandler m_Handler;
  HttpCounters m_Counters;
  bool m_Closing = false;
  std::function<void()> m_SessionClosed;
};

/// Adds one to the counter of \p Reason.
void countRefusal(HttpShared &Shared, HttpRefusal Reason);

/// Returns the response for a request that the server itself refuses.
HttpResponse makeRefusal(const HttpShared &Shared, HttpRefusal Reason);

/// Serves the requests of one connection sequentially.
class HttpSession {
public:
  static std::shared_ptr<HttpSession> start(boost::asio::ip::tcp::socket Socket,
                                            std::shared_ptr<HttpShared> Shared);
  virtual ~HttpSession() = default;

  /// Closes the connection if no request has begun.
  virtual void closeIfIdle() = 0;
  /// Closes the connection immediately. Returns true if a request was in
  /// progress.
  virtual bool cutOff() = 0;
};

} // namespace anvil::net::internal

#endif // ANVIL_NET_HTTPSESSION_H
