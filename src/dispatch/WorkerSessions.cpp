#include "anvil/dispatch/WorkerSessions.h"

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"

namespace anvil::dispatch {

namespace {

wire::RunRef runName(const wire::TaskRef &Task, int64_t Run) {
  wire::RunRef Name;
  Name.task = Task;
  Name.run = Run;
  return Name;
}

bool contains(const std::vector<wire::RunRef> &Names, const wire::TaskRef &Task,
              int64_t Run) {
  return std::any_of(Names.begin(), Names.end(), [&](const wire::RunRef &Each) {
    return Each.task == Task && Each.run == Run;
  });
}

} // namespace

void WorkerSessions::reset(TimePoint Now) {
  m_Sessions.clear();
  m_Live.clear();
  m_LastGrant.clear();
  m_LossProposed.clear();
  m_FormerSince.clear();
  m_LeadingSince = Now;
}

std::vector<wire::WorkloadCommand>
WorkerSessions::receive(const wire::WorkerSyncRequest &Request,
                        const workload::WorkloadState &State, TimePoint Now) {
  std::vector<wire::WorkloadCommand> Commands;
  Session &Of = m_Sessions[Request.agentIncarnation];
  Of.m_Waiting[Request.sequence] = Now;
  Of.m_MayHaveNews = true;
  Of.m_HeardAt = Now;
  if (Request.sequence < Of.m_HighestSequence)
    return Commands;
  Of.m_HighestSequence = Request.sequence;
  Of.m_Latest = Request;
  noteLive(Request, Now);
  if (Request.info.incarnation.id.empty()) {
    if (!Request.endedIncarnation.id.empty() &&
        State.worker(Request.endedIncarnation))
      proposeLoss(Request.endedIncarnation, "its agent saw that it ended",
                  Request.unansweredOrders, Commands);
    return Commands;
  }
  proposeRegistration(Of, State, Commands);
  proposeEnds(Of, Commands);
  proposeFormerLosses(Of, State, Commands);
  return Commands;
}

void WorkerSessions::noteLive(const wire::WorkerSyncRequest &Request,
                              TimePoint Now) {
  if (Request.info.incarnation.id.empty())
    return;
  LiveWorker &Live = m_Live[keyOf(Request.info.incarnation)];
  Live.m_Agent = Request.agentIncarnation;
  Live.m_HeardAt = Now;
  Live.m_Draining = Request.draining;
  Live.m_LeavesAt = Now + std::chrono::milliseconds(Request.remainingMs);
  Live.m_Listed = Request.runsListed;
  Live.m_AnsweredAt = Now - std::chrono::milliseconds(Request.silentMs);
  if (Request.runsListed)
    Live.m_Runs = Request.runs;
}

void WorkerSessions::proposeLoss(const wire::WorkerIncarnation &Life,
                                 std::string_view Reason,
                                 const std::vector<wire::RunRef> &Keep,
                                 std::vector<wire::WorkloadCommand> &Commands) {
  if (!m_LossProposed.insert(keyOf(Life)).second)
    return;
  const LiveWorker *Last = live(Life);
  wire::LoseWorker Lose;
  Lose.incarnation = Life;
  Lose.reason = std::string(Reason);
  Lose.retainedRuns = Keep;
  if (Last)
    Lose.lastKnownRuns = Last->m_Runs;
  wire::WorkloadCommand Command;
  Command.__set_loseWorker(Lose);
  Commands.push_back(std::move(Command));
}

// A run of a former life is over once its successor was fenced and does not
// list it: no order of the former life has an effect there any more.
void WorkerSessions::proposeFormerLosses(
    const Session &Of, const workload::WorkloadState &State,
    std::vector<wire::WorkloadCommand> &Commands) {
  const wire::WorkerSyncRequest &Request = Of.m_Latest;
  const wire::WorkerRecord *Known = State.worker(Request.info.incarnation);
  if (!Request.runsListed || !Known ||
      Known->fencingToken != Request.fencingToken)
    return;
  for (const auto &[Key, Former] : State.formerWorkers()) {
    if (!(Former.successor == Request.info.incarnation))
      continue;
    const std::vector<workload::WantedRun> Wanted =
        State.wantedRuns(Former.info.incarnation);
    std::vector<wire::RunRef> Keep;
    for (const workload::WantedRun &Each : Wanted) {
      const auto Is = [&](const auto &Named) {
        return Named.task == Each.m_Task && Named.run == Each.m_Run;
      };
      if (std::any_of(Request.runs.begin(), Request.runs.end(), Is) ||
          std::any_of(Request.ends.begin(), Request.ends.end(), Is))
        Keep.push_back(runName(Each.m_Task, Each.m_Run));
    }
    if (Keep.size() < Wanted.size())
      proposeLoss(Former.info.incarnation, "its successor does not run it",
                  Keep, Commands);
  }
}

// A life that is not registered, or that another life of the agent registered,
// gets a new fencing token.
void WorkerSessions::proposeRegistration(
    Session &Of, const workload::WorkloadState &State,
    std::vector<wire::WorkloadCommand> &Commands) {
  const wire::WorkerRecord *Known = State.worker(Of.m_Latest.info.incarnation);
  const bool Registered =
      Known && Known->agentIncarnation == Of.m_Latest.agentIncarnation &&
      (Of.m_Latest.fencingToken == 0 ||
       Of.m_Latest.fencingToken == Known->fencingToken);
  if (Registered || Of.m_RegistrationProposed)
    return;
  Of.m_RegistrationProposed = true;
  wire::RegisterWorker Register;
  Register.info = Of.m_Latest.info;
  Register.agentIncarnation = Of.m_Latest.agentIncarnation;
  wire::WorkloadCommand Command;
  Command.__set_registerWorker(Register);
  Commands.push_back(std::move(Command));
}

void WorkerSessions::proposeEnds(Session &Of,
                                 std::vector<wire::WorkloadCommand> &Commands) {
  wire::EndRuns Ends;
  Ends.worker = Of.m_Latest.info.incarnation;
  for (size_t I = 0; I < Of.m_Latest.ends.size(); ++I) {
    const int64_t Number = Of.m_Latest.firstEndNumber + static_cast<int64_t>(I);
    if (Number <= Of.m_ProposedEnd)
      continue;
    Of.m_ProposedEnd = Number;
    Ends.ends.push_back(Of.m_Latest.ends[I]);
  }
  if (Ends.ends.empty())
    return;
  Ends.agentIncarnation = Of.m_Latest.agentIncarnation;
  Ends.lastEndNumber = Of.m_ProposedEnd;
  wire::WorkloadCommand Command;
  Command.__set_endRuns(Ends);
  Commands.push_back(std::move(Command));
}

void WorkerSessions::commandDone(const wire::WorkloadCommand &Command,
                                 bool Committed) {
  if (Command.__isset.loseWorker) {
    m_LossProposed.erase(keyOf(Command.loseWorker.incarnation));
    if (Committed && Command.loseWorker.retainedRuns.empty())
      m_Live.erase(keyOf(Command.loseWorker.incarnation));
    return;
  }
  if (Command.__isset.registerWorker) {
    const auto It = m_Sessions.find(Command.registerWorker.agentIncarnation);
    if (It != m_Sessions.end()) {
      It->second.m_RegistrationProposed = false;
      It->second.m_MayHaveNews = true;
    }
    return;
  }
  if (!Command.__isset.endRuns)
    return;
  const auto It = m_Sessions.find(Command.endRuns.agentIncarnation);
  if (It == m_Sessions.end())
    return;
  Session &Of = It->second;
  Of.m_MayHaveNews = true;
  if (Committed)
    Of.m_DurableEnd = std::max(Of.m_DurableEnd, Command.endRuns.lastEndNumber);
  else
    Of.m_ProposedEnd = Of.m_DurableEnd;
}

wire::WorkerSyncReply
WorkerSessions::makeReply(const Session &Of,
                          const workload::WorkloadState &State) const {
  wire::WorkerSyncReply Reply;
  Reply.isLeader = true;
  Reply.confirmedSequence = Of.m_ConfirmedSequence;
  Reply.acknowledgedEndNumber = Of.m_DurableEnd;
  const wire::WorkerSyncRequest &Request = Of.m_Latest;
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

// Orders follow from the difference between what the state wants and what the
// agent lists, so nothing has to be remembered about them.
void WorkerSessions::addOrders(const wire::WorkerSyncRequest &Request,
                               const workload::WorkloadState &State,
                               wire::WorkerSyncReply &Reply) const {
  const std::vector<workload::WantedRun> Wanted =
      State.wantedRuns(Request.info.incarnation);
  for (const workload::WantedRun &Each : Wanted) {
    const auto Is = [&](const auto &Listed) {
      return Listed.task == Each.m_Task && Listed.run == Each.m_Run;
    };
    const bool Listed =
        std::any_of(Request.runs.begin(), Request.runs.end(), Is);
    const bool Ended =
        std::any_of(Request.ends.begin(), Request.ends.end(), Is);
    if (Ended || (Listed && !Each.m_Stop))
      continue;
    if (Each.m_Stop)
      Reply.stops.push_back(runName(Each.m_Task, Each.m_Run));
    if (Listed)
      continue;
    // A run that is to be stopped before it was ordered is given back by the
    // agent, which alone can tell that no order was sent.
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
      Reply.stops.push_back(runName(Listed.task, Listed.run));
  }
}

bool WorkerSessions::hasNews(const Session &Of,
                             const wire::WorkerSyncReply &Reply) {
  if (Reply.acknowledgedEndNumber > Of.m_ToldEnd)
    return true;
  if (Reply.fencingToken != Of.m_Latest.fencingToken &&
      !Of.m_RegistrationProposed)
    return true;
  for (const wire::RunOrder &Each : Reply.starts)
    if (!contains(Of.m_ToldStarts, Each.task, Each.run))
      return true;
  for (const wire::RunRef &Each : Reply.stops)
    if (!contains(Of.m_ToldStops, Each.task, Each.run))
      return true;
  return false;
}

void WorkerSessions::noteTold(Session &Of, const wire::WorkerSyncReply &Reply) {
  Of.m_ToldEnd = Reply.acknowledgedEndNumber;
  Of.m_ToldStops = Reply.stops;
  Of.m_ToldStarts.clear();
  for (const wire::RunOrder &Each : Reply.starts)
    Of.m_ToldStarts.push_back(runName(Each.task, Each.run));
}

std::vector<WorkerSessions::Answer>
WorkerSessions::poll(const workload::WorkloadState &State, TimePoint Now) {
  std::vector<Answer> Answers;
  forgetSilent(Now);
  for (auto &[Agent, Of] : m_Sessions) {
    if (Of.m_Waiting.empty() || !mayAnswer(Of, Now))
      continue;
    Of.m_MayHaveNews = false;
    const wire::WorkerSyncReply Reply = makeReply(Of, State);
    const bool News = hasNews(Of, Reply);
    bool Told = false;
    bool ToldOrders = false;
    for (auto It = Of.m_Waiting.begin(); It != Of.m_Waiting.end();) {
      const bool Replaced = It->first < Of.m_HighestSequence;
      const bool Held = Now >= It->second + m_Options.m_AnswerHold;
      if (!Replaced && !Held && !News) {
        ++It;
        continue;
      }
      Answers.push_back({Agent, It->first, Reply});
      // Orders go with the answer to the latest sync only.
      if (Replaced) {
        Answers.back().m_Reply.starts.clear();
        Answers.back().m_Reply.stops.clear();
      }
      Told = true;
      ToldOrders = ToldOrders || !Replaced;
      It = Of.m_Waiting.erase(It);
    }
    if (!Told)
      continue;
    if (ToldOrders)
      noteTold(Of, Reply);
    if (!Of.m_Latest.info.incarnation.id.empty())
      m_LastGrant[Of.m_Latest.info.incarnation.id] = Now;
  }
  return Answers;
}

// Making an answer takes all runs of the worker, so it is made only if there
// may be a reason to send it.
bool WorkerSessions::mayAnswer(const Session &Of, TimePoint Now) const {
  const auto &[Oldest, Since] = *Of.m_Waiting.begin();
  return Of.m_MayHaveNews || Oldest < Of.m_HighestSequence ||
         Now >= Since + m_Options.m_AnswerHold;
}

void WorkerSessions::observe(const workload::WorkloadEvent &Event) {
  if (const auto *Placed = std::get_if<workload::RunPlaced>(&Event))
    noteNewsFor(Placed->m_Worker);
  else if (const auto *Stopping = std::get_if<workload::RunStopping>(&Event))
    noteNewsFor(Stopping->m_Worker);
  else if (const auto *Ended = std::get_if<workload::RunEnded>(&Event))
    noteNewsFor(Ended->m_Worker);
  else if (const auto *Worker = std::get_if<workload::WorkerChanged>(&Event))
    noteNewsFor(Worker->m_Incarnation);
}

void WorkerSessions::noteNewsFor(const wire::WorkerIncarnation &Life) {
  const auto Live = m_Live.find(keyOf(Life));
  if (Live == m_Live.end())
    return;
  const auto It = m_Sessions.find(Live->second.m_Agent);
  if (It != m_Sessions.end())
    It->second.m_MayHaveNews = true;
}

void WorkerSessions::forgetSilent(TimePoint Now) {
  for (auto It = m_Sessions.begin(); It != m_Sessions.end();) {
    const bool Silent = Now - It->second.m_HeardAt > m_Options.m_ForgetAfter;
    It = Silent ? m_Sessions.erase(It) : std::next(It);
  }
}

void WorkerSessions::beginConfirm() {
  for (auto &[Agent, Of] : m_Sessions)
    Of.m_ConfirmingSequence = Of.m_HighestSequence;
}

void WorkerSessions::confirm() {
  for (auto &[Agent, Of] : m_Sessions)
    Of.m_ConfirmedSequence =
        std::max(Of.m_ConfirmedSequence, Of.m_ConfirmingSequence);
}

TimePoint WorkerSessions::leaseOver(const std::string &WorkerId) const {
  const auto It = m_LastGrant.find(WorkerId);
  const TimePoint Granted =
      It == m_LastGrant.end() ? m_LeadingSince : It->second;
  return Granted + leaseSpan();
}

Duration WorkerSessions::leaseSpan() const {
  return std::chrono::duration_cast<Duration>(m_Options.m_LeaseSpan *
                                              (1 + m_Options.m_ClockError)) +
         m_Options.m_LossSlack;
}

std::vector<wire::WorkloadCommand>
WorkerSessions::expireLeases(const workload::WorkloadState &State,
                             TimePoint Now) {
  std::vector<wire::WorkloadCommand> Commands;
  for (const auto &[Id, Worker] : State.workers())
    if (Now >= leaseOver(Id))
      proposeLoss(Worker.info.incarnation, "its last lease is over", {},
                  Commands);
  // The successor of a former life may never come, so its runs are given up
  // after the same time.
  for (const auto &[Key, Former] : State.formerWorkers()) {
    const TimePoint Since = m_FormerSince.emplace(Key, Now).first->second;
    if (Now >= Since + leaseSpan())
      proposeLoss(Former.info.incarnation, "no successor spoke for it", {},
                  Commands);
  }
  for (auto It = m_FormerSince.begin(); It != m_FormerSince.end();)
    It = State.formerWorkers().contains(It->first) ? std::next(It)
                                                   : m_FormerSince.erase(It);
  return Commands;
}

const LiveWorker *
WorkerSessions::live(const wire::WorkerIncarnation &Life) const {
  const auto It = m_Live.find(keyOf(Life));
  return It == m_Live.end() ? nullptr : &It->second;
}

bool WorkerSessions::usable(const wire::WorkerRecord &Worker,
                            TimePoint Now) const {
  const LiveWorker *Live = live(Worker.info.incarnation);
  return Live && Live->m_Agent == Worker.agentIncarnation && Live->m_Listed &&
         !Live->m_Draining && Now - Live->m_HeardAt < m_Options.m_FreshFor &&
         Now - Live->m_AnsweredAt < 3 * m_Options.m_FreshFor;
}

TimePoint WorkerSessions::nextDeadline(TimePoint Now) const {
  TimePoint Next = Now + std::chrono::milliseconds(500);
  for (const auto &[Agent, Of] : m_Sessions)
    for (const auto &[Sequence, At] : Of.m_Waiting)
      Next = std::min(Next, At + m_Options.m_AnswerHold);
  return Next;
}

} // namespace anvil::dispatch
