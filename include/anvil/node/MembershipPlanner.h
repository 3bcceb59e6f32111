#ifndef ANVIL_NODE_MEMBERSHIPPLANNER_H
#define ANVIL_NODE_MEMBERSHIPPLANNER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/raft/Raft.h"
#include "workload_types.h"

namespace anvil::node {

/// Settings of a MembershipPlanner.
struct MembershipPlannerOptions {
  /// The leader that uses the planner.
  raft::ReplicaId m_Self;
  /// A replica counts as present if it announced itself within this time.
  Duration m_PresenceTimeout = std::chrono::milliseconds(1500);
  /// A voter that was silent for this long is lost: a learner that has caught
  /// up replaces it, or the group shrinks to the voters that m_ToleratedLosses
  /// needs. A learner must be known for as long before the group grows beyond
  /// that number.
  Duration m_ReplaceAfter = std::chrono::milliseconds(2000);
  /// A replica without a vote that was silent for this long leaves the group.
  Duration m_ForgetAfter = std::chrono::seconds(10);
  /// Number of replicas that may lose their disks at the same time.
  int32_t m_ToleratedLosses = 0;
  /// Time for the replicas of a new group to join it. After it, a deployment
  /// with fewer disks than m_ToleratedLosses requires serves nevertheless.
  Duration m_SettleTime{0};
};

/// A change of the members that the leader has to make.
struct MembershipChange {
  enum class Kind {
    AddLearner,
    Promote, ///< Makes a learner a voter.
    Remove,  ///< Removes a voter or learner.
    Forget   ///< Deletes the address of a replica that is not a member.
  };
  Kind m_Kind = Kind::AddLearner;
  raft::ReplicaId m_Replica;
  std::string m_Reason; ///< For the log.
};

/// Decides which replicas are members of the Raft group.
///
/// A replica that announces itself becomes a learner and, once it has caught
/// up, a voter, as long as the number of voters stays odd: one more voter would
/// tolerate no more losses, and if a network partition splits the replicas into
/// halves, an even group has no majority on either side.
///
/// A voter is lost if it is silent or said that it leaves. Every lost voter
/// that stays in the group takes one tolerated loss from it, so:
/// - A learner that has caught up replaces it. This goes before growth.
/// - Without such a learner it is removed only if the others tolerate more
///   losses then, and never below the number of voters that keep a majority
///   through the tolerated losses.
/// - The group grows beyond that number only while no voter is lost.
///
/// A replica that lost its disk returns under a new id at the same address, so
/// its former id is removed. Replicas without a vote are removed after a longer
/// silence, so that replaced machines leave no trace.
///
/// Usage: reset() when leadership begins, recordAnnouncement() and
/// recordLeaving() for each announcement, nextChange() until it returns
/// nothing. It reads no clock and does no I/O.
class MembershipPlanner {
public:
  explicit MembershipPlanner(MembershipPlannerOptions Options)
      : m_Options(Options) {}

  /// Forgets all announcements; silence of a replica is measured from \p Now.
  void reset(TimePoint Now);
  /// Records that \p Replica announced itself at \p Now.
  void recordAnnouncement(raft::ReplicaId Replica, TimePoint Now);
  /// Records that \p Replica said at \p Now that its process ends soon. It
  /// counts as lost until it announces itself again.
  void recordLeaving(raft::ReplicaId Replica, TimePoint Now);
  /// Delays the next promotion of \p Replica, since the leader refused one.
  void promotionRefused(raft::ReplicaId Replica, TimePoint Now);

  /// Returns the next change, or nothing if no change is due or the last one
  /// is not committed. \p Registered holds the known replicas by id.
  std::optional<MembershipChange>
  nextChange(const raft::RaftStatus &Status,
             const std::map<int64_t, wire::ReplicaAddress> &Registered,
             TimePoint Now) const;

  /// Returns whether the group has enough voters to keep a majority through the
  /// tolerated losses, or the settle time is over. Until then commands must not
  /// be acknowledged, since the founder starts as the only voter.
  bool isComplete(const raft::RaftStatus &Status, TimePoint Now) const;

private:
  using Registry = std::map<int64_t, wire::ReplicaAddress>;

  /// Returns the number of voters that keep a majority through the tolerated
  /// losses.
  size_t toleratingVoters() const;
  /// Returns the number of voters below which the group does not shrink.
  size_t neededVoters() const;
  bool isPresent(raft::ReplicaId Replica, TimePoint Now) const;
  bool isSilent(raft::ReplicaId Replica, Duration Limit, TimePoint Now) const;
  bool isKnownForLong(raft::ReplicaId Replica, TimePoint Now) const;
  TimePoint lastAnnouncement(raft::ReplicaId Replica) const;
  std::optional<MembershipChange>
  replacedReplica(const raft::RaftStatus &Status,
                  const Registry &Registered) const;
  std::vector<raft::ReplicaId> promotable(const raft::RaftStatus &Status,
                                          TimePoint Now) const;
  std::vector<raft::ReplicaId> lostVoters(const raft::RaftStatus &Status,
                                          TimePoint Now) const;
  bool keepsQuorumWithout(raft::ReplicaId Voter, const raft::RaftStatus &Status,
                          TimePoint Now) const;
  bool mayGrow(const raft::RaftStatus &Status,
               const std::vector<raft::ReplicaId> &Learners,
               TimePoint Now) const;
  std::optional<MembershipChange> removal(const raft::RaftStatus &Status,
                                          TimePoint Now) const;
  std::optional<MembershipChange> promotion(const raft::RaftStatus &Status,
                                            TimePoint Now) const;
  std::optional<MembershipChange> addition(const raft::RaftStatus &Status,
                                           const Registry &Registered,
                                           TimePoint Now) const;
  std::optional<MembershipChange> cleanup(const raft::RaftStatus &Status,
                                          const Registry &Registered,
                                          TimePoint Now) const;

  MembershipPlannerOptions m_Options;
  TimePoint m_LeadingSince;
  std::map<raft::ReplicaId, TimePoint> m_FirstAnnouncements;
  std::map<raft::ReplicaId, TimePoint> m_LastAnnouncements;
  std::set<raft::ReplicaId> m_Leaving;
  std::map<raft::ReplicaId, TimePoint> m_PromotionNotBefore;
};

} // namespace anvil::node

#endif // ANVIL_NODE_MEMBERSHIPPLANNER_H
