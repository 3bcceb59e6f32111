#ifndef ANVIL_SRC_NET_FRAMESTREAM_H
#define ANVIL_SRC_NET_FRAMESTREAM_H

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "anvil/net/Rpc.h"

namespace anvil::net::internal {

/// Sends and receives frames over one TCP connection and closes it when it
/// fails or no data arrives within RpcOptions::m_SilentLimit.
///
/// Usage: create with an open socket, set m_OnFrame and m_OnClosed, call
/// start(). m_OnClosed runs once, with the reason; both callbacks are released
/// on close.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
public:
  using Tcp = boost::asio::ip::tcp;
  std::function<void(wire::Frame)> m_OnFrame;
  std::function<void(absl::Status)> m_OnClosed;

  FrameStream(Tcp::socket Socket, const RpcOptions &Options);

  /// Starts reading and the liveness check.
  void start();
  /// Queues a frame. \returns RpcErrc::Overloaded if the frame or
  /// the send queue exceeds its size limit, or NotSent if closed.
  absl::Status send(const wire::Frame &Frame);
  /// Closes the connection with \p Reason; later calls do nothing.
  void close(const absl::Status &Reason);
  /// Returns "ip:port" of the peer.
  const std::string &peer() const { return m_Peer; }

private:
  wire::Frame withTimestamp(wire::Frame Frame) const;
  void readHeader();
  void readBody(size_t Size);
  void handleBody();
  void writeNext();
  void checkLiveness();
  void sendPing();

  Tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  const RpcOptions m_Options;
  std::string m_Peer;
  std::array<unsigned char, 4> m_Header{};
  std::string m_Body;
  std::deque<std::string> m_SendQueue;
  size_t m_QueuedBytes = 0;
  bool m_Writing = false;
  bool m_Closed = false;
  bool m_PingOutstanding = false;
  std::chrono::steady_clock::time_point m_LastReceived;
};

} // namespace anvil::net::internal

#endif // ANVIL_SRC_NET_FRAMESTREAM_H
