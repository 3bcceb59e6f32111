#include "anvil/control/ControlServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "absl/strings/str_cat.h"

#include "AgentSessions.h"
#include "CommandRouter.h"
#include "LeaderDuties.h"
#include "Queries.h"
#include "StateTimeline.h"
#include "TimelineGather.h"
#include "anvil/base/Port.h"
#include "anvil/net/WireCodec.h"
#include "anvil/timeline/FrameStamps.h"

namespace anvil::control {

using internal::AgentSessions;
using internal::CommandRouter;
using internal::LeaderDuties;

namespace {

constexpr Duration ReadInterval = std::chrono::milliseconds(250);
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr Duration TickInterval = std::chrono::milliseconds(100);
/// Timeout of commands that this process submits itself.
constexpr Duration InternalCommandTimeout = std::chrono::seconds(2);
/// Upper limit of the timeout that a caller may request for a command.
constexpr Duration MaxCommandTimeout = std::chrono::seconds(30);
/// Number of events kept for the time line, about 4 MB.
constexpr size_t TimelineCapacity = 20'000;
constexpr Duration HandOverTimeout = std::chrono::seconds(1);

} // namespace

struct ControlServer::Impl : std::enable_shared_from_this<ControlServer::Impl> {
  Impl(boost::asio::io_context &Io, ControlOptions Options)
      : m_Io(Io), m_Options(std::move(Options)), m_Timer(Io),
        m_HandOverTimer(Io), m_Timeline(m_Options.m_Name, TimelineCapacity,
                                        m_Options.m_Replica.m_WallClockMicros) {
  }

  absl::Status open(std::function<void(const absl::Status &)> OnFatal);
  void registerHandlers();
  void onRole(const raft::RoleChange &Role);
  void beginLeaderDuties(raft::TermNumber Term);
  void onTick();
  void scheduleTick();
  void refreshRead();
  void reportSessions();

  void onHeartbeat(const net::RpcCall &Call, const net::RpcResponder &Respond);
  void onSessionReport(const net::RpcCall &Call);
  void onEntrySync(const net::RpcCall &Call, const net::RpcResponder &Respond);
  void onSubmit(const net::RpcCall &Call, net::RpcResponder Respond);
  void onForward(const net::RpcCall &Call, net::RpcResponder Respond);
  void onQuery(const net::RpcCall &Call, net::RpcResponder Respond);
  void awaitHandOver(TimePoint Deadline, std::function<void()> Done);
  void answerTimeline(const wire::QueryRequest &Request,
                      const net::RpcResponder &Respond);
  void answerQuery(const wire::QueryRequest &Request, bool Stale,
                   const net::RpcResponder &Respond);

  bool connectedTo(raft::ReplicaId Id) const {
    const net::RpcClient *Peer = m_Replica->peer(Id);
    return Id == m_Options.m_Replica.m_Raft.m_Self ||
           (Peer && Peer->connected());
  }
  TimePoint now() const { return m_Options.m_Replica.m_Now(); }

  boost::asio::io_context &m_Io;
  ControlOptions m_Options;
  boost::asio::steady_timer m_Timer;
  boost::asio::steady_timer m_HandOverTimer;
  timeline::Recorder m_Timeline;
  std::unique_ptr<store::FileSystem> m_Files;
  std::unique_ptr<ReplicaHost> m_Replica;
  std::unique_ptr<net::RpcServer> m_Server;
  std::shared_ptr<CommandRouter> m_Router;
  std::unique_ptr<AgentSessions> m_Sessions;
  std::unique_ptr<LeaderDuties> m_LeaderDuties;
  TimePoint m_LastRead;
  TimePoint m_LastReport;
  bool m_ReadPending = false;
  bool m_Stopping = false;
};

absl::Status
ControlServer::Impl::open(std::function<void(const absl::Status &)> OnFatal) {
  timeline::stampFrames(m_Options.m_Replica.m_Rpc, m_Timeline,
                        m_Options.m_Replica.m_WallClockMicros);
  absl::StatusOr<std::unique_ptr<store::FileSystem>> Files =
      store::openDataFolder(m_Options.m_DataFolder);
  if (!Files.ok())
    return Files.status();
  m_Files = *std::move(Files);
  absl::StatusOr<std::unique_ptr<store::LogStore>> Store =
      store::LogStore::open({m_Options.m_SegmentBytes}, *m_Files);
  if (!Store.ok())
    return Store.status();
  if (const int64_t Dropped = (*Store)->counters().m_TornBytesDropped;
      Dropped > 0)
    LOG(WARNING)
        << "control: dropped an incomplete write at the end of the log bytes="
        << Dropped;
  absl::StatusOr<std::unique_ptr<ReplicaHost>> Replica =
      ReplicaHost::create(m_Io, m_Options.m_Replica, *std::move(Store));
  if (!Replica.ok())
    return Replica.status();
  m_Replica = *std::move(Replica);
  absl::StatusOr<std::unique_ptr<net::RpcServer>> Server =
      net::RpcServer::create(m_Io, m_Options.m_Listen,
                             m_Options.m_Replica.m_Rpc);
  if (!Server.ok())
    return Server.status();
  m_Server = *std::move(Server);
  m_Router = std::make_shared<CommandRouter>(m_Io, *m_Replica,
                                             m_Options.m_Replica.m_Now);
  m_Sessions = std::make_unique<AgentSessions>([this](wire::Command Command) {
    m_Router->submit(std::move(Command), InternalCommandTimeout,
                     [](const absl::StatusOr<wire::CommandResult> &) {});
  });
  m_LeaderDuties = std::make_unique<LeaderDuties>(
      [this](wire::Command Command,
             const internal::SchedulerDriver::RefusalHook &OnRefusal) {
        m_Replica->propose(
            std::move(Command),
            [OnRefusal](const absl::StatusOr<wire::CommandResult> &Result) {
              // A proposal that fails because leadership was lost needs no
              // handling: the next leader starts from the state.
              if (Result.ok() && Result->status != wire::CommandStatus::OK)
                OnRefusal(*Result);
            });
      },
      m_Options.m_Replica.m_WallClockMicros);
  registerHandlers();
  ReplicaHost::Hooks Hooks;
  Hooks.m_OnRole = [this](const raft::RoleChange &Role) { onRole(Role); };
  Hooks.m_OnStateEvent = [this](const state::StateEvent &Event, int64_t Index) {
    internal::recordStateEvent(Event, Index, m_Replica->state(), m_Timeline);
    m_LeaderDuties->onStateEvent(Event, now());
  };
  Hooks.m_OnApplied = [this] {
    m_LeaderDuties->onApplied(m_Replica->state(), now());
  };
  Hooks.m_OnFatal = std::move(OnFatal);
  m_Replica->start(std::move(Hooks));
  scheduleTick();
  return absl::OkStatus();
}

void ControlServer::Impl::registerHandlers() {
  using wire::Method;
  m_Server->handle(Method::RAFT_MESSAGE,
                   [this](const net::RpcCall &Call, const net::RpcResponder &) {
                     m_Replica->receive(Call.m_Body);
                   });
  m_Server->handle(
      Method::AGENT_HEARTBEAT,
      [this](const net::RpcCall &Call, const net::RpcResponder &Respond) {
        onHeartbeat(Call, Respond);
      });
  m_Server->handle(Method::SESSION_REPORT,
                   [this](const net::RpcCall &Call, const net::RpcResponder &) {
                     onSessionReport(Call);
                   });
  m_Server->handle(
      Method::ENTRY_SYNC,
      [this](const net::RpcCall &Call, const net::RpcResponder &Respond) {
        onEntrySync(Call, Respond);
      });
  m_Server->handle(Method::SUBMIT_COMMAND,
                   [this](const net::RpcCall &Call, net::RpcResponder Respond) {
                     onSubmit(Call, std::move(Respond));
                   });
  m_Server->handle(Method::FORWARD_COMMAND,
                   [this](const net::RpcCall &Call, net::RpcResponder Respond) {
                     onForward(Call, std::move(Respond));
                   });
  m_Server->handle(Method::QUERY,
                   [this](const net::RpcCall &Call, net::RpcResponder Respond) {
                     onQuery(Call, std::move(Respond));
                   });
}

void ControlServer::Impl::onRole(const raft::RoleChange &Role) {
  if (Role.m_Role == raft::RaftRole::Leader) {
    LOG(INFO) << "control: became leader term=" << Role.m_Term;
    m_Timeline.record("control.leader", {},
                      absl::StrCat("Leads in term ", Role.m_Term, "."));
    beginLeaderDuties(Role.m_Term);
    return;
  }
  if (m_LeaderDuties->active()) {
    LOG(INFO) << "control: no longer leader term=" << Role.m_Term;
    m_Timeline.record(
        "control.leader", {},
        absl::StrCat("No longer leads; the term is ", Role.m_Term, "."));
  }
  m_LeaderDuties->end();
}

// A confirmed read guarantees that this replica has applied everything that
// earlier leaders committed.
void ControlServer::Impl::beginLeaderDuties(raft::TermNumber Term) {
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Replica->read([Weak, Term](const absl::Status &Status) {
    auto Self = Weak.lock();
    if (!Self || !Self->m_Replica->leads() ||
        Self->m_Replica->status().m_Term != Term ||
        Self->m_LeaderDuties->active())
      return;
    if (!Status.ok()) {
      Self->beginLeaderDuties(Term);
      return;
    }
    const absl::Status Began =
        Self->m_LeaderDuties->begin(Self->m_Replica->state(), Self->now());
    if (!Began.ok())
      LOG(ERROR) << "control: scheduler did not start: " << Began.message();
  });
}

void ControlServer::Impl::scheduleTick() {
  m_Timer.expires_after(TickInterval);
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Timer.async_wait([Weak](boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (Error || !Self)
      return;
    Self->onTick();
    Self->scheduleTick();
  });
}

void ControlServer::Impl::onTick() {
  const TimePoint Now = now();
  if (Now - m_LastRead >= ReadInterval)
    refreshRead();
  if (Now - m_LastReport >= ReportInterval)
    reportSessions();
  m_LeaderDuties->tick(m_Replica->state(), Now);
}

void ControlServer::Impl::refreshRead() {
  if (m_ReadPending || m_Stopping)
    return;
  m_ReadPending = true;
  const TimePoint RequestedAt = now();
  m_LastRead = RequestedAt;
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Replica->read([Weak, RequestedAt](const absl::Status &Status) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->m_ReadPending = false;
    if (Status.ok())
      Self->m_Sessions->recordConfirmedRead(RequestedAt);
  });
}

void ControlServer::Impl::reportSessions() {
  m_LastReport = now();
  m_Sessions->expire(m_LastReport);
  wire::SessionReport Report = m_Sessions->takeReport();
  if (Report.vms.empty())
    return;
  if (m_Replica->leads()) {
    m_LeaderDuties->recordHeartbeats(Report.vms, m_LastReport);
    return;
  }
  Report.replica = m_Options.m_Name;
  if (net::RpcClient *Leader = m_Replica->peer(m_Replica->status().m_Leader))
    Leader->notify(wire::Method::SESSION_REPORT, net::encodeStruct(Report));
}

void ControlServer::Impl::onHeartbeat(const net::RpcCall &Call,
                                      const net::RpcResponder &Respond) {
  absl::StatusOr<wire::AgentHeartbeat> Heartbeat =
      net::decodeAs<wire::AgentHeartbeat>(Call.m_Body);
  if (!Heartbeat.ok()) {
    Respond(Heartbeat.status());
    return;
  }
  if (m_Stopping) {
    Respond(absl::UnavailableError("this replica is shutting down"));
    return;
  }
  Respond(net::encodeStruct(
      m_Sessions->handle(*Heartbeat, m_Replica->state(), now())));
}

void ControlServer::Impl::onSessionReport(const net::RpcCall &Call) {
  const absl::StatusOr<wire::SessionReport> Report =
      net::decodeAs<wire::SessionReport>(Call.m_Body);
  if (Report.ok() && m_Replica->leads())
    m_LeaderDuties->recordHeartbeats(Report->vms, now());
}

void ControlServer::Impl::onEntrySync(const net::RpcCall &Call,
                                      const net::RpcResponder &Respond) {
  const absl::StatusOr<wire::EntrySyncRequest> Request =
      net::decodeAs<wire::EntrySyncRequest>(Call.m_Body);
  if (!Request.ok()) {
    Respond(Request.status());
    return;
  }
  if (m_Stopping) {
    Respond(absl::UnavailableError("this replica is shutting down"));
    return;
  }
  wire::EntrySyncReply Reply =
      internal::entrySyncReply(*Request, m_Replica->state());
  Reply.fresh = m_Sessions->fresh(now());
  Respond(net::encodeStruct(Reply));
}

void ControlServer::Impl::onSubmit(const net::RpcCall &Call,
                                   net::RpcResponder Respond) {
  absl::StatusOr<wire::Command> Command =
      net::decodeAs<wire::Command>(Call.m_Body);
  if (!Command.ok()) {
    Respond(Command.status());
    return;
  }
  Command->traceId = Call.m_TraceId;
  m_Router->submit(*std::move(Command),
                   std::min(Call.m_Timeout, MaxCommandTimeout),
                   [Respond = std::move(Respond)](
                       const absl::StatusOr<wire::CommandResult> &Result) {
                     if (Result.ok())
                       Respond(net::encodeStruct(*Result));
                     else
                       Respond(Result.status());
                   });
}

// Returns kUnavailable only if the command was certainly not appended, so that
// the sender may retry it.
void ControlServer::Impl::onForward(const net::RpcCall &Call,
                                    net::RpcResponder Respond) {
  absl::StatusOr<wire::Command> Command =
      net::decodeAs<wire::Command>(Call.m_Body);
  if (!Command.ok()) {
    Respond(Command.status());
    return;
  }
  m_Replica->propose(*std::move(Command),
                     [Respond = std::move(Respond)](
                         const absl::StatusOr<wire::CommandResult> &Result) {
                       if (Result.ok())
                         Respond(net::encodeStruct(*Result));
                       else if (internal::certainlyNotAppended(Result.status()))
                         Respond(
                             absl::UnavailableError(Result.status().message()));
                       else
                         Respond(absl::AbortedError(Result.status().message()));
                     });
}

void ControlServer::Impl::onQuery(const net::RpcCall &Call,
                                  net::RpcResponder Respond) {
  absl::StatusOr<wire::QueryRequest> Request =
      net::decodeAs<wire::QueryRequest>(Call.m_Body);
  if (!Request.ok()) {
    Respond(Request.status());
    return;
  }
  if (Request->kind == "timeline" || Request->kind == "timeline-own") {
    answerTimeline(*Request, Respond);
    return;
  }
  if (Request->kind == "footprint") {
    wire::QueryReply Reply;
    Reply.httpStatus = 200;
    Reply.json = net::toJson(net::rpcCounters());
    Respond(net::encodeStruct(Reply));
    return;
  }
  // Only the leader runs a scheduler.
  net::RpcClient *Leader = m_Replica->leads()
                               ? nullptr
                               : m_Replica->peer(m_Replica->status().m_Leader);
  if (internal::needsLeader(*Request) && Leader) {
    Leader->call(wire::Method::QUERY, Call.m_Body, Call.m_Timeout,
                 Call.m_TraceId, std::move(Respond));
    return;
  }
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_Replica->read([Weak, Request = *std::move(Request),
                   Respond = std::move(Respond)](const absl::Status &Status) {
    auto Self = Weak.lock();
    if (!Self || (!Status.ok() && Request.linearizable))
      Respond(absl::UnavailableError(
          "no quorum confirms that the state is current"));
    else
      Self->answerQuery(Request, !Status.ok(), Respond);
  });
}

void ControlServer::Impl::answerTimeline(const wire::QueryRequest &Request,
                                         const net::RpcResponder &Respond) {
  const auto Answer = [Respond](const std::vector<timeline::Event> &Events) {
    wire::QueryReply Reply;
    Reply.httpStatus = 200;
    Reply.json = timeline::toJson(Events);
    Respond(net::encodeStruct(Reply));
  };
  if (Request.kind == "timeline-own")
    Answer(m_Timeline.select(timeline::parseFilter(Request.argument)));
  else
    internal::gatherTimeline(m_Io, *m_Replica, m_Options.m_Replica.m_Rpc,
                             m_Timeline, Request.argument, Answer);
}

void ControlServer::Impl::answerQuery(const wire::QueryRequest &Request,
                                      bool Stale,
                                      const net::RpcResponder &Respond) {
  internal::QueryContext Context{
      m_Replica->state(),
      m_Replica->status(),
      m_LeaderDuties->scheduler(),
      m_Options.m_Name,
      m_Options.m_AvailabilityZone,
      m_Sessions->size(),
      now(),
      [this](raft::ReplicaId Id) { return connectedTo(Id); }};
  wire::QueryReply Reply = internal::answerQuery(Request, Context);
  Reply.stale = Stale;
  Respond(net::encodeStruct(Reply));
}

void ControlServer::Impl::awaitHandOver(TimePoint Deadline,
                                        std::function<void()> Done) {
  if (!m_Replica->leads() || now() >= Deadline) {
    Done();
    return;
  }
  m_HandOverTimer.expires_after(TickInterval / 2);
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_HandOverTimer.async_wait([Weak, Deadline, Done = std::move(Done)](
                                 boost::system::error_code Error) {
    auto Self = Weak.lock();
    if (!Error && Self)
      Self->awaitHandOver(Deadline, Done);
  });
}

absl::StatusOr<std::unique_ptr<ControlServer>>
ControlServer::create(boost::asio::io_context &Io, ControlOptions Options,
                      std::function<void(const absl::Status &)> OnFatal) {
  auto State = std::make_shared<Impl>(Io, std::move(Options));
  if (absl::Status Status = State->open(std::move(OnFatal)); !Status.ok())
    return Status;
  return std::unique_ptr<ControlServer>(new ControlServer(std::move(State)));
}

ControlServer::ControlServer(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}
ControlServer::~ControlServer() { m_Impl->m_Timer.cancel(); }

void ControlServer::shutDown(std::function<void()> Done) {
  m_Impl->m_Stopping = true;
  m_Impl->m_Replica->yieldLeadership();
  m_Impl->awaitHandOver(m_Impl->now() + HandOverTimeout, std::move(Done));
}

net::Endpoint ControlServer::endpoint() const {
  return m_Impl->m_Server->endpoint();
}
const ReplicaHost &ControlServer::replica() const { return *m_Impl->m_Replica; }

} // namespace anvil::control
