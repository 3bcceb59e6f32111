#ifndef ANVIL_BENCH_COST_H
#define ANVIL_BENCH_COST_H

#include <cstdint>
#include <vector>

namespace anvil::bench {

/// Cost of decisions at one size. Times in milliseconds of one core.
struct CostFigures {
  int64_t m_Workers = 0;
  int64_t m_Accelerators = 0;
  int64_t m_Tasks = 0;
  double m_DecisionP50 = 0;
  double m_DecisionP99 = 0;
  /// Worker records read per decision, which does not depend on the machine.
  double m_ScansPerDecision = 0;
  /// The same while jobs wait that do not fit.
  int64_t m_Backlog = 0;
  double m_BacklogP50 = 0;
  double m_BacklogP99 = 0;
  double m_BacklogScans = 0;
  double m_ZoneWithdrawn = 0;
  double m_ZoneLost = 0;
  double m_ZoneScans = 0;
  double m_CancelWave = 0;
  int64_t m_Cancelled = 0;
  double m_StateMegabytes = 0;
};

/// Measures the fleet of the full size divided by \p Divisor.
CostFigures measureCost(int Divisor, uint64_t Seed);

/// Returns the slope of log(value) over log(workers), fitted over all sizes.
double slopeOf(const std::vector<CostFigures> &Sizes,
               double CostFigures::*Value);

} // namespace anvil::bench

#endif // ANVIL_BENCH_COST_H
