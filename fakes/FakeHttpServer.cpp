#include "fakes/FakeHttpServer.h"

#include <optional>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "absl/strings/str_cat.h"

namespace anvil::fakes {

namespace {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr uint64_t MaxBodyBytes = 8u << 20;

net::HttpRequest convert(const http::request<http::string_body> &Message) {
  net::HttpRequest Request;
  Request.m_Method = std::string(Message.method_string());
  const std::string Target(Message.target());
  const size_t Mark = Target.find('?');
  Request.m_Path = Target.substr(0, Mark);
  if (Mark != std::string::npos)
    Request.m_Query = Target.substr(Mark + 1);
  for (const auto &Field : Message)
    Request.m_Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.m_Body = Message.body();
  return Request;
}

std::string headOf(int Status, size_t BodyBytes) {
  return absl::StrCat(
      "HTTP/1.1 ", Status,
      " Status\r\nContent-Type: application/json\r\nContent-Length: ",
      BodyBytes, "\r\n\r\n");
}

class Session : public FakeConnection,
                public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, FakeHandler Handler)
      : m_Socket(std::move(Socket)), m_Handler(std::move(Handler)) {}

  void read() {
    m_Parser.emplace();
    m_Parser->body_limit(MaxBodyBytes);
    http::async_read(
        m_Socket, m_Buffer, *m_Parser,
        [Self = shared_from_this()](const ErrorCode &Error, size_t) {
          Self->onRead(Error);
        });
  }

  void respond(int Status, std::string Body) override {
    sendRaw(headOf(Status, Body.size()) + Body, false);
  }

  void truncate(int Status, std::string Body) override {
    sendRaw(headOf(Status, Body.size()) + Body.substr(0, Body.size() / 2),
            true);
  }

  void sendRaw(std::string Bytes, bool Close) override {
    m_OnPeerClosed = nullptr;
    auto Kept = std::make_shared<std::string>(std::move(Bytes));
    boost::asio::async_write(m_Socket, boost::asio::buffer(*Kept),
                             [Self = shared_from_this(), Kept,
                              Close](const ErrorCode &Error, size_t) {
                               if (Error || Close)
                                 Self->shut();
                               else
                                 Self->read();
                             });
  }

  void close() override {
    m_OnPeerClosed = nullptr;
    shut();
  }

  void onPeerClosed(std::function<void()> Hook) override {
    m_OnPeerClosed = std::move(Hook);
    m_Socket.async_wait(tcp::socket::wait_read,
                        [Self = shared_from_this()](const ErrorCode &Error) {
                          ErrorCode Ignored;
                          if (Error || !Self->m_OnPeerClosed ||
                              Self->m_Socket.available(Ignored) > 0)
                            return;
                          std::exchange(Self->m_OnPeerClosed, nullptr)();
                          Self->shut();
                        });
  }

  void shut() {
    ErrorCode Ignored;
    m_Socket.close(Ignored);
  }

private:
  void onRead(const ErrorCode &Error) {
    if (Error)
      return shut();
    const net::HttpRequest Request = convert(m_Parser->get());
    m_Handler(Request, shared_from_this());
  }

  tcp::socket m_Socket;
  FakeHandler m_Handler;
  boost::beast::flat_buffer m_Buffer;
  std::optional<http::request_parser<http::string_body>> m_Parser;
  std::function<void()> m_OnPeerClosed;
};

} // namespace

struct FakeHttpServer::Impl
    : std::enable_shared_from_this<FakeHttpServer::Impl> {
  Impl(boost::asio::io_context &Io, FakeHandler Handler)
      : m_Acceptor(Io), m_Handler(std::move(Handler)) {}

  absl::Status open(const net::Endpoint &Listen) {
    ErrorCode Error;
    const tcp::endpoint Where(
        boost::asio::ip::make_address(Listen.m_Address, Error), Listen.m_Port);
    if (!Error)
      m_Acceptor.open(Where.protocol(), Error);
    if (!Error)
      m_Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
    if (!Error)
      m_Acceptor.bind(Where, Error);
    if (!Error)
      m_Acceptor.listen(boost::asio::socket_base::max_listen_connections,
                        Error);
    if (Error)
      return absl::UnavailableError(absl::StrCat(
          "fake: can't listen on ", Listen.str(), ": ", Error.message()));
    return absl::OkStatus();
  }

  void accept() {
    m_Acceptor.async_accept([Self = shared_from_this()](const ErrorCode &Error,
                                                        tcp::socket Socket) {
      if (Error)
        return;
      ++Self->m_Accepted;
      ErrorCode Ignored;
      Socket.set_option(tcp::no_delay(true), Ignored);
      auto Item = std::make_shared<Session>(std::move(Socket), Self->m_Handler);
      Self->m_Sessions.insert(Item);
      std::erase_if(Self->m_Sessions, [](const std::weak_ptr<Session> &Each) {
        return Each.expired();
      });
      Item->read();
      Self->accept();
    });
  }

  void closeConnections() {
    for (const std::weak_ptr<Session> &Each : m_Sessions)
      if (const std::shared_ptr<Session> Alive = Each.lock())
        Alive->shut();
    m_Sessions.clear();
  }

  tcp::acceptor m_Acceptor;
  FakeHandler m_Handler;
  std::set<std::weak_ptr<Session>, std::owner_less<std::weak_ptr<Session>>>
      m_Sessions;
  int64_t m_Accepted = 0;
};

FakeHttpServer::FakeHttpServer(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

FakeHttpServer::~FakeHttpServer() {
  ErrorCode Ignored;
  m_Impl->m_Acceptor.close(Ignored);
  m_Impl->closeConnections();
}

absl::StatusOr<std::unique_ptr<FakeHttpServer>>
FakeHttpServer::create(boost::asio::io_context &Io, const net::Endpoint &Listen,
                       FakeHandler Handler) {
  auto State = std::make_shared<Impl>(Io, std::move(Handler));
  const absl::Status Status = State->open(Listen);
  if (!Status.ok())
    return Status;
  State->accept();
  return std::unique_ptr<FakeHttpServer>(new FakeHttpServer(std::move(State)));
}

net::Endpoint FakeHttpServer::endpoint() const {
  const tcp::endpoint Local = m_Impl->m_Acceptor.local_endpoint();
  return {Local.address().to_string(), Local.port()};
}

int64_t FakeHttpServer::acceptedConnections() const {
  return m_Impl->m_Accepted;
}

void FakeHttpServer::closeConnections() { m_Impl->closeConnections(); }

void runAfter(boost::asio::io_context &Io, Duration Delay,
              std::function<void()> Hook) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io, Delay);
  Timer->async_wait([Timer, Hook = std::move(Hook)](const ErrorCode &Error) {
    if (!Error)
      Hook();
  });
}

} // namespace anvil::fakes
