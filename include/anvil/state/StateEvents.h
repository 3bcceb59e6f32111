#ifndef ANVIL_STATE_STATEEVENTS_H
#define ANVIL_STATE_STATEEVENTS_H

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "anvil/base/Ids.h"

namespace anvil::state {

// Snapshots store phases as numbers: new enumerators go to the end.

/// Phase of a job, as in charts/job.yaml.
enum class JobPhase {
  Queued,
  Reserved,
  Starting,
  Running,
  Releasing,
  Completed,
  Failed,
  Cancelled,
  OutcomeUnknown
};

/// Phase of one member of a gang, as in charts/task.yaml.
enum class TaskPhase {
  Reserved,
  Prepared,
  Starting,
  Running,
  Stopping,
  Lost,
  Succeeded,
  Released
};

/// Phase of a target VM, as in charts/vm.yaml.
enum class VmPhase { Up, Draining, Lost, Removed };

/// Phase of an availability zone, as in charts/zone.yaml.
enum class ZonePhase { InService, Withdrawn, Removed };

/// A new job is queued.
struct JobSubmitted {
  JobId m_Job;
};

/// A job moved between phases that are not final; Queued means that it was
/// released and waits again.
struct JobPhaseChanged {
  JobId m_Job;
  JobPhase m_Phase = JobPhase::Queued;
  std::string m_Reason;
};

/// A job reached a final phase.
struct JobEnded {
  JobId m_Job;
  JobPhase m_Phase = JobPhase::Completed;
  std::string m_Reason;
};

/// A running job was asked to use less (ReclaimMode::THROTTLE).
struct JobThrottled {
  JobId m_Job;
};

/// The resources of one member are free again.
struct TaskReleased {
  JobId m_Job;
  int32_t m_TaskIndex = 0;
  VmId m_Vm;
};

/// An agent reported one task; m_UsedCores is its usage.
struct TaskReported {
  JobId m_Job;
  int32_t m_TaskIndex = 0;
  VmId m_Vm;
  TaskPhase m_Phase = TaskPhase::Reserved;
  /// True if the task ended without success by its own report, false for an
  /// ordered stop.
  bool m_Failed = false;
  int32_t m_UsedCores = 0;
};

/// A target joined, returned or changed its incarnation or properties.
struct TargetUp {
  VmId m_Vm;
  int64_t m_Incarnation = 0;
};

/// A target was declared lost, or its previous incarnation ended.
struct TargetLost {
  VmId m_Vm;
  int64_t m_Incarnation = 0;
  std::string m_Reason;
};

/// A target started or stopped draining.
struct TargetDrained {
  VmId m_Vm;
  bool m_Draining = false;
};

/// A worker was quarantined or released from quarantine.
struct WorkerQuarantined {
  VmId m_Vm;
  bool m_Quarantined = false;
  std::string m_Reason;
};

/// A target that was lost long ago was removed from the state.
struct TargetRemoved {
  VmId m_Vm;
};

/// Operators withdrew or restored an availability zone.
struct ZoneChanged {
  AvailabilityZoneId m_Zone;
  bool m_InService = true;
};

/// A configuration is in force.
struct ConfigChanged {
  int64_t m_Version = 0;
};

/// One claim was granted, closed or freed; m_Open tells which.
struct ClaimChanged {
  std::string m_ClaimId;
  bool m_Open = false;
};

/// One change of the replicated state.
using StateEvent =
    std::variant<JobSubmitted, JobPhaseChanged, JobEnded, JobThrottled,
                 TaskReleased, TaskReported, TargetUp, TargetLost,
                 TargetDrained, WorkerQuarantined, TargetRemoved, ZoneChanged,
                 ConfigChanged, ClaimChanged>;

/// Receives each change during apply(), in order, with the log index of its
/// command.
///
/// The hook must not call apply(); the state may be in the middle of a command.
using StateEventHook =
    std::function<void(const StateEvent &Event, int64_t Index)>;

} // namespace anvil::state

#endif // ANVIL_STATE_STATEEVENTS_H
