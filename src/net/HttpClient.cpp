#include "anvil/net/HttpClient.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "absl/strings/str_cat.h"

namespace anvil::net {

namespace {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

absl::Status clientError(absl::StatusCode StatusCode, HttpClientErrc Code,
                         std::string_view Text) {
  return makeLayerError(StatusCode, Code, Text);
}

absl::Status unavailable(HttpClientErrc Code, std::string_view What,
                         const ErrorCode &Error) {
  return clientError(absl::StatusCode::kUnavailable, Code,
                     std::string(What) + ": " + Error.message());
}

std::string serializeRequest(const HttpClientRequest &Request,
                             const Endpoint &Peer) {
  std::string Text = absl::StrCat(Request.m_Method, " ", Request.m_Target,
                                  " HTTP/1.1\r\nHost: ", Peer.str(), "\r\n");
  for (const HttpField &Field : Request.m_Fields)
    absl::StrAppend(&Text, Field.m_Name, ": ", Field.m_Value, "\r\n");
  absl::StrAppend(&Text, "Connection: keep-alive\r\nContent-Length: ",
                  Request.m_Body.size(), "\r\n\r\n");
  return Text + Request.m_Body;
}

bool hasControlCharacter(std::string_view Text) {
  for (const char Character : Text)
    if (static_cast<unsigned char>(Character) < 0x20 || Character == 0x7f)
      return true;
  return false;
}

// Keeps text from callers from adding lines or headers to the request.
bool isWellFormed(const HttpClientRequest &Request) {
  for (const HttpField &Field : Request.m_Fields)
    if (hasControlCharacter(Field.m_Name) || hasControlCharacter(Field.m_Value))
      return false;
  const std::string Line = Request.m_Method + Request.m_Target;
  return !Request.m_Target.empty() && !hasControlCharacter(Line) &&
         Line.find(' ') == std::string::npos;
}

struct Connection {
  explicit Connection(boost::asio::io_context &Io) : m_Socket(Io) {}

  // An idle connection is reusable only if a read would block: it is readable
  // if the peer closed it (end of file) or sent bytes without a request.
  bool isReusable() {
    ErrorCode Error;
    m_Socket.non_blocking(true, Error);
    char Byte = 0;
    m_Socket.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek,
                     Error);
    return Error == boost::asio::error::would_block;
  }

  tcp::socket m_Socket;
  boost::beast::flat_buffer m_Buffer;
  SteadyTime m_IdleSince;
};

struct Exchange {
  explicit Exchange(boost::asio::io_context &Io) : m_Deadline(Io) {}
  uint64_t m_Id = 0;
  std::string m_RequestText;
  bool m_IsHeadRequest = false;
  bool m_Connected = false;
  bool m_AnyByteSent = false;
  bool m_Refused = false;
  HttpExchangeDone m_Done;
  boost::asio::steady_timer m_Deadline;
  std::shared_ptr<Connection> m_Connection;
  std::optional<http::response_parser<http::string_body>> m_Parser;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  Impl(boost::asio::io_context &Io, Endpoint Peer, HttpClientOptions Options)
      : m_Io(Io), m_Peer(std::move(Peer)), m_Options(Options) {}

  uint64_t send(const HttpClientRequest &Request, Duration Deadline,
                HttpExchangeDone Done);
  void start(const ExchangePtr &Item, Duration Deadline);
  std::shared_ptr<Connection> takeIdleConnection();
  void connect(const ExchangePtr &Item, Duration Deadline);
  void write(const ExchangePtr &Item);
  void read(const ExchangePtr &Item);
  void onRead(const ExchangePtr &Item, const ErrorCode &Error);
  void succeed(const ExchangePtr &Item);
  void fail(const ExchangePtr &Item, absl::Status Status);
  void release(const ExchangePtr &Item);
  void probe(std::function<void(bool)> Done);
  absl::StatusOr<tcp::endpoint> peerEndpoint() const;

  boost::asio::io_context &m_Io;
  const Endpoint m_Peer;
  const HttpClientOptions m_Options;
  std::map<uint64_t, ExchangePtr> m_OpenExchanges;
  std::deque<std::shared_ptr<Connection>> m_IdleConnections;
  uint64_t m_NextId = 0;
  bool m_Closed = false; ///< The client was destroyed; no callback may run.
};

absl::StatusOr<tcp::endpoint> HttpClient::Impl::peerEndpoint() const {
  ErrorCode Error;
  const auto Address = boost::asio::ip::make_address(m_Peer.m_Address, Error);
  if (Error)
    return clientError(absl::StatusCode::kInvalidArgument,
                       HttpClientErrc::Connect, "address is not an IP address");
  return tcp::endpoint(Address, m_Peer.m_Port);
}

uint64_t HttpClient::Impl::send(const HttpClientRequest &Request,
                                Duration Deadline, HttpExchangeDone Done) {
  auto Item = std::make_shared<Exchange>(m_Io);
  Item->m_Id = ++m_NextId;
  Item->m_Done = std::move(Done);
  Item->m_IsHeadRequest = Request.m_Method == "HEAD";
  m_OpenExchanges.emplace(Item->m_Id, Item);
  if (!isWellFormed(Request)) {
    fail(Item,
         clientError(absl::StatusCode::kInvalidArgument, HttpClientErrc::Write,
                     "request line or header contains a control character"));
    return Item->m_Id;
  }
  Item->m_RequestText = serializeRequest(Request, m_Peer);
  if (m_OpenExchanges.size() > m_Options.m_MaxConnections) {
    fail(Item,
         clientError(absl::StatusCode::kResourceExhausted,
                     HttpClientErrc::Overloaded, "all connections are in use"));
    return Item->m_Id;
  }
  start(Item, Deadline);
  return Item->m_Id;
}

void HttpClient::Impl::start(const ExchangePtr &Item, Duration Deadline) {
  Item->m_Deadline.expires_after(Deadline);
  Item->m_Deadline.async_wait(
      [Self = shared_from_this(), Item](const ErrorCode &Error) {
        if (Error)
          return;
        const auto Code = Item->m_Connected ? HttpClientErrc::Deadline
                                            : HttpClientErrc::Connect;
        Self->fail(Item, clientError(absl::StatusCode::kDeadlineExceeded, Code,
                                     "deadline of the exchange passed"));
      });
  Item->m_Connection = takeIdleConnection();
  if (Item->m_Connection) {
    Item->m_Connected = true;
    return write(Item);
  }
  connect(Item, Deadline);
}

std::shared_ptr<Connection> HttpClient::Impl::takeIdleConnection() {
  const SteadyTime MinIdleSince =
      std::chrono::steady_clock::now() - m_Options.m_IdleLimit;
  while (!m_IdleConnections.empty()) {
    std::shared_ptr<Connection> Conn = std::move(m_IdleConnections.back());
    m_IdleConnections.pop_back();
    if (Conn->m_IdleSince >= MinIdleSince && Conn->isReusable())
      return Conn;
  }
  return nullptr;
}

void HttpClient::Impl::connect(const ExchangePtr &Item, Duration Deadline) {
  const absl::StatusOr<tcp::endpoint> PeerEndpoint = peerEndpoint();
  if (!PeerEndpoint.ok())
    return fail(Item, PeerEndpoint.status());
  while (m_OpenExchanges.size() + m_IdleConnections.size() >
             m_Options.m_MaxConnections &&
         !m_IdleConnections.empty())
    m_IdleConnections.pop_front();
  Item->m_Connection = std::make_shared<Connection>(m_Io);
  auto ConnectTimer = std::make_shared<boost::asio::steady_timer>(
      m_Io, std::min(Deadline, m_Options.m_ConnectTimeout));
  ConnectTimer->async_wait(
      [Self = shared_from_this(), Item](const ErrorCode &Error) {
        if (!Error && !Item->m_Connected)
          Self->fail(Item,
                     clientError(absl::StatusCode::kDeadlineExceeded,
                                 HttpClientErrc::Connect, "connect timed out"));
      });
  Item->m_Connection->m_Socket.async_connect(
      *PeerEndpoint, [Self = shared_from_this(), Item, ConnectTimer,
                      Conn = Item->m_Connection](const ErrorCode &Error) {
        ConnectTimer->cancel();
        if (!Item->m_Done)
          return;
        Item->m_Refused = Error == boost::asio::error::connection_refused;
        if (Error)
          return Self->fail(Item, unavailable(HttpClientErrc::Connect,
                                              "connect failed", Error));
        Item->m_Connected = true;
        ErrorCode Ignored;
        Conn->m_Socket.set_option(tcp::no_delay(true), Ignored);
        Self->write(Item);
      });
}

void HttpClient::Impl::write(const ExchangePtr &Item) {
  // A request counts as possibly sent until the write reports otherwise.
  Item->m_AnyByteSent = true;
  boost::asio::async_write(
      Item->m_Connection->m_Socket, boost::asio::buffer(Item->m_RequestText),
      [Self = shared_from_this(), Item,
       Conn = Item->m_Connection](const ErrorCode &Error, size_t Written) {
        if (!Item->m_Done)
          return;
        if (!Error)
          return Self->read(Item);
        Item->m_AnyByteSent = Written > 0;
        Self->fail(Item,
                   unavailable(HttpClientErrc::Write, "write failed", Error));
      });
}

void HttpClient::Impl::read(const ExchangePtr &Item) {
  Item->m_RequestText = std::string();
  Item->m_Parser.emplace();
  Item->m_Parser->header_limit(
      static_cast<uint32_t>(m_Options.m_MaxHeaderBytes));
  Item->m_Parser->body_limit(m_Options.m_MaxBodyBytes);
  Item->m_Parser->skip(Item->m_IsHeadRequest);
  http::async_read(Item->m_Connection->m_Socket, Item->m_Connection->m_Buffer,
                   *Item->m_Parser,
                   [Self = shared_from_this(), Item,
                    Conn = Item->m_Connection](const ErrorCode &Error, size_t) {
                     if (Item->m_Done)
                       Self->onRead(Item, Error);
                   });
}

void HttpClient::Impl::onRead(const ExchangePtr &Item, const ErrorCode &Error) {
  if (Error == http::error::body_limit || Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return fail(Item, clientError(absl::StatusCode::kResourceExhausted,
                                  HttpClientErrc::TooLarge,
                                  "response exceeds the limit"));
  if (Error == http::error::partial_message ||
      Error == http::error::end_of_stream)
    return fail(
        Item, unavailable(HttpClientErrc::Read,
                          "connection closed before the response was complete",
                          Error));
  if (Error && Error.category() ==
                   http::make_error_code(http::error::bad_version).category())
    return fail(Item, unavailable(HttpClientErrc::Malformed,
                                  "response is malformed", Error));
  if (Error)
    return fail(Item, unavailable(HttpClientErrc::Read, "read failed", Error));
  if (Item->m_Parser->need_eof() && !Item->m_IsHeadRequest)
    return fail(
        Item, clientError(
                  absl::StatusCode::kUnavailable, HttpClientErrc::Malformed,
                  "response has neither Content-Length nor chunked encoding"));
  if (Item->m_Parser->get().result_int() < 200)
    return fail(Item, clientError(absl::StatusCode::kUnavailable,
                                  HttpClientErrc::Malformed,
                                  "interim response instead of a final one"));
  succeed(Item);
}

void HttpClient::Impl::succeed(const ExchangePtr &Item) {
  http::response<http::string_body> Response = Item->m_Parser->release();
  HttpExchangeResult Result;
  Result.m_HttpStatus = static_cast<int>(Response.result_int());
  const auto Type = Response[http::field::content_type];
  Result.m_ContentType = std::string(Type.data(), Type.size());
  const bool Reusable =
      Response.keep_alive() && Item->m_Connection->m_Buffer.size() == 0;
  Result.m_Body = std::move(Response.body());
  if (Reusable) {
    Item->m_Connection->m_IdleSince = std::chrono::steady_clock::now();
    m_IdleConnections.push_back(Item->m_Connection);
  }
  release(Item);
  const HttpExchangeDone Done = std::exchange(Item->m_Done, nullptr);
  Done(std::move(Result));
}

void HttpClient::Impl::fail(const ExchangePtr &Item, absl::Status Status) {
  if (!Item->m_Done)
    return;
  HttpExchangeResult Result;
  Result.m_Status = std::move(Status);
  Result.m_AnyByteSent = Item->m_AnyByteSent;
  Result.m_Refused = Item->m_Refused;
  if (Item->m_Connection) {
    ErrorCode Ignored;
    Item->m_Connection->m_Socket.close(Ignored);
  }
  release(Item);
  boost::asio::post(m_Io, [Self = shared_from_this(),
                           Done = std::exchange(Item->m_Done, nullptr),
                           Result = std::move(Result)]() mutable {
    if (!Self->m_Closed)
      Done(std::move(Result));
  });
}

void HttpClient::Impl::release(const ExchangePtr &Item) {
  Item->m_Deadline.cancel();
  Item->m_Connection = nullptr;
  m_OpenExchanges.erase(Item->m_Id);
}

void HttpClient::Impl::probe(std::function<void(bool)> Done) {
  const absl::StatusOr<tcp::endpoint> PeerEndpoint = peerEndpoint();
  if (!PeerEndpoint.ok())
    return boost::asio::post(
        m_Io, [Self = shared_from_this(), Done = std::move(Done)] {
          if (!Self->m_Closed)
            Done(false);
        });
  auto Conn = std::make_shared<Connection>(m_Io);
  auto ConnectTimer = std::make_shared<boost::asio::steady_timer>(
      m_Io, m_Options.m_ConnectTimeout);
  ConnectTimer->async_wait([Conn](const ErrorCode &Error) {
    ErrorCode Ignored;
    if (!Error)
      Conn->m_Socket.close(Ignored);
  });
  Conn->m_Socket.async_connect(
      *PeerEndpoint, [Self = shared_from_this(), Conn, ConnectTimer,
                      Done = std::move(Done)](const ErrorCode &Error) {
        ConnectTimer->cancel();
        if (!Self->m_Closed)
          Done(!Error);
      });
}

HttpClient::HttpClient(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

HttpClient::~HttpClient() {
  m_Impl->m_Closed = true;
  while (!m_Impl->m_OpenExchanges.empty())
    abandon(m_Impl->m_OpenExchanges.begin()->first);
  m_Impl->m_IdleConnections.clear();
}

std::unique_ptr<HttpClient> HttpClient::create(boost::asio::io_context &Io,
                                               Endpoint Peer,
                                               HttpClientOptions Options) {
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_shared<Impl>(Io, std::move(Peer), Options)));
}

uint64_t HttpClient::send(const HttpClientRequest &Request, Duration Deadline,
                          HttpExchangeDone Done) {
  return m_Impl->send(Request, Deadline, std::move(Done));
}

void HttpClient::abandon(uint64_t ExchangeId) {
  const auto Found = m_Impl->m_OpenExchanges.find(ExchangeId);
  if (Found == m_Impl->m_OpenExchanges.end())
    return;
  const ExchangePtr Item = Found->second;
  m_Impl->fail(Item, clientError(absl::StatusCode::kCancelled,
                                 HttpClientErrc::Abandoned,
                                 "exchange was abandoned"));
}

void HttpClient::probe(std::function<void(bool)> Done) {
  m_Impl->probe(std::move(Done));
}

size_t HttpClient::connectionCount() const {
  return m_Impl->m_OpenExchanges.size() + m_Impl->m_IdleConnections.size();
}

} // namespace anvil::net
