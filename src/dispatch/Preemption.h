#ifndef ANVIL_SRC_DISPATCH_PREEMPTION_H
#define ANVIL_SRC_DISPATCH_PREEMPTION_H

#include <optional>
#include <set>
#include <vector>

#include "Placer.h"

namespace anvil::dispatch::internal {

/// How a step that can't start gets room.
struct Eviction {
  /// Runs to stop; empty if enough is being released already.
  std::vector<wire::RunRef> m_Victims;
  /// Workers on which the step will start.
  Choice m_Choice;
  /// Core seconds of work that the stops throw away.
  double m_LostCoreSeconds = 0;
};

/// Finds the cheapest set of less urgent runs whose resources make room for a
/// step.
///
/// Runs that are close to their end, or that save their progress, cost little;
/// stopping one member of a gang costs the work of all of them.
class Preemption {
public:
  Preemption(Fleet &Of, const Placer &Rules) : m_Fleet(Of), m_Rules(Rules) {}

  /// Returns how \p Count tasks of the step can get room, all in one rack if it
  /// is a rack-local gang; nothing if even stopping all less urgent runs would
  /// not do.
  std::optional<Eviction> find(const WaitingStep &Step, int32_t Count) const;
  /// Takes what is free and what is released on the chosen workers, so that
  /// nothing else is placed there.
  void reserve(const WaitingStep &Step, const Eviction &Of);

private:
  struct Victims {
    std::vector<size_t> m_Runs; ///< Indexes of WorkerView::m_Runs.
    double m_Cost = 0;
  };
  std::optional<Victims> victimsOn(const WorkerView &Worker,
                                   const WaitingStep &Step,
                                   int32_t Tasks) const;
  std::optional<Eviction> findIn(const WaitingStep &Step,
                                 const std::string &Rack, int32_t Count) const;
  double costOf(const RunView &Run) const;

  Fleet &m_Fleet;
  const Placer &m_Rules;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_PREEMPTION_H
