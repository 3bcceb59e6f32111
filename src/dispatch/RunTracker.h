#ifndef ANVIL_SRC_DISPATCH_RUNTRACKER_H
#define ANVIL_SRC_DISPATCH_RUNTRACKER_H

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "RunTimes.h"
#include "WorkerHealth.h"
#include "anvil/dispatch/WorkerSessions.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// What is expected of a run that is placed.
struct RunForecast {
  TimePoint m_EndsAt;
  /// Seconds of work that a stop would throw away.
  double m_UnsavedSeconds = 0;
  /// Seconds of work left on a sound worker, if it went on from what is saved.
  double m_WorkLeftSeconds = 0;
  /// Its progress has stood still for longer than a working task's does.
  bool m_Stalled = false;
  bool m_Started = false;
};

/// Follows the progress of all runs, learns how long tasks take and how workers
/// do, and forecasts when runs end.
class RunTracker {
public:
  RunTracker(RunTimes &Times, WorkerHealth &Health)
      : m_Times(Times), m_Health(Health) {}

  void clear() {
    m_Runs.clear();
    m_Steps.clear();
  }
  /// Learns from a change of the state.
  void observe(const workload::WorkloadEvent &Event,
               const workload::WorkloadState &State, TimePoint Now);
  /// Takes in what the agents reported last.
  void update(const workload::WorkloadState &State,
              const WorkerSessions &Sessions, TimePoint Now);
  /// Forecasts a run that is placed.
  RunForecast forecast(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                       const wire::TaskRecord &Task, TimePoint Now) const;

private:
  using WorkerKey = std::pair<std::string, int64_t>;
  using TaskKey = std::tuple<std::string, int32_t, int32_t, int32_t>;
  using StepKey = std::tuple<std::string, int32_t, int32_t>;
  struct Track {
    int64_t m_Run = 0;
    wire::WorkerIncarnation m_Worker;
    TimePoint m_PlacedAt;
    bool m_FromStart = true; ///< It did not continue from a checkpoint.
    bool m_Started = false;
    TimePoint m_StartedAt;
    int32_t m_FirstPercent = 0;
    TimePoint m_FirstAt; ///< When m_FirstPercent was seen.
    int32_t m_Percent = 0;
    TimePoint m_PercentAt; ///< When the percent changed last.
    TimePoint m_SeenAt;    ///< Last report that listed it.
    bool m_StallNoted = false;
    /// Lately seen progress, oldest first, to tell a change of the speed.
    struct Sample {
      TimePoint m_At;
      int32_t m_Percent = 0;
    };
    std::deque<Sample> m_Samples;
    /// Highest speed that was seen, in percent a second.
    double m_PeakSpeed = 0;
    double m_RecentSpeed = 0;
  };

  static TaskKey keyOf(const wire::TaskRef &Ref) {
    return {Ref.jobId, Ref.occurrence, Ref.step, Ref.index};
  }
  static StepKey stepOf(const wire::TaskRef &Ref) {
    return {Ref.jobId, Ref.occurrence, Ref.step};
  }
  static WorkerKey keyOf(const wire::WorkerIncarnation &Worker) {
    return {Worker.id, Worker.startedAtMs};
  }
  void placed(const workload::RunPlaced &Event,
              const workload::WorkloadState &State, TimePoint Now);
  void ended(const workload::RunEnded &Event,
             const workload::WorkloadState &State, TimePoint Now);
  void report(const wire::RunStatus &Status, TimePoint HeardAt);
  static void sampleSpeed(Track &Of);
  void judgeStall(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                  Track &Of, TimePoint Now);
  /// How the earlier runs of a step went.
  struct StepHistory {
    int32_t m_Runs = 0;    ///< Runs whose whole time is known.
    double m_LogTotal = 0; ///< Sum of the logarithms of those times.
    std::set<WorkerKey> m_FailedOn;

    double mean() const { return m_LogTotal / m_Runs; }
  };
  /// Means over the runs of one step on one worker.
  struct StepSpeed {
    double m_Runs = 0;
    double m_LogTotal = 0; ///< Sum of the logarithms of the whole times.
    wire::WorkerIncarnation m_Worker;
    const wire::JobRecord *m_Job = nullptr;
    StepKey m_Key;

    double mean() const { return m_LogTotal / m_Runs; }
  };
  using StepSpeeds = std::map<WorkerKey, StepSpeed>;

  void judgeOwnSpeed(const wire::TaskRef &Ref, const Track &Of, TimePoint Now);
  void judgeSteps(const std::map<StepKey, StepSpeeds> &Steps, TimePoint Now);
  SpeedEvidence evidenceOf(const StepSpeeds &All, const StepSpeed &Of) const;
  static double speedOf(const Track &Of);
  void judgeProgress(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                     Track &Of, TimePoint Now);
  Duration expected(const wire::JobRecord &Job, const wire::TaskRef &Ref) const;
  const StepHistory *timedHistory(const StepKey &Step) const;
  void learnStep(const wire::TaskRef &Ref, double Seconds);
  FailureContext noteFailure(const workload::RunEnded &Event);
  void forgetSteps(const std::string &Job);
  Duration stallLimit(const wire::JobRecord &Job, const wire::TaskRef &Ref,
                      const wire::WorkerIncarnation &Worker,
                      TimePoint Now) const;

  RunTimes &m_Times;
  WorkerHealth &m_Health;
  std::map<TaskKey, Track> m_Runs;
  std::map<StepKey, StepHistory> m_Steps; ///< Of jobs that have not ended.
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_RUNTRACKER_H
