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
  Worker &Target = m_Workers[Index];
  WorkerSlot &Slot = m_Slots[Index];
  if (Slot.m_Usable) {
    m_UsableCapacity -= Target.m_Capacity;
    --m_UsableWorkers;
    Slot.m_Usable = false;
  }
  Target.m_Capacity = Up.m_Capacity;
  Target.m_Up = true;
  Target.m_Draining = Up.m_Draining;
  Target.m_Quarantined = Target.m_Quarantined || Up.m_Quarantined;
  Target.m_Overuse = {};
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

Claim &Fleet::claimRow(Worker &Target, WorkspaceIndex Workspace) {
  for (Claim &Row : Target.m_Claims) {
    if (Row.m_Workspace == Workspace)
      return Row;
  }
  Target.m_Claims.push_back({.m_Workspace = Workspace});
  return Target.m_Claims.back();
}

void Fleet::dropEmptyRows(Worker &Target) {
  std::erase_if(Target.m_Claims, [](const Claim &Row) {
    return isZero(Row.m_Guaranteed) && isZero(Row.m_Used);
  });
}

void Fleet::occupy(WorkerIndex Index, JobIndex Job, WorkspaceIndex Workspace,
                   int32_t Tasks, const Resources &PerTask, bool Pinned) {
  Worker &Target = m_Workers[Index];
  const Resources Amount = PerTask * Tasks;
  Target.m_Reserved += Amount;
  Claim &Row = claimRow(Target, Workspace);
  Row.m_Used += Amount;
  if (Pinned)
    Row.m_Pinned += Amount;
  Target.m_Occupants.push_back({Job, Tasks});
  refresh(Index);
}

void Fleet::vacate(WorkerIndex Index, JobIndex Job, WorkspaceIndex Workspace,
                   int32_t Tasks, const Resources &PerTask, bool Pinned) {
  Worker &Target = m_Workers[Index];
  const Resources Amount = PerTask * Tasks;
  Target.m_Reserved -= Amount;
  Claim &Row = claimRow(Target, Workspace);
  Row.m_Used -= Amount;
  if (Pinned)
    Row.m_Pinned -= Amount;
  std::erase_if(Target.m_Occupants,
                [Job](const Occupant &Entry) { return Entry.m_Job == Job; });
  dropEmptyRows(Target);
  refresh(Index);
}

void Fleet::guarantee(WorkerIndex Index, WorkspaceIndex Workspace,
                      const Resources &Amount) {
  Worker &Target = m_Workers[Index];
  claimRow(Target, Workspace).m_Guaranteed += Amount;
  dropEmptyRows(Target);
  refresh(Index);
}

void Fleet::hold(WorkerIndex Index, const Resources &Amount) {
  m_Workers[Index].m_Held += Amount;
  m_Slots[Index].m_Free -= Amount;
  m_Slots[Index].m_Open -= Amount;
}

void Fleet::refresh(WorkerIndex Index) {
  const Worker &Target = m_Workers[Index];
  WorkerSlot &Slot = m_Slots[Index];
  const Resources Rest = Target.m_Capacity - Target.m_Held - Target.m_Overuse;
  Slot.m_Free = Rest - Target.m_Reserved;
  Slot.m_Open = Rest;
  Slot.m_PinRoom = Target.m_Capacity;
  for (const Claim &Row : Target.m_Claims) {
    Slot.m_Open -= maxOf(Row.m_Guaranteed, Row.m_Used);
    Slot.m_PinRoom -= maxOf(Row.m_Guaranteed, Row.m_Pinned);
  }
  const bool Usable = Target.m_Up && !Target.m_Draining &&
                      !Target.m_Quarantined &&
                      !m_Zones[Slot.m_Zone].m_Withdrawn;
  if (Usable == Slot.m_Usable)
    return;
  Slot.m_Usable = Usable;
  m_UsableWorkers += Usable ? 1 : -1;
  m_UsableCapacity += Target.m_Capacity * (Usable ? 1 : -1);
}

void Fleet::refreshZone(int32_t ZoneIndex) {
  for (WorkerIndex Index = 0; Index < size(); ++Index) {
    if (m_Slots[Index].m_Zone == ZoneIndex)
      refresh(Index);
  }
}

Claim Fleet::claimOf(WorkerIndex Index, WorkspaceIndex Workspace) const {
  for (const Claim &Row : m_Workers[Index].m_Claims) {
    if (Row.m_Workspace == Workspace)
      return Row;
  }
  return {.m_Workspace = Workspace};
}

int64_t Fleet::approximateBytes() const {
  int64_t Bytes = static_cast<int64_t>(m_Slots.capacity() * sizeof(WorkerSlot) +
                                       m_Workers.capacity() * sizeof(Worker));
  for (const Worker &Target : m_Workers) {
    Bytes += static_cast<int64_t>(
        Target.m_Claims.capacity() * sizeof(Claim) +
        Target.m_Occupants.capacity() * sizeof(Occupant) +
        Target.m_Evidence.capacity() * sizeof(FailureEvidence));
    Bytes +=
        2 * static_cast<int64_t>(sizeof(VmId) + Target.m_Vm.str().capacity());
  }
  return Bytes;
}

} // namespace anvil::sched::internal
