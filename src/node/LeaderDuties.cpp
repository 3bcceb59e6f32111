#include "LeaderDuties.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "anvil/base/Port.h"

namespace anvil::node::internal {

namespace {

// An entry that was silent for this long is removed.
constexpr Duration ForgetWatcherAfter = std::chrono::seconds(60);

// Least and longest time between two calls of tick().
constexpr Duration MinPause = std::chrono::milliseconds(2);
constexpr Duration MaxPause = std::chrono::milliseconds(100);

} // namespace

LeaderDuties::LeaderDuties(boost::asio::io_context &Io, LeaderOptions Options,
                           LeaderPorts Ports, log::EventLog &Log)
    : m_Options(std::move(Options)), m_Ports(std::move(Ports)), m_Log(Log),
      m_Io(Io), m_Timer(Io), m_Sessions(m_Options.m_Sessions),
      m_Dispatcher(m_Options.m_Dispatch), m_Membership(m_Options.m_Membership) {
}

void LeaderDuties::begin() {
  ++m_Epoch;
  m_Active = true;
  m_PlanInFlight = 0;
  m_Pacer.reset();
  m_ChangeInFlight = false;
  m_ConfirmInFlight = false;
  const TimePoint Now = m_Ports.m_Now();
  m_Sessions.reset(Now);
  m_Dispatcher.reset(Now);
  m_Membership.reset(Now);
  m_Watchers.clear();
  m_Log.write("leadership-begun",
              {{"term", m_Ports.m_Status().m_Term},
               {"applied", m_Ports.m_State().appliedIndex()},
               {"jobs", m_Ports.m_State().liveJobs().size()},
               {"workers", m_Ports.m_State().workers().size()}});
  wake();
}

void LeaderDuties::end() {
  if (!std::exchange(m_Active, false))
    return;
  ++m_Epoch;
  m_Timer.cancel();
  m_Log.write("leadership-ended", {{"term", m_Ports.m_Status().m_Term}});
  const auto Syncs = std::exchange(m_Syncs, {});
  wire::WorkerSyncReply SyncRefusal;
  SyncRefusal.group = m_Ports.m_GroupView();
  for (const auto &[Key, Done] : Syncs)
    Done(SyncRefusal);
  const auto Watchers = std::exchange(m_Watchers, {});
  wire::EntryWatchReply WatchRefusal;
  WatchRefusal.group = SyncRefusal.group;
  for (const auto &[Entry, Client] : Watchers)
    for (const auto &[Sequence, Done] : Client.m_Waiting)
      Done(WatchRefusal);
}

void LeaderDuties::workerSync(const wire::WorkerSyncRequest &Request,
                              std::function<void(wire::WorkerSyncReply)> Done) {
  m_Syncs[{Request.agentIncarnation, Request.sequence}] = std::move(Done);
  propose(m_Sessions.receive(Request, m_Ports.m_State(), m_Ports.m_Now()));
  wake();
}

void LeaderDuties::entryWatch(const wire::EntryWatchRequest &Request,
                              std::function<void(wire::EntryWatchReply)> Done) {
  Watcher &Client = m_Watchers[Request.entry];
  Client.m_Confirm.received(Request.sequence);
  Client.m_LastRequestAt = m_Ports.m_Now();
  Client.m_Waiting[Request.sequence] = std::move(Done);
  if (Request.sequence >= Client.m_Confirm.highest())
    Client.m_Latest = Request;
  wake();
}

void LeaderDuties::observe(const workload::WorkloadEvent &Event) {
  if (!m_Active)
    return;
  m_Dispatcher.observe(Event, m_Ports.m_State(), m_Ports.m_Now());
  m_Sessions.observe(Event);
  m_Pacer.noteChange();
}

dispatch::JobVerdict
LeaderDuties::assess(const wire::JobRecord &Candidate) const {
  if (!m_Active)
    return dispatch::JobVerdict();
  return m_Dispatcher.assess(Candidate, m_Ports.m_State(), m_Sessions,
                             m_Ports.m_Now());
}

void LeaderDuties::onReplicaAnnounced(raft::ReplicaId Replica) {
  m_Membership.recordAnnouncement(Replica, m_Ports.m_Now());
  wake();
}

void LeaderDuties::onReplicaLeaving(raft::ReplicaId Replica) {
  m_Log.write("replica-leaving", {{"replica", Replica.value()}});
  m_Membership.recordLeaving(Replica, m_Ports.m_Now());
  wake();
}

void LeaderDuties::wake() {
  if (!m_Active || std::exchange(m_WakePosted, true))
    return;
  boost::asio::post(m_Io, [Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    Self->m_WakePosted = false;
    if (Self->m_Active)
      Self->tick();
  });
}

void LeaderDuties::tick() {
  propose(m_Sessions.expireLeases(m_Ports.m_State(), m_Ports.m_Now()));
  openOccurrences();
  plan();
  updateMembership();
  confirmIfDue();
  answerAgents();
  answerWatchers();
  armTimer();
}

void LeaderDuties::propose(const std::vector<wire::WorkloadCommand> &Commands) {
  for (const wire::WorkloadCommand &Command : Commands) {
    m_Ports.m_Propose(Command,
                      [Weak = weak_from_this(), Epoch = m_Epoch, Command](
                          const absl::StatusOr<wire::WorkloadResult> &Result) {
                        auto Self = Weak.lock();
                        if (!Self || Self->m_Epoch != Epoch)
                          return;
                        Self->m_Sessions.commandDone(Command, Result.ok());
                        Self->wake();
                      });
  }
}

void LeaderDuties::plan() {
  const TimePoint Now = m_Ports.m_Now();
  if (m_PlanInFlight > 0 || !m_Pacer.due(Now))
    return;
  m_Pacer.notePlan(Now);
  std::vector<wire::WorkloadCommand> Commands =
      m_Dispatcher.plan(m_Ports.m_State(), m_Sessions, Now);
  for (wire::WorkloadCommand &Command : Commands) {
    ++m_PlanInFlight;
    wire::WorkloadCommand Sent = Command;
    m_Ports.m_Propose(std::move(Sent),
                      [Weak = weak_from_this(), Epoch = m_Epoch, Command](
                          const absl::StatusOr<wire::WorkloadResult> &Result) {
                        auto Self = Weak.lock();
                        if (!Self || Self->m_Epoch != Epoch)
                          return;
                        --Self->m_PlanInFlight;
                        Self->logCommandFailure(Command, Result);
                        Self->wake();
                      });
  }
}

void LeaderDuties::logCommandFailure(
    const wire::WorkloadCommand &Command,
    const absl::StatusOr<wire::WorkloadResult> &Result) {
  const std::string Job =
      Command.__isset.startRuns ? Command.startRuns.jobId : "";
  if (!Result.ok())
    m_Log.write(
        "plan-not-committed",
        {{"job", Job}, {"reason", fromAbsl(Result.status().message())}});
  else if (Result->status != wire::WorkloadStatus::OK)
    m_Log.write("plan-overtaken", {{"job", Job}, {"reason", Result->message}});
}

// The next occurrence of a repeated job is due at a time of the wall clock.
void LeaderDuties::openOccurrences() {
  const int64_t NowMs = m_Ports.m_WallClockMicros() / 1000;
  const workload::WorkloadState &State = m_Ports.m_State();
  for (const auto &[Index, Id] : State.liveJobs()) {
    const wire::JobRecord &Job = *State.job(Id);
    const int32_t Next = Job.occurrencesOpened;
    if (workload::hasEnded(Job.phase) || Next >= Job.spec.repeats ||
        NowMs < Job.spec.firstDueMs + Next * Job.spec.intervalMs)
      continue;
    wire::OpenOccurrence Open;
    Open.jobId = Id;
    Open.occurrence = Next;
    wire::WorkloadCommand Command;
    Command.__set_openOccurrence(Open);
    propose({Command});
  }
}

void LeaderDuties::updateMembership() {
  if (m_ChangeInFlight)
    return;
  const std::optional<MembershipChange> Change = m_Membership.nextChange(
      m_Ports.m_Status(), m_Ports.m_State().replicas(), m_Ports.m_Now());
  if (Change)
    carryOut(*Change);
}

void LeaderDuties::carryOut(const MembershipChange &Change) {
  using Kind = MembershipChange::Kind;
  m_ChangeInFlight = true;
  const char *Names[] = {"add-learner", "promote", "remove", "forget"};
  m_Log.write("group-change",
              {{"change", Names[static_cast<int>(Change.m_Kind)]},
               {"replica", Change.m_Replica.value()},
               {"reason", Change.m_Reason}});
  const auto Done = [Weak = weak_from_this(), Epoch = m_Epoch,
                     Change](const absl::Status &Status) {
    auto Self = Weak.lock();
    if (!Self || Self->m_Epoch != Epoch)
      return;
    Self->m_ChangeInFlight = false;
    if (!Status.ok()) {
      Self->m_Log.write("group-change-refused",
                        {{"replica", Change.m_Replica.value()},
                         {"reason", fromAbsl(Status.message())}});
      Self->m_Membership.promotionRefused(Change.m_Replica,
                                          Self->m_Ports.m_Now());
    }
    Self->wake();
  };
  if (Change.m_Kind == Kind::Forget) {
    wire::ForgetReplica Forget;
    Forget.id = Change.m_Replica.value();
    wire::WorkloadCommand Command;
    Command.__set_forgetReplica(Forget);
    m_Ports.m_Propose(
        Command, [Done](const absl::StatusOr<wire::WorkloadResult> &Result) {
          Done(Result.status());
        });
    return;
  }
  const raft::MembershipChangeKind RaftKind =
      Change.m_Kind == Kind::AddLearner
          ? raft::MembershipChangeKind::AddLearner
          : (Change.m_Kind == Kind::Promote
                 ? raft::MembershipChangeKind::PromoteLearner
                 : raft::MembershipChangeKind::RemoveReplica);
  m_Ports.m_ChangeMembership(RaftKind, Change.m_Replica, Done);
}

// One read of the replicated log confirms the leadership for all requests that
// arrived before it.
void LeaderDuties::confirmIfDue() {
  const TimePoint Now = m_Ports.m_Now();
  if (m_ConfirmInFlight || Now < m_NextConfirm ||
      (m_Syncs.empty() && m_Watchers.empty()))
    return;
  m_ConfirmInFlight = true;
  m_NextConfirm = Now + m_Options.m_ConfirmInterval;
  m_Sessions.beginConfirm();
  for (auto &[Entry, Client] : m_Watchers)
    Client.m_Confirm.begin();
  m_Ports.m_Read(
      [Weak = weak_from_this(), Epoch = m_Epoch](const absl::Status &Status) {
        auto Self = Weak.lock();
        if (!Self || Self->m_Epoch != Epoch)
          return;
        Self->m_ConfirmInFlight = false;
        if (!Status.ok())
          return;
        Self->m_Sessions.confirm();
        for (auto &[Entry, Client] : Self->m_Watchers)
          Client.m_Confirm.confirm();
      });
}

void LeaderDuties::answerAgents() {
  for (dispatch::WorkerSessions::Answer &Each :
       m_Sessions.poll(m_Ports.m_State(), m_Ports.m_Now())) {
    auto Node = m_Syncs.extract({Each.m_Agent, Each.m_Sequence});
    if (Node.empty())
      continue;
    Each.m_Reply.group = m_Ports.m_GroupView();
    Node.mapped()(std::move(Each.m_Reply));
  }
}

wire::EntryWatchReply
LeaderDuties::makeWatchReply(const Watcher &Client) const {
  const workload::WorkloadState &State = m_Ports.m_State();
  wire::EntryWatchReply Reply;
  Reply.group = m_Ports.m_GroupView();
  Reply.isLeader = true;
  Reply.confirmedSequence = Client.m_Confirm.confirmed();
  Reply.policyChanged = State.policy().version > Client.m_Latest.policyVersion;
  if (Reply.policyChanged) {
    Reply.policy = State.policy();
    Reply.policy.source.clear();
  }
  for (const auto &[Queue, Count] : State.pendingByQueue()) {
    wire::QueuePending Pending;
    Pending.queue = Queue;
    Pending.pending = Count;
    Reply.pending.push_back(std::move(Pending));
  }
  return Reply;
}

void LeaderDuties::answerWatchers() {
  const TimePoint Now = m_Ports.m_Now();
  for (auto It = m_Watchers.begin(); It != m_Watchers.end();) {
    Watcher &Client = It->second;
    const bool Changed =
        m_Ports.m_State().policy().version > Client.m_Latest.policyVersion;
    const bool DelayOver =
        Now >= Client.m_LastRequestAt + m_Options.m_MaxWatchDelay;
    if (!Client.m_Waiting.empty() &&
        (Changed || DelayOver || Client.m_Waiting.size() > 1)) {
      const wire::EntryWatchReply Reply = makeWatchReply(Client);
      const auto Waiting = std::exchange(Client.m_Waiting, {});
      for (const auto &[Sequence, Done] : Waiting)
        Done(Reply);
    }
    const bool Silent = Now - Client.m_LastRequestAt > ForgetWatcherAfter;
    It = Silent ? m_Watchers.erase(It) : std::next(It);
  }
}

void LeaderDuties::armTimer() {
  const TimePoint Now = m_Ports.m_Now();
  TimePoint Next = std::min(m_Sessions.nextDeadline(Now), Now + MaxPause);
  if (m_PlanInFlight == 0)
    Next = std::min(Next, m_Pacer.nextPlan());
  for (const auto &[Entry, Client] : m_Watchers)
    if (!Client.m_Waiting.empty())
      Next = std::min(Next, Client.m_LastRequestAt + m_Options.m_MaxWatchDelay);
  m_Timer.expires_after(std::max<Duration>(Next - Now, MinPause));
  m_Timer.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Error) {
        auto Self = Weak.lock();
        if (!Error && Self && Self->m_Active)
          Self->tick();
      });
}

} // namespace anvil::node::internal
