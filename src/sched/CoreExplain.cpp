#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {

std::string spanText(Duration Span) {
  const double Seconds = std::max(0.0, toSeconds(Span));
  if (Seconds < 120)
    return absl::StrFormat("%.0f s", Seconds);
  if (Seconds < 7200)
    return absl::StrFormat("%.0f min", Seconds / 60);
  return absl::StrFormat("%.1f h", Seconds / 3600);
}

std::string_view modeText(ReclaimMode Mode) {
  switch (Mode) {
  case ReclaimMode::Checkpoint:
    return "asked to checkpoint";
  case ReclaimMode::Throttle:
    return "throttled";
  case ReclaimMode::Stop:
    break;
  }
  return "told to stop";
}

} // namespace

std::string SchedulerCore::describeNeed(const JobState &Job) const {
  const Resources &Each = Job.m_Spec.m_PerTask;
  std::string Text = absl::StrCat(
      Job.m_Spec.m_Tasks, " tasks of ", Each.m_Accelerators, " accelerators, ",
      Each.m_Cores, " cores and ", Each.m_MemoryMib, " MiB");
  if (Job.m_Spec.m_AdjacencyRequired &&
      Job.m_Spec.m_Adjacency != Adjacency::Any)
    absl::StrAppend(&Text, " within one ",
                    Job.m_Spec.m_Adjacency == Adjacency::Vm ? "VM" : "rack");
  return Text;
}

std::string SchedulerCore::explainQueued(const JobState &Job,
                                         TimePoint Now) const {
  std::string Text = absl::StrCat("The job has waited for ",
                                  spanText(Now - Job.m_SubmittedAt), ". ");
  const std::string &Owner = m_Workspaces[Job.m_Workspace].m_Name.str();
  switch (Job.m_BlockReason) {
  case BlockReason::Quota:
    absl::StrAppend(
        &Text, "Workspace ", Owner,
        " would exceed its quota. It waits for other jobs of the workspace to "
        "end; a higher quota would let it start.");
    break;
  case BlockReason::NoRoom:
    absl::StrAppend(&Text, "No set of workers has room for ", describeNeed(Job),
                    Job.nonPreemptible()
                        ? " outside the guarantees of others; it "
                          "may not borrow, because it is neither "
                          "idempotent nor checkpointable"
                        : "",
                    ". It waits for gangs to end; more capacity, a smaller "
                    "gang or a weaker adjacency would help.");
    break;
  case BlockReason::AwaitingReclaim:
    absl::StrAppend(&Text, "Other gangs were asked to leave for it. It starts "
                           "once they have stopped.");
    break;
  case BlockReason::Reserved:
    absl::StrAppend(&Text, "Room is reserved for it");
    if (Job.m_HoldIndex >= 0)
      absl::StrAppend(&Text, " and expected to be free in ",
                      spanText(m_Holds[Job.m_HoldIndex].m_ExpectedStart - Now));
    absl::StrAppend(&Text, ". It starts earlier if gangs there end sooner or "
                           "other room comes free.");
    break;
  case BlockReason::Refused:
    absl::StrAppend(&Text, "Its last placement was refused: ", Job.m_Reason,
                    ". It is placed again.");
    break;
  case BlockReason::NotConsidered:
    absl::StrAppend(
        &Text, "It has not been looked at yet; that happens at the next tick.");
    break;
  }
  return Text;
}

absl::StatusOr<std::string> SchedulerCore::explain(JobId Id,
                                                   TimePoint Now) const {
  const JobIndex Index = findJob(Id);
  if (Index < 0)
    return makeLayerError(absl::StatusCode::kNotFound, SchedErrc::UnknownJob,
                          absl::StrCat("job ", Id.value()));
  const JobState &Job = m_Jobs[Index];
  switch (Job.m_Phase) {
  case JobPhase::Queued:
    return explainQueued(Job, Now);
  case JobPhase::Delayed:
    return absl::StrCat("The job waits ", spanText(Job.m_NotBefore - Now),
                        " before the next attempt, after ", Job.m_Failures,
                        " failures: ", Job.m_Reason, ". It is given up after ",
                        m_Options.m_MaxFailures, " failures.");
  case JobPhase::Parked:
    return absl::StrCat(
        "The job is parked: ", Job.m_Reason,
        ". It is looked at again when capacity or the configuration changes.");
  case JobPhase::Placed:
    return absl::StrCat(
        "The job is placed on ", Job.m_Members.size(), " workers, because it ",
        Job.m_Reason, ". It waits for all members to be prepared and started.");
  case JobPhase::Running:
    return absl::StrCat("The job has run for ", spanText(Now - Job.m_StartedAt),
                        " on ", Job.m_Members.size(),
                        " workers. Reason of its placement: ", Job.m_Reason,
                        ". It is expected to end in ",
                        spanText(remainingTime(Job)), ".");
  case JobPhase::Stopping:
    break;
  }
  std::string Text =
      absl::StrCat("The job is being stopped: ", Job.m_Reason, ". ");
  if (Job.m_Reclaim.m_Active)
    absl::StrAppend(&Text, "It was ", toAbsl(modeText(Job.m_Reclaim.m_Mode)),
                    " with ", spanText(Job.m_Reclaim.m_Deadline - Now),
                    " left. ");
  if (Job.m_Cancelled)
    return absl::StrCat(Text, "It was cancelled and does not run again.");
  return absl::StrCat(
      Text, "Once all members have stopped it ",
      Job.m_Spec.m_Idempotent ? "returns to the queue."
      : Job.m_Spec.m_Checkpointable
          ? "returns to the queue if it stopped at a checkpoint."
          : "is given up if it had started, as it is not idempotent.");
}

SchedulerCounts SchedulerCore::counts() const {
  SchedulerCounts Result;
  Result.m_Workers = m_Fleet.size();
  Result.m_QuarantinedWorkers = m_QuarantinedCount;
  Result.m_Queued = m_QueuedCount + static_cast<int64_t>(m_DelayTimers.size());
  Result.m_Parked = static_cast<int64_t>(m_Parked.size());
  Result.m_Placed = static_cast<int64_t>(m_Placed.size());
  Result.m_Reservations = std::count_if(
      m_Holds.begin(), m_Holds.end(), [](const CapacityHold &Each) {
        return Each.m_Kind == HoldKind::Reservation;
      });
  Result.m_WorkersScanned = m_Finder.scanned();
  Result.m_GuaranteesMissing = m_GuaranteesMissing;
  return Result;
}

int64_t SchedulerCore::approximateBytes() const {
  // Approximate size of a std::set node without its value, in bytes.
  constexpr int64_t SetNode = 48;
  int64_t Bytes = m_Fleet.approximateBytes() +
                  static_cast<int64_t>(m_Jobs.capacity() * sizeof(JobState));
  for (const JobState &Each : m_Jobs) {
    Bytes += static_cast<int64_t>(Each.m_Members.capacity() * sizeof(Member) +
                                  Each.m_Reason.capacity() +
                                  Each.m_Spec.m_Name.capacity() +
                                  Each.m_Spec.m_Workspace.str().capacity());
    Bytes += 2 * SetNode;
  }
  Bytes += static_cast<int64_t>(m_JobIndex.capacity() *
                                (sizeof(JobId) + sizeof(JobIndex) + 1));
  Bytes +=
      static_cast<int64_t>(m_FreedByVictims.capacity() * sizeof(Resources) +
                           m_ShapeInstances.capacity() * sizeof(ShapeInstance));
  return Bytes;
}

} // namespace anvil::sched::internal
