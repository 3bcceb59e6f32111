#ifndef ANVIL_SRC_DISPATCH_RECLAIMLIMITS_H
#define ANVIL_SRC_DISPATCH_RECLAIMLIMITS_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "Fleet.h"
#include "Guarantees.h"

namespace anvil::dispatch::internal {

/// Limits how many runs a reclaim of a guarantee may stop, over all workers.
///
/// It answers a service that is full of long-running tasks, which have a
/// disruption budget, or of urgent jobs of workspaces that exceed their
/// guarantee, which keep what their guarantee covers.
///
/// Usage: create it with the fleet of this moment, and record each stop that is
/// chosen before asking about the next.
class ReclaimLimits {
public:
  ReclaimLimits(const Fleet &PlanFleet, const Guarantees &PlanGuarantees);

  /// Returns whether the limits allow to stop the run besides the recorded
  /// ones. Of a long-running step with `maxUnavailable`, at most that many
  /// tasks may be without a started run. A run of the highest priority may be
  /// stopped only while its workspace exceeds its guarantee.
  bool allowsStop(const RunView &Run) const;
  void recordStop(const RunView &Run);
  /// Returns whether the workspace of the job exceeds its guarantee once runs
  /// of the job hold \p More accelerators besides what it holds now. Only for
  /// jobs of the highest priority.
  bool wouldExceed(const wire::JobRecord &Job, int64_t More) const;

private:
  /// Job, occurrence and step.
  using StepKey = std::tuple<const wire::JobRecord *, int32_t, int32_t>;

  static StepKey stepOf(const RunView &Run) {
    return {Run.m_Job, Run.m_Task.occurrence, Run.m_Task.step};
  }
  bool endsAnyway(const RunView &Run) const;

  const Guarantees *m_Guarantees;
  /// Tasks with a started run that is not to stop, by long-running step.
  std::map<StepKey, int32_t> m_Available;
  /// Accelerators that runs of the highest priority hold, by workspace.
  std::map<std::string, int64_t> m_Held;
  /// Gangs of which a member stops, so that the others stop too.
  std::set<StepKey> m_BrokenGangs;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_RECLAIMLIMITS_H
