#include "anvil/node/MembershipPlanner.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvil::node {

namespace {

// Delay after a promotion that was refused because the learner lagged.
constexpr Duration PromotionRetryDelay = std::chrono::milliseconds(50);

// A group does not shrink below this number of voters, even if no losses have
// to be tolerated: with fewer, one lost disk could take the only copy.
constexpr size_t MinVoters = 3;

MembershipChange makeChange(MembershipChange::Kind Kind,
                            raft::ReplicaId Replica, std::string_view Reason) {
  return {Kind, Replica, std::string(Reason)};
}

} // namespace

void MembershipPlanner::reset(TimePoint Now) {
  m_LeadingSince = Now;
  m_FirstAnnouncements.clear();
  m_LastAnnouncements.clear();
  m_Leaving.clear();
  m_PromotionNotBefore.clear();
}

void MembershipPlanner::recordAnnouncement(raft::ReplicaId Replica,
                                           TimePoint Now) {
  m_FirstAnnouncements.emplace(Replica, Now);
  m_LastAnnouncements[Replica] = Now;
  m_Leaving.erase(Replica);
}

void MembershipPlanner::recordLeaving(raft::ReplicaId Replica, TimePoint Now) {
  m_LastAnnouncements[Replica] = Now;
  m_Leaving.insert(Replica);
}

void MembershipPlanner::promotionRefused(raft::ReplicaId Replica,
                                         TimePoint Now) {
  m_PromotionNotBefore[Replica] = Now + PromotionRetryDelay;
}

size_t MembershipPlanner::toleratingVoters() const {
  return 2 * static_cast<size_t>(m_Options.m_ToleratedLosses) + 1;
}

size_t MembershipPlanner::neededVoters() const {
  return std::max(MinVoters, toleratingVoters());
}

// Silence is measured from the start of the leadership if the replica has not
// announced itself yet.
TimePoint MembershipPlanner::lastAnnouncement(raft::ReplicaId Replica) const {
  const auto It = m_LastAnnouncements.find(Replica);
  return It == m_LastAnnouncements.end() ? m_LeadingSince : It->second;
}

bool MembershipPlanner::isSilent(raft::ReplicaId Replica, Duration Limit,
                                 TimePoint Now) const {
  return Replica != m_Options.m_Self && Now - lastAnnouncement(Replica) > Limit;
}

bool MembershipPlanner::isPresent(raft::ReplicaId Replica,
                                  TimePoint Now) const {
  return Replica == m_Options.m_Self ||
         (m_LastAnnouncements.contains(Replica) &&
          !m_Leaving.contains(Replica) &&
          !isSilent(Replica, m_Options.m_PresenceTimeout, Now));
}

bool MembershipPlanner::isKnownForLong(raft::ReplicaId Replica,
                                       TimePoint Now) const {
  const auto First = m_FirstAnnouncements.find(Replica);
  return First != m_FirstAnnouncements.end() &&
         Now - First->second >= m_Options.m_ReplaceAfter;
}

// Of two ids at one address, only the one that announced itself last is in use.
std::optional<MembershipChange>
MembershipPlanner::replacedReplica(const raft::RaftStatus &Status,
                                   const Registry &Registered) const {
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

std::vector<raft::ReplicaId>
MembershipPlanner::promotable(const raft::RaftStatus &Status,
                              TimePoint Now) const {
  std::vector<raft::ReplicaId> Result;
  for (const raft::ReplicaId Learner : Status.m_PromotableLearners) {
    const auto Retry = m_PromotionNotBefore.find(Learner);
    const bool Delayed =
        Retry != m_PromotionNotBefore.end() && Now < Retry->second;
    if (isPresent(Learner, Now) && !Delayed)
      Result.push_back(Learner);
  }
  return Result;
}

// Silent voters go before leaving ones, which still vote.
std::vector<raft::ReplicaId>
MembershipPlanner::lostVoters(const raft::RaftStatus &Status,
                              TimePoint Now) const {
  std::vector<raft::ReplicaId> Silent;
  std::vector<raft::ReplicaId> Leaving;
  for (const raft::ReplicaId Voter : Status.m_Members.m_Voters) {
    if (isSilent(Voter, m_Options.m_ReplaceAfter, Now))
      Silent.push_back(Voter);
    else if (Voter != m_Options.m_Self && m_Leaving.contains(Voter))
      Leaving.push_back(Voter);
  }
  Silent.insert(Silent.end(), Leaving.begin(), Leaving.end());
  return Silent;
}

bool MembershipPlanner::keepsQuorumWithout(raft::ReplicaId Voter,
                                           const raft::RaftStatus &Status,
                                           TimePoint Now) const {
  raft::Membership Rest = Status.m_Members;
  std::erase(Rest.m_Voters, Voter);
  const auto Heard = std::count_if(
      Rest.m_Voters.begin(), Rest.m_Voters.end(), [&](raft::ReplicaId Each) {
        return !isSilent(Each, m_Options.m_ReplaceAfter, Now);
      });
  return static_cast<size_t>(Heard) >= Rest.quorum();
}

// An odd group gains nothing by the removal of one lost voter, which could
// return: it tolerates as many losses with it as without it.
std::optional<MembershipChange>
MembershipPlanner::removal(const raft::RaftStatus &Status,
                           TimePoint Now) const {
  const std::vector<raft::ReplicaId> Lost = lostVoters(Status, Now);
  if (Lost.empty() || !keepsQuorumWithout(Lost.front(), Status, Now))
    return std::nullopt;
  const size_t Voters = Status.m_Members.m_Voters.size();
  const bool Odd = Voters % 2 == 1;
  const bool Shrinks = Voters > neededVoters() && (!Odd || Lost.size() > 1);
  const bool Replaces =
      Odd && Voters >= MinVoters && !promotable(Status, Now).empty();
  if (!Replaces && !Shrinks)
    return std::nullopt;
  const bool Leaving = m_Leaving.contains(Lost.front());
  return makeChange(MembershipChange::Kind::Remove, Lost.front(),
                    absl::StrCat(Leaving ? "leaving" : "silent",
                                 Replaces ? "; a learner replaces it"
                                          : "; the others suffice"));
}

// An odd group grows by two voters at a time. Beyond the number that it needs
// it grows only if every voter was heard recently and the learners have stayed
// for a while, since a machine that has just been added may be the successor of
// one whose loss is not noticed yet.
bool MembershipPlanner::mayGrow(const raft::RaftStatus &Status,
                                const std::vector<raft::ReplicaId> &Learners,
                                TimePoint Now) const {
  if (Learners.size() < 2)
    return false;
  const std::vector<raft::ReplicaId> &Voters = Status.m_Members.m_Voters;
  if (Voters.size() < neededVoters())
    return true;
  const auto Known = std::count_if(
      Learners.begin(), Learners.end(),
      [&](raft::ReplicaId Each) { return isKnownForLong(Each, Now); });
  return Known >= 2 &&
         std::all_of(Voters.begin(), Voters.end(), [&](raft::ReplicaId Each) {
           return isPresent(Each, Now);
         });
}

std::optional<MembershipChange>
MembershipPlanner::promotion(const raft::RaftStatus &Status,
                             TimePoint Now) const {
  const std::vector<raft::ReplicaId> Learners = promotable(Status, Now);
  const bool Odd = Status.m_Members.m_Voters.size() % 2 == 1;
  if (Learners.empty() || (Odd && !mayGrow(Status, Learners, Now)))
    return std::nullopt;
  return makeChange(MembershipChange::Kind::Promote, Learners.front(),
                    "caught up");
}

std::optional<MembershipChange>
MembershipPlanner::addition(const raft::RaftStatus &Status,
                            const Registry &Registered, TimePoint Now) const {
  for (const auto &[Id, Replica] : Registered) {
    const raft::ReplicaId Each(Id);
    if (!Status.m_Members.contains(Each) && isPresent(Each, Now))
      return makeChange(MembershipChange::Kind::AddLearner, Each,
                        "announced itself");
  }
  return std::nullopt;
}

std::optional<MembershipChange>
MembershipPlanner::cleanup(const raft::RaftStatus &Status,
                           const Registry &Registered, TimePoint Now) const {
  for (const raft::ReplicaId Learner : Status.m_Members.m_Learners)
    if (isSilent(Learner, m_Options.m_ForgetAfter, Now))
      return makeChange(MembershipChange::Kind::Remove, Learner,
                        "silent without a vote");
  for (const auto &[Id, Replica] : Registered) {
    const raft::ReplicaId Each(Id);
    if (!Status.m_Members.contains(Each) &&
        isSilent(Each, m_Options.m_ForgetAfter, Now))
      return makeChange(MembershipChange::Kind::Forget, Each,
                        "silent and not a member");
  }
  return std::nullopt;
}

bool MembershipPlanner::isComplete(const raft::RaftStatus &Status,
                                   TimePoint Now) const {
  return Status.m_Members.m_Voters.size() >= toleratingVoters() ||
         Now - m_LeadingSince >= m_Options.m_SettleTime;
}

std::optional<MembershipChange>
MembershipPlanner::nextChange(const raft::RaftStatus &Status,
                              const Registry &Registered, TimePoint Now) const {
  if (!Status.m_MembersCommitted)
    return std::nullopt;
  std::optional<MembershipChange> Change = replacedReplica(Status, Registered);
  if (!Change)
    Change = removal(Status, Now);
  if (!Change)
    Change = promotion(Status, Now);
  if (!Change)
    Change = addition(Status, Registered, Now);
  if (!Change)
    Change = cleanup(Status, Registered, Now);
  return Change;
}

} // namespace anvil::node
