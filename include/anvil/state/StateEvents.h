#ifndef ANVIL_STATE_STATEEVENTS_H
#define ANVIL_STATE_STATEEVENTS_H

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "anvil/base/Ids.h"

namespace anvil::state {

// Snapshots store phases as numbers: new enumerators go to the end.

/// Phase of a job; the transitions are in charts/job.yaml.
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

/// Phase of one member of a gang; the transitions are in charts/task.yaml.
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

/// Phase of a target VM; the transitions are in charts/vm.yaml.
enum class VmPhase { Up, Draining, Lost, Removed };

/// Phase of an availability zone; the transitions are in charts/zone.yaml.
enum class ZonePhase { InService, Withdrawn, Removed };

/// A new job was queued.
struct JobSubmitted {
  JobId m_Job;
};

/// A job moved to a phase that is not final. Queued means that its members were
/// released and it waits for a placement again.
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

/// A running job was ordered to use fewer resources (ReclaimMode::THROTTLE).
struct JobThrottled {
  JobId m_Job;
};

/// The resources of one member were freed.
struct TaskReleased {
  JobId m_Job;
  int32_t m_TaskIndex = 0;
  VmId m_Vm;
};

/// An agent reported the state of one task of the current placement.
struct TaskReported {
  JobId m_Job;
  int32_t m_TaskIndex = 0;
  VmId m_Vm;
  /// Phase after the report.
  TaskPhase m_Phase = TaskPhase::Reserved;
  /// True if the task failed or was refused, false also after an ordered stop.
  bool m_Failed = false;
  /// Cores that the task used, as the agent measured them.
  int32_t m_UsedCores = 0;
};

/// A target registered: it is new, returned after a loss, or has another
/// incarnation or other properties.
struct TargetUp {
  VmId m_Vm;
  int64_t m_Incarnation = 0;
};

/// A target was declared lost, or a new incarnation replaced \p m_Incarnation.
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

/// A worker was put into quarantine or taken out of it.
struct WorkerQuarantined {
  VmId m_Vm;
  bool m_Quarantined = false;
  std::string m_Reason;
};

/// A lost target was removed from the state. Once more than 2,048 are stored,
/// the oldest one whose members have all been freed is removed.
struct TargetRemoved {
  VmId m_Vm;
};

/// Operators withdrew or restored an availability zone.
struct ZoneChanged {
  AvailabilityZoneId m_Zone;
  bool m_InService = true;
};

/// A new configuration came into force.
struct ConfigChanged {
  int64_t m_Version = 0;
};

/// A claim was granted (m_Open is true), or was closed or freed.
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

/// Receives each change during apply(), in order, with the log index of the
/// command that caused it.
///
/// The hook must not call apply(): the command may be only partly applied.
using StateEventHook =
    std::function<void(const StateEvent &Event, int64_t Index)>;

} // namespace anvil::state

#endif // ANVIL_STATE_STATEEVENTS_H
