#ifndef ANVIL_SRC_NODE_PLANPACER_H
#define ANVIL_SRC_NODE_PLANPACER_H

#include <chrono>

#include "anvil/base/Time.h"

namespace anvil::node::internal {

/// Decides when the leader makes a plan: at once after a change of the state,
/// and otherwise once in an interval.
///
/// A plan looks at all workers and waiting steps, and each agent reports
/// several times a second; a plan for each report would cost the square of the
/// number of workers. Usage: noteChange() for each change of the state; if
/// due(), make a plan and call made().
class PlanPacer {
public:
  /// Time between two plans without a change of the state. Progress of runs and
  /// workers that leave are seen with this delay.
  static constexpr Duration Interval = std::chrono::milliseconds(50);

  void reset() {
    m_Changed = true;
    m_Next = TimePoint();
  }
  void noteChange() { m_Changed = true; }
  bool due(TimePoint Now) const { return m_Changed || Now >= m_Next; }
  void made(TimePoint Now) {
    m_Changed = false;
    m_Next = Now + Interval;
  }
  /// Returns when a plan is due without a change.
  TimePoint next() const { return m_Next; }

private:
  bool m_Changed = true;
  TimePoint m_Next;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_PLANPACER_H
