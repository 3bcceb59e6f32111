#ifndef ANVIL_SCHED_JOB_H
#define ANVIL_SCHED_JOB_H

#include <cstdint>
#include <string>
#include <vector>

#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"

namespace anvil::sched {

/// Amount of each resource; used for capacities, demands and quotas.
struct Resources {
  int64_t m_Accelerators = 0;
  int64_t m_Cores = 0;
  int64_t m_MemoryMib = 0;

  bool operator==(const Resources &) const = default;
};

/// How close to each other the members of a gang are placed.
enum class Adjacency { Any, Rack, Vm };

/// Class of a job, most urgent first.
enum class Urgency { Urgent, WorkingDay, Batch, Overnight };

/// Number of values of Urgency.
inline constexpr int UrgencyCount = 4;

/// Requirements of a job. All tasks have the same demand and run as one gang.
struct JobSpec {
  WorkspaceId m_Workspace{};
  std::string m_Name{};
  int32_t m_Tasks = 1;
  Resources m_PerTask{};
  Adjacency m_Adjacency = Adjacency::Any;
  /// If false, m_Adjacency is only a preference.
  bool m_AdjacencyRequired = false;
  Urgency m_Urgency = Urgency::Batch;
  /// Time after submission by which the job should end; zero means none.
  Duration m_Deadline{0};
  /// The job may be run again from its start after it has started once.
  bool m_Idempotent = false;
  /// The job may be stopped at a checkpoint and continued from it.
  bool m_Checkpointable = false;
  /// Declared run time; zero means unknown. A hint that is corrected by
  /// measured run times and never enforced.
  Duration m_DeclaredRunTime{0};
};

/// One member of a placed gang.
struct MemberPlacement {
  int32_t m_TaskIndex = 0;
  VmId m_Vm{};

  bool operator==(const MemberPlacement &) const = default;
};

/// A guaranteed shape of a workspace: m_Count instances of m_Resources, each
/// within one VM, within one rack or anywhere.
struct GuaranteedShape {
  std::string m_Name{};
  Resources m_Resources{};
  Adjacency m_Adjacency = Adjacency::Any;
  int32_t m_Count = 0;

  bool operator==(const GuaranteedShape &) const = default;
};

/// Limits and guarantees of one workspace. A quota field of zero means that the
/// resource is not limited.
struct WorkspaceConfig {
  WorkspaceId m_Name{};
  Resources m_Quota{};
  std::vector<GuaranteedShape> m_Guarantees{};

  bool operator==(const WorkspaceConfig &) const = default;
};

} // namespace anvil::sched

#endif // ANVIL_SCHED_JOB_H
