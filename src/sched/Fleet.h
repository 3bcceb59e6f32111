#ifndef ANVIL_SCHED_SRC_FLEET_H
#define ANVIL_SCHED_SRC_FLEET_H

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "Amounts.h"
#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"
#include "anvil/sched/Event.h"

namespace anvil::sched::internal {

using WorkerIndex = int32_t;
using JobIndex = int32_t;
using WorkspaceIndex = int32_t;

/// Tasks of one gang on one worker.
struct Member {
  WorkerIndex m_Worker = 0;
  int32_t m_Tasks = 0;

  bool operator==(const Member &) const = default;
};

/// Guaranteed and used resources of one workspace on one worker.
struct WorkspaceUsage {
  WorkspaceIndex m_Workspace = 0;
  /// Part of its guaranteed shapes that is assigned to this worker.
  Resources m_Guaranteed{};
  /// Reserved by its gangs.
  Resources m_Used{};
  /// Part of m_Used that belongs to non-preemptible gangs.
  Resources m_NonPreemptible{};
};

/// Tasks of one gang on the worker that holds this record.
struct Occupant {
  JobIndex m_Job = 0;
  int32_t m_Tasks = 0;
};

/// The part of a worker that placement searches read; kept small and
/// contiguous, since each search reads all of them.
struct WorkerSlot {
  /// Neither reserved nor held; negative while a hold waits for gangs to stop.
  Resources m_Free{};
  /// Capacity that is not used, overused, held or guaranteed; negative while
  /// guarantees are borrowed.
  Resources m_Unguaranteed{};
  /// Resources that non-preemptible gangs may still take without using a
  /// guarantee.
  Resources m_NonPreemptibleRoom{};
  int32_t m_Rack = 0;
  int32_t m_Zone = 0;
  bool m_Usable = false;
  bool m_HasAccelerators = false;
};

/// One failure of a job on a worker.
struct FailureEvidence {
  JobId m_Job{};
  TimePoint m_FailedAt{};
};

/// State of a worker that placement searches do not read.
struct WorkerState {
  VmId m_Vm{};
  Resources m_Capacity{};
  Resources m_Reserved{};
  /// Held by all holds together.
  Resources m_Held{};
  Resources m_HeldByClaims{};
  Resources m_HeldByReservations{};
  /// Measured use beyond m_Reserved.
  Resources m_Overuse{};
  /// Last report that confirmed the present m_Overuse.
  TimePoint m_OveruseAt{};
  /// Last change of m_Reserved; older usage reports say nothing about it.
  TimePoint m_ChangedAt{};
  bool m_Up = false;
  bool m_Draining = false;
  bool m_Quarantined = false;
  int32_t m_Probes = 0;
  std::vector<WorkspaceUsage> m_Usage{};
  std::vector<Occupant> m_Occupants{};
  std::vector<FailureEvidence> m_Evidence{};
};

struct ZoneState {
  AvailabilityZoneId m_Name{};
  bool m_Withdrawn = false;
  /// End of the notice period of a withdrawal, after which workers may
  /// disappear.
  TimePoint m_NoticeEnd{};
  bool m_EvictionDone = false;
};

/// All workers, with the resources reserved, guaranteed and held on each.
class Fleet {
public:
  /// Adds or replaces a worker and returns its index.
  WorkerIndex upsert(const WorkerUp &Up);
  /// Returns the index of a worker or -1.
  WorkerIndex find(const VmId &Vm) const;
  int32_t zoneIndex(const AvailabilityZoneId &Name);

  int32_t size() const { return static_cast<int32_t>(m_Workers.size()); }
  int32_t rackCount() const { return static_cast<int32_t>(m_RackIndex.size()); }
  WorkerState &worker(WorkerIndex Index) { return m_Workers[Index]; }
  const WorkerState &worker(WorkerIndex Index) const {
    return m_Workers[Index];
  }
  WorkerSlot &slot(WorkerIndex Index) { return m_Slots[Index]; }
  const WorkerSlot &slot(WorkerIndex Index) const { return m_Slots[Index]; }
  const std::vector<WorkerSlot> &slots() const { return m_Slots; }
  /// Workers that have accelerators, in the order of their indices.
  const std::vector<WorkerIndex> &withAccelerators() const {
    return m_WithAccelerators;
  }
  std::vector<ZoneState> &zones() { return m_Zones; }
  const std::vector<ZoneState> &zones() const { return m_Zones; }
  /// Capacity of the usable workers.
  const Resources &usableCapacity() const { return m_UsableCapacity; }
  int32_t usableWorkers() const { return m_UsableWorkers; }

  void occupy(WorkerIndex Index, JobIndex Job, WorkspaceIndex Workspace,
              int32_t Tasks, const Resources &PerTask, bool NonPreemptible);
  void vacate(WorkerIndex Index, JobIndex Job, WorkspaceIndex Workspace,
              int32_t Tasks, const Resources &PerTask, bool NonPreemptible);
  /// Adds \p Amount (negative to remove) to the guarantee of \p Workspace on
  /// the worker.
  void guarantee(WorkerIndex Index, WorkspaceIndex Workspace,
                 const Resources &Amount);
  /// Holds \p Amount (negative to release), so that searches do not use it.
  void hold(WorkerIndex Index, const Resources &Amount);
  /// Recomputes the slot after a change of the worker or its zone.
  void refresh(WorkerIndex Index);
  /// Recomputes the slots of all workers of a zone.
  void refreshZone(int32_t ZoneIndex);
  /// Returns the usage of the workspace on the worker; all zero if there is
  /// none.
  WorkspaceUsage usageOf(WorkerIndex Index, WorkspaceIndex Workspace) const;
  int64_t approximateBytes() const;

private:
  WorkspaceUsage &usageRow(WorkerState &Worker, WorkspaceIndex Workspace);
  static void eraseEmptyRows(WorkerState &Worker);

  std::vector<WorkerState> m_Workers;
  std::vector<WorkerSlot> m_Slots;
  std::vector<ZoneState> m_Zones;
  std::vector<WorkerIndex> m_WithAccelerators;
  absl::flat_hash_map<VmId, WorkerIndex> m_WorkerIndex;
  absl::flat_hash_map<RackId, int32_t> m_RackIndex;
  Resources m_UsableCapacity;
  int32_t m_UsableWorkers = 0;
};

} // namespace anvil::sched::internal

#endif // ANVIL_SCHED_SRC_FLEET_H
