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

std::string SchedulerCore::describeNeed(const Job &Target) const {
  const Resources &Each = Target.m_Spec.m_PerTask;
  std::string Text = absl::StrCat(
      Target.m_Spec.m_Tasks, " tasks of ", Each.m_Accelerators,
      " accelerators, ", Each.m_Cores, " cores and ", Each.m_MemoryMib, " MiB");
  if (Target.m_Spec.m_AdjacencyRequired &&
      Target.m_Spec.m_Adjacency != Adjacency::Any)
    absl::StrAppend(&Text, " within one ",
                    Target.m_Spec.m_Adjacency == Adjacency::Vm ? "VM" : "rack");
  return Text;
}

std::string SchedulerCore::explainQueued(const Job &Target,
                                         TimePoint Now) const {
  std::string Text = absl::StrCat("The job has waited for ",
                                  spanText(Now - Target.m_SubmittedAt), ". ");
  const std::string &Owner = m_Workspaces[Target.m_Workspace].m_Name.str();
  switch (Target.m_Block) {
  case BlockKind::Quota:
    absl::StrAppend(
        &Text, "Workspace ", Owner,
        " would exceed its quota. It waits for other jobs of the workspace to "
        "end; a higher quota would let it start.");
    break;
  case BlockKind::NoRoom:
    absl::StrAppend(&Text, "No set of workers has room for ",
                    describeNeed(Target),
                    Target.pinned() ? " outside the guarantees of others; it "
                                      "may not borrow, because it is neither "
                                      "idempotent nor checkpointable"
                                    : "",
                    ". It waits for gangs to end; more capacity, a smaller "
                    "gang or a weaker adjacency would help.");
    break;
  case BlockKind::AwaitingReclaim:
    absl::StrAppend(&Text, "Other gangs were asked to leave for it. It starts "
                           "once they have stopped.");
    break;
  case BlockKind::Reserved:
    absl::StrAppend(&Text, "Room is reserved for it");
    if (Target.m_Hold >= 0)
      absl::StrAppend(&Text, " and expected to be free in ",
                      spanText(m_Holds[Target.m_Hold].m_ExpectedStart - Now));
    absl::StrAppend(&Text, ". It starts earlier if gangs there end sooner or "
                           "other room comes free.");
    break;
  case BlockKind::Refused:
    absl::StrAppend(&Text, "Its last placement was refused: ", Target.m_Reason,
                    ". It is placed again.");
    break;
  case BlockKind::NotLookedAt:
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
  const Job &Target = m_Jobs[Index];
  switch (Target.m_Phase) {
  case JobPhase::Queued:
    return explainQueued(Target, Now);
  case JobPhase::Delayed:
    return absl::StrCat("The job waits ", spanText(Target.m_NotBefore - Now),
                        " before the next attempt, after ", Target.m_Failures,
                        " failures: ", Target.m_Reason,
                        ". It is given up after ", m_Options.m_MaxFailures,
                        " failures.");
  case JobPhase::Parked:
    return absl::StrCat(
        "The job is parked: ", Target.m_Reason,
        ". It is looked at again when capacity or the configuration changes.");
  case JobPhase::Placed:
    return absl::StrCat(
        "The job is placed on ", Target.m_Members.size(),
        " workers, because it ", Target.m_Reason,
        ". It waits for all members to be prepared and started.");
  case JobPhase::Running:
    return absl::StrCat(
        "The job has run for ", spanText(Now - Target.m_StartedAt), " on ",
        Target.m_Members.size(),
        " workers. Reason of its placement: ", Target.m_Reason,
        ". It is expected to end in ", spanText(remainingOf(Target)), ".");
  case JobPhase::Stopping:
    break;
  }
  std::string Text =
      absl::StrCat("The job is being stopped: ", Target.m_Reason, ". ");
  if (Target.m_Reclaim.m_Active)
    absl::StrAppend(&Text, "It was ", toAbsl(modeText(Target.m_Reclaim.m_Mode)),
                    " with ", spanText(Target.m_Reclaim.m_Deadline - Now),
                    " left. ");
  if (Target.m_Cancelled)
    return absl::StrCat(Text, "It was cancelled and does not run again.");
  return absl::StrCat(
      Text, "Once all members have stopped it ",
      Target.m_Spec.m_Idempotent ? "returns to the queue."
      : Target.m_Spec.m_Checkpointable
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
  Result.m_Reservations =
      std::count_if(m_Holds.begin(), m_Holds.end(), [](const Hold &Each) {
        return Each.m_Kind == HoldKind::Reservation;
      });
  Result.m_WorkersScanned = m_Finder.scanned();
  Result.m_GuaranteesMissing = m_GuaranteesMissing;
  return Result;
}

int64_t SchedulerCore::approximateBytes() const {
  // A node of a std::set has about this size besides its value.
  constexpr int64_t SetNode = 48;
  int64_t Bytes = m_Fleet.approximateBytes() +
                  static_cast<int64_t>(m_Jobs.capacity() * sizeof(Job));
  for (const Job &Each : m_Jobs) {
    Bytes += static_cast<int64_t>(Each.m_Members.capacity() * sizeof(Member) +
                                  Each.m_Reason.capacity() +
                                  Each.m_Spec.m_Name.capacity() +
                                  Each.m_Spec.m_Workspace.str().capacity());
    Bytes += 2 * SetNode;
  }
  Bytes += static_cast<int64_t>(m_JobIndex.capacity() *
                                (sizeof(JobId) + sizeof(JobIndex) + 1));
  Bytes += static_cast<int64_t>(m_Extra.capacity() * sizeof(Resources) +
                                m_Pieces.capacity() * sizeof(Piece));
  return Bytes;
}

} // namespace anvil::sched::internal
