#ifndef ANVIL_SCHED_EVENT_H
#define ANVIL_SCHED_EVENT_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"
#include "anvil/sched/Job.h"

namespace anvil::sched {

/// A worker registered, returned or changed its properties. Replaces the known
/// state of the VM except its gangs, failures and quarantine.
struct WorkerUp {
  VmId m_Vm{};
  AvailabilityZoneId m_Zone{};
  RackId m_Rack{};
  Resources m_Capacity{};
  /// Set when the scheduler is rebuilt and the replicated state has the worker
  /// draining.
  bool m_Draining = false;
  /// Set when the scheduler is rebuilt and the replicated state has the worker
  /// quarantined.
  bool m_Quarantined = false;
};

/// The failure detector declared the worker lost. Gangs on it keep their
/// resources until GangReleased.
struct WorkerLost {
  VmId m_Vm{};
};

/// An operator or the shutdown of the agent set or cleared draining.
struct WorkerDrained {
  VmId m_Vm{};
  bool m_Draining = true;
};

/// A new job entered the queue.
struct JobSubmitted {
  JobId m_Job{};
  JobSpec m_Spec{};
};

/// Phase of a restored job in the replicated state.
enum class RestoredPhase { Queued, Placed, Running, Stopping };

/// A job known to the replicated state when a new leader rebuilds the
/// scheduler. Workers and configuration come first.
struct JobRestored {
  JobId m_Job{};
  JobSpec m_Spec{};
  RestoredPhase m_Phase = RestoredPhase::Queued;
  /// Empty when the job is queued.
  std::vector<MemberPlacement> m_Members{};
  TimePoint m_SubmittedAt{};
  /// Meaningful when running or stopping.
  TimePoint m_StartedAt{};
  /// Run time already saved in a checkpoint.
  Duration m_Checkpointed{0};
  /// Failures counted so far.
  int32_t m_Failures = 0;
};

/// The replicated state accepted a PlaceGang.
struct PlacementConfirmed {
  JobId m_Job{};
};

/// The replicated state refused a PlaceGang, or a member refused before any
/// member started. The resources of the gang are free.
struct PlacementRefused {
  JobId m_Job{};
  std::string m_Reason{};
  /// The VM that refused; empty when it was the replicated state.
  VmId m_Vm{};
};

/// One member started to run.
struct TaskStarted {
  JobId m_Job{};
  int32_t m_TaskIndex = 0;
};

/// One member ended with success. Its resources stay with the gang until the
/// job ends.
struct TaskEnded {
  JobId m_Job{};
  int32_t m_TaskIndex = 0;
};

/// One member failed on its VM. The replicated state stops the other members;
/// GangReleased follows.
struct TaskFailed {
  JobId m_Job{};
  int32_t m_TaskIndex = 0;
  VmId m_Vm{};
  std::string m_Detail{};
};

/// All members run.
struct JobStarted {
  JobId m_Job{};
};

/// All members ended with success; the resources of the gang are free.
struct JobEnded {
  JobId m_Job{};
};

/// The job was cancelled. The resources of a placed gang stay held until
/// GangReleased.
struct JobCancelled {
  JobId m_Job{};
};

/// No member runs any more (stopped, failed, or its lease expired); the
/// resources of the gang are free.
struct GangReleased {
  JobId m_Job{};
  /// At least one member had started. Decides whether a job that is not
  /// idempotent may be placed again.
  bool m_AnyStarted = false;
  /// All members stopped at a checkpoint, so that no work is repeated when the
  /// job continues.
  bool m_StoppedAtCheckpoint = false;
};

/// The job wrote a checkpoint and may still run.
struct CheckpointDone {
  JobId m_Job{};
};

/// Operators withdrew an availability zone. No gang is placed in it from now
/// on.
struct ZoneWithdrawn {
  AvailabilityZoneId m_Zone{};
  /// Time until its workers may disappear. Preemptible jobs are stopped by
  /// then.
  Duration m_Notice{std::chrono::seconds(60)};
};

/// Operators restored an availability zone.
struct ZoneRestored {
  AvailabilityZoneId m_Zone{};
};

/// A configuration took effect; it replaces the previous one as a whole.
struct ConfigurationChanged {
  std::vector<WorkspaceConfig> m_Workspaces{};
};

/// Measured use of a worker by all its tasks. Reports may be late or out of
/// order; a report older than the last change of the worker's gangs is ignored.
struct UsageReported {
  VmId m_Vm{};
  Resources m_Used{};
  TimePoint m_MeasuredAt{};
};

/// Result of a ProbeWorker.
struct ProbeEnded {
  VmId m_Vm{};
  bool m_Healthy = false;
};

/// Reports only that time has passed. Due at least every 100 ms while jobs are
/// queued or being reclaimed, and every second otherwise.
struct Tick {};

/// All inputs of the scheduler. Events on unknown jobs or workers are ignored.
using SchedulerEvent =
    std::variant<WorkerUp, WorkerLost, WorkerDrained, JobSubmitted, JobRestored,
                 PlacementConfirmed, PlacementRefused, TaskStarted, TaskEnded,
                 TaskFailed, JobStarted, JobEnded, JobCancelled, GangReleased,
                 CheckpointDone, ZoneWithdrawn, ZoneRestored,
                 ConfigurationChanged, UsageReported, ProbeEnded, Tick>;

} // namespace anvil::sched

#endif // ANVIL_SCHED_EVENT_H
