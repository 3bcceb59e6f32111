#include <algorithm>
#include <queue>

#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {
// Largest number of queued jobs examined in one pass, which bounds its cost on
// a very long queue.
constexpr int MaxExamined = 20'000;
// Largest number of gang shapes remembered as not fitting until capacity grows.
constexpr size_t MaxFailedShapes = 64;
// Largest numbers of plans in one pass; a plan costs about ten searches. Each
// purpose has its own limit, so that many small jobs planned for a shorter wait
// do not keep urgent jobs or large gangs from being planned.
constexpr int MaxPreemptPlans = 2;
constexpr int MaxOpportunisticPlans = 1;
constexpr int MaxReservePlans = 1;
// Largest number of parked jobs reviewed in one pass.
constexpr int MaxReviewed = 128;
// Number of workers avoided by a job that failed on them, the most recent ones.
constexpr size_t MaxAvoided = 4;
// Interval between two evacuations of draining workers and withdrawn zones.
constexpr Duration EvacuationInterval = std::chrono::milliseconds(500);
// Least time until the reservation starts for which a movable gang is
// backfilled.
constexpr Duration MinBackfillTime = std::chrono::minutes(2);
// Queue position, in seconds of submission time, that a workspace loses for
// each multiple of its fair share that it uses beyond the first.
constexpr double FairPenaltySeconds = 1800;
} // namespace

void SchedulerCore::runTimers() {
  while (!m_DelayTimers.empty() && m_DelayTimers.begin()->first <= m_Now) {
    const JobIndex Index = m_DelayTimers.begin()->second;
    m_DelayTimers.erase(m_DelayTimers.begin());
    enqueue(Index);
  }
  while (!m_ReclaimTimers.empty() && m_ReclaimTimers.begin()->first <= m_Now) {
    const JobIndex Index = m_ReclaimTimers.begin()->second;
    m_ReclaimTimers.erase(m_ReclaimTimers.begin());
    continueReclaim(Index);
  }
  while (!m_ProbeTimers.empty() && m_ProbeTimers.begin()->first <= m_Now) {
    const WorkerIndex Index = m_ProbeTimers.begin()->second;
    m_ProbeTimers.erase(m_ProbeTimers.begin());
    probe(Index);
  }
  for (size_t I = 0; I < m_Fleet.zones().size(); ++I)
    evict(static_cast<int32_t>(I));
}

void SchedulerCore::passIfDue() {
  const bool EvacuationDue =
      m_EvacuationNeeded && m_Now - m_LastEvacuation >= EvacuationInterval;
  if (!m_Dirty && !m_GuaranteesDirty && !EvacuationDue && !m_ReviewParked)
    return;
  if (m_HasPassed && m_Now - m_LastPass < m_Options.m_PassInterval)
    return;
  pass();
}

void SchedulerCore::pass() {
  m_HasPassed = true;
  m_LastPass = m_Now;
  m_Dirty = false;
  m_SearchBudget = m_Options.m_MaxSearches;
  m_PreemptPlanBudget = MaxPreemptPlans;
  m_OpportunisticPlanBudget = MaxOpportunisticPlans;
  m_ReservePlanBudget = MaxReservePlans;
  if (m_GuaranteesDirty)
    assignGuarantees();
  if (m_ReviewParked)
    reviewParked();
  tryHolds();
  if (m_EvacuationNeeded && m_Now - m_LastEvacuation >= EvacuationInterval)
    evacuate();
  placeFromQueue();
}

void SchedulerCore::tryHolds() {
  std::vector<JobIndex> Holders;
  for (const CapacityHold &Each : m_Holds)
    Holders.push_back(Each.m_Job);
  for (const JobIndex Index : Holders) {
    if (m_Jobs[Index].m_HoldIndex >= 0 &&
        m_Jobs[Index].m_Phase == JobPhase::Queued)
      retryHold(Index);
  }
}

double SchedulerCore::queuePenalty(const Workspace &Source) const {
  const Resources &Capacity = m_Fleet.usableCapacity();
  const double Share = dominantShare(
      nonNegativePart(Source.m_Used - Source.m_GuaranteedTotal), Capacity);
  const double Fair =
      1.0 / static_cast<double>(std::max<size_t>(1, m_Workspaces.size()));
  return std::max(0.0, Share / Fair - 1) * FairPenaltySeconds * 1e6;
}

/// Goes through the queues of all workspaces in the order of the jobs' keys,
/// each delayed by the penalty of a workspace that uses more than its share.
void SchedulerCore::placeFromQueue() {
  struct Head {
    double m_QueueKey = 0;
    WorkspaceIndex m_Workspace = 0;
    bool operator>(const Head &Other) const {
      return m_QueueKey != Other.m_QueueKey ? m_QueueKey > Other.m_QueueKey
                                            : m_Workspace > Other.m_Workspace;
    }
  };
  std::priority_queue<Head, std::vector<Head>, std::greater<>> Heads;
  std::vector<std::set<std::pair<int64_t, JobIndex>>::iterator> Next(
      m_Workspaces.size());
  auto Push = [&](WorkspaceIndex Index) {
    const Workspace &Source = m_Workspaces[Index];
    if (Next[Index] != Source.m_Queue.end())
      Heads.push(
          {static_cast<double>(Next[Index]->first) + queuePenalty(Source),
           Index});
  };
  for (size_t I = 0; I < m_Workspaces.size(); ++I) {
    Next[I] = m_Workspaces[I].m_Queue.begin();
    Push(static_cast<WorkspaceIndex>(I));
  }
  for (int Examined = 0; Examined < MaxExamined && !Heads.empty(); ++Examined) {
    if (m_SearchBudget <= 0) {
      // The next pass continues with the rest of the queue.
      m_Dirty = true;
      return;
    }
    const WorkspaceIndex Index = Heads.top().m_Workspace;
    Heads.pop();
    const JobIndex Current = Next[Index]->second;
    ++Next[Index];
    if (m_Jobs[Current].m_HoldIndex < 0 && !tryPlace(Current) &&
        m_Jobs[Current].m_Phase == JobPhase::Queued)
      handleBlocked(Current);
    Push(Index);
  }
}

bool SchedulerCore::tryPlace(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  if (parkIfImpossible(Index))
    return false;
  if (overQuota(Job)) {
    Job.m_BlockReason = BlockReason::Quota;
    return false;
  }
  Job.m_BlockReason = BlockReason::NoRoom;
  std::string Reason;
  std::vector<Member> Members;
  const bool Skipped = knownNotToFit(Job);
  if (!Skipped)
    Members = search(Index, Reason);
  if (Members.empty() && !Skipped)
    rememberFailedShape(Job);
  if (!Members.empty()) {
    place(Index, std::move(Members), Reason);
    return true;
  }
  Members = searchBackfill(Index);
  if (Members.empty())
    return false;
  place(
      Index, std::move(Members),
      "backfill into room reserved for a larger gang that cannot start sooner");
  m_Jobs[Index].m_Backfilled = true;
  return true;
}

std::vector<Member> SchedulerCore::search(JobIndex Index, std::string &Reason) {
  const JobState &Job = m_Jobs[Index];
  const Demand Need = Job.demand();
  std::vector<Member> Members = searchGuaranteeWorkers(Job);
  if (!Members.empty()) {
    Reason = "fits its workspace's guaranteed capacity";
    return Members;
  }
  const std::vector<WorkerIndex> Avoided = avoided(Job);
  if (Job.nonPreemptible()) {
    Reason = "fits capacity guaranteed to no other workspace, as it cannot be "
             "reclaimed";
    return searchWithOwnGuarantee(Job, RoomKind::NonPreemptible, Avoided);
  }
  --m_SearchBudget;
  Members = m_Finder.find(Need, RoomKind::Free, Avoided);
  Reason = "fits free capacity";
  if (Members.empty() || m_ShapeInstances.empty())
    return Members;
  // Capacity that no other workspace may claim is preferred if it suffices.
  std::vector<Member> Own =
      searchWithOwnGuarantee(Job, RoomKind::Unguaranteed, Avoided);
  Reason = Own.empty() ? "borrows capacity that other workspaces may claim back"
                       : "fits capacity guaranteed to no other workspace";
  return Own.empty() ? Members : Own;
}

std::vector<Member>
SchedulerCore::searchWithOwnGuarantee(const JobState &Job, RoomKind Kind,
                                      std::span<const WorkerIndex> Avoided) {
  --m_SearchBudget;
  const bool NonPreemptible = Kind == RoomKind::NonPreemptible;
  addOwnGuarantee(Job.m_Workspace, 1, NonPreemptible);
  std::vector<Member> Members = m_Finder.find(Job.demand(), Kind, Avoided);
  addOwnGuarantee(Job.m_Workspace, -1, NonPreemptible);
  return Members;
}

std::vector<Member> SchedulerCore::searchGuaranteeWorkers(const JobState &Job) {
  const std::vector<WorkerIndex> &GuaranteeWorkers =
      m_Workspaces[Job.m_Workspace].m_GuaranteeWorkers;
  if (GuaranteeWorkers.empty())
    return {};
  const std::vector<WorkerIndex> Avoided = avoided(Job);
  std::vector<WorkerIndex> Usable;
  for (const WorkerIndex Worker : GuaranteeWorkers) {
    // Jobs without accelerators would take the cores that the guaranteed
    // accelerators need, so they search elsewhere first.
    if (Job.m_Spec.m_PerTask.m_Accelerators == 0 &&
        m_Fleet.slot(Worker).m_HasAccelerators)
      continue;
    if (m_Fleet.slot(Worker).m_Usable &&
        std::find(Avoided.begin(), Avoided.end(), Worker) == Avoided.end())
      Usable.push_back(Worker);
  }
  return m_Finder.findAmong(Job.demand(), Usable, [&](WorkerIndex Worker) {
    const WorkspaceUsage Own = m_Fleet.usageOf(Worker, Job.m_Workspace);
    const Resources Rest =
        Own.m_Guaranteed -
        (Job.nonPreemptible() ? Own.m_NonPreemptible : Own.m_Used);
    return minOf(m_Fleet.slot(Worker).m_Free, Rest);
  });
}

/// Places a job in reserved room if it is expected to end before the
/// reservation starts. The reservation reclaims the room otherwise.
std::vector<Member> SchedulerCore::searchBackfill(JobIndex Index) {
  const JobState &Job = m_Jobs[Index];
  if (Job.nonPreemptible() || m_SearchBudget <= 0)
    return {};
  // A gang that can be moved at little cost need not end in time.
  const bool Movable = Job.m_Spec.m_Checkpointable && Job.m_Spec.m_Idempotent;
  const TimePoint End =
      m_Now + (Movable ? MinBackfillTime : remainingTime(Job));
  // A job that ends later can use no more reservations than one that ends
  // earlier.
  const bool Known =
      std::any_of(m_FailedBackfills.begin(), m_FailedBackfills.end(),
                  [&](const FailedShape &Failed) {
                    return Failed.m_End <= End && needsAtLeast(Failed, Job);
                  });
  if (Known)
    return {};
  std::vector<CapacityHold *> LaterReservations;
  for (CapacityHold &Each : m_Holds) {
    if (Each.m_Kind == HoldKind::Reservation && Each.m_ExpectedStart > End)
      LaterReservations.push_back(&Each);
  }
  if (LaterReservations.empty())
    return {};
  --m_SearchBudget;
  for (CapacityHold *Each : LaterReservations)
    applyHold(*Each, -1);
  std::vector<Member> Members =
      m_Finder.find(Job.demand(), RoomKind::Free, avoided(Job));
  for (CapacityHold *Each : LaterReservations)
    applyHold(*Each, 1);
  if (Members.empty() && m_FailedBackfills.size() < MaxFailedShapes)
    m_FailedBackfills.push_back({Job.m_Workspace, false, Job.demand(), End});
  return Members;
}

std::vector<WorkerIndex> SchedulerCore::avoided(const JobState &Job) const {
  const size_t Count = std::min(Job.m_FailedOn.size(), MaxAvoided);
  // In a small fleet, avoiding workers could leave no worker at all.
  if (Count == 0 || m_Fleet.usableWorkers() <= static_cast<int32_t>(2 * Count))
    return {};
  return {Job.m_FailedOn.end() - static_cast<ptrdiff_t>(Count),
          Job.m_FailedOn.end()};
}

void SchedulerCore::place(JobIndex Index, std::vector<Member> Members,
                          std::string Reason) {
  JobState &Job = m_Jobs[Index];
  dequeue(Index);
  dropHold(Index);
  PlaceGang Action{Job.m_Id, {}, Reason};
  Action.m_Members.reserve(Job.m_Spec.m_Tasks);
  int32_t Task = 0;
  for (const Member &Each : Members) {
    for (int32_t I = 0; I < Each.m_Tasks; ++I)
      Action.m_Members.push_back({Task++, m_Fleet.worker(Each.m_Worker).m_Vm});
  }
  occupy(Index, std::move(Members));
  Job.m_Phase = JobPhase::Placed;
  Job.m_PlacedAt = m_Now;
  Job.m_Started = false;
  Job.m_Reason = std::move(Reason);
  Job.m_Plans = 0;
  Job.m_NextPlanAt = m_Now;
  emit(std::move(Action));
}

/// Returns whether a job needs at least as much as a shape that did not fit,
/// and so cannot fit either.
bool SchedulerCore::needsAtLeast(const FailedShape &Failed,
                                 const JobState &Job) {
  // Preemptible jobs may borrow, so their room does not depend on their
  // workspace.
  if (Failed.m_NonPreemptible != Job.nonPreemptible() ||
      (Failed.m_NonPreemptible && Failed.m_Workspace != Job.m_Workspace))
    return false;
  const Demand Need = Job.demand();
  const bool SamePlaces =
      !Failed.m_Need.m_Required ||
      (Need.m_Required && Failed.m_Need.m_Adjacency == Need.m_Adjacency);
  return SamePlaces && Failed.m_Need.m_Tasks <= Need.m_Tasks &&
         fits(Failed.m_Need.m_PerTask, Need.m_PerTask);
}

bool SchedulerCore::knownNotToFit(const JobState &Job) const {
  return std::any_of(
      m_FailedShapes.begin(), m_FailedShapes.end(),
      [&](const FailedShape &Failed) { return needsAtLeast(Failed, Job); });
}

void SchedulerCore::rememberFailedShape(const JobState &Job) {
  if (m_FailedShapes.size() < MaxFailedShapes && avoided(Job).empty())
    m_FailedShapes.push_back(
        {Job.m_Workspace, Job.nonPreemptible(), Job.demand(), {}});
}

void SchedulerCore::capacityGrew() {
  m_FailedShapes.clear();
  m_FailedBackfills.clear();
  m_Dirty = true;
}

bool SchedulerCore::fitsEmptyWorkers(const JobState &Job) {
  std::vector<WorkerIndex> Usable;
  for (WorkerIndex Index = 0; Index < m_Fleet.size(); ++Index) {
    if (m_Fleet.slot(Index).m_Usable)
      Usable.push_back(Index);
  }
  const bool NonPreemptible = Job.nonPreemptible();
  return !m_Finder
              .findAmong(Job.demand(), Usable,
                         [&](WorkerIndex Index) {
                           const WorkerState &Worker = m_Fleet.worker(Index);
                           Resources Room = Worker.m_Capacity;
                           for (const WorkspaceUsage &Row : Worker.m_Usage) {
                             if (NonPreemptible &&
                                 Row.m_Workspace != Job.m_Workspace)
                               Room -= Row.m_Guaranteed;
                           }
                           return Room;
                         })
              .empty();
}

bool SchedulerCore::parkIfImpossible(JobIndex Index) {
  const JobState &Job = m_Jobs[Index];
  const Workspace &Owner = m_Workspaces[Job.m_Workspace];
  if (!Owner.m_Configured) {
    park(Index, absl::StrCat("workspace ", Owner.m_Name.str(),
                             " is not in the configuration"));
    return true;
  }
  const Resources Need = Job.total();
  auto Over = [](int64_t Used, int64_t Limit) {
    return Limit > 0 && Used > Limit;
  };
  const Resources &Quota = Owner.m_Config.m_Quota;
  if (Over(Need.m_Accelerators, Quota.m_Accelerators) ||
      Over(Need.m_Cores, Quota.m_Cores) ||
      Over(Need.m_MemoryMib, Quota.m_MemoryMib)) {
    park(Index, absl::StrCat("it needs ", describeNeed(Job),
                             ", more than the quota of workspace ",
                             Owner.m_Name.str()));
    return true;
  }
  return false;
}

void SchedulerCore::reviewParked() {
  m_ReviewParked = false;
  int Reviewed = 0;
  auto Entry = m_Parked.upper_bound(m_ParkedCursor);
  while (Entry != m_Parked.end()) {
    if (++Reviewed > MaxReviewed) {
      m_ReviewParked = true;
      return;
    }
    const JobIndex Index = *Entry;
    m_ParkedCursor = Index;
    ++Entry;
    if (parkIfImpossible(Index) || !fitsEmptyWorkers(m_Jobs[Index]))
      continue;
    m_Parked.erase(Index);
    enqueue(Index);
  }
  m_ParkedCursor = -1;
}

} // namespace anvil::sched::internal
