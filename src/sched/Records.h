#ifndef ANVIL_SCHED_SRC_RECORDS_H
#define ANVIL_SCHED_SRC_RECORDS_H

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Finder.h"
#include "Fleet.h"
#include "anvil/sched/Action.h"
#include "anvil/sched/Event.h"

namespace anvil::sched::internal {

/// Where a job stands.
enum class JobPhase { Queued, Delayed, Parked, Placed, Running, Stopping };

/// Why a queued job was not placed at the last look.
enum class BlockReason {
  NotConsidered,
  Quota,
  NoRoom,
  AwaitingReclaim,
  Reserved,
  Refused
};

/// Why the gang of a stopping job is being released.
enum class StopCause { None, Reclaimed, Failed, Cancelled, WorkerLost };

/// Progress of a reclaim.
struct ReclaimState {
  bool m_Active = false;
  ReclaimMode m_Mode = ReclaimMode::Checkpoint;
  TimePoint m_Deadline{};
  std::string m_Reason{};
};

struct JobState {
  JobId m_Id{};
  JobSpec m_Spec{};
  WorkspaceIndex m_Workspace = -1;
  JobPhase m_Phase = JobPhase::Queued;
  TimePoint m_SubmittedAt{};
  TimePoint m_PlacedAt{};
  TimePoint m_StartedAt{};
  /// Instant up to which the run since m_StartedAt is kept in a checkpoint.
  TimePoint m_CheckpointAt{};
  /// Run time kept from earlier runs.
  Duration m_CheckpointedTime{};
  TimePoint m_NotBefore{};
  TimePoint m_NextPlanAt{};
  /// Until then the gang is not displaced only to shorten waiting or to use
  /// more capacity.
  TimePoint m_ProtectedUntil{};
  /// Until then the job displaces no one for these purposes, after it was
  /// displaced for them itself.
  TimePoint m_NoDisplacingUntil{};
  int64_t m_QueueKey = 0;
  int32_t m_Failures = 0;
  int32_t m_Refusals = 0;
  int32_t m_Reclaims = 0;
  int32_t m_Plans = 0;
  bool m_InQueue = false;
  bool m_Started = false;
  bool m_Cancelled = false;
  /// Placed into a reservation of another job, which may take the room back.
  bool m_Backfilled = false;
  /// Index into the holds, or -1.
  int32_t m_HoldIndex = -1;
  StopCause m_StopCause = StopCause::None;
  BlockReason m_BlockReason = BlockReason::NotConsidered;
  ReclaimState m_Reclaim{};
  std::vector<Member> m_Members{};
  /// Workers on which the job failed, newest last.
  std::vector<WorkerIndex> m_FailedOn{};
  /// Reason of the present placement, parking or delay.
  std::string m_Reason{};

  /// Neither idempotent nor checkpointable: once started it can only be stopped
  /// for good.
  bool nonPreemptible() const {
    return !m_Spec.m_Idempotent && !m_Spec.m_Checkpointable;
  }
  Resources total() const { return m_Spec.m_PerTask * m_Spec.m_Tasks; }
  Demand demand() const {
    return {m_Spec.m_PerTask, m_Spec.m_Tasks, m_Spec.m_Adjacency,
            m_Spec.m_AdjacencyRequired};
  }
  bool holdsResources() const {
    return m_Phase == JobPhase::Placed || m_Phase == JobPhase::Running ||
           m_Phase == JobPhase::Stopping;
  }
};

struct Workspace {
  WorkspaceId m_Name{};
  WorkspaceConfig m_Config{};
  bool m_Configured = false;
  Resources m_Used{};
  Resources m_GuaranteedTotal{};
  /// Jobs ready to be placed, by key.
  std::set<std::pair<int64_t, JobIndex>> m_Queue{};
  /// Workers that keep a part of its guarantees.
  std::vector<WorkerIndex> m_GuaranteeWorkers{};
};

/// One piece of a guaranteed shape and where it is kept claimable.
struct ShapeInstance {
  WorkspaceIndex m_Workspace = 0;
  GuaranteedShape m_Shape{};
  std::vector<std::pair<WorkerIndex, Resources>> m_Parts{};
};

/// Why room is kept for a job.
enum class HoldKind {
  /// Its workspace claims a guarantee; others' claims do not override it.
  Claim,
  /// Gangs were asked to leave for it.
  Reclaim,
  /// It waits for gangs to end by themselves; others may backfill until then.
  Reservation,
  /// It is being moved here and has not stopped yet.
  Move,
};

/// Room kept for one job.
struct CapacityHold {
  JobIndex m_Job = -1;
  std::vector<Member> m_Members{};
  HoldKind m_Kind = HoldKind::Reclaim;
  TimePoint m_Since{};
  TimePoint m_ExpectedStart{};
};

/// Converts seconds to a Duration.
constexpr Duration seconds(double Seconds) {
  return Duration(static_cast<int64_t>(Seconds * 1e6));
}

/// Converts a Duration to seconds.
constexpr double toSeconds(Duration Span) {
  return static_cast<double>(Span.count()) / 1e6;
}

} // namespace anvil::sched::internal

#endif // ANVIL_SCHED_SRC_RECORDS_H
