#include "FrameStream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"

#include "anvil/net/WireCodec.h"
#include "anvil_constants.h"

namespace anvil::net {

RpcCounters &rpcCounters() {
  static RpcCounters Counters;
  return Counters;
}

std::string toJson(const RpcCounters &Counters) {
  return absl::StrCat(
      "{\"rpc_bytes_sent\":", Counters.m_BytesSent,
      ",\"rpc_bytes_received\":", Counters.m_BytesReceived,
      ",\"silent_connections_closed\":", Counters.m_SilentConnectionsClosed,
      ",\"late_responses_dropped\":", Counters.m_LateResponsesDropped, "}");
}

namespace internal {

namespace {

constexpr size_t HeaderBytes = 4;

std::string describePeer(const FrameStream::Tcp::socket &Socket) {
  boost::system::error_code Error;
  const auto Peer = Socket.remote_endpoint(Error);
  if (Error)
    return "unknown";
  return Endpoint{Peer.address().to_string(), Peer.port()}.str();
}

std::string encodeFrame(const wire::Frame &Frame) {
  const std::string Body = encodeStruct(Frame);
  std::string Bytes;
  Bytes.reserve(HeaderBytes + Body.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Bytes.push_back(static_cast<char>((Body.size() >> Shift) & 0xff));
  Bytes += Body;
  return Bytes;
}

} // namespace

FrameStream::FrameStream(Tcp::socket Socket, const RpcOptions &Options)
    : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
      m_Options(Options), m_Peer(describePeer(m_Socket)),
      m_LastReceived(std::chrono::steady_clock::now()) {
  boost::system::error_code Ignored;
  m_Socket.set_option(Tcp::no_delay(true), Ignored);
}

void FrameStream::start() {
  readHeader();
  checkLiveness();
}

absl::Status FrameStream::send(const wire::Frame &Frame) {
  if (m_Closed)
    return makeLayerError(absl::StatusCode::kUnavailable, RpcErrc::NotSent,
                          "connection is closed");
  std::string Bytes = encodeFrame(withTimestamp(Frame));
  if (Bytes.size() > m_Options.m_MaxFrameBytes + HeaderBytes)
    return makeLayerError(absl::StatusCode::kResourceExhausted,
                          RpcErrc::Overloaded, "frame exceeds the size limit");
  if (m_QueuedBytes + Bytes.size() > m_Options.m_MaxQueuedBytes)
    return makeLayerError(absl::StatusCode::kResourceExhausted,
                          RpcErrc::Overloaded, "send queue is full");
  m_QueuedBytes += Bytes.size();
  m_SendQueue.push_back(std::move(Bytes));
  if (!m_Writing)
    writeNext();
  return absl::OkStatus();
}

wire::Frame FrameStream::withTimestamp(wire::Frame Frame) const {
  if (m_Options.m_Stamp) {
    const ClockStamp Stamp = m_Options.m_Stamp();
    Frame.stampWallUs = Stamp.m_WallUs;
    Frame.stampLogical = Stamp.m_Logical;
  }
  return Frame;
}

void FrameStream::writeNext() {
  if (m_SendQueue.empty() || m_Closed) {
    m_Writing = false;
    return;
  }
  m_Writing = true;
  auto Self = shared_from_this();
  boost::asio::async_write(
      m_Socket, boost::asio::buffer(m_SendQueue.front()),
      [Self](boost::system::error_code Error, size_t Size) {
        if (Error) {
          Self->close(absl::UnavailableError(
              absl::StrCat("write failed: ", Error.message())));
          return;
        }
        rpcCounters().m_BytesSent += static_cast<int64_t>(Size);
        Self->m_QueuedBytes -= Self->m_SendQueue.front().size();
        Self->m_SendQueue.pop_front();
        Self->writeNext();
      });
}

void FrameStream::readHeader() {
  auto Self = shared_from_this();
  boost::asio::async_read(m_Socket, boost::asio::buffer(m_Header),
                          [Self](boost::system::error_code Error, size_t) {
                            if (Error) {
                              Self->close(absl::UnavailableError(absl::StrCat(
                                  "read failed: ", Error.message())));
                              return;
                            }
                            size_t Size = 0;
                            for (unsigned char Byte : Self->m_Header)
                              Size = (Size << 8) | Byte;
                            Self->readBody(Size);
                          });
}

void FrameStream::readBody(size_t Size) {
  if (Size == 0 || Size > m_Options.m_MaxFrameBytes) {
    close(makeLayerError(
        absl::StatusCode::kInvalidArgument, RpcErrc::Malformed,
        absl::StrCat("frame of ", Size, " bytes is outside the limit")));
    return;
  }
  m_Body.resize(Size);
  auto Self = shared_from_this();
  boost::asio::async_read(m_Socket, boost::asio::buffer(m_Body),
                          [Self](boost::system::error_code Error, size_t) {
                            if (Error) {
                              Self->close(absl::UnavailableError(absl::StrCat(
                                  "read failed: ", Error.message())));
                              return;
                            }
                            Self->handleBody();
                          });
}

void FrameStream::handleBody() {
  m_LastReceived = std::chrono::steady_clock::now();
  m_PingOutstanding = false;
  rpcCounters().m_BytesReceived +=
      static_cast<int64_t>(m_Body.size() + HeaderBytes);
  wire::Frame Frame;
  absl::Status Status = decodeStruct(m_Body, Frame);
  if (Status.ok() && Frame.version != wire::g_anvil_constants.PROTOCOL_VERSION)
    Status = makeLayerError(
        absl::StatusCode::kInvalidArgument, RpcErrc::Malformed,
        absl::StrCat("protocol version ", Frame.version, ", expected ",
                     wire::g_anvil_constants.PROTOCOL_VERSION));
  if (!Status.ok()) {
    close(Status);
    return;
  }
  if (m_Options.m_ObserveStamp && Frame.stampWallUs != 0)
    m_Options.m_ObserveStamp({Frame.stampWallUs, Frame.stampLogical});
  if (Frame.kind == wire::FrameKind::PING) {
    wire::Frame Pong;
    Pong.kind = wire::FrameKind::PONG;
    // If the send queue is full, its frames already show the peer that this
    // side is alive, so a pong that can't be queued is dropped.
    send(Pong).IgnoreError();
  } else if (Frame.kind != wire::FrameKind::PONG && m_OnFrame) {
    m_OnFrame(std::move(Frame));
  }
  if (!m_Closed)
    readHeader();
}

void FrameStream::checkLiveness() {
  if (m_Closed)
    return;
  const auto Silence = std::chrono::steady_clock::now() - m_LastReceived;
  if (Silence >= m_Options.m_SilentLimit) {
    ++rpcCounters().m_SilentConnectionsClosed;
    close(absl::UnavailableError("no byte received within the liveness limit"));
    return;
  }
  if (Silence >= m_Options.m_PingAfter && !m_PingOutstanding)
    sendPing();
  m_Timer.expires_after(m_Options.m_PingAfter / 4);
  auto Self = shared_from_this();
  m_Timer.async_wait([Self](boost::system::error_code Error) {
    if (!Error)
      Self->checkLiveness();
  });
}

void FrameStream::sendPing() {
  m_PingOutstanding = true;
  wire::Frame Ping;
  Ping.kind = wire::FrameKind::PING;
  send(Ping).IgnoreError();
}

void FrameStream::close(const absl::Status &Reason) {
  if (m_Closed)
    return;
  m_Closed = true;
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
  m_Timer.cancel();
  m_OnFrame = nullptr;
  auto OnClosed = std::exchange(m_OnClosed, nullptr);
  if (OnClosed)
    OnClosed(Reason);
}

} // namespace internal
} // namespace anvil::net
