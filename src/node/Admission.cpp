#include "Admission.h"

namespace anvil::node::internal {

namespace {

Admission refused(wire::WorkloadStatus::type Status, std::string_view Reason) {
  Admission Result;
  Result.m_Status = Status;
  Result.m_Reason = std::string(Reason);
  return Result;
}

} // namespace

Admission admit(const wire::PolicyDocument &Policy,
                const wire::QueueAddress &Address) {
  if (Policy.version == 0)
    return refused(wire::WorkloadStatus::NOT_READY, "no policy is in force");
  const wire::QueuePolicy *Queue =
      workload::findQueue(Policy, Address.host, Address.path);
  if (!Queue)
    return refused(wire::WorkloadStatus::NO_QUEUE, "no such queue");
  Admission Result;
  Result.m_Queue = Queue->name;
  Result.m_Address = workload::jobAddressOf(Address.host, Address.path);
  const wire::WorkspacePolicy *Workspace =
      workload::workspaceOf(Policy, Address.key);
  if (Workspace)
    Result.m_Workspace = Workspace->name;
  else if (!Queue->anonymous)
    return refused(wire::WorkloadStatus::UNAUTHORIZED, "unknown key");
  return Result;
}

wire::WorkloadResult admissionResult(const Admission &Admitted) {
  wire::WorkloadResult Result;
  Result.status = Admitted.m_Status;
  Result.message = Admitted.m_Reason;
  return Result;
}

wire::WorkloadResult checkAccess(const wire::JobRecord *Job,
                                 const Admission &Admitted) {
  wire::WorkloadResult Result;
  Result.status = wire::WorkloadStatus::OK;
  if (!Job || !(Job->address == Admitted.m_Address)) {
    Result.status = wire::WorkloadStatus::NO_JOB;
    Result.message = "no such job at this address";
  } else if (!Job->workspace.empty() &&
             Job->workspace != Admitted.m_Workspace) {
    Result.status = wire::WorkloadStatus::FORBIDDEN;
    Result.message = "the job belongs to another workspace";
  }
  return Result;
}

} // namespace anvil::node::internal
