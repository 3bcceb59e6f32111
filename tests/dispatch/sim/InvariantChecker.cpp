#include "InvariantChecker.h"

#include "anvil/workload/WorkloadState.h"

namespace anvil::sim {

namespace {

// Time after an acknowledged cancellation within which a start that was already
// in flight may still happen.
constexpr Duration CancelGrace = std::chrono::milliseconds(3000);

} // namespace

void InvariantChecker::recordViolation(const std::string &Text) {
  if (m_Violation.empty())
    m_Violation = Text;
}

void InvariantChecker::runStarted(const wire::TaskRef &Task, int64_t Run,
                                  TimePoint Now) {
  ++m_Starts;
  const TaskKey Key = keyOf(Task);
  const std::string Name =
      workload::nameOf(Task) + " run " + std::to_string(Run);
  const auto Job = m_Jobs.find(Task.jobId);
  if (Job == m_Jobs.end()) {
    recordViolation(Name + " was started, but nobody submitted its job");
    return;
  }
  if (!m_Running[Key].empty())
    recordViolation(Name + " was started while run " +
                    std::to_string(*m_Running[Key].begin()) + " runs");
  if (m_AcknowledgedDone.contains(Key))
    recordViolation(Name + " was started after its task was done");
  const wire::WorkloadSpec &Spec = Job->second->m_Spec;
  for (const int32_t Earlier :
       Spec.steps[static_cast<size_t>(Task.step)].dependsOn)
    for (int32_t I = 0; I < Spec.steps[static_cast<size_t>(Earlier)].tasks; ++I)
      if (!m_Done.contains({Task.jobId, Task.occurrence, Earlier, I}))
        recordViolation(Name + " was started before step " +
                        std::to_string(Earlier));
  const auto Cancelled = m_Cancelled.find(Task.jobId);
  if (Cancelled != m_Cancelled.end() && Now > Cancelled->second + CancelGrace)
    recordViolation(Name + " was started after its job was cancelled");
  m_Running[Key].insert(Run);
}

void InvariantChecker::runEnded(const wire::TaskRef &Task, int64_t Run,
                                wire::RunEndKind::type Kind, TimePoint) {
  m_Running[keyOf(Task)].erase(Run);
  ++m_Ends[Kind];
  if (Kind == wire::RunEndKind::DONE)
    m_Done.insert(keyOf(Task));
}

void InvariantChecker::endAcknowledged(const wire::TaskRef &Task, int64_t Run,
                                       wire::RunEndKind::type Kind) {
  const TaskKey Key = keyOf(Task);
  if (Kind == wire::RunEndKind::DONE) {
    m_AcknowledgedDone.insert(Key);
    for (const int64_t Other : m_Running[Key])
      if (Other != Run)
        recordViolation(workload::nameOf(Task) + " was done while run " +
                        std::to_string(Other) + " runs");
  }
}

void InvariantChecker::jobCompleted(const std::string &Job) {
  const JobPlan &Plan = *m_Jobs.at(Job);
  for (size_t Step = 0; Step < Plan.m_Spec.steps.size(); ++Step)
    for (int32_t I = 0; I < Plan.m_Spec.steps[Step].tasks; ++I)
      if (!m_Done.contains({Job, 0, static_cast<int32_t>(Step), I}))
        recordViolation("job " + Job + " is shown as completed, but task " +
                        std::to_string(Step) + "." + std::to_string(I) +
                        " is not done");
}

int64_t InvariantChecker::ends(wire::RunEndKind::type Kind) const {
  const auto It = m_Ends.find(Kind);
  return It == m_Ends.end() ? 0 : It->second;
}

} // namespace anvil::sim
