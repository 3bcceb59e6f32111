#include "RunTracker.h"

#include <algorithm>
#include <cmath>

namespace anvil::dispatch::internal {

namespace {

// Progress that must have been seen before its rate is used.
constexpr int32_t MinPercentForRate = 4;

// A working task shows another percent in a hundredth of its time; reports come
// a few times a second. This many hundredths, and at least this long, without
// another percent is a standstill.
constexpr double StallHundredths = 8;
constexpr Duration MinStall = std::chrono::milliseconds(2500);

// Least remaining time in a forecast: a run that is overdue may end any moment.
constexpr Duration MinRemaining = std::chrono::milliseconds(50);

// Time over which the speed of a run is measured.
constexpr Duration SpeedWindow = std::chrono::milliseconds(1200);

// Variance of the logarithm of the times of the tasks of one step, and of the
// speed of one run over time.
constexpr double TaskVariance = 0.1;
constexpr double OwnVariance = 0.08;

// Least time that is told from none.
constexpr double MinSeconds = 0.001;

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration scaled(Duration Value, double Factor) {
  return std::chrono::duration_cast<Duration>(Value * Factor);
}

} // namespace

Duration RunTracker::expected(const wire::JobRecord &Job,
                              const wire::TaskRef &Ref) const {
  if (const StepHistory *Known = timedHistory(stepOf(Ref)))
    return Duration(std::llround(std::exp(Known->mean()) * 1e6));
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  return m_Times.predict(Job.queue, Spec.estimateMs).m_Expected;
}

// What earlier runs of a step took says more of it than its estimate: a step
// that is longer than declared would otherwise be taken for a slow worker, and
// be moved from one sound worker to the next.
void RunTracker::learnStep(const wire::TaskRef &Ref, double Seconds) {
  StepHistory &Of = m_Steps[stepOf(Ref)];
  ++Of.m_Runs;
  Of.m_LogTotal += std::log(std::max(MinSeconds, Seconds));
}

const RunTracker::StepHistory *
RunTracker::timedHistory(const StepKey &Step) const {
  const auto It = m_Steps.find(Step);
  return It == m_Steps.end() || It->second.m_Runs == 0 ? nullptr : &It->second;
}

FailureContext RunTracker::noteFailure(const workload::RunEnded &Event) {
  std::set<WorkerKey> &FailedOn = m_Steps[stepOf(Event.m_Task)].m_FailedOn;
  const WorkerKey Here = keyOf(Event.m_Worker);
  const bool Before = !FailedOn.empty();
  const bool Elsewhere = FailedOn.size() > (FailedOn.contains(Here) ? 1U : 0U);
  FailedOn.insert(Here);
  if (Elsewhere)
    return FailureContext::OtherWorkers;
  return Before ? FailureContext::SameWorker : FailureContext::FirstOfStep;
}

void RunTracker::forgetSteps(const std::string &Job) {
  auto It = m_Steps.lower_bound({Job, INT32_MIN, INT32_MIN});
  while (It != m_Steps.end() && std::get<0>(It->first) == Job)
    It = m_Steps.erase(It);
}

void RunTracker::observe(const workload::WorkloadEvent &Event,
                         const workload::WorkloadState &State, TimePoint Now) {
  if (const auto *Placed = std::get_if<workload::RunPlaced>(&Event))
    placed(*Placed, State, Now);
  else if (const auto *Ended = std::get_if<workload::RunEnded>(&Event))
    ended(*Ended, State, Now);
  else if (const auto *Job = std::get_if<workload::JobChanged>(&Event);
           Job && workload::hasEnded(Job->m_Phase))
    forgetSteps(Job->m_Job);
}

void RunTracker::placed(const workload::RunPlaced &Event,
                        const workload::WorkloadState &State, TimePoint Now) {
  Track New;
  New.m_Run = Event.m_Run;
  New.m_Worker = Event.m_Worker;
  New.m_PlacedAt = Now;
  const wire::TaskRecord *Task = State.task(Event.m_Task);
  New.m_FromStart = Task && Task->checkpoint.empty();
  m_Runs[keyOf(Event.m_Task)] = New;
}

void RunTracker::ended(const workload::RunEnded &Event,
                       const workload::WorkloadState &State, TimePoint Now) {
  auto Node = m_Runs.extract(keyOf(Event.m_Task));
  const wire::JobRecord *Job = State.job(Event.m_Task.jobId);
  if (!Job || workload::hasEnded(Job->phase) || Node.empty() ||
      Node.mapped().m_Run != Event.m_Run)
    return;
  const Track &Of = Node.mapped();
  const auto Step = static_cast<size_t>(Event.m_Task.step);
  if (Step >= Job->spec.steps.size())
    return;
  const wire::StepSpec &Spec = Job->spec.steps[Step];
  if (Event.m_Kind == wire::RunEndKind::FAILED) {
    m_Health.failed(Event.m_Worker, noteFailure(Event), Now);
    return;
  }
  if (Event.m_Kind == wire::RunEndKind::NOT_STARTED) {
    m_Health.failed(Event.m_Worker, FailureContext::FirstOfStep, Now);
    return;
  }
  const bool Alone = !Spec.gang || Spec.tasks == 1;
  if (Event.m_Kind == wire::RunEndKind::STOPPED && Alone && speedOf(Of) > 0)
    learnStep(Event.m_Task, 100 / speedOf(Of));
  if (Event.m_Kind != wire::RunEndKind::DONE || !Of.m_FromStart)
    return;
  const Duration Took = Now - (Of.m_Started ? Of.m_StartedAt : Of.m_PlacedAt);
  if (Alone)
    learnStep(Event.m_Task, secondsOf(Took));
  m_Health.succeeded(Event.m_Worker, Now);
  // The time of a run on a slow worker says nothing of its task.
  if (m_Health.slowdown(Event.m_Worker, Now) > 1)
    return;
  m_Times.learn(Job->queue, Spec.estimateMs, Took);
}

void RunTracker::report(const wire::RunStatus &Status, TimePoint HeardAt) {
  const auto It = m_Runs.find(keyOf(Status.task));
  if (It == m_Runs.end() || It->second.m_Run != Status.run || !Status.running)
    return;
  Track &Of = It->second;
  Of.m_SeenAt = HeardAt;
  if (!Of.m_Started) {
    Of.m_Started = true;
    Of.m_StartedAt = HeardAt - std::chrono::milliseconds(Status.runningMs);
    Of.m_FirstPercent = Status.percent;
    Of.m_FirstAt = HeardAt;
    Of.m_Percent = Status.percent;
    Of.m_PercentAt = HeardAt;
    return;
  }
  Of.m_Samples.push_back({HeardAt, Status.percent});
  sampleSpeed(Of);
  if (Status.percent == Of.m_Percent)
    return;
  // A gang stands at zero until all of its members are there.
  if (Of.m_Percent == 0) {
    Of.m_FirstPercent = Status.percent;
    Of.m_FirstAt = HeardAt;
  }
  Of.m_Percent = Status.percent;
  Of.m_PercentAt = HeardAt;
  Of.m_StallNoted = false;
}

void RunTracker::update(const workload::WorkloadState &State,
                        const WorkerSessions &Sessions, TimePoint Now) {
  for (const auto &[Id, Worker] : State.workers()) {
    const LiveWorker *Live = Sessions.live(Worker.info.incarnation);
    if (!Live)
      continue;
    for (const wire::RunStatus &Status : Live->m_Runs)
      report(Status, Live->m_HeardAt);
  }
  std::map<StepKey, StepSpeeds> Steps;
  for (auto &[Key, Of] : m_Runs) {
    const wire::JobRecord *Job = State.job(std::get<0>(Key));
    if (!Job || static_cast<size_t>(std::get<2>(Key)) >= Job->spec.steps.size())
      continue;
    wire::TaskRef Ref;
    Ref.jobId = std::get<0>(Key);
    Ref.occurrence = std::get<1>(Key);
    Ref.step = std::get<2>(Key);
    Ref.index = std::get<3>(Key);
    judgeProgress(*Job, Ref, Of, Now);
    const wire::StepSpec &Spec = Job->spec.steps[static_cast<size_t>(Ref.step)];
    const double Speed = speedOf(Of);
    // The speed of a gang is that of its slowest member.
    if (Speed <= 0 || Spec.longRunning || (Spec.gang && Spec.tasks > 1))
      continue;
    StepSpeed &Sum = Steps[stepOf(Ref)][keyOf(Of.m_Worker)];
    ++Sum.m_Runs;
    Sum.m_LogTotal += std::log(100 / Speed);
    Sum.m_Worker = Of.m_Worker;
    Sum.m_Job = Job;
    Sum.m_Key = stepOf(Ref);
  }
  judgeSteps(Steps, Now);
}

Duration RunTracker::stallLimit(const wire::JobRecord &Job,
                                const wire::TaskRef &Ref,
                                const wire::WorkerIncarnation &Worker,
                                TimePoint Now) const {
  const Duration Hundredth = scaled(
      expected(Job, Ref), 0.01 * std::max(1.0, m_Health.slowdown(Worker, Now)));
  return std::max<Duration>(MinStall, scaled(Hundredth, StallHundredths));
}

// Keeps a window of samples and compares its speed to the highest so far.
void RunTracker::sampleSpeed(Track &Of) {
  while (Of.m_Samples.size() > 2 &&
         Of.m_Samples.back().m_At - Of.m_Samples[1].m_At >= SpeedWindow)
    Of.m_Samples.pop_front();
  const Duration Span = Of.m_Samples.back().m_At - Of.m_Samples.front().m_At;
  if (Span < SpeedWindow || Of.m_Samples.front().m_Percent == 0)
    return;
  Of.m_RecentSpeed =
      (Of.m_Samples.back().m_Percent - Of.m_Samples.front().m_Percent) /
      secondsOf(Span);
  Of.m_PeakSpeed = std::max(Of.m_PeakSpeed, Of.m_RecentSpeed);
}

void RunTracker::judgeProgress(const wire::JobRecord &Job,
                               const wire::TaskRef &Ref, Track &Of,
                               TimePoint Now) {
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  if (!Of.m_Started || Spec.longRunning)
    return;
  judgeStall(Job, Ref, Of, Now);
  if (!Spec.gang || Spec.tasks == 1)
    judgeOwnSpeed(Ref, Of, Now);
}

void RunTracker::judgeStall(const wire::JobRecord &Job,
                            const wire::TaskRef &Ref, Track &Of,
                            TimePoint Now) {
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  // Nothing is said of a worker whose reports do not come.
  if (Of.m_StallNoted ||
      Of.m_SeenAt - Of.m_PercentAt <= stallLimit(Job, Ref, Of.m_Worker, Now))
    return;
  Of.m_StallNoted = true;
  if (!Spec.gang || Spec.tasks == 1)
    m_Health.stalled(Of.m_Worker, Now);
}

double RunTracker::speedOf(const Track &Of) {
  if (Of.m_RecentSpeed > 0)
    return Of.m_RecentSpeed;
  const int32_t Made = Of.m_Percent - Of.m_FirstPercent;
  const double Seconds = secondsOf(Of.m_PercentAt - Of.m_FirstAt);
  return Made >= MinPercentForRate && Seconds > 0 ? Made / Seconds : 0;
}

// A run that has become slower than it was says much of its worker.
void RunTracker::judgeOwnSpeed(const wire::TaskRef &Ref, const Track &Of,
                               TimePoint Now) {
  if (Of.m_RecentSpeed <= 0 || Of.m_PeakSpeed <= 2 * Of.m_RecentSpeed)
    return;
  SpeedEvidence Evidence;
  Evidence.m_LogRatio = std::log(Of.m_PeakSpeed / Of.m_RecentSpeed);
  Evidence.m_Variance = OwnVariance;
  m_Health.observedSpeed(Of.m_Worker, workload::nameOf(Ref), Evidence, Now);
}

// The tasks of one step resemble each other, so together they say as much as a
// single one of how far the step is from what was expected of it.
void RunTracker::judgeSteps(const std::map<StepKey, StepSpeeds> &Steps,
                            TimePoint Now) {
  for (const auto &[Key, All] : Steps)
    for (const auto &[Worker, Of] : All)
      m_Health.observedSpeed(Of.m_Worker,
                             std::get<0>(Key) + "/" +
                                 std::to_string(std::get<1>(Key)) + "/" +
                                 std::to_string(std::get<2>(Key)),
                             evidenceOf(All, Of), Now);
}

// Compares a worker to the middle one of the others that run the same step, to
// earlier runs of the step, or to the expectation if there are neither.
SpeedEvidence RunTracker::evidenceOf(const StepSpeeds &All,
                                     const StepSpeed &Of) const {
  std::vector<double> Others;
  for (const auto &[Worker, Other] : All)
    if (!(Other.m_Worker == Of.m_Worker))
      Others.push_back(Other.mean());
  SpeedEvidence Evidence;
  if (!Others.empty()) {
    std::sort(Others.begin(), Others.end());
    Evidence.m_LogRatio = Of.mean() - Others[Others.size() / 2];
    Evidence.m_Variance = TaskVariance / Of.m_Runs +
                          TaskVariance / static_cast<double>(Others.size());
    return Evidence;
  }
  if (const StepHistory *Earlier = timedHistory(Of.m_Key)) {
    Evidence.m_LogRatio = Of.mean() - Earlier->mean();
    Evidence.m_Variance =
        TaskVariance / Of.m_Runs + TaskVariance / Earlier->m_Runs;
    return Evidence;
  }
  const wire::StepSpec &Spec =
      Of.m_Job->spec.steps[static_cast<size_t>(std::get<2>(Of.m_Key))];
  const RunTime Time = m_Times.predict(Of.m_Job->queue, Spec.estimateMs);
  Evidence.m_LogRatio =
      Of.mean() - std::log(std::max(0.001, secondsOf(Time.m_Expected)));
  Evidence.m_Variance = Time.m_LogVariance + TaskVariance / Of.m_Runs;
  return Evidence;
}

RunForecast RunTracker::forecast(const wire::JobRecord &Job,
                                 const wire::TaskRef &Ref,
                                 const wire::TaskRecord &Task,
                                 TimePoint Now) const {
  RunForecast Result;
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  const Duration Whole = expected(Job, Ref);
  const double Slowdown = m_Health.slowdown(Task.worker, Now);
  const auto It = m_Runs.find(keyOf(Ref));
  const bool Known = It != m_Runs.end() && It->second.m_Run == Task.run;
  if (!Known || !It->second.m_Started) {
    const TimePoint Since = Known ? It->second.m_PlacedAt : Now;
    Result.m_EndsAt =
        std::max(Now + MinRemaining, Since + scaled(Whole, Slowdown));
    Result.m_WorkLeftSeconds = secondsOf(Whole);
    return Result;
  }
  const Track &Of = It->second;
  Result.m_Started = true;
  const int32_t Made = Of.m_Percent - Of.m_FirstPercent;
  const double LeftShare = (100 - std::min(Of.m_Percent, 100)) / 100.0;
  Duration Remaining = scaled(Whole, LeftShare * Slowdown);
  double SoundSeconds = secondsOf(Whole);
  if (Of.m_RecentSpeed > 0) {
    Remaining =
        Duration(std::llround(LeftShare * 100 / Of.m_RecentSpeed * 1'000'000));
    // On a sound worker it would be as fast as it was at its best, or by as
    // much faster as this worker is slow.
    SoundSeconds = 100 / std::max(Of.m_PeakSpeed, Of.m_RecentSpeed * Slowdown);
  } else if (Made >= MinPercentForRate) {
    const double PerPercent = secondsOf(Of.m_PercentAt - Of.m_FirstAt) / Made;
    Remaining =
        Duration(std::llround(LeftShare * 100 * PerPercent * 1'000'000));
    SoundSeconds = 100 * PerPercent / Slowdown;
  }
  Result.m_EndsAt = std::max(Now + MinRemaining, Of.m_PercentAt + Remaining);
  Result.m_Stalled = Of.m_StallNoted;
  // A stop saves the progress of a task that writes checkpoints.
  Result.m_UnsavedSeconds = Spec.checkpointing
                                ? 0
                                : std::max(SoundSeconds * (1 - LeftShare),
                                           secondsOf(Now - Of.m_StartedAt));
  Result.m_WorkLeftSeconds =
      Spec.checkpointing ? SoundSeconds * LeftShare : SoundSeconds;
  return Result;
}

} // namespace anvil::dispatch::internal
