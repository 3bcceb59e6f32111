#include <deque>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

#include "FrameStream.h"
#include "anvil/base/Port.h"
#include "anvil/net/Rpc.h"

namespace anvil::net {

using internal::FrameStream;
using Tcp = boost::asio::ip::tcp;

namespace {

absl::Status rpcError(absl::StatusCode Kind, RpcErrc Code,
                      std::string_view Text) {
  return makeLayerError(Kind, Code, Text);
}

// Maps an error code from the peer that is not a valid status code to kUnknown.
absl::Status remoteError(const wire::Frame &Frame) {
  const bool Known =
      Frame.errorCode > 0 &&
      Frame.errorCode <= static_cast<int>(absl::StatusCode::kUnauthenticated);
  const auto Kind = Known ? static_cast<absl::StatusCode>(Frame.errorCode)
                          : absl::StatusCode::kUnknown;
  return rpcError(Kind, RpcErrc::Remote, Frame.errorText);
}

} // namespace

struct RpcClient::Impl : std::enable_shared_from_this<RpcClient::Impl> {
  struct OpenCall {
    RpcDone m_Done;
    std::shared_ptr<boost::asio::steady_timer> m_Deadline;
    bool m_Sent = false;
  };
  enum class ConnectionState { Idle, Connecting, Open, Backoff };

  Impl(boost::asio::io_context &Io, Endpoint Peer, RpcOptions Options)
      : m_Io(Io), m_Peer(std::move(Peer)), m_Options(std::move(Options)),
        m_Timer(Io), m_Backoff(m_Options.m_MinBackoff) {}

  void call(wire::Frame Frame, Duration Timeout, RpcDone Done);
  void connect();
  void onConnected(const std::shared_ptr<Tcp::socket> &Socket);
  void onConnectFailed(const absl::Status &Reason);
  void onFrame(const wire::Frame &Frame);
  void onClosed(const absl::Status &Reason);
  void sendQueuedFrames();
  void finish(int64_t Id, absl::StatusOr<std::string> Result);
  void failQueuedCalls(const absl::Status &Reason);
  void shutDown();

  boost::asio::io_context &m_Io;
  const Endpoint m_Peer;
  const RpcOptions m_Options;
  boost::asio::steady_timer m_Timer;
  Duration m_Backoff;
  ConnectionState m_State = ConnectionState::Idle;
  bool m_Stopped = false;
  std::shared_ptr<FrameStream> m_Stream;
  std::map<int64_t, OpenCall> m_OpenCalls;
  std::deque<wire::Frame>
      m_QueuedFrames; ///< Frames to send once the connection is open.
  int64_t m_NextId = 1;
};

void RpcClient::Impl::call(wire::Frame Frame, Duration Timeout, RpcDone Done) {
  if (m_OpenCalls.size() >= m_Options.m_MaxOpenCalls) {
    boost::asio::post(m_Io, [Done = std::move(Done)] {
      Done(rpcError(absl::StatusCode::kResourceExhausted, RpcErrc::Overloaded,
                    "too many open calls"));
    });
    return;
  }
  const int64_t Id = m_NextId++;
  Frame.requestId = Id;
  Frame.timeoutMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(Timeout).count();
  auto Deadline = std::make_shared<boost::asio::steady_timer>(m_Io, Timeout);
  std::weak_ptr<Impl> Weak = weak_from_this();
  Deadline->async_wait([Weak, Id](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (Error || !Self)
      return;
    const auto It = Self->m_OpenCalls.find(Id);
    if (It == Self->m_OpenCalls.end())
      return;
    const RpcErrc Code =
        It->second.m_Sent ? RpcErrc::NoAnswer : RpcErrc::NotSent;
    Self->finish(Id, rpcError(absl::StatusCode::kDeadlineExceeded, Code,
                              "deadline exceeded"));
  });
  m_OpenCalls.emplace(Id, OpenCall{std::move(Done), std::move(Deadline)});
  m_QueuedFrames.push_back(std::move(Frame));
  if (m_State == ConnectionState::Open) {
    // Posted because Done must never run from within call().
    boost::asio::post(m_Io, [Weak] {
      if (auto Self = Weak.lock();
          Self && Self->m_State == ConnectionState::Open)
        Self->sendQueuedFrames();
    });
  } else if (m_State == ConnectionState::Idle) {
    connect();
  }
}

void RpcClient::Impl::connect() {
  m_State = ConnectionState::Connecting;
  auto Socket = std::make_shared<Tcp::socket>(m_Io);
  boost::system::error_code Error;
  const auto Address = boost::asio::ip::make_address(m_Peer.m_Address, Error);
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Timer.expires_after(m_Options.m_ConnectTimeout);
  m_Timer.async_wait([Socket](boost::system::error_code Cancelled) {
    boost::system::error_code Ignored;
    if (!Cancelled)
      Socket->close(Ignored);
  });
  Socket->async_connect(
      Tcp::endpoint(Address, m_Peer.m_Port),
      [Weak, Socket](boost::system::error_code Failed) {
        auto Self = Weak.lock();
        if (!Self || Self->m_Stopped)
          return;
        Self->m_Timer.cancel();
        if (Failed || !Socket->is_open())
          Self->onConnectFailed(absl::UnavailableError(
              absl::StrCat("connect to ", Self->m_Peer.str(), " failed")));
        else
          Self->onConnected(Socket);
      });
}

void RpcClient::Impl::onConnected(const std::shared_ptr<Tcp::socket> &Socket) {
  m_State = ConnectionState::Open;
  m_Backoff = m_Options.m_MinBackoff;
  m_Stream = std::make_shared<FrameStream>(std::move(*Socket), m_Options);
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Stream->m_OnFrame = [Weak](const wire::Frame &Frame) {
    if (auto Self = Weak.lock())
      Self->onFrame(Frame);
  };
  m_Stream->m_OnClosed = [Weak](const absl::Status &Reason) {
    if (auto Self = Weak.lock())
      Self->onClosed(Reason);
  };
  m_Stream->start();
  sendQueuedFrames();
}

void RpcClient::Impl::onConnectFailed(const absl::Status &Reason) {
  m_State = ConnectionState::Backoff;
  failQueuedCalls(Reason);
  const double Jitter = 0.5 + m_Options.m_Random();
  m_Timer.expires_after(
      std::chrono::duration_cast<Duration>(m_Backoff * Jitter));
  m_Backoff = std::min(m_Backoff * 2, m_Options.m_MaxBackoff);
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Timer.async_wait([Weak](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (Error || !Self)
      return;
    Self->m_State = ConnectionState::Idle;
    if (!Self->m_QueuedFrames.empty())
      Self->connect();
  });
}

void RpcClient::Impl::sendQueuedFrames() {
  while (!m_QueuedFrames.empty() && m_Stream) {
    wire::Frame Frame = std::move(m_QueuedFrames.front());
    m_QueuedFrames.pop_front();
    const auto It = m_OpenCalls.find(Frame.requestId);
    if (It == m_OpenCalls.end())
      continue;
    const absl::Status Status = m_Stream->send(Frame);
    if (Status.ok())
      It->second.m_Sent = true;
    else
      finish(Frame.requestId, Status);
  }
}

void RpcClient::Impl::onFrame(const wire::Frame &Frame) {
  if (Frame.kind != wire::FrameKind::RESPONSE)
    return;
  if (m_OpenCalls.find(Frame.requestId) == m_OpenCalls.end()) {
    ++rpcCounters().m_LateResponsesDropped;
    return;
  }
  if (Frame.errorCode != 0)
    finish(Frame.requestId, remoteError(Frame));
  else
    finish(Frame.requestId, Frame.body);
}

void RpcClient::Impl::onClosed(const absl::Status &Reason) {
  m_Stream.reset();
  m_State = ConnectionState::Idle;
  std::vector<int64_t> Sent;
  for (const auto &[Id, Call] : m_OpenCalls)
    if (Call.m_Sent)
      Sent.push_back(Id);
  for (int64_t Id : Sent)
    finish(Id, rpcError(absl::StatusCode::kUnavailable, RpcErrc::NoAnswer,
                        fromAbsl(Reason.message())));
  if (!m_Stopped && m_State == ConnectionState::Idle && !m_QueuedFrames.empty())
    connect();
}

void RpcClient::Impl::finish(int64_t Id, absl::StatusOr<std::string> Result) {
  const auto It = m_OpenCalls.find(Id);
  if (It == m_OpenCalls.end())
    return;
  RpcDone Done = std::move(It->second.m_Done);
  It->second.m_Deadline->cancel();
  m_OpenCalls.erase(It);
  Done(std::move(Result));
}

void RpcClient::Impl::failQueuedCalls(const absl::Status &Reason) {
  const auto QueuedFrames = std::exchange(m_QueuedFrames, {});
  for (const wire::Frame &Frame : QueuedFrames)
    finish(Frame.requestId,
           rpcError(absl::StatusCode::kUnavailable, RpcErrc::NotSent,
                    fromAbsl(Reason.message())));
}

void RpcClient::Impl::shutDown() {
  m_Stopped = true;
  m_Timer.cancel();
  if (m_Stream)
    m_Stream->close(absl::CancelledError("client stopped"));
  failQueuedCalls(absl::CancelledError("client stopped"));
}

std::unique_ptr<RpcClient> RpcClient::create(boost::asio::io_context &Io,
                                             Endpoint Peer,
                                             RpcOptions Options) {
  return std::unique_ptr<RpcClient>(new RpcClient(
      std::make_shared<Impl>(Io, std::move(Peer), std::move(Options))));
}

RpcClient::RpcClient(std::shared_ptr<Impl> State) : m_Impl(std::move(State)) {}
RpcClient::~RpcClient() { m_Impl->shutDown(); }

void RpcClient::call(wire::Method::type Method, std::string Body,
                     Duration Timeout, std::string_view TraceId, RpcDone Done) {
  wire::Frame Frame;
  Frame.kind = wire::FrameKind::REQUEST;
  Frame.method = Method;
  Frame.traceId = std::string(TraceId);
  Frame.body = std::move(Body);
  m_Impl->call(std::move(Frame), Timeout, std::move(Done));
}

void RpcClient::notify(wire::Method::type Method, std::string Body) {
  if (!m_Impl->m_Stream) {
    if (m_Impl->m_State == Impl::ConnectionState::Idle)
      m_Impl->connect();
    return;
  }
  wire::Frame Frame;
  Frame.kind = wire::FrameKind::ONE_WAY;
  Frame.method = Method;
  Frame.body = std::move(Body);
  m_Impl->m_Stream->send(Frame).IgnoreError();
}

const Endpoint &RpcClient::peer() const { return m_Impl->m_Peer; }
bool RpcClient::connected() const {
  return m_Impl->m_State == Impl::ConnectionState::Open;
}

} // namespace anvil::net
