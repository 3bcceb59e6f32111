#include "anvil/net/HttpServer.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "HttpSession.h"

namespace anvil::net {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Delay before accept() is retried. It fails when the process has no free file
// descriptor.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(100);

struct RefusalText {
  HttpRefusal m_Reason;
  int m_Status;
  std::string_view m_Name;
  std::string_view m_Message;
};

constexpr std::array<RefusalText, HttpRefusalCount> RefusalTexts = {{
    {HttpRefusal::Malformed, 400, "malformed",
     "the request is not valid HTTP/1.1"},
    {HttpRefusal::HeaderTooLarge, 431, "header-too-large",
     "the headers exceed the limit"},
    {HttpRefusal::BodyTooLarge, 413, "body-too-large",
     "the body exceeds the limit"},
    {HttpRefusal::Truncated, 400, "truncated",
     "the connection was closed before the end of the request"},
    {HttpRefusal::TooSlow, 408, "too-slow",
     "the request was not received within the time limit"},
    {HttpRefusal::UnsupportedMethod, 405, "unsupported-method",
     "the method is not supported"},
    {HttpRefusal::TooManyConnections, 503, "too-many-connections",
     "the limit of open connections is reached"},
    {HttpRefusal::TooManyRequests, 503, "too-many-requests",
     "the limit of requests in progress is reached"},
    {HttpRefusal::TooManyBytes, 503, "too-many-bytes",
     "the limit of buffered request bodies is reached"},
    {HttpRefusal::Disconnected, 400, "disconnected", "the connection was lost"},
}};

const RefusalText &refusalText(HttpRefusal Reason) {
  return RefusalTexts[static_cast<size_t>(Reason)];
}

} // namespace

std::string_view httpRefusalName(HttpRefusal Reason) {
  return refusalText(Reason).m_Name;
}

namespace internal {

HttpResponse makeRefusal(const HttpShared &Shared, HttpRefusal Reason) {
  const RefusalText &Text = refusalText(Reason);
  HttpResponse Response =
      makeHttpError(Text.m_Status, Text.m_Name, Text.m_Message);
  Response.m_Fields = Shared.m_Options.m_RefusalFields;
  if (Text.m_Status == 503)
    Response.m_Fields.push_back({"Retry-After", "1"});
  if (Text.m_Status == 405)
    Response.m_Fields.push_back(
        {"Allow", "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"});
  return Response;
}

} // namespace internal

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  explicit Impl(boost::asio::io_context &Io)
      : m_Acceptor(Io), m_AcceptRetryTimer(Io) {}

  void accept();
  void onAccept(const ErrorCode &Error, tcp::socket Socket);
  void acceptLater();
  void refuseConnection(tcp::socket Socket);
  void removeClosedSessions();
  void finishShutdown();
  size_t cutOff();

  tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptRetryTimer;
  std::shared_ptr<internal::HttpShared> m_Shared =
      std::make_shared<internal::HttpShared>();
  std::unordered_map<uint64_t, std::weak_ptr<internal::HttpSession>> m_Sessions;
  uint64_t m_NextSession = 0;
  size_t m_CleanupThreshold = 64;
  std::function<void()> m_OnShutdown;
};

void HttpServer::Impl::accept() {
  m_Acceptor.async_accept(
      [Self = shared_from_this()](const ErrorCode &Error, tcp::socket Socket) {
        Self->onAccept(Error, std::move(Socket));
      });
}

void HttpServer::Impl::onAccept(const ErrorCode &Error, tcp::socket Socket) {
  if (!m_Acceptor.is_open())
    return;
  if (Error)
    return acceptLater();
  ++m_Shared->m_Counters.m_Connections;
  if (m_Shared->m_Counters.m_OpenConnections >=
      m_Shared->m_Options.m_MaxConnections) {
    refuseConnection(std::move(Socket));
  } else {
    ++m_Shared->m_Counters.m_OpenConnections;
    m_Sessions[m_NextSession++] =
        internal::HttpSession::start(std::move(Socket), m_Shared);
    removeClosedSessions();
  }
  accept();
}

void HttpServer::Impl::acceptLater() {
  m_AcceptRetryTimer.expires_after(AcceptRetryDelay);
  m_AcceptRetryTimer.async_wait(
      [Self = shared_from_this()](const ErrorCode &Aborted) {
        if (!Aborted && Self->m_Acceptor.is_open())
          Self->accept();
      });
}

// Sends the refusal with one non-blocking write, so that refused connections
// hold no memory.
void HttpServer::Impl::refuseConnection(tcp::socket Socket) {
  internal::countRefusal(*m_Shared, HttpRefusal::TooManyConnections);
  const HttpResponse Response =
      internal::makeRefusal(*m_Shared, HttpRefusal::TooManyConnections);
  std::string Text = "HTTP/1.1 503 Service Unavailable\r\nConnection: "
                     "close\r\nContent-Type: application/json\r\n";
  for (const HttpField &Each : Response.m_Fields)
    Text += Each.m_Name + ": " + Each.m_Value + "\r\n";
  Text += "Content-Length: " + std::to_string(Response.m_Body.size()) +
          "\r\n\r\n" + Response.m_Body;
  ErrorCode Ignored;
  Socket.non_blocking(true, Ignored);
  Socket.write_some(boost::asio::buffer(Text), Ignored);
  Socket.shutdown(tcp::socket::shutdown_send, Ignored);
}

void HttpServer::Impl::removeClosedSessions() {
  if (m_Sessions.size() < m_CleanupThreshold)
    return;
  std::erase_if(m_Sessions,
                [](const auto &Each) { return Each.second.expired(); });
  m_CleanupThreshold = std::max<size_t>(64, 2 * m_Sessions.size());
}

void HttpServer::Impl::finishShutdown() {
  if (!m_Shared->m_Closing || m_Shared->m_Counters.m_OpenConnections > 0 ||
      !m_OnShutdown)
    return;
  const std::function<void()> Done = std::move(m_OnShutdown);
  m_OnShutdown = nullptr;
  Done();
}

size_t HttpServer::Impl::cutOff() {
  size_t Count = 0;
  for (const auto &[Id, Weak] : m_Sessions) {
    const std::shared_ptr<internal::HttpSession> Session = Weak.lock();
    if (Session && Session->cutOff())
      ++Count;
  }
  return Count;
}

absl::StatusOr<std::unique_ptr<HttpServer>>
HttpServer::create(boost::asio::io_context &Io, const Endpoint &Listen,
                   HttpServerOptions Options, HttpHandler Handler) {
  ErrorCode Error;
  const auto Address = boost::asio::ip::make_address(Listen.m_Address, Error);
  auto State = std::make_shared<Impl>(Io);
  const tcp::endpoint BindEndpoint(Address, Listen.m_Port);
  if (!Error)
    State->m_Acceptor.open(BindEndpoint.protocol(), Error);
  if (!Error)
    State->m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    State->m_Acceptor.bind(BindEndpoint, Error);
  if (!Error)
    State->m_Acceptor.listen(boost::asio::socket_base::max_listen_connections,
                             Error);
  if (Error)
    return makeLayerError(absl::StatusCode::kUnavailable, HttpErrc::Listen,
                          "listening on " + Listen.str() + ": " +
                              Error.message());
  State->m_Shared->m_Options = std::move(Options);
  State->m_Shared->m_Handler = std::move(Handler);
  State->m_Shared->m_SessionClosed = [Weak = std::weak_ptr<Impl>(State)] {
    if (const std::shared_ptr<Impl> Owner = Weak.lock())
      Owner->finishShutdown();
  };
  State->accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(State)));
}

HttpServer::HttpServer(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

HttpServer::~HttpServer() {
  m_Impl->m_OnShutdown = nullptr;
  ErrorCode Ignored;
  m_Impl->m_Acceptor.close(Ignored);
  m_Impl->m_AcceptRetryTimer.cancel();
  m_Impl->cutOff();
}

Endpoint HttpServer::endpoint() const {
  ErrorCode Ignored;
  const tcp::endpoint Bound = m_Impl->m_Acceptor.local_endpoint(Ignored);
  return {Bound.address().to_string(), Bound.port()};
}

const HttpCounters &HttpServer::counters() const {
  return m_Impl->m_Shared->m_Counters;
}

void HttpServer::shutdown(std::function<void()> Done) {
  m_Impl->m_OnShutdown = std::move(Done);
  m_Impl->m_Shared->m_Closing = true;
  ErrorCode Ignored;
  m_Impl->m_Acceptor.close(Ignored);
  // Closing a session does not modify m_Sessions.
  for (const auto &[Id, Weak] : m_Impl->m_Sessions) {
    if (const std::shared_ptr<internal::HttpSession> Session = Weak.lock())
      Session->closeIfIdle();
  }
  m_Impl->finishShutdown();
}

size_t HttpServer::cutOff() { return m_Impl->cutOff(); }

} // namespace anvil::net
