#ifndef ANVIL_SRC_NODE_ADMISSION_H
#define ANVIL_SRC_NODE_ADMISSION_H

#include <string>

#include "anvil/workload/Policy.h"
#include "workload_types.h"

namespace anvil::node::internal {

/// Whether a request may use the queue that it addresses.
struct Admission {
  wire::WorkloadStatus::type m_Status = wire::WorkloadStatus::OK;
  std::string m_Queue;
  /// Empty for a request to an anonymous queue.
  std::string m_Workspace;
  std::string m_Reason;
};

/// Decides by \p Policy, which must be one that is in force.
Admission admit(const wire::PolicyDocument &Policy,
                const wire::QueueAddress &Address);

/// Returns the result of a request that was not admitted, or OK.
wire::WorkloadResult refusalOf(const Admission &Admitted);

/// Decides whether an admitted request may see or cancel \p Job, which is null
/// if there is no such job.
wire::WorkloadResult accessTo(const wire::JobRecord *Job,
                              const Admission &Admitted);

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_ADMISSION_H
