#include "HttpSession.h"

#include <algorithm>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace anvil::net::internal {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

// Limits of the lingering close: the time and the bytes that are still read
// from a caller after an error response. Closing with unread input would reset
// the connection, and the caller could lose the response.
constexpr Duration LingerLimit = std::chrono::seconds(1);
constexpr size_t LingerBytes = 4u << 20;

bool isSupported(http::verb Method) {
  switch (Method) {
  case http::verb::get:
  case http::verb::head:
  case http::verb::post:
  case http::verb::put:
  case http::verb::patch:
  case http::verb::delete_:
  case http::verb::options:
    return true;
  default:
    return false;
  }
}

HttpRefusal refusalFromError(const ErrorCode &Error) {
  if (Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return HttpRefusal::HeaderTooLarge;
  if (Error == http::error::body_limit)
    return HttpRefusal::BodyTooLarge;
  if (Error == http::error::partial_message ||
      Error == http::error::end_of_stream || Error == asio::error::eof)
    return HttpRefusal::Truncated;
  if (Error.category() == make_error_code(http::error::bad_method).category())
    return HttpRefusal::Malformed;
  return HttpRefusal::Disconnected;
}

std::string removeControlCharacters(std::string Value) {
  const auto IsControl = [](char Character) {
    return static_cast<unsigned char>(Character) < 0x20 || Character == 0x7f;
  };
  Value.erase(std::remove_if(Value.begin(), Value.end(), IsControl),
              Value.end());
  return Value;
}

class Session : public HttpSession,
                public std::enable_shared_from_this<Session> {
public:
  Session(asio::ip::tcp::socket Socket, std::shared_ptr<HttpShared> Shared)
      : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
        m_Shared(std::move(Shared)),
        m_Buffer(m_Shared->m_Options.m_MaxHeaderBytes + (64u << 10)) {
    ErrorCode Ignored;
    m_Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
    const auto Remote = m_Socket.remote_endpoint(Ignored);
    if (!Ignored)
      m_Peer =
          Remote.address().to_string() + ":" + std::to_string(Remote.port());
  }

  void waitForRequest();
  void closeIfIdle() override;
  bool cutOff() override;

private:
  enum class Phase { Idle, Receiving, Handling, Sending, Lingering, Closed };

  void armTimer(Duration Limit);
  void onTimer();
  void readHeader();
  void onHeader(const ErrorCode &Error);
  bool reserveBody();
  void continueWithBody();
  void readBody();
  void onReadError(const ErrorCode &Error);
  void handle();
  HttpRequest takeRequest();
  bool callerWaits();
  void refuse(HttpRefusal Reason);
  void respond(HttpResponse Response, bool KeepAlive);
  void onSent(const ErrorCode &Error, bool KeepAlive);
  void linger(size_t BytesLeft);
  void releaseBody();
  void finishHandling();
  void close();

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Timer;
  std::shared_ptr<HttpShared> m_Shared;
  beast::flat_buffer m_Buffer;
  std::unique_ptr<http::request_parser<http::string_body>> m_Parser;
  std::unique_ptr<http::response<http::string_body>> m_Response;
  std::array<char, 8192> m_Discard{};
  std::string m_Peer;
  Phase m_Phase = Phase::Idle;
  bool m_TimedOut = false;
  bool m_KeepAlive = true;
  bool m_IsHeadRequest = false;
  size_t m_ReservedBytes = 0;
};

void Session::armTimer(Duration Limit) {
  m_Timer.expires_after(Limit);
  m_Timer.async_wait([Self = shared_from_this()](const ErrorCode &Error) {
    // The handler of an expired wait may already be queued when the timer is
    // armed again; it must have no effect.
    if (!Error &&
        Self->m_Timer.expiry() <= asio::steady_timer::clock_type::now())
      Self->onTimer();
  });
}

void Session::onTimer() {
  if (m_Phase == Phase::Receiving) {
    m_TimedOut = true;
    ErrorCode Ignored;
    m_Socket.cancel(Ignored);
    return;
  }
  if (m_Phase == Phase::Sending)
    countRefusal(*m_Shared, HttpRefusal::Disconnected);
  if (m_Phase != Phase::Handling)
    close();
}

void Session::waitForRequest() {
  m_Phase = Phase::Idle;
  m_TimedOut = false;
  if (m_Buffer.size() > 0)
    return readHeader();
  if (m_Shared->m_Closing)
    return close();
  armTimer(m_Shared->m_Options.m_IdleLimit);
  m_Socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](const ErrorCode &Error) {
                        if (Self->m_Phase != Phase::Idle)
                          return;
                        if (Error)
                          return Self->close();
                        Self->readHeader();
                      });
}

void Session::readHeader() {
  m_Phase = Phase::Receiving;
  armTimer(m_Shared->m_Options.m_ReceiveLimit);
  m_Parser = std::make_unique<http::request_parser<http::string_body>>();
  m_Parser->header_limit(
      static_cast<std::uint32_t>(m_Shared->m_Options.m_MaxHeaderBytes));
  m_Parser->body_limit(m_Shared->m_Options.m_MaxBodyBytes);
  http::async_read_header(
      m_Socket, m_Buffer, *m_Parser,
      [Self = shared_from_this()](const ErrorCode &Error, size_t) {
        Self->onHeader(Error);
      });
}

void Session::onHeader(const ErrorCode &Error) {
  if (m_Phase != Phase::Receiving)
    return;
  if (Error)
    return onReadError(Error);
  m_KeepAlive = m_Parser->keep_alive();
  m_IsHeadRequest = m_Parser->get().method() == http::verb::head;
  if (!isSupported(m_Parser->get().method()))
    return refuse(HttpRefusal::UnsupportedMethod);
  if (!reserveBody())
    return refuse(HttpRefusal::TooManyBytes);
  continueWithBody();
}

bool Session::reserveBody() {
  const boost::optional<std::uint64_t> Length = m_Parser->content_length();
  size_t Needed = Length ? static_cast<size_t>(*Length) : 0;
  if (m_Parser->chunked())
    Needed = m_Shared->m_Options.m_MaxBodyBytes;
  if (m_Shared->m_Counters.m_BufferedBytes + Needed >
      m_Shared->m_Options.m_MaxBufferedBytes)
    return false;
  m_ReservedBytes = Needed;
  m_Shared->m_Counters.m_BufferedBytes += Needed;
  return true;
}

void Session::continueWithBody() {
  if (m_Parser->is_done() ||
      !beast::iequals(m_Parser->get()[http::field::expect], "100-continue"))
    return readBody();
  static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(
      m_Socket, asio::buffer(Continue.data(), Continue.size()),
      [Self = shared_from_this()](const ErrorCode &Error, size_t) {
        if (Self->m_Phase != Phase::Receiving)
          return;
        if (Error)
          return Self->onReadError(Error);
        Self->readBody();
      });
}

void Session::readBody() {
  http::async_read(m_Socket, m_Buffer, *m_Parser,
                   [Self = shared_from_this()](const ErrorCode &Error, size_t) {
                     if (Self->m_Phase != Phase::Receiving)
                       return;
                     if (Error)
                       return Self->onReadError(Error);
                     Self->handle();
                   });
}

void Session::onReadError(const ErrorCode &Error) {
  if (m_TimedOut)
    return refuse(HttpRefusal::TooSlow);
  // The caller closed the connection between two requests.
  if (Error == http::error::end_of_stream && !m_Parser->got_some() &&
      m_Buffer.size() == 0)
    return close();
  const HttpRefusal Reason = refusalFromError(Error);
  if (Reason != HttpRefusal::Disconnected)
    return refuse(Reason);
  countRefusal(*m_Shared, Reason);
  close();
}

HttpRequest Session::takeRequest() {
  auto Message = m_Parser->release();
  HttpRequest Request;
  Request.m_Method = std::string(Message.method_string());
  const std::string Target(Message.target());
  const size_t QueryMark = Target.find('?');
  Request.m_Path = Target.substr(0, QueryMark);
  if (QueryMark != std::string::npos)
    Request.m_Query = Target.substr(QueryMark + 1);
  for (const auto &Field : Message)
    Request.m_Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.m_Body = std::move(Message.body());
  Request.m_Peer = m_Peer;
  Request.m_CallerWaits = [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    return Self && Self->callerWaits();
  };
  return Request;
}

// Bytes of a next request hide a close behind them; that caller counts as
// waiting.
bool Session::callerWaits() {
  if (m_Phase != Phase::Handling)
    return false;
  char Next = 0;
  ErrorCode Error;
  m_Socket.non_blocking(true, Error);
  if (!Error)
    m_Socket.receive(asio::buffer(&Next, 1), asio::socket_base::message_peek,
                     Error);
  return !Error || Error == asio::error::would_block;
}

void Session::handle() {
  if (m_Shared->m_Counters.m_RequestsInProgress >=
      m_Shared->m_Options.m_MaxRequests)
    return refuse(HttpRefusal::TooManyRequests);
  m_Timer.cancel();
  m_Phase = Phase::Handling;
  ++m_Shared->m_Counters.m_Requests;
  ++m_Shared->m_Counters.m_RequestsInProgress;
  auto Answered = std::make_shared<bool>(false);
  m_Shared->m_Handler(takeRequest(), [Self = shared_from_this(),
                                      Answered](HttpResponse Response) {
    if (*Answered || Self->m_Phase != Phase::Handling)
      return;
    *Answered = true;
    Self->finishHandling();
    Self->respond(std::move(Response),
                  Self->m_KeepAlive && !Self->m_Shared->m_Closing);
  });
}

void Session::finishHandling() {
  --m_Shared->m_Counters.m_RequestsInProgress;
  releaseBody();
}

void Session::releaseBody() {
  m_Shared->m_Counters.m_BufferedBytes -= m_ReservedBytes;
  m_ReservedBytes = 0;
}

void Session::refuse(HttpRefusal Reason) {
  countRefusal(*m_Shared, Reason);
  releaseBody();
  respond(makeRefusal(*m_Shared, Reason), false);
}

void Session::respond(HttpResponse Response, bool KeepAlive) {
  m_Phase = Phase::Sending;
  armTimer(m_Shared->m_Options.m_SendLimit);
  m_Response = std::make_unique<http::response<http::string_body>>();
  m_Response->version(11);
  m_Response->result(static_cast<unsigned>(Response.m_Status));
  m_Response->keep_alive(KeepAlive);
  for (const HttpField &Field : Response.m_Fields)
    m_Response->insert(Field.m_Name, removeControlCharacters(Field.m_Value));
  const bool HasBody = Response.m_Status != 204 && Response.m_Status != 304;
  if (HasBody) {
    m_Response->set(http::field::content_type,
                    removeControlCharacters(Response.m_ContentType));
    m_Response->content_length(Response.m_Body.size());
    if (!m_IsHeadRequest)
      m_Response->body() = std::move(Response.m_Body);
  }
  http::async_write(
      m_Socket, *m_Response,
      [Self = shared_from_this(), KeepAlive](const ErrorCode &Error, size_t) {
        Self->onSent(Error, KeepAlive);
      });
}

void Session::onSent(const ErrorCode &Error, bool KeepAlive) {
  if (m_Phase != Phase::Sending)
    return;
  m_Response.reset();
  if (Error) {
    countRefusal(*m_Shared, HttpRefusal::Disconnected);
    return close();
  }
  if (KeepAlive)
    return waitForRequest();
  ErrorCode Ignored;
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  m_Phase = Phase::Lingering;
  armTimer(LingerLimit);
  linger(LingerBytes);
}

void Session::linger(size_t BytesLeft) {
  m_Socket.async_read_some(asio::buffer(m_Discard),
                           [Self = shared_from_this(),
                            BytesLeft](const ErrorCode &Error, size_t Count) {
                             if (Self->m_Phase != Phase::Lingering)
                               return;
                             if (Error || Count >= BytesLeft)
                               return Self->close();
                             Self->linger(BytesLeft - Count);
                           });
}

void Session::close() {
  if (m_Phase == Phase::Closed)
    return;
  m_Phase = Phase::Closed;
  releaseBody();
  m_Timer.cancel();
  ErrorCode Ignored;
  m_Socket.close(Ignored);
  --m_Shared->m_Counters.m_OpenConnections;
  m_Shared->m_SessionClosed();
}

void Session::closeIfIdle() {
  if (m_Phase != Phase::Idle)
    return;
  // A request may have arrived that the event loop has not read yet.
  ErrorCode Error;
  if (m_Socket.available(Error) > 0 && !Error)
    return;
  close();
}

bool Session::cutOff() {
  if (m_Phase == Phase::Closed)
    return false;
  const bool InProgress = m_Phase == Phase::Receiving ||
                          m_Phase == Phase::Handling ||
                          m_Phase == Phase::Sending;
  if (m_Phase == Phase::Handling)
    finishHandling();
  close();
  return InProgress;
}

} // namespace

void countRefusal(HttpShared &Shared, HttpRefusal Reason) {
  ++Shared.m_Counters.m_Refusals[static_cast<size_t>(Reason)];
}

std::shared_ptr<HttpSession>
HttpSession::start(asio::ip::tcp::socket Socket,
                   std::shared_ptr<HttpShared> Shared) {
  auto Created =
      std::make_shared<Session>(std::move(Socket), std::move(Shared));
  Created->waitForRequest();
  return Created;
}

} // namespace anvil::net::internal
