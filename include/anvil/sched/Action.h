#ifndef ANVIL_SCHED_ACTION_H
#define ANVIL_SCHED_ACTION_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"
#include "anvil/sched/Job.h"

namespace anvil::sched {

/// Places all members of a job at once. Answered by PlacementConfirmed or
/// PlacementRefused.
struct PlaceGang {
  JobId m_Job{};
  std::vector<MemberPlacement> m_Members{};
  std::string m_Reason{};
};

/// Steps of a reclaim, mildest first.
enum class ReclaimMode { Checkpoint, Throttle, Stop };

/// Reclaims the resources of a placed job. Answered by GangReleased.
///
/// Checkpoint asks all members to write a checkpoint and stop. If m_Deadline
/// passes without an answer, the scheduler continues with Throttle and then
/// Stop, and repeats Stop until it is answered.
struct ReclaimJob {
  JobId m_Job{};
  ReclaimMode m_Mode = ReclaimMode::Checkpoint;
  TimePoint m_Deadline{};
  std::string m_Reason{};
};

/// The job cannot be placed with the current workers and configuration. It is
/// reconsidered when these change.
struct ParkJob {
  JobId m_Job{};
  std::string m_Reason{};
};

/// The job ends without success and is not placed again.
struct GiveUpJob {
  JobId m_Job{};
  std::string m_Reason{};
};

/// Takes a worker out of service, or with m_Quarantined false returns it to
/// service.
struct QuarantineWorker {
  VmId m_Vm{};
  bool m_Quarantined = true;
  std::string m_Reason{};
};

/// Runs a self-test on a quarantined worker. Answered by ProbeEnded.
struct ProbeWorker {
  VmId m_Vm{};
  std::string m_Reason{};
};

/// m_Missing instances of a guaranteed shape cannot be kept at present; zero
/// means that all are kept again. Emitted when the number changes.
struct WarnGuarantee {
  WorkspaceId m_Workspace{};
  std::string m_Shape{};
  int32_t m_Missing = 0;
  std::string m_Reason{};
};

/// All actions that a step may return.
using SchedulerAction =
    std::variant<PlaceGang, ReclaimJob, ParkJob, GiveUpJob, QuarantineWorker,
                 ProbeWorker, WarnGuarantee>;

} // namespace anvil::sched

#endif // ANVIL_SCHED_ACTION_H
