#include <algorithm>

#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {
// Largest number of searches for gangs to be moved in one step, which bounds
// its cost.
constexpr int MaxMovesPerStep = 48;
} // namespace

void SchedulerCore::handle(const WorkerUp &Event) {
  const bool Quarantined = Event.m_Quarantined;
  const WorkerIndex Known = m_Fleet.find(Event.m_Vm);
  const bool Before = Known >= 0 && m_Fleet.worker(Known).m_Quarantined;
  const WorkerIndex Index = m_Fleet.upsert(Event);
  m_FreedByVictims.resize(m_Fleet.size());
  if (Quarantined && !Before) {
    ++m_QuarantinedCount;
    m_ProbeTimers.insert({m_Now + m_Options.m_ProbeDelay, Index});
  }
  m_GuaranteesDirty = true;
  m_ReviewParked = true;
  capacityGrew();
}

void SchedulerCore::handle(const WorkerLost &Event) {
  const WorkerIndex Index = m_Fleet.find(Event.m_Vm);
  if (Index < 0)
    return;
  m_Fleet.worker(Index).m_Up = false;
  m_Fleet.refresh(Index);
  stopGangsOn(Index, StopCause::WorkerLost);
  m_GuaranteesDirty = true;
  m_Dirty = true;
}

void SchedulerCore::stopGangsOn(WorkerIndex Index, StopCause Cause) {
  for (const Occupant &Entry : m_Fleet.worker(Index).m_Occupants) {
    JobState &Job = m_Jobs[Entry.m_Job];
    if (Job.m_Phase == JobPhase::Stopping)
      continue;
    Job.m_Reason = absl::StrCat("worker ", vmName(Index), " was lost");
    beginStopping(Entry.m_Job, Cause);
  }
}

void SchedulerCore::handle(const WorkerDrained &Event) {
  const WorkerIndex Index = m_Fleet.find(Event.m_Vm);
  if (Index < 0 || m_Fleet.worker(Index).m_Draining == Event.m_Draining)
    return;
  m_Fleet.worker(Index).m_Draining = Event.m_Draining;
  m_Fleet.refresh(Index);
  m_GuaranteesDirty = true;
  m_Dirty = true;
  m_EvacuationNeeded = m_EvacuationNeeded || Event.m_Draining;
  if (!Event.m_Draining) {
    m_ReviewParked = true;
    capacityGrew();
  }
}

void SchedulerCore::handle(const ZoneWithdrawn &Event) {
  const int32_t Index = m_Fleet.zoneIndex(Event.m_Zone);
  ZoneState &Zone = m_Fleet.zones()[Index];
  Zone.m_NoticeEnd = m_Now + Event.m_Notice;
  if (Zone.m_Withdrawn)
    return;
  Zone.m_Withdrawn = true;
  Zone.m_EvictionDone = false;
  m_Fleet.refreshZone(Index);
  m_GuaranteesDirty = true;
  m_Dirty = true;
  m_EvacuationNeeded = true;
}

void SchedulerCore::handle(const ZoneRestored &Event) {
  const int32_t Index = m_Fleet.zoneIndex(Event.m_Zone);
  if (!m_Fleet.zones()[Index].m_Withdrawn)
    return;
  m_Fleet.zones()[Index].m_Withdrawn = false;
  m_Fleet.refreshZone(Index);
  m_GuaranteesDirty = true;
  m_ReviewParked = true;
  capacityGrew();
}

bool SchedulerCore::usesLeavingWorker(const JobState &Job,
                                      int32_t ZoneIndex) const {
  return std::any_of(Job.m_Members.begin(), Job.m_Members.end(),
                     [&](const Member &Each) {
                       const WorkerSlot &Slot = m_Fleet.slot(Each.m_Worker);
                       if (ZoneIndex >= 0)
                         return Slot.m_Zone == ZoneIndex;
                       return m_Fleet.zones()[Slot.m_Zone].m_Withdrawn ||
                              m_Fleet.worker(Each.m_Worker).m_Draining;
                     });
}

/// Moves gangs off draining workers and out of withdrawn zones, most urgent
/// first, as long as other workers have room. Gangs without room elsewhere keep
/// running until the notice of the zone ends.
void SchedulerCore::evacuate() {
  m_LastEvacuation = m_Now;
  std::vector<std::pair<double, JobIndex>> Leaving;
  bool AnyLeft = false;
  for (const JobIndex Index : m_Placed) {
    const JobState &Job = m_Jobs[Index];
    if (Job.m_Phase == JobPhase::Stopping || !usesLeavingWorker(Job, -1))
      continue;
    AnyLeft = true;
    // Within a class the gang that ends first is moved first, since it frees
    // its workers soonest.
    if (Job.m_Phase == JobPhase::Placed || Job.m_Spec.m_Checkpointable)
      Leaving.emplace_back(
          effectiveRank(Job) * 1e9 + toSeconds(remainingTime(Job)), Index);
  }
  std::sort(Leaving.begin(), Leaving.end());
  int Moves = MaxMovesPerStep;
  for (const auto &[Value, Index] : Leaving) {
    JobState &Job = m_Jobs[Index];
    // A gang that has not started must not start on such a worker.
    if (Job.m_Phase == JobPhase::Placed) {
      startReclaim(
          Index,
          "its worker or availability zone was withdrawn before it started");
      continue;
    }
    if (Moves <= 0 || knownNotToFit(Job))
      continue;
    --Moves;
    std::string Reason;
    std::vector<Member> Members = search(Index, Reason);
    if (Members.empty()) {
      rememberFailedShape(Job);
      continue;
    }
    setHold(Index, std::move(Members), HoldKind::Move, m_Now);
    startReclaim(Index, "its worker or availability zone is withdrawn and "
                        "there is room elsewhere");
  }
  m_EvacuationNeeded = AnyLeft;
}

/// Reclaims the preemptible gangs in a withdrawn zone shortly before its
/// workers may disappear.
void SchedulerCore::evict(int32_t ZoneIndex) {
  ZoneState &Zone = m_Fleet.zones()[ZoneIndex];
  const Duration Lead = m_Options.m_CheckpointTime + m_Options.m_ThrottleTime +
                        m_Options.m_StopTime;
  if (!Zone.m_Withdrawn || Zone.m_EvictionDone ||
      m_Now + Lead < Zone.m_NoticeEnd)
    return;
  bool Waiting = false;
  const std::vector<JobIndex> Placed(m_Placed.begin(), m_Placed.end());
  for (const JobIndex Index : Placed) {
    const JobState &Job = m_Jobs[Index];
    if (Job.m_Phase == JobPhase::Stopping || Job.nonPreemptible() ||
        !usesLeavingWorker(Job, ZoneIndex))
      continue;
    if (!Job.m_Spec.m_Checkpointable &&
        m_Now + m_Options.m_StopTime < Zone.m_NoticeEnd) {
      Waiting = true;
      continue;
    }
    startReclaim(Index, absl::StrCat("availability zone ", Zone.m_Name.str(),
                                     " leaves"));
  }
  Zone.m_EvictionDone = !Waiting;
}

void SchedulerCore::handle(const ConfigurationChanged &Event) {
  for (Workspace &Each : m_Workspaces) {
    Each.m_Configured = false;
    Each.m_Config = {};
    Each.m_GuaranteedTotal = {};
  }
  std::vector<ShapeInstance> Old = std::move(m_ShapeInstances);
  m_ShapeInstances.clear();
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
    Workspace &Owner = m_Workspaces[Index];
    Owner.m_Configured = true;
    Owner.m_Config = Config;
    for (const GuaranteedShape &Shape : Config.m_Guarantees) {
      Owner.m_GuaranteedTotal += Shape.m_Resources * Shape.m_Count;
      std::vector<size_t> &Same = Known[KeyOf(Index, Shape)];
      for (int32_t Count = 0; Count < Shape.m_Count; ++Count) {
        ShapeInstance &Added =
            m_ShapeInstances.emplace_back(ShapeInstance{Index, Shape});
        if (Same.empty())
          continue;
        // An unchanged instance keeps its workers.
        Added.m_Parts = std::move(Old[Same.back()].m_Parts);
        Same.pop_back();
      }
    }
  }
  for (auto &[Key, Rest] : Known) {
    for (const size_t I : Rest)
      releaseInstance(Old[I]);
  }
  m_GuaranteesDirty = true;
  m_ReviewParked = true;
  capacityGrew();
}

void SchedulerCore::handle(const UsageReported &Event) {
  // Overuse counts at once, but a lower value replaces it only after this time,
  // so that a worker whose use varies around its reservation is not filled and
  // emptied in turn.
  constexpr Duration OveruseRetention = std::chrono::seconds(60);
  const WorkerIndex Index = m_Fleet.find(Event.m_Vm);
  if (Index < 0)
    return;
  WorkerState &Worker = m_Fleet.worker(Index);
  // The report is out of order or describes gangs that have changed since.
  if (Event.m_MeasuredAt < Worker.m_ChangedAt ||
      Event.m_MeasuredAt < Worker.m_OveruseAt)
    return;
  Resources Overuse = nonNegativePart(Event.m_Used - Worker.m_Reserved);
  Overuse.m_Accelerators = 0;
  const Resources Larger = maxOf(Overuse, Worker.m_Overuse);
  const bool Confirmed = Larger == Overuse;
  if (!Confirmed && Event.m_MeasuredAt - Worker.m_OveruseAt < OveruseRetention)
    Overuse = Larger;
  else
    Worker.m_OveruseAt = Event.m_MeasuredAt;
  if (Overuse == Worker.m_Overuse)
    return;
  const bool Shrunk = !Confirmed;
  Worker.m_Overuse = Overuse;
  m_Fleet.refresh(Index);
  if (Shrunk)
    capacityGrew();
}

} // namespace anvil::sched::internal
