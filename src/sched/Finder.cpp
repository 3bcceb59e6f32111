#include "Finder.h"

#include <algorithm>

namespace anvil::sched::internal {

namespace {

Resources roomOf(const WorkerSlot &Slot, RoomKind Kind, const Resources &Free) {
  switch (Kind) {
  case RoomKind::Unguaranteed:
    return minOf(Free, Slot.m_Unguaranteed);
  case RoomKind::NonPreemptible:
    return minOf(Free, Slot.m_NonPreemptibleRoom);
  case RoomKind::Guaranteed:
  case RoomKind::Free:
    break;
  }
  return Free;
}

/// Range of the candidates of one rack, largest first.
struct RackGroup {
  size_t m_Begin = 0;
  size_t m_End = 0;
  int64_t m_Tasks = 0;
  int32_t m_Zone = 0;
};

/// Returns the index in \p Left of the smallest group that alone holds \p
/// Remaining tasks, else of the largest one.
size_t pickGroup(const std::vector<RackGroup> &Groups,
                 const std::vector<size_t> &Left, int64_t Remaining) {
  size_t Best = 0;
  for (size_t I = 1; I < Left.size(); ++I) {
    const int64_t Tasks = Groups[Left[I]].m_Tasks;
    const int64_t BestTasks = Groups[Left[Best]].m_Tasks;
    const bool Enough = Tasks >= Remaining;
    const bool BestEnough = BestTasks >= Remaining;
    if (Enough != BestEnough ? Enough
                             : (Enough ? Tasks < BestTasks : Tasks > BestTasks))
      Best = I;
  }
  return Best;
}

/// Returns the zone with the least room that can hold the whole gang, or -1.
int32_t pickZone(const std::vector<RackGroup> &Groups, int64_t Tasks) {
  std::vector<int64_t> Sums;
  for (const RackGroup &Group : Groups) {
    Sums.resize(std::max(Sums.size(), static_cast<size_t>(Group.m_Zone) + 1));
    Sums[Group.m_Zone] += Group.m_Tasks;
  }
  int32_t Best = -1;
  for (size_t I = 0; I < Sums.size(); ++I) {
    if (Sums[I] >= Tasks && (Best < 0 || Sums[I] < Sums[Best]))
      Best = static_cast<int32_t>(I);
  }
  return Best;
}

} // namespace

std::vector<Member> Finder::find(const Demand &Need, RoomKind Kind,
                                 std::span<const WorkerIndex> Avoided,
                                 std::span<const Resources> Freed) {
  clear();
  if (Need.m_PerTask.m_Accelerators > 0) {
    scanWithAccelerators(Need, Kind, Avoided, Freed);
    return choose(m_All, Need);
  }
  scanAll(Need, Kind, Avoided, Freed);
  std::vector<Member> Result = choose(m_SparingCores, Need);
  return Result.empty() ? choose(m_All, Need) : Result;
}

std::vector<Member> Finder::findAmong(const Demand &Need,
                                      std::span<const WorkerIndex> Workers,
                                      const RoomFn &Room) {
  clear();
  m_Scanned += static_cast<int64_t>(Workers.size());
  for (const WorkerIndex Worker : Workers)
    addCandidate(m_All, Need, Worker, Room(Worker));
  return choose(m_All, Need);
}

void Finder::clear() {
  m_All.m_Entries.clear();
  m_All.m_Total = 0;
  m_SparingCores.m_Entries.clear();
  m_SparingCores.m_Total = 0;
}

void Finder::scanAll(const Demand &Need, RoomKind Kind,
                     std::span<const WorkerIndex> Avoided,
                     std::span<const Resources> Freed) {
  const int32_t Count = m_Fleet->size();
  m_Scanned += Count;
  for (WorkerIndex Index = 0; Index < Count; ++Index)
    scanOne(Need, Kind, Avoided, Freed, Index);
}

void Finder::scanWithAccelerators(const Demand &Need, RoomKind Kind,
                                  std::span<const WorkerIndex> Avoided,
                                  std::span<const Resources> Freed) {
  m_Scanned += static_cast<int64_t>(m_Fleet->withAccelerators().size());
  for (const WorkerIndex Index : m_Fleet->withAccelerators())
    scanOne(Need, Kind, Avoided, Freed, Index);
}

void Finder::scanOne(const Demand &Need, RoomKind Kind,
                     std::span<const WorkerIndex> Avoided,
                     std::span<const Resources> Freed, WorkerIndex Index) {
  const WorkerSlot &Slot = m_Fleet->slot(Index);
  if (!Slot.m_Usable)
    return;
  Resources Room = roomOf(
      Slot, Kind, Freed.empty() ? Slot.m_Free : Slot.m_Free + Freed[Index]);
  if (!fits(Need.m_PerTask, Room))
    return;
  if (!Avoided.empty() &&
      std::find(Avoided.begin(), Avoided.end(), Index) != Avoided.end())
    return;
  addCandidate(m_All, Need, Index, Room);
  if (Need.m_PerTask.m_Accelerators > 0)
    return;
  if (Slot.m_HasAccelerators) {
    const Resources &Capacity = m_Fleet->worker(Index).m_Capacity;
    const int64_t Idle = std::max<int64_t>(Slot.m_Free.m_Accelerators, 0);
    Room.m_Cores -= Idle * Capacity.m_Cores / Capacity.m_Accelerators;
    Room.m_MemoryMib -= Idle * Capacity.m_MemoryMib / Capacity.m_Accelerators;
  }
  addCandidate(m_SparingCores, Need, Index, Room);
}

void Finder::addCandidate(Candidates &Found, const Demand &Need,
                          WorkerIndex Worker, const Resources &Room) const {
  const int32_t Tasks = tasksThatFit(Room, Need.m_PerTask, Need.m_Tasks);
  if (Tasks <= 0)
    return;
  const WorkerSlot &Slot = m_Fleet->slot(Worker);
  const Resources Left = Room - Need.m_PerTask * Tasks;
  Found.m_Entries.push_back(
      {Worker, Tasks, Slot.m_Rack, Slot.m_Zone,
       Left.m_Accelerators * (int64_t{1} << 32) + Left.m_Cores});
  Found.m_Total += Tasks;
}

std::vector<Member> Finder::choose(Candidates &Pool, const Demand &Need) const {
  if (Pool.m_Total < Need.m_Tasks)
    return {};
  std::vector<Member> Result = chooseVm(Pool, Need);
  if (!Result.empty() || (Need.m_Required && Need.m_Adjacency == Adjacency::Vm))
    return Result;
  return chooseRacks(Pool, Need);
}

std::vector<Member> Finder::chooseVm(const Candidates &Pool,
                                     const Demand &Need) const {
  const Candidate *Best = nullptr;
  for (const Candidate &Entry : Pool.m_Entries) {
    if (Entry.m_Tasks >= Need.m_Tasks &&
        (Best == nullptr || Entry.m_Leftover < Best->m_Leftover))
      Best = &Entry;
  }
  if (Best == nullptr)
    return {};
  return {{Best->m_Worker, Need.m_Tasks}};
}

std::vector<Member> Finder::chooseRacks(Candidates &Pool,
                                        const Demand &Need) const {
  std::vector<Candidate> &Entries = Pool.m_Entries;
  std::sort(Entries.begin(), Entries.end(),
            [](const Candidate &First, const Candidate &Second) {
              if (First.m_Rack != Second.m_Rack)
                return First.m_Rack < Second.m_Rack;
              if (First.m_Tasks != Second.m_Tasks)
                return First.m_Tasks > Second.m_Tasks;
              return First.m_Leftover != Second.m_Leftover
                         ? First.m_Leftover < Second.m_Leftover
                         : First.m_Worker < Second.m_Worker;
            });
  std::vector<RackGroup> Groups;
  for (size_t I = 0; I < Entries.size(); ++I) {
    if (I == 0 || Entries[I].m_Rack != Entries[I - 1].m_Rack)
      Groups.push_back({I, I, 0, Entries[I].m_Zone});
    Groups.back().m_End = I + 1;
    Groups.back().m_Tasks += Entries[I].m_Tasks;
  }
  const int32_t Zone = pickZone(Groups, Need.m_Tasks);
  std::vector<size_t> Left;
  for (size_t I = 0; I < Groups.size(); ++I) {
    if (Groups[I].m_Tasks >= Need.m_Tasks || Zone < 0 ||
        Groups[I].m_Zone == Zone)
      Left.push_back(I);
  }
  std::vector<Member> Result;
  int32_t Remaining = Need.m_Tasks;
  while (Remaining > 0) {
    const size_t Pick = pickGroup(Groups, Left, Remaining);
    const RackGroup &Group = Groups[Left[Pick]];
    if (Need.m_Required && Need.m_Adjacency == Adjacency::Rack &&
        Group.m_Tasks < Remaining)
      return {};
    takeFromRack({Entries.data() + Group.m_Begin, Group.m_End - Group.m_Begin},
                 Remaining, Result);
    Left.erase(Left.begin() + static_cast<ptrdiff_t>(Pick));
  }
  return Result;
}

void Finder::takeFromRack(std::span<const Candidate> Rack, int32_t &Remaining,
                          std::vector<Member> &Result) const {
  for (size_t I = 0; I < Rack.size() && Remaining > 0; ++I) {
    size_t Pick = I;
    // The last tasks go to the worker with the least room that fits; candidates
    // are sorted by decreasing size.
    if (Rack[I].m_Tasks >= Remaining) {
      while (Pick + 1 < Rack.size() && Rack[Pick + 1].m_Tasks >= Remaining)
        ++Pick;
    }
    const int32_t Taken = std::min(Remaining, Rack[Pick].m_Tasks);
    Result.push_back({Rack[Pick].m_Worker, Taken});
    Remaining -= Taken;
  }
}

} // namespace anvil::sched::internal
