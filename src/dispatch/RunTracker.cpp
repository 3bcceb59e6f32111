#include "RunTracker.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "Durations.h"
#include "JobRank.h"
#include "Steps.h"

namespace anvil::dispatch::internal {

namespace {

// Progress that must have been seen before its rate is used.
constexpr int32_t MinPercentForRate = 4;

// A working task gains one percent in a hundredth of its time, and reports
// arrive a few times a second. A run counts as stalled if it gains no percent
// for this many hundredths of its time and at least for this long.
constexpr double StallHundredths = 8;
constexpr Duration MinStall = std::chrono::milliseconds(2500);

// A run that was slow from the beginning counts as stalled if it gains no
// percent for this many times as long as its earlier ones took.
constexpr double StallPercents = 8;

// Percent from which a member of a gang has done its work; percents are rounded
// down.
constexpr int32_t GangMemberDonePercent = 99;

// Time over which the speed of a run is measured.
constexpr Duration SpeedWindow = std::chrono::milliseconds(1200);

// Variance of the logarithm of the speed of one run over time.
constexpr double RunVariance = 0.08;

// Shorter times are rounded up to this, since their logarithm is used.
constexpr double MinSeconds = 0.001;

} // namespace

RunTime RunTracker::expectedTime(const wire::JobRecord &Job,
                                 const wire::TaskRef &Ref) const {
  if (const StepHistory *Known = timedHistory(stepOf(Ref)))
    return {Duration(std::llround(std::exp(Known->mean()) * 1e6)),
            TaskVariance + TaskVariance / Known->m_Runs};
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  return m_Times.predict(Job.queue, Spec.estimateMs);
}

// Earlier runs of a step predict its time better than its estimate. Without
// them, a step that takes longer than declared would make its workers look slow
// and be moved from one healthy worker to the next.
void RunTracker::learnStep(const wire::TaskRef &Ref, double Seconds) {
  StepHistory &History = m_Steps[stepOf(Ref)];
  ++History.m_Runs;
  History.m_LogTotal += std::log(std::max(MinSeconds, Seconds));
}

const RunTracker::StepHistory *
RunTracker::timedHistory(const StepKey &Step) const {
  const auto It = m_Steps.find(Step);
  return It == m_Steps.end() || It->second.m_Runs == 0 ? nullptr : &It->second;
}

FailureContext RunTracker::classifyFailure(const workload::RunEnded &Event) {
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
  auto Moved =
      m_MovedAsSlow.lower_bound({Job, INT32_MIN, INT32_MIN, INT32_MIN});
  while (Moved != m_MovedAsSlow.end() && std::get<0>(*Moved) == Job)
    Moved = m_MovedAsSlow.erase(Moved);
}

void RunTracker::observe(const workload::WorkloadEvent &Event,
                         const workload::WorkloadState &State, TimePoint Now) {
  if (const auto *Placed = std::get_if<workload::RunPlaced>(&Event))
    onPlaced(*Placed, State, Now);
  else if (const auto *Stopping = std::get_if<workload::RunStopping>(&Event))
    onStopping(*Stopping, State);
  else if (const auto *Ended = std::get_if<workload::RunEnded>(&Event))
    onEnded(*Ended, State, Now);
  else if (const auto *Job = std::get_if<workload::JobChanged>(&Event);
           Job && workload::hasEnded(Job->m_Phase))
    forgetSteps(Job->m_Job);
}

void RunTracker::onPlaced(const workload::RunPlaced &Event,
                          const workload::WorkloadState &State, TimePoint Now) {
  TrackedRun New;
  New.m_Run = Event.m_Run;
  New.m_Worker = Event.m_Worker;
  New.m_PlacedAt = Now;
  New.m_OnLentRoom = Event.m_Reason == LentRoomReason;
  const wire::TaskRecord *Task = State.task(Event.m_Task);
  New.m_FromStart = Task && Task->checkpoint.empty();
  m_Runs[taskOf(Event.m_Task)] = New;
  m_GangLosses.forget(Event.m_Task);
}

RunTracker::TaskKey RunTracker::moveKeyOf(const wire::StepSpec &Spec,
                                          const wire::TaskRef &Ref) {
  TaskKey Key = taskOf(Ref);
  if (runsTogether(Spec))
    std::get<3>(Key) = -1;
  return Key;
}

void RunTracker::onStopping(const workload::RunStopping &Event,
                            const workload::WorkloadState &State) {
  const wire::JobRecord *Job = State.job(Event.m_Task.jobId);
  const auto Step = static_cast<size_t>(Event.m_Task.step);
  const wire::StepSpec *Spec =
      Job && Step < Job->spec.steps.size() ? &Job->spec.steps[Step] : nullptr;
  if (Spec && Event.m_Reason == SlowWorkerReason)
    m_MovedAsSlow.insert(moveKeyOf(*Spec, Event.m_Task));
  const auto It = m_Runs.find(taskOf(Event.m_Task));
  if (It == m_Runs.end() || It->second.m_Run != Event.m_Run)
    return;
  It->second.m_StopReason = Event.m_Reason;
  if (m_OnLostWork && Spec && runsTogether(*Spec))
    m_GangLosses.recordStop(Event.m_Task, Event.m_Reason);
}

bool RunTracker::tracksStep(const wire::TaskRef &Ref) const {
  const auto It =
      m_Runs.lower_bound({Ref.jobId, Ref.occurrence, Ref.step, INT32_MIN});
  return It != m_Runs.end() && std::get<0>(It->first) == Ref.jobId &&
         std::get<1>(It->first) == Ref.occurrence &&
         std::get<2>(It->first) == Ref.step;
}

// A task that writes checkpoints loses little, and how much is not known.
void RunTracker::reportLoss(const workload::RunEnded &Event,
                            const TrackedRun &Tracked,
                            const wire::StepSpec &Spec, TimePoint Now) {
  if (!m_OnLostWork)
    return;
  std::optional<LostWork> Lost;
  if (Event.m_Kind != wire::RunEndKind::DONE && Tracked.m_Started &&
      !Spec.checkpointing && !Spec.longRunning) {
    Lost.emplace();
    Lost->m_Task = Event.m_Task;
    Lost->m_Run = Event.m_Run;
    // The reason is not known if an earlier leader ordered the stop.
    const bool Ordered = Event.m_Kind == wire::RunEndKind::STOPPED &&
                         !Tracked.m_StopReason.empty();
    Lost->m_Cause =
        Ordered ? Tracked.m_StopReason : workload::nameOf(Event.m_Kind);
    Lost->m_CoreSeconds =
        coresOf(Spec.perTask) * secondsOf(Now - Tracked.m_StartedAt);
  }
  if (runsTogether(Spec)) {
    const MemberEnd End{Event.m_Task, Event.m_Kind, tracksStep(Event.m_Task),
                        Lost};
    for (const LostWork &Each : m_GangLosses.recordEnd(End))
      m_OnLostWork(Each);
  } else if (Lost) {
    m_OnLostWork(*Lost);
  }
}

void RunTracker::onEnded(const workload::RunEnded &Event,
                         const workload::WorkloadState &State, TimePoint Now) {
  auto Node = m_Runs.extract(taskOf(Event.m_Task));
  const wire::JobRecord *Job = State.job(Event.m_Task.jobId);
  if (!Job)
    m_GangLosses.forget(Event.m_Task);
  if (!Job || Node.empty() || Node.mapped().m_Run != Event.m_Run)
    return;
  TrackedRun &Tracked = Node.mapped();
  const auto Step = static_cast<size_t>(Event.m_Task.step);
  if (Step >= Job->spec.steps.size())
    return;
  const wire::StepSpec &Spec = Job->spec.steps[Step];
  reportLoss(Event, Tracked, Spec, Now);
  if (workload::hasEnded(Job->phase))
    return;
  if (Event.m_Kind == wire::RunEndKind::FAILED) {
    m_Health.recordFailure(Event.m_Worker, classifyFailure(Event), Now);
    return;
  }
  if (Event.m_Kind == wire::RunEndKind::NOT_STARTED) {
    m_Health.recordFailure(Event.m_Worker, FailureContext::FirstOfStep, Now);
    return;
  }
  const bool Independent = !runsTogether(Spec);
  if (Event.m_Kind == wire::RunEndKind::STOPPED && Independent &&
      speedOf(Tracked) > 0)
    learnStep(Event.m_Task, 100 / speedOf(Tracked) * Tracked.m_WorkerSpeed);
  if (Event.m_Kind != wire::RunEndKind::DONE || !Tracked.m_FromStart)
    return;
  const Duration Took =
      Now - (Tracked.m_Started ? Tracked.m_StartedAt : Tracked.m_PlacedAt);
  if (Independent) {
    learnWorkerSpeed(*Job, stepOf(Event.m_Task), secondsOf(Took), {}, Tracked,
                     Now);
    learnStep(Event.m_Task, secondsOf(Took) * Tracked.m_WorkerSpeed);
  }
  m_Health.recordSuccess(Event.m_Worker, Now);
  // The time of a run on a slow worker says nothing about its task.
  if (m_Health.slowdown(Event.m_Worker, Now) > 1)
    return;
  m_Times.learn(Job->queue, Spec.estimateMs,
                scaled(Took, Tracked.m_WorkerSpeed));
}

// A leader did not see how runs were placed that are older than its leadership.
// Without their progress they would look as if they had just started, and their
// stop as if it cost nothing.
void RunTracker::adopt(const wire::RunStatus &Status,
                       const workload::WorkloadState &State,
                       TimePoint ReceivedAt) {
  if (!Status.running)
    return;
  const auto It = m_Runs.find(taskOf(Status.task));
  if (It != m_Runs.end() && It->second.m_Run == Status.run)
    return;
  const wire::TaskRecord *Task = State.task(Status.task);
  if (!Task || Task->run != Status.run || !workload::isActive(*Task))
    return;
  TrackedRun Adopted;
  Adopted.m_Run = Status.run;
  Adopted.m_Worker = Task->worker;
  Adopted.m_PlacedAt = ReceivedAt - std::chrono::milliseconds(Status.runningMs);
  Adopted.m_FromStart = Task->checkpoint.empty();
  m_Runs[taskOf(Status.task)] = Adopted;
}

void RunTracker::recordStatus(const wire::RunStatus &Status,
                              TimePoint ReceivedAt, TimePoint ListedAt) {
  const auto It = m_Runs.find(taskOf(Status.task));
  if (It == m_Runs.end() || It->second.m_Run != Status.run || !Status.running)
    return;
  TrackedRun &Tracked = It->second;
  Tracked.m_LastReportAt = ListedAt;
  if (!Tracked.m_Started) {
    Tracked.m_Started = true;
    Tracked.m_StartedAt =
        ReceivedAt - std::chrono::milliseconds(Status.runningMs);
    Tracked.m_FirstPercent = Status.percent;
    Tracked.m_FirstAt = ListedAt;
    Tracked.m_Percent = Status.percent;
    Tracked.m_PercentAt = ListedAt;
    return;
  }
  if (Status.percent == Tracked.m_Percent)
    return;
  // Agents report to the leader more often than they hear from the worker.
  // Measured between reports that repeat a percent, the speed of a steady run
  // would vary by a factor of two.
  Tracked.m_Samples.push_back({ListedAt, Status.percent});
  updateSpeed(Tracked);
  // A gang stays at zero percent until all of its members have started.
  if (Tracked.m_Percent == 0) {
    Tracked.m_FirstPercent = Status.percent;
    Tracked.m_FirstAt = ListedAt;
  }
  Tracked.m_Percent = Status.percent;
  Tracked.m_PercentAt = ListedAt;
  Tracked.m_StallReported = false;
}

// The end of a gang is one event, which does not name its other members.
void RunTracker::forgetEndedRuns(const workload::WorkloadState &State) {
  std::erase_if(m_Runs, [&](const auto &Each) {
    const auto &[Job, Occurrence, Step, Index] = Each.first;
    wire::TaskRef Ref;
    Ref.jobId = Job;
    Ref.occurrence = Occurrence;
    Ref.step = Step;
    Ref.index = Index;
    const wire::TaskRecord *Task = State.task(Ref);
    return !Task || Task->run != Each.second.m_Run ||
           !workload::isActive(*Task);
  });
}

void RunTracker::update(const workload::WorkloadState &State,
                        const WorkerSessions &Sessions, TimePoint Now) {
  for (const auto &[Id, Worker] : State.workers()) {
    const LiveWorker *Live = Sessions.findLive(Worker.info.incarnation);
    if (!Live)
      continue;
    for (const wire::RunStatus &Status : Live->m_Runs) {
      adopt(Status, State, Live->m_LastSyncAt);
      // An agent repeats what its worker listed last, also if the worker has
      // not answered since.
      recordStatus(Status, Live->m_LastSyncAt, Live->m_LastReplyAt);
    }
  }
  forgetEndedRuns(State);
  m_Speeds.updateWorkers(State, Now);
  updateWorkerSpeeds(State);
  std::map<StepKey, StepSpeeds> Steps;
  for (auto &[Key, Tracked] : m_Runs) {
    const wire::JobRecord *Job = State.job(std::get<0>(Key));
    if (!Job || static_cast<size_t>(std::get<2>(Key)) >= Job->spec.steps.size())
      continue;
    wire::TaskRef Ref;
    Ref.jobId = std::get<0>(Key);
    Ref.occurrence = std::get<1>(Key);
    Ref.step = std::get<2>(Key);
    Ref.index = std::get<3>(Key);
    checkProgress(*Job, Ref, Tracked, Now);
    const wire::StepSpec &Spec = Job->spec.steps[static_cast<size_t>(Ref.step)];
    const double Speed = speedOf(Tracked);
    // A gang runs at the speed of its slowest member.
    if (Speed <= 0 || Spec.longRunning || runsTogether(Spec))
      continue;
    StepSpeed &Sum = Steps[stepOf(Ref)][keyOf(Tracked.m_Worker)];
    ++Sum.m_Runs;
    Sum.m_LogTotal += std::log(100 / Speed * Tracked.m_WorkerSpeed);
    Sum.m_Worker = Tracked.m_Worker;
    Sum.m_Job = Job;
    Sum.m_Key = stepOf(Ref);
  }
  recordStepSpeeds(Steps, Now);
  learnWorkerSpeeds(Steps, Now);
}

Duration RunTracker::stallLimit(const wire::JobRecord &Job,
                                const wire::TaskRef &Ref,
                                const TrackedRun &Tracked,
                                TimePoint Now) const {
  const Duration Hundredth =
      scaled(expectedTime(Job, Ref).m_Expected,
             0.01 * std::max(1.0, m_Health.slowdown(Tracked.m_Worker, Now)) /
                 Tracked.m_WorkerSpeed);
  Duration Result =
      std::max<Duration>(MinStall, scaled(Hundredth, StallHundredths));
  if (Tracked.percentGained() > 0)
    Result = std::max(Result, scaled(Tracked.gainTime(),
                                     StallPercents / Tracked.percentGained()));
  return Result;
}

// Keeps a window of samples and updates the recent and the highest speed.
void RunTracker::updateSpeed(TrackedRun &Tracked) {
  while (Tracked.m_Samples.size() > 2 &&
         Tracked.m_Samples.back().m_At - Tracked.m_Samples[1].m_At >=
             SpeedWindow)
    Tracked.m_Samples.pop_front();
  const Duration Span =
      Tracked.m_Samples.back().m_At - Tracked.m_Samples.front().m_At;
  if (Span < SpeedWindow || Tracked.m_Samples.front().m_Percent == 0)
    return;
  const int32_t Gained =
      Tracked.m_Samples.back().m_Percent - Tracked.m_Samples.front().m_Percent;
  Tracked.m_RecentSpeed = Gained / secondsOf(Span);
  // Percents are whole numbers, so the run gained at least one less than that.
  Tracked.m_PeakSpeed =
      std::max(Tracked.m_PeakSpeed, (Gained - 1) / secondsOf(Span));
}

void RunTracker::checkProgress(const wire::JobRecord &Job,
                               const wire::TaskRef &Ref, TrackedRun &Tracked,
                               TimePoint Now) {
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  if (!Tracked.m_Started || Spec.longRunning)
    return;
  checkStall(Job, Ref, Tracked, Now);
  if (!runsTogether(Spec))
    recordOwnSlowdown(Ref, Tracked, Now);
}

void RunTracker::checkStall(const wire::JobRecord &Job,
                            const wire::TaskRef &Ref, TrackedRun &Tracked,
                            TimePoint Now) {
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  const bool Gang = runsTogether(Spec);
  // A member that is done waits for the slowest one of its gang.
  if (Gang && Tracked.m_Percent >= GangMemberDonePercent)
    return;
  // A worker whose reports do not arrive is not judged.
  if (Tracked.m_StallReported || Tracked.m_LastReportAt - Tracked.m_PercentAt <=
                                     stallLimit(Job, Ref, Tracked, Now))
    return;
  Tracked.m_StallReported = true;
  if (!Gang)
    m_Health.recordStall(Tracked.m_Worker, Now);
}

double RunTracker::speedOf(const TrackedRun &Tracked) {
  if (Tracked.m_RecentSpeed > 0)
    return Tracked.m_RecentSpeed;
  const int32_t PercentGained = Tracked.m_Percent - Tracked.m_FirstPercent;
  const double Seconds = secondsOf(Tracked.m_PercentAt - Tracked.m_FirstAt);
  return PercentGained >= MinPercentForRate && Seconds > 0
             ? PercentGained / Seconds
             : 0;
}

// A run that became slower than it was is strong evidence against its worker.
void RunTracker::recordOwnSlowdown(const wire::TaskRef &Ref,
                                   const TrackedRun &Tracked, TimePoint Now) {
  if (Tracked.m_RecentSpeed <= 0 ||
      Tracked.m_PeakSpeed <= 2 * Tracked.m_RecentSpeed)
    return;
  SpeedEvidence Evidence;
  Evidence.m_LogRatio = std::log(Tracked.m_PeakSpeed / Tracked.m_RecentSpeed);
  Evidence.m_Variance = RunVariance;
  m_Health.recordSpeed(Tracked.m_Worker, workload::nameOf(Ref), Evidence, Now);
}

} // namespace anvil::dispatch::internal
