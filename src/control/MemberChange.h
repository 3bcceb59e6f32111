#ifndef ANVIL_SRC_CONTROL_MEMBERCHANGE_H
#define ANVIL_SRC_CONTROL_MEMBERCHANGE_H

#include <optional>
#include <string_view>

#include "absl/status/statusor.h"

#include "anvil/raft/Raft.h"
#include "anvil_types.h"

namespace anvil::control::internal {

/// Returns the name of a membership change in operator commands, or "unknown".
std::string_view nameOf(wire::ReplicaChange::type Kind);

/// Converts \p Kind to the membership change of the replicated log.
raft::MembershipChangeKind raftKindOf(wire::ReplicaChange::type Kind);

/// Returns the result of a change that needs no log entry: one that is already
/// in force, so that a repeated call is harmless, or one that must be rejected.
/// Returns nothing if the replicated log has to decide.
///
/// \p HasAddress tells whether the leader's settings contain an address of the
/// replica. A learner without one could never catch up.
std::optional<wire::CommandResult>
answerWithoutLogEntry(const wire::ChangeReplicas &Change,
                      const raft::RaftStatus &Status, bool HasAddress);

/// Converts the outcome of a membership change to the result for the caller. A
/// refusal becomes the status REFUSED. Other errors are returned unchanged, so
/// that the caller can decide whether to retry.
absl::StatusOr<wire::CommandResult>
changeResult(const wire::ChangeReplicas &Change,
             absl::StatusOr<wire::CommandResult> Outcome);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_MEMBERCHANGE_H
