#include "anvil/node/AgentProcess.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "anvil/net/WireCodec.h"
#include "anvil/node/LeaderClient.h"
#include "anvil/node/NodeError.h"

namespace anvil::node {

namespace {

constexpr metrics::Metric SyncTime{
    "anvil_sync_seconds",
    "Time from a report to the leader until its answer, which the leader may "
    "hold back while it has no news."};
constexpr metrics::Metric WorkerCalls{
    "anvil_worker_calls_total",
    "Calls to the worker, by kind and whether they were answered."};

} // namespace

struct AgentProcess::Impl : std::enable_shared_from_this<AgentProcess::Impl> {
  Impl(boost::asio::io_context &Io, AgentProcessOptions Options,
       WorkerCaller Caller, std::unique_ptr<runner::Runner> Runner,
       log::EventLog &Log)
      : m_Options(std::move(Options)), m_Caller(std::move(Caller)),
        m_Runner(std::move(Runner)), m_Log(Log), m_Timer(Io) {}

  void step(const runner::Event &Event);
  void carryOut(const runner::Action &Action);
  void sendSync(const wire::WorkerSyncRequest &Request);
  void logNote(const runner::Note &Note);
  WorkerCaller::Done answerTo(std::string_view Kind);
  void armTimer();

  AgentProcessOptions m_Options;
  WorkerCaller m_Caller;
  std::unique_ptr<runner::Runner> m_Runner;
  log::EventLog &m_Log;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<LeaderClient> m_LeaderClient;
};

void AgentProcess::Impl::step(const runner::Event &Event) {
  for (const runner::Action &Action : m_Runner->step(Event, m_Options.m_Now()))
    carryOut(Action);
  armTimer();
}

WorkerCaller::Done AgentProcess::Impl::answerTo(std::string_view Kind) {
  return [Weak = weak_from_this(), Kind](const runner::CallAnswer &Answer) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    const bool Silent = Answer.m_Error == runner::CallError::NoAnswer;
    Self->m_Options.m_Metrics->count(
        WorkerCalls,
        {{"call", Kind}, {"outcome", Silent ? "no-answer" : "answered"}});
    Self->step(Answer);
  };
}

void AgentProcess::Impl::carryOut(const runner::Action &Action) {
  if (const auto *Hold = std::get_if<runner::HoldCall>(&Action))
    m_Caller.m_Hold(*Hold, answerTo("hold"));
  else if (const auto *Start = std::get_if<runner::StartCall>(&Action))
    m_Caller.m_Start(*Start, answerTo("start"));
  else if (const auto *Stop = std::get_if<runner::StopCall>(&Action))
    m_Caller.m_Stop(*Stop, answerTo("stop"));
  else if (const auto *Sync = std::get_if<runner::SendSync>(&Action))
    sendSync(Sync->m_Request);
  else if (const auto *Note = std::get_if<runner::Note>(&Action))
    logNote(*Note);
}

void AgentProcess::Impl::logNote(const runner::Note &Note) {
  if (Note.m_Task.empty())
    m_Log.write(Note.m_Event, {{"detail", Note.m_Detail}});
  else
    m_Log.write(Note.m_Event, {{"task", Note.m_Task},
                               {"run", Note.m_Run},
                               {"detail", Note.m_Detail}});
}

void AgentProcess::Impl::sendSync(const wire::WorkerSyncRequest &Request) {
  std::weak_ptr<Impl> Weak = weak_from_this();
  m_LeaderClient->callOnce(
      wire::Method::WORKER_SYNC, net::encodeStruct(Request),
      m_Options.m_Runner.m_SyncTimeout,
      [](std::string_view Body) -> absl::StatusOr<LeaderClient::ReplyHeader> {
        absl::StatusOr<wire::WorkerSyncReply> Reply =
            net::decodeAs<wire::WorkerSyncReply>(Body);
        if (!Reply.ok())
          return Reply.status();
        return LeaderClient::ReplyHeader{Reply->isLeader,
                                         std::move(Reply->group)};
      },
      [Weak, Sequence = Request.sequence,
       SentAt = m_Options.m_Now()](const LeaderCallResult &Answer) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        Self->m_Options.m_Metrics->observe(
            SyncTime, {{"outcome", Answer.m_Status.ok() ? "ok" : "failed"}},
            Self->m_Options.m_Now() - SentAt);
        absl::StatusOr<wire::WorkerSyncReply> Reply =
            Answer.m_Status.ok()
                ? net::decodeAs<wire::WorkerSyncReply>(Answer.m_Body)
                : Answer.m_Status;
        if (Reply.ok())
          Self->step(runner::SyncAnswered{Sequence, *std::move(Reply)});
        else
          Self->step(runner::SyncFailed{Sequence});
      });
}

void AgentProcess::Impl::armTimer() {
  const TimePoint Now = m_Options.m_Now();
  m_Timer.expires_after(m_Runner->nextDeadline(Now) - Now);
  m_Timer.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Error) {
        auto Self = Weak.lock();
        if (!Error && Self)
          Self->step(runner::Tick{});
      });
}

absl::StatusOr<std::unique_ptr<AgentProcess>>
AgentProcess::create(boost::asio::io_context &Io, AgentProcessOptions Options,
                     WorkerCaller Caller, log::EventLog &Log) {
  if (!Options.m_Now || !Options.m_Metrics)
    return makeLayerError(absl::StatusCode::kInvalidArgument,
                          NodeErrc::InvalidOption,
                          "a clock and metrics are required");
  absl::StatusOr<std::unique_ptr<runner::Runner>> Runner =
      runner::Runner::create(Options.m_Runner);
  if (!Runner.ok())
    return Runner.status();
  LeaderClientOptions ClientOptions;
  ClientOptions.m_Seeds = Options.m_Seeds;
  ClientOptions.m_Rpc = Options.m_Rpc;
  ClientOptions.m_Now = Options.m_Now;
  auto State = std::make_shared<Impl>(Io, std::move(Options), std::move(Caller),
                                      *std::move(Runner), Log);
  State->m_LeaderClient = LeaderClient::create(Io, std::move(ClientOptions));
  State->armTimer();
  return std::unique_ptr<AgentProcess>(new AgentProcess(std::move(State)));
}

AgentProcess::AgentProcess(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}
AgentProcess::~AgentProcess() = default;

void AgentProcess::onWorkerAnnounced(const runner::WorkerAnnounced &Announced) {
  m_Impl->step(Announced);
}

void AgentProcess::onWorkerLeft(std::string_view WorkerId) {
  m_Impl->step(runner::WorkerLeft{std::string(WorkerId)});
}

void AgentProcess::setSeeds(std::vector<net::Endpoint> Seeds) {
  m_Impl->m_LeaderClient->setSeeds(std::move(Seeds));
}

void AgentProcess::writeMetrics(metrics::PrometheusText &Output) const {
  const runner::Runner &Runner = *m_Impl->m_Runner;
  Output.gauge("anvil_serving", "1 if a registered worker is served.");
  Output.sample(Runner.serving() ? 1 : 0);
  const Duration Left = Runner.authorityEnd() - m_Impl->m_Options.m_Now();
  Output.gauge(
      "anvil_lease_left_seconds",
      "Time for which runs may go on without a leader; not above 0 when "
      "nothing may run.");
  Output.sample(std::chrono::duration<double>(Left).count());
}

} // namespace anvil::node
