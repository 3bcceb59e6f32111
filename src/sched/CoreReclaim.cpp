#include <algorithm>

#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {
// Least planned duration of a reservation. A reservation that still waits after
// twice its planned duration is planned again.
constexpr Duration MinReservationTime = std::chrono::minutes(1);
// Delay until a job is planned again whose hold was dropped because it still
// does not fit and no gang is stopping on the workers of the hold any more.
// The job is planned again at once if the hold was dropped because one of its
// workers became unusable or because the reservation is long overdue.
constexpr Duration ReplanDelay = std::chrono::milliseconds(500);
// Interval at which an unanswered stop is repeated.
constexpr Duration StopRepeat = std::chrono::seconds(5);
} // namespace

void SchedulerCore::startReclaim(JobIndex Index, const std::string &Reason) {
  JobState &Job = m_Jobs[Index];
  if (Job.m_Phase == JobPhase::Stopping)
    return;
  const bool Started = Job.m_Phase == JobPhase::Running;
  const bool Checkpoint = Started && Job.m_Spec.m_Checkpointable;
  Job.m_Reclaim = {
      true, Checkpoint ? ReclaimMode::Checkpoint : ReclaimMode::Stop,
      m_Now + (Checkpoint ? m_Options.m_CheckpointTime : m_Options.m_StopTime),
      Reason};
  Job.m_Reason = Reason;
  ++Job.m_Reclaims;
  beginStopping(Index, StopCause::Reclaimed);
  m_ReclaimTimers.insert({Job.m_Reclaim.m_Deadline, Index});
  emit(ReclaimJob{Job.m_Id, Job.m_Reclaim.m_Mode, Job.m_Reclaim.m_Deadline,
                  Reason});
}

/// Starts the next stage of a reclaim (checkpoint, throttle, stop) after the
/// deadline of the current one, or repeats the stop.
void SchedulerCore::continueReclaim(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  if (!Job.m_Reclaim.m_Active)
    return;
  ReclaimState &State = Job.m_Reclaim;
  Duration Time = StopRepeat;
  if (State.m_Mode == ReclaimMode::Checkpoint) {
    State.m_Mode = ReclaimMode::Throttle;
    Time = m_Options.m_ThrottleTime;
  } else if (State.m_Mode == ReclaimMode::Throttle) {
    State.m_Mode = ReclaimMode::Stop;
    Time = m_Options.m_StopTime;
  }
  State.m_Deadline = m_Now + Time;
  m_ReclaimTimers.insert({State.m_Deadline, Index});
  emit(ReclaimJob{Job.m_Id, State.m_Mode, State.m_Deadline, State.m_Reason});
}

std::vector<std::pair<WorkerIndex, Resources>>
SchedulerCore::claimsInProgress(WorkspaceIndex Index) const {
  std::vector<std::pair<WorkerIndex, Resources>> Result;
  for (const CapacityHold &Each : m_Holds) {
    const JobState &Holder = m_Jobs[Each.m_Job];
    if (Each.m_Kind != HoldKind::Claim || Holder.m_Workspace != Index)
      continue;
    for (const Member &HeldMember : Each.m_Members)
      Result.emplace_back(HeldMember.m_Worker,
                          Holder.m_Spec.m_PerTask * HeldMember.m_Tasks);
  }
  return Result;
}

/// Reclaims the guaranteed capacity of the job's workspace from the gangs that
/// borrow it.
bool SchedulerCore::claimGuarantee(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  const std::vector<WorkerIndex> &GuaranteeWorkers =
      m_Workspaces[Job.m_Workspace].m_GuaranteeWorkers;
  if (GuaranteeWorkers.empty())
    return false;
  const auto Claimed = claimsInProgress(Job.m_Workspace);
  std::vector<WorkerIndex> Usable;
  for (const WorkerIndex Worker : GuaranteeWorkers) {
    if (m_Fleet.slot(Worker).m_Usable)
      Usable.push_back(Worker);
  }
  auto GuaranteeLeft = [&](WorkerIndex Worker) {
    const WorkspaceUsage JobWorkspaceUsage =
        m_Fleet.usageOf(Worker, Job.m_Workspace);
    Resources Rest = JobWorkspaceUsage.m_Guaranteed - JobWorkspaceUsage.m_Used;
    for (const auto &[ClaimedWorker, Amount] : Claimed) {
      if (ClaimedWorker == Worker)
        Rest -= Amount;
    }
    return Rest;
  };
  Plan Chosen = cheapestClaim(Job, Usable, GuaranteeLeft);
  if (Chosen.m_Members.empty()) {
    Chosen.m_Members = m_Finder.findAmong(Job.demand(), Usable, GuaranteeLeft);
    if (Chosen.m_Members.empty() ||
        !claimVictims(Job, Chosen.m_Members, Chosen.m_Victims))
      return false;
  }
  dropHoldsOn(Chosen.m_Members);
  commitPlan(Index, std::move(Chosen), HoldKind::Claim,
             absl::StrCat(
                 "workspace ", m_Workspaces[Job.m_Workspace].m_Name.str(),
                 " claims its guaranteed capacity for job ", Job.m_Id.value()));
  return true;
}

/// Chooses the single worker that can hold the whole gang within the guarantee
/// and costs least to reclaim; empty if there is none.
SchedulerCore::Plan
SchedulerCore::cheapestClaim(const JobState &Job,
                             std::span<const WorkerIndex> GuaranteeWorkers,
                             const Finder::RoomFn &GuaranteeLeft) const {
  Plan Best;
  double BestCost = 0;
  for (const WorkerIndex Worker : GuaranteeWorkers) {
    if (!fits(Job.total(), GuaranteeLeft(Worker)))
      continue;
    Plan Each{{{Worker, Job.m_Spec.m_Tasks}}, {}};
    if (!claimVictims(Job, Each.m_Members, Each.m_Victims))
      continue;
    double Cost = 0;
    for (const JobIndex Victim : Each.m_Victims)
      Cost += victimCost(m_Jobs[Victim]);
    if (!Best.m_Members.empty() && Cost >= BestCost)
      continue;
    Best = std::move(Each);
    BestCost = Cost;
  }
  return Best;
}

/// Chooses, on each of the workers, the cheapest gangs to reclaim; false if
/// they do not free enough. A gang qualifies if it is preemptible and of
/// another workspace, and that workspace uses more on this worker than its
/// guarantee there. Gangs that are stopping or chosen already come first, at
/// cost -1, and are not added to the victims.
bool SchedulerCore::claimVictims(const JobState &Job,
                                 std::span<const Member> Members,
                                 std::vector<JobIndex> &Victims) const {
  for (const Member &ClaimMember : Members) {
    // Measured overuse and holds of other kinds do not reduce what the owner
    // may claim.
    Resources Missing = Job.m_Spec.m_PerTask * ClaimMember.m_Tasks -
                        roomForHold(ClaimMember.m_Worker, HoldKind::Claim);
    std::vector<std::pair<double, Occupant>> Candidates;
    for (const Occupant &Entry :
         m_Fleet.worker(ClaimMember.m_Worker).m_Occupants) {
      const JobState &Candidate = m_Jobs[Entry.m_Job];
      const bool IsStopping = Candidate.m_Phase == JobPhase::Stopping ||
                              std::find(Victims.begin(), Victims.end(),
                                        Entry.m_Job) != Victims.end();
      const WorkspaceUsage CandidateUsage =
          m_Fleet.usageOf(ClaimMember.m_Worker, Candidate.m_Workspace);
      if (IsStopping) {
        Candidates.emplace_back(-1, Entry);
        continue;
      }
      if (Candidate.m_Workspace != Job.m_Workspace &&
          !Candidate.nonPreemptible() &&
          !fits(CandidateUsage.m_Used, CandidateUsage.m_Guaranteed))
        Candidates.emplace_back(victimCost(Candidate), Entry);
    }
    std::stable_sort(Candidates.begin(), Candidates.end(),
                     [](const auto &First, const auto &Second) {
                       return First.first < Second.first;
                     });
    for (const auto &[Cost, Entry] : Candidates) {
      if (fits(Missing, Resources{}))
        break;
      Missing -= m_Jobs[Entry.m_Job].m_Spec.m_PerTask * Entry.m_Tasks;
      if (Cost >= 0)
        Victims.push_back(Entry.m_Job);
    }
    if (!fits(Missing, Resources{}))
      return false;
  }
  return true;
}

void SchedulerCore::setHold(JobIndex Index, std::vector<Member> Members,
                            HoldKind Kind, TimePoint ExpectedStart) {
  dropHold(Index);
  m_Jobs[Index].m_HoldIndex = static_cast<int32_t>(m_Holds.size());
  m_Holds.push_back({Index, std::move(Members), Kind, m_Now, ExpectedStart});
  applyHold(m_Holds.back(), 1);
  if (Kind == HoldKind::Reservation)
    m_Jobs[Index].m_BlockReason = BlockReason::Reserved;
}

void SchedulerCore::dropHold(JobIndex Index) {
  const int32_t HoldIndex = m_Jobs[Index].m_HoldIndex;
  if (HoldIndex < 0)
    return;
  applyHold(m_Holds[HoldIndex], -1);
  m_Jobs[Index].m_HoldIndex = -1;
  if (static_cast<size_t>(HoldIndex) + 1 != m_Holds.size()) {
    m_Holds[HoldIndex] = std::move(m_Holds.back());
    m_Jobs[m_Holds[HoldIndex].m_Job].m_HoldIndex = HoldIndex;
  }
  m_Holds.pop_back();
  capacityGrew();
}

void SchedulerCore::dropHoldsOn(std::span<const Member> Members) {
  std::vector<JobIndex> Dropped;
  for (const CapacityHold &Each : m_Holds) {
    if (Each.m_Kind == HoldKind::Claim)
      continue;
    const bool Overlaps = std::any_of(
        Each.m_Members.begin(), Each.m_Members.end(), [&](const Member &Held) {
          return std::any_of(Members.begin(), Members.end(),
                             [&](const Member &NewMember) {
                               return NewMember.m_Worker == Held.m_Worker;
                             });
        });
    if (Overlaps)
      Dropped.push_back(Each.m_Job);
  }
  for (const JobIndex Index : Dropped)
    dropHold(Index);
}

void SchedulerCore::applyHold(const CapacityHold &Hold, int Sign) {
  const Resources &PerTask = m_Jobs[Hold.m_Job].m_Spec.m_PerTask;
  for (const Member &Each : Hold.m_Members) {
    const Resources Amount = PerTask * (int64_t{Each.m_Tasks} * Sign);
    m_Fleet.hold(Each.m_Worker, Amount);
    if (Hold.m_Kind == HoldKind::Claim)
      m_Fleet.worker(Each.m_Worker).m_HeldByClaims += Amount;
    if (Hold.m_Kind == HoldKind::Reservation)
      m_Fleet.worker(Each.m_Worker).m_HeldByReservations += Amount;
  }
}

/// Returns the room of a worker for a kind of hold: claims have the highest
/// precedence, reservations the lowest. A reservation waits for gangs that may
/// end much later, so it must not keep other holds from room that is free now.
Resources SchedulerCore::roomForHold(WorkerIndex Index, HoldKind Kind) const {
  const WorkerState &Worker = m_Fleet.worker(Index);
  const Resources Free = Worker.m_Capacity - Worker.m_Reserved;
  if (Kind == HoldKind::Claim)
    return Free - Worker.m_HeldByClaims;
  if (Kind == HoldKind::Reservation)
    return m_Fleet.slot(Index).m_Free;
  return Free - Worker.m_Overuse -
         (Worker.m_Held - Worker.m_HeldByReservations);
}

bool SchedulerCore::holdUsable(const CapacityHold &Hold) const {
  return std::all_of(Hold.m_Members.begin(), Hold.m_Members.end(),
                     [this](const Member &Each) {
                       return m_Fleet.slot(Each.m_Worker).m_Usable;
                     });
}

/// Returns whether the job fits its own hold. The hold must not be applied at
/// present.
bool SchedulerCore::fitsOwnHold(const JobState &Job,
                                const CapacityHold &Hold) const {
  return std::all_of(
      Hold.m_Members.begin(), Hold.m_Members.end(), [&](const Member &Each) {
        const WorkerSlot &Slot = m_Fleet.slot(Each.m_Worker);
        Resources Room = roomForHold(Each.m_Worker, Hold.m_Kind);
        if (Job.nonPreemptible()) {
          const WorkspaceUsage JobWorkspaceUsage =
              m_Fleet.usageOf(Each.m_Worker, Job.m_Workspace);
          Room = minOf(Room,
                       Slot.m_NonPreemptibleRoom +
                           nonNegativePart(JobWorkspaceUsage.m_Guaranteed -
                                           JobWorkspaceUsage.m_NonPreemptible));
        }
        return fits(Job.m_Spec.m_PerTask * Each.m_Tasks, Room);
      });
}

/// Returns whether any gang, reclaimed for this hold or not, is stopping on any
/// worker of the hold.
bool SchedulerCore::awaitsVictims(const CapacityHold &Hold) const {
  return std::any_of(
      Hold.m_Members.begin(), Hold.m_Members.end(), [this](const Member &Each) {
        const std::vector<Occupant> &Occupants =
            m_Fleet.worker(Each.m_Worker).m_Occupants;
        return std::any_of(
            Occupants.begin(), Occupants.end(), [this](const Occupant &Entry) {
              return m_Jobs[Entry.m_Job].m_Phase == JobPhase::Stopping;
            });
      });
}

/// Tries to place a job that has a hold; returns whether it was placed.
bool SchedulerCore::retryHold(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  const CapacityHold Hold = m_Holds[Job.m_HoldIndex];
  if (!holdUsable(Hold)) {
    dropHold(Index);
    Job.m_NextPlanAt = m_Now;
    return false;
  }
  if (overQuota(Job))
    return false;
  applyHold(Hold, -1);
  std::vector<Member> Members;
  std::string Reason = "the room kept for it came free";
  if (fitsOwnHold(Job, Hold))
    Members = Hold.m_Members;
  else if (m_SearchBudget > 0)
    Members = search(Index, Reason);
  applyHold(Hold, 1);
  if (!Members.empty()) {
    place(Index, std::move(Members), Reason);
    return true;
  }
  if (Hold.m_Kind == HoldKind::Reservation)
    return retryReservation(Index);
  if (!awaitsVictims(Hold)) {
    dropHold(Index);
    Job.m_NextPlanAt = m_Now + ReplanDelay;
  }
  return false;
}

/// Returns whether a gang may be reclaimed for a reservation. It must be
/// backfilled, preemptible and of effective rank Batch or below. It may be
/// reclaimed at once if it is checkpointable and idempotent, else only from the
/// expected start of the reservation on, since its work is lost.
bool SchedulerCore::mayReclaimBackfilled(
    const JobState &Candidate, const CapacityHold &Reservation) const {
  if (!Candidate.m_Backfilled || Candidate.nonPreemptible() ||
      effectiveRank(Candidate) < static_cast<int>(Urgency::Batch))
    return false;
  return (Candidate.m_Spec.m_Checkpointable && Candidate.m_Spec.m_Idempotent) ||
         m_Now >= Reservation.m_ExpectedStart;
}

/// Turns a reservation into a Reclaim hold once stopping gangs and backfilled
/// gangs that may be reclaimed would free the missing room, and reclaims the
/// latter. Drops a long overdue reservation, so that the job is planned again.
/// Returns false always, since the job is not placed here.
bool SchedulerCore::retryReservation(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  const CapacityHold Reservation = m_Holds[Job.m_HoldIndex];
  std::vector<JobIndex> Backfilled;
  bool BlockedByOthers = false;
  for (const Member &Each : Reservation.m_Members) {
    Resources Missing = m_Fleet.slot(Each.m_Worker).m_Free * -1;
    for (const Occupant &Entry : m_Fleet.worker(Each.m_Worker).m_Occupants) {
      const JobState &Candidate = m_Jobs[Entry.m_Job];
      if (fits(Missing, Resources{}))
        break;
      const bool IsStopping = Candidate.m_Phase == JobPhase::Stopping;
      if (!IsStopping && !mayReclaimBackfilled(Candidate, Reservation))
        continue;
      Missing -= Candidate.m_Spec.m_PerTask * Entry.m_Tasks;
      if (!IsStopping)
        Backfilled.push_back(Entry.m_Job);
    }
    BlockedByOthers = BlockedByOthers || !fits(Missing, Resources{});
  }
  if (!BlockedByOthers) {
    applyHold(Reservation, -1);
    m_Holds[Job.m_HoldIndex].m_Kind = HoldKind::Reclaim;
    applyHold(m_Holds[Job.m_HoldIndex], 1);
    for (const JobIndex Each : Backfilled)
      startReclaim(
          Each, absl::StrCat("it was backfilled into the reservation of job ",
                             Job.m_Id.value()));
    return false;
  }
  const Duration Planned = std::max(
      Reservation.m_ExpectedStart - Reservation.m_Since, MinReservationTime);
  if (m_Now > Reservation.m_Since + Planned * 2) {
    dropHold(Index);
    Job.m_NextPlanAt = m_Now;
  }
  return false;
}

} // namespace anvil::sched::internal
