#ifndef ANVIL_SRC_NODE_ADMISSION_H
#define ANVIL_SRC_NODE_ADMISSION_H

#include <string>

#include "anvil/workload/Policy.h"
#include "workload_types.h"

namespace anvil::node::internal {

/// Decision whether a request may use the queue that it addresses.
struct Admission {
  wire::WorkloadStatus::type m_Status = wire::WorkloadStatus::OK;
  std::string m_Queue;
  /// Where the jobs of the request are found.
  wire::JobAddress m_Address;
  /// Empty for a request to an anonymous queue.
  std::string m_Workspace;
  std::string m_Reason; ///< Empty if the request was admitted.
};

/// Applies \p Policy to a request: finds its queue and checks its key.
/// NOT_READY if no policy is in force yet.
Admission admit(const wire::PolicyDocument &Policy,
                const wire::QueueAddress &Address);

/// Returns the decision as the result of a call: OK if it was admitted.
wire::WorkloadResult admissionResult(const Admission &Admitted);

/// Returns OK if an admitted request may read or cancel \p Job, which is null
/// if there is no such job.
wire::WorkloadResult checkAccess(const wire::JobRecord *Job,
                                 const Admission &Admitted);

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_ADMISSION_H
