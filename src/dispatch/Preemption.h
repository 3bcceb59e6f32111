#ifndef ANVIL_SRC_DISPATCH_PREEMPTION_H
#define ANVIL_SRC_DISPATCH_PREEMPTION_H

#include <optional>
#include <set>
#include <vector>

#include "Guarantees.h"
#include "Placer.h"
#include "ReclaimLimits.h"

namespace anvil::dispatch::internal {

/// Runs whose stop makes room for a step, and where the step then starts.
struct Eviction {
  /// Runs to stop; empty if enough is being released already.
  std::vector<wire::RunRef> m_Victims;
  /// Workers on which the step will start.
  StepPlacement m_Placement;
  /// Cost of the stops in core seconds: lost work, and a fixed cost for each
  /// run.
  double m_LostCoreSeconds = 0;
};

/// Where room may come from.
enum class EvictionScope {
  LentRoom,       ///< Only from runs that are being stopped already, and from
                  ///< less urgent ones on lent room.
  LessUrgentRuns, ///< Also from all other less urgent runs whose tasks end.
  LongRunning,    ///< Also from less urgent runs of long-running tasks.
  BeyondGuarantee ///< Also from runs of the highest priority of workspaces
                  ///< that exceed their guarantee.
};

/// Finds a cheap set of runs whose resources make room for a step: less urgent
/// ones, or also others from which a guarantee is reclaimed.
///
/// Runs that have just started, that save their progress, or whose tasks have
/// no result, cost little. Stopping one member of a gang costs the work of all
/// members.
class Preemption {
public:
  Preemption(Fleet &PlanFleet, const Placer &PlanPlacer,
             const Guarantees &PlanGuarantees)
      : m_Fleet(PlanFleet), m_Placer(PlanPlacer), m_Guarantees(PlanGuarantees) {
  }

  /// Returns how \p Count tasks of the step can get room, in one rack if
  /// WaitingStep::m_OneRack is set and that is possible. Returns nothing if
  /// all runs in scope together would not make enough room.
  std::optional<Eviction> find(const WaitingStep &Step, int32_t Count,
                               EvictionScope Scope) const;
  /// Takes free and released resources on the chosen workers, so that nothing
  /// else is placed there.
  void reserve(const WaitingStep &Step, const Eviction &Chosen);

private:
  struct Victims {
    std::vector<size_t> m_Runs; ///< Indexes of WorkerView::m_Runs.
    double m_Cost = 0;
  };
  std::optional<Victims> victimsOn(const WorkerView &Worker,
                                   const WaitingStep &Step, int32_t Tasks,
                                   EvictionScope Scope,
                                   std::optional<ReclaimLimits> Limits) const;
  std::optional<Eviction>
  findIn(const WaitingStep &Step, const std::string &Rack, int32_t Count,
         EvictionScope Scope, const std::optional<ReclaimLimits> &Limits) const;
  /// Returns whether the scope has runs that no narrower scope has.
  bool hasReclaimable(const WaitingStep &Step, EvictionScope Scope,
                      const std::optional<ReclaimLimits> &Limits) const;
  static bool mayStop(const RunView &Run, const WaitingStep &Step,
                      EvictionScope Scope,
                      const std::optional<ReclaimLimits> &Limits);
  double costOf(const RunView &Run) const;

  Fleet &m_Fleet;
  const Placer &m_Placer;
  const Guarantees &m_Guarantees;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_PREEMPTION_H
