#include "RunMover.h"

#include <algorithm>

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

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

bool RunMover::hasRoomElsewhere(const Fleet &Of, const WorkerView &Worker,
                                const RunView &Run) {
  const bool Gang = Run.m_Spec->gang && Run.m_Spec->tasks > 1;
  int32_t Room = 0;
  for (const WorkerView &Other : Of.workers()) {
    if (&Other == &Worker || !Other.m_Usable ||
        !suits(Other, *Run.m_Job, *Run.m_Spec) ||
        Other.m_Slowdown > Worker.m_Slowdown / 2)
      continue;
    Room +=
        Of.countThatFit(Other, Run.m_Amounts, Duration(0), Run.m_Spec->tasks);
  }
  return Room >= (Gang ? Run.m_Spec->tasks : 1);
}

// A run that saves its progress can stay until shortly before the worker
// leaves, if there is no room for it yet; one that does not is lost anyway and
// starts anew at once.
bool RunMover::losesToLeaving(const Fleet &Of, const WorkerView &Worker,
                              const RunView &Run) const {
  if (!Worker.m_Draining || Run.m_Forecast.m_EndsAt <= Worker.m_LeavesAt)
    return false;
  const TimePoint LastStop =
      Worker.m_LeavesAt - m_Options.m_StopTime - LeaveMargin;
  return Of.now() >= LastStop || hasRoomElsewhere(Of, Worker, Run);
}

bool RunMover::isFasterElsewhere(const Fleet &Of, const WorkerView &Worker,
                                 const RunView &Run) const {
  if (!Run.m_Forecast.m_Started || (Run.m_Spec->gang && Run.m_Spec->tasks > 1))
    return false;
  const double Here = secondsOf(Run.m_Forecast.m_EndsAt - Of.now());
  const double Elsewhere = secondsOf(m_Options.m_StopTime) +
                           secondsOf(m_Options.m_RestoreTime) +
                           Run.m_Forecast.m_WorkLeftSeconds;
  const double Gain = Here - Elsewhere;
  return Gain > MinGainS && Gain > MinGainShare * Here &&
         hasRoomElsewhere(Of, Worker, Run);
}

std::string RunMover::reasonToMove(const Fleet &Of, const WorkerView &Worker,
                                   const RunView &Run) const {
  if (Run.m_Stopping || Run.m_Spec->longRunning)
    return "";
  if (losesToLeaving(Of, Worker, Run))
    return "its worker leaves before it ends";
  if (Run.m_Forecast.m_Stalled && hasRoomElsewhere(Of, Worker, Run))
    return "it makes no progress";
  if (isFasterElsewhere(Of, Worker, Run))
    return "its worker is slow";
  return "";
}

std::vector<Move> RunMover::find(const Fleet &Of) const {
  std::vector<Move> Moves;
  for (const WorkerView &Worker : Of.workers())
    for (const RunView &Run : Worker.m_Runs) {
      const std::string Reason = reasonToMove(Of, Worker, Run);
      if (Reason.empty() || Moves.size() >= MaxMoves)
        continue;
      Move Found;
      Found.m_Run.task = Run.m_Task;
      Found.m_Run.run = Run.m_Run;
      Found.m_Reason = Reason;
      Moves.push_back(std::move(Found));
    }
  return Moves;
}

} // namespace anvil::dispatch::internal
