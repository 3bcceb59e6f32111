#ifndef ANVIL_SRC_DISPATCH_PREEMPTION_H
#define ANVIL_SRC_DISPATCH_PREEMPTION_H

#include <optional>
#include <set>
#include <vector>

#include "Placer.h"

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
  LessUrgentRuns, ///< Also from all other less urgent runs.
};

/// Finds a cheap set of less urgent runs whose resources make room for a step.
///
/// Runs that have just started, or that save their progress, cost little.
/// Stopping one member of a gang costs the work of all members.
class Preemption {
public:
  Preemption(Fleet &PlanFleet, const Placer &PlanPlacer)
      : m_Fleet(PlanFleet), m_Placer(PlanPlacer) {}

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
                                   EvictionScope Scope) const;
  std::optional<Eviction> findIn(const WaitingStep &Step,
                                 const std::string &Rack, int32_t Count,
                                 EvictionScope Scope) const;
  static bool mayStop(const RunView &Run, const WaitingStep &Step,
                      EvictionScope Scope);
  double costOf(const RunView &Run) const;

  Fleet &m_Fleet;
  const Placer &m_Placer;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_PREEMPTION_H
