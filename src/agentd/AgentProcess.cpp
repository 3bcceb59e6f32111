#include "anvil/agentd/AgentProcess.h"

#include <map>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "anvil/agent/AgentGate.h"
#include "anvil/net/Rpc.h"
#include "anvil/net/WireCodec.h"
#include "anvil/timeline/FrameStamps.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::agentd {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(50);
/// Shorter than the start permit, so that a silent replica is replaced before
/// the permit expires.
constexpr Duration HeartbeatTimeout = std::chrono::seconds(1);
/// Events kept for the timeline. They use at most about 0.5 MB of the 32 MB of
/// an agent.
constexpr size_t TimelineCapacity = 2000;
/// Delay before the exit in which the last replies are sent.
constexpr Duration FlushTime = std::chrono::milliseconds(200);

} // namespace

struct AgentProcess::Impl : std::enable_shared_from_this<AgentProcess::Impl> {
  Impl(boost::asio::io_context &Io, AgentSettings Settings, AgentHooks Hooks)
      : m_Io(Io), m_Settings(std::move(Settings)), m_Hooks(std::move(Hooks)),
        m_Timeline(m_Settings.m_Target.vm, TimelineCapacity,
                   m_Hooks.m_WallMicros),
        m_TickTimer(Io), m_ExitTimer(Io) {}

  absl::Status open();
  agent::AgentOptions gateOptions() const;
  net::RpcOptions rpcOptions();
  void openPorts();
  void connectControl();
  void tick();
  void handleExecute(const net::RpcCall &Call, net::RpcResponder Respond);
  void answerQuery(const net::RpcCall &Call,
                   const net::RpcResponder &Respond) const;
  void recordEvent(std::string_view Kind, timeline::Subject Subject,
                   std::string_view Text);
  void recordTaskEvent(std::string_view Kind, const agent::TaskKey &Key,
                       std::string_view Text);
  void step(agent::Event Incoming);

  void perform(const agent::ReplyToCall &Action);
  void perform(const agent::SendToMinion &Action);
  void perform(const agent::AbandonExchange &Action) {
    m_Minion->abandon(Action.m_Exchange);
  }
  void perform(const agent::ProbeMinion &Action);
  void perform(const agent::SendHeartbeat &Action);
  void perform(const agent::SwitchControl &Action);
  void perform(const agent::StartTask &Action);
  void perform(const agent::RenewTask &Action) { m_Worker->renew(Action); }
  void perform(const agent::CheckpointTask &Action) {
    m_Worker->checkpoint(Action.m_Key);
  }
  void perform(const agent::ThrottleTask &Action) {
    m_Worker->throttle(Action.m_Key);
  }
  void perform(const agent::StopTask &Action);
  void perform(const agent::Leave &Action);
  void perform(const agent::LogNote &Action);

  void finishHeartbeat(int64_t Sequence,
                       const absl::StatusOr<std::string> &Answer);
  void exitWhenFlushed();

  boost::asio::io_context &m_Io;
  AgentSettings m_Settings;
  AgentHooks m_Hooks;
  timeline::Recorder m_Timeline;
  boost::asio::steady_timer m_TickTimer;
  boost::asio::steady_timer m_ExitTimer;
  std::unique_ptr<agent::AgentGate> m_Gate;
  std::unique_ptr<net::RpcServer> m_Server;
  std::unique_ptr<net::RpcClient> m_Control;
  std::unique_ptr<agent::MinionPort> m_Minion;
  std::unique_ptr<agent::WorkerPort> m_Worker;
  std::map<agent::CallId, net::RpcResponder> m_Calls;
  int64_t m_NextCall = 0;
  size_t m_ControlIndex = 0;
  size_t m_OpenHeartbeats = 0;
  std::optional<agent::Leave> m_Leave;
  bool m_Closed = false;
};

agent::AgentOptions AgentProcess::Impl::gateOptions() const {
  agent::AgentOptions Options;
  Options.m_Target = m_Settings.m_Target;
  Options.m_Target.incarnation = m_Hooks.m_Incarnation;
  const bool Announced = m_Settings.m_Advertise.m_Port != 0;
  Options.m_Target.agentAddress =
      (Announced ? m_Settings.m_Advertise : m_Server->endpoint()).str();
  if (Options.m_Target.kind == wire::TargetKind::WORKER) {
    Options.m_Target.capacity.accelerators =
        static_cast<int32_t>(m_Settings.m_Accelerators);
    Options.m_Target.capacity.cores = static_cast<int32_t>(m_Settings.m_Cores);
    Options.m_Target.capacity.memoryMib = m_Settings.m_MemoryMib;
  } else {
    Options.m_Target.slots = static_cast<int32_t>(m_Settings.m_Slots);
    Options.m_Target.connections =
        static_cast<int32_t>(m_Settings.m_Connections);
  }
  Options.m_Slots = static_cast<int32_t>(m_Settings.m_Slots);
  Options.m_QueueLimit = static_cast<size_t>(m_Settings.m_QueueLimit);
  Options.m_DrainLimit = m_Settings.m_DrainLimit;
  Options.m_SettleTime = m_Settings.m_SettleTime;
  Options.m_Random = m_Hooks.m_Random;
  return Options;
}

net::RpcOptions AgentProcess::Impl::rpcOptions() {
  net::RpcOptions Options;
  Options.m_Random = m_Hooks.m_Random;
  timeline::stampFrames(Options, m_Timeline, m_Hooks.m_WallMicros);
  return Options;
}

absl::Status AgentProcess::Impl::open() {
  absl::StatusOr<std::unique_ptr<net::RpcServer>> Server =
      net::RpcServer::create(m_Io, m_Settings.m_Listen, rpcOptions());
  if (!Server.ok())
    return Server.status();
  m_Server = std::move(*Server);
  absl::StatusOr<std::unique_ptr<agent::AgentGate>> Gate =
      agent::AgentGate::create(gateOptions());
  if (!Gate.ok())
    return Gate.status();
  m_Gate = std::move(*Gate);
  // The random choice distributes agents that start together over the replicas.
  const auto Count = static_cast<double>(m_Settings.m_Control.size());
  m_ControlIndex = static_cast<size_t>(m_Hooks.m_Random() * Count);
  connectControl();
  openPorts();
  m_Server->handle(wire::Method::EXECUTE,
                   [this](const net::RpcCall &Call, net::RpcResponder Respond) {
                     handleExecute(Call, std::move(Respond));
                   });
  m_Server->handle(
      wire::Method::QUERY,
      [this](const net::RpcCall &Call, const net::RpcResponder &Respond) {
        answerQuery(Call, Respond);
      });
  tick();
  return absl::OkStatus();
}

void AgentProcess::Impl::openPorts() {
  if (m_Settings.m_Target.kind == wire::TargetKind::MINION) {
    m_Settings.m_Minion.m_Connections =
        static_cast<size_t>(m_Settings.m_Connections);
    m_Minion = makeHttpMinionPort(m_Io, m_Settings.m_Minion);
    return;
  }
  agent::WorkerPort::Hooks Hooks;
  Hooks.m_OnTask = [this](agent::TaskEvent Event) { step(std::move(Event)); };
  Hooks.m_OnInventory = [this](agent::WorkerInventory Inventory) {
    step(std::move(Inventory));
  };
  m_Worker = makeHttpWorkerPort(m_Io, m_Settings.m_Worker, std::move(Hooks));
}

void AgentProcess::Impl::connectControl() {
  m_Control = net::RpcClient::create(m_Io, m_Settings.m_Control[m_ControlIndex],
                                     rpcOptions());
}

void AgentProcess::Impl::tick() {
  step(agent::Tick{});
  m_TickTimer.expires_after(TickPeriod);
  m_TickTimer.async_wait(
      [Self = weak_from_this()](const boost::system::error_code &Error) {
        const std::shared_ptr<Impl> Alive = Self.lock();
        if (!Error && Alive && !Alive->m_Closed)
          Alive->tick();
      });
}

void AgentProcess::Impl::handleExecute(const net::RpcCall &Call,
                                       net::RpcResponder Respond) {
  absl::StatusOr<wire::ExecuteRequest> Request =
      net::decodeAs<wire::ExecuteRequest>(Call.m_Body);
  if (!Request.ok())
    return Respond(Request.status());
  const agent::CallId Id(++m_NextCall);
  m_Calls.emplace(Id, std::move(Respond));
  step(agent::ExecuteArrived{Id, std::move(*Request)});
}

void AgentProcess::Impl::answerQuery(const net::RpcCall &Call,
                                     const net::RpcResponder &Respond) const {
  const absl::StatusOr<wire::QueryRequest> Request =
      net::decodeAs<wire::QueryRequest>(Call.m_Body);
  if (!Request.ok())
    return Respond(Request.status());
  wire::QueryReply Reply;
  Reply.httpStatus = 200;
  if (Request->kind == "timeline-own")
    Reply.json = timeline::toJson(
        m_Timeline.select(timeline::parseFilter(Request->argument)));
  else if (Request->kind == "footprint")
    Reply.json = net::toJson(net::rpcCounters());
  else
    return Respond(absl::InvalidArgumentError(
        "an agent answers the kinds timeline-own and footprint only"));
  Respond(net::encodeStruct(Reply));
}

void AgentProcess::Impl::recordEvent(std::string_view Kind,
                                     timeline::Subject Subject,
                                     std::string_view Text) {
  Subject.m_Vm = m_Settings.m_Target.vm;
  Subject.m_AvailabilityZone = m_Settings.m_Target.availabilityZone;
  m_Timeline.record(Kind, std::move(Subject), Text);
}

void AgentProcess::Impl::recordTaskEvent(std::string_view Kind,
                                         const agent::TaskKey &Key,
                                         std::string_view Text) {
  timeline::Subject Subject;
  Subject.m_Job = std::to_string(Key.m_JobId);
  recordEvent(Kind, std::move(Subject),
              "Task " + std::to_string(Key.m_TaskIndex) + " " +
                  std::string(Text));
}

void AgentProcess::Impl::perform(const agent::LogNote &Action) {
  LOG(INFO) << "agent: " << Action.m_Text;
  recordEvent("agent.note", {}, Action.m_Text);
}

void AgentProcess::Impl::perform(const agent::StartTask &Action) {
  recordTaskEvent("agent.task-started", Action.m_Key,
                  "is started on the worker.");
  m_Worker->start(Action);
}

void AgentProcess::Impl::perform(const agent::StopTask &Action) {
  recordTaskEvent("agent.task-stopping", Action.m_Key,
                  "is stopped on the worker.");
  m_Worker->stop(Action.m_Key);
}

void AgentProcess::Impl::step(agent::Event Incoming) {
  if (m_Closed)
    return;
  for (const agent::Action &Action :
       m_Gate->step(std::move(Incoming), m_Hooks.m_Now()))
    std::visit([this](const auto &Item) { perform(Item); }, Action);
}

void AgentProcess::Impl::perform(const agent::ReplyToCall &Action) {
  auto Call = m_Calls.extract(Action.m_Call);
  if (!Call.empty())
    Call.mapped()(net::encodeStruct(Action.m_Reply));
}

void AgentProcess::Impl::perform(const agent::SendToMinion &Action) {
  const agent::ExchangeId Exchange = Action.m_Exchange;
  timeline::Subject Subject;
  Subject.m_Request = Action.m_Request.requestId;
  Subject.m_Workspace = Action.m_Request.workspace;
  recordEvent("agent.request-started", std::move(Subject),
              "The request goes to the minion.");
  m_Minion->send(Exchange, Action.m_Request,
                 [this, Exchange](agent::MinionResult Result) {
                   if (Result.m_Whole)
                     step(agent::MinionAnswered{Exchange, Result.m_HttpStatus,
                                                std::move(Result.m_ContentType),
                                                std::move(Result.m_Body)});
                   else
                     step(agent::MinionFailed{Exchange, Result.m_AnyByteSent,
                                              Result.m_ConnectFailed,
                                              std::move(Result.m_Reason)});
                 });
}

void AgentProcess::Impl::perform(const agent::ProbeMinion &) {
  m_Minion->probe(
      [this](bool Reachable) { step(agent::MinionProbed{Reachable}); });
}

void AgentProcess::Impl::perform(const agent::SendHeartbeat &Action) {
  const int64_t Sequence = Action.m_Message.sequence;
  // Permits and leases are counted from before the first byte is sent.
  step(agent::HeartbeatSent{Sequence});
  ++m_OpenHeartbeats;
  m_Control->call(wire::Method::AGENT_HEARTBEAT,
                  net::encodeStruct(Action.m_Message), HeartbeatTimeout, "",
                  [Self = weak_from_this(),
                   Sequence](const absl::StatusOr<std::string> &Answer) {
                    const std::shared_ptr<Impl> Alive = Self.lock();
                    if (Alive && !Alive->m_Closed)
                      Alive->finishHeartbeat(Sequence, Answer);
                  });
}

void AgentProcess::Impl::finishHeartbeat(
    int64_t Sequence, const absl::StatusOr<std::string> &Answer) {
  --m_OpenHeartbeats;
  absl::StatusOr<wire::AgentHeartbeatReply> Reply =
      Answer.ok() ? net::decodeAs<wire::AgentHeartbeatReply>(*Answer)
                  : Answer.status();
  if (Reply.ok())
    step(agent::HeartbeatReplied{std::move(*Reply)});
  else
    step(agent::HeartbeatFailed{Sequence,
                                std::string(Reply.status().message())});
  if (m_Leave && m_OpenHeartbeats == 0)
    exitWhenFlushed();
}

void AgentProcess::Impl::perform(const agent::SwitchControl &Action) {
  m_ControlIndex = (m_ControlIndex + 1) % m_Settings.m_Control.size();
  LOG(WARNING) << "agent: switching control replica to="
               << m_Settings.m_Control[m_ControlIndex].str()
               << " reason=" << Action.m_Reason;
  // This function may run inside a callback of the old client, so the client is
  // destroyed later.
  boost::asio::post(
      m_Io, [Old = std::shared_ptr<net::RpcClient>(std::move(m_Control))] {});
  connectControl();
}

void AgentProcess::Impl::perform(const agent::Leave &Action) {
  m_Leave = Action;
  for (const std::string &Item : Action.m_CutOff)
    LOG(WARNING) << "agent: cut off " << Item;
  if (Action.m_UnreportedOutcomes > 0)
    LOG(WARNING) << "agent: claim outcomes not acknowledged by control count="
                 << Action.m_UnreportedOutcomes;
  if (m_OpenHeartbeats == 0)
    exitWhenFlushed();
}

void AgentProcess::Impl::exitWhenFlushed() {
  m_ExitTimer.expires_after(FlushTime);
  m_ExitTimer.async_wait(
      [Self = weak_from_this()](const boost::system::error_code &Error) {
        const std::shared_ptr<Impl> Alive = Self.lock();
        if (Error || !Alive || Alive->m_Closed)
          return;
        const bool Graceful = Alive->m_Leave->m_CutOff.empty() &&
                              Alive->m_Leave->m_UnreportedOutcomes == 0;
        LOG(INFO) << "agent: left graceful=" << (Graceful ? "yes" : "no");
        if (Alive->m_Hooks.m_OnLeft)
          Alive->m_Hooks.m_OnLeft(Graceful);
      });
}

AgentProcess::AgentProcess(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

AgentProcess::~AgentProcess() {
  m_Impl->m_Closed = true;
  m_Impl->m_TickTimer.cancel();
  m_Impl->m_Server.reset();
  m_Impl->m_Control.reset();
  m_Impl->m_Minion.reset();
  m_Impl->m_Worker.reset();
}

absl::StatusOr<std::unique_ptr<AgentProcess>>
AgentProcess::create(boost::asio::io_context &Io, AgentSettings Settings,
                     AgentHooks Hooks) {
  auto State =
      std::make_shared<Impl>(Io, std::move(Settings), std::move(Hooks));
  const absl::Status Status = State->open();
  if (!Status.ok())
    return Status;
  return std::unique_ptr<AgentProcess>(new AgentProcess(std::move(State)));
}

void AgentProcess::beginDrain() { m_Impl->step(agent::DrainBegin{}); }

void AgentProcess::cutOff() { m_Impl->step(agent::CutOff{}); }

net::Endpoint AgentProcess::endpoint() const {
  return m_Impl->m_Server->endpoint();
}

} // namespace anvil::agentd
