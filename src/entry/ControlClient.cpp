#include "ControlClient.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

namespace anvil::entry {

namespace {

// Bound of one try. An election takes up to a second, so a leader that was just
// lost costs one try.
constexpr Duration TryTimeout = std::chrono::milliseconds(1500);
constexpr Duration TryDelay = std::chrono::milliseconds(50);

std::optional<net::RpcErrc> codeOf(const absl::Status &Status) {
  return layerErrorOf<net::RpcErrc>(Status);
}

bool leftProcess(const absl::Status &Status) {
  return codeOf(Status) != net::RpcErrc::NotSent &&
         codeOf(Status) != net::RpcErrc::Overloaded;
}

bool worthRepeating(const absl::Status &Status) {
  if (codeOf(Status) != net::RpcErrc::Remote)
    return true;
  return Status.code() == absl::StatusCode::kUnavailable ||
         Status.code() == absl::StatusCode::kDeadlineExceeded ||
         Status.code() == absl::StatusCode::kAborted;
}

/// One call over several tries.
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

  void tryOnce(const std::shared_ptr<PendingCall> &Call);
  void onFailure(const std::shared_ptr<PendingCall> &Call,
                 const absl::Status &Status, size_t Tried);
  void leave(size_t Tried);

  boost::asio::io_context &m_Io;
  std::function<TimePoint()> m_Now;
  std::vector<std::unique_ptr<net::RpcClient>> m_Clients;
  size_t m_Current = 0;
  bool m_Closed = false;
};

void ControlClient::Impl::leave(size_t Tried) {
  if (m_Current != Tried || m_Clients.size() < 2)
    return;
  m_Current = (Tried + 1) % m_Clients.size();
  LOG_EVERY_N(INFO, 10) << "entry: changed control replica from="
                        << m_Clients[Tried]->peer().str()
                        << " to=" << m_Clients[m_Current]->peer().str();
}

void ControlClient::Impl::tryOnce(const std::shared_ptr<PendingCall> &Call) {
  const Duration Left = Call->m_Deadline - m_Now();
  const size_t Tried = m_Current;
  m_Clients[Tried]->call(Call->m_Method, Call->m_Body,
                         std::min(Left, TryTimeout), Call->m_TraceId,
                         [Self = shared_from_this(), Call,
                          Tried](absl::StatusOr<std::string> Answer) {
                           if (Answer.ok() || Self->m_Closed)
                             return Call->m_Done(std::move(Answer));
                           Self->onFailure(Call, Answer.status(), Tried);
                         });
}

void ControlClient::Impl::onFailure(const std::shared_ptr<PendingCall> &Call,
                                    const absl::Status &Status, size_t Tried) {
  Call->m_MayHaveArrived = Call->m_MayHaveArrived || leftProcess(Status);
  if (!worthRepeating(Status))
    return Call->m_Done(Status);
  leave(Tried);
  if (m_Now() + TryDelay < Call->m_Deadline) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(m_Io, TryDelay);
    Timer->async_wait([Self = shared_from_this(), Call,
                       Timer](const boost::system::error_code &) {
      if (!Self->m_Closed)
        return Self->tryOnce(Call);
      Call->m_Done(makeLayerError(absl::StatusCode::kUnavailable,
                                  net::RpcErrc::NoAnswer,
                                  "the process is closing"));
    });
    return;
  }
  if (Call->m_MayHaveArrived && !leftProcess(Status))
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
  for (const net::Endpoint &Each : Replicas)
    m_Impl->m_Clients.push_back(net::RpcClient::create(Io, Each, Options));
  // Entries that start together spread over the replicas.
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
  m_Impl->tryOnce(Call);
}

void ControlClient::callOnce(wire::Method::type Method, std::string Body,
                             Duration Timeout, net::RpcDone Done) {
  const size_t Tried = m_Impl->m_Current;
  m_Impl->m_Clients[Tried]->call(Method, std::move(Body), Timeout, "",
                                 [Self = m_Impl, Tried, Done = std::move(Done)](
                                     absl::StatusOr<std::string> Answer) {
                                   if (!Answer.ok() && !Self->m_Closed)
                                     Self->leave(Tried);
                                   Done(std::move(Answer));
                                 });
}

void ControlClient::useNext() { m_Impl->leave(m_Impl->m_Current); }

std::string ControlClient::current() const {
  return m_Impl->m_Clients[m_Impl->m_Current]->peer().str();
}

} // namespace anvil::entry
