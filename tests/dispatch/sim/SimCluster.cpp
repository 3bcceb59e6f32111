#include "SimCluster.h"

#include <algorithm>
#include <cmath>

#include "anvil/workload/Amounts.h"
#include "anvil/workload/Policy.h"

namespace anvil::sim {

using runner::CallAnswer;
using runner::CallError;

namespace {

// A step that needs more than this share of the total capacity may run in
// waves.
constexpr double WaveShare = 0.25;
// A job that ends within this many times its objective still earns its late
// weight.
constexpr int LateObjectives = 3;

double shareOf(int64_t Part, int64_t Whole) {
  return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole) : 0;
}

int64_t wavesOf(const wire::StepSpec &Spec,
                const wire::ResourceAmounts &Capacity) {
  const wire::ResourceAmounts Each = workload::countedAmounts(Spec);
  const double Share =
      Spec.tasks *
      std::max({shareOf(Each.milliCores, Capacity.milliCores),
                shareOf(Each.memoryMib, Capacity.memoryMib),
                shareOf(Each.accelerators, Capacity.accelerators)});
  return std::max<int64_t>(1, std::llround(std::ceil(Share / WaveShare)));
}

} // namespace

struct SimCluster::SimAgent {
  std::unique_ptr<runner::Runner> m_Runner;
  /// Grows at each kill and each start, so that callbacks of an earlier
  /// incarnation are ignored.
  uint64_t m_Incarnation = 0;
  bool m_Up = true;
  bool m_Partitioned = false;
  std::weak_ptr<Leader> m_StaleLeader;
  uint64_t m_Timer = 0;
  bool m_Draining = false;
  TimePoint m_LeavesAt;
  int64_t m_Announcements = 0;
};

struct SimCluster::Leader {
  Leader(const SimClusterOptions &Options, uint64_t Term)
      : m_Term(Term), m_Sessions(sessionOptions(Options)),
        m_Dispatcher(dispatchOptions(Options)) {}

  static dispatch::SessionOptions
  sessionOptions(const SimClusterOptions &Options) {
    dispatch::SessionOptions Result;
    Result.m_LeaseSpan = Options.m_LeaseSpan;
    return Result;
  }
  static dispatch::DispatchOptions
  dispatchOptions(const SimClusterOptions &Options) {
    dispatch::DispatchOptions Result;
    Result.m_RemotePenalty = Options.m_WorkerOptions.m_RemotePenalty;
    Result.m_OnLostWork = Options.m_OnLostWork;
    Result.m_LearnSpeeds = Options.m_LearnSpeeds;
    Result.m_OnWorkerSpeed = Options.m_OnWorkerSpeed;
    Result.m_FairShare = Options.m_FairShare;
    Result.m_OnShareYielded = Options.m_OnShareYielded;
    return Result;
  }

  uint64_t m_Term;
  bool m_Stopped = false;
  workload::WorkloadState m_State;
  dispatch::WorkerSessions m_Sessions;
  dispatch::Dispatcher m_Dispatcher;
  int m_CommandsInFlight = 0;
  TimePoint m_NextConfirm;
  std::map<std::pair<std::string, int64_t>,
           std::function<void(wire::WorkerSyncReply)>>
      m_PendingSyncs;
};

Duration JobResult::objective(double SlackFactor, Duration LatencyTarget,
                              const wire::ResourceAmounts &Capacity) const {
  std::vector<Duration> Ends;
  Duration Longest{0};
  for (size_t Step = 0; Step < m_Plan->m_Spec.steps.size(); ++Step) {
    const wire::StepSpec &Spec = m_Plan->m_Spec.steps[Step];
    Duration Begin{0};
    for (const int32_t Earlier : Spec.dependsOn)
      Begin = std::max(Begin, Ends[static_cast<size_t>(Earlier)]);
    const auto &Work = m_Plan->m_Work[Step];
    Ends.push_back(Begin + *std::max_element(Work.begin(), Work.end()) *
                               wavesOf(Spec, Capacity));
    Longest = std::max(Longest, Ends.back());
  }
  return std::chrono::duration_cast<Duration>(Longest * SlackFactor) +
         LatencyTarget;
}

double JobResult::earnedShare(Duration Objective) const {
  if (m_Phase != wire::JobPhase::COMPLETED &&
      !(m_Plan->m_AlwaysFails && m_Phase == wire::JobPhase::FAILED))
    return 0;
  const Duration Took = m_EndedAt - m_SentAt;
  if (Took <= Objective)
    return 1;
  return Took <= LateObjectives * Objective ? m_Plan->m_LateWeight : 0;
}

SimCluster::SimCluster(const SimClusterOptions &Options,
                       wire::PolicyDocument Policy,
                       std::vector<wire::WorkerInfo> Workers)
    : m_Options(Options), m_Random(Options.m_Seed),
      m_Workers(m_Queue, m_Random, Options.m_WorkerOptions, m_Checker),
      m_Policy(std::move(Policy)) {
  wire::PutPolicy Put;
  Put.document = m_Policy;
  wire::WorkloadCommand Command;
  Command.__set_putPolicy(Put);
  m_Log.push_back(Command);
  for (wire::WorkerInfo &Info : Workers) {
    const size_t Index = m_Workers.size();
    Info.agentAddress = "agent-" + std::to_string(Index);
    workload::add(m_TotalCapacity, Info.capacity);
    m_Workers.add(Info, m_Random.between(0.98, 1.0));
    m_Agents.push_back(std::make_unique<SimAgent>());
    startAgent(Index);
    announce(Index, true);
  }
  m_Leader = makeLeader();
}

SimCluster::~SimCluster() = default;

// ---- leaders ----

std::shared_ptr<SimCluster::Leader> SimCluster::makeLeader() {
  auto NewLeader = std::make_shared<Leader>(m_Options, ++m_Term);
  for (size_t I = 0; I < m_Log.size(); ++I)
    NewLeader->m_State.apply(m_Log[I], static_cast<int64_t>(I + 1));
  NewLeader->m_State.setEventHook([this, Term = m_Term, Raw = NewLeader.get()](
                                      const workload::WorkloadEvent &Event) {
    Raw->m_Dispatcher.observe(Event, Raw->m_State, m_Queue.now());
    Raw->m_Sessions.observe(Event);
    traceEvent(Event, Term);
  });
  trace("leader of term " + std::to_string(m_Term));
  NewLeader->m_Sessions.reset(m_Queue.now());
  NewLeader->m_Dispatcher.reset(m_Queue.now());
  m_Queue.after(Duration(0), [this, NewLeader] { leaderTick(NewLeader); });
  return NewLeader;
}

void SimCluster::traceEvent(const workload::WorkloadEvent &Event,
                            uint64_t Term) const {
  if (!m_Options.m_Trace)
    return;
  const std::string Prefix = "term " + std::to_string(Term) + " ";
  const auto Run = [](const auto &Each) {
    return workload::nameOf(Each.m_Task) + " run " +
           std::to_string(Each.m_Run) + " on " + Each.m_Worker.id + " ";
  };
  if (const auto *Placed = std::get_if<workload::RunPlaced>(&Event))
    trace(Prefix + "placed " + Run(*Placed));
  else if (const auto *Stopping = std::get_if<workload::RunStopping>(&Event))
    trace(Prefix + "stopping " + Run(*Stopping) + Stopping->m_Reason);
  else if (const auto *Ended = std::get_if<workload::RunEnded>(&Event))
    trace(Prefix + "ended " + Run(*Ended) +
          std::string(workload::nameOf(Ended->m_Kind)) + " " + Ended->m_Detail);
  else if (const auto *Worker = std::get_if<workload::WorkerChanged>(&Event))
    trace(Prefix + (Worker->m_Registered ? "registered " : "lost ") +
          Worker->m_Incarnation.id + " started at " +
          std::to_string(Worker->m_Incarnation.startedAtMs) + " " +
          Worker->m_Reason);
  else if (const auto *Job = std::get_if<workload::JobChanged>(&Event))
    trace(Prefix + "job " + Job->m_Job + " " +
          std::string(workload::nameOf(Job->m_Phase)) + " " + Job->m_Reason);
}

void SimCluster::leaderTick(const std::shared_ptr<Leader> &ActingLeader) {
  if (ActingLeader->m_Stopped)
    return;
  for (const wire::WorkloadCommand &Command :
       ActingLeader->m_Sessions.expireLeases(ActingLeader->m_State,
                                             m_Queue.now()))
    propose(
        ActingLeader, Command,
        [ActingLeader, Command](bool Committed, const wire::WorkloadResult &) {
          ActingLeader->m_Sessions.commandDone(Command, Committed);
        });
  planIfIdle(ActingLeader);
  confirm(ActingLeader);
  for (dispatch::WorkerSessions::Answer &Each :
       ActingLeader->m_Sessions.poll(ActingLeader->m_State, m_Queue.now())) {
    auto Node =
        ActingLeader->m_PendingSyncs.extract({Each.m_Agent, Each.m_Sequence});
    if (!Node.empty())
      Node.mapped()(Each.m_Reply);
  }
  if (ActingLeader->m_Term == m_Term)
    updateResults(*ActingLeader);
  if (m_Options.m_ChecksState && m_StateViolation.empty())
    m_StateViolation = ActingLeader->m_State.findViolation();
  m_Queue.after(std::chrono::milliseconds(10),
                [this, ActingLeader] { leaderTick(ActingLeader); });
}

void SimCluster::propose(
    const std::shared_ptr<Leader> &ActingLeader,
    const wire::WorkloadCommand &Command,
    const std::function<void(bool, const wire::WorkloadResult &)> &Done) {
  m_Queue.after(m_Options.m_CommitDelay, [this, ActingLeader, Command, Done] {
    if (ActingLeader->m_Stopped)
      return;
    if (ActingLeader->m_Term != m_Term) {
      Done(false, {});
      return;
    }
    m_Log.push_back(Command);
    Done(true, ActingLeader->m_State.apply(Command,
                                           static_cast<int64_t>(m_Log.size())));
  });
}

void SimCluster::planIfIdle(const std::shared_ptr<Leader> &ActingLeader) {
  if (ActingLeader->m_CommandsInFlight > 0)
    return;
  for (const wire::WorkloadCommand &Command : ActingLeader->m_Dispatcher.plan(
           ActingLeader->m_State, ActingLeader->m_Sessions, m_Queue.now())) {
    ++ActingLeader->m_CommandsInFlight;
    propose(ActingLeader, Command,
            [ActingLeader](bool, const wire::WorkloadResult &) {
              --ActingLeader->m_CommandsInFlight;
            });
  }
}

void SimCluster::confirm(const std::shared_ptr<Leader> &ActingLeader) {
  if (m_Queue.now() < ActingLeader->m_NextConfirm)
    return;
  ActingLeader->m_NextConfirm = m_Queue.now() + std::chrono::milliseconds(100);
  ActingLeader->m_Sessions.beginConfirm();
  m_Queue.after(std::chrono::milliseconds(4), [this, ActingLeader] {
    if (!ActingLeader->m_Stopped && ActingLeader->m_Term == m_Term)
      ActingLeader->m_Sessions.confirm();
  });
}

void SimCluster::loseLeader(Duration Gap, bool Stale, Duration StaleFor) {
  const std::shared_ptr<Leader> Old = std::exchange(m_Leader, nullptr);
  if (!Old)
    return;
  trace(Stale ? "leader deposed, still answers" : "leader lost");
  ++m_Term;
  if (Stale) {
    for (auto &Each : m_Agents)
      if (m_Random.chance(0.5))
        Each->m_StaleLeader = Old;
    m_Queue.after(StaleFor, [Old] { Old->m_Stopped = true; });
  } else {
    Old->m_Stopped = true;
  }
  m_Queue.after(Gap, [this, Old] {
    if (!m_Leader)
      m_Leader = makeLeader();
  });
}

std::shared_ptr<SimCluster::Leader> SimCluster::leaderOf(size_t Index) {
  if (m_Agents[Index]->m_Partitioned)
    return nullptr;
  if (std::shared_ptr<Leader> Stale = m_Agents[Index]->m_StaleLeader.lock();
      Stale && !Stale->m_Stopped)
    return Stale;
  return m_Leader;
}

// ---- agents ----

void SimCluster::startAgent(size_t Index) {
  SimAgent &Agent = *m_Agents[Index];
  runner::RunnerOptions Options;
  Options.m_AgentIncarnation = "agent-" + std::to_string(Index) + "-" +
                               std::to_string(++Agent.m_Incarnation);
  Options.m_Address = "agent-" + std::to_string(Index);
  Options.m_LeaseSpan = m_Options.m_LeaseSpan;
  Options.m_MaxWorkerLease = m_Options.m_WorkerOptions.m_MaxLease;
  Options.m_StopTime = m_Options.m_WorkerOptions.m_StopTime;
  Agent.m_Runner = *runner::Runner::create(std::move(Options));
  Agent.m_Up = true;
  armTimer(Index);
}

void SimCluster::stepAgent(size_t Index, const runner::Event &Event) {
  SimAgent &Agent = *m_Agents[Index];
  if (!Agent.m_Up)
    return;
  for (const runner::Action &Action :
       Agent.m_Runner->step(Event, m_Queue.now()))
    perform(Index, Action);
  armTimer(Index);
}

void SimCluster::armTimer(size_t Index) {
  SimAgent &Agent = *m_Agents[Index];
  const uint64_t Timer = ++Agent.m_Timer;
  m_Queue.at(Agent.m_Runner->nextDeadline(m_Queue.now()), [this, Index, Timer] {
    if (m_Agents[Index]->m_Timer == Timer)
      stepAgent(Index, runner::Tick{});
  });
}

void SimCluster::perform(size_t Index, const runner::Action &Action) {
  if (const auto *Hold = std::get_if<runner::HoldCall>(&Action))
    holdWorker(Index, *Hold);
  else if (const auto *Start = std::get_if<runner::StartCall>(&Action))
    callWorker(Index, *Start, [Call = *Start](SimWorker &Worker) {
      return Worker.start(Call);
    });
  else if (const auto *Stop = std::get_if<runner::StopCall>(&Action))
    callWorker(Index, *Stop,
               [Call = *Stop](SimWorker &Worker) { return Worker.stop(Call); });
  else if (const auto *Sync = std::get_if<runner::SendSync>(&Action))
    sendSync(Index, Sync->m_Request);
  else if (const auto *Note = std::get_if<runner::Note>(&Action))
    trace("agent " + std::to_string(Index) + " " + Note->m_Event + " " +
          Note->m_Task + " run " + std::to_string(Note->m_Run) + " " +
          Note->m_Detail);
}

void SimCluster::deliver(size_t Index, uint64_t AgentIncarnation,
                         const CallAnswer &Answer) {
  if (m_Agents[Index]->m_Incarnation == AgentIncarnation)
    stepAgent(Index, Answer);
}

void SimCluster::holdWorker(size_t Index, const runner::HoldCall &Call) {
  const uint64_t AgentIncarnation = m_Agents[Index]->m_Incarnation;
  const auto Answered = std::make_shared<bool>(false);
  const auto Reply = [this, Index, AgentIncarnation,
                      Answered](const CallAnswer &Answer) {
    if (std::exchange(*Answered, true))
      return;
    m_Queue.after(m_Options.m_CallDelay,
                  [this, Index, AgentIncarnation, Answer] {
                    deliver(Index, AgentIncarnation, Answer);
                  });
  };
  const bool Lost = m_Random.chance(m_Options.m_AnswerLossShare);
  m_Queue.after(m_Options.m_CallDelay, [this, Index, Call, Reply, Lost] {
    SimWorker &Worker = m_Workers.at(Index);
    if (!Worker.up()) {
      CallAnswer Answer;
      Answer.m_Call = Call.m_Call;
      Answer.m_Error = CallError::Unreachable;
      Reply(Answer);
      return;
    }
    Worker.hold(Call, [Reply, Lost](const CallAnswer &Answer) {
      if (!Lost)
        Reply(Answer);
    });
  });
  m_Queue.after(Call.m_Wait + m_Options.m_CallTimeout, [Reply, Call] {
    CallAnswer Answer;
    Answer.m_Call = Call.m_Call;
    Answer.m_Error = CallError::NoAnswer;
    Reply(Answer);
  });
}

template <typename Call>
void SimCluster::callWorker(
    size_t Index, const Call &Request,
    const std::function<CallAnswer(SimWorker &)> &Execute) {
  const uint64_t AgentIncarnation = m_Agents[Index]->m_Incarnation;
  CallAnswer NoReply;
  NoReply.m_Call = Request.m_Call;
  NoReply.m_Error = CallError::NoAnswer;
  if (m_Random.chance(m_Options.m_LateOrderShare)) {
    const Duration Late = m_Random.between(std::chrono::milliseconds(2000),
                                           std::chrono::milliseconds(12000));
    const int64_t StartedAtMs =
        m_Workers.at(Index).info().incarnation.startedAtMs;
    m_Queue.after(Late, [this, Index, AgentIncarnation, StartedAtMs, Execute] {
      SimWorker &Worker = m_Workers.at(Index);
      // The system can't prevent that an order of an earlier agent incarnation
      // reaches a later incarnation of the worker that no one has fenced yet.
      // The simulation drops each late order after both incarnations changed,
      // whether the worker was fenced or not.
      const bool BothChanged =
          Worker.info().incarnation.startedAtMs != StartedAtMs &&
          m_Agents[Index]->m_Incarnation != AgentIncarnation;
      if (Worker.up() && !BothChanged)
        Execute(Worker);
    });
    m_Queue.after(m_Options.m_CallTimeout,
                  [this, Index, AgentIncarnation, NoReply] {
                    deliver(Index, AgentIncarnation, NoReply);
                  });
    return;
  }
  const bool Lost = m_Random.chance(m_Options.m_AnswerLossShare);
  m_Queue.after(m_Options.m_CallDelay, [=, this] {
    SimWorker &Worker = m_Workers.at(Index);
    CallAnswer Answer = NoReply;
    Answer.m_Error = CallError::Unreachable;
    if (Worker.up())
      Answer = Execute(Worker);
    if (Lost)
      Answer = NoReply;
    m_Queue.after(Lost ? m_Options.m_CallTimeout : m_Options.m_CallDelay,
                  [this, Index, AgentIncarnation, Answer] {
                    deliver(Index, AgentIncarnation, Answer);
                  });
  });
}

void SimCluster::sendSync(size_t Index,
                          const wire::WorkerSyncRequest &Request) {
  const uint64_t AgentIncarnation = m_Agents[Index]->m_Incarnation;
  const auto Answered = std::make_shared<bool>(false);
  const int64_t Sequence = Request.sequence;
  const auto Fail = [this, Index, AgentIncarnation, Sequence, Answered] {
    if (!std::exchange(*Answered, true) &&
        m_Agents[Index]->m_Incarnation == AgentIncarnation)
      stepAgent(Index, runner::SyncFailed{Sequence});
  };
  m_Queue.after(std::chrono::milliseconds(1200), Fail);
  if (m_Random.chance(m_Options.m_MessageLossShare))
    return;
  m_Queue.after(m_Options.m_NetDelay, [=, this] {
    const std::shared_ptr<Leader> Receiver = leaderOf(Index);
    if (!Receiver) {
      // No process that answers knows a leader.
      m_Queue.after(std::chrono::milliseconds(50), Fail);
      return;
    }
    Receiver->m_PendingSyncs[{Request.agentIncarnation, Sequence}] =
        [=, this](const wire::WorkerSyncReply &Reply) {
          if (m_Random.chance(m_Options.m_MessageLossShare))
            return;
          m_Queue.after(m_Options.m_NetDelay, [=, this] {
            if (m_Agents[Index]->m_Partitioned ||
                m_Agents[Index]->m_Incarnation != AgentIncarnation ||
                std::exchange(*Answered, true))
              return;
            stepAgent(Index, runner::SyncAnswered{Sequence, Reply});
          });
        };
    for (const wire::WorkloadCommand &Command : Receiver->m_Sessions.receive(
             Request, Receiver->m_State, m_Queue.now()))
      propose(
          Receiver, Command,
          [Receiver, Command](bool Committed, const wire::WorkloadResult &) {
            Receiver->m_Sessions.commandDone(Command, Committed);
          });
  });
}

void SimCluster::announce(size_t Index, bool Repeat) {
  SimWorker &Worker = m_Workers.at(Index);
  SimAgent &Agent = *m_Agents[Index];
  if (Worker.up()) {
    runner::WorkerAnnounced Announced;
    Announced.m_Info = Worker.info();
    Announced.m_Draining = Agent.m_Draining;
    Announced.m_Remaining =
        std::max<Duration>(Duration(0), Agent.m_LeavesAt - m_Queue.now());
    Announced.m_Sequence = ++Agent.m_Announcements;
    stepAgent(Index, Announced);
  }
  if (Repeat)
    m_Queue.after(m_Options.m_AnnounceInterval,
                  [this, Index] { announce(Index, true); });
}

// ---- faults ----

void SimCluster::crashWorker(size_t Index, Duration Down, bool SameId) {
  SimWorker &Worker = m_Workers.at(Index);
  if (!Worker.up())
    return;
  trace("worker " + std::to_string(Index) + " crashes");
  Worker.crash();
  m_Queue.after(Down, [this, Index, SameId] {
    std::optional<std::string> NewId;
    if (!SameId)
      NewId = "w" + std::to_string(m_Random.below(1'000'000'000));
    m_Agents[Index]->m_Draining = false;
    m_Workers.at(Index).restart(NewId);
    trace("worker " + std::to_string(Index) + " restarts as " +
          m_Workers.at(Index).info().incarnation.id);
    m_Queue.after(m_Random.between(Duration(0), m_Options.m_AnnounceInterval),
                  [this, Index] { announce(Index, false); });
  });
}

void SimCluster::killAgent(size_t Index, Duration Down) {
  if (!std::exchange(m_Agents[Index]->m_Up, false))
    return;
  trace("agent " + std::to_string(Index) + " killed");
  ++m_Agents[Index]->m_Incarnation;
  m_Queue.after(Down, [this, Index] { startAgent(Index); });
}

void SimCluster::partitionAgent(size_t Index, Duration Span) {
  trace("agent " + std::to_string(Index) + " cut off");
  m_Agents[Index]->m_Partitioned = true;
  m_Queue.after(Span,
                [this, Index] { m_Agents[Index]->m_Partitioned = false; });
}

void SimCluster::drainWorker(size_t Index, Duration Remaining) {
  m_Agents[Index]->m_Draining = true;
  m_Agents[Index]->m_LeavesAt = m_Queue.now() + Remaining;
  announce(Index, false);
  m_Queue.after(Remaining, [this, Index] {
    crashWorker(Index, std::chrono::seconds(4), false);
  });
}

void SimCluster::withdrawZone(const std::string &Zone, bool Withdrawn) {
  if (!m_Leader)
    return;
  wire::SetZone Set;
  Set.availabilityZone = Zone;
  Set.withdrawn = Withdrawn;
  wire::WorkloadCommand Command;
  Command.__set_setZone(Set);
  propose(m_Leader, Command, [](bool, const wire::WorkloadResult &) {});
}

// ---- callers ----

void SimCluster::add(JobPlan Plan) {
  m_Plans.push_back(std::move(Plan));
  const JobPlan &Stored = m_Plans.back();
  m_Workers.addPlan(Stored);
  JobResult Result;
  Result.m_Plan = &Stored;
  Result.m_SentAt = m_Queue.now() + Stored.m_SubmitAfter;
  m_Results.push_back(Result);
  JobResult &Kept = m_Results.back();
  m_ByJob[Stored.m_Id] = &Kept;
  m_Queue.after(Stored.m_SubmitAfter, [this, &Kept] { submit(Kept); });
  if (Stored.m_CancelAfter > Duration(0))
    m_Queue.after(Stored.m_SubmitAfter + Stored.m_CancelAfter,
                  [this, &Stored] { cancel(Stored); });
}

void SimCluster::submit(JobResult &Result) {
  const auto Retry = [this, &Result] {
    m_Queue.after(std::chrono::milliseconds(300),
                  [this, &Result] { submit(Result); });
  };
  if (!m_Leader) {
    Retry();
    return;
  }
  m_Checker.jobSubmitted(*Result.m_Plan);
  wire::SubmitWorkload Submit;
  Submit.jobId = Result.m_Plan->m_Id;
  Submit.queue = Result.m_Plan->m_Queue;
  Submit.workspace = Result.m_Plan->m_Workspace;
  Submit.spec = Result.m_Plan->m_Spec;
  wire::WorkloadCommand Command;
  Command.__set_submit(Submit);
  propose(m_Leader, Command,
          [this, &Result, Retry](bool Committed, const wire::WorkloadResult &) {
            if (Committed)
              Result.m_AcceptedAt = m_Queue.now();
            else
              Retry();
          });
}

void SimCluster::cancel(const JobPlan &Plan) {
  const auto Retry = [this, &Plan] {
    m_Queue.after(std::chrono::milliseconds(300),
                  [this, &Plan] { cancel(Plan); });
  };
  if (!m_Leader) {
    Retry();
    return;
  }
  wire::CancelWorkload Cancel;
  Cancel.jobId = Plan.m_Id;
  wire::WorkloadCommand Command;
  Command.__set_cancel(Cancel);
  propose(
      m_Leader, Command,
      [this, &Plan, Retry](bool Committed, const wire::WorkloadResult &Result) {
        if (!Committed || Result.status == wire::WorkloadStatus::NO_JOB)
          Retry();
        else if (Result.status == wire::WorkloadStatus::OK)
          m_Checker.cancelAcknowledged(Plan.m_Id, m_Queue.now());
      });
}

void SimCluster::updateResults(const Leader &Current) {
  for (JobResult &Result : m_Results) {
    if (workload::hasEnded(Result.m_Phase))
      continue;
    const wire::JobRecord *Job = Current.m_State.job(Result.m_Plan->m_Id);
    if (!Job)
      continue;
    if (Result.m_Phase == wire::JobPhase::QUEUED &&
        Job->phase != wire::JobPhase::QUEUED)
      Result.m_FirstStartAt = m_Queue.now();
    Result.m_Phase = Job->phase;
    if (!workload::hasEnded(Job->phase))
      continue;
    Result.m_EndedAt = m_Queue.now();
    if (Job->phase == wire::JobPhase::COMPLETED)
      m_Checker.jobCompleted(Job->id);
  }
}

void SimCluster::run(Duration Span) { m_Queue.runUntil(m_Queue.now() + Span); }

std::string SimCluster::violation() const {
  return m_Checker.violation().empty() ? m_StateViolation
                                       : m_Checker.violation();
}

Duration SimCluster::objectiveOf(const JobResult &Result) const {
  const wire::QueuePolicy *Queue =
      workload::queueNamed(m_Policy, Result.m_Plan->m_Queue);
  return Result.objective(Queue->slackFactor,
                          std::chrono::milliseconds(Queue->latencyTargetMs),
                          m_TotalCapacity);
}

} // namespace anvil::sim
