#include "RunMover.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <numbers>
#include <tuple>
#include <utility>

#include "Durations.h"
#include "Steps.h"

namespace anvil::dispatch::internal {

namespace {

// Largest number of runs that one plan moves, so that a wrong estimate moves
// few.
constexpr size_t MaxMoves = 16;

// A move must save at least this many seconds and this share of the remaining
// time.
constexpr double MinGainS = 1.5;
constexpr double MinGainShare = 0.3;

// Time before a draining worker leaves that is left for the stop order to be
// committed and to reach the worker, besides the time of the stop itself.
constexpr Duration DrainMargin = std::chrono::milliseconds(600);

// Standard deviation of the logarithm of the time that a run still takes around
// its forecast.
constexpr double RemainingLogSpread = 0.3;

// Shorter remaining times are rounded up to this, since their logarithm is
// used.
constexpr double MinRemainingS = 0.001;

// A run goes on only with this chance to end before its worker leaves. The
// notice is the shortest time, and workers often stay longer.
constexpr double MinChanceToEnd = 0.6;

// Runs move only to workers whose slowdown and suspicion are at most these.
constexpr double MaxSlowdown = 1.5;
constexpr double MaxSuspicion = 0.7;

// Returns whether the run may continue on the worker.
bool canTakeRun(const WorkerView &Worker, const RunView &Run) {
  return Worker.m_Usable && Worker.m_Slowdown <= MaxSlowdown &&
         Worker.m_Suspicion <= MaxSuspicion &&
         isEligible(Worker, *Run.m_Job, *Run.m_Spec);
}

// Returns when the run would end on the worker if it continued there now.
TimePoint endOn(const WorkerView &Worker, const RunView &Run, TimePoint Now) {
  return Now + durationOf(Run.m_Forecast.m_WorkLeftSeconds / Worker.m_Speed);
}

// Returns the highest speed of another worker that has room for the run, or 0
// if none has.
double bestSpeedElsewhere(const Fleet &PlanFleet, const WorkerView &Worker,
                          const RunView &Run) {
  double Best = 0;
  for (const WorkerView &Other : PlanFleet.workers())
    if (Other.m_Speed > Best && &Other != &Worker && canTakeRun(Other, Run) &&
        PlanFleet.countThatFit(Other, Run.m_Amounts,
                               endOn(Other, Run, PlanFleet.now()), 1) > 0)
      Best = Other.m_Speed;
  return Best;
}

// Takes room for the run on other workers, the fastest ones first, for all
// members if it belongs to a gang. Returns false and takes nothing if there is
// not enough.
bool reserveRoomElsewhere(Fleet &PlanFleet, const WorkerView &Worker,
                          const RunView &Run) {
  const bool Gang = runsTogether(*Run.m_Spec);
  int32_t Missing = Gang ? Run.m_Spec->tasks : 1;
  std::vector<std::pair<WorkerView *, int32_t>> Found;
  std::vector<WorkerView *> Others;
  for (WorkerView &Other : PlanFleet.workers())
    if (&Other != &Worker && canTakeRun(Other, Run))
      Others.push_back(&Other);
  std::stable_sort(Others.begin(), Others.end(),
                   [](const WorkerView *Left, const WorkerView *Right) {
                     return Left->m_Speed > Right->m_Speed;
                   });
  for (WorkerView *Other : Others) {
    if (Missing == 0)
      break;
    const int32_t Here = PlanFleet.countThatFit(
        *Other, Run.m_Amounts, endOn(*Other, Run, PlanFleet.now()), Missing);
    if (Here == 0)
      continue;
    Found.emplace_back(Other, Here);
    Missing -= Here;
  }
  if (Missing > 0)
    return false;
  for (const auto &[Other, Tasks] : Found)
    workload::subtract(Other->m_Free, Run.m_Amounts, Tasks);
  return true;
}

Move makeMove(const RunView &Run, std::string_view Reason) {
  Move Result;
  Result.m_Run.task = Run.m_Task;
  Result.m_Run.run = Run.m_Run;
  Result.m_Reason = std::string(Reason);
  return Result;
}

bool mayMove(const RunView &Run) {
  return !Run.m_Stopping && !Run.m_Spec->longRunning;
}

} // namespace

// Collects the runs on draining workers. The members of their gangs on other
// workers count too, since a gang ends when its last member does. The progress
// of runs that an agent has not listed to a new leader is not known.
std::vector<RunMover::Leaving> RunMover::findLeaving(const Fleet &PlanFleet) {
  using GangKey = std::tuple<std::string_view, int32_t, int32_t>;
  const auto GangOf = [](const RunView &Run) -> GangKey {
    return {Run.m_Task.jobId, Run.m_Task.occurrence, Run.m_Task.step};
  };
  std::vector<Leaving> Result;
  std::map<GangKey, size_t> Gangs;
  for (const WorkerView &Worker : PlanFleet.workers())
    for (const RunView &Run : Worker.m_Runs) {
      if (!Worker.m_Draining || !Worker.m_RunsKnown || Run.m_Spec->longRunning)
        continue;
      size_t Index = Result.size();
      if (runsTogether(*Run.m_Spec))
        Index = Gangs.try_emplace(GangOf(Run), Index).first->second;
      if (Index == Result.size())
        Result.emplace_back();
      Leaving &Runs = Result[Index];
      Runs.m_OnDrainingWorkers.push_back(&Run);
      if (!Runs.m_Worker || Worker.m_LeavesAt < Runs.m_Worker->m_LeavesAt) {
        Runs.m_Worker = &Worker;
        Runs.m_Run = &Run;
      }
      addForecast(Runs, Run);
    }
  if (Gangs.empty())
    return Result;
  for (const WorkerView &Worker : PlanFleet.workers())
    for (const RunView &Run : Worker.m_Runs)
      if (!Worker.m_Draining && Worker.m_RunsKnown && runsTogether(*Run.m_Spec))
        if (const auto It = Gangs.find(GangOf(Run)); It != Gangs.end())
          addForecast(Result[It->second], Run);
  return Result;
}

void RunMover::addForecast(Leaving &Runs, const RunView &Run) {
  Runs.m_EndsAt = std::max(Runs.m_EndsAt, Run.m_Forecast.m_EndsAt);
  Runs.m_UnsavedSeconds =
      std::max(Runs.m_UnsavedSeconds, Run.m_Forecast.m_UnsavedSeconds);
  Runs.m_Stopping = Runs.m_Stopping || Run.m_Stopping;
}

// A stop now loses the work so far and a new start. Going on loses that and the
// work until the worker leaves, but only if the run does not end in time.
bool RunMover::isWorthGoingOn(TimePoint Now, const Leaving &Runs) const {
  const double Left = secondsOf(Runs.m_Worker->m_LeavesAt - Now);
  if (Runs.m_EndsAt == NoKnownEnd || Left <= 0)
    return false;
  const double Remaining =
      std::max(MinRemainingS, secondsOf(Runs.m_EndsAt - Now));
  const double Chance =
      0.5 * std::erfc(std::log(Remaining / Left) /
                      (RemainingLogSpread * std::numbers::sqrt2));
  const double LostByStop = Runs.m_UnsavedSeconds +
                            secondsOf(m_Options.m_StopTime) +
                            secondsOf(m_Options.m_RestoreTime);
  return Chance >= std::max(MinChanceToEnd, Left / (Left + LostByStop));
}

// A run that saves its progress can continue until shortly before its worker
// leaves, unless there is room for it elsewhere.
bool RunMover::mustStop(Fleet &PlanFleet, const Leaving &Runs) const {
  if (Runs.m_Stopping || isWorthGoingOn(PlanFleet.now(), Runs))
    return false;
  if (!Runs.m_Run->m_Spec->checkpointing)
    return true;
  const TimePoint LastStop =
      Runs.m_Worker->m_LeavesAt - m_Options.m_StopTime - DrainMargin;
  return PlanFleet.now() >= LastStop ||
         reserveRoomElsewhere(PlanFleet, *Runs.m_Worker, *Runs.m_Run);
}

// Whether a worker is slow is judged by its runs. A move is worth it only if
// the run ends sooner at the lasting speed of a worker that has room for it.
bool RunMover::isFasterElsewhere(const Fleet &PlanFleet,
                                 const WorkerView &Worker, const RunView &Run,
                                 double HighestSpeed) const {
  if (!Run.m_Forecast.m_Started || Run.m_Forecast.m_Stalled ||
      Run.m_Forecast.m_MovedAsSlow || runsTogether(*Run.m_Spec))
    return false;
  // Few runs gain at the highest speed, so few need the search for room.
  return gainsAt(PlanFleet, Run, HighestSpeed) &&
         gainsAt(PlanFleet, Run, bestSpeedElsewhere(PlanFleet, Worker, Run));
}

bool RunMover::gainsAt(const Fleet &PlanFleet, const RunView &Run,
                       double Speed) const {
  if (Speed <= 0)
    return false;
  const double Here = secondsOf(Run.m_Forecast.m_EndsAt - PlanFleet.now());
  const double Elsewhere = secondsOf(m_Options.m_StopTime) +
                           secondsOf(m_Options.m_RestoreTime) +
                           Run.m_Forecast.m_WorkLeftSeconds / Speed;
  const double Gain = Here - Elsewhere;
  return Gain > MinGainS && Gain > MinGainShare * Here;
}

std::vector<Move> RunMover::findOnDrainingWorkers(Fleet &PlanFleet) const {
  std::vector<Move> Moves;
  for (const Leaving &Runs : findLeaving(PlanFleet)) {
    if (Moves.size() >= MaxMoves)
      break;
    if (!mustStop(PlanFleet, Runs))
      continue;
    for (const RunView *Run : Runs.m_OnDrainingWorkers)
      Moves.push_back(makeMove(*Run, "its worker leaves before it ends"));
  }
  return Moves;
}

std::vector<Move> RunMover::findStalledOrSlow(Fleet &PlanFleet) const {
  std::vector<Move> Moves;
  double HighestSpeed = 0;
  for (const WorkerView &Worker : PlanFleet.workers())
    if (Worker.m_Usable)
      HighestSpeed = std::max(HighestSpeed, Worker.m_Speed);
  for (const WorkerView &Worker : PlanFleet.workers())
    for (const RunView &Run : Worker.m_Runs) {
      const bool Stalled = Run.m_Forecast.m_Stalled;
      if (Moves.size() >= MaxMoves || !mayMove(Run) ||
          (!Stalled &&
           !isFasterElsewhere(PlanFleet, Worker, Run, HighestSpeed)) ||
          !reserveRoomElsewhere(PlanFleet, Worker, Run))
        continue;
      Moves.push_back(
          makeMove(Run, Stalled ? StalledReason : SlowWorkerReason));
    }
  return Moves;
}

} // namespace anvil::dispatch::internal
