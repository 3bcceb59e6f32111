#include "absl/strings/str_cat.h"

#include "Core.h"

namespace anvil::sched::internal {

std::string SchedulerCore::findViolation() const {
  std::vector<Resources> Reserved(m_Fleet.size());
  for (const JobIndex Index : m_Placed) {
    const JobState &Job = m_Jobs[Index];
    int32_t Tasks = 0;
    for (const Member &Each : Job.m_Members) {
      Tasks += Each.m_Tasks;
      Reserved[Each.m_Worker] += Job.m_Spec.m_PerTask * Each.m_Tasks;
    }
    if (Tasks != Job.m_Spec.m_Tasks)
      return absl::StrCat("job ", Job.m_Id.value(), " holds ", Tasks, " of ",
                          Job.m_Spec.m_Tasks, " members");
  }
  std::vector<Resources> Held(m_Fleet.size());
  for (const CapacityHold &Each : m_Holds) {
    for (const Member &Place : Each.m_Members)
      Held[Place.m_Worker] +=
          m_Jobs[Each.m_Job].m_Spec.m_PerTask * Place.m_Tasks;
  }
  for (WorkerIndex Index = 0; Index < m_Fleet.size(); ++Index) {
    const WorkerState &Worker = m_Fleet.worker(Index);
    if (Worker.m_Reserved != Reserved[Index])
      return absl::StrCat("the reservation of ", vmName(Index),
                          " differs from its gangs");
    if (Worker.m_Held != Held[Index])
      return absl::StrCat("the held room of ", vmName(Index),
                          " differs from the holds");
    if (anyNegative(Worker.m_Capacity - Worker.m_Reserved))
      return absl::StrCat("the capacity of ", vmName(Index), " is exceeded");
  }
  for (const ShapeInstance &Each : m_ShapeInstances) {
    for (const auto &[Worker, Amount] : Each.m_Parts) {
      // After a worker became unusable or a gang was restored, the next pass
      // assigns the instances again.
      if (!m_GuaranteesDirty &&
          anyNegative(m_Fleet.slot(Worker).m_NonPreemptibleRoom))
        return absl::StrCat("shape ", Each.m_Shape.m_Name,
                            " cannot be claimed on ", vmName(Worker));
    }
  }
  return "";
}

} // namespace anvil::sched::internal
