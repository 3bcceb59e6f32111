#include "anvil/dispatch/Dispatcher.h"

#include <algorithm>
#include <set>

#include "Durations.h"
#include "Fleet.h"
#include "Guarantees.h"
#include "JobRank.h"
#include "Placer.h"
#include "Preemption.h"
#include "RunMover.h"
#include "RunTimes.h"
#include "RunTracker.h"
#include "WorkerHealth.h"

namespace anvil::dispatch {

using internal::Eviction;
using internal::EvictionScope;
using internal::Fleet;
using internal::Guarantees;
using internal::JobRank;
using internal::JobUrgency;
using internal::NoKnownEnd;
using internal::Placer;
using internal::Preemption;
using internal::Reservation;
using internal::RunMover;
using internal::RunTimes;
using internal::RunTracker;
using internal::secondsOf;
using internal::StepPlacement;
using internal::WaitingStep;
using internal::WorkerHealth;
using internal::WorkerView;
using workload::WorkloadState;

namespace {

// Largest number of waiting steps that reserve resources, in the order of their
// ranks. Each reservation keeps smaller tasks from starting on its workers.
constexpr int MaxReservations = 3;

// A job that no guarantee covers may preempt work of at most this share of its
// own.
constexpr double MaxLostShare = 0.5;

// A job of which nothing runs yields to reservations for at most this long
// while less than this share of its service is in use.
constexpr Duration MaxHeldBack = std::chrono::seconds(2);
constexpr double MostlyFreeShare = 0.5;

// A new leader knows the runs and the free room of a worker once its agent has
// synced. It stops no run until all agents did, or for at most this long.
constexpr Duration MaxSettleTime = std::chrono::milliseconds(1000);

} // namespace

struct Dispatcher::Impl {
  explicit Impl(DispatchOptions Options)
      : m_Options(std::move(Options)),
        m_Tracker(m_Times, m_Health, m_Options.m_OnLostWork), m_Rank(m_Times),
        m_Mover({m_Options.m_StopTime, m_Options.m_RestoreTime}) {}

  std::vector<WaitingStep> waitingSteps(const WorkloadState &State,
                                        TimePoint Now);
  void addSteps(const wire::JobRecord &Job, TimePoint Now,
                std::vector<WaitingStep> &Steps);
  WaitingStep makeStep(const wire::JobRecord &Job, int32_t Occurrence,
                       int32_t Step, const wire::StepRecord &Record) const;
  bool hasSettled(const WorkloadState &State, const WorkerSessions &Sessions,
                  TimePoint Now);

  const DispatchOptions m_Options;
  RunTimes m_Times;
  WorkerHealth m_Health;
  RunTracker m_Tracker;
  JobRank m_Rank;
  RunMover m_Mover;
  /// When each waiting step became able to start, by job, occurrence and step.
  std::map<std::tuple<std::string, int32_t, int32_t>, TimePoint> m_WaitingSince;
  /// When the leadership began, until all workers are known or the time to get
  /// to know them is over.
  std::optional<TimePoint> m_UnsettledSince;
};

namespace {

/// Makes one plan.
class Planner {
public:
  Planner(const WorkloadState &State, Fleet &PlanFleet,
          const DispatchOptions &Options, const RunTracker &Tracker,
          const JobRank &Rank, bool Settled, TimePoint Now)
      : m_Fleet(PlanFleet), m_Options(Options), m_Tracker(Tracker),
        m_Rank(Rank), m_Settled(Settled), m_Now(Now), m_Guarantees(State),
        m_Placer(PlanFleet, Options.m_RemotePenalty),
        m_Preemption(PlanFleet, m_Placer) {}

  void moveOffDrainingWorkers(const RunMover &Mover) {
    move(Mover.findOnDrainingWorkers(m_Fleet));
  }
  void moveStalledOrSlow(const RunMover &Mover) {
    move(Mover.findStalledOrSlow(m_Fleet));
  }
  void placeAll(std::vector<WaitingStep> Steps);
  std::vector<wire::WorkloadCommand> takeCommands() {
    return std::move(m_Commands);
  }

private:
  void move(const std::vector<internal::Move> &Moves);
  void place(WaitingStep Step);
  void placeGang(const WaitingStep &Step);
  void placeTasks(const WaitingStep &Step);
  bool isHeldBackTooLong(const WaitingStep &Step) const;
  bool isMostlyFree(const std::string &Service) const;
  void startChosen(const WaitingStep &Step, const StepPlacement &Chosen,
                   std::string_view Reason);
  void makeRoom(const WaitingStep &Step, int32_t Count);
  bool isFreeNow(const WaitingStep &Step, const Eviction &Found) const;
  bool mayEvict(const WaitingStep &Step, const Eviction &Found) const;
  void reserve(const WaitingStep &Step);
  std::optional<TimePoint>
  findReservation(const WaitingStep &Step, const std::string &Rack,
                  std::vector<std::pair<size_t, int32_t>> &TaskCounts) const;
  bool fitsAt(const WaitingStep &Step, const std::string &Rack, TimePoint When,
              std::vector<std::pair<size_t, int32_t>> &TaskCounts) const;
  void stop(const std::vector<wire::RunRef> &Runs, std::string_view Reason);

  Fleet &m_Fleet;
  const DispatchOptions &m_Options;
  const RunTracker &m_Tracker;
  const JobRank &m_Rank;
  /// All workers are known; without that nothing is stopped to make room.
  const bool m_Settled;
  TimePoint m_Now;
  Guarantees m_Guarantees;
  Placer m_Placer;
  Preemption m_Preemption;
  int m_Reservations = 0;
  /// Lowest priority (highest number) of a step that has a reservation.
  int32_t m_LeastUrgentReserving = 0;
  /// While not settled: the priority of the first step that found no room. Less
  /// urgent steps must not take what more workers will offer.
  std::optional<int32_t> m_WaitingPriority;
  std::vector<wire::WorkloadCommand> m_Commands;
};

void Planner::stop(const std::vector<wire::RunRef> &Runs,
                   std::string_view Reason) {
  if (Runs.empty())
    return;
  wire::StopRuns Stop;
  Stop.runs = Runs;
  Stop.reason = std::string(Reason);
  wire::WorkloadCommand Command;
  Command.__set_stopRuns(Stop);
  m_Commands.push_back(std::move(Command));
}

void Planner::move(const std::vector<internal::Move> &Moves) {
  for (const internal::Move &Each : Moves)
    stop({Each.m_Run}, Each.m_Reason);
}

void Planner::placeAll(std::vector<WaitingStep> Steps) {
  std::map<const wire::JobRecord *, JobUrgency> Urgency;
  for (const WaitingStep &Step : Steps)
    if (!Urgency.contains(Step.m_Job))
      Urgency[Step.m_Job] = m_Rank.urgencyOf(*Step.m_Job, m_Tracker, m_Now);
  std::stable_sort(Steps.begin(), Steps.end(),
                   [&](const WaitingStep &Left, const WaitingStep &Right) {
                     if (Left.m_Job->priority != Right.m_Job->priority)
                       return Left.m_Job->priority < Right.m_Job->priority;
                     return Urgency[Left.m_Job].m_Rank >
                            Urgency[Right.m_Job].m_Rank;
                   });
  for (WaitingStep &Step : Steps) {
    if (m_WaitingPriority && Step.m_Job->priority > *m_WaitingPriority)
      return;
    place(std::move(Step));
  }
}

void Planner::place(WaitingStep Step) {
  Step.m_MaxSuspicion = m_Placer.suspicionLimit(Step);
  if (Step.m_Spec->gang) {
    Step.m_OneRack = Step.m_Spec->rackLocal && m_Placer.fitsSomeRack(Step);
    placeGang(Step);
  } else {
    placeTasks(Step);
  }
}

void Planner::placeGang(const WaitingStep &Step) {
  std::optional<StepPlacement> Chosen = m_Placer.placeGang(Step);
  std::string_view Reason = "the gang fits";
  if (!Chosen && isHeldBackTooLong(Step)) {
    WaitingStep HeldBack = Step;
    HeldBack.m_MayTakeReserved = true;
    Chosen = m_Placer.placeGang(HeldBack);
    Reason = internal::LentRoomReason;
  }
  if (Chosen)
    startChosen(Step, *Chosen, Reason);
  else
    makeRoom(Step, Step.m_Spec->tasks);
}

void Planner::placeTasks(const WaitingStep &Step) {
  StepPlacement Chosen = m_Placer.placeTasks(Step);
  std::string_view Reason = "room is free";
  if (Chosen.m_Shares.empty() && isHeldBackTooLong(Step)) {
    WaitingStep HeldBack = Step;
    HeldBack.m_MayTakeReserved = true;
    // One task keeps the job going; the others still yield to reservations.
    HeldBack.m_Indexes.resize(1);
    Chosen = m_Placer.placeTasks(HeldBack);
    Reason = internal::LentRoomReason;
  }
  int32_t Placed = 0;
  for (const internal::Share &Each : Chosen.m_Shares)
    Placed += Each.m_Tasks;
  if (Placed > 0)
    startChosen(Step, Chosen, Reason);
  const auto Left = static_cast<int32_t>(Step.m_Indexes.size()) - Placed;
  if (Left > 0)
    makeRoom(Step, Left);
}

// A reservation can hold room free for as long as the longest run that it waits
// for, and forecasts of runs may be wrong. So it must not stop a whole job for
// long while most of the service is idle. The room is lent only to less urgent
// jobs, whose runs the reserving step stops once that lets it start.
bool Planner::isHeldBackTooLong(const WaitingStep &Step) const {
  return m_Reservations > 0 && Step.m_Job->priority > m_LeastUrgentReserving &&
         Step.m_Waited >= MaxHeldBack && Step.m_Job->activeRuns == 0 &&
         isMostlyFree(Step.m_Job->serviceName);
}

// The resource of which the largest share is taken counts: a service without
// free accelerators is in full use, however many cores it has left.
bool Planner::isMostlyFree(const std::string &Service) const {
  struct Sums {
    int64_t m_Capacity = 0;
    int64_t m_Free = 0;

    void add(int32_t Capacity, int32_t Free) {
      m_Capacity += Capacity;
      m_Free += Free;
    }
    bool mostlyFree() const {
      return m_Capacity == 0 ||
             static_cast<double>(m_Free) >
                 (1 - MostlyFreeShare) * static_cast<double>(m_Capacity);
    }
  };
  Sums Cores;
  Sums Memory;
  Sums Accelerators;
  for (const WorkerView &Worker : m_Fleet.workers()) {
    if (!Worker.m_Usable || Worker.info().serviceName != Service)
      continue;
    const wire::ResourceAmounts &Capacity = Worker.info().capacity;
    Cores.add(Capacity.milliCores, Worker.m_Free.milliCores);
    Memory.add(Capacity.memoryMib, Worker.m_Free.memoryMib);
    Accelerators.add(Capacity.accelerators, Worker.m_Free.accelerators);
  }
  return Cores.mostlyFree() && Memory.mostlyFree() && Accelerators.mostlyFree();
}

void Planner::startChosen(const WaitingStep &Step, const StepPlacement &Chosen,
                          std::string_view Reason) {
  m_Placer.take(Step, Chosen);
  wire::StartRuns Start;
  Start.jobId = Step.m_Job->id;
  Start.occurrence = Step.m_Occurrence;
  Start.step = Step.m_Step;
  Start.reason = std::string(Reason);
  size_t Next = 0;
  for (const internal::Share &Each : Chosen.m_Shares)
    for (int32_t I = 0; I < Each.m_Tasks; ++I) {
      wire::RunPlacement Placement;
      Placement.index = Step.m_Indexes[Next++];
      Placement.worker = m_Fleet.workers()[Each.m_Worker].info().incarnation;
      Start.placements.push_back(std::move(Placement));
    }
  wire::WorkloadCommand Command;
  Command.__set_startRuns(Start);
  m_Commands.push_back(std::move(Command));
}

bool Planner::mayEvict(const WaitingStep &Step, const Eviction &Found) const {
  if (m_Guarantees.covers(*Step.m_Job))
    return true;
  const double Own = internal::coresOf(Step.m_Spec->perTask) *
                     static_cast<double>(Step.m_Indexes.size()) *
                     secondsOf(Step.m_Expected);
  return Step.m_Job->priority == 0 &&
         Found.m_LostCoreSeconds <= MaxLostShare * Own;
}

// Only a gang that had to stay in one rack can turn out to fit here after it
// was not placed.
bool Planner::isFreeNow(const WaitingStep &Step, const Eviction &Found) const {
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  return Step.m_OneRack &&
         std::all_of(
             Found.m_Placement.m_Shares.begin(),
             Found.m_Placement.m_Shares.end(),
             [&](const internal::Share &Each) {
               const WorkerView &Worker = m_Fleet.workers()[Each.m_Worker];
               return m_Fleet.countThatFit(Worker, Need, m_Now, Each.m_Tasks) ==
                      Each.m_Tasks;
             });
}

// Makes room by waiting for runs that are being stopped, by stopping less
// urgent ones, or by a reservation for when running ones end.
void Planner::makeRoom(const WaitingStep &Step, int32_t Count) {
  if (!m_Settled) {
    m_WaitingPriority = Step.m_Job->priority;
    return;
  }
  const EvictionScope Scope =
      Step.m_Job->priority == 0 || m_Guarantees.covers(*Step.m_Job)
          ? EvictionScope::LessUrgentRuns
          : EvictionScope::LentRoom;
  if (const std::optional<Eviction> Found =
          m_Preemption.find(Step, Count, Scope)) {
    if (Found->m_Victims.empty() && isFreeNow(Step, *Found)) {
      startChosen(Step, Found->m_Placement, "no rack has room");
      return;
    }
    if (Found->m_Victims.empty() || Scope == EvictionScope::LentRoom ||
        mayEvict(Step, *Found)) {
      m_Preemption.reserve(Step, *Found);
      stop(Found->m_Victims, "room for more urgent work");
      return;
    }
  }
  if (m_Reservations < MaxReservations)
    reserve(Step);
}

bool Planner::fitsAt(
    const WaitingStep &Step, const std::string &Rack, TimePoint When,
    std::vector<std::pair<size_t, int32_t>> &TaskCounts) const {
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  // Only a gang needs all tasks at once; the other tasks of a step start when
  // resources become free.
  int32_t Left = Step.m_Spec->gang ? Step.m_Spec->tasks : 1;
  TaskCounts.clear();
  for (const size_t I : m_Fleet.inRack(Rack)) {
    const WorkerView &Worker = m_Fleet.workers()[I];
    if (Left == 0)
      break;
    if (!m_Placer.allowed(Worker, Step))
      continue;
    wire::ResourceAmounts Free = Worker.freeAt(When);
    for (const Reservation &Other : Worker.m_Reservations)
      workload::subtract(Free, Other.m_Amounts);
    int32_t Here = 0;
    const int32_t Most = std::min(Left, Placer::roomByLimit(Worker, Step, 0));
    while (Here < Most &&
           workload::fits(Free, wire::ResourceAmounts(), Need, Here + 1))
      ++Here;
    if (Here == 0)
      continue;
    TaskCounts.emplace_back(I, Here);
    Left -= Here;
  }
  return Left == 0;
}

std::optional<TimePoint> Planner::findReservation(
    const WaitingStep &Step, const std::string &Rack,
    std::vector<std::pair<size_t, int32_t>> &TaskCounts) const {
  std::vector<TimePoint> Ends;
  for (const size_t I : m_Fleet.inRack(Rack))
    for (const internal::RunView &Run : m_Fleet.workers()[I].m_Runs)
      if (Run.m_Forecast.m_EndsAt != NoKnownEnd && !Run.m_Forecast.m_OnLentRoom)
        Ends.push_back(Run.m_Forecast.m_EndsAt);
  std::sort(Ends.begin(), Ends.end());
  // Room only grows with the time.
  const auto First =
      std::partition_point(Ends.begin(), Ends.end(), [&](TimePoint When) {
        return !fitsAt(Step, Rack, When, TaskCounts);
      });
  if (First == Ends.end())
    return std::nullopt;
  fitsAt(Step, Rack, *First, TaskCounts);
  return *First;
}

// Reserves resources on the workers on which a gang, or one more task of
// another step, can start first, so that no work is placed there that would
// still run then.
void Planner::reserve(const WaitingStep &Step) {
  std::optional<TimePoint> Best;
  std::vector<std::pair<size_t, int32_t>> BestTaskCounts;
  for (const std::string &Rack : m_Placer.racksFor(Step)) {
    std::vector<std::pair<size_t, int32_t>> TaskCounts;
    const std::optional<TimePoint> When =
        findReservation(Step, Rack, TaskCounts);
    if (When && (!Best || *When < *Best)) {
      Best = When;
      BestTaskCounts = std::move(TaskCounts);
    }
  }
  // A gang that spans racks is slow, but may still end sooner.
  if (Step.m_OneRack) {
    const auto Extra = std::chrono::duration_cast<Duration>(
        Step.m_Expected * (m_Options.m_RemotePenalty - 1));
    if (!Best || *Best > m_Now + Extra) {
      WaitingStep Anywhere = Step;
      Anywhere.m_OneRack = false;
      if (const std::optional<StepPlacement> Chosen =
              m_Placer.placeGang(Anywhere)) {
        startChosen(Step, *Chosen, "no rack has room in time");
        return;
      }
    }
  }
  if (!Best)
    return;
  ++m_Reservations;
  m_LeastUrgentReserving =
      std::max(m_LeastUrgentReserving, Step.m_Job->priority);
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  for (const auto &[Index, Tasks] : BestTaskCounts) {
    Reservation New;
    New.m_From = *Best;
    workload::add(New.m_Amounts, Need, Tasks);
    m_Fleet.workers()[Index].m_Reservations.push_back(New);
  }
}

} // namespace

WaitingStep Dispatcher::Impl::makeStep(const wire::JobRecord &Job,
                                       int32_t Occurrence, int32_t Step,
                                       const wire::StepRecord &Record) const {
  WaitingStep Result;
  Result.m_Job = &Job;
  Result.m_Occurrence = Occurrence;
  Result.m_Step = Step;
  Result.m_Spec = &Job.spec.steps[static_cast<size_t>(Step)];
  Result.m_Record = &Record;
  Result.m_Expected =
      m_Times.predict(Job.queue, Result.m_Spec->estimateMs).m_Expected;
  int32_t MostFailures = Record.gangFailures;
  for (size_t I = 0; I < Record.tasks.size(); ++I) {
    const wire::TaskRecord &Task = Record.tasks[I];
    if (workload::isActive(Task))
      ++Result.m_Running[Task.worker.id];
    if (Task.phase != wire::TaskPhase::WAITING)
      continue;
    Result.m_Indexes.push_back(static_cast<int32_t>(I));
    MostFailures = std::max(MostFailures, Task.failures);
  }
  Result.m_LastAttempt =
      MostFailures > 0 && MostFailures + 1 >= Job.maxAttempts;
  return Result;
}

void Dispatcher::Impl::addSteps(const wire::JobRecord &Job, TimePoint Now,
                                std::vector<WaitingStep> &Steps) {
  for (const auto &[Number, Occurrence] : Job.occurrences)
    for (size_t Step = 0; Step < Occurrence.steps.size(); ++Step) {
      const auto Index = static_cast<int32_t>(Step);
      const wire::StepRecord &Record = Occurrence.steps[Step];
      const wire::StepSpec &Spec = Job.spec.steps[Step];
      if (!workload::areDependenciesDone(Job, Occurrence, Index) ||
          (Spec.gang && Record.active > 0))
        continue;
      WaitingStep Waiting = makeStep(Job, Number, Index, Record);
      if (Waiting.m_Indexes.empty())
        continue;
      const TimePoint Since =
          m_WaitingSince.emplace(std::tuple(Job.id, Number, Index), Now)
              .first->second;
      Waiting.m_Waited = Now - Since;
      Steps.push_back(std::move(Waiting));
    }
}

std::vector<WaitingStep>
Dispatcher::Impl::waitingSteps(const WorkloadState &State, TimePoint Now) {
  std::vector<WaitingStep> Steps;
  for (const auto &[Index, Id] : State.liveJobs())
    if (const wire::JobRecord &Job = *State.job(Id);
        !workload::hasEnded(Job.phase))
      addSteps(Job, Now, Steps);
  // Removes steps that do not wait any more.
  std::set<std::tuple<std::string, int32_t, int32_t>> Present;
  for (const WaitingStep &Step : Steps)
    Present.emplace(Step.m_Job->id, Step.m_Occurrence, Step.m_Step);
  for (auto It = m_WaitingSince.begin(); It != m_WaitingSince.end();)
    It = Present.contains(It->first) ? std::next(It) : m_WaitingSince.erase(It);
  return Steps;
}

Dispatcher::Dispatcher(DispatchOptions Options)
    : m_Impl(std::make_unique<Impl>(std::move(Options))) {}
Dispatcher::~Dispatcher() = default;

bool Dispatcher::Impl::hasSettled(const WorkloadState &State,
                                  const WorkerSessions &Sessions,
                                  TimePoint Now) {
  if (!m_UnsettledSince)
    return true;
  const bool AllKnown = std::all_of(
      State.workers().begin(), State.workers().end(), [&](const auto &Each) {
        const LiveWorker *Live =
            Sessions.findLive(Each.second.info.incarnation);
        return Live && Live->m_HasRunList;
      });
  if (!AllKnown && Now - *m_UnsettledSince < MaxSettleTime)
    return false;
  m_UnsettledSince.reset();
  return true;
}

void Dispatcher::reset(TimePoint Now) {
  m_Impl->m_UnsettledSince = Now;
  m_Impl->m_Times.clear();
  m_Impl->m_Health.clear();
  m_Impl->m_Tracker.clear();
  m_Impl->m_Rank.clear();
  m_Impl->m_WaitingSince.clear();
}

void Dispatcher::observe(const workload::WorkloadEvent &Event,
                         const WorkloadState &State, TimePoint Now) {
  m_Impl->m_Tracker.observe(Event, State, Now);
}

std::vector<wire::WorkloadCommand>
Dispatcher::plan(const WorkloadState &State, const WorkerSessions &Sessions,
                 TimePoint Now) {
  m_Impl->m_Rank.update(State, Now);
  m_Impl->m_Tracker.update(State, Sessions, Now);
  Fleet PlanFleet(State, Sessions, m_Impl->m_Tracker, m_Impl->m_Health, Now);
  Planner Plan(State, PlanFleet, m_Impl->m_Options, m_Impl->m_Tracker,
               m_Impl->m_Rank, m_Impl->hasSettled(State, Sessions, Now), Now);
  Plan.moveOffDrainingWorkers(m_Impl->m_Mover);
  Plan.placeAll(m_Impl->waitingSteps(State, Now));
  Plan.moveStalledOrSlow(m_Impl->m_Mover);
  return Plan.takeCommands();
}

} // namespace anvil::dispatch
