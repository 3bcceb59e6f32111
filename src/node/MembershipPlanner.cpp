#include "anvil/node/MembershipPlanner.h"

#include <algorithm>
#include <vector>

namespace anvil::node {

namespace {

// Delay after a promotion that was refused because the learner lagged.
constexpr Duration PromotionRetryDelay = std::chrono::milliseconds(50);

MembershipChange makeChange(MembershipChange::Kind Kind,
                            raft::ReplicaId Replica, std::string_view Reason) {
  return {Kind, Replica, std::string(Reason)};
}

} // namespace

void MembershipPlanner::reset(TimePoint Now) {
  m_LeadingSince = Now;
  m_LastAnnouncements.clear();
  m_PromotionNotBefore.clear();
}

void MembershipPlanner::recordAnnouncement(raft::ReplicaId Replica,
                                           TimePoint Now) {
  m_LastAnnouncements[Replica] = Now;
}

void MembershipPlanner::promotionRefused(raft::ReplicaId Replica,
                                         TimePoint Now) {
  m_PromotionNotBefore[Replica] = Now + PromotionRetryDelay;
}

TimePoint MembershipPlanner::lastAnnouncement(raft::ReplicaId Replica) const {
  const auto It = m_LastAnnouncements.find(Replica);
  return It == m_LastAnnouncements.end() ? m_LeadingSince : It->second;
}

bool MembershipPlanner::isPresent(raft::ReplicaId Replica,
                                  TimePoint Now) const {
  return Replica == m_Options.m_Self ||
         (m_LastAnnouncements.contains(Replica) &&
          Now - lastAnnouncement(Replica) < m_Options.m_PresenceTimeout);
}

// Of two ids at one address, only the one that announced itself last is in use.
std::optional<MembershipChange> MembershipPlanner::replacedReplica(
    const raft::RaftStatus &Status,
    const std::map<int64_t, wire::ReplicaAddress> &Registered) const {
  for (const auto &[Id, Replica] : Registered)
    for (const auto &[OtherId, Other] : Registered) {
      const raft::ReplicaId Old(Id);
      const raft::ReplicaId New(OtherId);
      if (Id == OtherId || Replica.address != Other.address ||
          Old == m_Options.m_Self || !m_LastAnnouncements.contains(New) ||
          lastAnnouncement(New) <= lastAnnouncement(Old))
        continue;
      if (Status.m_Members.contains(Old))
        return makeChange(MembershipChange::Kind::Remove, Old,
                          "another replica has its address");
      return makeChange(MembershipChange::Kind::Forget, Old,
                        "another replica has its address");
    }
  return std::nullopt;
}

std::optional<raft::ReplicaId>
MembershipPlanner::silentVoter(const raft::RaftStatus &Status,
                               TimePoint Now) const {
  for (raft::ReplicaId Voter : Status.m_Members.m_Voters)
    if (Voter != m_Options.m_Self &&
        Now - lastAnnouncement(Voter) > m_Options.m_ReplaceAfter)
      return Voter;
  return std::nullopt;
}

std::optional<MembershipChange>
MembershipPlanner::promotion(const raft::RaftStatus &Status,
                             TimePoint Now) const {
  std::vector<raft::ReplicaId> Present;
  for (raft::ReplicaId Learner : Status.m_Members.m_Learners)
    if (isPresent(Learner, Now))
      Present.push_back(Learner);
  const size_t Voters = Status.m_Members.m_Voters.size();
  const std::optional<raft::ReplicaId> Silent = silentVoter(Status, Now);
  const bool Odd = Voters % 2 == 1;
  if (Present.empty() || (Odd && !Silent && Present.size() < 2))
    return std::nullopt;
  for (raft::ReplicaId Learner : Present) {
    const auto Retry = m_PromotionNotBefore.find(Learner);
    if (Retry != m_PromotionNotBefore.end() && Now < Retry->second)
      continue;
    if (Silent && Odd && Voters > 2)
      return makeChange(MembershipChange::Kind::Remove, *Silent,
                        "silent; a learner replaces it");
    return makeChange(MembershipChange::Kind::Promote, Learner, "caught up");
  }
  return std::nullopt;
}

bool MembershipPlanner::isComplete(const raft::RaftStatus &Status,
                                   TimePoint Now) const {
  const auto Voters = static_cast<int32_t>(Status.m_Members.m_Voters.size());
  return Voters >= 2 * m_Options.m_ToleratedLosses + 1 ||
         Now - m_LeadingSince >= m_Options.m_SettleTime;
}

std::optional<MembershipChange> MembershipPlanner::nextChange(
    const raft::RaftStatus &Status,
    const std::map<int64_t, wire::ReplicaAddress> &Registered,
    TimePoint Now) const {
  if (!Status.m_MembersCommitted)
    return std::nullopt;
  if (std::optional<MembershipChange> Change =
          replacedReplica(Status, Registered))
    return Change;
  if (std::optional<MembershipChange> Change = promotion(Status, Now))
    return Change;
  for (const auto &[Id, Replica] : Registered) {
    const raft::ReplicaId Each(Id);
    if (!Status.m_Members.contains(Each) && isPresent(Each, Now))
      return makeChange(MembershipChange::Kind::AddLearner, Each,
                        "announced itself");
  }
  return std::nullopt;
}

} // namespace anvil::node
