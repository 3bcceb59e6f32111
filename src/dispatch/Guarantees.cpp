#include "Guarantees.h"

#include <algorithm>

namespace anvil::dispatch::internal {

namespace {

// Returns the largest number of accelerators that the job holds at a time,
// assuming that its steps run one after another.
int64_t acceleratorsOf(const wire::JobRecord &Job) {
  int64_t Most = 0;
  for (const wire::StepSpec &Step : Job.spec.steps)
    Most = std::max(Most, int64_t{Step.tasks} * Step.perTask.accelerators);
  return Most;
}

} // namespace

Guarantees::Guarantees(const workload::WorkloadState &State) {
  for (const wire::WorkspacePolicy &Each : State.policy().workspaces)
    m_Guaranteed[Each.name] = Each.guaranteed.accelerators;
  for (const auto &[Index, Id] : State.liveJobs()) {
    const wire::JobRecord &Job = *State.job(Id);
    if (Job.priority == GuaranteedPriority && !workload::hasEnded(Job.phase))
      m_Needed[Job.workspace] += acceleratorsOf(Job);
  }
}

bool Guarantees::covers(const wire::JobRecord &Job) const {
  const auto Needed = m_Needed.find(Job.workspace);
  return Job.priority == GuaranteedPriority && Needed != m_Needed.end() &&
         coversNeed(Job.workspace, Needed->second);
}

bool Guarantees::wouldCover(const wire::JobRecord &Job) const {
  const auto Needed = m_Needed.find(Job.workspace);
  const int64_t Present = Needed == m_Needed.end() ? 0 : Needed->second;
  return Job.priority == GuaranteedPriority &&
         coversNeed(Job.workspace, Present + acceleratorsOf(Job));
}

bool Guarantees::coversNeed(const std::string &Workspace,
                            int64_t Needed) const {
  const auto Guaranteed = m_Guaranteed.find(Workspace);
  return Guaranteed != m_Guaranteed.end() && Guaranteed->second > 0 &&
         Needed <= Guaranteed->second;
}

int64_t Guarantees::guaranteed(const std::string &Workspace) const {
  const auto It = m_Guaranteed.find(Workspace);
  return It == m_Guaranteed.end() ? 0 : std::max<int64_t>(0, It->second);
}

int64_t Guarantees::smallest() const {
  int64_t Result = 0;
  for (const auto &[Workspace, Each] : m_Guaranteed)
    if (Each > 0 && (Result == 0 || Each < Result))
      Result = Each;
  return Result;
}

} // namespace anvil::dispatch::internal
