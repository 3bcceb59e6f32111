#include "Core.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvil::sched::internal {

std::vector<SchedulerAction> SchedulerCore::step(const SchedulerEvent &Event,
                                                 TimePoint Now) {
  m_Now = std::max(m_Now, Now);
  m_Actions.clear();
  std::visit([this](const auto &Each) { handle(Each); }, Event);
  runTimers();
  // While a new leader restores jobs, no job is placed before all running gangs
  // are known.
  if (!std::holds_alternative<JobRestored>(Event))
    passIfDue();
  return std::move(m_Actions);
}

void SchedulerCore::handle(const JobSubmitted &Event) {
  if (findJob(Event.m_Job) >= 0)
    return;
  const JobIndex Index = addJob(Event.m_Job, Event.m_Spec, m_Now);
  const std::string Refusal = specError(Event.m_Spec);
  if (!Refusal.empty())
    return giveUp(Index, Refusal);
  if (!parkIfImpossible(Index))
    enqueue(Index);
}

void SchedulerCore::handle(const JobRestored &Event) {
  if (findJob(Event.m_Job) >= 0)
    return;
  const JobIndex Index = addJob(Event.m_Job, Event.m_Spec, Event.m_SubmittedAt);
  JobState &Job = m_Jobs[Index];
  Job.m_CheckpointedTime = Event.m_Checkpointed;
  Job.m_Failures = Event.m_Failures;
  if (Event.m_Phase == RestoredPhase::Queued)
    return enqueue(Index);
  absl::flat_hash_map<WorkerIndex, int32_t> Tasks;
  for (const MemberPlacement &Entry : Event.m_Members) {
    WorkerIndex Worker = m_Fleet.find(Entry.m_Vm);
    // A member on an unknown VM occupies no resources that this scheduler
    // assigns.
    if (Worker >= 0)
      ++Tasks[Worker];
  }
  std::vector<Member> Members;
  for (const auto &[Worker, Count] : Tasks)
    Members.push_back({Worker, Count});
  std::sort(Members.begin(), Members.end(),
            [](const Member &First, const Member &Second) {
              return First.m_Worker < Second.m_Worker;
            });
  occupy(Index, std::move(Members));
  Job.m_Phase = Event.m_Phase == RestoredPhase::Placed ? JobPhase::Placed
                                                       : JobPhase::Running;
  Job.m_Started = Event.m_Phase != RestoredPhase::Placed;
  Job.m_PlacedAt = Event.m_StartedAt;
  Job.m_StartedAt = Event.m_StartedAt;
  Job.m_CheckpointAt = Event.m_StartedAt;
  Job.m_Reason = "restored from the replicated state";
  if (Event.m_Phase == RestoredPhase::Stopping)
    beginStopping(Index, StopCause::Reclaimed);
  m_GuaranteesDirty = m_GuaranteesDirty || Job.nonPreemptible();
  m_EvacuationNeeded = true;
}

void SchedulerCore::handle(const PlacementConfirmed &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index >= 0)
    m_Jobs[Index].m_Refusals = 0;
}

void SchedulerCore::handle(const PlacementRefused &Event) {
  // The delay doubles with each refusal in a row, up to this many times.
  constexpr int MaxDoublings = 8;
  constexpr Duration FirstDelay = std::chrono::milliseconds(200);
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0 || !m_Jobs[Index].holdsResources() || m_Jobs[Index].m_Started)
    return;
  JobState &Job = m_Jobs[Index];
  vacate(Index);
  if (Job.m_Cancelled)
    return removeJob(Index);
  if (const WorkerIndex Worker = m_Fleet.find(Event.m_Vm); Worker >= 0)
    Job.m_FailedOn.push_back(Worker);
  Job.m_BlockReason = BlockReason::Refused;
  ++Job.m_Refusals;
  delay(Index, FirstDelay * (1 << std::min(Job.m_Refusals - 1, MaxDoublings)),
        absl::StrCat("the placement was refused: ", Event.m_Reason));
}

void SchedulerCore::handle(const TaskStarted &Event) {
  if (const JobIndex Index = findJob(Event.m_Job);
      Index >= 0 && m_Jobs[Index].holdsResources())
    m_Jobs[Index].m_Started = true;
}

void SchedulerCore::handle(const TaskEnded &) {}

void SchedulerCore::handle(const TaskFailed &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0 || !m_Jobs[Index].holdsResources())
    return;
  JobState &Job = m_Jobs[Index];
  // Failures of members that are being stopped say nothing about the worker.
  if (Job.m_Phase == JobPhase::Stopping)
    return;
  ++Job.m_Failures;
  Job.m_Reason = absl::StrCat("task ", Event.m_TaskIndex, " failed on ",
                              Event.m_Vm.str(), ": ", Event.m_Detail);
  beginStopping(Index, StopCause::Failed);
  if (const WorkerIndex Worker = m_Fleet.find(Event.m_Vm); Worker >= 0)
    noteFailure(Index, Worker);
}

void SchedulerCore::handle(const JobStarted &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0 || m_Jobs[Index].m_Phase != JobPhase::Placed)
    return;
  JobState &Job = m_Jobs[Index];
  Job.m_Phase = JobPhase::Running;
  Job.m_Started = true;
  Job.m_StartedAt = m_Now;
  Job.m_CheckpointAt = m_Now;
}

void SchedulerCore::handle(const JobEnded &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0)
    return;
  JobState &Job = m_Jobs[Index];
  if (Job.holdsResources()) {
    noteSuccess(Job);
    m_Estimator.learn(Job.m_Workspace, Job.m_Spec.m_Urgency,
                      Job.m_Spec.m_DeclaredRunTime,
                      Job.m_CheckpointedTime + currentRunTime(Job));
    vacate(Index);
  }
  removeJob(Index);
}

void SchedulerCore::handle(const JobCancelled &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0)
    return;
  JobState &Job = m_Jobs[Index];
  if (!Job.holdsResources())
    return removeJob(Index);
  Job.m_Cancelled = true;
  Job.m_Reason = "cancelled; its members are being stopped";
  beginStopping(Index, StopCause::Cancelled);
}

void SchedulerCore::handle(const GangReleased &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0 || !m_Jobs[Index].holdsResources())
    return;
  recordProgress(m_Jobs[Index], Event.m_StoppedAtCheckpoint);
  vacate(Index);
  handleReleased(Index, Event);
}

void SchedulerCore::handleReleased(JobIndex Index, const GangReleased &Event) {
  JobState &Job = m_Jobs[Index];
  const StopCause Cause = Job.m_StopCause;
  const bool Started = Event.m_AnyStarted || Job.m_Started;
  Job.m_StopCause = StopCause::None;
  Job.m_Started = false;
  Job.m_Reclaim = {};
  if (Job.m_Cancelled)
    return removeJob(Index);
  // A job that is not idempotent may continue only from a checkpoint at which
  // it is known to have stopped.
  if (Started && !Job.m_Spec.m_Idempotent && !Event.m_StoppedAtCheckpoint)
    return giveUp(Index, absl::StrCat("it had started, is not idempotent and "
                                      "did not stop at a checkpoint; ",
                                      Job.m_Reason));
  if (Job.m_Failures >= m_Options.m_MaxFailures) {
    forgetEvidence(Job);
    return giveUp(Index, absl::StrCat("it failed ", Job.m_Failures,
                                      " times; last: ", Job.m_Reason));
  }
  if (Cause != StopCause::Failed) {
    if (!parkIfImpossible(Index))
      enqueue(Index);
    return;
  }
  const int Doublings = std::clamp(Job.m_Failures - 1, 0, 20);
  delay(Index,
        std::min(m_Options.m_RetryDelay * (1 << Doublings),
                 m_Options.m_MaxRetryDelay),
        Job.m_Reason);
}

void SchedulerCore::recordProgress(JobState &Job, bool StoppedAtCheckpoint) {
  if (Job.m_Phase == JobPhase::Placed || !Job.m_Spec.m_Checkpointable ||
      !Job.m_Started)
    return;
  const TimePoint Until = StoppedAtCheckpoint ? m_Now : Job.m_CheckpointAt;
  Job.m_CheckpointedTime += std::max(Until - Job.m_StartedAt, Duration::zero());
}

void SchedulerCore::handle(const CheckpointDone &Event) {
  if (const JobIndex Index = findJob(Event.m_Job);
      Index >= 0 && m_Jobs[Index].m_Started)
    m_Jobs[Index].m_CheckpointAt = m_Now;
}

void SchedulerCore::handle(const Tick &) {
  // Deadlines approach and waiting times grow without any event.
  constexpr Duration ReviewInterval = std::chrono::seconds(1);
  if (m_QueuedCount > 0 && m_Now - m_LastPass >= ReviewInterval)
    m_Dirty = true;
}

} // namespace anvil::sched::internal
