#ifndef ANVIL_SRC_DISPATCH_PLANNER_H
#define ANVIL_SRC_DISPATCH_PLANNER_H

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Backlog.h"
#include "DelayCost.h"
#include "FairShare.h"
#include "Fleet.h"
#include "Guarantees.h"
#include "JobRank.h"
#include "Placer.h"
#include "Preemption.h"
#include "RunMover.h"
#include "RunTracker.h"
#include "anvil/dispatch/Dispatcher.h"

namespace anvil::dispatch::internal {

/// Makes one plan: which waiting steps start where, and which runs stop to make
/// room or to continue elsewhere.
///
/// Usage: create it with the fleet of this moment, call the functions in
/// the order of their declarations, and take the commands. It changes the fleet
/// as it decides.
class Planner {
public:
  Planner(const workload::WorkloadState &State, Fleet &PlanFleet,
          const DispatchOptions &Options, const RunTracker &Tracker,
          const JobRank &Rank, bool Settled, TimePoint Now)
      : m_Fleet(PlanFleet), m_Options(Options), m_Tracker(Tracker),
        m_Rank(Rank), m_Settled(Settled), m_Now(Now), m_Guarantees(State),
        m_Placer(PlanFleet, Options.m_RemotePenalty),
        m_Preemption(PlanFleet, m_Placer, m_Guarantees),
        m_DelayCost(Rank, Tracker, Now) {}

  /// Stops runs that have not started on workers of withdrawn zones. Their
  /// start orders would otherwise be repeated until the worker answers.
  void stopUnstartedInWithdrawnZones();
  /// Stops runs on workers that leave before they end, once all workers are
  /// known: the forecast of a gang needs the progress of all of its members.
  void moveOffDrainingWorkers(const RunMover &Mover) {
    if (m_Settled)
      move(Mover.findOnDrainingWorkers(m_Fleet));
  }
  /// Starts the steps for which there is room, the most urgent ones first, and
  /// makes room for others or reserves it. Adds all of them to \p Waiting in
  /// this order.
  void placeAll(std::vector<WaitingStep> Steps, Backlog &Waiting);
  /// Stops runs that make no progress, or would end sooner on other workers.
  void moveStalledOrSlow(const RunMover &Mover) {
    move(Mover.findStalledOrSlow(m_Fleet));
  }
  /// Returns the steps that wait because of their workspace's share, after
  /// placeAll(); a job may occur several times.
  const std::vector<ShareYield> &yields() const { return m_Yields; }
  /// Returns the decisions in the order in which they apply.
  std::vector<wire::WorkloadCommand> takeCommands() {
    return std::move(m_Commands);
  }

private:
  void move(const std::vector<Move> &Moves);
  std::vector<RankedStep> rankSteps(std::vector<WaitingStep> Steps,
                                    Backlog &Waiting) const;
  std::set<const wire::JobRecord *>
  findYieldingToGuarantees(const std::vector<WaitingStep> &Steps) const;
  void place(WaitingStep Step);
  void placeGang(const WaitingStep &Step);
  void placeTasks(const WaitingStep &Step);
  bool isHeldBackTooLong(const WaitingStep &Step) const;
  bool isMostlyFree(const std::string &Service) const;
  void startChosen(const WaitingStep &Step, const StepPlacement &Chosen,
                   std::string_view Reason);
  void makeRoom(const WaitingStep &Step, int32_t Count);
  std::optional<Eviction> findReclaim(const WaitingStep &Step,
                                      int32_t Count) const;
  bool isFreeNow(const WaitingStep &Step, const Eviction &Found) const;
  bool mayEvict(const WaitingStep &Step, const Eviction &Found);
  void reserve(const WaitingStep &Step);
  /// When and where a gang, or one more task of another step, can start if only
  /// runs that are about to end make room.
  struct PlannedStart {
    TimePoint m_At;
    /// Index of the worker and number of tasks there.
    std::vector<std::pair<size_t, int32_t>> m_TaskCounts;
  };
  std::optional<PlannedStart> findPlannedStart(const WaitingStep &Step) const;
  std::optional<TimePoint>
  findReservation(const WaitingStep &Step, const std::string &Rack,
                  std::vector<std::pair<size_t, int32_t>> &TaskCounts) const;
  bool fitsAt(const WaitingStep &Step, const std::string &Rack, TimePoint When,
              std::vector<std::pair<size_t, int32_t>> &TaskCounts) const;
  void stop(const std::vector<wire::RunRef> &Runs, std::string_view Reason);

  Fleet &m_Fleet;
  const DispatchOptions &m_Options;
  const RunTracker &m_Tracker;
  const JobRank &m_Rank;
  /// All workers are known; without that nothing is stopped to make room.
  const bool m_Settled;
  TimePoint m_Now;
  Guarantees m_Guarantees;
  Placer m_Placer;
  Preemption m_Preemption;
  DelayCost m_DelayCost;
  int m_Reservations = 0;
  /// Lowest priority (highest number) of a step that has a reservation.
  int32_t m_LeastUrgentReserving = 0;
  /// While not settled: the priority of the first step that found no room. Less
  /// urgent steps must not take what more workers will offer.
  std::optional<int32_t> m_WaitingPriority;
  std::vector<wire::WorkloadCommand> m_Commands;
  int32_t m_StartedTasks = 0;
  std::vector<ShareYield> m_Yields;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_PLANNER_H
