#ifndef ANVIL_SRC_NODE_PLANPACER_H
#define ANVIL_SRC_NODE_PLANPACER_H

#include <chrono>

#include "anvil/base/Time.h"

namespace anvil::node::internal {

/// Limits how often the leader plans: immediately after a change of the state,
/// and otherwise once in an interval.
///
/// A plan visits all workers and waiting steps, and each agent reports several
/// times a second, so a plan for each report would cost the square of the
/// number of workers. Usage: call noteChange() after each change of the state;
/// when due() returns true, plan and call notePlan().
class PlanPacer {
public:
  /// Time between two plans without a change of the state. The leader notices
  /// progress of runs and departing workers with this delay.
  static constexpr Duration Interval = std::chrono::milliseconds(50);

  void reset() {
    m_Changed = true;
    m_NextPlan = TimePoint();
  }
  void noteChange() { m_Changed = true; }
  bool due(TimePoint Now) const { return m_Changed || Now >= m_NextPlan; }
  void notePlan(TimePoint Now) {
    m_Changed = false;
    m_NextPlan = Now + Interval;
  }
  /// Returns when the next plan is due if the state does not change.
  TimePoint nextPlan() const { return m_NextPlan; }

private:
  bool m_Changed = true;
  TimePoint m_NextPlan;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_PLANPACER_H
