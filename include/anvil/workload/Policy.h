#ifndef ANVIL_WORKLOAD_POLICY_H
#define ANVIL_WORKLOAD_POLICY_H

#include <string_view>

#include "absl/status/status.h"

#include "anvil/base/LayerError.h"
#include "workload_types.h"

namespace anvil::workload {

/// Error codes of this layer.
enum class WorkloadErrc {
  InvalidPolicy = 1,
  InvalidSpec = 2,
  BadSnapshot = 3,
  BadCommand = 4
};

/// Checks a policy document on its own, without comparing it with the one in
/// force.
///
/// Errors: WorkloadErrc::InvalidPolicy, with the name of the offending queue,
/// service or workspace.
absl::Status checkPolicy(const wire::PolicyDocument &Policy);

/// Returns the queue that a request belongs to: the one with the same host and
/// the longest prefix of \p Path; null if there is none. Hosts are compared
/// without regard to case.
const wire::QueuePolicy *findQueue(const wire::PolicyDocument &Policy,
                                   std::string_view Host,
                                   std::string_view Path);

/// Returns where callers find the jobs that are handed in at \p Path, which may
/// end with the id of a job.
wire::JobAddress jobAddressOf(std::string_view Host, std::string_view Path);

/// Returns the queue named \p Name, or null.
const wire::QueuePolicy *queueNamed(const wire::PolicyDocument &Policy,
                                    std::string_view Name);

/// Returns the workspace that owns the API key \p Key, or null.
const wire::WorkspacePolicy *workspaceOf(const wire::PolicyDocument &Policy,
                                         std::string_view Key);

/// Returns the workspace named \p Name, or null.
const wire::WorkspacePolicy *workspaceNamed(const wire::PolicyDocument &Policy,
                                            std::string_view Name);

/// Checks the structure of a job: steps, counts, dependencies and amounts.
///
/// Errors: WorkloadErrc::InvalidSpec, with the number of the step, counted from
/// 0.
absl::Status checkSpec(const wire::WorkloadSpec &Spec);

} // namespace anvil::workload

template <> struct anvil::LayerErrorTraits<anvil::workload::WorkloadErrc> {
  static constexpr std::string_view Layer = "workload";
};

#endif // ANVIL_WORKLOAD_POLICY_H
