#include "Placer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "Durations.h"

namespace anvil::dispatch::internal {

namespace {

// A worker above this suspicion (see WorkerView::m_Suspicion) gets no tasks if
// the others could hold the step, even when these are full: a worker that fails
// every run at once always looks free and would attract all tasks. The limit is
// lifted in the cases that Placer::suspicionLimit() lists.
constexpr double MaxSuspicion = 1.4;
// Limit for a task with one attempt left, so that it goes only where nothing
// failed recently, as long as it need not wait long for that.
constexpr double MaxSuspicionLastAttempt = 0.5;
// A worker above this suspicion gets one task at a time, so that few attempts
// are spent on finding out whether it still fails.
constexpr double MaxSuspicionForSharing = 0.7;
// A worker above this slowdown gets no tasks, unless a step has waited for as
// long as it would lose there.
constexpr double MaxSlowdown = 2.2;
// A step waits at least this long for a better worker.
constexpr Duration MinWaitForBetterWorker = std::chrono::milliseconds(1800);

// Cost of placing a task on a suspected worker, in seconds of run time for each
// unit of suspicion.
constexpr double SuspicionCostS = 4;
// Cost of fragments, in seconds of run time for a whole worker.
constexpr double FragmentCostS = 0.6;

// Weight of the additional run time on a slow worker for a job that has at
// least this many times the length of a task as slack.
constexpr double LeastSpeedWeight = 0.2;
constexpr double SlackForLeastWeight = 2;
constexpr double MinExpectedS = 0.1;

// Speeds of the members of a gang that differ by less than this factor count as
// equal.
constexpr double EqualSpeeds = 1.15;
// Cost of a fast worker for a gang that is slower, as a share of the time that
// the gang takes for each unit by which the worker is faster.
constexpr double WastedSpeedCost = 0.2;

// A long-running task has no limit on its attempts and must be up all the time,
// so after the minimum wait it starts on any worker.
bool mustStartAnywhere(const WaitingStep &Step) {
  return Step.m_Spec->longRunning && Step.m_Waited >= MinWaitForBetterWorker;
}

// Returns the cost in seconds of the additional run time at a lasting speed,
// besides a slowdown; negative above the normal speed.
double costOfSpeed(const WaitingStep &Step, double Slowdown, double Speed) {
  const double Expected = secondsOf(Step.m_Expected);
  const double SlackLengths =
      secondsOf(Step.m_Slack) / std::max(MinExpectedS, Expected);
  const double Weight = Step.m_Job->priority == 0
                            ? 1
                            : std::clamp(1 - SlackLengths / SlackForLeastWeight,
                                         LeastSpeedWeight, 1.0);
  return Weight * Expected * Slowdown * (1 / Speed - 1);
}

double shareOf(int32_t Part, int32_t Whole) {
  return Whole > 0 ? static_cast<double>(Part) / Whole : 0;
}

} // namespace

double fragmentsLeft(const wire::ResourceAmounts &Capacity,
                     const wire::ResourceAmounts &Free,
                     const wire::ResourceAmounts &Need) {
  return shareOf(Free.accelerators - Need.accelerators, Capacity.accelerators) +
         0.3 * shareOf(Free.memoryMib - Need.memoryMib, Capacity.memoryMib);
}

double Placer::slowdownOn(const WorkerView &Worker,
                          const WaitingStep &Step) const {
  const bool Remote = !Step.m_Spec->dataRack.empty() &&
                      Step.m_Spec->dataRack != Worker.info().rack;
  return std::max(1.0, Worker.m_Slowdown) * (Remote ? m_RemotePenalty : 1);
}

bool Placer::allowed(const WorkerView &Worker, const WaitingStep &Step) const {
  if (!Worker.m_Usable || !isEligible(Worker, *Step.m_Job, *Step.m_Spec))
    return false;
  if (Worker.m_Suspicion > Step.m_MaxSuspicion)
    return false;
  const Duration Loss = scaled(Step.m_Expected, Worker.m_Slowdown - 1);
  return Worker.m_Slowdown <= MaxSlowdown || mustStartAnywhere(Step) ||
         Step.m_Waited >= std::max(MinWaitForBetterWorker, Loss);
}

// Returns how many tasks of the step, at most \p Most, the worker could hold if
// nothing else ran there.
int32_t Placer::roomWhenEmpty(const WorkerView &Worker, const WaitingStep &Step,
                              int32_t Most) {
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  const int32_t RoomLimit = std::min(Most, roomByLimit(Worker, Step, 0));
  int32_t Room = 0;
  while (Room < RoomLimit &&
         workload::fits(Worker.info().capacity, wire::ResourceAmounts(), Need,
                        Room + 1))
    ++Room;
  return Room;
}

// A gang needs room for all of its tasks, other steps for one.
bool Placer::couldHold(const WaitingStep &Step, double SuspicionLimit) const {
  const int32_t Wanted = Step.m_Spec->gang ? Step.m_Spec->tasks : 1;
  int32_t Room = 0;
  for (const WorkerView &Worker : m_Fleet.workers()) {
    if (!Worker.m_Usable || Worker.m_Suspicion > SuspicionLimit ||
        !isEligible(Worker, *Step.m_Job, *Step.m_Spec))
      continue;
    Room += roomWhenEmpty(Worker, Step, Wanted - Room);
    if (Room >= Wanted)
      return true;
  }
  return false;
}

double Placer::suspicionLimit(const WaitingStep &Step) const {
  if (mustStartAnywhere(Step))
    return std::numeric_limits<double>::infinity();
  if (Step.m_LastAttempt && Step.m_Waited < MinWaitForBetterWorker &&
      couldHold(Step, MaxSuspicionLastAttempt))
    return MaxSuspicionLastAttempt;
  return couldHold(Step, MaxSuspicion)
             ? MaxSuspicion
             : std::numeric_limits<double>::infinity();
}

int32_t Placer::roomNow(const WorkerView &Worker, const WaitingStep &Step,
                        int32_t Planned) {
  const int32_t Room = roomByLimit(Worker, Step, Planned);
  // An infinite limit means that any worker is accepted; none is probed then.
  const bool Probing = Worker.m_Suspicion > MaxSuspicionForSharing &&
                       std::isfinite(Step.m_MaxSuspicion);
  if (!Probing)
    return Room;
  const auto Running = static_cast<int32_t>(Worker.m_Runs.size());
  return std::min(Room, std::max(0, 1 - Running - Worker.m_Placed - Planned));
}

int32_t Placer::roomByLimit(const WorkerView &Worker, const WaitingStep &Step,
                            int32_t Planned) {
  if (Step.m_Spec->maxTasksPerWorker == 0)
    return INT32_MAX;
  const auto It = Step.m_Running.find(Worker.info().incarnation.id);
  const int32_t There = It == Step.m_Running.end() ? 0 : It->second;
  return std::max(0, Step.m_Spec->maxTasksPerWorker - There - Planned);
}

double Placer::costOn(const WorkerView &Worker, const WaitingStep &Step,
                      double GangSpeed) const {
  double SpeedCost = costOfSpeed(
      Step, slowdownOn(Worker, Step),
      GangSpeed > 0 ? std::min(GangSpeed, Worker.m_Speed) : Worker.m_Speed);
  if (GangSpeed > 0 && Worker.m_Speed > GangSpeed)
    SpeedCost += WastedSpeedCost * secondsOf(Step.m_Expected) *
                 (Worker.m_Speed / GangSpeed - 1);
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  return secondsOf(Step.m_Expected) * (slowdownOn(Worker, Step) - 1) +
         SpeedCost + SuspicionCostS * Worker.m_Suspicion +
         FragmentCostS *
             fragmentsLeft(Worker.info().capacity, Worker.m_Free, Need);
}

bool Placer::fitsSomeRack(const WaitingStep &Step) const {
  std::map<std::string, int32_t> Room;
  for (const WorkerView &Worker : m_Fleet.workers()) {
    if (!Worker.m_Usable || !isEligible(Worker, *Step.m_Job, *Step.m_Spec))
      continue;
    Room[Worker.info().rack] += roomWhenEmpty(Worker, Step, Step.m_Spec->tasks);
  }
  return std::any_of(Room.begin(), Room.end(), [&](const auto &Each) {
    return Each.second >= Step.m_Spec->tasks;
  });
}

std::vector<std::string> Placer::racksFor(const WaitingStep &Step) const {
  if (!Step.m_OneRack)
    return {""};
  std::set<std::string> Racks;
  for (const WorkerView &Worker : m_Fleet.workers())
    if (isEligible(Worker, *Step.m_Job, *Step.m_Spec))
      Racks.insert(Worker.info().rack);
  return {Racks.begin(), Racks.end()};
}

// Returns until when a task started now would be in the way of reservations.
TimePoint Placer::endOn(const WorkerView &Worker, const WaitingStep &Step,
                        double GangSpeed) const {
  if (Step.m_MayTakeReserved || mustStartAnywhere(Step))
    return m_Fleet.now();
  if (Step.m_Spec->longRunning)
    return NoKnownEnd;
  const double Speed =
      GangSpeed > 0 ? std::min(GangSpeed, Worker.m_Speed) : Worker.m_Speed;
  return m_Fleet.now() +
         scaled(Step.m_Expected, slowdownOn(Worker, Step) / Speed);
}

// Returns the cost of one more task on the worker, or nothing if it can't start
// there now.
std::optional<double> Placer::costOfNext(const WorkerView &Worker,
                                         const WaitingStep &Step,
                                         int32_t Planned,
                                         double GangSpeed) const {
  if (roomNow(Worker, Step, Planned) == 0)
    return std::nullopt;
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  if (m_Fleet.countThatFit(Worker, Need, endOn(Worker, Step, GangSpeed), 1) ==
      0)
    return std::nullopt;
  return costOn(Worker, Step, GangSpeed);
}

// The cost on a worker changes only when it gets a task, so each task needs one
// new cost and not one for each worker.
std::optional<StepPlacement>
Placer::chooseWorkers(const WaitingStep &Step, const std::string &Rack,
                      int32_t Count, bool AllOrNothing, double GangSpeed) {
  struct Candidate {
    size_t m_Worker = 0;
    int32_t m_Planned = 0;
    std::optional<double> m_NextCost;
  };
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  std::vector<WorkerView> &Workers = m_Fleet.workers();
  std::vector<Candidate> Candidates;
  for (const size_t I : m_Fleet.inRack(Rack))
    if (allowed(Workers[I], Step) &&
        Workers[I].m_Speed * EqualSpeeds >= GangSpeed)
      Candidates.push_back({I, 0, costOfNext(Workers[I], Step, 0, GangSpeed)});
  StepPlacement Result;
  int32_t Placed = 0;
  for (; Placed < Count; ++Placed) {
    Candidate *Best = nullptr;
    for (Candidate &Each : Candidates)
      if (Each.m_NextCost && (!Best || *Each.m_NextCost < *Best->m_NextCost))
        Best = &Each;
    if (!Best)
      break;
    WorkerView &Worker = Workers[Best->m_Worker];
    workload::subtract(Worker.m_Free, Need);
    ++Best->m_Planned;
    Best->m_NextCost = costOfNext(Worker, Step, Best->m_Planned, GangSpeed);
    Result.m_Slowdown = std::max(Result.m_Slowdown, slowdownOn(Worker, Step));
    Result.m_LowestSpeed = std::min(Result.m_LowestSpeed, Worker.m_Speed);
    Result.m_HighestSpeed = std::max(Result.m_HighestSpeed, Worker.m_Speed);
  }
  for (const Candidate &Each : Candidates) {
    workload::add(Workers[Each.m_Worker].m_Free, Need, Each.m_Planned);
    if (Each.m_Planned > 0)
      Result.m_Shares.push_back({Each.m_Worker, Each.m_Planned});
  }
  if (AllOrNothing && Placed < Count)
    return std::nullopt;
  return Result;
}

// The first choice shows which speed the gang can have. If that mixes speeds,
// the second one leaves faster workers to others where it can.
std::optional<StepPlacement> Placer::chooseForGang(const WaitingStep &Step,
                                                   const std::string &Rack) {
  const int32_t Count = Step.m_Spec->tasks;
  std::optional<StepPlacement> Found = chooseWorkers(Step, Rack, Count, true);
  if (!Found || Found->m_HighestSpeed <= EqualSpeeds * Found->m_LowestSpeed)
    return Found;
  return chooseWorkers(Step, Rack, Count, true, Found->m_LowestSpeed);
}

std::optional<StepPlacement> Placer::placeGang(const WaitingStep &Step) {
  std::optional<StepPlacement> Best;
  double BestCost = 0;
  for (const std::string &Rack : racksFor(Step)) {
    std::optional<StepPlacement> Found = chooseForGang(Step, Rack);
    if (!Found)
      continue;
    double Cost = secondsOf(Step.m_Expected) * (Found->m_Slowdown - 1) +
                  costOfSpeed(Step, Found->m_Slowdown, Found->m_LowestSpeed);
    const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
    for (const Share &Each : Found->m_Shares) {
      const WorkerView &Worker = m_Fleet.workers()[Each.m_Worker];
      wire::ResourceAmounts All;
      workload::add(All, Need, Each.m_Tasks);
      Cost += SuspicionCostS * Worker.m_Suspicion +
              FragmentCostS *
                  fragmentsLeft(Worker.info().capacity, Worker.m_Free, All);
    }
    if (Best && Cost >= BestCost)
      continue;
    Best = std::move(Found);
    BestCost = Cost;
  }
  return Best;
}

StepPlacement Placer::placeTasks(const WaitingStep &Step) {
  return *chooseWorkers(Step, "", static_cast<int32_t>(Step.m_Indexes.size()),
                        false);
}

void Placer::take(const WaitingStep &Step, const StepPlacement &Chosen) {
  const wire::ResourceAmounts Need = workload::countedAmounts(*Step.m_Spec);
  for (const Share &Each : Chosen.m_Shares) {
    WorkerView &Worker = m_Fleet.workers()[Each.m_Worker];
    workload::subtract(Worker.m_Free, Need, Each.m_Tasks);
    Worker.m_Placed += Each.m_Tasks;
  }
}

} // namespace anvil::dispatch::internal
