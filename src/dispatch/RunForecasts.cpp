#include <algorithm>
#include <cmath>

#include "Durations.h"
#include "RunTracker.h"

namespace anvil::dispatch::internal {

namespace {

// Shortest remaining time of a forecast: an overdue run may end at any time.
constexpr Duration MinRemaining = std::chrono::milliseconds(50);

} // namespace

// A run whose order is still unanswered after the time that it should have
// taken may start at any time or never.
RunForecast RunTracker::forecastUnstarted(Duration Expected, TimePoint PlacedAt,
                                          TimePoint Now) {
  RunForecast Result;
  Result.m_EndsAt = PlacedAt + Expected;
  if (Result.m_EndsAt <= Now)
    Result.m_EndsAt = NoKnownEnd;
  return Result;
}

RunForecast RunTracker::forecastStarted(const wire::StepSpec &Spec,
                                        const TrackedRun &Tracked,
                                        const RunTime &Whole, double Slowdown,
                                        TimePoint Now) {
  RunForecast Result;
  Result.m_Started = true;
  const double LeftShare = (100 - std::min(Tracked.m_Percent, 100)) / 100.0;
  // A run that reports no progress at all counts from its start.
  const TimePoint Since =
      Tracked.m_Percent == 0 ? Tracked.m_StartedAt : Tracked.m_PercentAt;
  TimePoint EndsAt;
  double HealthySeconds = secondsOf(Whole.m_Expected);
  if (Tracked.m_RecentSpeed > 0) {
    EndsAt = Tracked.m_PercentAt +
             Duration(std::llround(LeftShare * 100 / Tracked.m_RecentSpeed *
                                   1'000'000));
    // On a healthy worker the run would be as fast as at its best, or faster
    // than now by the slowdown of this worker, whichever is more.
    HealthySeconds =
        100 / std::max(Tracked.m_PeakSpeed, Tracked.m_RecentSpeed * Slowdown) *
        Tracked.m_WorkerSpeed;
  } else if (speedOf(Tracked) > 0) {
    const double PerPercent =
        secondsOf(Tracked.gainTime()) / Tracked.percentGained();
    EndsAt = Tracked.m_PercentAt +
             Duration(std::llround(LeftShare * 100 * PerPercent * 1'000'000));
    HealthySeconds = 100 * PerPercent / Slowdown * Tracked.m_WorkerSpeed;
  } else {
    const RunTime Left{
        scaled(Whole.m_Expected, LeftShare * Slowdown / Tracked.m_WorkerSpeed),
        Whole.m_LogVariance};
    EndsAt = Now + remainingTime(Left, Now - Since);
  }
  Result.m_Stalled = Tracked.m_StallReported;
  Result.m_EndsAt =
      Result.m_Stalled ? NoKnownEnd : std::max(Now + MinRemaining, EndsAt);
  // A stop saves the progress of a task that writes checkpoints.
  Result.m_UnsavedSeconds =
      Spec.checkpointing ? 0
                         : std::max(HealthySeconds * (1 - LeftShare),
                                    secondsOf(Now - Tracked.m_StartedAt));
  Result.m_WorkLeftSeconds =
      Spec.checkpointing ? HealthySeconds * LeftShare : HealthySeconds;
  return Result;
}

RunForecast RunTracker::forecast(const wire::JobRecord &Job,
                                 const wire::TaskRef &Ref,
                                 const wire::TaskRecord &Task,
                                 TimePoint Now) const {
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  const RunTime Whole = expectedTime(Job, Ref);
  const double Slowdown = m_Health.slowdown(Task.worker, Now);
  const auto It = m_Runs.find(taskOf(Ref));
  const bool Known = It != m_Runs.end() && It->second.m_Run == Task.run;
  RunForecast Result;
  if (Known && It->second.m_Started) {
    Result = forecastStarted(Spec, It->second, Whole, Slowdown, Now);
  } else {
    const TimePoint PlacedAt = Known ? It->second.m_PlacedAt : Now;
    const double Speed =
        Known ? It->second.m_WorkerSpeed : m_Speeds.speedOf(Task.worker);
    Result = forecastUnstarted(scaled(Whole.m_Expected, Slowdown / Speed),
                               PlacedAt, Now);
    Result.m_WorkLeftSeconds = secondsOf(Whole.m_Expected);
  }
  Result.m_MovedAsSlow = m_MovedAsSlow.contains(moveKeyOf(Spec, Ref));
  Result.m_OnLentRoom = Known && It->second.m_OnLentRoom;
  // The percent of a task that lasts is 100 while it is at work.
  if (Spec.longRunning)
    Result.m_EndsAt = NoKnownEnd;
  return Result;
}

} // namespace anvil::dispatch::internal
