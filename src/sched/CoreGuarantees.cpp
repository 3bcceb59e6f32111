#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {

/// Splits a shape into equal units that may be placed on different workers: one
/// per accelerator, or per core if there are no accelerators.
Demand unitsOf(const GuaranteedShape &Shape) {
  const Resources &Whole = Shape.m_Resources;
  if (Shape.m_Adjacency == Adjacency::Vm)
    return {Whole, 1, Adjacency::Vm, true};
  int64_t Count = Whole.m_Accelerators;
  if (Count == 0)
    Count = std::max<int64_t>(1, Whole.m_Cores);
  auto Split = [Count](int64_t Amount) { return (Amount + Count - 1) / Count; };
  return {{Split(Whole.m_Accelerators), Split(Whole.m_Cores),
           Split(Whole.m_MemoryMib)},
          static_cast<int32_t>(Count),
          Shape.m_Adjacency,
          Shape.m_Adjacency == Adjacency::Rack};
}

} // namespace

/// Assigns each instance of a guaranteed shape to workers. On each worker, the
/// resources of non-preemptible gangs and the guarantees of other workspaces
/// together stay within the capacity, so that every instance can be claimed at
/// any time.
void SchedulerCore::assignGuarantees() {
  m_GuaranteesDirty = false;
  for (ShapeInstance &Each : m_ShapeInstances) {
    if (!Each.m_Parts.empty() && !instanceKept(Each))
      releaseInstance(Each);
  }
  std::vector<size_t> Order(m_ShapeInstances.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  // The instances with the strictest adjacency, and among these the largest,
  // are assigned first.
  std::stable_sort(
      Order.begin(), Order.end(), [this](size_t First, size_t Second) {
        const GuaranteedShape &Left = m_ShapeInstances[First].m_Shape;
        const GuaranteedShape &Right = m_ShapeInstances[Second].m_Shape;
        if (Left.m_Adjacency != Right.m_Adjacency)
          return Left.m_Adjacency > Right.m_Adjacency;
        return Left.m_Resources.m_Accelerators >
               Right.m_Resources.m_Accelerators;
      });
  FittingWorkers Fitting;
  for (const size_t I : Order) {
    ShapeInstance &Each = m_ShapeInstances[I];
    if (Each.m_Parts.empty() && !placeOnOneVm(Each, Fitting))
      placeInstance(Each);
  }
  listGuaranteeWorkers();
  warnMissing();
}

bool SchedulerCore::instanceKept(const ShapeInstance &Instance) const {
  return std::all_of(
      Instance.m_Parts.begin(), Instance.m_Parts.end(),
      [this](const auto &Part) {
        return m_Fleet.slot(Part.first).m_Usable &&
               !anyNegative(m_Fleet.slot(Part.first).m_NonPreemptibleRoom);
      });
}

/// Assigns an instance that must be on one VM to the worker with the least room
/// that fits. Reads all workers once for consecutive instances of equal size.
bool SchedulerCore::placeOnOneVm(ShapeInstance &Instance,
                                 FittingWorkers &Fitting) {
  const Resources &Need = Instance.m_Shape.m_Resources;
  if (Instance.m_Shape.m_Adjacency != Adjacency::Vm)
    return false;
  if (Fitting.m_Need != Need) {
    Fitting.m_Need = Need;
    Fitting.m_Workers.clear();
    for (WorkerIndex Index = 0; Index < m_Fleet.size(); ++Index) {
      if (m_Fleet.slot(Index).m_Usable &&
          fits(Need, m_Fleet.slot(Index).m_NonPreemptibleRoom))
        Fitting.m_Workers.push_back(Index);
    }
    // The worker with the least room is last, where it is taken from.
    std::sort(
        Fitting.m_Workers.begin(), Fitting.m_Workers.end(),
        [this](WorkerIndex First, WorkerIndex Second) {
          const Resources &Left = m_Fleet.slot(First).m_NonPreemptibleRoom;
          const Resources &Right = m_Fleet.slot(Second).m_NonPreemptibleRoom;
          if (Left.m_Accelerators != Right.m_Accelerators)
            return Left.m_Accelerators > Right.m_Accelerators;
          return Left.m_Cores != Right.m_Cores ? Left.m_Cores > Right.m_Cores
                                               : First > Second;
        });
  }
  while (!Fitting.m_Workers.empty()) {
    const WorkerIndex Index = Fitting.m_Workers.back();
    if (fits(Need, m_Fleet.slot(Index).m_NonPreemptibleRoom)) {
      Instance.m_Parts.emplace_back(Index, Need);
      m_Fleet.guarantee(Index, Instance.m_Workspace, Need);
      return true;
    }
    Fitting.m_Workers.pop_back();
  }
  return false;
}

bool SchedulerCore::placeInstance(ShapeInstance &Instance) {
  const Demand Units = unitsOf(Instance.m_Shape);
  // A worker without room may still qualify, since non-preemptible gangs of the
  // owner count as used parts of its guarantee.
  std::vector<WorkerIndex> Usable;
  for (WorkerIndex Index = 0; Index < m_Fleet.size(); ++Index) {
    const WorkerSlot &Slot = m_Fleet.slot(Index);
    if (Slot.m_Usable && !anyNegative(Slot.m_NonPreemptibleRoom) &&
        (Slot.m_HasAccelerators || Units.m_PerTask.m_Accelerators == 0))
      Usable.push_back(Index);
  }
  const std::vector<Member> Found =
      m_Finder.findAmong(Units, Usable, [&](WorkerIndex Index) {
        // Non-preemptible gangs of the owner count as used parts of its
        // guarantee.
        const WorkspaceUsage Own = m_Fleet.usageOf(Index, Instance.m_Workspace);
        return m_Fleet.slot(Index).m_NonPreemptibleRoom +
               nonNegativePart(Own.m_NonPreemptible - Own.m_Guaranteed);
      });
  for (const Member &Each : Found) {
    const Resources Amount = Units.m_PerTask * Each.m_Tasks;
    Instance.m_Parts.emplace_back(Each.m_Worker, Amount);
    m_Fleet.guarantee(Each.m_Worker, Instance.m_Workspace, Amount);
  }
  return !Found.empty();
}

void SchedulerCore::releaseInstance(ShapeInstance &Instance) {
  for (const auto &[Worker, Amount] : Instance.m_Parts)
    m_Fleet.guarantee(Worker, Instance.m_Workspace, Amount * -1);
  Instance.m_Parts.clear();
}

void SchedulerCore::listGuaranteeWorkers() {
  for (Workspace &Each : m_Workspaces)
    Each.m_GuaranteeWorkers.clear();
  for (const ShapeInstance &Each : m_ShapeInstances) {
    for (const auto &[Worker, Amount] : Each.m_Parts)
      m_Workspaces[Each.m_Workspace].m_GuaranteeWorkers.push_back(Worker);
  }
  for (Workspace &Each : m_Workspaces) {
    std::sort(Each.m_GuaranteeWorkers.begin(), Each.m_GuaranteeWorkers.end());
    Each.m_GuaranteeWorkers.erase(std::unique(Each.m_GuaranteeWorkers.begin(),
                                              Each.m_GuaranteeWorkers.end()),
                                  Each.m_GuaranteeWorkers.end());
  }
  m_Dirty = true;
}

void SchedulerCore::warnMissing() {
  absl::flat_hash_map<std::string, int32_t> Missing;
  m_GuaranteesMissing = 0;
  for (const ShapeInstance &Each : m_ShapeInstances) {
    if (!Each.m_Parts.empty())
      continue;
    ++m_GuaranteesMissing;
    const std::string Key = absl::StrCat(
        m_Workspaces[Each.m_Workspace].m_Name.str(), "\n", Each.m_Shape.m_Name);
    ++Missing[Key];
  }
  std::vector<std::string> Keys;
  for (const auto &[Key, Count] : Missing)
    Keys.push_back(Key);
  for (const auto &[Key, Count] : m_ReportedMissing) {
    if (!Missing.contains(Key))
      Keys.push_back(Key);
  }
  // Hash maps have no fixed iteration order, but the actions must be
  // deterministic.
  std::sort(Keys.begin(), Keys.end());
  for (const std::string &Key : Keys) {
    const size_t Separator = Key.find('\n');
    const auto Found = Missing.find(Key);
    const int32_t Count = Found == Missing.end() ? 0 : Found->second;
    const auto Reported = m_ReportedMissing.find(Key);
    if (Reported != m_ReportedMissing.end() && Reported->second == Count)
      continue;
    emit(WarnGuarantee{WorkspaceId(Key.substr(0, Separator)),
                       Key.substr(Separator + 1), Count,
                       Count == 0 ? "all pieces are claimable again"
                                  : "the workers in service, less what cannot "
                                    "be reclaimed, do not hold all pieces"});
  }
  m_ReportedMissing = std::move(Missing);
}

void SchedulerCore::addOwnGuarantee(WorkspaceIndex Index, int Sign,
                                    bool NonPreemptible) {
  for (const WorkerIndex Worker : m_Workspaces[Index].m_GuaranteeWorkers) {
    const WorkspaceUsage Own = m_Fleet.usageOf(Worker, Index);
    WorkerSlot &Slot = m_Fleet.slot(Worker);
    if (NonPreemptible)
      Slot.m_NonPreemptibleRoom +=
          nonNegativePart(Own.m_Guaranteed - Own.m_NonPreemptible) * Sign;
    else
      Slot.m_Unguaranteed +=
          nonNegativePart(Own.m_Guaranteed - Own.m_Used) * Sign;
  }
}

} // namespace anvil::sched::internal
