#include "RunMover.h"

#include <utility>

namespace anvil::dispatch::internal {

namespace {

// Runs that are moved by one plan, so that a wrong belief moves few.
constexpr size_t MaxMoves = 16;

// A move must save this much time, and this share of the remaining time.
constexpr double MinGainS = 1.5;
constexpr double MinGainShare = 0.3;

// Left beside the time of a stop before a worker leaves: for the order to be
// committed and to reach the worker.
constexpr Duration LeaveMargin = std::chrono::milliseconds(600);

// A run is moved only to workers that are not slower than this and have no more
// evidence against them.
constexpr double MaxSlowdown = 1.5;
constexpr double MaxSuspicion = 0.7;

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

// Returns whether a run may go on there: on a sound worker that stays.
bool takesRuns(const WorkerView &Worker, const RunView &Run) {
  return Worker.m_Usable && Worker.m_Slowdown <= MaxSlowdown &&
         Worker.m_Suspicion <= MaxSuspicion &&
         suits(Worker, *Run.m_Job, *Run.m_Spec);
}

// Takes room for the run on other workers, for all members if it is one of a
// gang. Returns false and takes none if there is not enough.
bool takeRoomElsewhere(Fleet &Of, const WorkerView &Worker,
                       const RunView &Run) {
  const bool Gang = Run.m_Spec->gang && Run.m_Spec->tasks > 1;
  const auto Span = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Run.m_Forecast.m_WorkLeftSeconds));
  int32_t Missing = Gang ? Run.m_Spec->tasks : 1;
  std::vector<std::pair<WorkerView *, int32_t>> Found;
  for (WorkerView &Other : Of.workers()) {
    if (Missing == 0)
      break;
    if (&Other == &Worker || !takesRuns(Other, Run))
      continue;
    const int32_t Here = Of.countThatFit(Other, Run.m_Amounts, Span, Missing);
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

// A run that saves its progress can stay until shortly before the worker
// leaves, if there is no room for it yet; one that does not is lost anyway and
// starts anew at once.
bool RunMover::losesToLeaving(Fleet &Of, const WorkerView &Worker,
                              const RunView &Run) const {
  if (!Worker.m_Draining || Run.m_Forecast.m_EndsAt <= Worker.m_LeavesAt)
    return false;
  const TimePoint LastStop =
      Worker.m_LeavesAt - m_Options.m_StopTime - LeaveMargin;
  return Of.now() >= LastStop || takeRoomElsewhere(Of, Worker, Run);
}

bool RunMover::isFasterElsewhere(const Fleet &Of, const RunView &Run) const {
  if (!Run.m_Forecast.m_Started || (Run.m_Spec->gang && Run.m_Spec->tasks > 1))
    return false;
  const double Here = secondsOf(Run.m_Forecast.m_EndsAt - Of.now());
  const double Elsewhere = secondsOf(m_Options.m_StopTime) +
                           secondsOf(m_Options.m_RestoreTime) +
                           Run.m_Forecast.m_WorkLeftSeconds;
  const double Gain = Here - Elsewhere;
  return Gain > MinGainS && Gain > MinGainShare * Here;
}

std::vector<Move> RunMover::findLeaving(Fleet &Of) const {
  std::vector<Move> Moves;
  for (const WorkerView &Worker : Of.workers())
    for (const RunView &Run : Worker.m_Runs)
      if (Moves.size() < MaxMoves && mayMove(Run) &&
          losesToLeaving(Of, Worker, Run))
        Moves.push_back(makeMove(Run, "its worker leaves before it ends"));
  return Moves;
}

std::vector<Move> RunMover::findStuck(Fleet &Of) const {
  std::vector<Move> Moves;
  for (const WorkerView &Worker : Of.workers())
    for (const RunView &Run : Worker.m_Runs) {
      const bool Stalled = Run.m_Forecast.m_Stalled;
      if (Moves.size() >= MaxMoves || !mayMove(Run) ||
          (!Stalled && !isFasterElsewhere(Of, Run)) ||
          !takeRoomElsewhere(Of, Worker, Run))
        continue;
      Moves.push_back(makeMove(Run, Stalled ? "it makes no progress"
                                            : "its worker is slow"));
    }
  return Moves;
}

} // namespace anvil::dispatch::internal
