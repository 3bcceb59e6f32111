#include "ControlClient.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace anvil::entry {

namespace {

// An election takes up to a second, so the loss of the leader costs one
// attempt.
constexpr Duration AttemptTimeout = std::chrono::milliseconds(1500);
constexpr Duration RetryDelay = std::chrono::milliseconds(50);

std::optional<net::RpcErrc> rpcErrorOf(const absl::Status &Status) {
  return layerErrorOf<net::RpcErrc>(Status);
}

bool mayHaveBeenSent(const absl::Status &Status) {
  return rpcErrorOf(Status) != net::RpcErrc::NotSent &&
         rpcErrorOf(Status) != net::RpcErrc::Overloaded;
}

bool isRetryable(const absl::Status &Status) {
  if (rpcErrorOf(Status) != net::RpcErrc::Remote)
    return true;
  return Status.code() == absl::StatusCode::kUnavailable ||
         Status.code() == absl::StatusCode::kDeadlineExceeded ||
         Status.code() == absl::StatusCode::kAborted;
}

/// One call with all its attempts.
struct PendingCall {
  wire::Method::type m_Method;
  std::string m_Body;
  std::string m_TraceId;
  TimePoint m_Deadline;
  net::RpcDone m_Done;
  bool m_MayHaveArrived = false;
};

} // namespace

struct ControlClient::Impl : std::enable_shared_from_this<ControlClient::Impl> {
  Impl(boost::asio::io_context &Io, std::function<TimePoint()> Now)
      : m_Io(Io), m_Now(std::move(Now)) {}

  void sendAttempt(const std::shared_ptr<PendingCall> &Call);
  void onFailure(const std::shared_ptr<PendingCall> &Call,
                 const absl::Status &Status, size_t Replica);
  void switchFrom(size_t Replica);

  boost::asio::io_context &m_Io;
  std::function<TimePoint()> m_Now;
  std::vector<std::unique_ptr<net::RpcClient>> m_Clients;
  size_t m_Current = 0;
  bool m_Closed = false;
};

void ControlClient::Impl::switchFrom(size_t Replica) {
  if (m_Current != Replica || m_Clients.size() < 2)
    return;
  m_Current = (Replica + 1) % m_Clients.size();
  LOG_EVERY_N(INFO, 10) << "entry: switched control replica from="
                        << m_Clients[Replica]->peer().str()
                        << " to=" << m_Clients[m_Current]->peer().str();
}

void ControlClient::Impl::sendAttempt(
    const std::shared_ptr<PendingCall> &Call) {
  const Duration Remaining = Call->m_Deadline - m_Now();
  const size_t Replica = m_Current;
  m_Clients[Replica]->call(Call->m_Method, Call->m_Body,
                           std::min(Remaining, AttemptTimeout), Call->m_TraceId,
                           [Self = shared_from_this(), Call,
                            Replica](absl::StatusOr<std::string> Answer) {
                             if (Answer.ok() || Self->m_Closed)
                               return Call->m_Done(std::move(Answer));
                             Self->onFailure(Call, Answer.status(), Replica);
                           });
}

void ControlClient::Impl::onFailure(const std::shared_ptr<PendingCall> &Call,
                                    const absl::Status &Status,
                                    size_t Replica) {
  Call->m_MayHaveArrived = Call->m_MayHaveArrived || mayHaveBeenSent(Status);
  if (!isRetryable(Status))
    return Call->m_Done(Status);
  switchFrom(Replica);
  if (m_Now() + RetryDelay < Call->m_Deadline) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(m_Io, RetryDelay);
    Timer->async_wait([Self = shared_from_this(), Call,
                       Timer](const boost::system::error_code &) {
      if (!Self->m_Closed)
        return Self->sendAttempt(Call);
      Call->m_Done(makeLayerError(absl::StatusCode::kUnavailable,
                                  net::RpcErrc::NoAnswer,
                                  "the process is closing"));
    });
    return;
  }
  if (Call->m_MayHaveArrived && !mayHaveBeenSent(Status))
    return Call->m_Done(
        makeLayerError(absl::StatusCode::kUnavailable, net::RpcErrc::NoAnswer,
                       "an earlier try may have reached a replica"));
  Call->m_Done(Status);
}

ControlClient::ControlClient(boost::asio::io_context &Io,
                             const std::vector<net::Endpoint> &Replicas,
                             const net::RpcOptions &Options,
                             std::function<TimePoint()> Now)
    : m_Impl(std::make_shared<Impl>(Io, std::move(Now))) {
  for (const net::Endpoint &Endpoint : Replicas)
    m_Impl->m_Clients.push_back(net::RpcClient::create(Io, Endpoint, Options));
  // A random first replica spreads entries that start together.
  m_Impl->m_Current =
      static_cast<size_t>(Options.m_Random() *
                          static_cast<double>(Replicas.size())) %
      Replicas.size();
}

ControlClient::~ControlClient() {
  m_Impl->m_Closed = true;
  m_Impl->m_Clients.clear();
}

void ControlClient::call(wire::Method::type Method, std::string Body,
                         Duration Timeout, std::string_view TraceId,
                         net::RpcDone Done) {
  auto Call = std::make_shared<PendingCall>();
  Call->m_Method = Method;
  Call->m_Body = std::move(Body);
  Call->m_TraceId = TraceId;
  Call->m_Deadline = m_Impl->m_Now() + Timeout;
  Call->m_Done = std::move(Done);
  m_Impl->sendAttempt(Call);
}

void ControlClient::callOnce(wire::Method::type Method, std::string Body,
                             Duration Timeout, net::RpcDone Done) {
  const size_t Replica = m_Impl->m_Current;
  m_Impl->m_Clients[Replica]->call(
      Method, std::move(Body), Timeout, "",
      [Self = m_Impl, Replica,
       Done = std::move(Done)](absl::StatusOr<std::string> Answer) {
        if (!Answer.ok() && !Self->m_Closed)
          Self->switchFrom(Replica);
        Done(std::move(Answer));
      });
}

void ControlClient::useNextReplica() { m_Impl->switchFrom(m_Impl->m_Current); }

std::string ControlClient::currentReplica() const {
  return m_Impl->m_Clients[m_Impl->m_Current]->peer().str();
}

} // namespace anvil::entry
