#include "Core.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvil::sched::internal {

namespace {
// Largest accepted number of tasks; a larger one is considered an error of the
// caller.
constexpr int32_t MaxTasks = 100'000;
// Largest amount of one resource per task; its product with MaxTasks stays far
// below the range of int64_t.
constexpr int64_t MaxAmount = int64_t{1} << 40;
// Offsets of the queue key by class, in seconds of submission time. Within a
// class, short jobs come first, but later jobs overtake a job only for
// AreaWeight times its run time times its share of the fleet.
constexpr double UrgentBias = -30 * 86400.0;
constexpr double WorkingDayBias = -6 * 3600.0;
constexpr double OvernightBias = 12 * 3600.0;
constexpr double AreaWeight = 200;
// Time before its latest start from which a job is ranked as working-day work,
// and working-day work as urgent.
constexpr Duration CriticalMargin = std::chrono::seconds(60);

double biasOf(Urgency Class) {
  switch (Class) {
  case Urgency::Urgent:
    return UrgentBias;
  case Urgency::WorkingDay:
    return WorkingDayBias;
  case Urgency::Batch:
    return 0;
  case Urgency::Overnight:
    break;
  }
  return OvernightBias;
}
} // namespace

JobIndex SchedulerCore::findJob(JobId Id) const {
  const auto Found = m_JobIndex.find(Id);
  return Found == m_JobIndex.end() ? -1 : Found->second;
}

JobIndex SchedulerCore::addJob(JobId Id, const JobSpec &Spec,
                               TimePoint SubmittedAt) {
  JobIndex Index = static_cast<JobIndex>(m_Jobs.size());
  if (m_FreeJobs.empty()) {
    m_Jobs.emplace_back();
  } else {
    Index = m_FreeJobs.back();
    m_FreeJobs.pop_back();
  }
  JobState &Job = m_Jobs[Index];
  Job = JobState();
  Job.m_Id = Id;
  Job.m_Spec = Spec;
  Job.m_SubmittedAt = SubmittedAt;
  Job.m_Workspace = workspaceIndex(Spec.m_Workspace);
  m_JobIndex[Id] = Index;
  return Index;
}

void SchedulerCore::removeJob(JobIndex Index) {
  dequeue(Index);
  dropHold(Index);
  m_Parked.erase(Index);
  m_DelayTimers.erase({m_Jobs[Index].m_NotBefore, Index});
  m_JobIndex.erase(m_Jobs[Index].m_Id);
  m_Jobs[Index] = JobState();
  m_FreeJobs.push_back(Index);
}

WorkspaceIndex SchedulerCore::workspaceIndex(const WorkspaceId &Name) {
  const auto [Entry, Inserted] = m_WorkspaceIndex.try_emplace(
      Name, static_cast<WorkspaceIndex>(m_Workspaces.size()));
  if (Inserted)
    m_Workspaces.emplace_back().m_Name = Name;
  return Entry->second;
}

std::string SchedulerCore::specError(const JobSpec &Spec) const {
  if (Spec.m_Tasks < 1 || Spec.m_Tasks > MaxTasks)
    return absl::StrCat("the number of tasks is ", Spec.m_Tasks,
                        "; allowed are 1 to ", MaxTasks);
  if (anyNegative(Spec.m_PerTask))
    return "a demand is negative";
  if (isZero(Spec.m_PerTask))
    return "the tasks demand nothing";
  if (!fits(Spec.m_PerTask, {MaxAmount, MaxAmount, MaxAmount}))
    return "a demand is larger than any worker can be";
  return "";
}

void SchedulerCore::enqueue(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  Job.m_Phase = JobPhase::Queued;
  Job.m_QueueKey = queueKey(Job);
  Job.m_InQueue = m_Workspaces[Job.m_Workspace]
                      .m_Queue.insert({Job.m_QueueKey, Index})
                      .second;
  ++m_QueuedCount;
  m_Dirty = true;
}

void SchedulerCore::dequeue(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  if (!Job.m_InQueue)
    return;
  m_Workspaces[Job.m_Workspace].m_Queue.erase({Job.m_QueueKey, Index});
  Job.m_InQueue = false;
  --m_QueuedCount;
}

void SchedulerCore::delay(JobIndex Index, Duration Span, std::string Reason) {
  JobState &Job = m_Jobs[Index];
  Job.m_Phase = JobPhase::Delayed;
  Job.m_NotBefore = m_Now + Span;
  Job.m_Reason = std::move(Reason);
  m_DelayTimers.insert({Job.m_NotBefore, Index});
}

void SchedulerCore::park(JobIndex Index, std::string Reason) {
  JobState &Job = m_Jobs[Index];
  const bool Known = Job.m_Phase == JobPhase::Parked && Job.m_Reason == Reason;
  dequeue(Index);
  dropHold(Index);
  Job.m_Phase = JobPhase::Parked;
  Job.m_Reason = Reason;
  m_Parked.insert(Index);
  if (!Known)
    emit(ParkJob{Job.m_Id, std::move(Reason)});
}

void SchedulerCore::giveUp(JobIndex Index, std::string Reason) {
  emit(GiveUpJob{m_Jobs[Index].m_Id, std::move(Reason)});
  removeJob(Index);
}

void SchedulerCore::occupy(JobIndex Index, std::vector<Member> Members) {
  JobState &Job = m_Jobs[Index];
  Workspace &Owner = m_Workspaces[Job.m_Workspace];
  for (const Member &Each : Members) {
    m_Fleet.occupy(Each.m_Worker, Index, Job.m_Workspace, Each.m_Tasks,
                   Job.m_Spec.m_PerTask, Job.nonPreemptible());
    m_Fleet.worker(Each.m_Worker).m_ChangedAt = m_Now;
    Owner.m_Used += Job.m_Spec.m_PerTask * Each.m_Tasks;
  }
  Job.m_Members = std::move(Members);
  m_Placed.insert(Index);
}

void SchedulerCore::vacate(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  Workspace &Owner = m_Workspaces[Job.m_Workspace];
  for (const Member &Each : Job.m_Members) {
    m_Fleet.vacate(Each.m_Worker, Index, Job.m_Workspace, Each.m_Tasks,
                   Job.m_Spec.m_PerTask, Job.nonPreemptible());
    m_Fleet.worker(Each.m_Worker).m_ChangedAt = m_Now;
    Owner.m_Used -= Job.m_Spec.m_PerTask * Each.m_Tasks;
  }
  Job.m_Members.clear();
  Job.m_Backfilled = false;
  m_Placed.erase(Index);
  m_Stopping.erase(Index);
  if (Job.m_Reclaim.m_Active)
    m_ReclaimTimers.erase({Job.m_Reclaim.m_Deadline, Index});
  Job.m_Reclaim.m_Active = false;
  if (Job.nonPreemptible() && m_GuaranteesMissing > 0)
    m_GuaranteesDirty = true;
  capacityGrew();
}

void SchedulerCore::beginStopping(JobIndex Index, StopCause Cause) {
  JobState &Job = m_Jobs[Index];
  Job.m_Phase = JobPhase::Stopping;
  Job.m_StopCause = Cause;
  m_Stopping.insert(Index);
}

Duration SchedulerCore::currentRunTime(const JobState &Job) const {
  if (!Job.m_Started || Job.m_Phase == JobPhase::Placed)
    return Duration::zero();
  return m_Now - Job.m_StartedAt;
}

RunTimeEstimate SchedulerCore::estimateOf(const JobState &Job) const {
  return m_Estimator.estimate(Job.m_Workspace, Job.m_Spec.m_Urgency,
                              Job.m_Spec.m_DeclaredRunTime,
                              Job.m_CheckpointedTime + currentRunTime(Job));
}

Duration SchedulerCore::remainingTime(const JobState &Job) const {
  return estimateOf(Job).m_Median - Job.m_CheckpointedTime -
         currentRunTime(Job);
}

TimePoint SchedulerCore::latestStart(const JobState &Job) const {
  if (Job.m_Spec.m_Deadline.count() <= 0)
    return TimePoint::max();
  const Duration Rest = estimateOf(Job).m_Percentile90 - Job.m_CheckpointedTime;
  return Job.m_SubmittedAt + Job.m_Spec.m_Deadline - Rest;
}

int SchedulerCore::effectiveRank(const JobState &Job) const {
  if (Job.m_Spec.m_Urgency != Urgency::Urgent &&
      m_Now + CriticalMargin >= latestStart(Job))
    return static_cast<int>(Urgency::WorkingDay) -
           (Job.m_Spec.m_Urgency == Urgency::WorkingDay ? 1 : 0);
  return static_cast<int>(Job.m_Spec.m_Urgency);
}

int64_t SchedulerCore::queueKey(const JobState &Job) const {
  const Resources &Capacity = m_Fleet.usableCapacity();
  const double Share = std::min(1.0, dominantShare(Job.total(), Capacity));
  const double Area = Share * toSeconds(remainingTime(Job));
  const double Base = toSeconds(Job.m_SubmittedAt.time_since_epoch());
  double Key = Base + biasOf(Job.m_Spec.m_Urgency) + AreaWeight * Area;
  const TimePoint Latest = latestStart(Job);
  if (Latest != TimePoint::max())
    Key =
        std::min(Key, toSeconds((Latest - CriticalMargin).time_since_epoch()) +
                          WorkingDayBias);
  return static_cast<int64_t>(Key * 1e6);
}

bool SchedulerCore::overQuota(const JobState &Job) const {
  const Workspace &Owner = m_Workspaces[Job.m_Workspace];
  const Resources &Quota = Owner.m_Config.m_Quota;
  const Resources After = Owner.m_Used + Job.total();
  auto Over = [](int64_t Used, int64_t Limit) {
    return Limit > 0 && Used > Limit;
  };
  return Over(After.m_Accelerators, Quota.m_Accelerators) ||
         Over(After.m_Cores, Quota.m_Cores) ||
         Over(After.m_MemoryMib, Quota.m_MemoryMib);
}

} // namespace anvil::sched::internal
