#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {

/// Splits a shape into equal units, one for each accelerator, that may lie on
/// different workers.
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

/// Keeps each guaranteed piece on concrete workers. On each worker, what cannot
/// be reclaimed together with what is guaranteed to others stays within the
/// capacity, so every piece can be claimed at any moment.
void SchedulerCore::rebuildHomes() {
  m_HomesDirty = false;
  for (Piece &Each : m_Pieces) {
    if (!Each.m_Parts.empty() && !pieceKept(Each))
      releasePiece(Each);
  }
  std::vector<size_t> Order(m_Pieces.size());
  std::iota(Order.begin(), Order.end(), size_t{0});
  // The least flexible and largest pieces choose first.
  std::stable_sort(Order.begin(), Order.end(), [this](size_t A, size_t B) {
    const GuaranteedShape &Left = m_Pieces[A].m_Shape;
    const GuaranteedShape &Right = m_Pieces[B].m_Shape;
    if (Left.m_Adjacency != Right.m_Adjacency)
      return Left.m_Adjacency > Right.m_Adjacency;
    return Left.m_Resources.m_Accelerators > Right.m_Resources.m_Accelerators;
  });
  PieceRooms Rooms;
  for (const size_t I : Order) {
    Piece &Each = m_Pieces[I];
    if (Each.m_Parts.empty() && !placeOnOneVm(Each, Rooms))
      placePiece(Each);
  }
  listHomes();
  warnMissing();
}

bool SchedulerCore::pieceKept(const Piece &Target) const {
  return std::all_of(Target.m_Parts.begin(), Target.m_Parts.end(),
                     [this](const auto &Part) {
                       return m_Fleet.slot(Part.first).m_Usable &&
                              !anyNegative(m_Fleet.slot(Part.first).m_PinRoom);
                     });
}

/// Places a piece that fits one VM on the tightest worker. Reads all workers
/// once for many pieces of equal size.
bool SchedulerCore::placeOnOneVm(Piece &Target, PieceRooms &Rooms) {
  const Resources &Need = Target.m_Shape.m_Resources;
  if (Target.m_Shape.m_Adjacency != Adjacency::Vm)
    return false;
  if (Rooms.m_Need != Need) {
    Rooms.m_Need = Need;
    Rooms.m_Workers.clear();
    for (WorkerIndex Index = 0; Index < m_Fleet.size(); ++Index) {
      if (m_Fleet.slot(Index).m_Usable &&
          fits(Need, m_Fleet.slot(Index).m_PinRoom))
        Rooms.m_Workers.push_back(Index);
    }
    // The tightest worker is last, where it is taken from.
    std::sort(Rooms.m_Workers.begin(), Rooms.m_Workers.end(),
              [this](WorkerIndex A, WorkerIndex B) {
                const Resources &Left = m_Fleet.slot(A).m_PinRoom;
                const Resources &Right = m_Fleet.slot(B).m_PinRoom;
                if (Left.m_Accelerators != Right.m_Accelerators)
                  return Left.m_Accelerators > Right.m_Accelerators;
                return Left.m_Cores != Right.m_Cores
                           ? Left.m_Cores > Right.m_Cores
                           : A > B;
              });
  }
  while (!Rooms.m_Workers.empty()) {
    const WorkerIndex Index = Rooms.m_Workers.back();
    if (fits(Need, m_Fleet.slot(Index).m_PinRoom)) {
      Target.m_Parts.emplace_back(Index, Need);
      m_Fleet.guarantee(Index, Target.m_Workspace, Need);
      return true;
    }
    Rooms.m_Workers.pop_back();
  }
  return false;
}

bool SchedulerCore::placePiece(Piece &Target) {
  const Demand Units = unitsOf(Target.m_Shape);
  // Gangs of the owner that cannot be reclaimed make a worker possible that
  // would not be without them.
  std::vector<WorkerIndex> Usable;
  for (WorkerIndex Index = 0; Index < m_Fleet.size(); ++Index) {
    const WorkerSlot &Slot = m_Fleet.slot(Index);
    if (Slot.m_Usable && !anyNegative(Slot.m_PinRoom) &&
        (Slot.m_HasAccelerators || Units.m_PerTask.m_Accelerators == 0))
      Usable.push_back(Index);
  }
  const std::vector<Member> Found =
      m_Finder.findAmong(Units, Usable, [&](WorkerIndex Index) {
        // Gangs of the owner that cannot be reclaimed count as its guarantee in
        // use.
        const Claim Own = m_Fleet.claimOf(Index, Target.m_Workspace);
        return m_Fleet.slot(Index).m_PinRoom +
               positive(Own.m_Pinned - Own.m_Guaranteed);
      });
  for (const Member &Each : Found) {
    const Resources Amount = Units.m_PerTask * Each.m_Tasks;
    Target.m_Parts.emplace_back(Each.m_Worker, Amount);
    m_Fleet.guarantee(Each.m_Worker, Target.m_Workspace, Amount);
  }
  return !Found.empty();
}

void SchedulerCore::releasePiece(Piece &Target) {
  for (const auto &[Worker, Amount] : Target.m_Parts)
    m_Fleet.guarantee(Worker, Target.m_Workspace, Amount * -1);
  Target.m_Parts.clear();
}

void SchedulerCore::listHomes() {
  for (Workspace &Each : m_Workspaces)
    Each.m_Homes.clear();
  for (const Piece &Each : m_Pieces) {
    for (const auto &[Worker, Amount] : Each.m_Parts)
      m_Workspaces[Each.m_Workspace].m_Homes.push_back(Worker);
  }
  for (Workspace &Each : m_Workspaces) {
    std::sort(Each.m_Homes.begin(), Each.m_Homes.end());
    Each.m_Homes.erase(std::unique(Each.m_Homes.begin(), Each.m_Homes.end()),
                       Each.m_Homes.end());
  }
  m_Dirty = true;
}

void SchedulerCore::warnMissing() {
  absl::flat_hash_map<std::string, int32_t> Now;
  m_GuaranteesMissing = 0;
  for (const Piece &Each : m_Pieces) {
    if (!Each.m_Parts.empty())
      continue;
    ++m_GuaranteesMissing;
    const std::string Key = absl::StrCat(
        m_Workspaces[Each.m_Workspace].m_Name.str(), "\n", Each.m_Shape.m_Name);
    ++Now[Key];
  }
  std::vector<std::string> Keys;
  for (const auto &[Key, Count] : Now)
    Keys.push_back(Key);
  for (const auto &[Key, Count] : m_Warned) {
    if (!Now.contains(Key))
      Keys.push_back(Key);
  }
  // Hash maps iterate in no fixed order, but actions must be the same on every
  // run.
  std::sort(Keys.begin(), Keys.end());
  for (const std::string &Key : Keys) {
    const size_t Slash = Key.find('\n');
    const auto Found = Now.find(Key);
    const int32_t Count = Found == Now.end() ? 0 : Found->second;
    const auto Before = m_Warned.find(Key);
    if (Before != m_Warned.end() && Before->second == Count)
      continue;
    emit(WarnGuarantee{WorkspaceId(Key.substr(0, Slash)), Key.substr(Slash + 1),
                       Count,
                       Count == 0 ? "all pieces are claimable again"
                                  : "the workers in service, less what cannot "
                                    "be reclaimed, do not hold all pieces"});
  }
  m_Warned = std::move(Now);
}

void SchedulerCore::addHomeBonus(WorkspaceIndex Index, int Sign, bool Pinned) {
  for (const WorkerIndex Worker : m_Workspaces[Index].m_Homes) {
    const Claim Own = m_Fleet.claimOf(Worker, Index);
    WorkerSlot &Slot = m_Fleet.slot(Worker);
    if (Pinned)
      Slot.m_PinRoom += positive(Own.m_Guaranteed - Own.m_Pinned) * Sign;
    else
      Slot.m_Open += positive(Own.m_Guaranteed - Own.m_Used) * Sign;
  }
}

} // namespace anvil::sched::internal
