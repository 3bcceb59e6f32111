#include "anvil/node/EntryProcess.h"

#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Admission.h"
#include "EntryMetrics.h"
#include "GroupFormation.h"
#include "PolicyWatch.h"
#include "Replica.h"
#include "ZoneOrder.h"
#include "anvil/base/Port.h"
#include "anvil/net/WireCodec.h"
#include "anvil/node/LeaderClient.h"

namespace anvil::node {

using internal::GroupFormation;
using internal::PolicyWatch;
using internal::Replica;

namespace {

// Time between two announcements of a replica to the leader. Several fit into
// MembershipPlannerOptions::m_PresenceTimeout.
constexpr Duration AnnounceInterval = std::chrono::milliseconds(400);

// Delay before another attempt to open the data folder.
constexpr Duration ReopenInterval = std::chrono::seconds(1);

absl::StatusOr<LeaderClient::ReplyHeader>
readReplyHeader(std::string_view Body) {
  absl::StatusOr<wire::WorkloadReply> Reply =
      net::decodeAs<wire::WorkloadReply>(Body);
  if (!Reply.ok())
    return Reply.status();
  return LeaderClient::ReplyHeader{Reply->isLeader, std::move(Reply->group)};
}

} // namespace

struct EntryProcess::Impl : std::enable_shared_from_this<EntryProcess::Impl> {
  Impl(boost::asio::io_context &Io, EntryProcessOptions Options,
       log::EventLog &Log)
      : m_Io(Io), m_Options(std::move(Options)), m_Log(Log), m_Timer(Io) {}

  absl::Status start();
  void openReplica();
  absl::StatusOr<std::shared_ptr<Replica>> makeReplica();
  void onReplicaFailed(const absl::Status &Reason);
  void registerHandlers();
  template <typename Request, typename Reply>
  void handle(
      wire::Method::type Method,
      std::function<void(const Request &, std::function<void(Reply)>)> Handler);
  wire::GroupView groupView() const;
  void tick();
  void formGroup();
  void carryOut(const GroupFormation::Actions &Actions);
  wire::WorkloadCall announcement() const;
  void announce();
  wire::LocateRequest locateRequest() const;
  void locate(const net::Endpoint &Peer);
  CallDone timed(std::string_view Name, CallDone Done) const;

  boost::asio::io_context &m_Io;
  const EntryProcessOptions m_Options;
  log::EventLog &m_Log;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<LeaderClient> m_LeaderClient;
  std::unique_ptr<net::RpcServer> m_Server;
  std::shared_ptr<Replica> m_Replica;
  std::unique_ptr<GroupFormation> m_Formation;
  std::unique_ptr<PolicyWatch> m_Watch;
  TimePoint m_NextAnnounce;
  TimePoint m_NextOpen;
  bool m_AnnounceInFlight = false;
  bool m_ShuttingDown = false;
};

absl::Status EntryProcess::Impl::start() {
  LeaderClientOptions ClientOptions;
  ClientOptions.m_Seeds = m_Options.m_Seeds;
  ClientOptions.m_Rpc = m_Options.m_Rpc;
  ClientOptions.m_Now = m_Options.m_Now;
  m_LeaderClient = LeaderClient::create(m_Io, std::move(ClientOptions));

  absl::StatusOr<std::unique_ptr<net::RpcServer>> Server =
      net::RpcServer::create(m_Io, m_Options.m_Listen, m_Options.m_Rpc);
  if (!Server.ok())
    return Server.status();
  m_Server = *std::move(Server);
  registerHandlers();

  internal::FormationOptions Formation;
  Formation.m_Address = m_Options.m_Address.str();
  Formation.m_Seeds = m_Options.m_Seeds;
  Formation.m_FirstStart = m_Options.m_FirstStart;
  m_Formation =
      std::make_unique<GroupFormation>(std::move(Formation), m_Options.m_Now());
  openReplica();
  internal::PolicyWatchOptions Watch;
  Watch.m_Entry = m_Options.m_Name + "-" +
                  std::to_string(static_cast<int64_t>(m_Options.m_Random() *
                                                      1'000'000'000));
  Watch.m_MaxAge = m_Options.m_MaxPolicyAge;
  Watch.m_Now = m_Options.m_Now;
  m_Watch = std::make_unique<PolicyWatch>(m_Io, std::move(Watch),
                                          m_LeaderClient, m_Log);
  m_Watch->start();
  tick();
  return absl::OkStatus();
}

// A full or failing disk only stops the replica of this process; the process
// continues to serve callers through the other replicas.
void EntryProcess::Impl::openReplica() {
  if (m_Options.m_DataFolder.empty() || m_Replica)
    return;
  absl::StatusOr<std::shared_ptr<Replica>> Opened = makeReplica();
  if (!Opened.ok()) {
    m_Log.write("replica-not-opened",
                {{"reason", fromAbsl(Opened.status().message())}});
    m_NextOpen = m_Options.m_Now() + ReopenInterval;
    return;
  }
  m_Replica = *std::move(Opened);
  m_Formation->setReplica(m_Replica->id().value(),
                          m_Options.m_FirstStart && !m_Replica->inGroup());
}

void EntryProcess::Impl::onReplicaFailed(const absl::Status &Reason) {
  m_Log.write("replica-failed", {{"reason", fromAbsl(Reason.message())}});
  m_NextOpen = m_Options.m_Now() + ReopenInterval;
  std::weak_ptr<Impl> Weak = weak_from_this();
  // The replica is still executing when it reports its failure, so it is
  // destroyed later.
  boost::asio::post(m_Io, [Weak] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->m_Replica.reset();
    Self->m_Formation->setReplica(0, false);
  });
}

absl::StatusOr<std::shared_ptr<Replica>> EntryProcess::Impl::makeReplica() {
  internal::ReplicaOptions Options;
  Options.m_DataFolder = m_Options.m_DataFolder;
  Options.m_Address = m_Options.m_Address;
  Options.m_AvailabilityZone = m_Options.m_AvailabilityZone;
  Options.m_Now = m_Options.m_Now;
  Options.m_WallClockMicros = m_Options.m_WallClockMicros;
  Options.m_Random = m_Options.m_Random;
  Options.m_Raft.m_Random = [Random = m_Options.m_Random](uint64_t Bound) {
    return static_cast<uint64_t>(Random() * static_cast<double>(Bound));
  };
  // A few hundred commands, which fit into the memory of an entry VM.
  Options.m_Raft.m_RetainedEntries = 512;
  Options.m_Metrics = m_Options.m_Metrics;
  Options.m_Leader.m_Sessions.m_LeaseSpan = m_Options.m_LeaseSpan;
  Options.m_Leader.m_Dispatch.m_RemotePenalty = m_Options.m_RemotePenalty;
  Options.m_Leader.m_Dispatch.m_StopTime = m_Options.m_StopTime;
  Options.m_Leader.m_Dispatch.m_RestoreTime = m_Options.m_RestoreTime;
  Options.m_Leader.m_Dispatch.m_RefuseLateJobs = m_Options.m_RefuseLateJobs;
  Options.m_Leader.m_Membership.m_ReplaceAfter = m_Options.m_ReplaceVoterAfter;
  Options.m_Leader.m_Membership.m_ToleratedLosses = m_Options.m_ToleratedLosses;
  Options.m_Leader.m_Membership.m_SettleTime = m_Options.m_SettleTime;
  std::weak_ptr<Impl> Weak = weak_from_this();
  return Replica::create(m_Io, std::move(Options), m_LeaderClient, m_Log,
                         [Weak](const absl::Status &Reason) {
                           if (auto Self = Weak.lock())
                             Self->onReplicaFailed(Reason);
                         });
}

template <typename Request, typename Reply>
void EntryProcess::Impl::handle(
    wire::Method::type Method,
    std::function<void(const Request &, std::function<void(Reply)>)> Handler) {
  m_Server->handle(
      Method, [Handler = std::move(Handler)](const net::RpcCall &Call,
                                             const net::RpcResponder &Respond) {
        absl::StatusOr<Request> Decoded = net::decodeAs<Request>(Call.m_Body);
        if (!Decoded.ok()) {
          Respond(Decoded.status());
          return;
        }
        Handler(*Decoded, [Respond](const Reply &Value) {
          Respond(net::encodeStruct(Value));
        });
      });
}

void EntryProcess::Impl::registerHandlers() {
  using wire::Method;
  handle<wire::WorkloadCall, wire::WorkloadReply>(
      Method::WORKLOAD_CALL, [this](const auto &Call, auto Done) {
        if (m_Replica && m_Replica->inGroup()) {
          m_Replica->call(Call, std::move(Done));
          return;
        }
        wire::WorkloadReply Reply;
        Reply.group = groupView();
        Done(std::move(Reply));
      });
  handle<wire::WorkerSyncRequest, wire::WorkerSyncReply>(
      Method::WORKER_SYNC, [this](const auto &Request, auto Done) {
        if (m_Replica && m_Replica->inGroup()) {
          m_Replica->workerSync(Request, std::move(Done));
          return;
        }
        wire::WorkerSyncReply Reply;
        Reply.group = groupView();
        Done(std::move(Reply));
      });
  handle<wire::EntryWatchRequest, wire::EntryWatchReply>(
      Method::ENTRY_WATCH, [this](const auto &Request, auto Done) {
        if (m_Replica && m_Replica->inGroup()) {
          m_Replica->entryWatch(Request, std::move(Done));
          return;
        }
        wire::EntryWatchReply Reply;
        Reply.group = groupView();
        Done(std::move(Reply));
      });
  handle<wire::LocateRequest, wire::LocateReply>(
      Method::LOCATE, [this](const wire::LocateRequest &Request, auto Done) {
        m_LeaderClient->updateView(Request.group);
        m_Formation->recordCandidate(Request);
        const wire::LocateRequest Own = locateRequest();
        wire::LocateReply Reply;
        Reply.group = Own.group;
        Reply.canFoundGroup = Own.canFoundGroup;
        Reply.inGroup = Own.inGroup;
        Reply.replicaId = Own.replicaId;
        Done(std::move(Reply));
      });
  handle<wire::FoundGroupRequest, wire::LocateReply>(
      Method::FOUND_GROUP,
      [this](const wire::FoundGroupRequest &Request, auto Done) {
        if (m_Formation->onFoundGroupRequest(Request.replicaId))
          formGroup();
        Done(wire::LocateReply());
      });
  m_Server->handle(Method::RAFT_MESSAGE,
                   [this](const net::RpcCall &Call, const net::RpcResponder &) {
                     absl::StatusOr<wire::GroupMessage> Message =
                         net::decodeAs<wire::GroupMessage>(Call.m_Body);
                     if (Message.ok() && m_Replica)
                       m_Replica->receive(*Message);
                   });
}

wire::GroupView EntryProcess::Impl::groupView() const {
  if (m_Replica && m_Replica->inGroup() &&
      !m_Replica->groupView().replicas.empty())
    return m_Replica->groupView();
  return m_LeaderClient->view();
}

wire::LocateRequest EntryProcess::Impl::locateRequest() const {
  wire::LocateRequest Request;
  Request.replicaId = m_Replica ? m_Replica->id().value() : 0;
  Request.address = m_Options.m_Address.str();
  Request.availabilityZone = m_Options.m_AvailabilityZone;
  Request.inGroup = m_Replica && m_Replica->inGroup();
  Request.canFoundGroup =
      m_Options.m_FirstStart && m_Replica && !Request.inGroup;
  Request.group = groupView();
  return Request;
}

void EntryProcess::Impl::locate(const net::Endpoint &Peer) {
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_LeaderClient->rpcClientFor(Peer).call(
      wire::Method::LOCATE, net::encodeStruct(locateRequest()),
      std::chrono::milliseconds(500), "",
      [Weak](const absl::StatusOr<std::string> &Body) {
        auto Self = Weak.lock();
        if (!Self || !Body.ok())
          return;
        absl::StatusOr<wire::LocateReply> Reply =
            net::decodeAs<wire::LocateReply>(*Body);
        if (Reply.ok())
          Self->m_LeaderClient->updateView(Reply->group);
      });
}

void EntryProcess::Impl::carryOut(const GroupFormation::Actions &Actions) {
  for (const net::Endpoint &Peer : Actions.m_PeersToAsk)
    locate(Peer);
  absl::Status Status;
  if (Actions.m_FoundGroup)
    Status = m_Replica->foundGroup();
  else if (Actions.m_JoinGroup)
    Status = m_Replica->joinGroup();
  if (!Status.ok())
    m_Log.write("replica-failed", {{"reason", fromAbsl(Status.message())}});
  if (Actions.m_AskToFoundGroup) {
    wire::FoundGroupRequest Request;
    Request.replicaId = Actions.m_AskToFoundGroup->m_Replica;
    m_Log.write("founder-chosen", {{"replica", Request.replicaId}});
    m_LeaderClient->rpcClientFor(Actions.m_AskToFoundGroup->m_Address)
        .call(wire::Method::FOUND_GROUP, net::encodeStruct(Request),
              std::chrono::milliseconds(500), "",
              [](const absl::StatusOr<std::string> &) {});
  }
}

void EntryProcess::Impl::formGroup() {
  internal::FormationInput Input;
  Input.m_InGroup = m_Replica && m_Replica->inGroup();
  Input.m_GroupKnown = !groupView().replicas.empty();
  Input.m_LeaderKnown = m_LeaderClient->knowsLeader();
  carryOut(m_Formation->step(Input, m_Options.m_Now()));
}

wire::WorkloadCall EntryProcess::Impl::announcement() const {
  wire::WorkloadCall Call;
  if (m_ShuttingDown) {
    Call.__set_leavingReplica(m_Replica->id().value());
    return Call;
  }
  wire::RegisterReplica Register;
  Register.replica.id = m_Replica->id().value();
  Register.replica.address = m_Options.m_Address.str();
  Register.replica.availabilityZone = m_Options.m_AvailabilityZone;
  Call.__set_registerReplica(Register);
  return Call;
}

// Announces the replica to the leader, which then manages its membership. While
// the process shuts down it announces that it leaves, so that the leader can
// replace the replica before it falls silent.
void EntryProcess::Impl::announce() {
  if (!m_Replica || !m_Replica->inGroup() || m_AnnounceInFlight ||
      m_Options.m_Now() < m_NextAnnounce)
    return;
  m_NextAnnounce = m_Options.m_Now() + AnnounceInterval;
  m_AnnounceInFlight = true;
  const wire::WorkloadCall Call = announcement();
  std::weak_ptr<Impl> Weak = weak_from_this();
  CallLimits Limits;
  Limits.m_Timeout = std::chrono::milliseconds(1000);
  m_LeaderClient->call(wire::Method::WORKLOAD_CALL, net::encodeStruct(Call),
                       std::move(Limits), "", readReplyHeader,
                       [Weak](const LeaderCallResult &) {
                         if (auto Self = Weak.lock())
                           Self->m_AnnounceInFlight = false;
                       });
}

void EntryProcess::Impl::tick() {
  if (m_Options.m_Now() >= m_NextOpen)
    openReplica();
  formGroup();
  announce();
  m_Timer.expires_after(std::chrono::milliseconds(100));
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Timer.async_wait([Weak](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (!Error && Self)
      Self->tick();
  });
}

// Wraps a callback so that it records the duration of the call.
EntryProcess::CallDone EntryProcess::Impl::timed(std::string_view Name,
                                                 CallDone Done) const {
  return [Metrics = m_Options.m_Metrics, Now = m_Options.m_Now,
          StartedAt = m_Options.m_Now(), Name,
          Done = std::move(Done)](CallResult Result) {
    Metrics->observe(
        internal::CallTime,
        {{"call", Name}, {"outcome", internal::nameOf(Result.m_Status)}},
        Now() - StartedAt);
    Done(std::move(Result));
  };
}

absl::StatusOr<std::unique_ptr<EntryProcess>>
EntryProcess::create(boost::asio::io_context &Io, EntryProcessOptions Options,
                     log::EventLog &Log) {
  if (Options.m_LeaseSpan <= Duration(0) || !Options.m_Now ||
      !Options.m_Random || !Options.m_WallClockMicros || !Options.m_Metrics)
    return makeLayerError(
        absl::StatusCode::kInvalidArgument, NodeErrc::InvalidOption,
        "a lease span above 0, clocks, a random source and metrics are "
        "required");
  auto State = std::make_shared<Impl>(Io, std::move(Options), Log);
  if (absl::Status Status = State->start(); !Status.ok())
    return Status;
  return std::unique_ptr<EntryProcess>(new EntryProcess(std::move(State)));
}

EntryProcess::EntryProcess(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}
EntryProcess::~EntryProcess() = default;

void EntryProcess::call(const wire::WorkloadCall &Call, Duration Timeout,
                        CallDone Done, std::function<bool()> CallerWaits) {
  const bool IsSubmit = Call.__isset.submit;
  Done = m_Impl->timed(internal::nameOf(Call), std::move(Done));
  CallLimits Limits;
  Limits.m_Timeout = Timeout;
  // An election takes less than the time for which a policy is fresh. After a
  // longer silence the caller is told at once, and may find an entry that
  // reaches a leader.
  if (IsSubmit)
    Limits.m_GivesUp = [Weak = std::weak_ptr(m_Impl),
                        CallerWaits = std::move(CallerWaits)] {
      const auto Self = Weak.lock();
      const bool CallerHasGone = CallerWaits && !CallerWaits();
      return CallerHasGone || (Self && !Self->m_Watch->fresh() &&
                               !Self->m_LeaderClient->knowsLeader());
    };
  m_Impl->m_LeaderClient->call(
      wire::Method::WORKLOAD_CALL, net::encodeStruct(Call), std::move(Limits),
      Call.requestId, readReplyHeader,
      [IsSubmit, Done = std::move(Done)](const LeaderCallResult &Answer) {
        CallResult Result;
        if (!Answer.m_Status.ok()) {
          Result.m_Status = Answer.m_MaybeExecuted
                                ? wire::WorkloadStatus::UNKNOWN
                                : wire::WorkloadStatus::NOT_READY;
          Result.m_Message = std::string(fromAbsl(Answer.m_Status.message()));
          Done(std::move(Result));
          return;
        }
        const absl::StatusOr<wire::WorkloadReply> Reply =
            net::decodeAs<wire::WorkloadReply>(Answer.m_Body);
        Result.m_Status = Reply->result.status;
        Result.m_Message = Reply->result.message;
        Result.m_RetryAfter =
            std::chrono::milliseconds(Reply->result.retryAfterMs);
        Result.m_Phase = Reply->phase;
        Result.m_PolicySource = Reply->source;
        Result.m_WaveCompleted = Reply->waveCompleted;
        Result.m_ZoneRevision = Reply->zoneRevision;
        // An earlier attempt that got no answer may still be committed, so the
        // refusal of a later attempt does not prove that the job was refused.
        if (IsSubmit && Answer.m_MaybeExecuted && !Result.succeeded())
          Result.m_Status = wire::WorkloadStatus::UNKNOWN;
        Done(std::move(Result));
      });
}

void EntryProcess::setZone(const wire::SetZone &Change,
                           std::function<bool()> CallerWaits, Duration Timeout,
                           CallDone Done) {
  internal::ZoneOrderPorts Ports;
  Ports.m_Call = [this](const wire::WorkloadCall &Call, Duration Limit,
                        CallDone OnAnswer) {
    call(Call, Limit, std::move(OnAnswer));
  };
  Ports.m_CallerWaits = std::move(CallerWaits);
  Ports.m_Now = m_Impl->m_Options.m_Now;
  internal::ZoneOrder::start(std::move(Ports), Change,
                             m_Impl->m_Options.m_Now() + Timeout,
                             std::move(Done));
}

EntryProcess::PendingJobs
EntryProcess::pendingJobs(const wire::QueueAddress &Address) const {
  PendingJobs Result;
  if (!m_Impl->m_Watch->fresh())
    return Result;
  const internal::Admission Admitted =
      internal::admit(m_Impl->m_Watch->policy(), Address);
  Result.m_Status = Admitted.m_Status;
  Result.m_Count = m_Impl->m_Watch->pendingOf(Admitted.m_Queue);
  return Result;
}

bool EntryProcess::ready() const {
  return !m_Impl->m_ShuttingDown && m_Impl->m_Watch->fresh() &&
         m_Impl->m_Watch->policy().version > 0;
}

int64_t EntryProcess::policyVersion() const {
  return m_Impl->m_Watch->policy().version;
}

bool EntryProcess::leads() const {
  return m_Impl->m_Replica && m_Impl->m_Replica->leads();
}

void EntryProcess::writeMetrics(metrics::PrometheusText &Output) const {
  internal::writePolicyMetrics(*m_Impl->m_Watch, m_Impl->m_Options.m_Now(),
                               Output);
  if (m_Impl->m_Replica && m_Impl->m_Replica->inGroup())
    internal::writeReplicaMetrics(*m_Impl->m_Replica, Output);
}

void EntryProcess::setSeeds(std::vector<net::Endpoint> Seeds) {
  m_Impl->m_LeaderClient->setSeeds(Seeds);
  m_Impl->m_Formation->setSeeds(std::move(Seeds));
}

void EntryProcess::beginShutdown() {
  m_Impl->m_ShuttingDown = true;
  m_Impl->m_NextAnnounce = TimePoint();
  if (m_Impl->m_Replica)
    m_Impl->m_Replica->yieldLeadership();
}

} // namespace anvil::node
