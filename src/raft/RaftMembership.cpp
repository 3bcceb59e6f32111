#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "raft/RaftCore.h"

namespace anvil::raft::internal {

namespace {

absl::Status changeRefused(std::string_view Text) {
  return makeLayerError(absl::StatusCode::kFailedPrecondition,
                        RaftErrc::ChangeRefused, Text);
}

void insertSorted(std::vector<ReplicaId> &Ids, ReplicaId Id) {
  Ids.insert(std::lower_bound(Ids.begin(), Ids.end(), Id), Id);
}

} // namespace

void RaftCore::handle(const ChangeMembershipInput &Input) {
  if (absl::Status Error = checkChange(Input); !Error.ok()) {
    m_Output.m_Proposals.push_back({Input.m_Context, std::move(Error), 0});
    return;
  }
  const LogIndex Index =
      append(EntryKind::Membership, "", changedMembership(Input));
  m_PendingProposals.insert({Index, {Input.m_Context, m_Hard.m_Term}});
  // A membership takes effect as soon as it is in the log.
  updatePeers();
}

absl::Status RaftCore::checkChange(const ChangeMembershipInput &Change) const {
  if (m_Role != RaftRole::Leader)
    return makeLayerError(absl::StatusCode::kFailedPrecondition,
                          RaftErrc::NotLeader, "not the leader");
  if (m_TransferTarget != NoReplica)
    return makeLayerError(absl::StatusCode::kUnavailable, RaftErrc::Busy,
                          "leadership is being transferred");
  // Without the next two checks, the majorities of two memberships might not
  // overlap.
  if (!committedInOwnTerm())
    return changeRefused(
        "the leader has not committed an entry of its term yet");
  if (m_Log.membershipIndex() > m_Commit)
    return changeRefused(absl::StrCat("the membership change at index ",
                                      m_Log.membershipIndex(),
                                      " is not committed yet"));
  const Membership &Members = m_Log.membership();
  switch (Change.m_Kind) {
  case MembershipChangeKind::AddLearner:
    if (Change.m_Replica.value() <= 0)
      return changeRefused("a replica id must be positive");
    return Members.contains(Change.m_Replica)
               ? changeRefused("the replica is a member already")
               : absl::OkStatus();
  case MembershipChangeKind::PromoteLearner:
    return checkPromotion(Change.m_Replica);
  case MembershipChangeKind::RemoveReplica:
    return checkRemoval(Change.m_Replica);
  }
  return changeRefused("unknown kind of change");
}

/// Refuses a learner that lags: as a voter it would count toward the quorum
/// size before it can acknowledge new entries.
absl::Status RaftCore::checkPromotion(ReplicaId Learner) const {
  if (!m_Log.membership().isLearner(Learner))
    return changeRefused("the replica is not a learner");
  if (!hasCaughtUp(Learner))
    return changeRefused(absl::StrCat("the learner is at index ",
                                      m_Peers.at(Learner).m_Match, " of ",
                                      m_Log.lastIndex()));
  if (!wasHeardRecently(Learner))
    return changeRefused("the learner was not heard recently");
  return absl::OkStatus();
}

bool RaftCore::hasCaughtUp(ReplicaId Learner) const {
  return m_Peers.at(Learner).m_Match + m_Options.m_MaxPromotionLag >=
         m_Log.lastIndex();
}

bool RaftCore::wasHeardRecently(ReplicaId Learner) const {
  const Progress &Peer = m_Peers.at(Learner);
  return Peer.m_Match > 0 &&
         m_Now - Peer.m_LastContact < m_Options.m_ElectionTimeoutMin;
}

absl::Status RaftCore::checkRemoval(ReplicaId Replica) const {
  const Membership &Members = m_Log.membership();
  if (!Members.contains(Replica))
    return changeRefused("the replica is not a member");
  if (Members.isVoter(Replica) && Members.m_Voters.size() == 1)
    return changeRefused("the last voter cannot be removed");
  return absl::OkStatus();
}

Membership
RaftCore::changedMembership(const ChangeMembershipInput &Change) const {
  Membership Members = m_Log.membership();
  if (Change.m_Kind == MembershipChangeKind::AddLearner) {
    insertSorted(Members.m_Learners, Change.m_Replica);
    return Members;
  }
  std::erase(Members.m_Learners, Change.m_Replica);
  if (Change.m_Kind == MembershipChangeKind::PromoteLearner) {
    insertSorted(Members.m_Voters, Change.m_Replica);
  } else {
    std::erase(Members.m_Voters, Change.m_Replica);
  }
  return Members;
}

void RaftCore::handle(const TransferLeadershipInput &Input) {
  const bool Eligible = Input.m_Target != m_Options.m_Self &&
                        m_Log.membership().isVoter(Input.m_Target);
  if (m_Role != RaftRole::Leader || !Eligible || m_TransferTarget != NoReplica)
    return;
  m_TransferTarget = Input.m_Target;
  m_TransferSent = false;
  m_TransferDeadline = m_Now + m_Options.m_ElectionTimeoutMax;
}

/// Lets the target of a leadership transfer campaign once it holds the whole
/// log.
void RaftCore::continueTransfer() {
  if (m_TransferTarget == NoReplica || m_TransferSent)
    return;
  const auto Peer = m_Peers.find(m_TransferTarget);
  if (Peer == m_Peers.end()) {
    m_TransferTarget = NoReplica;
    return;
  }
  if (Peer->second.m_Match != m_Log.lastIndex())
    return;
  m_TransferSent = true;
  send(m_TransferTarget, TimeoutNow{});
}

} // namespace anvil::raft::internal
