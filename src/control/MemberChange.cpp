#include "MemberChange.h"

#include "absl/strings/str_cat.h"

#include "anvil/base/Port.h"

namespace anvil::control::internal {

namespace {

wire::CommandResult makeResult(wire::CommandStatus::type Status,
                               std::string Message) {
  wire::CommandResult Result;
  Result.status = Status;
  Result.message = std::move(Message);
  return Result;
}

bool inForce(const wire::ChangeReplicas &Change,
             const raft::Membership &Members) {
  const raft::ReplicaId Replica(Change.replicaId);
  switch (Change.kind) {
  case wire::ReplicaChange::ADD_LEARNER:
    return Members.isLearner(Replica);
  case wire::ReplicaChange::PROMOTE:
    return Members.isVoter(Replica);
  case wire::ReplicaChange::REMOVE:
    return !Members.contains(Replica);
  }
  return false;
}

} // namespace

std::string_view nameOf(wire::ReplicaChange::type Kind) {
  switch (Kind) {
  case wire::ReplicaChange::ADD_LEARNER:
    return "add";
  case wire::ReplicaChange::PROMOTE:
    return "promote";
  case wire::ReplicaChange::REMOVE:
    return "remove";
  }
  return "unknown";
}

raft::MembershipChangeKind raftKindOf(wire::ReplicaChange::type Kind) {
  if (Kind == wire::ReplicaChange::ADD_LEARNER)
    return raft::MembershipChangeKind::AddLearner;
  if (Kind == wire::ReplicaChange::PROMOTE)
    return raft::MembershipChangeKind::PromoteLearner;
  return raft::MembershipChangeKind::RemoveReplica;
}

std::optional<wire::CommandResult>
answerWithoutLogEntry(const wire::ChangeReplicas &Change,
                      const raft::RaftStatus &Status, bool HasAddress) {
  if (nameOf(Change.kind) == "unknown")
    return makeResult(wire::CommandStatus::INVALID,
                      "the kind of change is unknown");
  // The members known to a leader that has lost its quorum may be out of date.
  if (Status.m_Role != raft::RaftRole::Leader || !Status.m_MembersCommitted)
    return std::nullopt;
  if (inForce(Change, Status.m_Members))
    return makeResult(wire::CommandStatus::OK, "already in force");
  if (Change.kind == wire::ReplicaChange::ADD_LEARNER && !HasAddress)
    return makeResult(wire::CommandStatus::REFUSED,
                      absl::StrCat("replica ", Change.replicaId,
                                   " is not in --replicas of the leader; "
                                   "restart each control process with the new "
                                   "list first"));
  return std::nullopt;
}

absl::StatusOr<wire::CommandResult>
changeResult(const wire::ChangeReplicas &Change,
             absl::StatusOr<wire::CommandResult> Outcome) {
  if (layerErrorOf<raft::RaftErrc>(Outcome.status()) ==
      raft::RaftErrc::ChangeRefused)
    return makeResult(wire::CommandStatus::REFUSED,
                      std::string(Outcome.status().message()));
  if (!Outcome.ok())
    return Outcome;
  Outcome->status = wire::CommandStatus::OK;
  Outcome->message = absl::StrCat(toAbsl(nameOf(Change.kind)), " of replica ",
                                  Change.replicaId, " is committed");
  return Outcome;
}

} // namespace anvil::control::internal
