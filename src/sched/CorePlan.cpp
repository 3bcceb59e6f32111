#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

namespace {
// Waiting time after which a gang that does not fit gets a reservation: a fixed
// time for urgent and working-day work, and for other work the larger of a
// fixed time and a multiple of the estimated run time. Earlier reservations
// leave capacity idle: with 3 min for all work, 14 to 23% of the accelerators
// stayed idle on a busy day while jobs asked for them.
constexpr Duration ReserveAfterUrgent = std::chrono::seconds(10);
constexpr Duration ReserveAfterOther = std::chrono::minutes(60);
constexpr int ReserveAfterRunTimes = 4;
// Single tasks that need fewer accelerators than this get no reservation, since
// room for them becomes free soon enough.
constexpr int64_t LargeTaskAccelerators = 4;
// Largest share of any resource that all reservations together may take; a
// single reservation may exceed it.
constexpr double MaxReservedShare = 0.35;
// Least run time before a gang is displaced for shorter work, so that gangs do
// not displace each other in turn.
constexpr Duration MinRunTime = std::chrono::minutes(2);
// Time during which a gang that displaced others is not displaced itself, and
// the displaced gangs displace no others.
constexpr Duration DisplacementCooldown = std::chrono::minutes(15);
// Run time that a gang loses when it is checkpointed, moved and restarted.
constexpr double MoveCostSeconds = 10;
// A gang is displaced for shorter work only if its remaining run time is more
// than this many times that of the shorter job.
constexpr double PreemptRatio = 4;
// Largest number of gangs displaced for one job when this only shortens its
// waiting time.
constexpr size_t MaxOpportunisticVictims = 8;
// A gang replaces smaller ones only if these hold at most this percentage of
// the accelerators that it needs.
constexpr int64_t MaxReplacedPercent = 75;
// Reclaims after which a gang is no longer displaced to shorten waiting.
// Guarantees and urgent work ignore this limit.
constexpr int MaxOpportunisticReclaims = 6;
// Delay between two plans for the same job; it doubles after each plan, up to
// this many times (once for urgent jobs).
constexpr Duration FirstPlanDelay = std::chrono::milliseconds(500);
constexpr int MaxPlanDoublings = 6;
// Number of plans for a blocked job between two checks of whether empty workers
// could hold it.
constexpr int ImpossibleCheckEvery = 4;
} // namespace

/// Called for a job that does not fit: claims the guarantee of its workspace,
/// displaces other gangs or reserves capacity.
void SchedulerCore::handleBlocked(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  if (Job.m_BlockReason != BlockReason::NoRoom || m_Now < Job.m_NextPlanAt)
    return;
  if (claimGuarantee(Index))
    return;
  // A job that only waits for gangs of its own class to end needs no plan, so
  // whether a plan can succeed is checked first.
  const bool Urgent =
      effectiveRank(Job) == 0 ||
      (Job.m_Spec.m_Urgency != Urgency::WorkingDay && effectiveRank(Job) == 1);
  Job.m_NextPlanAt =
      m_Now + FirstPlanDelay *
                  (1 << std::min(Job.m_Plans, Urgent ? 1 : MaxPlanDoublings));
  if (Job.m_Plans++ % ImpossibleCheckEvery == 0 && !fitsEmptyWorkers(Job)) {
    park(Index, absl::StrCat("it needs ", describeNeed(Job),
                             ", more than the workers in service could give it "
                             "even when empty"));
    return;
  }
  if (Urgent && preempt(Index))
    return;
  if (m_Now >= Job.m_NoDisplacingUntil &&
      (preemptForShorterWait(Index) || replaceSmallerGangs(Index)))
    return;
  reserve(Index);
}

double SchedulerCore::victimCost(const JobState &Candidate) const {
  const Resources Total = Candidate.total();
  const double Size = static_cast<double>(
      std::max<int64_t>(Total.m_Accelerators, Total.m_Cores / 8 + 1));
  double Lost = MoveCostSeconds;
  if (Candidate.m_Phase == JobPhase::Placed) {
    Lost = 0;
  } else if (!Candidate.m_Spec.m_Checkpointable) {
    Lost += toSeconds(m_Now - Candidate.m_CheckpointAt);
  }
  // If it stops without a checkpoint it is given up, so it is chosen only if no
  // other gang suffices.
  if (!Candidate.m_Spec.m_Idempotent)
    Lost += 3600;
  const double ClassWeight =
      static_cast<double>(UrgencyCount - effectiveRank(Candidate));
  return (Lost + 1) * ClassWeight * Size;
}

bool SchedulerCore::withinGuarantee(const JobState &Candidate) const {
  return std::any_of(
      Candidate.m_Members.begin(), Candidate.m_Members.end(),
      [&](const Member &Each) {
        const WorkspaceUsage Own =
            m_Fleet.usageOf(Each.m_Worker, Candidate.m_Workspace);
        return !isZero(Own.m_Guaranteed) && fits(Own.m_Used, Own.m_Guaranteed);
      });
}

/// Returns whether a running gang may be displaced only to shorten waiting or
/// to use more capacity.
bool SchedulerCore::mayBeDisplaced(const JobState &Candidate) const {
  return m_Now - Candidate.m_StartedAt >= MinRunTime &&
         m_Now >= Candidate.m_ProtectedUntil;
}

bool SchedulerCore::victimAllowed(const JobState &Job,
                                  const JobState &Candidate,
                                  bool Opportunistic) const {
  if (Candidate.nonPreemptible() || Candidate.m_Phase == JobPhase::Stopping)
    return false;
  if (Candidate.m_Workspace != Job.m_Workspace && withinGuarantee(Candidate))
    return false;
  if (!Opportunistic)
    return effectiveRank(Candidate) > effectiveRank(Job) &&
           effectiveRank(Candidate) >= static_cast<int>(Urgency::Batch);
  if (Candidate.m_Phase != JobPhase::Running ||
      !Candidate.m_Spec.m_Checkpointable || !Candidate.m_Spec.m_Idempotent)
    return false;
  if (effectiveRank(Candidate) < effectiveRank(Job) ||
      !mayBeDisplaced(Candidate) ||
      Candidate.m_Reclaims >= MaxOpportunisticReclaims)
    return false;
  return toSeconds(remainingTime(Candidate)) >
         PreemptRatio * toSeconds(remainingTime(Job));
}

std::vector<SchedulerCore::Victim> SchedulerCore::stoppingVictims() const {
  std::vector<Victim> Result;
  for (const JobIndex Index : m_Stopping)
    Result.push_back({-1, Index});
  return Result;
}

std::vector<SchedulerCore::Victim>
SchedulerCore::victimsFor(JobIndex Index, bool Opportunistic) const {
  std::vector<Victim> Result = stoppingVictims();
  const JobState &Job = m_Jobs[Index];
  for (const JobIndex Each : m_Placed) {
    const JobState &Candidate = m_Jobs[Each];
    if (victimAllowed(Job, Candidate, Opportunistic))
      Result.push_back({victimCost(Candidate), Each});
  }
  std::sort(Result.begin(), Result.end(),
            [](const Victim &First, const Victim &Second) {
              return First.m_Cost != Second.m_Cost
                         ? First.m_Cost < Second.m_Cost
                         : First.m_Job < Second.m_Job;
            });
  return Result;
}

/// Finds the shortest prefix of the victims whose removal makes the job fit,
/// and in it the gangs that have to be removed for the chosen placement.
SchedulerCore::Plan
SchedulerCore::planWithVictims(JobIndex Index,
                               std::span<const Victim> Victims) {
  const JobState &Job = m_Jobs[Index];
  auto Change = [this](const JobState &Candidate, int Sign) {
    for (const Member &Each : Candidate.m_Members)
      m_FreedByVictims[Each.m_Worker] +=
          Candidate.m_Spec.m_PerTask * (int64_t{Each.m_Tasks} * Sign);
  };
  auto Search = [&] {
    addOwnGuarantee(Job.m_Workspace, 1, true);
    std::vector<Member> Found = m_Finder.find(
        Job.demand(),
        Job.nonPreemptible() ? RoomKind::NonPreemptible : RoomKind::Free,
        avoided(Job), m_FreedByVictims);
    addOwnGuarantee(Job.m_Workspace, -1, true);
    return Found;
  };
  // Applied is the number of victims counted as removed at present. Fewer than
  // Low victims are too few; High victims are enough.
  size_t Applied = 0;
  auto Apply = [&](size_t Wanted) {
    for (; Applied < Wanted; ++Applied)
      Change(m_Jobs[Victims[Applied].m_Job], 1);
    for (; Applied > Wanted; --Applied)
      Change(m_Jobs[Victims[Applied - 1].m_Job], -1);
  };
  Plan Result;
  Apply(Victims.size());
  std::vector<Member> Best = Search();
  size_t Low = 0;
  size_t High = Victims.size();
  while (!Best.empty() && Low < High) {
    const size_t Middle = Low + (High - Low) / 2;
    Apply(Middle);
    std::vector<Member> Found = Search();
    if (Found.empty()) {
      Low = Middle + 1;
    } else {
      Best = std::move(Found);
      High = Middle;
    }
  }
  Apply(0);
  Result.m_Members = std::move(Best);
  if (!Result.m_Members.empty())
    Result.m_Victims =
        neededVictims(Job, Result.m_Members, Victims.subspan(0, High));
  return Result;
}

std::vector<JobIndex>
SchedulerCore::neededVictims(const JobState &Job,
                             const std::vector<Member> &Members,
                             std::span<const Victim> Victims) const {
  absl::flat_hash_map<JobIndex, size_t> Order;
  for (size_t I = 0; I < Victims.size(); ++I)
    Order[Victims[I].m_Job] = I;
  std::vector<char> Chosen(Victims.size(), 0);
  for (const Member &Place : Members) {
    Resources Missing = Job.m_Spec.m_PerTask * Place.m_Tasks -
                        m_Fleet.slot(Place.m_Worker).m_Free;
    std::vector<std::pair<size_t, int32_t>> Here;
    for (const Occupant &Entry : m_Fleet.worker(Place.m_Worker).m_Occupants) {
      if (const auto Found = Order.find(Entry.m_Job); Found != Order.end())
        Here.emplace_back(Found->second, Entry.m_Tasks);
    }
    // Gangs that are already being stopped come first, then the cheapest ones.
    std::sort(Here.begin(), Here.end(),
              [&](const auto &First, const auto &Second) {
                const bool Left =
                    Chosen[First.first] != 0 || Victims[First.first].m_Cost < 0;
                const bool Right = Chosen[Second.first] != 0 ||
                                   Victims[Second.first].m_Cost < 0;
                return Left != Right ? Left : First.first < Second.first;
              });
    for (const auto &[Rank, Tasks] : Here) {
      if (fits(Missing, Resources{}))
        break;
      Chosen[Rank] = 1;
      Missing -= m_Jobs[Victims[Rank].m_Job].m_Spec.m_PerTask * Tasks;
    }
  }
  std::vector<JobIndex> Result;
  for (size_t I = 0; I < Victims.size(); ++I) {
    if (Chosen[I] != 0)
      Result.push_back(Victims[I].m_Job);
  }
  return Result;
}

bool SchedulerCore::preempt(JobIndex Index) {
  if (m_PreemptPlanBudget <= 0) {
    m_Jobs[Index].m_NextPlanAt = m_Now;
    return false;
  }
  const std::vector<Victim> Victims = victimsFor(Index, false);
  if (Victims.empty())
    return false;
  --m_PreemptPlanBudget;
  Plan Chosen = planWithVictims(Index, Victims);
  if (Chosen.m_Members.empty())
    return false;
  commitPlan(Index, std::move(Chosen), HoldKind::Reclaim,
             absl::StrCat("room for job ", m_Jobs[Index].m_Id.value(),
                          ", which is more urgent"));
  return true;
}

/// Prevents a displaced gang and the gang that replaced it from displacing each
/// other in turn.
void SchedulerCore::startDisplacementCooldown(JobIndex Index,
                                              const Plan &Chosen) {
  m_Jobs[Index].m_ProtectedUntil = m_Now + DisplacementCooldown;
  for (const JobIndex Each : Chosen.m_Victims)
    m_Jobs[Each].m_NoDisplacingUntil = m_Now + DisplacementCooldown;
}

double SchedulerCore::victimDelay(const JobState &Job, const Plan &Chosen) {
  double Delay = 0;
  for (const JobIndex Each : Chosen.m_Victims) {
    const JobState &Candidate = m_Jobs[Each];
    if (Candidate.m_Phase == JobPhase::Stopping)
      continue;
    Delay += MoveCostSeconds;
    // A gang that fits elsewhere is only moved; any other waits while the job
    // runs.
    if (knownNotToFit(Candidate) ||
        m_Finder.find(Candidate.demand(), RoomKind::Unguaranteed).empty())
      Delay += toSeconds(remainingTime(Job));
  }
  return Delay;
}

/// Reclaims longer gangs at a checkpoint if their total delay is less than the
/// waiting time that the job saves.
bool SchedulerCore::preemptForShorterWait(JobIndex Index) {
  JobState &Job = m_Jobs[Index];
  if (effectiveRank(Job) >= static_cast<int>(Urgency::Overnight) ||
      m_OpportunisticPlanBudget <= 0)
    return false;
  const std::vector<Victim> Victims = victimsFor(Index, true);
  // Gangs that are already being stopped are sorted first; if there are no
  // others, there is nothing to reclaim.
  if (Victims.empty() || Victims.back().m_Cost < 0)
    return false;
  --m_OpportunisticPlanBudget;
  Plan Chosen = planWithVictims(Index, Victims);
  if (Chosen.m_Members.empty() ||
      Chosen.m_Victims.size() > MaxOpportunisticVictims)
    return false;
  double SavedWait = toSeconds(Duration::max());
  for (const JobIndex Each : Chosen.m_Victims) {
    if (m_Jobs[Each].m_Phase != JobPhase::Stopping)
      SavedWait = std::min(SavedWait, toSeconds(remainingTime(m_Jobs[Each])));
  }
  if (victimDelay(Job, Chosen) >= SavedWait)
    return false;
  startDisplacementCooldown(Index, Chosen);
  commitPlan(
      Index, std::move(Chosen), HoldKind::Reclaim,
      absl::StrCat("job ", Job.m_Id.value(), " is much shorter and waits"));
  return true;
}

/// Replaces smaller movable gangs by a larger one if the larger one uses
/// clearly more accelerators. Otherwise free accelerators that are too few for
/// any waiting gang stay idle.
bool SchedulerCore::replaceSmallerGangs(JobIndex Index) {
  const JobState &Job = m_Jobs[Index];
  if (effectiveRank(Job) >= static_cast<int>(Urgency::Overnight) ||
      Job.m_Spec.m_Tasks < 2 || m_OpportunisticPlanBudget <= 0)
    return false;
  const Resources Need = Job.total();
  const Resources Limit = {Need.m_Accelerators * MaxReplacedPercent / 100,
                           Need.m_Cores, Need.m_MemoryMib};
  std::vector<Victim> Victims = stoppingVictims();
  for (const JobIndex Each : m_Placed) {
    const JobState &Candidate = m_Jobs[Each];
    const bool Movable = Candidate.m_Phase == JobPhase::Running &&
                         Candidate.m_Spec.m_Checkpointable &&
                         Candidate.m_Spec.m_Idempotent &&
                         effectiveRank(Candidate) >= effectiveRank(Job);
    const Resources Size = Candidate.total();
    if (Movable && mayBeDisplaced(Candidate) && fits(Size, Limit) &&
        (Candidate.m_Workspace == Job.m_Workspace ||
         !withinGuarantee(Candidate)))
      Victims.push_back({static_cast<double>(Size.m_Accelerators), Each});
  }
  if (Victims.empty() || Victims.back().m_Cost < 0 || Need.m_Accelerators == 0)
    return false;
  std::sort(Victims.begin(), Victims.end(),
            [](const Victim &First, const Victim &Second) {
              return First.m_Cost != Second.m_Cost
                         ? First.m_Cost < Second.m_Cost
                         : First.m_Job < Second.m_Job;
            });
  --m_OpportunisticPlanBudget;
  Plan Chosen = planWithVictims(Index, Victims);
  Resources Freed;
  for (const JobIndex Each : Chosen.m_Victims) {
    if (m_Jobs[Each].m_Phase != JobPhase::Stopping)
      Freed += m_Jobs[Each].total();
  }
  if (Chosen.m_Members.empty() || !fits(Freed, Limit))
    return false;
  startDisplacementCooldown(Index, Chosen);
  commitPlan(Index, std::move(Chosen), HoldKind::Reclaim,
             absl::StrCat("job ", Job.m_Id.value(),
                          " uses more of the accelerators that are free"));
  return true;
}

/// Reserves the workers that are expected to become free first, so that small
/// jobs cannot starve a large gang.
bool SchedulerCore::reserve(JobIndex Index) {
  const JobState &Job = m_Jobs[Index];
  const Duration Waited = m_Now - Job.m_SubmittedAt;
  Duration Needed = ReserveAfterUrgent;
  if (effectiveRank(Job) > 1)
    Needed = std::max(ReserveAfterOther,
                      estimateOf(Job).m_Median * ReserveAfterRunTimes);
  if (Waited < Needed ||
      effectiveRank(Job) >= static_cast<int>(Urgency::Overnight))
    return false;
  const bool Large =
      Job.m_Spec.m_Tasks > 1 ||
      Job.m_Spec.m_PerTask.m_Accelerators >= LargeTaskAccelerators;
  if (!Large || m_ReservePlanBudget <= 0)
    return false;
  int32_t Reservations = 0;
  Resources Reserved = Job.total();
  for (const CapacityHold &Each : m_Holds) {
    if (Each.m_Kind != HoldKind::Reservation)
      continue;
    ++Reservations;
    Reserved += m_Jobs[Each.m_Job].total();
  }
  const bool TooMuch =
      Reservations > 0 &&
      dominantShare(Reserved, m_Fleet.usableCapacity()) > MaxReservedShare;
  if (Reservations >= m_Options.m_MaxReservations || TooMuch)
    return false;
  --m_ReservePlanBudget;
  Duration Wait{};
  Plan Chosen = planByExpectedEnd(Index, Wait);
  if (Chosen.m_Members.empty())
    return false;
  setHold(Index, std::move(Chosen.m_Members), HoldKind::Reservation,
          m_Now + Wait);
  return true;
}

SchedulerCore::Plan SchedulerCore::planByExpectedEnd(JobIndex Index,
                                                     Duration &Wait) {
  std::vector<Victim> Running;
  for (const JobIndex Each : m_Placed) {
    const JobState &Candidate = m_Jobs[Each];
    Running.push_back({Candidate.m_Phase == JobPhase::Stopping
                           ? -1
                           : toSeconds(remainingTime(Candidate)),
                       Each});
  }
  std::sort(Running.begin(), Running.end(),
            [](const Victim &First, const Victim &Second) {
              return First.m_Cost != Second.m_Cost
                         ? First.m_Cost < Second.m_Cost
                         : First.m_Job < Second.m_Job;
            });
  Plan Chosen = planWithVictims(Index, Running);
  Wait = Duration::zero();
  for (const JobIndex Each : Chosen.m_Victims) {
    if (m_Jobs[Each].m_Phase != JobPhase::Stopping)
      Wait = std::max(Wait, remainingTime(m_Jobs[Each]));
  }
  return Chosen;
}

void SchedulerCore::commitPlan(JobIndex Index, Plan Chosen, HoldKind Kind,
                               const std::string &Reason) {
  setHold(Index, std::move(Chosen.m_Members), Kind, m_Now);
  m_Jobs[Index].m_BlockReason = BlockReason::AwaitingReclaim;
  for (const JobIndex Each : Chosen.m_Victims)
    startReclaim(Each, Reason);
}

} // namespace anvil::sched::internal
