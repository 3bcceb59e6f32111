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

enum class JobPhase { Queued, Delayed, Parked, Placed, Running, Stopping };

/// Why the last attempt did not place a queued job.
enum class BlockReason {
  NotConsidered,
  Quota,
  NoRoom,
  AwaitingReclaim,
  Reserved,
  Refused
};

/// Why a gang is being stopped.
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
  /// Time of the last checkpoint of this run; m_StartedAt if there is none.
  TimePoint m_CheckpointAt{};
  /// Run time of earlier runs that is saved in a checkpoint.
  Duration m_CheckpointedTime{};
  TimePoint m_NotBefore{};
  TimePoint m_NextPlanAt{};
  /// Time until which the gang is not displaced only to shorten waiting or to
  /// use more capacity.
  TimePoint m_ProtectedUntil{};
  /// Time until which the job displaces no gang for these purposes, after it
  /// was displaced for them itself.
  TimePoint m_NoDisplacingUntil{};
  int64_t m_QueueKey = 0;
  int32_t m_Failures = 0;
  int32_t m_Refusals = 0;
  int32_t m_Reclaims = 0;
  int32_t m_Plans = 0;
  bool m_InQueue = false;
  bool m_Started = false;
  bool m_Cancelled = false;
  /// Placed in room reserved for another job, which may reclaim it.
  bool m_Backfilled = false;
  /// Index into SchedulerCore::m_Holds, or -1.
  int32_t m_HoldIndex = -1;
  StopCause m_StopCause = StopCause::None;
  BlockReason m_BlockReason = BlockReason::NotConsidered;
  ReclaimState m_Reclaim{};
  std::vector<Member> m_Members{};
  /// Workers on which the job failed, newest last.
  std::vector<WorkerIndex> m_FailedOn{};
  /// Reason of the current placement, parking, delay or stop, in words for
  /// operators.
  std::string m_Reason{};

  /// Neither idempotent nor checkpointable: if stopped after its start, it can
  /// neither be repeated nor continued.
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
  /// Workers to which parts of its guarantees are assigned, sorted.
  std::vector<WorkerIndex> m_GuaranteeWorkers{};
};

/// One instance of a guaranteed shape and the workers that it is assigned to;
/// no parts if it cannot be kept at present.
struct ShapeInstance {
  WorkspaceIndex m_Workspace = 0;
  GuaranteedShape m_Shape{};
  std::vector<std::pair<WorkerIndex, Resources>> m_Parts{};
};

/// Purpose of a hold.
enum class HoldKind {
  /// The job's workspace claims its guarantee; no other hold overrides it.
  Claim,
  /// Gangs are being reclaimed for the job.
  Reclaim,
  /// The job waits for gangs to end by themselves; other jobs may be backfilled
  /// until then.
  Reservation,
  /// The job is being moved here from other workers and has not stopped yet.
  Move,
};

/// Room held for one job until it can be placed there.
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
