#include "JobRank.h"

#include <algorithm>
#include <cmath>

#include "Durations.h"

namespace anvil::dispatch::internal {

namespace {

// Cores that one accelerator counts as when different resources are compared.
constexpr double CoresPerAccelerator = 8;

// A job that ends later than its objective, but within this many times of it,
// earns this assumed share of its value.
constexpr double LateObjectives = 3;
constexpr double LateValueShare = 0.4;

// The value of a job grows less than its work: this share of the value does not
// depend on the work.
constexpr double FixedValueShare = 0.3;

// Look-ahead parameter of the apparent tardiness cost: the slack over which the
// urgency rises, in lengths of the job's critical path.
constexpr double LookAhead = 2;

// Rank of a job that can earn nothing any more. It is served only if no other
// job wants the resources; older jobs go first.
constexpr double NoValueRank = 1e-9;

// Returns the factor by which slack discounts a value: 1 without slack, less
// the more slack there is, 0 if it is too late.
double urgencyFactor(double SlackSeconds, double LengthSeconds) {
  if (SlackSeconds < 0)
    return 0;
  return std::exp(-SlackSeconds / (LookAhead * std::max(0.1, LengthSeconds)));
}

// Returns how long a run still needs. Nothing waits for the end of one that
// lasts; one that stands still needs the time of its work elsewhere.
Duration timeLeft(const wire::StepSpec &Spec, const RunForecast &Forecast,
                  TimePoint Now) {
  if (Spec.longRunning)
    return Duration(0);
  if (Forecast.m_EndsAt != NoKnownEnd)
    return Forecast.m_EndsAt - Now;
  return durationOf(Forecast.m_WorkLeftSeconds);
}

} // namespace

double coresOf(const wire::ResourceAmounts &Amounts) {
  return Amounts.milliCores / 1000.0 +
         CoresPerAccelerator * Amounts.accelerators;
}

void JobRank::update(const workload::WorkloadState &State, TimePoint Now) {
  std::map<std::string, TimePoint> Known;
  for (const auto &[Index, Id] : State.liveJobs()) {
    const auto It = m_FirstSeen.find(Id);
    Known[Id] = It == m_FirstSeen.end() ? Now : It->second;
    if (It != m_FirstSeen.end())
      continue;
    const wire::JobRecord &Job = *State.job(Id);
    Mean &QueueMean = m_MeanWork[Job.queue];
    ++QueueMean.m_Count;
    QueueMean.m_Value +=
        (wholeWork(Job) - QueueMean.m_Value) / QueueMean.m_Count;
  }
  m_FirstSeen = std::move(Known);
}

double JobRank::wholeWork(const wire::JobRecord &Job) const {
  double Sum = 0;
  for (const wire::StepSpec &Step : Job.spec.steps)
    Sum += coresOf(Step.perTask) * Step.tasks *
           secondsOf(m_Times.predict(Job.queue, Step.estimateMs).m_Expected);
  return Sum;
}

TimePoint JobRank::firstSeen(const std::string &Job, TimePoint Now) const {
  const auto It = m_FirstSeen.find(Job);
  return It == m_FirstSeen.end() ? Now : It->second;
}

JobRank::Work JobRank::workOf(const wire::JobRecord &Job,
                              const RunTracker &Tracker, TimePoint Now) const {
  Work Result;
  if (Job.occurrences.empty())
    return Result;
  const auto &[Number, Occurrence] = *Job.occurrences.begin();
  std::vector<Duration> WholeEnds;
  std::vector<Duration> LeftEnds;
  for (size_t Step = 0; Step < Job.spec.steps.size(); ++Step) {
    const wire::StepSpec &Spec = Job.spec.steps[Step];
    const wire::StepRecord &Record = Occurrence.steps[Step];
    const Duration Each =
        m_Times.predict(Job.queue, Spec.estimateMs).m_Expected;
    Duration WholeBegin{0};
    Duration LeftBegin{0};
    for (const int32_t Earlier : Spec.dependsOn) {
      WholeBegin =
          std::max(WholeBegin, WholeEnds[static_cast<size_t>(Earlier)]);
      LeftBegin = std::max(LeftBegin, LeftEnds[static_cast<size_t>(Earlier)]);
    }
    Duration Left{0};
    for (size_t I = 0; I < Record.tasks.size(); ++I) {
      const wire::TaskRecord &Task = Record.tasks[I];
      if (Task.phase == wire::TaskPhase::DONE)
        continue;
      Duration TaskLeft = Each;
      if (workload::isActive(Task)) {
        wire::TaskRef Ref;
        Ref.jobId = Job.id;
        Ref.occurrence = Number;
        Ref.step = static_cast<int32_t>(Step);
        Ref.index = static_cast<int32_t>(I);
        TaskLeft = timeLeft(Spec, Tracker.forecast(Job, Ref, Task, Now), Now);
      }
      Left = std::max(Left, TaskLeft);
      Result.m_CoreSecondsLeft += coresOf(Spec.perTask) * secondsOf(TaskLeft);
    }
    WholeEnds.push_back(WholeBegin + Each);
    LeftEnds.push_back(LeftBegin + Left);
    Result.m_CriticalPath = std::max(Result.m_CriticalPath, WholeEnds.back());
    Result.m_CriticalPathLeft =
        std::max(Result.m_CriticalPathLeft, LeftEnds.back());
  }
  return Result;
}

JobUrgency JobRank::urgencyOf(const wire::JobRecord &Job,
                              const RunTracker &Tracker, TimePoint Now) const {
  const Work JobWork = workOf(Job, Tracker, Now);
  const TimePoint Since = firstSeen(Job.id, Now);
  const Duration Objective =
      scaled(JobWork.m_CriticalPath, std::max(1.0, Job.slackFactor)) +
      std::chrono::milliseconds(Job.latencyTargetMs);
  JobUrgency Result;
  Result.m_CriticalPathLeft = JobWork.m_CriticalPathLeft;
  Result.m_Slack = Since + Objective - Now - JobWork.m_CriticalPathLeft;
  Result.m_LateSlack = Since + scaled(Objective, LateObjectives) - Now -
                       JobWork.m_CriticalPathLeft;
  const double Length = secondsOf(JobWork.m_CriticalPath);
  const double Value =
      (1 - LateValueShare) * urgencyFactor(secondsOf(Result.m_Slack), Length) +
      LateValueShare * urgencyFactor(secondsOf(Result.m_LateSlack), Length);
  // Small jobs are worth more in relation to their work than large ones.
  const double Work = std::max(1.0, JobWork.m_CoreSecondsLeft);
  const auto Mean = m_MeanWork.find(Job.queue);
  const double MeanWork =
      Mean == m_MeanWork.end() ? Work : Mean->second.m_Value;
  const double PerWork =
      (FixedValueShare * MeanWork / Work + (1 - FixedValueShare));
  const double Age = secondsOf(Now - Since);
  Result.m_Rank = Value * PerWork + NoValueRank * (1 + Age);
  return Result;
}

} // namespace anvil::dispatch::internal
