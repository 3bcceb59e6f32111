#ifndef ANVIL_SRC_CONTROL_MEMBERCHANGE_H
#define ANVIL_SRC_CONTROL_MEMBERCHANGE_H

#include <optional>
#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/raft/Raft.h"
#include "anvil_types.h"

namespace anvil::control::internal {

/// Returns the name of a change of the control group as operators write it.
std::string_view nameOf(wire::ReplicaChange::type Kind);

/// Returns the membership change of the replicated log for \p Kind.
raft::MembershipChangeKind raftKindOf(wire::ReplicaChange::type Kind);

/// Returns the answer to a change that needs no entry in the log: one that is
/// already in force, so that a repeated call is harmless, or one that must not
/// be tried. Returns nothing if the replicated log is to decide.
///
/// \p HasAddress tells whether the leader's settings have an address of the
/// replica. Without one a learner could never catch up.
std::optional<wire::CommandResult>
answerUnchanged(const wire::ChangeReplicas &Change,
                const raft::RaftStatus &Status, bool HasAddress);

/// Turns the outcome of a membership change into the result for the caller; a
/// refusal has the status REFUSED. Other errors are returned as they are, so
/// that the caller can tell whether to repeat the change.
absl::StatusOr<wire::CommandResult>
changeResult(const wire::ChangeReplicas &Change,
             absl::StatusOr<wire::CommandResult> Outcome);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_MEMBERCHANGE_H
