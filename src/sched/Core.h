#ifndef ANVIL_SCHED_SRC_CORE_H
#define ANVIL_SCHED_SRC_CORE_H

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "Estimator.h"
#include "Finder.h"
#include "Fleet.h"
#include "Records.h"
#include "anvil/sched/Scheduler.h"

namespace anvil::sched::internal {

/// State and decisions of the Scheduler. Events change the state (CoreEvents,
/// CoreWorkers, CoreHealth, CoreJobs). Passes over the queue place jobs
/// (CorePass), using plans that displace gangs (CorePlan), reclaims and holds
/// (CoreReclaim) and guarantees (CoreGuarantees).
class SchedulerCore {
public:
  explicit SchedulerCore(const SchedulerOptions &Options)
      : m_Options(Options), m_Finder(m_Fleet) {}
  SchedulerCore(const SchedulerCore &) = delete;
  SchedulerCore &operator=(const SchedulerCore &) = delete;

  std::vector<SchedulerAction> step(const SchedulerEvent &Event, TimePoint Now);
  absl::StatusOr<std::string> explain(JobId Id, TimePoint Now) const;
  SchedulerCounts counts() const;
  int64_t approximateBytes() const;
  std::string findViolation() const;

private:
  /// A placement and the gangs that have to stop before it.
  struct Plan {
    std::vector<Member> m_Members{};
    std::vector<JobIndex> m_Victims{};
  };
  /// A gang shape that has not fitted since capacity last grew.
  struct FailedShape {
    WorkspaceIndex m_Workspace = 0;
    bool m_NonPreemptible = false;
    Demand m_Need{};
    /// For backfill: the expected end of the job that did not fit.
    TimePoint m_End{};
  };
  /// Workers with room for an instance of a given size, the one with the least
  /// room last.
  struct FittingWorkers {
    Resources m_Need{-1, 0, 0};
    std::vector<WorkerIndex> m_Workers{};
  };
  /// Job or worker indices ordered by due time.
  using TimerSet = std::set<std::pair<TimePoint, int32_t>>;
  /// A gang that may be displaced and the cost of doing so; negative if it is
  /// already being stopped.
  struct Victim {
    double m_Cost = 0;
    JobIndex m_Job = -1;
  };

  // Events (CoreEvents.cpp).
  void handle(const JobSubmitted &Event);
  void handle(const JobRestored &Event);
  void handle(const PlacementConfirmed &Event);
  void handle(const PlacementRefused &Event);
  void handle(const TaskStarted &Event);
  void handle(const TaskEnded &Event);
  void handle(const TaskFailed &Event);
  void handle(const JobStarted &Event);
  void handle(const JobEnded &Event);
  void handle(const JobCancelled &Event);
  void handle(const GangReleased &Event);
  void handle(const CheckpointDone &Event);
  void handle(const Tick &Event);
  // Workers, zones, configuration (CoreWorkers.cpp, CoreHealth.cpp).
  void handle(const WorkerUp &Event);
  void handle(const WorkerLost &Event);
  void handle(const WorkerDrained &Event);
  void handle(const ZoneWithdrawn &Event);
  void handle(const ZoneRestored &Event);
  void handle(const ConfigurationChanged &Event);
  void handle(const UsageReported &Event);
  void handle(const ProbeEnded &Event);

  // Jobs.
  JobIndex findJob(JobId Id) const;
  JobIndex addJob(JobId Id, const JobSpec &Spec, TimePoint SubmittedAt);
  void removeJob(JobIndex Index);
  std::string specError(const JobSpec &Spec) const;
  void enqueue(JobIndex Index);
  void dequeue(JobIndex Index);
  void delay(JobIndex Index, Duration Span, std::string Reason);
  void park(JobIndex Index, std::string Reason);
  void giveUp(JobIndex Index, std::string Reason);
  void occupy(JobIndex Index, std::vector<Member> Members);
  void vacate(JobIndex Index);
  void beginStopping(JobIndex Index, StopCause Cause);
  void handleReleased(JobIndex Index, const GangReleased &Event);
  void recordProgress(JobState &Job, bool StoppedAtCheckpoint);
  int64_t queueKey(const JobState &Job) const;
  RunTimeEstimate estimateOf(const JobState &Job) const;
  Duration remainingTime(const JobState &Job) const;
  Duration currentRunTime(const JobState &Job) const;
  TimePoint latestStart(const JobState &Job) const;
  int effectiveRank(const JobState &Job) const;
  WorkspaceIndex workspaceIndex(const WorkspaceId &Name);
  bool overQuota(const JobState &Job) const;

  // Passes (CorePass.cpp).
  void passIfDue();
  void pass();
  void tryHolds();
  void placeFromQueue();
  double queuePenalty(const Workspace &Source) const;
  bool tryPlace(JobIndex Index);
  void handleBlocked(JobIndex Index);
  std::vector<Member> search(JobIndex Index, std::string &Reason);
  std::vector<Member>
  searchWithOwnGuarantee(const JobState &Job, RoomKind Kind,
                         std::span<const WorkerIndex> Avoided);
  std::vector<Member> searchGuaranteeWorkers(const JobState &Job);
  std::vector<Member> searchBackfill(JobIndex Index);
  std::vector<WorkerIndex> avoided(const JobState &Job) const;
  void place(JobIndex Index, std::vector<Member> Members, std::string Reason);
  static bool needsAtLeast(const FailedShape &Failed, const JobState &Job);
  bool knownNotToFit(const JobState &Job) const;
  void rememberFailedShape(const JobState &Job);
  bool fitsEmptyWorkers(const JobState &Job);
  bool parkIfImpossible(JobIndex Index);
  void reviewParked();
  void capacityGrew();
  void runTimers();

  // Reclaim, reservations (CoreReclaim.cpp, CorePlan.cpp).
  bool claimGuarantee(JobIndex Index);
  bool preempt(JobIndex Index);
  bool preemptForShorterWait(JobIndex Index);
  bool replaceSmallerGangs(JobIndex Index);
  bool mayBeDisplaced(const JobState &Candidate) const;
  void startDisplacementCooldown(JobIndex Index, const Plan &Chosen);
  bool reserve(JobIndex Index);
  Plan planWithVictims(JobIndex Index, std::span<const Victim> Victims);
  std::vector<Victim> victimsFor(JobIndex Index, bool Opportunistic) const;
  std::vector<Victim> stoppingVictims() const;
  bool victimAllowed(const JobState &Job, const JobState &Candidate,
                     bool Opportunistic) const;
  double victimCost(const JobState &Candidate) const;
  bool withinGuarantee(const JobState &Candidate) const;
  std::vector<JobIndex> neededVictims(const JobState &Job,
                                      const std::vector<Member> &Members,
                                      std::span<const Victim> Victims) const;
  void commitPlan(JobIndex Index, Plan Chosen, HoldKind Kind,
                  const std::string &Reason);
  void startReclaim(JobIndex Index, const std::string &Reason);
  void continueReclaim(JobIndex Index);
  void setHold(JobIndex Index, std::vector<Member> Members, HoldKind Kind,
               TimePoint ExpectedStart);
  void dropHold(JobIndex Index);
  void applyHold(const CapacityHold &Hold, int Sign);
  bool holdUsable(const CapacityHold &Hold) const;
  bool retryHold(JobIndex Index);
  bool retryReservation(JobIndex Index);
  bool fitsOwnHold(const JobState &Job, const CapacityHold &Hold) const;
  bool awaitsVictims(const CapacityHold &Hold) const;
  double victimDelay(const JobState &Job, const Plan &Chosen);
  Plan planByExpectedEnd(JobIndex Index, Duration &Wait);
  std::vector<std::pair<WorkerIndex, Resources>>
  claimsInProgress(WorkspaceIndex Index) const;
  Plan cheapestClaim(const JobState &Job,
                     std::span<const WorkerIndex> GuaranteeWorkers,
                     const Finder::RoomFn &GuaranteeLeft) const;
  Resources roomForHold(WorkerIndex Index, HoldKind Kind) const;
  bool mayReclaimBackfilled(const JobState &Candidate,
                            const CapacityHold &Reservation) const;
  bool claimVictims(const JobState &Job, std::span<const Member> Members,
                    std::vector<JobIndex> &Victims) const;
  void dropHoldsOn(std::span<const Member> Members);

  // Guarantees (CoreGuarantees.cpp).
  void assignGuarantees();
  bool instanceKept(const ShapeInstance &Instance) const;
  bool placeInstance(ShapeInstance &Instance);
  bool placeOnOneVm(ShapeInstance &Instance, FittingWorkers &Fitting);
  void releaseInstance(ShapeInstance &Instance);
  void listGuaranteeWorkers();
  void warnMissing();
  void addOwnGuarantee(WorkspaceIndex Index, int Sign, bool NonPreemptible);

  // Workers and zones.
  void evacuate();
  void evict(int32_t ZoneIndex);
  bool usesLeavingWorker(const JobState &Job, int32_t ZoneIndex) const;
  void forgetEvidence(const JobState &Job);
  void stopGangsOn(WorkerIndex Index, StopCause Cause);
  void noteSuccess(const JobState &Job);
  void noteFailure(JobIndex Index, WorkerIndex Worker);
  int32_t countEvidence(const WorkerState &Worker) const;
  void quarantine(WorkerIndex Index);
  void probe(WorkerIndex Index);

  void emit(SchedulerAction Action) { m_Actions.push_back(std::move(Action)); }
  const std::string &vmName(WorkerIndex Index) const {
    return m_Fleet.worker(Index).m_Vm.str();
  }
  std::string explainQueued(const JobState &Job, TimePoint Now) const;
  std::string describeNeed(const JobState &Job) const;

  SchedulerOptions m_Options;
  TimePoint m_Now{};
  std::vector<SchedulerAction> m_Actions;

  Fleet m_Fleet;
  Finder m_Finder;
  Estimator m_Estimator;
  std::vector<Workspace> m_Workspaces;
  absl::flat_hash_map<WorkspaceId, WorkspaceIndex> m_WorkspaceIndex;
  std::vector<JobState> m_Jobs;
  std::vector<JobIndex> m_FreeJobs;
  absl::flat_hash_map<JobId, JobIndex> m_JobIndex;
  std::set<JobIndex> m_Placed;
  std::set<JobIndex> m_Stopping;
  std::set<JobIndex> m_Parked;
  std::vector<CapacityHold> m_Holds;
  std::vector<ShapeInstance> m_ShapeInstances;
  absl::flat_hash_map<std::string, int32_t> m_ReportedMissing;

  TimerSet m_DelayTimers;
  TimerSet m_ReclaimTimers;
  TimerSet m_ProbeTimers;

  std::vector<FailedShape> m_FailedShapes;
  std::vector<FailedShape> m_FailedBackfills;
  std::vector<Resources> m_FreedByVictims;
  bool m_Dirty = false;
  bool m_GuaranteesDirty = false;
  bool m_ReviewParked = false;
  /// Gangs may occupy draining workers or withdrawn zones.
  bool m_EvacuationNeeded = false;
  TimePoint m_LastEvacuation{};
  JobIndex m_ParkedCursor = -1;
  TimePoint m_LastPass{};
  bool m_HasPassed = false;
  int32_t m_QuarantinedCount = 0;
  int32_t m_GuaranteesMissing = 0;
  int64_t m_QueuedCount = 0;
  int64_t m_SearchBudget = 0;
  int32_t m_PreemptPlanBudget = 0;
  int32_t m_OpportunisticPlanBudget = 0;
  int32_t m_ReservePlanBudget = 0;
};

} // namespace anvil::sched::internal

#endif // ANVIL_SCHED_SRC_CORE_H
