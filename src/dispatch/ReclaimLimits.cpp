#include "ReclaimLimits.h"

#include "Steps.h"

namespace anvil::dispatch::internal {

namespace {

// Returns how many tasks lose their run if this run stops.
int32_t stopsWith(const RunView &Run) {
  return runsTogether(*Run.m_Spec) ? Run.m_Spec->tasks : 1;
}

bool hasBudget(const wire::StepSpec &Spec) {
  return Spec.longRunning && Spec.maxUnavailable > 0;
}

} // namespace

ReclaimLimits::ReclaimLimits(const Fleet &PlanFleet,
                             const Guarantees &PlanGuarantees)
    : m_Guarantees(&PlanGuarantees) {
  for (const WorkerView &Worker : PlanFleet.workers())
    for (const RunView &Run : Worker.m_Runs)
      if (Run.m_Stopping && runsTogether(*Run.m_Spec))
        m_BrokenGangs.insert(stepOf(Run));
  for (const WorkerView &Worker : PlanFleet.workers())
    for (const RunView &Run : Worker.m_Runs) {
      if (Run.m_Stopping || endsAnyway(Run))
        continue;
      if (hasBudget(*Run.m_Spec) && Run.m_Forecast.m_Started)
        ++m_Available[stepOf(Run)];
      if (Run.m_Job->priority == GuaranteedPriority)
        m_Held[Run.m_Job->workspace] += Run.m_Amounts.accelerators;
    }
}

bool ReclaimLimits::endsAnyway(const RunView &Run) const {
  return runsTogether(*Run.m_Spec) && m_BrokenGangs.contains(stepOf(Run));
}

bool ReclaimLimits::allowsStop(const RunView &Run) const {
  if (endsAnyway(Run))
    return true;
  if (hasBudget(*Run.m_Spec)) {
    const auto Available = m_Available.find(stepOf(Run));
    const int32_t Left =
        (Available == m_Available.end() ? 0 : Available->second) -
        stopsWith(Run);
    if (Run.m_Spec->tasks - Left > Run.m_Spec->maxUnavailable)
      return false;
  }
  if (Run.m_Job->priority != GuaranteedPriority)
    return true;
  return wouldExceed(*Run.m_Job, 0);
}

bool ReclaimLimits::wouldExceed(const wire::JobRecord &Job,
                                int64_t More) const {
  const auto Held = m_Held.find(Job.workspace);
  return !m_Guarantees->covers(Job) &&
         m_Guarantees->isExceeded(
             Job.workspace, More + (Held == m_Held.end() ? 0 : Held->second));
}

void ReclaimLimits::recordStop(const RunView &Run) {
  if (endsAnyway(Run))
    return;
  if (runsTogether(*Run.m_Spec))
    m_BrokenGangs.insert(stepOf(Run));
  if (hasBudget(*Run.m_Spec))
    m_Available[stepOf(Run)] -= stopsWith(Run);
  if (Run.m_Job->priority == GuaranteedPriority)
    m_Held[Run.m_Job->workspace] -=
        int64_t{stopsWith(Run)} * Run.m_Amounts.accelerators;
}

} // namespace anvil::dispatch::internal
