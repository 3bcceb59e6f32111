#include "anvil/node/LeaderClient.h"

#include <algorithm>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "anvil/base/Port.h"

namespace anvil::node {

namespace {

// Clients beyond this number are dropped if their address is not a candidate.
// Groups have up to seven replicas; the rest are seeds and former addresses of
// replicas.
constexpr size_t MaxRpcClients = 24;

} // namespace

struct LeaderClient::Impl {
  struct PendingCall {
    wire::Method::type m_Method = wire::Method::WORKLOAD_CALL;
    std::string m_Body;
    std::string m_TraceId;
    TimePoint m_Deadline;
    std::function<bool()> m_GivesUp;
    HeaderReader m_Reader;
    Done m_OnDone;
    bool m_MaybeExecuted = false;
    boost::asio::steady_timer m_Pause;

    explicit PendingCall(boost::asio::io_context &Io) : m_Pause(Io) {}
  };

  Impl(boost::asio::io_context &Io, LeaderClientOptions Options)
      : m_Io(Io), m_Options(std::move(Options)) {}

  void attempt(const std::shared_ptr<PendingCall> &Call);
  void onAttempt(const std::shared_ptr<PendingCall> &Call,
                 const net::Endpoint &Peer, absl::StatusOr<std::string> Result);
  void retryLater(const std::shared_ptr<PendingCall> &Call, Duration Pause,
                  const absl::Status &LastError);
  absl::StatusOr<ReplyHeader> readHeader(const HeaderReader &Reader,
                                         const std::string &Body,
                                         const net::Endpoint &Peer);
  std::vector<net::Endpoint> candidates() const;
  net::Endpoint likelyLeader();
  void markSuspect(const net::Endpoint &Peer);
  void dropUnusedClients();

  boost::asio::io_context &m_Io;
  LeaderClientOptions m_Options;
  std::weak_ptr<LeaderClient> m_Self;
  wire::GroupView m_View;
  /// The leader of m_View did not answer, or answered that it does not lead.
  bool m_LeaderSuspect = true;
  size_t m_NextCandidate = 0;
  std::map<std::string, std::unique_ptr<net::RpcClient>> m_RpcClients;
};

std::vector<net::Endpoint> LeaderClient::Impl::candidates() const {
  std::vector<net::Endpoint> Result;
  for (const wire::ReplicaAddress &Replica : m_View.replicas)
    if (absl::StatusOr<net::Endpoint> Peer =
            net::parseEndpoint(Replica.address);
        Peer.ok())
      Result.push_back(*Peer);
  for (const net::Endpoint &Seed : m_Options.m_Seeds)
    if (std::find(Result.begin(), Result.end(), Seed) == Result.end())
      Result.push_back(Seed);
  return Result;
}

net::Endpoint LeaderClient::Impl::likelyLeader() {
  if (!m_LeaderSuspect)
    for (const wire::ReplicaAddress &Replica : m_View.replicas)
      if (Replica.id == m_View.leader)
        if (absl::StatusOr<net::Endpoint> Peer =
                net::parseEndpoint(Replica.address);
            Peer.ok())
          return *Peer;
  const std::vector<net::Endpoint> All = candidates();
  if (All.empty())
    return {};
  return All[m_NextCandidate++ % All.size()];
}

void LeaderClient::Impl::markSuspect(const net::Endpoint &Peer) {
  for (const wire::ReplicaAddress &Replica : m_View.replicas)
    if (Replica.id == m_View.leader && Replica.address == Peer.str())
      m_LeaderSuspect = true;
}

void LeaderClient::Impl::attempt(const std::shared_ptr<PendingCall> &Call) {
  if (!Call->m_MaybeExecuted && Call->m_GivesUp && Call->m_GivesUp()) {
    Call->m_OnDone({absl::UnavailableError("no leader can be reached, or the "
                                           "caller does not wait any more"),
                    "", Call->m_MaybeExecuted});
    return;
  }
  const Duration Left = Call->m_Deadline - m_Options.m_Now();
  const net::Endpoint Peer = likelyLeader();
  if (Left <= Duration(0) || Peer.m_Port == 0) {
    retryLater(Call, m_Options.m_SearchPause,
               absl::UnavailableError("the call timed out, or no address of a "
                                      "replica or seed is known"));
    return;
  }
  std::weak_ptr<LeaderClient> Weak = m_Self;
  const auto Self = Weak.lock();
  Self->rpcClientFor(Peer).call(
      Call->m_Method, Call->m_Body, std::min(Left, m_Options.m_AttemptTimeout),
      Call->m_TraceId, [Weak, Call, Peer](absl::StatusOr<std::string> Result) {
        if (auto Live = Weak.lock())
          Live->m_Impl->onAttempt(Call, Peer, std::move(Result));
      });
}

// A process that does not lead may know the leader. Its answer overrides an
// earlier failure to reach that leader.
absl::StatusOr<LeaderClient::ReplyHeader>
LeaderClient::Impl::readHeader(const HeaderReader &Reader,
                               const std::string &Body,
                               const net::Endpoint &Peer) {
  absl::StatusOr<ReplyHeader> Header = Reader(Body);
  auto Live = m_Self.lock();
  if (!Header.ok() || !Live)
    return Header;
  Live->updateView(Header->m_Group);
  if (Header->m_Leads ||
      (m_View.leader != 0 && m_View.leader == Header->m_Group.leader))
    m_LeaderSuspect = false;
  if (!Header->m_Leads)
    markSuspect(Peer);
  return Header;
}

void LeaderClient::Impl::onAttempt(const std::shared_ptr<PendingCall> &Call,
                                   const net::Endpoint &Peer,
                                   absl::StatusOr<std::string> Result) {
  if (!Result.ok()) {
    const auto Code = layerErrorOf<net::RpcErrc>(Result.status());
    Call->m_MaybeExecuted =
        Call->m_MaybeExecuted || Code != net::RpcErrc::NotSent;
    markSuspect(Peer);
    retryLater(Call, Duration(0), Result.status());
    return;
  }
  const absl::StatusOr<ReplyHeader> Header =
      readHeader(Call->m_Reader, *Result, Peer);
  if (!Header.ok()) {
    retryLater(Call, m_Options.m_SearchPause, Header.status());
    return;
  }
  if (Header->m_Leads) {
    Call->m_OnDone(
        {absl::OkStatus(), *std::move(Result), Call->m_MaybeExecuted});
    return;
  }
  const bool Elsewhere = !m_LeaderSuspect;
  retryLater(Call, Elsewhere ? Duration(0) : m_Options.m_SearchPause,
             absl::UnavailableError("no leader is known"));
}

void LeaderClient::Impl::retryLater(const std::shared_ptr<PendingCall> &Call,
                                    Duration Pause,
                                    const absl::Status &LastError) {
  if (m_Options.m_Now() + Pause >= Call->m_Deadline) {
    Call->m_OnDone({LastError, "", Call->m_MaybeExecuted});
    return;
  }
  Call->m_Pause.expires_after(Pause);
  std::weak_ptr<LeaderClient> Weak = m_Self;
  Call->m_Pause.async_wait([Weak, Call](boost::system::error_code Error) {
    auto Live = Weak.lock();
    if (!Error && Live)
      Live->m_Impl->attempt(Call);
  });
}

void LeaderClient::Impl::dropUnusedClients() {
  if (m_RpcClients.size() <= MaxRpcClients)
    return;
  const std::vector<net::Endpoint> Wanted = candidates();
  for (auto It = m_RpcClients.begin(); It != m_RpcClients.end();) {
    const bool Keep =
        std::any_of(Wanted.begin(), Wanted.end(),
                    [&](const auto &Each) { return Each.str() == It->first; });
    It = Keep ? std::next(It) : m_RpcClients.erase(It);
  }
}

std::shared_ptr<LeaderClient>
LeaderClient::create(boost::asio::io_context &Io, LeaderClientOptions Options) {
  std::shared_ptr<LeaderClient> Client(
      new LeaderClient(std::make_unique<Impl>(Io, std::move(Options))));
  Client->m_Impl->m_Self = Client;
  return Client;
}

LeaderClient::LeaderClient(std::unique_ptr<Impl> State)
    : m_Impl(std::move(State)) {}
LeaderClient::~LeaderClient() = default;

void LeaderClient::call(wire::Method::type Method, std::string Body,
                        CallLimits Limits, std::string_view TraceId,
                        HeaderReader Reader, Done OnDone) {
  auto Call = std::make_shared<Impl::PendingCall>(m_Impl->m_Io);
  Call->m_Method = Method;
  Call->m_Body = std::move(Body);
  Call->m_TraceId = std::string(TraceId);
  Call->m_Deadline = m_Impl->m_Options.m_Now() + Limits.m_Timeout;
  Call->m_GivesUp = std::move(Limits.m_GivesUp);
  Call->m_Reader = std::move(Reader);
  Call->m_OnDone = std::move(OnDone);
  m_Impl->attempt(Call);
}

void LeaderClient::callOnce(wire::Method::type Method, std::string Body,
                            Duration Timeout, HeaderReader Reader,
                            Done OnDone) {
  const net::Endpoint Peer = m_Impl->likelyLeader();
  std::weak_ptr<LeaderClient> Weak = weak_from_this();
  if (Peer.m_Port == 0) {
    auto Timer = std::make_shared<boost::asio::steady_timer>(
        m_Impl->m_Io, m_Impl->m_Options.m_SearchPause);
    Timer->async_wait([Timer, OnDone](boost::system::error_code) {
      OnDone(
          {absl::UnavailableError("no address of a replica or seed is known"),
           "", false});
    });
    return;
  }
  rpcClientFor(Peer).call(
      Method, std::move(Body), Timeout, "",
      [Weak, Peer, Reader = std::move(Reader),
       OnDone = std::move(OnDone)](absl::StatusOr<std::string> Result) {
        auto Live = Weak.lock();
        if (!Live)
          return;
        if (!Result.ok()) {
          Live->m_Impl->markSuspect(Peer);
          OnDone({Result.status(), "", true});
          return;
        }
        const absl::StatusOr<ReplyHeader> Header =
            Live->m_Impl->readHeader(Reader, *Result, Peer);
        OnDone({Header.status(), *std::move(Result), false});
      });
}

void LeaderClient::updateView(const wire::GroupView &View) {
  if (View.replicas.empty() || View.term < m_Impl->m_View.term)
    return;
  const bool NewTerm = View.term > m_Impl->m_View.term;
  const int64_t Leader =
      View.leader != 0 || NewTerm ? View.leader : m_Impl->m_View.leader;
  if (NewTerm || Leader != m_Impl->m_View.leader)
    m_Impl->m_LeaderSuspect = Leader == 0;
  m_Impl->m_View = View;
  m_Impl->m_View.leader = Leader;
  m_Impl->dropUnusedClients();
}

void LeaderClient::setSeeds(std::vector<net::Endpoint> Seeds) {
  m_Impl->m_Options.m_Seeds = std::move(Seeds);
}

const wire::GroupView &LeaderClient::view() const { return m_Impl->m_View; }

bool LeaderClient::knowsLeader() const {
  return !m_Impl->m_LeaderSuspect && m_Impl->m_View.leader != 0;
}

net::RpcClient &LeaderClient::rpcClientFor(const net::Endpoint &Peer) {
  std::unique_ptr<net::RpcClient> &Client = m_Impl->m_RpcClients[Peer.str()];
  if (!Client)
    Client =
        net::RpcClient::create(m_Impl->m_Io, Peer, m_Impl->m_Options.m_Rpc);
  return *Client;
}

const std::vector<net::Endpoint> &LeaderClient::seeds() const {
  return m_Impl->m_Options.m_Seeds;
}

} // namespace anvil::node
