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

/// Place all members of a job at once. Answered by PlacementConfirmed or
/// PlacementRefused.
struct PlaceGang {
  JobId m_Job{};
  std::vector<MemberPlacement> m_Members{};
  std::string m_Reason{};
};

/// Steps of a reclaim, mildest first.
enum class ReclaimMode { Checkpoint, Throttle, Stop };

/// Take the resources of a placed job back. Answered by GangReleased.
///
/// Checkpoint asks all members to write a checkpoint and stop. If the deadline
/// passes, the scheduler follows with Throttle and then Stop.
struct ReclaimJob {
  JobId m_Job{};
  ReclaimMode m_Mode = ReclaimMode::Checkpoint;
  TimePoint m_Deadline{};
  std::string m_Reason{};
};

/// The job cannot be placed as things are; it is looked at again when capacity
/// or configuration change.
struct ParkJob {
  JobId m_Job{};
  std::string m_Reason{};
};

/// The job is over without success.
struct GiveUpJob {
  JobId m_Job{};
  std::string m_Reason{};
};

/// Take a worker out of use, or with m_Quarantined false return it to use.
struct QuarantineWorker {
  VmId m_Vm{};
  bool m_Quarantined = true;
  std::string m_Reason{};
};

/// Run a self-test on a quarantined worker. Answered by ProbeEnded.
struct ProbeWorker {
  VmId m_Vm{};
  std::string m_Reason{};
};

/// m_Missing pieces of a guaranteed shape cannot be kept at present; zero says
/// that all are kept again.
struct WarnGuarantee {
  WorkspaceId m_Workspace{};
  std::string m_Shape{};
  int32_t m_Missing = 0;
  std::string m_Reason{};
};

/// Everything the scheduler asks for.
using SchedulerAction =
    std::variant<PlaceGang, ReclaimJob, ParkJob, GiveUpJob, QuarantineWorker,
                 ProbeWorker, WarnGuarantee>;

} // namespace anvil::sched

#endif // ANVIL_SCHED_ACTION_H
