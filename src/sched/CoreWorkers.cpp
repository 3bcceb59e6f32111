#include <algorithm>

#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {
// Searches for gangs that have to leave, in one step; bounds the cost of a
// step.
constexpr int MaxMovesPerStep = 48;
} // namespace

void SchedulerCore::on(const WorkerUp &Event) {
  const bool Quarantined = Event.m_Quarantined;
  const WorkerIndex Known = m_Fleet.find(Event.m_Vm);
  const bool Before = Known >= 0 && m_Fleet.worker(Known).m_Quarantined;
  const WorkerIndex Index = m_Fleet.upsert(Event);
  m_Extra.resize(m_Fleet.size());
  if (Quarantined && !Before) {
    ++m_QuarantinedCount;
    m_ProbeTimers.insert({m_Now + m_Options.m_ProbeDelay, Index});
  }
  m_HomesDirty = true;
  m_ReviewParked = true;
  capacityGrew();
}

void SchedulerCore::on(const WorkerLost &Event) {
  const WorkerIndex Index = m_Fleet.find(Event.m_Vm);
  if (Index < 0)
    return;
  m_Fleet.worker(Index).m_Up = false;
  m_Fleet.refresh(Index);
  stopGangsOn(Index, StopCause::WorkerLost);
  m_HomesDirty = true;
  m_Dirty = true;
}

void SchedulerCore::stopGangsOn(WorkerIndex Index, StopCause Cause) {
  for (const Occupant &Entry : m_Fleet.worker(Index).m_Occupants) {
    Job &Target = m_Jobs[Entry.m_Job];
    if (Target.m_Phase == JobPhase::Stopping)
      continue;
    Target.m_Reason = absl::StrCat("worker ", vmName(Index), " was lost");
    beginStopping(Entry.m_Job, Cause);
  }
}

void SchedulerCore::on(const WorkerDrained &Event) {
  const WorkerIndex Index = m_Fleet.find(Event.m_Vm);
  if (Index < 0 || m_Fleet.worker(Index).m_Draining == Event.m_Draining)
    return;
  m_Fleet.worker(Index).m_Draining = Event.m_Draining;
  m_Fleet.refresh(Index);
  m_HomesDirty = true;
  m_Dirty = true;
  m_Evacuate = m_Evacuate || Event.m_Draining;
  if (!Event.m_Draining) {
    m_ReviewParked = true;
    capacityGrew();
  }
}

void SchedulerCore::on(const ZoneWithdrawn &Event) {
  const int32_t Index = m_Fleet.zoneIndex(Event.m_Zone);
  Zone &Target = m_Fleet.zones()[Index];
  Target.m_LeavesAt = m_Now + Event.m_Notice;
  if (Target.m_Withdrawn)
    return;
  Target.m_Withdrawn = true;
  Target.m_EvictionDone = false;
  m_Fleet.refreshZone(Index);
  m_HomesDirty = true;
  m_Dirty = true;
  m_Evacuate = true;
}

void SchedulerCore::on(const ZoneRestored &Event) {
  const int32_t Index = m_Fleet.zoneIndex(Event.m_Zone);
  if (!m_Fleet.zones()[Index].m_Withdrawn)
    return;
  m_Fleet.zones()[Index].m_Withdrawn = false;
  m_Fleet.refreshZone(Index);
  m_HomesDirty = true;
  m_ReviewParked = true;
  capacityGrew();
}

bool SchedulerCore::onUnusable(const Job &Target, int32_t ZoneIndex) const {
  return std::any_of(Target.m_Members.begin(), Target.m_Members.end(),
                     [&](const Member &Each) {
                       const WorkerSlot &Slot = m_Fleet.slot(Each.m_Worker);
                       if (ZoneIndex >= 0)
                         return Slot.m_Zone == ZoneIndex;
                       return m_Fleet.zones()[Slot.m_Zone].m_Withdrawn ||
                              m_Fleet.worker(Each.m_Worker).m_Draining;
                     });
}

/// Moves gangs off draining workers and withdrawn zones, most valuable first,
/// as long as the rest has room for them. Those without room work on until the
/// notice of the zone ends.
void SchedulerCore::evacuate() {
  m_LastEvacuation = m_Now;
  std::vector<std::pair<double, JobIndex>> Leaving;
  bool AnyLeft = false;
  for (const JobIndex Index : m_Placed) {
    const Job &Target = m_Jobs[Index];
    if (Target.m_Phase == JobPhase::Stopping || !onUnusable(Target, -1))
      continue;
    AnyLeft = true;
    // Within a class the gang nearest to its end goes first, since it frees its
    // place soonest.
    if (Target.m_Phase == JobPhase::Placed || Target.m_Spec.m_Checkpointable)
      Leaving.emplace_back(
          rankOf(Target) * 1e9 + toSeconds(remainingOf(Target)), Index);
  }
  std::sort(Leaving.begin(), Leaving.end());
  int Moves = MaxMovesPerStep;
  for (const auto &[Value, Index] : Leaving) {
    Job &Target = m_Jobs[Index];
    // A gang that has not started must not start there.
    if (Target.m_Phase == JobPhase::Placed) {
      startReclaim(
          Index,
          "its worker or availability zone was withdrawn before it started");
      continue;
    }
    if (Moves <= 0 || knownToFail(Target))
      continue;
    --Moves;
    std::string Reason;
    std::vector<Member> Members = search(Index, Reason);
    if (Members.empty()) {
      rememberFailure(Target);
      continue;
    }
    setHold(Index, std::move(Members), HoldKind::Move, m_Now);
    startReclaim(Index, "its worker or availability zone is withdrawn and "
                        "there is room elsewhere");
  }
  m_Evacuate = AnyLeft;
}

/// Stops what can be stopped in a withdrawn zone shortly before its workers may
/// disappear.
void SchedulerCore::evict(int32_t ZoneIndex) {
  Zone &Source = m_Fleet.zones()[ZoneIndex];
  const Duration Lead = m_Options.m_CheckpointTime + m_Options.m_ThrottleTime +
                        m_Options.m_StopTime;
  if (!Source.m_Withdrawn || Source.m_EvictionDone ||
      m_Now + Lead < Source.m_LeavesAt)
    return;
  bool Waiting = false;
  const std::vector<JobIndex> Placed(m_Placed.begin(), m_Placed.end());
  for (const JobIndex Index : Placed) {
    const Job &Target = m_Jobs[Index];
    if (Target.m_Phase == JobPhase::Stopping || Target.pinned() ||
        !onUnusable(Target, ZoneIndex))
      continue;
    if (!Target.m_Spec.m_Checkpointable &&
        m_Now + m_Options.m_StopTime < Source.m_LeavesAt) {
      Waiting = true;
      continue;
    }
    startReclaim(Index, absl::StrCat("availability zone ", Source.m_Name.str(),
                                     " leaves"));
  }
  Source.m_EvictionDone = !Waiting;
}

void SchedulerCore::on(const ConfigurationChanged &Event) {
  for (Workspace &Each : m_Workspaces) {
    Each.m_Configured = false;
    Each.m_Config = {};
    Each.m_GuaranteedTotal = {};
  }
  std::vector<Piece> Old = std::move(m_Pieces);
  m_Pieces.clear();
  absl::flat_hash_map<std::string, std::vector<size_t>> Known;
  auto KeyOf = [](WorkspaceIndex Index, const GuaranteedShape &Shape) {
    return absl::StrCat(
        Index, "/", Shape.m_Name, "/", Shape.m_Resources.m_Accelerators, "/",
        Shape.m_Resources.m_Cores, "/", Shape.m_Resources.m_MemoryMib, "/",
        static_cast<int>(Shape.m_Adjacency));
  };
  for (size_t I = 0; I < Old.size(); ++I)
    Known[KeyOf(Old[I].m_Workspace, Old[I].m_Shape)].push_back(I);
  for (const WorkspaceConfig &Config : Event.m_Workspaces) {
    const WorkspaceIndex Index = workspaceIndex(Config.m_Name);
    Workspace &Target = m_Workspaces[Index];
    Target.m_Configured = true;
    Target.m_Config = Config;
    for (const GuaranteedShape &Shape : Config.m_Guarantees) {
      Target.m_GuaranteedTotal += Shape.m_Resources * Shape.m_Count;
      std::vector<size_t> &Same = Known[KeyOf(Index, Shape)];
      for (int32_t Count = 0; Count < Shape.m_Count; ++Count) {
        Piece &Added = m_Pieces.emplace_back(Piece{Index, Shape});
        if (Same.empty())
          continue;
        // A piece that stays the same stays where it is.
        Added.m_Parts = std::move(Old[Same.back()].m_Parts);
        Same.pop_back();
      }
    }
  }
  for (auto &[Key, Rest] : Known) {
    for (const size_t I : Rest)
      releasePiece(Old[I]);
  }
  m_HomesDirty = true;
  m_ReviewParked = true;
  capacityGrew();
}

void SchedulerCore::on(const UsageReported &Event) {
  // Overuse counts at once but is forgotten only after it has been gone for
  // this long, so that a worker that hovers around its limit is not filled and
  // emptied in turn.
  constexpr Duration OveruseMemory = std::chrono::seconds(60);
  const WorkerIndex Index = m_Fleet.find(Event.m_Vm);
  if (Index < 0)
    return;
  Worker &Target = m_Fleet.worker(Index);
  // The report describes gangs that have changed since.
  if (Event.m_MeasuredAt < Target.m_ChangedAt ||
      Event.m_MeasuredAt < Target.m_OveruseAt)
    return;
  Resources Overuse = positive(Event.m_Used - Target.m_Reserved);
  Overuse.m_Accelerators = 0;
  const Resources Larger = maxOf(Overuse, Target.m_Overuse);
  const bool Confirmed = Larger == Overuse;
  if (!Confirmed && Event.m_MeasuredAt - Target.m_OveruseAt < OveruseMemory)
    Overuse = Larger;
  else
    Target.m_OveruseAt = Event.m_MeasuredAt;
  if (Overuse == Target.m_Overuse)
    return;
  const bool Shrunk = !Confirmed;
  Target.m_Overuse = Overuse;
  m_Fleet.refresh(Index);
  if (Shrunk)
    capacityGrew();
}

} // namespace anvil::sched::internal
