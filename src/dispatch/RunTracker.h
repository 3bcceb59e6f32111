#ifndef ANVIL_SRC_DISPATCH_RUNTRACKER_H
#define ANVIL_SRC_DISPATCH_RUNTRACKER_H

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>

#include "GangLosses.h"
#include "RunTimes.h"
#include "WorkerHealth.h"
#include "WorkerKey.h"
#include "anvil/dispatch/Dispatcher.h"
#include "anvil/dispatch/WorkerSessions.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// End of a run of which nothing tells when it ends: it lasts until it is
/// stopped, or it makes no progress. Nothing can be planned for after it.
inline constexpr TimePoint NoKnownEnd = TimePoint::max();

/// Forecast of a run that is placed on a worker.
struct RunForecast {
  TimePoint m_EndsAt; ///< May be NoKnownEnd.
  /// Seconds of work that a stop would lose.
  double m_UnsavedSeconds = 0;
  /// Seconds of work left on a healthy worker if it continued from what is
  /// saved.
  double m_WorkLeftSeconds = 0;
  /// Its progress has not changed for longer than that of a working task does.
  bool m_Stalled = false;
  bool m_Started = false;
  /// It was placed on room that is reserved for a more urgent step, which may
  /// have it back; see LentRoomReason.
  bool m_OnLentRoom = false;
};

/// Reason with which a run is placed on reserved room that is lent to it.
inline constexpr std::string_view LentRoomReason = "held back too long";

/// Follows the progress of all runs, records how long tasks take and how
/// workers perform, and forecasts when runs end.
class RunTracker {
public:
  using LossHook = std::function<void(const LostWork &)>;

  /// \p OnLostWork receives the work of runs that ended without a result; it
  /// may be empty.
  RunTracker(RunTimes &Times, WorkerHealth &Health, LossHook OnLostWork = {})
      : m_Times(Times), m_Health(Health), m_OnLostWork(std::move(OnLostWork)) {}

  void clear() {
    m_Runs.clear();
    m_Steps.clear();
    m_GangLosses.clear();
  }
  /// Updates the runs and the statistics from a change of the state.
  void observe(const workload::WorkloadEvent &Event,
               const workload::WorkloadState &State, TimePoint Now);
  /// Processes what the agents reported last.
  void update(const workload::WorkloadState &State,
              const WorkerSessions &Sessions, TimePoint Now);
  /// Forecasts a run that is placed.
  RunForecast forecast(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                       const wire::TaskRecord &Task, TimePoint Now) const;

private:
  using TaskKey = std::tuple<std::string, int32_t, int32_t, int32_t>;
  using StepKey = std::tuple<std::string, int32_t, int32_t>;
  struct TrackedRun {
    int64_t m_Run = 0;
    wire::WorkerIncarnation m_Worker;
    TimePoint m_PlacedAt;
    bool m_OnLentRoom = false;
    bool m_FromStart = true; ///< It did not continue from a checkpoint.
    bool m_Started = false;
    TimePoint m_StartedAt;
    std::string m_StopReason; ///< Empty until it is ordered to stop.
    int32_t m_FirstPercent = 0;
    TimePoint m_FirstAt; ///< When m_FirstPercent was seen.
    int32_t m_Percent = 0;
    TimePoint m_PercentAt;    ///< When the percent changed last.
    TimePoint m_LastReportAt; ///< Last report that listed the run.
    bool m_StallReported = false;
    /// Recent changes of the percent, oldest first, to detect a change of
    /// speed.
    struct Sample {
      TimePoint m_At;
      int32_t m_Percent = 0;
    };
    std::deque<Sample> m_Samples;
    /// Highest speed that the run surely had, in percent per second.
    double m_PeakSpeed = 0;
    double m_RecentSpeed = 0;
  };

  static TaskKey taskOf(const wire::TaskRef &Ref) {
    return {Ref.jobId, Ref.occurrence, Ref.step, Ref.index};
  }
  static StepKey stepOf(const wire::TaskRef &Ref) {
    return {Ref.jobId, Ref.occurrence, Ref.step};
  }
  void onPlaced(const workload::RunPlaced &Event,
                const workload::WorkloadState &State, TimePoint Now);
  void onStopping(const workload::RunStopping &Event,
                  const workload::WorkloadState &State);
  void reportLoss(const workload::RunEnded &Event, const TrackedRun &Tracked,
                  const wire::StepSpec &Spec, TimePoint Now);
  bool tracksStep(const wire::TaskRef &Ref) const;
  void onEnded(const workload::RunEnded &Event,
               const workload::WorkloadState &State, TimePoint Now);
  void adopt(const wire::RunStatus &Status,
             const workload::WorkloadState &State, TimePoint ReceivedAt);
  void recordStatus(const wire::RunStatus &Status, TimePoint ReceivedAt);
  static void updateSpeed(TrackedRun &Tracked);
  void checkStall(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                  TrackedRun &Tracked, TimePoint Now);
  /// Results of the earlier runs of a step.
  struct StepHistory {
    int32_t m_Runs = 0;    ///< Runs whose total time is known.
    double m_LogTotal = 0; ///< Sum of the logarithms of these times.
    std::set<WorkerKey> m_FailedOn;

    double mean() const { return m_LogTotal / m_Runs; }
  };
  /// Mean run time of the runs of one step on one worker.
  struct StepSpeed {
    double m_Runs = 0;
    double m_LogTotal = 0; ///< Sum of the logarithms of the total times.
    wire::WorkerIncarnation m_Worker;
    const wire::JobRecord *m_Job = nullptr;
    StepKey m_Key;

    double mean() const { return m_LogTotal / m_Runs; }
  };
  using StepSpeeds = std::map<WorkerKey, StepSpeed>;

  void recordOwnSlowdown(const wire::TaskRef &Ref, const TrackedRun &Tracked,
                         TimePoint Now);
  void recordStepSpeeds(const std::map<StepKey, StepSpeeds> &Steps,
                        TimePoint Now);
  SpeedEvidence evidenceOf(const StepSpeeds &All, const StepSpeed &Speed) const;
  static RunForecast forecastUnstarted(Duration Expected, TimePoint PlacedAt,
                                       TimePoint Now);
  static RunForecast forecastStarted(const wire::StepSpec &Spec,
                                     const TrackedRun &Tracked, Duration Whole,
                                     double Slowdown, TimePoint Now);
  static double speedOf(const TrackedRun &Tracked);
  void checkProgress(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                     TrackedRun &Tracked, TimePoint Now);
  Duration expectedTime(const wire::JobRecord &Job,
                        const wire::TaskRef &Ref) const;
  const StepHistory *timedHistory(const StepKey &Step) const;
  void learnStep(const wire::TaskRef &Ref, double Seconds);
  FailureContext classifyFailure(const workload::RunEnded &Event);
  void forgetSteps(const std::string &Job);
  Duration stallLimit(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                      const wire::WorkerIncarnation &Worker,
                      TimePoint Now) const;

  RunTimes &m_Times;
  WorkerHealth &m_Health;
  LossHook m_OnLostWork;
  GangLosses m_GangLosses;
  std::map<TaskKey, TrackedRun> m_Runs;
  std::map<StepKey, StepHistory> m_Steps; ///< Of jobs that have not ended.
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_RUNTRACKER_H
