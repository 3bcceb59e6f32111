#include "Backlog.h"

#include <algorithm>
#include <cmath>

#include "Durations.h"
#include "Steps.h"

namespace anvil::dispatch::internal {

namespace {

// Steps of this priority may preempt the runs of the others.
constexpr int32_t HighestPriority = 0;

// Share of the variance of a run time that is common to all tasks, as when the
// estimates of a queue are too high. It does not average out.
constexpr double CommonVarianceShare = 0.1;

// Returns how many tasks of \p Need fit into \p Free, at most \p Most.
int32_t countThatFit(const wire::ResourceAmounts &Free,
                     const wire::ResourceAmounts &Need, int32_t Most) {
  int32_t Count = Most;
  const auto Limit = [&Count](int32_t Has, int32_t Wants) {
    if (Wants > 0)
      Count = std::min(Count, std::max(0, Has) / Wants);
  };
  Limit(Free.milliCores, Need.milliCores);
  Limit(Free.memoryMib, Need.memoryMib);
  Limit(Free.accelerators, Need.accelerators);
  return Count;
}

} // namespace

void RoomOverTime::addWorker(const wire::ResourceAmounts &Capacity) {
  workload::add(m_Capacity, Capacity);
  workload::add(m_Free, Capacity);
}

void RoomOverTime::addRun(const wire::ResourceAmounts &Amounts,
                          TimePoint EndsAt) {
  workload::subtract(m_Free, Amounts);
  if (EndsAt == NoKnownEnd)
    workload::subtract(m_Capacity, Amounts);
  else
    release(EndsAt, Amounts);
}

void RoomOverTime::release(TimePoint At, const wire::ResourceAmounts &Amounts) {
  m_Releases.push_back({At, Amounts});
  std::push_heap(m_Releases.begin(), m_Releases.end());
}

bool RoomOverTime::start(const wire::ResourceAmounts &Need, int32_t Count,
                         bool Together, Duration Expected) {
  const int32_t Least = Together ? Count : 1;
  if (countThatFit(m_Capacity, Need, Count) < Least)
    return false;
  int32_t Left = Count;
  while (true) {
    const int32_t Fitting = countThatFit(m_Free, Need, Left);
    if (Fitting >= Least) {
      wire::ResourceAmounts Taken;
      workload::add(Taken, Need, Fitting);
      workload::subtract(m_Free, Taken);
      release(m_Time + Expected, Taken);
      Left -= Fitting;
    }
    if (Left == 0 || m_Releases.empty())
      return Left == 0;
    std::pop_heap(m_Releases.begin(), m_Releases.end());
    m_Time = std::max(m_Time, m_Releases.back().m_At);
    workload::add(m_Free, m_Releases.back().m_Amounts);
    m_Releases.pop_back();
  }
}

// A worker that drains takes no more work. One that is only silent counts,
// since it may be back before the job could start.
Backlog::Backlog(const Fleet &PlanFleet, TimePoint Now) : m_MadeAt(Now) {
  for (const WorkerView &Worker : PlanFleet.workers()) {
    if (Worker.m_Draining || Worker.m_ZoneWithdrawn)
      continue;
    Service &Its =
        m_Services.try_emplace(Worker.info().serviceName, Now).first->second;
    Its.m_Room.addWorker(Worker.info().capacity);
    Its.m_UrgentRoom.addWorker(Worker.info().capacity);
    for (const RunView &Run : Worker.m_Runs) {
      const bool Lasts = Run.m_Spec->longRunning;
      // A run that makes no progress may be stopped at any time.
      if (Run.m_Stopping || (Run.m_Forecast.m_EndsAt == NoKnownEnd && !Lasts))
        continue;
      const TimePoint EndsAt = Lasts ? NoKnownEnd : Run.m_Forecast.m_EndsAt;
      Its.m_Room.addRun(Run.m_Amounts, EndsAt);
      if (Run.m_Job->priority == HighestPriority)
        Its.m_UrgentRoom.addRun(Run.m_Amounts, EndsAt);
      else
        Its.m_HasLessUrgentRuns = true;
    }
  }
}

void Backlog::add(const WaitingStep &Step, const JobUrgency &Urgency) {
  const auto Its = m_Services.find(Step.m_Job->serviceName);
  if (Its == m_Services.end() || !Step.m_Spec->requiredLabel.empty())
    return;
  if (Step.m_Job != m_LastJob)
    ++m_JobNumber;
  m_LastJob = Step.m_Job;
  Entry New;
  New.m_Priority = Step.m_Job->priority;
  New.m_Rank = Urgency.m_Rank;
  New.m_Need = workload::countedAmounts(*Step.m_Spec);
  New.m_Tasks = static_cast<int32_t>(Step.m_Indexes.size());
  New.m_Together = runsTogether(*Step.m_Spec);
  New.m_Expected = Step.m_Expected;
  New.m_LastStart = m_MadeAt + Urgency.m_LateSlack;
  New.m_CoreSeconds =
      coresOf(Step.m_Spec->perTask) * New.m_Tasks * secondsOf(Step.m_Expected);
  New.m_LogVariance = Step.m_LogVariance;
  New.m_JobNumber = m_JobNumber;
  Its->second.m_Entries.push_back(New);
}

void Backlog::complete(const Fleet &PlanFleet) {
  m_LastJob = nullptr;
  for (auto &[Name, Each] : m_Services)
    simulate(Each);
  for (const WorkerView &Worker : PlanFleet.workers()) {
    const auto Its = m_Services.find(Worker.info().serviceName);
    if (!Worker.m_Usable || Its == m_Services.end())
      continue;
    FreeWorker Left;
    Left.m_Free = Worker.m_Free;
    for (const Reservation &Each : Worker.m_Reservations)
      workload::subtract(Left.m_Free, Each.m_Amounts);
    Left.m_Labels = Worker.info().labels;
    Its->second.m_Workers.push_back(std::move(Left));
  }
}

void Backlog::simulate(Service &Each) {
  auto Begin = Each.m_Entries.begin();
  while (Begin != Each.m_Entries.end()) {
    const auto End =
        std::find_if(Begin, Each.m_Entries.end(),
                     [Priority = Begin->m_Priority](const Entry &Other) {
                       return Other.m_Priority != Priority;
                     });
    simulatePriority(Each, Begin, End);
    Begin = End;
  }
}

// Jobs that lose their value before their turn comes are placed after the other
// jobs of their priority, as their rank will be the lowest by then.
void Backlog::simulatePriority(Service &Each, EntryIterator Begin,
                               EntryIterator End) {
  const auto Start = [&Each](Entry &Step) {
    Each.m_Room.start(Step.m_Need, Step.m_Tasks, Step.m_Together,
                      Step.m_Expected);
    Step.m_Start = Each.m_Room.time();
    Step.m_UrgentStart = Step.m_Start;
    if (Step.m_Priority != HighestPriority || !Each.m_HasLessUrgentRuns)
      return;
    Each.m_UrgentRoom.start(Step.m_Need, Step.m_Tasks, Step.m_Together,
                            Step.m_Expected);
    Step.m_UrgentStart = Each.m_UrgentRoom.time();
  };
  const bool Urgent =
      Begin->m_Priority == HighestPriority && Each.m_HasLessUrgentRuns;
  for (auto It = Begin; It != End; ++It) {
    const RoomOverTime &Room = Urgent ? Each.m_UrgentRoom : Each.m_Room;
    It->m_Hopeless = Room.time() > It->m_LastStart;
    if (!It->m_Hopeless)
      Start(*It);
  }
  for (auto It = Begin; It != End; ++It)
    if (It->m_Hopeless)
      Start(*It);
}

const Backlog::Service *Backlog::find(const std::string &Name) const {
  const auto It = m_Services.find(Name);
  return It == m_Services.end() ? nullptr : &It->second;
}

std::optional<wire::ResourceAmounts>
Backlog::capacityOf(const std::string &Name) const {
  const Service *Its = find(Name);
  if (!Its)
    return std::nullopt;
  return Its->m_Room.capacity();
}

// The run times of the tasks of one job deviate together, those of different
// jobs independently.
std::optional<Backlog::Ahead>
Backlog::aheadOf(const std::string &Name, int32_t Priority, double Rank) const {
  const Service *Its = find(Name);
  if (!Its)
    return std::nullopt;
  Ahead Result;
  Result.m_Start = m_MadeAt;
  double Work = 0;
  double WeightedVariance = 0;
  double SquareSum = 0;
  double JobDeviation = 0; // Standard deviation of the present job.
  int JobNumber = 0;
  for (const Entry &Each : Its->m_Entries) {
    const bool GoesFirst =
        Each.m_Priority < Priority || (Each.m_Priority == Priority &&
                                       !Each.m_Hopeless && Each.m_Rank >= Rank);
    if (!GoesFirst)
      continue;
    Result.m_Start = std::max(Result.m_Start, Priority == HighestPriority
                                                  ? Each.m_UrgentStart
                                                  : Each.m_Start);
    if (Each.m_JobNumber != JobNumber) {
      SquareSum += JobDeviation * JobDeviation;
      JobDeviation = 0;
      JobNumber = Each.m_JobNumber;
    }
    JobDeviation += Each.m_CoreSeconds * std::sqrt(Each.m_LogVariance);
    Work += Each.m_CoreSeconds;
    WeightedVariance += Each.m_CoreSeconds * Each.m_LogVariance;
  }
  SquareSum += JobDeviation * JobDeviation;
  if (Work > 0)
    Result.m_RelativeVariance = SquareSum / (Work * Work) +
                                CommonVarianceShare * WeightedVariance / Work;
  return Result;
}

bool Backlog::hasRoomFor(const std::string &Name,
                         const wire::StepSpec &Step) const {
  const Service *Its = find(Name);
  if (!Its)
    return false;
  const wire::ResourceAmounts Need = workload::countedAmounts(Step);
  const int32_t Wanted = Step.gang ? Step.tasks : 1;
  int32_t Count = 0;
  for (const FreeWorker &Worker : Its->m_Workers) {
    const bool HasLabel =
        Step.requiredLabel.empty() ||
        std::find(Worker.m_Labels.begin(), Worker.m_Labels.end(),
                  Step.requiredLabel) != Worker.m_Labels.end();
    const int32_t Most = Step.maxTasksPerWorker > 0
                             ? std::min(Step.maxTasksPerWorker, Wanted)
                             : Wanted;
    if (HasLabel)
      Count += countThatFit(Worker.m_Free, Need, Most);
    if (Count >= Wanted)
      return true;
  }
  return false;
}

} // namespace anvil::dispatch::internal
