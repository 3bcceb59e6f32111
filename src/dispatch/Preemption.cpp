#include "Preemption.h"

#include <algorithm>

#include "JobRank.h"
#include "Steps.h"

namespace anvil::dispatch::internal {

using workload::add;
using workload::subtract;

namespace {

// Cost of any stop besides the work that it loses, in core seconds: the run
// waits and starts again.
constexpr double StopCost = 4;

bool covers(const wire::ResourceAmounts &Has,
            const wire::ResourceAmounts &Wants) {
  return Has.milliCores >= Wants.milliCores &&
         Has.memoryMib >= Wants.memoryMib &&
         Has.accelerators >= Wants.accelerators;
}

// Returns how much of the missing resources a run would free, as a sum of a
// value between 0 and 1 for each resource.
double usefulness(const wire::ResourceAmounts &Frees,
                  const wire::ResourceAmounts &Missing) {
  const auto Part = [](int32_t Gives, int32_t Wants) {
    return Wants <= 0 ? 0.0 : std::min(1.0, static_cast<double>(Gives) / Wants);
  };
  return Part(Frees.accelerators, Missing.accelerators) +
         Part(Frees.memoryMib, Missing.memoryMib) +
         Part(Frees.milliCores, Missing.milliCores);
}

bool isReclaim(EvictionScope Scope) {
  return Scope == EvictionScope::LongRunning ||
         Scope == EvictionScope::BeyondGuarantee;
}

wire::ResourceAmounts missingOf(const wire::ResourceAmounts &Wants,
                                const wire::ResourceAmounts &Has) {
  wire::ResourceAmounts Result = Wants;
  subtract(Result, Has);
  return Result;
}

} // namespace

double Preemption::costOf(const RunView &Run) const {
  const bool Gang = runsTogether(*Run.m_Spec);
  const double Members = Gang ? Run.m_Spec->tasks : 1;
  // A long-running task has no result that a stop could lose.
  const double Lost =
      Run.m_Spec->longRunning
          ? 0
          : coresOf(Run.m_Amounts) * Run.m_Forecast.m_UnsavedSeconds;
  return Members * (StopCost + Lost);
}

bool Preemption::mayStop(const RunView &Run, const WaitingStep &Step,
                         EvictionScope Scope,
                         const std::optional<ReclaimLimits> &Limits) {
  if (Run.m_Stopping || (Limits && !Limits->allowsStop(Run)))
    return false;
  if (Run.m_Job->priority <= Step.m_Job->priority)
    return Scope == EvictionScope::BeyondGuarantee &&
           Run.m_Job->priority == GuaranteedPriority;
  if (Run.m_Spec->longRunning)
    return isReclaim(Scope);
  return Scope != EvictionScope::LentRoom || Run.m_Forecast.m_OnLentRoom;
}

// Adds the run that frees the most missing resources for its cost until there
// is enough, then drops the runs that turn out not to be needed.
std::optional<Preemption::Victims>
Preemption::victimsOn(const WorkerView &Worker, const WaitingStep &Step,
                      int32_t Tasks, EvictionScope Scope,
                      std::optional<ReclaimLimits> Limits) const {
  wire::ResourceAmounts Wants;
  add(Wants, workload::countedAmounts(*Step.m_Spec), Tasks);
  wire::ResourceAmounts Has = Worker.m_Free;
  add(Has, Worker.m_Releasing);
  // Resources that are reserved for a more urgent step are not available.
  for (const Reservation &Each : Worker.m_Reservations)
    subtract(Has, Each.m_Amounts);
  Victims Result;
  std::set<size_t> Taken;
  while (!covers(Has, Wants)) {
    std::optional<size_t> Best;
    double BestValue = 0;
    for (size_t I = 0; I < Worker.m_Runs.size(); ++I) {
      const RunView &Run = Worker.m_Runs[I];
      if (Taken.contains(I) || !mayStop(Run, Step, Scope, Limits))
        continue;
      const double Value =
          usefulness(Run.m_Amounts, missingOf(Wants, Has)) / costOf(Run);
      if (Value <= BestValue)
        continue;
      Best = I;
      BestValue = Value;
    }
    if (!Best)
      return std::nullopt;
    Taken.insert(*Best);
    if (Limits)
      Limits->recordStop(Worker.m_Runs[*Best]);
    add(Has, Worker.m_Runs[*Best].m_Amounts);
  }
  for (auto It = Taken.begin(); It != Taken.end();) {
    wire::ResourceAmounts Without = Has;
    subtract(Without, Worker.m_Runs[*It].m_Amounts);
    if (!covers(Without, Wants)) {
      ++It;
      continue;
    }
    Has = Without;
    It = Taken.erase(It);
  }
  for (const size_t I : Taken) {
    Result.m_Runs.push_back(I);
    Result.m_Cost += costOf(Worker.m_Runs[I]);
  }
  return Result;
}

// The victims on a worker change only when it gets a task, so each task needs
// one new search and not one for each worker. A reclaim has limits that span
// workers, so it searches all of them again.
std::optional<Eviction>
Preemption::findIn(const WaitingStep &Step, const std::string &Rack,
                   int32_t Count, EvictionScope Scope,
                   const std::optional<ReclaimLimits> &Limits) const {
  struct Candidate {
    size_t m_Worker = 0;
    int32_t m_Planned = 0;
    Victims m_Chosen;
    std::optional<Victims> m_Next; ///< With one more task.
    double m_NextCost = 0;
  };
  const std::vector<WorkerView> &Workers = m_Fleet.workers();
  std::vector<Candidate> Candidates;
  // Returns the limits after the stops that are chosen on the other workers.
  const auto LimitsFor = [&](const Candidate &For) {
    std::optional<ReclaimLimits> Result = Limits;
    for (const Candidate &Other : Candidates)
      if (Result && &Other != &For)
        for (const size_t I : Other.m_Chosen.m_Runs)
          Result->recordStop(Workers[Other.m_Worker].m_Runs[I]);
    return Result;
  };
  const auto SearchNext = [&](Candidate &Each) {
    const WorkerView &Worker = Workers[Each.m_Worker];
    Each.m_Next.reset();
    if (Placer::roomNow(Worker, Step, Each.m_Planned) > 0)
      Each.m_Next =
          victimsOn(Worker, Step, Each.m_Planned + 1, Scope, LimitsFor(Each));
    if (Each.m_Next)
      Each.m_NextCost = Each.m_Next->m_Cost - Each.m_Chosen.m_Cost +
                        Worker.m_Suspicion +
                        m_Placer.slowdownOn(Worker, Step) / Worker.m_Speed;
  };
  for (const size_t I : m_Fleet.inRack(Rack))
    if (m_Placer.allowed(Workers[I], Step))
      SearchNext(Candidates.emplace_back(Candidate{I, 0, {}, {}, 0}));
  for (int32_t Placed = 0; Placed < Count; ++Placed) {
    Candidate *Best = nullptr;
    for (Candidate &Each : Candidates)
      if (Each.m_Next && (!Best || Each.m_NextCost < Best->m_NextCost))
        Best = &Each;
    if (!Best)
      return std::nullopt;
    ++Best->m_Planned;
    Best->m_Chosen = *std::move(Best->m_Next);
    if (!Limits)
      SearchNext(*Best);
    else
      std::for_each(Candidates.begin(), Candidates.end(), SearchNext);
  }
  Eviction Result;
  for (const Candidate &Each : Candidates) {
    if (Each.m_Planned == 0)
      continue;
    Result.m_Placement.m_Shares.push_back({Each.m_Worker, Each.m_Planned});
    for (const size_t I : Each.m_Chosen.m_Runs) {
      const RunView &Run = Workers[Each.m_Worker].m_Runs[I];
      wire::RunRef Ref;
      Ref.task = Run.m_Task;
      Ref.run = Run.m_Run;
      Result.m_Victims.push_back(std::move(Ref));
      Result.m_LostCoreSeconds += costOf(Run);
    }
  }
  return Result;
}

// Most reclaims end here: usually there is nothing that a narrower scope does
// not have too.
bool Preemption::hasReclaimable(
    const WaitingStep &Step, EvictionScope Scope,
    const std::optional<ReclaimLimits> &Limits) const {
  const auto IsReclaimable = [&](const RunView &Run) {
    const bool Urgent = Run.m_Job->priority <= Step.m_Job->priority;
    return (Scope == EvictionScope::BeyondGuarantee
                ? Urgent
                : Run.m_Spec->longRunning) &&
           mayStop(Run, Step, Scope, Limits);
  };
  return std::any_of(m_Fleet.workers().begin(), m_Fleet.workers().end(),
                     [&](const WorkerView &Worker) {
                       return std::any_of(Worker.m_Runs.begin(),
                                          Worker.m_Runs.end(), IsReclaimable);
                     });
}

std::optional<Eviction> Preemption::find(const WaitingStep &Step, int32_t Count,
                                         EvictionScope Scope) const {
  std::optional<Eviction> Best;
  std::optional<ReclaimLimits> Limits;
  if (isReclaim(Scope)) {
    Limits.emplace(m_Fleet, m_Guarantees);
    if (!hasReclaimable(Step, Scope, Limits))
      return Best;
  }
  for (const std::string &Rack : m_Placer.racksFor(Step)) {
    std::optional<Eviction> Found = findIn(Step, Rack, Count, Scope, Limits);
    if (Found && (!Best || Found->m_LostCoreSeconds < Best->m_LostCoreSeconds))
      Best = std::move(Found);
  }
  // A gang that spans racks is slow, but that is better than not starting. One
  // that stops nothing may wait for a rack instead.
  if (!Best && Step.m_OneRack && Scope != EvictionScope::LentRoom)
    Best = findIn(Step, "", Count, Scope, Limits);
  return Best;
}

void Preemption::reserve(const WaitingStep &Step, const Eviction &Chosen) {
  std::vector<WorkerView> &Workers = m_Fleet.workers();
  for (const Share &Each : Chosen.m_Placement.m_Shares) {
    WorkerView &Worker = Workers[Each.m_Worker];
    for (RunView &Run : Worker.m_Runs)
      for (const wire::RunRef &Victim : Chosen.m_Victims)
        if (Run.m_Task == Victim.task && !Run.m_Stopping) {
          Run.m_Stopping = true;
          add(Worker.m_Releasing, Run.m_Amounts);
        }
    wire::ResourceAmounts Need;
    add(Need, workload::countedAmounts(*Step.m_Spec), Each.m_Tasks);
    // Takes resources that are being released first, so that what is free now
    // remains usable.
    const auto Part = [](int32_t Wants, int32_t Has) {
      return std::clamp(Wants, 0, std::max(0, Has));
    };
    wire::ResourceAmounts Promised;
    Promised.milliCores = Part(Need.milliCores, Worker.m_Releasing.milliCores);
    Promised.memoryMib = Part(Need.memoryMib, Worker.m_Releasing.memoryMib);
    Promised.accelerators =
        Part(Need.accelerators, Worker.m_Releasing.accelerators);
    subtract(Worker.m_Releasing, Promised);
    add(Worker.m_Promised, Promised);
    subtract(Need, Promised);
    subtract(Worker.m_Free, Need);
  }
}

} // namespace anvil::dispatch::internal
