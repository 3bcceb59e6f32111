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
#include "WorkerSpeed.h"
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
  /// Seconds of work left on a healthy worker of normal speed if it continued
  /// from what is saved.
  double m_WorkLeftSeconds = 0;
  /// Its progress has not changed for longer than that of a working task does.
  bool m_Stalled = false;
  bool m_Started = false;
  /// It was placed on room that is reserved for a more urgent step, which may
  /// have it back; see LentRoomReason.
  bool m_OnLentRoom = false;
  /// Its task was stopped before with SlowWorkerReason and does not move for
  /// that reason again.
  bool m_MovedAsSlow = false;
};

/// Variance of the logarithms of the run times of one step's tasks.
inline constexpr double TaskVariance = 0.1;

/// Reasons with which a run is stopped in order to continue elsewhere.
inline constexpr std::string_view StalledReason = "it makes no progress";
inline constexpr std::string_view SlowWorkerReason = "its worker is slow";

/// Reason with which a run is placed on reserved room that is lent to it.
inline constexpr std::string_view LentRoomReason = "held back too long";

/// Follows the progress of all runs, records how long tasks take and how
/// workers perform, and forecasts when runs end.
class RunTracker {
public:
  using LossHook = std::function<void(const LostWork &)>;

  /// \p OnLostWork receives the work of runs that ended without a result; it
  /// may be empty.
  RunTracker(RunTimes &Times, WorkerHealth &Health, LossHook OnLostWork = {},
             WorkerSpeed Speeds = WorkerSpeed())
      : m_Times(Times), m_Health(Health), m_OnLostWork(std::move(OnLostWork)),
        m_Speeds(std::move(Speeds)) {}

  /// Returns the lasting speeds of the workers.
  const WorkerSpeed &speeds() const { return m_Speeds; }

  void clear() {
    m_Runs.clear();
    m_Steps.clear();
    m_MovedAsSlow.clear();
    m_Speeds.clear();
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
    TimePoint m_LastReportAt; ///< When the worker last listed the run.
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
    /// Lasting speed of its worker, or of the slowest member of its gang.
    double m_WorkerSpeed = 1;
    bool m_SpeedLearned = false; ///< Its speed is part of its worker's speed.

    int32_t percentGained() const { return m_Percent - m_FirstPercent; }
    Duration gainTime() const { return m_PercentAt - m_FirstAt; }
  };

  static TaskKey taskOf(const wire::TaskRef &Ref) {
    return {Ref.jobId, Ref.occurrence, Ref.step, Ref.index};
  }
  /// Returns the key of the task, or of its whole gang.
  static TaskKey moveKeyOf(const wire::StepSpec &Spec,
                           const wire::TaskRef &Ref);
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
  void forgetEndedRuns(const workload::WorkloadState &State);
  void recordStatus(const wire::RunStatus &Status, TimePoint ReceivedAt,
                    TimePoint ListedAt);
  static void updateSpeed(TrackedRun &Tracked);
  void checkStall(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                  TrackedRun &Tracked, TimePoint Now);
  /// Results of the earlier runs of a step. Times are those at normal speed.
  struct StepHistory {
    int32_t m_Runs = 0;    ///< Runs whose total time is known.
    double m_LogTotal = 0; ///< Sum of the logarithms of these times.
    std::set<WorkerKey> m_FailedOn;

    double mean() const { return m_LogTotal / m_Runs; }
  };
  /// Mean run time of the runs of one step on one worker, at normal speed.
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
  void updateWorkerSpeeds(const workload::WorkloadState &State);
  void learnWorkerSpeeds(const std::map<StepKey, StepSpeeds> &Steps,
                         TimePoint Now);
  void learnWorkerSpeed(const wire::JobRecord &Job, const StepKey &Step,
                        double Seconds, const StepSpeeds &All,
                        TrackedRun &Tracked, TimePoint Now);
  static RunForecast forecastUnstarted(Duration Expected, TimePoint PlacedAt,
                                       TimePoint Now);
  static RunForecast forecastStarted(const wire::StepSpec &Spec,
                                     const TrackedRun &Tracked,
                                     const RunTime &Whole, double Slowdown,
                                     TimePoint Now);
  static double speedOf(const TrackedRun &Tracked);
  void checkProgress(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                     TrackedRun &Tracked, TimePoint Now);
  /// Returns the expected time of the task on a worker of normal speed.
  RunTime expectedTime(const wire::JobRecord &Job,
                       const wire::TaskRef &Ref) const;
  const StepHistory *timedHistory(const StepKey &Step) const;
  void learnStep(const wire::TaskRef &Ref, double Seconds);
  FailureContext classifyFailure(const workload::RunEnded &Event);
  void forgetSteps(const std::string &Job);
  Duration stallLimit(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                      const TrackedRun &Tracked, TimePoint Now) const;

  RunTimes &m_Times;
  WorkerHealth &m_Health;
  LossHook m_OnLostWork;
  WorkerSpeed m_Speeds;
  GangLosses m_GangLosses;
  std::map<TaskKey, TrackedRun> m_Runs;
  std::map<StepKey, StepHistory> m_Steps; ///< Of jobs that have not ended.
  /// Tasks of jobs that have not ended that were moved because their worker was
  /// slow. The members of a gang move together and have one entry.
  std::set<TaskKey> m_MovedAsSlow;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_RUNTRACKER_H
