#include "Core.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvil::sched::internal {

std::vector<SchedulerAction> SchedulerCore::step(const SchedulerEvent &Event,
                                                 TimePoint Now) {
  m_Now = std::max(m_Now, Now);
  m_Actions.clear();
  std::visit([this](const auto &Each) { on(Each); }, Event);
  runTimers();
  // While a leader rebuilds, the queue is not looked at before the running
  // gangs are known.
  if (!std::holds_alternative<JobRestored>(Event))
    maybePass();
  return std::move(m_Actions);
}

void SchedulerCore::on(const JobSubmitted &Event) {
  if (findJob(Event.m_Job) >= 0)
    return;
  const JobIndex Index = addJob(Event.m_Job, Event.m_Spec, m_Now);
  const std::string Refusal = refusalOf(Event.m_Spec);
  if (!Refusal.empty())
    return giveUp(Index, Refusal);
  if (!parkIfImpossible(Index))
    enqueue(Index);
}

void SchedulerCore::on(const JobRestored &Event) {
  if (findJob(Event.m_Job) >= 0)
    return;
  const JobIndex Index = addJob(Event.m_Job, Event.m_Spec, Event.m_SubmittedAt);
  Job &Target = m_Jobs[Index];
  Target.m_Kept = Event.m_Checkpointed;
  Target.m_Failures = Event.m_Failures;
  if (Event.m_Phase == RestoredPhase::Queued)
    return enqueue(Index);
  absl::flat_hash_map<WorkerIndex, int32_t> Tasks;
  for (const MemberPlacement &Entry : Event.m_Members) {
    WorkerIndex Worker = m_Fleet.find(Entry.m_Vm);
    // A member on a VM that is not known holds nothing that could be given to
    // others.
    if (Worker >= 0)
      ++Tasks[Worker];
  }
  std::vector<Member> Members;
  for (const auto &[Worker, Count] : Tasks)
    Members.push_back({Worker, Count});
  std::sort(
      Members.begin(), Members.end(),
      [](const Member &A, const Member &B) { return A.m_Worker < B.m_Worker; });
  occupy(Index, std::move(Members));
  Target.m_Phase = Event.m_Phase == RestoredPhase::Placed ? JobPhase::Placed
                                                          : JobPhase::Running;
  Target.m_Started = Event.m_Phase != RestoredPhase::Placed;
  Target.m_PlacedAt = Event.m_StartedAt;
  Target.m_StartedAt = Event.m_StartedAt;
  Target.m_CheckpointAt = Event.m_StartedAt;
  Target.m_Reason = "restored from the replicated state";
  if (Event.m_Phase == RestoredPhase::Stopping)
    beginStopping(Index, StopCause::Reclaimed);
  m_HomesDirty = m_HomesDirty || Target.pinned();
  m_Evacuate = true;
}

void SchedulerCore::on(const PlacementConfirmed &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index >= 0)
    m_Jobs[Index].m_Refusals = 0;
}

void SchedulerCore::on(const PlacementRefused &Event) {
  // A gang that refused this often in a row waits this long at most before the
  // next attempt.
  constexpr int MaxDoublings = 8;
  constexpr Duration FirstDelay = std::chrono::milliseconds(200);
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0 || !m_Jobs[Index].holdsResources() || m_Jobs[Index].m_Started)
    return;
  Job &Target = m_Jobs[Index];
  vacate(Index);
  if (Target.m_Cancelled)
    return removeJob(Index);
  if (const WorkerIndex Worker = m_Fleet.find(Event.m_Vm); Worker >= 0)
    Target.m_FailedOn.push_back(Worker);
  Target.m_Block = BlockKind::Refused;
  ++Target.m_Refusals;
  delay(Index,
        FirstDelay * (1 << std::min(Target.m_Refusals - 1, MaxDoublings)),
        absl::StrCat("the placement was refused: ", Event.m_Reason));
}

void SchedulerCore::on(const TaskStarted &Event) {
  if (const JobIndex Index = findJob(Event.m_Job);
      Index >= 0 && m_Jobs[Index].holdsResources())
    m_Jobs[Index].m_Started = true;
}

void SchedulerCore::on(const TaskEnded &) {}

void SchedulerCore::on(const TaskFailed &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0 || !m_Jobs[Index].holdsResources())
    return;
  Job &Target = m_Jobs[Index];
  // Members that are being stopped report failures that say nothing about the
  // worker.
  if (Target.m_Phase == JobPhase::Stopping)
    return;
  ++Target.m_Failures;
  Target.m_Reason = absl::StrCat("task ", Event.m_TaskIndex, " failed on ",
                                 Event.m_Vm.str(), ": ", Event.m_Detail);
  beginStopping(Index, StopCause::Failed);
  if (const WorkerIndex Worker = m_Fleet.find(Event.m_Vm); Worker >= 0)
    noteFailure(Index, Worker);
}

void SchedulerCore::on(const JobStarted &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0 || m_Jobs[Index].m_Phase != JobPhase::Placed)
    return;
  Job &Target = m_Jobs[Index];
  Target.m_Phase = JobPhase::Running;
  Target.m_Started = true;
  Target.m_StartedAt = m_Now;
  Target.m_CheckpointAt = m_Now;
}

void SchedulerCore::on(const JobEnded &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0)
    return;
  Job &Target = m_Jobs[Index];
  if (Target.holdsResources()) {
    noteSuccess(Target);
    m_Estimator.learn(Target.m_Workspace, Target.m_Spec.m_Urgency,
                      Target.m_Spec.m_DeclaredRunTime,
                      Target.m_Kept + ranFor(Target));
    vacate(Index);
  }
  removeJob(Index);
}

void SchedulerCore::on(const JobCancelled &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0)
    return;
  Job &Target = m_Jobs[Index];
  if (!Target.holdsResources())
    return removeJob(Index);
  Target.m_Cancelled = true;
  Target.m_Reason = "cancelled; its members are being stopped";
  beginStopping(Index, StopCause::Cancelled);
}

void SchedulerCore::on(const GangReleased &Event) {
  const JobIndex Index = findJob(Event.m_Job);
  if (Index < 0 || !m_Jobs[Index].holdsResources())
    return;
  keepProgress(m_Jobs[Index], Event.m_StoppedAtCheckpoint);
  vacate(Index);
  settleReleased(Index, Event);
}

void SchedulerCore::settleReleased(JobIndex Index, const GangReleased &Event) {
  Job &Target = m_Jobs[Index];
  const StopCause Cause = Target.m_Cause;
  const bool Started = Event.m_AnyStarted || Target.m_Started;
  Target.m_Cause = StopCause::None;
  Target.m_Started = false;
  Target.m_Reclaim = {};
  if (Target.m_Cancelled)
    return removeJob(Index);
  // A job that is not idempotent continues only from where it provably stopped.
  if (Started && !Target.m_Spec.m_Idempotent && !Event.m_StoppedAtCheckpoint)
    return giveUp(Index, absl::StrCat("it had started, is not idempotent and "
                                      "did not stop at a checkpoint; ",
                                      Target.m_Reason));
  if (Target.m_Failures >= m_Options.m_MaxFailures) {
    forgetEvidence(Target);
    return giveUp(Index, absl::StrCat("it failed ", Target.m_Failures,
                                      " times; last: ", Target.m_Reason));
  }
  if (Cause != StopCause::Failed) {
    if (!parkIfImpossible(Index))
      enqueue(Index);
    return;
  }
  const int Doublings = std::clamp(Target.m_Failures - 1, 0, 20);
  delay(Index,
        std::min(m_Options.m_RetryDelay * (1 << Doublings),
                 m_Options.m_MaxRetryDelay),
        Target.m_Reason);
}

void SchedulerCore::keepProgress(Job &Target, bool StoppedAtCheckpoint) {
  if (Target.m_Phase == JobPhase::Placed || !Target.m_Spec.m_Checkpointable ||
      !Target.m_Started)
    return;
  const TimePoint Until = StoppedAtCheckpoint ? m_Now : Target.m_CheckpointAt;
  Target.m_Kept += std::max(Until - Target.m_StartedAt, Duration::zero());
}

void SchedulerCore::on(const CheckpointDone &Event) {
  if (const JobIndex Index = findJob(Event.m_Job);
      Index >= 0 && m_Jobs[Index].m_Started)
    m_Jobs[Index].m_CheckpointAt = m_Now;
}

void SchedulerCore::on(const Tick &) {
  // Deadlines come closer and waiting jobs age without any event.
  constexpr Duration ReviewInterval = std::chrono::seconds(1);
  if (m_QueuedCount > 0 && m_Now - m_LastPass >= ReviewInterval)
    m_Dirty = true;
}

} // namespace anvil::sched::internal
