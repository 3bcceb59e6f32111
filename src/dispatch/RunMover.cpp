#include "RunMover.h"

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

// Runs move only to workers whose slowdown and suspicion are at most these.
constexpr double MaxSlowdown = 1.5;
constexpr double MaxSuspicion = 0.7;

// Returns whether the run may continue on the worker.
bool canTakeRun(const WorkerView &Worker, const RunView &Run) {
  return Worker.m_Usable && Worker.m_Slowdown <= MaxSlowdown &&
         Worker.m_Suspicion <= MaxSuspicion &&
         isEligible(Worker, *Run.m_Job, *Run.m_Spec);
}

// Takes room for the run on other workers, for all members if it belongs to a
// gang. Returns false and takes nothing if there is not enough.
bool reserveRoomElsewhere(Fleet &PlanFleet, const WorkerView &Worker,
                          const RunView &Run) {
  const bool Gang = runsTogether(*Run.m_Spec);
  const TimePoint EndsAt =
      PlanFleet.now() + durationOf(Run.m_Forecast.m_WorkLeftSeconds);
  int32_t Missing = Gang ? Run.m_Spec->tasks : 1;
  std::vector<std::pair<WorkerView *, int32_t>> Found;
  for (WorkerView &Other : PlanFleet.workers()) {
    if (Missing == 0)
      break;
    if (&Other == &Worker || !canTakeRun(Other, Run))
      continue;
    const int32_t Here =
        PlanFleet.countThatFit(Other, Run.m_Amounts, EndsAt, Missing);
    if (Here == 0)
      continue;
    Found.emplace_back(&Other, Here);
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

// Until shortly before the worker leaves, a run is stopped only if there is
// room for it elsewhere. A run that saves its progress can continue until then;
// one that does not is lost in any case and starts anew.
bool RunMover::mustLeaveDrainingWorker(Fleet &PlanFleet,
                                       const WorkerView &Worker,
                                       const RunView &Run) const {
  if (!Worker.m_Draining || Run.m_Forecast.m_EndsAt <= Worker.m_LeavesAt)
    return false;
  const TimePoint LastStop =
      Worker.m_LeavesAt - m_Options.m_StopTime - DrainMargin;
  return PlanFleet.now() >= LastStop ||
         reserveRoomElsewhere(PlanFleet, Worker, Run);
}

bool RunMover::isFasterElsewhere(const Fleet &PlanFleet,
                                 const RunView &Run) const {
  if (!Run.m_Forecast.m_Started || runsTogether(*Run.m_Spec))
    return false;
  const double Here = secondsOf(Run.m_Forecast.m_EndsAt - PlanFleet.now());
  const double Elsewhere = secondsOf(m_Options.m_StopTime) +
                           secondsOf(m_Options.m_RestoreTime) +
                           Run.m_Forecast.m_WorkLeftSeconds;
  const double Gain = Here - Elsewhere;
  return Gain > MinGainS && Gain > MinGainShare * Here;
}

std::vector<Move> RunMover::findOnDrainingWorkers(Fleet &PlanFleet) const {
  std::vector<Move> Moves;
  for (const WorkerView &Worker : PlanFleet.workers())
    for (const RunView &Run : Worker.m_Runs)
      if (Moves.size() < MaxMoves && mayMove(Run) &&
          mustLeaveDrainingWorker(PlanFleet, Worker, Run))
        Moves.push_back(makeMove(Run, "its worker leaves before it ends"));
  return Moves;
}

std::vector<Move> RunMover::findStalledOrSlow(Fleet &PlanFleet) const {
  std::vector<Move> Moves;
  for (const WorkerView &Worker : PlanFleet.workers())
    for (const RunView &Run : Worker.m_Runs) {
      const bool Stalled = Run.m_Forecast.m_Stalled;
      if (Moves.size() >= MaxMoves || !mayMove(Run) ||
          (!Stalled && !isFasterElsewhere(PlanFleet, Run)) ||
          !reserveRoomElsewhere(PlanFleet, Worker, Run))
        continue;
      Moves.push_back(makeMove(Run, Stalled ? "it makes no progress"
                                            : "its worker is slow"));
    }
  return Moves;
}

} // namespace anvil::dispatch::internal
