#include "Finder.h"

#include <algorithm>

namespace anvil::sched::internal {

namespace {

Resources roomOf(const WorkerSlot &Slot, RoomKind Kind, const Resources &Free) {
  switch (Kind) {
  case RoomKind::Open:
    return minOf(Free, Slot.m_Open);
  case RoomKind::Pinned:
    return minOf(Free, Slot.m_PinRoom);
  case RoomKind::Home:
  case RoomKind::Free:
    break;
  }
  return Free;
}

/// Candidates of one rack, largest first.
struct RackGroup {
  size_t m_Begin = 0;
  size_t m_End = 0;
  int64_t m_Tasks = 0;
  int32_t m_Zone = 0;
};

/// Returns the smallest group that alone takes \p Remaining tasks, else the largest one.
size_t pickGroup(const std::vector<RackGroup> &Groups, const std::vector<size_t> &Left, int64_t Remaining) {
  size_t Best = 0;
  for (size_t I = 1; I < Left.size(); ++I) {
    const int64_t Tasks = Groups[Left[I]].m_Tasks;
    const int64_t BestTasks = Groups[Left[Best]].m_Tasks;
    const bool Enough = Tasks >= Remaining;
    const bool BestEnough = BestTasks >= Remaining;
    if (Enough != BestEnough ? Enough : (Enough ? Tasks < BestTasks : Tasks > BestTasks))
      Best = I;
  }
  return Best;
}

/// Returns the zone with the least room that takes the whole gang, or -1.
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

std::vector<Member> Finder::find(const Demand &Need, RoomKind Kind, std::span<const WorkerIndex> Avoid,
                                 std::span<const Resources> Extra) {
  // Work without accelerators first leaves alone the cores that idle accelerators need.
  if (Need.m_PerTask.m_Accelerators == 0) {
    scan(Need, Kind, Avoid, Extra, true);
    std::vector<Member> Result = choose(Need);
    if (!Result.empty())
      return Result;
  }
  scan(Need, Kind, Avoid, Extra, false);
  return choose(Need);
}

std::vector<Member> Finder::findAmong(const Demand &Need, std::span<const WorkerIndex> Among, const RoomFn &Room) {
  m_Candidates.clear();
  m_Total = 0;
  m_Scanned += static_cast<int64_t>(Among.size());
  for (const WorkerIndex Worker : Among)
    addCandidate(Need, Worker, Room(Worker));
  return choose(Need);
}

void Finder::scan(const Demand &Need, RoomKind Kind, std::span<const WorkerIndex> Avoid,
                  std::span<const Resources> Extra, bool KeepForAccelerators) {
  m_Candidates.clear();
  m_Total = 0;
  const std::vector<WorkerSlot> &Slots = m_Fleet->slots();
  m_Scanned += static_cast<int64_t>(Slots.size());
  for (size_t I = 0; I < Slots.size(); ++I) {
    const WorkerSlot &Slot = Slots[I];
    if (!Slot.m_Usable)
      continue;
    Resources Room = roomOf(Slot, Kind, Extra.empty() ? Slot.m_Free : Slot.m_Free + Extra[I]);
    if (!fits(Need.m_PerTask, Room))
      continue;
    const auto Index = static_cast<WorkerIndex>(I);
    if (KeepForAccelerators && Slot.m_HasAccelerators) {
      const Resources &Capacity = m_Fleet->worker(Index).m_Capacity;
      const int64_t Idle = std::max<int64_t>(Slot.m_Free.m_Accelerators, 0);
      Room.m_Cores -= Idle * Capacity.m_Cores / Capacity.m_Accelerators;
      Room.m_MemoryMib -= Idle * Capacity.m_MemoryMib / Capacity.m_Accelerators;
    }
    if (!Avoid.empty() && std::find(Avoid.begin(), Avoid.end(), Index) != Avoid.end())
      continue;
    addCandidate(Need, Index, Room);
  }
}

void Finder::addCandidate(const Demand &Need, WorkerIndex Worker, const Resources &Room) {
  const int32_t Tasks = piecesIn(Room, Need.m_PerTask, Need.m_Tasks);
  if (Tasks <= 0)
    return;
  const WorkerSlot &Slot = m_Fleet->slot(Worker);
  const Resources Left = Room - Need.m_PerTask * Tasks;
  m_Candidates.push_back(
      {Worker, Tasks, Slot.m_Rack, Slot.m_Zone, Left.m_Accelerators * (int64_t{1} << 32) + Left.m_Cores});
  m_Total += Tasks;
}

std::vector<Member> Finder::choose(const Demand &Need) {
  if (m_Total < Need.m_Tasks)
    return {};
  std::vector<Member> Result = chooseVm(Need);
  if (!Result.empty() || (Need.m_Required && Need.m_Adjacency == Adjacency::Vm))
    return Result;
  return chooseRacks(Need);
}

std::vector<Member> Finder::chooseVm(const Demand &Need) const {
  const Candidate *Best = nullptr;
  for (const Candidate &Entry : m_Candidates) {
    if (Entry.m_Tasks >= Need.m_Tasks && (Best == nullptr || Entry.m_Leftover < Best->m_Leftover))
      Best = &Entry;
  }
  if (Best == nullptr)
    return {};
  return {{Best->m_Worker, Need.m_Tasks}};
}

std::vector<Member> Finder::chooseRacks(const Demand &Need) {
  std::sort(m_Candidates.begin(), m_Candidates.end(), [](const Candidate &A, const Candidate &B) {
    if (A.m_Rack != B.m_Rack)
      return A.m_Rack < B.m_Rack;
    if (A.m_Tasks != B.m_Tasks)
      return A.m_Tasks > B.m_Tasks;
    return A.m_Leftover != B.m_Leftover ? A.m_Leftover < B.m_Leftover : A.m_Worker < B.m_Worker;
  });
  std::vector<RackGroup> Groups;
  for (size_t I = 0; I < m_Candidates.size(); ++I) {
    if (I == 0 || m_Candidates[I].m_Rack != m_Candidates[I - 1].m_Rack)
      Groups.push_back({I, I, 0, m_Candidates[I].m_Zone});
    Groups.back().m_End = I + 1;
    Groups.back().m_Tasks += m_Candidates[I].m_Tasks;
  }
  const int32_t Zone = pickZone(Groups, Need.m_Tasks);
  std::vector<size_t> Left;
  for (size_t I = 0; I < Groups.size(); ++I) {
    if (Groups[I].m_Tasks >= Need.m_Tasks || Zone < 0 || Groups[I].m_Zone == Zone)
      Left.push_back(I);
  }
  std::vector<Member> Result;
  int32_t Remaining = Need.m_Tasks;
  while (Remaining > 0) {
    const size_t Pick = pickGroup(Groups, Left, Remaining);
    const RackGroup &Group = Groups[Left[Pick]];
    if (Need.m_Required && Need.m_Adjacency == Adjacency::Rack && Group.m_Tasks < Remaining)
      return {};
    takeFromRack({m_Candidates.data() + Group.m_Begin, Group.m_End - Group.m_Begin}, Remaining, Result);
    Left.erase(Left.begin() + static_cast<ptrdiff_t>(Pick));
  }
  return Result;
}

void Finder::takeFromRack(std::span<const Candidate> Rack, int32_t &Remaining, std::vector<Member> &Result) const {
  for (size_t I = 0; I < Rack.size() && Remaining > 0; ++I) {
    size_t Pick = I;
    // The last part goes where it fits most tightly; candidates are sorted by falling size.
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
