#include "Fleet.h"

#include <algorithm>

namespace anvil::sched::internal {

int32_t Fleet::zoneIndex(const AvailabilityZoneId &Name) {
  for (size_t I = 0; I < m_Zones.size(); ++I) {
    if (m_Zones[I].m_Name == Name)
      return static_cast<int32_t>(I);
  }
  m_Zones.push_back({.m_Name = Name});
  return static_cast<int32_t>(m_Zones.size() - 1);
}

WorkerIndex Fleet::find(const VmId &Vm) const {
  const auto Found = m_WorkerIndex.find(Vm);
  return Found == m_WorkerIndex.end() ? -1 : Found->second;
}

WorkerIndex Fleet::upsert(const WorkerUp &Up) {
  const auto [Entry, Inserted] = m_WorkerIndex.try_emplace(Up.m_Vm, size());
  const WorkerIndex Index = Entry->second;
  if (Inserted) {
    m_Workers.emplace_back().m_Vm = Up.m_Vm;
    m_Slots.emplace_back();
  }
  WorkerState &Worker = m_Workers[Index];
  WorkerSlot &Slot = m_Slots[Index];
  if (Slot.m_Usable) {
    m_UsableCapacity -= Worker.m_Capacity;
    --m_UsableWorkers;
    Slot.m_Usable = false;
  }
  Worker.m_Capacity = Up.m_Capacity;
  Worker.m_Up = true;
  Worker.m_Draining = Up.m_Draining;
  Worker.m_Quarantined = Worker.m_Quarantined || Up.m_Quarantined;
  Worker.m_Overuse = {};
  Slot.m_Rack = m_RackIndex.try_emplace(Up.m_Rack, rackCount()).first->second;
  Slot.m_Zone = zoneIndex(Up.m_Zone);
  Slot.m_HasAccelerators = Up.m_Capacity.m_Accelerators > 0;
  const auto Listed = std::lower_bound(m_WithAccelerators.begin(),
                                       m_WithAccelerators.end(), Index);
  const bool IsListed = Listed != m_WithAccelerators.end() && *Listed == Index;
  if (Slot.m_HasAccelerators && !IsListed) {
    m_WithAccelerators.insert(Listed, Index);
  } else if (!Slot.m_HasAccelerators && IsListed) {
    m_WithAccelerators.erase(Listed);
  }
  refresh(Index);
  return Index;
}

WorkspaceUsage &Fleet::usageRow(WorkerState &Worker, WorkspaceIndex Workspace) {
  for (WorkspaceUsage &Row : Worker.m_Usage) {
    if (Row.m_Workspace == Workspace)
      return Row;
  }
  Worker.m_Usage.push_back({.m_Workspace = Workspace});
  return Worker.m_Usage.back();
}

void Fleet::eraseEmptyRows(WorkerState &Worker) {
  std::erase_if(Worker.m_Usage, [](const WorkspaceUsage &Row) {
    return isZero(Row.m_Guaranteed) && isZero(Row.m_Used);
  });
}

void Fleet::occupy(WorkerIndex Index, JobIndex Job, WorkspaceIndex Workspace,
                   int32_t Tasks, const Resources &PerTask,
                   bool NonPreemptible) {
  WorkerState &Worker = m_Workers[Index];
  const Resources Amount = PerTask * Tasks;
  Worker.m_Reserved += Amount;
  WorkspaceUsage &Row = usageRow(Worker, Workspace);
  Row.m_Used += Amount;
  if (NonPreemptible)
    Row.m_NonPreemptible += Amount;
  Worker.m_Occupants.push_back({Job, Tasks});
  refresh(Index);
}

void Fleet::vacate(WorkerIndex Index, JobIndex Job, WorkspaceIndex Workspace,
                   int32_t Tasks, const Resources &PerTask,
                   bool NonPreemptible) {
  WorkerState &Worker = m_Workers[Index];
  const Resources Amount = PerTask * Tasks;
  Worker.m_Reserved -= Amount;
  WorkspaceUsage &Row = usageRow(Worker, Workspace);
  Row.m_Used -= Amount;
  if (NonPreemptible)
    Row.m_NonPreemptible -= Amount;
  std::erase_if(Worker.m_Occupants,
                [Job](const Occupant &Entry) { return Entry.m_Job == Job; });
  eraseEmptyRows(Worker);
  refresh(Index);
}

void Fleet::guarantee(WorkerIndex Index, WorkspaceIndex Workspace,
                      const Resources &Amount) {
  WorkerState &Worker = m_Workers[Index];
  usageRow(Worker, Workspace).m_Guaranteed += Amount;
  eraseEmptyRows(Worker);
  refresh(Index);
}

void Fleet::hold(WorkerIndex Index, const Resources &Amount) {
  m_Workers[Index].m_Held += Amount;
  m_Slots[Index].m_Free -= Amount;
  m_Slots[Index].m_Unguaranteed -= Amount;
}

void Fleet::refresh(WorkerIndex Index) {
  const WorkerState &Worker = m_Workers[Index];
  WorkerSlot &Slot = m_Slots[Index];
  const Resources Rest = Worker.m_Capacity - Worker.m_Held - Worker.m_Overuse;
  Slot.m_Free = Rest - Worker.m_Reserved;
  Slot.m_Unguaranteed = Rest;
  Slot.m_NonPreemptibleRoom = Worker.m_Capacity;
  for (const WorkspaceUsage &Row : Worker.m_Usage) {
    Slot.m_Unguaranteed -= maxOf(Row.m_Guaranteed, Row.m_Used);
    Slot.m_NonPreemptibleRoom -= maxOf(Row.m_Guaranteed, Row.m_NonPreemptible);
  }
  const bool Usable = Worker.m_Up && !Worker.m_Draining &&
                      !Worker.m_Quarantined &&
                      !m_Zones[Slot.m_Zone].m_Withdrawn;
  if (Usable == Slot.m_Usable)
    return;
  Slot.m_Usable = Usable;
  m_UsableWorkers += Usable ? 1 : -1;
  m_UsableCapacity += Worker.m_Capacity * (Usable ? 1 : -1);
}

void Fleet::refreshZone(int32_t ZoneIndex) {
  for (WorkerIndex Index = 0; Index < size(); ++Index) {
    if (m_Slots[Index].m_Zone == ZoneIndex)
      refresh(Index);
  }
}

WorkspaceUsage Fleet::usageOf(WorkerIndex Index,
                              WorkspaceIndex Workspace) const {
  for (const WorkspaceUsage &Row : m_Workers[Index].m_Usage) {
    if (Row.m_Workspace == Workspace)
      return Row;
  }
  return {.m_Workspace = Workspace};
}

int64_t Fleet::approximateBytes() const {
  int64_t Bytes =
      static_cast<int64_t>(m_Slots.capacity() * sizeof(WorkerSlot) +
                           m_Workers.capacity() * sizeof(WorkerState));
  for (const WorkerState &Worker : m_Workers) {
    Bytes += static_cast<int64_t>(
        Worker.m_Usage.capacity() * sizeof(WorkspaceUsage) +
        Worker.m_Occupants.capacity() * sizeof(Occupant) +
        Worker.m_Evidence.capacity() * sizeof(FailureEvidence));
    Bytes +=
        2 * static_cast<int64_t>(sizeof(VmId) + Worker.m_Vm.str().capacity());
  }
  return Bytes;
}

} // namespace anvil::sched::internal
