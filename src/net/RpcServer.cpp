#include <map>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "absl/strings/str_cat.h"

#include "FrameStream.h"
#include "anvil/base/Port.h"
#include "anvil/net/Rpc.h"

namespace anvil::net {

using internal::FrameStream;
using Tcp = boost::asio::ip::tcp;

struct RpcServer::Impl : std::enable_shared_from_this<RpcServer::Impl> {
  Impl(boost::asio::io_context &Io, RpcOptions Options)
      : m_Io(Io), m_Acceptor(Io), m_RetryTimer(Io),
        m_Options(std::move(Options)) {}

  void accept();
  void addConnection(Tcp::socket Socket);
  void dispatch(const std::shared_ptr<FrameStream> &Stream,
                const wire::Frame &Frame);
  void closeAll();

  boost::asio::io_context &m_Io;
  Tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_RetryTimer;
  RpcOptions m_Options;
  std::map<wire::Method::type, RpcHandler> m_Handlers;
  std::set<std::shared_ptr<FrameStream>> m_Streams;
};

void RpcServer::Impl::accept() {
  auto Self = shared_from_this();
  m_Acceptor.async_accept([Self](boost::system::error_code Error,
                                 Tcp::socket Socket) {
    if (!Self->m_Acceptor.is_open())
      return;
    if (!Error) {
      Self->addConnection(std::move(Socket));
      Self->accept();
      return;
    }
    // The usual cause is a lack of free file descriptors, so accept() is
    // retried after a delay instead of in a busy loop.
    Self->m_RetryTimer.expires_after(std::chrono::milliseconds(100));
    Self->m_RetryTimer.async_wait([Self](boost::system::error_code Cancelled) {
      if (!Cancelled && Self->m_Acceptor.is_open())
        Self->accept();
    });
  });
}

void RpcServer::Impl::addConnection(Tcp::socket Socket) {
  auto Stream = std::make_shared<FrameStream>(std::move(Socket), m_Options);
  m_Streams.insert(Stream);
  std::weak_ptr<Impl> Weak = weak_from_this();
  std::weak_ptr<FrameStream> WeakStream = Stream;
  Stream->m_OnFrame = [Weak, WeakStream](const wire::Frame &Frame) {
    auto Self = Weak.lock();
    auto LockedStream = WeakStream.lock();
    if (Self && LockedStream)
      Self->dispatch(LockedStream, Frame);
  };
  Stream->m_OnClosed = [Weak, WeakStream](const absl::Status &) {
    if (auto Self = Weak.lock())
      Self->m_Streams.erase(WeakStream.lock());
  };
  Stream->start();
}

void RpcServer::Impl::dispatch(const std::shared_ptr<FrameStream> &Stream,
                               const wire::Frame &Frame) {
  RpcCall Call;
  Call.m_Method = Frame.method;
  Call.m_Body = Frame.body;
  Call.m_Timeout = std::chrono::milliseconds(Frame.timeoutMs);
  Call.m_TraceId = Frame.traceId;
  Call.m_Peer = Stream->peer();
  Call.m_OneWay = Frame.kind == wire::FrameKind::ONE_WAY;
  RpcResponder Respond = [](const absl::StatusOr<std::string> &) {};
  if (!Call.m_OneWay) {
    std::weak_ptr<FrameStream> Weak = Stream;
    Respond = [Weak, Id = Frame.requestId,
               Method = Frame.method](absl::StatusOr<std::string> Result) {
      auto LockedStream = Weak.lock();
      if (!LockedStream)
        return;
      wire::Frame Response;
      Response.kind = wire::FrameKind::RESPONSE;
      Response.requestId = Id;
      Response.method = Method;
      Response.errorCode = static_cast<int32_t>(Result.status().code());
      Response.errorText = std::string(fromAbsl(Result.status().message()));
      if (Result.ok())
        Response.body = *std::move(Result);
      const absl::Status Sent = LockedStream->send(Response);
      if (!Sent.ok())
        LockedStream->close(Sent);
    };
  }
  const auto It = m_Handlers.find(Frame.method);
  if (It == m_Handlers.end()) {
    Respond(absl::UnimplementedError(absl::StrCat(
        "no handler for method ", static_cast<int>(Frame.method))));
    return;
  }
  It->second(Call, std::move(Respond));
}

void RpcServer::Impl::closeAll() {
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  m_RetryTimer.cancel();
  const auto Streams = std::exchange(m_Streams, {});
  for (const auto &Stream : Streams)
    Stream->close(absl::CancelledError("server stopped"));
}

absl::StatusOr<std::unique_ptr<RpcServer>>
RpcServer::create(boost::asio::io_context &Io, const Endpoint &Listen,
                  RpcOptions Options) {
  auto State = std::make_shared<Impl>(Io, std::move(Options));
  boost::system::error_code Error;
  const auto Address = boost::asio::ip::make_address(Listen.m_Address, Error);
  const Tcp::endpoint Local(Address, Listen.m_Port);
  if (!Error)
    State->m_Acceptor.open(Local.protocol(), Error);
  if (!Error)
    State->m_Acceptor.set_option(Tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    State->m_Acceptor.bind(Local, Error);
  if (!Error)
    State->m_Acceptor.listen(boost::asio::socket_base::max_listen_connections,
                             Error);
  if (Error)
    return absl::UnavailableError(absl::StrCat(
        "rpc: can't listen on ", Listen.str(), ": ", Error.message()));
  State->accept();
  return std::unique_ptr<RpcServer>(new RpcServer(std::move(State)));
}

RpcServer::RpcServer(std::shared_ptr<Impl> State) : m_Impl(std::move(State)) {}
RpcServer::~RpcServer() { m_Impl->closeAll(); }

void RpcServer::handle(wire::Method::type Method, RpcHandler Handler) {
  m_Impl->m_Handlers[Method] = std::move(Handler);
}

Endpoint RpcServer::endpoint() const {
  boost::system::error_code Error;
  const auto Local = m_Impl->m_Acceptor.local_endpoint(Error);
  return Error ? Endpoint{}
               : Endpoint{Local.address().to_string(), Local.port()};
}

void RpcServer::stopAccepting() {
  boost::system::error_code Ignored;
  m_Impl->m_Acceptor.close(Ignored);
}

size_t RpcServer::connectionCount() const { return m_Impl->m_Streams.size(); }

} // namespace anvil::net
