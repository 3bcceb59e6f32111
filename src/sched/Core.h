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
/// CoreWorkers); passes over the queue decide (CorePass), with reclaim
/// (CoreReclaim) and guarantees (CoreGuarantees) beside them.
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
  /// Result of a search that may include gangs that have to leave first.
  struct Plan {
    std::vector<Member> m_Members{};
    std::vector<JobIndex> m_Victims{};
  };
  /// A shape of gang that found no room since capacity last grew.
  struct FailedShape {
    WorkspaceIndex m_Workspace = 0;
    bool m_Pinned = false;
    Demand m_Need{};
    /// For backfill: the expected end of the job that did not fit.
    TimePoint m_End{};
  };
  /// Workers that had room for a guaranteed piece of a size, the tightest last.
  struct PieceRooms {
    Resources m_Need{-1, 0, 0};
    std::vector<WorkerIndex> m_Workers{};
  };
  /// Timers ordered by instant.
  using TimerSet = std::set<std::pair<TimePoint, int32_t>>;
  /// A gang that may be asked to leave, with the cost of doing so.
  struct Victim {
    double m_Cost = 0;
    JobIndex m_Job = -1;
  };

  // Events (CoreEvents.cpp).
  void on(const JobSubmitted &Event);
  void on(const JobRestored &Event);
  void on(const PlacementConfirmed &Event);
  void on(const PlacementRefused &Event);
  void on(const TaskStarted &Event);
  void on(const TaskEnded &Event);
  void on(const TaskFailed &Event);
  void on(const JobStarted &Event);
  void on(const JobEnded &Event);
  void on(const JobCancelled &Event);
  void on(const GangReleased &Event);
  void on(const CheckpointDone &Event);
  void on(const Tick &Event);
  // Workers, zones, configuration (CoreWorkers.cpp, CoreHealth.cpp).
  void on(const WorkerUp &Event);
  void on(const WorkerLost &Event);
  void on(const WorkerDrained &Event);
  void on(const ZoneWithdrawn &Event);
  void on(const ZoneRestored &Event);
  void on(const ConfigurationChanged &Event);
  void on(const UsageReported &Event);
  void on(const ProbeEnded &Event);

  // Jobs.
  JobIndex findJob(JobId Id) const;
  JobIndex addJob(JobId Id, const JobSpec &Spec, TimePoint SubmittedAt);
  void removeJob(JobIndex Index);
  std::string refusalOf(const JobSpec &Spec) const;
  void enqueue(JobIndex Index);
  void dequeue(JobIndex Index);
  void delay(JobIndex Index, Duration Span, std::string Reason);
  void park(JobIndex Index, std::string Reason);
  void giveUp(JobIndex Index, std::string Reason);
  void occupy(JobIndex Index, std::vector<Member> Members);
  void vacate(JobIndex Index);
  void beginStopping(JobIndex Index, StopCause Cause);
  void settleReleased(JobIndex Index, const GangReleased &Event);
  void keepProgress(Job &Target, bool StoppedAtCheckpoint);
  int64_t queueKey(const Job &Target) const;
  RunTimeEstimate estimateOf(const Job &Target) const;
  Duration remainingOf(const Job &Target) const;
  Duration ranFor(const Job &Target) const;
  TimePoint latestStart(const Job &Target) const;
  int rankOf(const Job &Target) const;
  WorkspaceIndex workspaceIndex(const WorkspaceId &Name);
  bool overQuota(const Job &Target) const;

  // Passes (CorePass.cpp).
  void maybePass();
  void pass();
  void tryHolds();
  void placeFromQueue();
  double queuePenalty(const Workspace &Source) const;
  bool tryPlace(JobIndex Index);
  void handleBlocked(JobIndex Index);
  std::vector<Member> search(JobIndex Index, std::string &Reason);
  std::vector<Member> searchOwn(const Job &Target, RoomKind Kind,
                                std::span<const WorkerIndex> Avoid);
  std::vector<Member> searchHome(const Job &Target);
  std::vector<Member> searchBackfill(JobIndex Index);
  std::vector<WorkerIndex> avoided(const Job &Target) const;
  void place(JobIndex Index, std::vector<Member> Members, std::string Reason);
  static bool implies(const FailedShape &Failed, const Job &Target);
  bool knownToFail(const Job &Target) const;
  void rememberFailure(const Job &Target);
  bool couldEverFit(const Job &Target);
  bool parkIfImpossible(JobIndex Index);
  void reviewParked();
  void capacityGrew();
  void runTimers();

  // Reclaim, reservations (CoreReclaim.cpp, CorePlan.cpp).
  bool claimGuarantee(JobIndex Index);
  bool preempt(JobIndex Index);
  bool preemptIfItPays(JobIndex Index);
  bool exchange(JobIndex Index);
  bool settled(const Job &Candidate) const;
  void settle(JobIndex Index, const Plan &Chosen);
  bool reserve(JobIndex Index);
  Plan planFreeing(JobIndex Index, std::span<const Victim> Victims);
  std::vector<Victim> victimsFor(JobIndex Index, bool Economy) const;
  std::vector<Victim> stoppingVictims() const;
  bool victimAllowed(const Job &Target, const Job &Candidate,
                     bool Economy) const;
  double victimCost(const Job &Candidate) const;
  bool withinGuarantee(const Job &Candidate) const;
  std::vector<JobIndex> neededVictims(const Job &Target,
                                      const std::vector<Member> &Members,
                                      std::span<const Victim> Victims) const;
  void commitPlan(JobIndex Index, Plan Chosen, HoldKind Kind,
                  const std::string &Reason);
  void startReclaim(JobIndex Index, const std::string &Reason);
  void continueReclaim(JobIndex Index);
  void setHold(JobIndex Index, std::vector<Member> Members, HoldKind Kind,
               TimePoint ExpectedStart);
  void dropHold(JobIndex Index);
  void applyHold(const Hold &Target, int Sign);
  bool holdUsable(const Hold &Target) const;
  bool retryHold(JobIndex Index);
  bool retryReservation(JobIndex Index);
  bool fitsOwnHold(const Job &Target, const Hold &Own) const;
  bool awaitsVictims(const Hold &Target) const;
  double harmOf(const Job &Target, const Plan &Chosen);
  Plan planByEnd(JobIndex Index, Duration &Wait);
  std::vector<std::pair<WorkerIndex, Resources>>
  claimsInProgress(WorkspaceIndex Index) const;
  Plan cheapestClaim(const Job &Target, std::span<const WorkerIndex> Homes,
                     const Finder::RoomFn &RestOf) const;
  Resources roomForHold(WorkerIndex Index, HoldKind Kind) const;
  bool mayTakeBack(const Job &Candidate, const Hold &Reservation) const;
  bool claimVictims(const Job &Target, std::span<const Member> Members,
                    std::vector<JobIndex> &Victims) const;
  void dropHoldsOn(std::span<const Member> Members);

  // Guarantees (CoreGuarantees.cpp).
  void rebuildHomes();
  bool pieceKept(const Piece &Target) const;
  bool placePiece(Piece &Target);
  bool placeOnOneVm(Piece &Target, PieceRooms &Rooms);
  void releasePiece(Piece &Target);
  void listHomes();
  void warnMissing();
  void addHomeBonus(WorkspaceIndex Index, int Sign, bool Pinned);

  // Workers and zones.
  void evacuate();
  void evict(int32_t ZoneIndex);
  bool onUnusable(const Job &Target, int32_t ZoneIndex) const;
  void forgetEvidence(const Job &Target);
  void stopGangsOn(WorkerIndex Index, StopCause Cause);
  void noteSuccess(const Job &Target);
  void noteFailure(JobIndex Index, WorkerIndex Worker);
  int32_t evidenceAgainst(const Worker &Target) const;
  void quarantine(WorkerIndex Index);
  void probe(WorkerIndex Index);

  void emit(SchedulerAction Action) { m_Actions.push_back(std::move(Action)); }
  const std::string &vmName(WorkerIndex Index) const {
    return m_Fleet.worker(Index).m_Vm.str();
  }
  std::string explainQueued(const Job &Target, TimePoint Now) const;
  std::string describeNeed(const Job &Target) const;

  SchedulerOptions m_Options;
  TimePoint m_Now{};
  std::vector<SchedulerAction> m_Actions;

  Fleet m_Fleet;
  Finder m_Finder;
  Estimator m_Estimator;
  std::vector<Workspace> m_Workspaces;
  absl::flat_hash_map<WorkspaceId, WorkspaceIndex> m_WorkspaceIndex;
  std::vector<Job> m_Jobs;
  std::vector<JobIndex> m_FreeJobs;
  absl::flat_hash_map<JobId, JobIndex> m_JobIndex;
  std::set<JobIndex> m_Placed;
  std::set<JobIndex> m_Stopping;
  std::set<JobIndex> m_Parked;
  std::vector<Hold> m_Holds;
  std::vector<Piece> m_Pieces;
  absl::flat_hash_map<std::string, int32_t> m_Warned;

  TimerSet m_DelayTimers;
  TimerSet m_ReclaimTimers;
  TimerSet m_ProbeTimers;

  std::vector<FailedShape> m_FailedShapes;
  std::vector<FailedShape> m_FailedBackfills;
  std::vector<Resources> m_Extra;
  bool m_Dirty = false;
  bool m_HomesDirty = false;
  bool m_ReviewParked = false;
  /// Gangs may be on workers that they have to leave.
  bool m_Evacuate = false;
  TimePoint m_LastEvacuation{};
  JobIndex m_ParkedCursor = -1;
  TimePoint m_LastPass{};
  bool m_AnyPass = false;
  int32_t m_QuarantinedCount = 0;
  int32_t m_GuaranteesMissing = 0;
  int64_t m_QueuedCount = 0;
  int64_t m_SearchBudget = 0;
  int32_t m_PreemptBudget = 0;
  int32_t m_EconomyBudget = 0;
  int32_t m_ReserveBudget = 0;
};

} // namespace anvil::sched::internal

#endif // ANVIL_SCHED_SRC_CORE_H
