#ifndef ANVIL_NODE_MEMBERSHIPPLANNER_H
#define ANVIL_NODE_MEMBERSHIPPLANNER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "anvil/base/Time.h"
#include "anvil/raft/Raft.h"
#include "workload_types.h"

namespace anvil::node {

/// Settings of a MembershipPlanner.
struct MembershipPlannerOptions {
  raft::ReplicaId m_Self;
  /// A replica counts as present if it announced itself within this time.
  Duration m_PresenceTimeout = std::chrono::milliseconds(1500);
  /// A voter that was silent for this long gives its place to a learner that
  /// has caught up. Below the time that a new machine has to become useful.
  Duration m_ReplaceAfter = std::chrono::milliseconds(2000);
  /// Replicas that may lose their disks at a time.
  int32_t m_ToleratedLosses = 0;
  /// Time for the replicas of a new group to join it. A deployment with fewer
  /// disks than the tolerated losses call for serves after it all the same.
  Duration m_SettleTime{0};
};

/// One change that the leader is to make.
struct MembershipChange {
  enum class Kind { AddLearner, Promote, Remove, Forget };
  Kind m_Kind = Kind::AddLearner;
  raft::ReplicaId m_Replica;
  std::string m_Reason;
};

/// Decides how the members of the replicated group follow the machines that
/// hold replicas.
///
/// A replica that announces itself becomes a learner and, once it has caught
/// up, a voter, as long as the number of voters stays odd: one more would bear
/// no more losses, and if the replicas are cut into halves, one half of an odd
/// group still has a majority. The learner that is left over takes the place of
/// a voter that is lost. A replica that lost its disk comes back under a new id
/// at the same address, so its former id is removed. A voter that stays silent
/// is removed only if a learner takes its place, because a smaller group bears
/// no more losses. Usage: reset() when leadership begins, recordAnnouncement()
/// for each announcement, nextChange() until it returns nothing. It reads no
/// clock and does no I/O.
class MembershipPlanner {
public:
  explicit MembershipPlanner(MembershipPlannerOptions Options)
      : m_Options(Options) {}

  /// Starts anew; all replicas count as recordAnnouncement of at \p Now.
  void reset(TimePoint Now);
  /// A replica announced itself.
  void recordAnnouncement(raft::ReplicaId Replica, TimePoint Now);
  /// A promotion was refused because the learner lags; it is tried again later.
  void promotionRefused(raft::ReplicaId Replica, TimePoint Now);

  /// Returns the nextChange change, or nothing if the group is as it should be.
  std::optional<MembershipChange>
  nextChange(const raft::RaftStatus &Status,
             const std::map<int64_t, wire::ReplicaAddress> &Registered,
             TimePoint Now) const;

  /// Returns whether a new group is complete: it keeps a majority of its voters
  /// through the tolerated losses. Before that nothing may be acknowledged,
  /// since the founder begins as the only voter.
  bool isComplete(const raft::RaftStatus &Status, TimePoint Now) const;

private:
  bool present(raft::ReplicaId Replica, TimePoint Now) const;
  TimePoint lastHeard(raft::ReplicaId Replica) const;
  std::optional<MembershipChange> replacedReplica(
      const raft::RaftStatus &Status,
      const std::map<int64_t, wire::ReplicaAddress> &Registered) const;
  std::optional<MembershipChange> promotion(const raft::RaftStatus &Status,
                                            TimePoint Now) const;
  std::optional<raft::ReplicaId> silentVoter(const raft::RaftStatus &Status,
                                             TimePoint Now) const;

  MembershipPlannerOptions m_Options;
  TimePoint m_LeadingSince;
  std::map<raft::ReplicaId, TimePoint> m_Heard;
  std::map<raft::ReplicaId, TimePoint> m_RetryPromotion;
};

} // namespace anvil::node

#endif // ANVIL_NODE_MEMBERSHIPPLANNER_H
