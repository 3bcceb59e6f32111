#include "Planner.h"

#include <algorithm>
#include <limits>
#include <map>

#include "Durations.h"

namespace anvil::dispatch::internal {

namespace {

// Largest number of waiting steps that reserve resources, in the order of their
// ranks. Each reservation keeps smaller tasks from starting on its workers.
constexpr int MaxReservations = 3;

// A job of which nothing runs yields to reservations for at most this long
// while less than this share of its service is in use.
constexpr Duration MaxHeldBack = std::chrono::seconds(2);
constexpr double MostlyFreeShare = 0.5;

// An urgent job may stop work of at most this share of its own whatever the
// deadlines are.
constexpr double MaxLostShare = 0.5;

} // namespace

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

void Planner::move(const std::vector<Move> &Moves) {
  for (const Move &Each : Moves)
    stop({Each.m_Run}, Each.m_Reason);
}

void Planner::stopUnstartedInWithdrawnZones() {
  std::vector<wire::RunRef> Runs;
  for (WorkerView &Worker : m_Fleet.workers()) {
    if (!Worker.m_ZoneWithdrawn || !Worker.m_RunsKnown)
      continue;
    for (RunView &Run : Worker.m_Runs) {
      if (Run.m_Stopping || Run.m_Forecast.m_Started)
        continue;
      Run.m_Stopping = true;
      workload::add(Worker.m_Releasing, Run.m_Amounts);
      wire::RunRef Ref;
      Ref.task = Run.m_Task;
      Ref.run = Run.m_Run;
      Runs.push_back(std::move(Ref));
    }
  }
  stop(Runs, "its zone is out of service");
}

// The room that is made for a guaranteed job becomes free only after the plan
// that makes it. Until the job starts, jobs that would exceed the guarantee of
// their workspace must not take the room, or they are stopped again.
std::set<const wire::JobRecord *>
Planner::findYieldingToGuarantees(const std::vector<WaitingStep> &Steps) const {
  std::set<const wire::JobRecord *> Result;
  std::set<std::string> Services;
  for (const WaitingStep &Step : Steps)
    if (Step.m_Waited > Duration(0) && m_Guarantees.covers(*Step.m_Job))
      Services.insert(Step.m_Job->serviceName);
  if (Services.empty())
    return Result;
  const ReclaimLimits Limits(m_Fleet, m_Guarantees);
  for (const WaitingStep &Step : Steps) {
    const int64_t More = static_cast<int64_t>(Step.m_Indexes.size()) *
                         Step.m_Spec->perTask.accelerators;
    if (Step.m_Job->priority == GuaranteedPriority &&
        Services.contains(Step.m_Job->serviceName) &&
        Limits.wouldExceed(*Step.m_Job, More))
      Result.insert(Step.m_Job);
  }
  return Result;
}

// Returns the steps in the order that FairShare expects.
std::vector<RankedStep> Planner::rankSteps(std::vector<WaitingStep> Steps,
                                           Backlog &Waiting) const {
  std::map<const wire::JobRecord *, JobUrgency> Urgency;
  for (const WaitingStep &Step : Steps)
    if (!Urgency.contains(Step.m_Job))
      Urgency[Step.m_Job] = m_Rank.urgencyOf(*Step.m_Job, m_Tracker, m_Now);
  const std::set<const wire::JobRecord *> Yielding =
      findYieldingToGuarantees(Steps);
  std::vector<RankedStep> Result;
  Result.reserve(Steps.size());
  for (WaitingStep &Step : Steps) {
    const JobUrgency &Own = Urgency[Step.m_Job];
    RankedStep &Ranked = Result.emplace_back();
    Ranked.m_Rank = Own.m_Rank;
    Ranked.m_KeepsRank =
        m_Guarantees.covers(*Step.m_Job) ||
        (Own.m_Slack <= Duration(0) && Own.m_LateSlack > Duration(0));
    Ranked.m_YieldsToGuarantee = Yielding.contains(Step.m_Job);
    Step.m_Slack = Own.m_Slack;
    Ranked.m_Step = std::move(Step);
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [](const RankedStep &Left, const RankedStep &Right) {
                     const int32_t LeftPriority = Left.m_Step.m_Job->priority;
                     const int32_t RightPriority = Right.m_Step.m_Job->priority;
                     if (LeftPriority != RightPriority)
                       return LeftPriority < RightPriority;
                     if (Left.m_YieldsToGuarantee != Right.m_YieldsToGuarantee)
                       return Right.m_YieldsToGuarantee;
                     return Left.m_Rank > Right.m_Rank;
                   });
  for (const RankedStep &Each : Result)
    Waiting.add(Each.m_Step, Urgency[Each.m_Step.m_Job]);
  return Result;
}

void Planner::placeAll(std::vector<WaitingStep> Steps, Backlog &Waiting) {
  std::vector<RankedStep> Ranked = rankSteps(std::move(Steps), Waiting);
  FairShare Shares(m_Fleet, m_Guarantees, Ranked, {m_Options.m_FairShare});
  while (const std::optional<size_t> Next = Shares.next()) {
    const wire::JobRecord &Job = *Ranked[*Next].m_Step.m_Job;
    if (m_WaitingPriority && Job.priority > *m_WaitingPriority)
      return;
    const size_t Tasks = Ranked[*Next].m_Step.m_Indexes.size();
    const int32_t StartedBefore = m_StartedTasks;
    // FairShare needs only the job and the specification of the step, which
    // are still there after the move.
    place(std::move(Ranked[*Next].m_Step));
    const int32_t Started = m_StartedTasks - StartedBefore;
    Shares.addStarted(*Next, Started);
    if (static_cast<size_t>(Started) < Tasks && Shares.hasYielded(*Next))
      m_Yields.push_back(
          {Job.id, Job.workspace, Shares.shareOf(*Next), Shares.partOf(*Next)});
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
    Reason = LentRoomReason;
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
    Reason = LentRoomReason;
  }
  int32_t Placed = 0;
  for (const Share &Each : Chosen.m_Shares)
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
  for (const Share &Each : Chosen.m_Shares)
    for (int32_t I = 0; I < Each.m_Tasks; ++I) {
      wire::RunPlacement Placement;
      Placement.index = Step.m_Indexes[Next++];
      Placement.worker = m_Fleet.workers()[Each.m_Worker].info().incarnation;
      Start.placements.push_back(std::move(Placement));
    }
  m_StartedTasks += static_cast<int32_t>(Start.placements.size());
  wire::WorkloadCommand Command;
  Command.__set_startRuns(Start);
  m_Commands.push_back(std::move(Command));
}

// A job that no guarantee covers makes room if that costs little work, or if
// its callers would lose more by its wait than those of the stopped runs by
// theirs.
bool Planner::mayEvict(const WaitingStep &Step, const Eviction &Found) {
  if (m_Guarantees.covers(*Step.m_Job))
    return true;
  if (Step.m_Job->priority != 0)
    return false;
  const double Own = coresOf(Step.m_Spec->perTask) *
                     static_cast<double>(Step.m_Indexes.size()) *
                     secondsOf(Step.m_Expected);
  if (Found.m_LostCoreSeconds <= MaxLostShare * Own)
    return true;
  const std::optional<PlannedStart> Start = findPlannedStart(Step);
  std::optional<Duration> Wait;
  if (Start)
    Wait = Start->m_At - m_Now;
  const Duration HeldFor = m_Options.m_StopTime + Step.m_Expected;
  return m_DelayCost.ofWaiting(*Step.m_Job, m_Options.m_StopTime, Wait) >
         m_DelayCost.ofEviction(m_Fleet, Found, HeldFor);
}

// Only a gang that had to stay in one rack can turn out to fit here after it
// was not placed.
bool Planner::isFreeNow(const WaitingStep &Step, const Eviction &Found) const {
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  return Step.m_OneRack &&
         std::all_of(
             Found.m_Placement.m_Shares.begin(),
             Found.m_Placement.m_Shares.end(), [&](const Share &Each) {
               const WorkerView &Worker = m_Fleet.workers()[Each.m_Worker];
               return m_Fleet.countThatFit(Worker, Need, m_Now, Each.m_Tasks) ==
                      Each.m_Tasks;
             });
}

// Runs of the highest priority are stopped only if all others together would
// not make enough room.
std::optional<Eviction> Planner::findReclaim(const WaitingStep &Step,
                                             int32_t Count) const {
  if (std::optional<Eviction> Found =
          m_Preemption.find(Step, Count, EvictionScope::LongRunning))
    return Found;
  return m_Preemption.find(Step, Count, EvictionScope::BeyondGuarantee);
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
  std::optional<Eviction> Found = m_Preemption.find(Step, Count, Scope);
  std::string_view Reason = "room for more urgent work";
  if (!Found && m_Guarantees.covers(*Step.m_Job)) {
    Found = findReclaim(Step, Count);
    Reason = "room for guaranteed work";
  }
  if (Found) {
    if (Found->m_Victims.empty() && isFreeNow(Step, *Found)) {
      startChosen(Step, Found->m_Placement, "no rack has room");
      return;
    }
    if (Found->m_Victims.empty() || Scope == EvictionScope::LentRoom ||
        mayEvict(Step, *Found)) {
      m_Preemption.reserve(Step, *Found);
      stop(Found->m_Victims, Reason);
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
    for (const RunView &Run : m_Fleet.workers()[I].m_Runs)
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

std::optional<Planner::PlannedStart>
Planner::findPlannedStart(const WaitingStep &Step) const {
  std::optional<PlannedStart> Best;
  TimePoint BestEnd;
  for (const std::string &Rack : m_Placer.racksFor(Step)) {
    std::vector<std::pair<size_t, int32_t>> TaskCounts;
    const std::optional<TimePoint> When =
        findReservation(Step, Rack, TaskCounts);
    if (!When)
      continue;
    double Slowest = std::numeric_limits<double>::infinity();
    for (const auto &[Index, Tasks] : TaskCounts)
      Slowest = std::min(Slowest, m_Fleet.workers()[Index].m_Speed);
    // The rack in which the step starts first may be slower than another.
    const TimePoint End = *When + scaled(Step.m_Expected, 1 / Slowest);
    if (Best && End >= BestEnd)
      continue;
    Best = PlannedStart{*When, std::move(TaskCounts)};
    BestEnd = End;
  }
  return Best;
}

// Reserves resources on the workers on which a gang, or one more task of
// another step, can start first, so that no work is placed there that would
// still run then.
void Planner::reserve(const WaitingStep &Step) {
  const std::optional<PlannedStart> Best = findPlannedStart(Step);
  // A gang that spans racks is slow, but may still end sooner.
  if (Step.m_OneRack) {
    const Duration Extra =
        scaled(Step.m_Expected, m_Options.m_RemotePenalty - 1);
    if (!Best || Best->m_At > m_Now + Extra) {
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
  for (const auto &[Index, Tasks] : Best->m_TaskCounts) {
    Reservation New;
    New.m_From = Best->m_At;
    workload::add(New.m_Amounts, Need, Tasks);
    m_Fleet.workers()[Index].m_Reservations.push_back(New);
  }
}

} // namespace anvil::dispatch::internal
