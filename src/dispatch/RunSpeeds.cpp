#include <algorithm>
#include <cmath>
#include <optional>

#include "Durations.h"
#include "RunTracker.h"
#include "Steps.h"

namespace anvil::dispatch::internal {

namespace {

// Progress that a run must have made before its speed is evidence of the speed
// of its worker.
constexpr int32_t MinPercentToLearn = 20;
// Weight of that evidence while the worker seems to have a fault. It is not
// zero, so that a worker that is very slow for good is recognized.
constexpr double FaultyWeight = 0.15;

// Shorter times are rounded up to this, since their logarithm is used.
constexpr double MinSeconds = 0.001;

} // namespace

// The tasks of one step resemble each other, so together they are no more
// evidence than a single one of how far the step deviates from its expected
// time.
void RunTracker::recordStepSpeeds(const std::map<StepKey, StepSpeeds> &Steps,
                                  TimePoint Now) {
  for (const auto &[Key, All] : Steps)
    for (const auto &[Worker, Speed] : All)
      m_Health.recordSpeed(Speed.m_Worker,
                           std::get<0>(Key) + "/" +
                               std::to_string(std::get<1>(Key)) + "/" +
                               std::to_string(std::get<2>(Key)),
                           evidenceOf(All, Speed), Now);
}

// Compares a worker with the median of the other workers that run the same
// step, or else with earlier runs of the step, or else with the prediction.
SpeedEvidence RunTracker::evidenceOf(const StepSpeeds &All,
                                     const StepSpeed &Speed) const {
  std::vector<double> Others;
  for (const auto &[Worker, Other] : All)
    if (!(Other.m_Worker == Speed.m_Worker))
      Others.push_back(Other.mean());
  SpeedEvidence Evidence;
  if (!Others.empty()) {
    std::sort(Others.begin(), Others.end());
    Evidence.m_LogRatio = Speed.mean() - Others[Others.size() / 2];
    Evidence.m_Variance = TaskVariance / Speed.m_Runs +
                          TaskVariance / static_cast<double>(Others.size());
    return Evidence;
  }
  if (const StepHistory *Earlier = timedHistory(Speed.m_Key)) {
    Evidence.m_LogRatio = Speed.mean() - Earlier->mean();
    Evidence.m_Variance =
        TaskVariance / Speed.m_Runs + TaskVariance / Earlier->m_Runs;
    return Evidence;
  }
  const wire::StepSpec &Spec =
      Speed.m_Job->spec.steps[static_cast<size_t>(std::get<2>(Speed.m_Key))];
  const RunTime Time = m_Times.predict(Speed.m_Job->queue, Spec.estimateMs);
  Evidence.m_LogRatio =
      Speed.mean() - std::log(std::max(MinSeconds, secondsOf(Time.m_Expected)));
  Evidence.m_Variance = Time.m_LogVariance + TaskVariance / Speed.m_Runs;
  return Evidence;
}

void RunTracker::updateWorkerSpeeds(const workload::WorkloadState &State) {
  std::map<StepKey, double> Slowest;
  const auto GangOf = [&](const TaskKey &Key) -> std::optional<StepKey> {
    const wire::JobRecord *Job = State.job(std::get<0>(Key));
    const auto Step = static_cast<size_t>(std::get<2>(Key));
    if (!Job || Step >= Job->spec.steps.size() ||
        !runsTogether(Job->spec.steps[Step]))
      return std::nullopt;
    return StepKey{std::get<0>(Key), std::get<1>(Key), std::get<2>(Key)};
  };
  for (auto &[Key, Tracked] : m_Runs) {
    Tracked.m_WorkerSpeed = m_Speeds.speedOf(Tracked.m_Worker);
    if (const std::optional<StepKey> Gang = GangOf(Key)) {
      double &Speed =
          Slowest.emplace(*Gang, Tracked.m_WorkerSpeed).first->second;
      Speed = std::min(Speed, Tracked.m_WorkerSpeed);
    }
  }
  if (Slowest.empty())
    return;
  for (auto &[Key, Tracked] : m_Runs)
    if (const std::optional<StepKey> Gang = GangOf(Key))
      Tracked.m_WorkerSpeed = Slowest[*Gang];
}

void RunTracker::learnWorkerSpeeds(const std::map<StepKey, StepSpeeds> &Steps,
                                   TimePoint Now) {
  for (auto &[Key, Tracked] : m_Runs) {
    if (Tracked.m_SpeedLearned || Tracked.percentGained() < MinPercentToLearn)
      continue;
    const StepKey Step{std::get<0>(Key), std::get<1>(Key), std::get<2>(Key)};
    const auto All = Steps.find(Step);
    if (All == Steps.end())
      continue;
    const auto Here = All->second.find(keyOf(Tracked.m_Worker));
    if (Here != All->second.end())
      learnWorkerSpeed(*Here->second.m_Job, Step,
                       100 * secondsOf(Tracked.gainTime()) /
                           Tracked.percentGained(),
                       All->second, Tracked, Now);
  }
}

// Compares the time of a whole run at this pace with the other runs of its
// step, or else with the prediction. The tasks of a step share the error of the
// prediction, so together they have the weight of one.
void RunTracker::learnWorkerSpeed(const wire::JobRecord &Job,
                                  const StepKey &Step, double Seconds,
                                  const StepSpeeds &All, TrackedRun &Tracked,
                                  TimePoint Now) {
  if (Tracked.m_SpeedLearned)
    return;
  Tracked.m_SpeedLearned = true;
  StepSpeed Own;
  Own.m_Runs = 1;
  Own.m_LogTotal =
      std::log(std::max(MinSeconds, Seconds) * Tracked.m_WorkerSpeed);
  Own.m_Worker = Tracked.m_Worker;
  Own.m_Job = &Job;
  Own.m_Key = Step;
  double Weight =
      m_Health.slowdown(Tracked.m_Worker, Now) > 1 ? FaultyWeight : 1;
  if (const auto Here = All.find(keyOf(Tracked.m_Worker));
      Here != All.end() && All.size() == 1 && !timedHistory(Step))
    Weight /= Here->second.m_Runs;
  m_Speeds.learn(Tracked.m_Worker, evidenceOf(All, Own), Weight);
}

} // namespace anvil::dispatch::internal
