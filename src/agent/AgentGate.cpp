#include "anvil/agent/AgentGate.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

#include "agent/ControlSession.h"
#include "agent/RequestSlots.h"
#include "agent/TaskTable.h"

namespace anvil::agent {

using internal::AssignmentContext;
using internal::ReplyUse;
using internal::ReplyVerdict;
using internal::StartRule;

namespace {
constexpr Duration NoPermitRetryAfter = std::chrono::milliseconds(500);
constexpr Duration OtherTargetRetryAfter = std::chrono::milliseconds(0);
} // namespace

struct AgentGate::Impl {
  explicit Impl(AgentOptions Given) : m_Options(std::move(Given)) {}

  AgentOptions m_Options;
  internal::ControlSession m_Session{m_Options};
  internal::RequestSlots m_Requests{m_Options};
  internal::TaskTable m_Tasks{m_Options};
  std::string m_LastRefusal; ///< Logged already; empty after an accepted reply.
  bool m_HadPermit = false;
  bool m_WasHealthy = false;
  bool m_Leaving = false;
  bool m_Left = false;
  TimePoint m_LeaveLimit;
  std::optional<TimePoint> m_IdleSince;
  /// First heartbeat that reported the agent as leaving and idle; 0 if there is
  /// none.
  int64_t m_DepartureSequence = 0;

  bool isWorker() const {
    return m_Options.m_Target.kind == wire::TargetKind::WORKER;
  }
  std::string_view departureReason() const;
  StartRule startRule(TimePoint Now) const;
  void logPermitChange(TimePoint Now, ActionList &Out);

  void on(ExecuteArrived Event, TimePoint Now, ActionList &Out);
  void on(MinionAnswered Event, TimePoint Now, ActionList &Out);
  void on(const MinionFailed &Event, TimePoint Now, ActionList &Out);
  void on(const MinionProbed &Event, TimePoint Now, ActionList &Out);
  void on(const HeartbeatSent &Event, TimePoint Now, ActionList &Out);
  void on(const HeartbeatReplied &Event, TimePoint Now, ActionList &Out);
  void on(const HeartbeatFailed &Event, TimePoint Now, ActionList &Out);
  void on(const TaskEvent &Event, TimePoint Now, ActionList &Out);
  void on(const WorkerInventory &Event, TimePoint Now, ActionList &Out);
  void on(const Tick &Event, TimePoint Now, ActionList &Out);
  void on(const DrainBegin &Event, TimePoint Now, ActionList &Out);
  void on(const CutOff &Event, TimePoint Now, ActionList &Out);

  wire::AgentHeartbeat heartbeat();
  bool idle() const { return m_Requests.idle() && m_Tasks.idle(); }
  void checkDeparture(TimePoint Now, ActionList &Out);
  void leave(TimePoint Now, ActionList &Out);
  void reportChanges(TimePoint Now);
};

std::string_view AgentGate::Impl::departureReason() const {
  if (m_Leaving)
    return "agent is leaving";
  if (m_Session.draining())
    return "target is draining";
  return {};
}

StartRule AgentGate::Impl::startRule(TimePoint Now) const {
  const std::string_view Departure = departureReason();
  if (!Departure.empty())
    return {Departure, OtherTargetRetryAfter};
  if (!m_Session.hasPermit(Now))
    return {"no start permit", NoPermitRetryAfter};
  return {};
}

void AgentGate::Impl::logPermitChange(TimePoint Now, ActionList &Out) {
  const bool Has = m_Session.hasPermit(Now);
  if (Has != m_HadPermit)
    Out.push_back(
        LogNote{Has ? "start permit granted"
                    : "start permit lost; starts are refused as not run"});
  m_HadPermit = Has;
}

void AgentGate::Impl::on(ExecuteArrived Event, TimePoint Now, ActionList &Out) {
  m_Requests.arrive(std::move(Event), startRule(Now), Now, Out);
}

void AgentGate::Impl::on(MinionAnswered Event, TimePoint Now, ActionList &Out) {
  m_Requests.answered(std::move(Event), Now, Out);
}

void AgentGate::Impl::on(const MinionFailed &Event, TimePoint Now,
                         ActionList &Out) {
  m_Requests.failed(Event, Now, Out);
}

void AgentGate::Impl::on(const MinionProbed &Event, TimePoint Now,
                         ActionList &Out) {
  m_Requests.probed(Event, Now, Out);
}

void AgentGate::Impl::on(const HeartbeatSent &Event, TimePoint Now,
                         ActionList &) {
  m_Session.sent(Event.m_Sequence, Now);
}

void AgentGate::Impl::on(const HeartbeatReplied &Event, TimePoint Now,
                         ActionList &Out) {
  const wire::AgentHeartbeatReply &Reply = Event.m_Reply;
  const ReplyVerdict Verdict = m_Session.replied(Reply, Now);
  if (Verdict.m_Use == ReplyUse::Ignore)
    return;
  if (Verdict.m_Use == ReplyUse::Refused) {
    if (std::exchange(m_LastRefusal, Reply.detail) != Reply.detail)
      Out.push_back(
          LogNote{absl::StrCat("heartbeat refused sequence=", Reply.sequence,
                               " detail=", Reply.detail)});
    if (m_Session.switchAfterRefusal(Reply.sequence))
      Out.push_back(SwitchControl{"heartbeat refused"});
    return;
  }
  m_Requests.claims().acknowledge(Reply.acknowledgedClaims, Reply.sequence);
  if (Verdict.m_Use == ReplyUse::Late)
    return;
  m_LastRefusal.clear();
  if (m_DepartureSequence != 0 && Reply.sequence >= m_DepartureSequence)
    m_LeaveLimit =
        m_Requests.claims().unacknowledged() == 0 ? Now : m_LeaveLimit;
  if (!isWorker())
    return;
  const std::string_view Departure = departureReason();
  const bool Permit = Departure.empty() && m_Session.hasPermit(Now);
  m_Tasks.assign(Reply.assignments,
                 AssignmentContext{Verdict.m_SentAt, Now, Permit, Departure},
                 Out);
}

void AgentGate::Impl::on(const HeartbeatFailed &Event, TimePoint Now,
                         ActionList &Out) {
  if (m_Session.failed(Event.m_Sequence, Now))
    Out.push_back(SwitchControl{Event.m_Reason});
}

void AgentGate::Impl::on(const TaskEvent &Event, TimePoint Now,
                         ActionList &Out) {
  m_Tasks.event(Event, Now, Out);
}

void AgentGate::Impl::on(const WorkerInventory &Event, TimePoint,
                         ActionList &Out) {
  m_Tasks.inventory(Event, Out);
}

void AgentGate::Impl::on(const Tick &, TimePoint Now, ActionList &Out) {
  if (isWorker())
    m_Tasks.tick(Now, Out);
  else
    m_Requests.tick(Now, Out);
  if (m_Session.takeDue(Now))
    Out.push_back(SendHeartbeat{heartbeat()});
}

void AgentGate::Impl::on(const DrainBegin &, TimePoint Now, ActionList &Out) {
  if (m_Leaving)
    return;
  m_Leaving = true;
  m_LeaveLimit = Now + m_Options.m_DrainLimit;
  m_Session.requestEarlyHeartbeat(Now);
  Out.push_back(LogNote{"leaving; new work is refused as not run"});
}

void AgentGate::Impl::on(const CutOff &, TimePoint Now, ActionList &) {
  m_Leaving = true;
  m_LeaveLimit = Now;
}

wire::AgentHeartbeat AgentGate::Impl::heartbeat() {
  wire::AgentHeartbeat Message;
  Message.target = m_Options.m_Target;
  Message.sequence = m_Session.nextSequence();
  Message.load = m_Requests.load();
  Message.tasks = m_Tasks.statuses();
  Message.shuttingDown = m_Leaving;
  Message.targetHealthy = isWorker() || m_Requests.healthy();
  Message.configVersion = m_Session.configVersion();
  Message.outcomes = m_Requests.claims().report(Message.sequence);
  if (m_Leaving && idle() && m_DepartureSequence == 0)
    m_DepartureSequence = Message.sequence;
  return Message;
}

void AgentGate::Impl::checkDeparture(TimePoint Now, ActionList &Out) {
  if (!m_Leaving || m_Left)
    return;
  if (idle() && !m_IdleSince) {
    m_IdleSince = Now;
    m_Session.requestEarlyHeartbeat(Now);
  }
  const bool NothingToReport = m_Requests.claims().unacknowledged() == 0;
  const bool DepartureTimedOut =
      m_IdleSince && NothingToReport &&
      Now - *m_IdleSince >= m_Options.m_DepartureTimeout;
  if (DepartureTimedOut)
    Out.push_back(LogNote{"control did not confirm the departure in time"});
  if (Now >= m_LeaveLimit || DepartureTimedOut)
    leave(Now, Out);
}

void AgentGate::Impl::leave(TimePoint Now, ActionList &Out) {
  m_Left = true;
  Leave Departure;
  m_Requests.cutOff(Now, Out, Departure.m_CutOff);
  m_Tasks.describeActive(Departure.m_CutOff);
  Departure.m_UnreportedOutcomes = m_Requests.claims().unacknowledged();
  if (Departure.m_UnreportedOutcomes > 0 || !Departure.m_CutOff.empty())
    Out.push_back(SendHeartbeat{heartbeat()});
  Out.push_back(std::move(Departure));
}

// A gang starts once all its members are reported, so changes are reported
// before the next regular heartbeat.
void AgentGate::Impl::reportChanges(TimePoint Now) {
  const bool HealthChanged =
      std::exchange(m_WasHealthy, m_Requests.healthy()) != m_Requests.healthy();
  // Many short requests with claims would otherwise reach the limit of
  // unacknowledged outcomes between two regular heartbeats.
  const bool ManyOutcomes =
      m_Requests.claims().unreported() >= m_Options.m_EarlyReportOutcomes;
  if (m_Tasks.takeChanged() || HealthChanged || ManyOutcomes)
    m_Session.requestEarlyHeartbeat(Now);
}

AgentGate::AgentGate(std::unique_ptr<Impl> State) : m_Impl(std::move(State)) {}
AgentGate::~AgentGate() = default;

absl::StatusOr<std::unique_ptr<AgentGate>>
AgentGate::create(AgentOptions Options) {
  if (!Options.m_Random)
    return absl::InvalidArgumentError("agent: random hook is missing");
  if (Options.m_Target.incarnation == 0)
    return absl::InvalidArgumentError("agent: incarnation is 0");
  if (Options.m_Slots <= 0 || Options.m_QueueLimit == 0)
    return absl::InvalidArgumentError(
        "agent: slots and queue limit must be positive");
  if (Options.m_MaxUnackedClaims == 0 ||
      Options.m_MaxTokens < Options.m_MaxUnackedClaims)
    return absl::InvalidArgumentError(
        "agent: remembered tokens must cover all unacknowledged claims");
  return std::unique_ptr<AgentGate>(
      new AgentGate(std::make_unique<Impl>(std::move(Options))));
}

ActionList AgentGate::step(Event Incoming, TimePoint Now) {
  ActionList Out;
  std::visit(
      [&](auto &&Event) {
        m_Impl->on(std::forward<decltype(Event)>(Event), Now, Out);
      },
      std::move(Incoming));
  m_Impl->logPermitChange(Now, Out);
  m_Impl->m_Requests.startQueued(m_Impl->startRule(Now), Now, Out);
  m_Impl->checkDeparture(Now, Out);
  m_Impl->reportChanges(Now);
  return Out;
}

bool AgentGate::hasPermit(TimePoint Now) const {
  return m_Impl->m_Session.hasPermit(Now);
}

wire::Load AgentGate::load() const { return m_Impl->m_Requests.load(); }

bool AgentGate::leaving() const { return m_Impl->m_Leaving; }

} // namespace anvil::agent
