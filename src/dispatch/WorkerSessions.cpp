#include "anvil/dispatch/WorkerSessions.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

#include "Durations.h"

namespace anvil::dispatch {

namespace {

wire::RunRef makeRunRef(const wire::TaskRef &Task, int64_t Run) {
  wire::RunRef Ref;
  Ref.task = Task;
  Ref.run = Run;
  return Ref;
}

bool contains(const std::vector<wire::RunRef> &Refs, const wire::TaskRef &Task,
              int64_t Run) {
  return std::any_of(Refs.begin(), Refs.end(), [&](const wire::RunRef &Each) {
    return Each.task == Task && Each.run == Run;
  });
}

} // namespace

void WorkerSessions::reset(TimePoint Now) {
  m_Sessions.clear();
  m_LiveWorkers.clear();
  m_LastLeaseGrant.clear();
  m_LossProposed.clear();
  m_FormerSince.clear();
  m_LeadingSince = Now;
}

std::vector<wire::WorkloadCommand>
WorkerSessions::receive(const wire::WorkerSyncRequest &Request,
                        const workload::WorkloadState &State, TimePoint Now) {
  std::vector<wire::WorkloadCommand> Commands;
  Session &AgentSession = m_Sessions[Request.agentIncarnation];
  AgentSession.m_UnansweredSyncs[Request.sequence] = Now;
  AgentSession.m_MayHaveUpdates = true;
  AgentSession.m_LastSyncAt = Now;
  if (Request.sequence < AgentSession.m_HighestSequence)
    return Commands;
  AgentSession.m_HighestSequence = Request.sequence;
  AgentSession.m_Latest = Request;
  updateLiveWorker(Request, Now);
  if (Request.info.incarnation.id.empty()) {
    if (!Request.endedIncarnation.id.empty() &&
        State.worker(Request.endedIncarnation))
      proposeLoss(Request.endedIncarnation, "its agent saw that it ended",
                  Request.unaccountedRuns, Commands);
    return Commands;
  }
  proposeRegistration(AgentSession, State, Commands);
  proposeEnds(AgentSession, Commands);
  proposeFormerLosses(AgentSession, State, Commands);
  return Commands;
}

void WorkerSessions::updateLiveWorker(const wire::WorkerSyncRequest &Request,
                                      TimePoint Now) {
  if (Request.info.incarnation.id.empty())
    return;
  LiveWorker &Live = m_LiveWorkers[keyOf(Request.info.incarnation)];
  Live.m_Agent = Request.agentIncarnation;
  Live.m_LastSyncAt = Now;
  Live.m_Draining = Request.draining;
  Live.m_LeavesAt = Now + std::chrono::milliseconds(Request.remainingMs);
  Live.m_HasRunList = Request.runsListed;
  Live.m_LastReplyAt = Now - std::chrono::milliseconds(Request.silentMs);
  if (Request.runsListed)
    Live.m_Runs = Request.runs;
}

void WorkerSessions::proposeLoss(const wire::WorkerIncarnation &Incarnation,
                                 std::string_view Reason,
                                 const std::vector<wire::RunRef> &Retained,
                                 std::vector<wire::WorkloadCommand> &Commands) {
  if (!m_LossProposed.insert(keyOf(Incarnation)).second)
    return;
  const LiveWorker *Last = findLive(Incarnation);
  wire::LoseWorker Lose;
  Lose.incarnation = Incarnation;
  Lose.reason = std::string(Reason);
  Lose.retainedRuns = Retained;
  if (Last)
    Lose.lastKnownRuns = Last->m_Runs;
  wire::WorkloadCommand Command;
  Command.__set_loseWorker(Lose);
  Commands.push_back(std::move(Command));
}

// Proposes the end of the runs of the worker's former incarnations, but for the
// retained runs: those that the agent lists or whose end it reports. The other
// runs can't start any more, since the worker has the current fencing token and
// rejects orders with an older one.
void WorkerSessions::proposeFormerLosses(
    const Session &AgentSession, const workload::WorkloadState &State,
    std::vector<wire::WorkloadCommand> &Commands) {
  const wire::WorkerSyncRequest &Request = AgentSession.m_Latest;
  const wire::WorkerRecord *Known = State.worker(Request.info.incarnation);
  if (!Request.runsListed || !Known ||
      Known->fencingToken != Request.fencingToken)
    return;
  for (const auto &[Key, Former] : State.formerWorkers()) {
    if (!(Former.successor == Request.info.incarnation))
      continue;
    const std::vector<workload::WantedRun> Wanted =
        State.wantedRuns(Former.info.incarnation);
    std::vector<wire::RunRef> Retained;
    for (const workload::WantedRun &Each : Wanted) {
      const auto Matches = [&](const auto &Named) {
        return Named.task == Each.m_Task && Named.run == Each.m_Run;
      };
      if (std::any_of(Request.runs.begin(), Request.runs.end(), Matches) ||
          std::any_of(Request.ends.begin(), Request.ends.end(), Matches))
        Retained.push_back(makeRunRef(Each.m_Task, Each.m_Run));
    }
    if (Retained.size() < Wanted.size())
      proposeLoss(Former.info.incarnation, "its successor does not run it",
                  Retained, Commands);
  }
}

// An incarnation gets a new fencing token if it is not registered, if another
// incarnation of the agent registered it, or if the agent reports a token other
// than 0 that differs from the registered one.
void WorkerSessions::proposeRegistration(
    Session &AgentSession, const workload::WorkloadState &State,
    std::vector<wire::WorkloadCommand> &Commands) {
  const wire::WorkerRecord *Known =
      State.worker(AgentSession.m_Latest.info.incarnation);
  const bool Registered =
      Known &&
      Known->agentIncarnation == AgentSession.m_Latest.agentIncarnation &&
      (AgentSession.m_Latest.fencingToken == 0 ||
       AgentSession.m_Latest.fencingToken == Known->fencingToken);
  if (Registered || AgentSession.m_RegistrationProposed)
    return;
  AgentSession.m_RegistrationProposed = true;
  wire::RegisterWorker Register;
  Register.info = AgentSession.m_Latest.info;
  Register.agentIncarnation = AgentSession.m_Latest.agentIncarnation;
  wire::WorkloadCommand Command;
  Command.__set_registerWorker(Register);
  Commands.push_back(std::move(Command));
}

void WorkerSessions::proposeEnds(Session &AgentSession,
                                 std::vector<wire::WorkloadCommand> &Commands) {
  wire::EndRuns Ends;
  Ends.worker = AgentSession.m_Latest.info.incarnation;
  for (size_t I = 0; I < AgentSession.m_Latest.ends.size(); ++I) {
    const int64_t Number =
        AgentSession.m_Latest.firstEndNumber + static_cast<int64_t>(I);
    if (Number <= AgentSession.m_ProposedEndNumber)
      continue;
    AgentSession.m_ProposedEndNumber = Number;
    Ends.ends.push_back(AgentSession.m_Latest.ends[I]);
  }
  if (Ends.ends.empty())
    return;
  Ends.agentIncarnation = AgentSession.m_Latest.agentIncarnation;
  Ends.lastEndNumber = AgentSession.m_ProposedEndNumber;
  wire::WorkloadCommand Command;
  Command.__set_endRuns(Ends);
  Commands.push_back(std::move(Command));
}

void WorkerSessions::commandDone(const wire::WorkloadCommand &Command,
                                 bool Committed) {
  if (Command.__isset.loseWorker) {
    m_LossProposed.erase(keyOf(Command.loseWorker.incarnation));
    if (Committed && Command.loseWorker.retainedRuns.empty())
      m_LiveWorkers.erase(keyOf(Command.loseWorker.incarnation));
    return;
  }
  if (Command.__isset.registerWorker) {
    const auto It = m_Sessions.find(Command.registerWorker.agentIncarnation);
    if (It != m_Sessions.end()) {
      It->second.m_RegistrationProposed = false;
      It->second.m_MayHaveUpdates = true;
    }
    return;
  }
  if (!Command.__isset.endRuns)
    return;
  const auto It = m_Sessions.find(Command.endRuns.agentIncarnation);
  if (It == m_Sessions.end())
    return;
  Session &AgentSession = It->second;
  AgentSession.m_MayHaveUpdates = true;
  if (Committed)
    AgentSession.m_CommittedEndNumber = std::max(
        AgentSession.m_CommittedEndNumber, Command.endRuns.lastEndNumber);
  else
    AgentSession.m_ProposedEndNumber = AgentSession.m_CommittedEndNumber;
}

wire::WorkerSyncReply
WorkerSessions::makeReply(const Session &AgentSession,
                          const workload::WorkloadState &State) const {
  wire::WorkerSyncReply Reply;
  Reply.isLeader = true;
  Reply.confirmedSequence = AgentSession.m_ConfirmedSequence;
  Reply.acknowledgedEndNumber = AgentSession.m_CommittedEndNumber;
  const wire::WorkerSyncRequest &Request = AgentSession.m_Latest;
  const wire::WorkerRecord *Known = State.worker(Request.info.incarnation);
  if (!Known || Known->agentIncarnation != Request.agentIncarnation)
    return Reply;
  Reply.registered = Known->info.incarnation;
  Reply.fencingToken = Known->fencingToken;
  if (!Request.runsListed || Request.fencingToken != Known->fencingToken)
    return Reply;

  addOrders(Request, State, Reply);
  return Reply;
}

// The orders are the difference between the runs that the state wants and those
// that the agent lists, computed anew for each answer. The orders sent last are
// recorded only for hasUpdates(), which decides whether to answer at once.
void WorkerSessions::addOrders(const wire::WorkerSyncRequest &Request,
                               const workload::WorkloadState &State,
                               wire::WorkerSyncReply &Reply) const {
  const std::vector<workload::WantedRun> Wanted =
      State.wantedRuns(Request.info.incarnation);
  for (const workload::WantedRun &Each : Wanted) {
    const auto Matches = [&](const auto &Listed) {
      return Listed.task == Each.m_Task && Listed.run == Each.m_Run;
    };
    const bool Listed =
        std::any_of(Request.runs.begin(), Request.runs.end(), Matches);
    const bool Ended =
        std::any_of(Request.ends.begin(), Request.ends.end(), Matches);
    if (Ended || (Listed && !Each.m_Stop))
      continue;
    if (Each.m_Stop)
      Reply.stops.push_back(makeRunRef(Each.m_Task, Each.m_Run));
    if (Listed)
      continue;
    // If the run is to stop and the agent does not list it, the start goes
    // along with the stop: only the agent knows whether it has sent the order
    // to the worker, and it reports the end of the run.
    wire::RunOrder Order;
    Order.task = Each.m_Task;
    Order.run = Each.m_Run;
    Order.payload = State.job(Each.m_Task.jobId)->spec.payload;
    Order.checkpoint = State.task(Each.m_Task)->checkpoint;
    Reply.starts.push_back(std::move(Order));
  }
  for (const wire::RunStatus &Listed : Request.runs) {
    const bool Expected = std::any_of(
        Wanted.begin(), Wanted.end(), [&](const workload::WantedRun &Each) {
          return Listed.task == Each.m_Task && Listed.run == Each.m_Run;
        });
    if (!Expected)
      Reply.stops.push_back(makeRunRef(Listed.task, Listed.run));
  }
}

bool WorkerSessions::hasUpdates(const Session &AgentSession,
                                const wire::WorkerSyncReply &Reply) {
  if (Reply.acknowledgedEndNumber > AgentSession.m_SentEndNumber)
    return true;
  if (Reply.fencingToken != AgentSession.m_Latest.fencingToken &&
      !AgentSession.m_RegistrationProposed)
    return true;
  for (const wire::RunOrder &Each : Reply.starts)
    if (!contains(AgentSession.m_SentStarts, Each.task, Each.run))
      return true;
  for (const wire::RunRef &Each : Reply.stops)
    if (!contains(AgentSession.m_SentStops, Each.task, Each.run))
      return true;
  return false;
}

void WorkerSessions::recordSentReply(Session &AgentSession,
                                     const wire::WorkerSyncReply &Reply) {
  AgentSession.m_SentEndNumber = Reply.acknowledgedEndNumber;
  AgentSession.m_SentStops = Reply.stops;
  AgentSession.m_SentStarts.clear();
  for (const wire::RunOrder &Each : Reply.starts)
    AgentSession.m_SentStarts.push_back(makeRunRef(Each.task, Each.run));
}

std::vector<WorkerSessions::Answer>
WorkerSessions::poll(const workload::WorkloadState &State, TimePoint Now) {
  std::vector<Answer> Answers;
  removeSilentSessions(Now);
  for (auto &[Agent, AgentSession] : m_Sessions) {
    if (AgentSession.m_UnansweredSyncs.empty() || !mayAnswer(AgentSession, Now))
      continue;
    AgentSession.m_MayHaveUpdates = false;
    const wire::WorkerSyncReply Reply = makeReply(AgentSession, State);
    const bool HasUpdates = hasUpdates(AgentSession, Reply);
    bool Sent = false;
    bool SentOrders = false;
    for (auto It = AgentSession.m_UnansweredSyncs.begin();
         It != AgentSession.m_UnansweredSyncs.end();) {
      const bool Replaced = It->first < AgentSession.m_HighestSequence;
      const bool Overdue = Now >= It->second + m_Options.m_MaxReplyDelay;
      if (!Replaced && !Overdue && !HasUpdates) {
        ++It;
        continue;
      }
      Answers.push_back({Agent, It->first, Reply});
      // Only the answer to the latest sync carries orders.
      if (Replaced) {
        Answers.back().m_Reply.starts.clear();
        Answers.back().m_Reply.stops.clear();
      }
      Sent = true;
      SentOrders = SentOrders || !Replaced;
      It = AgentSession.m_UnansweredSyncs.erase(It);
    }
    if (!Sent)
      continue;
    if (SentOrders)
      recordSentReply(AgentSession, Reply);
    if (!AgentSession.m_Latest.info.incarnation.id.empty())
      m_LastLeaseGrant[AgentSession.m_Latest.info.incarnation.id] = Now;
  }
  return Answers;
}

// Making an answer walks all runs of the worker, so it is made only if it may
// have to be sent.
bool WorkerSessions::mayAnswer(const Session &AgentSession,
                               TimePoint Now) const {
  const auto &[Oldest, Since] = *AgentSession.m_UnansweredSyncs.begin();
  return AgentSession.m_MayHaveUpdates ||
         Oldest < AgentSession.m_HighestSequence ||
         Now >= Since + m_Options.m_MaxReplyDelay;
}

void WorkerSessions::observe(const workload::WorkloadEvent &Event) {
  if (const auto *Placed = std::get_if<workload::RunPlaced>(&Event))
    markForUpdate(Placed->m_Worker);
  else if (const auto *Stopping = std::get_if<workload::RunStopping>(&Event))
    markForUpdate(Stopping->m_Worker);
  else if (const auto *Ended = std::get_if<workload::RunEnded>(&Event))
    markForUpdate(Ended->m_Worker);
  else if (const auto *Worker = std::get_if<workload::WorkerChanged>(&Event))
    markForUpdate(Worker->m_Incarnation);
}

void WorkerSessions::markForUpdate(const wire::WorkerIncarnation &Incarnation) {
  const auto Live = m_LiveWorkers.find(keyOf(Incarnation));
  if (Live == m_LiveWorkers.end())
    return;
  const auto It = m_Sessions.find(Live->second.m_Agent);
  if (It != m_Sessions.end())
    It->second.m_MayHaveUpdates = true;
}

void WorkerSessions::removeSilentSessions(TimePoint Now) {
  for (auto It = m_Sessions.begin(); It != m_Sessions.end();) {
    const bool Silent =
        Now - It->second.m_LastSyncAt > m_Options.m_SessionTimeout;
    It = Silent ? m_Sessions.erase(It) : std::next(It);
  }
}

void WorkerSessions::beginConfirm() {
  for (auto &[Agent, AgentSession] : m_Sessions)
    AgentSession.m_ConfirmingSequence = AgentSession.m_HighestSequence;
}

void WorkerSessions::confirm() {
  for (auto &[Agent, AgentSession] : m_Sessions)
    AgentSession.m_ConfirmedSequence = std::max(
        AgentSession.m_ConfirmedSequence, AgentSession.m_ConfirmingSequence);
}

TimePoint WorkerSessions::leaseEnd(const std::string &WorkerId) const {
  const auto It = m_LastLeaseGrant.find(WorkerId);
  const TimePoint Granted =
      It == m_LastLeaseGrant.end() ? m_LeadingSince : It->second;
  return Granted + maxLeaseSpan();
}

Duration WorkerSessions::maxLeaseSpan() const {
  return internal::scaled(m_Options.m_LeaseSpan, 1 + m_Options.m_ClockError) +
         m_Options.m_TimerSlack;
}

std::vector<wire::WorkloadCommand>
WorkerSessions::expireLeases(const workload::WorkloadState &State,
                             TimePoint Now) {
  std::vector<wire::WorkloadCommand> Commands;
  for (const auto &[Id, Worker] : State.workers())
    if (Now >= leaseEnd(Id))
      proposeLoss(Worker.info.incarnation, "its last lease is over", {},
                  Commands);
  // The successor of a former incarnation may never register, so the runs of
  // the former one are given up after the time of a lease as well.
  for (const auto &[Key, Former] : State.formerWorkers()) {
    const TimePoint Since = m_FormerSince.emplace(Key, Now).first->second;
    if (Now >= Since + maxLeaseSpan())
      proposeLoss(Former.info.incarnation, "no successor spoke for it", {},
                  Commands);
  }
  for (auto It = m_FormerSince.begin(); It != m_FormerSince.end();)
    It = State.formerWorkers().contains(It->first) ? std::next(It)
                                                   : m_FormerSince.erase(It);
  return Commands;
}

const LiveWorker *
WorkerSessions::findLive(const wire::WorkerIncarnation &Incarnation) const {
  const auto It = m_LiveWorkers.find(keyOf(Incarnation));
  return It == m_LiveWorkers.end() ? nullptr : &It->second;
}

bool WorkerSessions::usable(const wire::WorkerRecord &Worker,
                            TimePoint Now) const {
  const LiveWorker *Live = findLive(Worker.info.incarnation);
  return Live && Live->m_Agent == Worker.agentIncarnation &&
         Live->m_HasRunList && !Live->m_Draining &&
         Now - Live->m_LastSyncAt < m_Options.m_MaxSyncAge &&
         Now - Live->m_LastReplyAt < 3 * m_Options.m_MaxSyncAge;
}

TimePoint WorkerSessions::nextDeadline(TimePoint Now) const {
  TimePoint Next = Now + std::chrono::milliseconds(500);
  for (const auto &[Agent, AgentSession] : m_Sessions)
    for (const auto &[Sequence, ReceivedAt] : AgentSession.m_UnansweredSyncs)
      Next = std::min(Next, ReceivedAt + m_Options.m_MaxReplyDelay);
  return Next;
}

} // namespace anvil::dispatch
