#ifndef ANVIL_NET_RPC_H
#define ANVIL_NET_RPC_H

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "anvil/base/LayerError.h"
#include "anvil/base/Time.h"
#include "anvil/net/Endpoint.h"
#include "anvil_types.h"

namespace boost::asio {
class io_context;
}

namespace anvil {

namespace net {

/// Why a call failed, and whether the peer may have received it.
enum class RpcErrc {
  NotSent = 1,  ///< No byte of the request left this process.
  NoAnswer = 2, ///< The request may have reached the peer; no response arrived.
  Remote = 3,   ///< The peer answered with an error; its status code is kept.
  Malformed = 4, ///< Bytes that are not a frame of this protocol version.
  Overloaded =
      5 ///< A local limit on queued bytes or open calls was reached; not sent.
};

} // namespace net

template <> struct LayerErrorTraits<net::RpcErrc> {
  static constexpr std::string_view Layer = "rpc";
};

namespace net {

/// Hybrid logical timestamp that a frame carries; see timeline::HybridClock.
struct ClockStamp {
  int64_t m_WallUs = 0;
  int32_t m_Logical = 0;
};

/// Limits and periods of RPC connections.
struct RpcOptions {
  Duration m_PingAfter = std::chrono::seconds(
      1); ///< A ping is sent after this time without a received byte.
  Duration m_SilentLimit = std::chrono::seconds(
      3); ///< A connection without a received byte for this long is closed.
  Duration m_ConnectTimeout = std::chrono::seconds(1);
  Duration m_MinBackoff =
      std::chrono::milliseconds(50); ///< Delay before the first reconnection.
  Duration m_MaxBackoff = std::chrono::seconds(2);
  size_t m_MaxFrameBytes = 16u << 20;
  size_t m_MaxQueuedBytes = 32u << 20; ///< Unsent bytes of one connection.
  size_t m_MaxOpenCalls = 65536;       ///< Unanswered calls of one client.
  /// Returns a random number in [0, 1) for the jitter of reconnections.
  /// Required.
  std::function<double()> m_Random;
  /// Returns the timestamp of a frame to send; may be empty.
  std::function<ClockStamp()> m_Stamp;
  /// Receives the timestamp of each frame from the peer that has one; may be
  /// empty.
  std::function<void(ClockStamp)> m_ObserveStamp;
};

/// Totals over all RPC connections of one process since its start; reported as
/// the footprint of control traffic.
struct RpcCounters {
  int64_t m_BytesSent = 0;
  int64_t m_BytesReceived = 0;
  int64_t m_SilentConnectionsClosed = 0;
  int64_t m_LateResponsesDropped = 0;
};

/// Returns the counters of this process. Not thread-safe.
RpcCounters &rpcCounters();

/// Returns the counters as JSON text, the response to a QUERY of kind
/// "footprint".
std::string toJson(const RpcCounters &Counters);

/// One call as the server sees it.
struct RpcCall {
  wire::Method::type m_Method = wire::Method::QUERY;
  std::string m_Body;    ///< Compact-encoded request struct.
  Duration m_Timeout{0}; ///< Remaining time when the caller sent it.
  std::string m_TraceId; ///< Empty if the caller set none.
  std::string m_Peer;    ///< ip:port of the caller.
  bool m_OneWay = false; ///< The responder of a one-way call does nothing.
};

/// Answers one call, at most once, from the handler or from any later event on
/// the same io_context.
using RpcResponder = std::function<void(absl::StatusOr<std::string>)>;
using RpcHandler = std::function<void(const RpcCall &, RpcResponder)>;

/// Accepts framed calls and dispatches them to handlers by method.
///
/// Usage: `auto Server = RpcServer::create(Io, Endpoint, Options);
/// (*Server)->handle(Method, Handler);` Single-threaded: handlers run on the
/// thread of the io_context.
class RpcServer {
public:
  /// Binds and listens. Port 0 selects a free port, see endpoint().
  /// \returns kUnavailable if the address can't be bound.
  static absl::StatusOr<std::unique_ptr<RpcServer>>
  create(boost::asio::io_context &Io, const Endpoint &Listen,
         RpcOptions Options);
  ~RpcServer();

  /// Sets the handler of \p Method. Calls of other methods are answered with
  /// kUnimplemented.
  void handle(wire::Method::type Method, RpcHandler Handler);
  /// Returns the bound endpoint.
  Endpoint endpoint() const;
  /// Stops accepting; open connections stay open.
  void stopAccepting();
  /// Returns the number of open connections.
  size_t connectionCount() const;

private:
  struct Impl;
  explicit RpcServer(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

/// Receives the encoded response, or a status with an RpcErrc.
using RpcDone = std::function<void(absl::StatusOr<std::string>)>;

/// Sends calls to one peer over one connection, which is opened on demand and
/// replaced when it fails or no data arrives within m_SilentLimit.
///
/// Usage: `auto Client = RpcClient::create(Io, Peer, Options);
/// Client->call(Method, Body, Timeout, TraceId, Done);` Done runs exactly once
/// for each call, never from within call().
class RpcClient {
public:
  static std::unique_ptr<RpcClient> create(boost::asio::io_context &Io,
                                           Endpoint Peer, RpcOptions Options);
  /// Fails open calls with NoAnswer or NotSent.
  ~RpcClient();

  /// Sends a request; \p Timeout limits the whole call, including the time to
  /// connect.
  void call(wire::Method::type Method, std::string Body, Duration Timeout,
            std::string_view TraceId, RpcDone Done);
  /// Sends a one-way message. Without an open connection the message is
  /// dropped, and a connection attempt starts unless one is pending.
  void notify(wire::Method::type Method, std::string Body);
  /// Returns the peer that calls go to.
  const Endpoint &peer() const;
  /// Returns true if a connection is open now.
  bool connected() const;

private:
  struct Impl;
  explicit RpcClient(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace net
} // namespace anvil

#endif // ANVIL_NET_RPC_H
