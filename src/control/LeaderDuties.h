#ifndef ANVIL_SRC_CONTROL_LEADERDUTIES_H
#define ANVIL_SRC_CONTROL_LEADERDUTIES_H

#include <functional>
#include <map>
#include <span>
#include <string>

#include "SchedulerDriver.h"
#include "anvil/member/FailureDetector.h"
#include "anvil/state/ClusterState.h"

namespace anvil::control::internal {

/// Runs the tasks of the leader besides log replication: scheduling, failure
/// detection, and expiry of leases and claims.
///
/// Does no I/O. Usage: call begin() when leadership is confirmed,
/// recordHeartbeats() for each report of a replica, onStateEvent() and
/// onApplied() for changes, tick() every 100 ms, and end() when leadership is
/// lost.
class LeaderDuties {
public:
  LeaderDuties(SchedulerDriver::ProposeHook Propose,
               std::function<int64_t()> WallClockMicros);

  absl::Status begin(const state::ClusterState &State, TimePoint Now);
  void end();
  bool active() const { return m_Scheduler.active(); }

  /// Records heartbeats that a replica received from the agents on \p Vms.
  void recordHeartbeats(std::span<const std::string> Vms, TimePoint Now);
  void onStateEvent(const state::StateEvent &Event, TimePoint Now);
  void onApplied(const state::ClusterState &State, TimePoint Now);
  void tick(const state::ClusterState &State, TimePoint Now);

  const SchedulerDriver &scheduler() const { return m_Scheduler; }

private:
  void proposeIgnoringRefusal(wire::Command Command);
  void declareLost(const state::ClusterState &State, TimePoint Now);
  void expireLeases(const state::ClusterState &State, TimePoint Now);
  void expireClaims(const state::ClusterState &State, TimePoint Now);

  SchedulerDriver::ProposeHook m_Propose;
  std::function<int64_t()> m_WallClockMicros;
  SchedulerDriver m_Scheduler;
  member::FailureDetector m_Detector{{}};
  /// When this leader learned of the loss of each lost VM, by its own clock.
  std::map<VmId, TimePoint> m_LostSince;
  TimePoint m_BeganAt;
  TimePoint m_LastExpiry;
  TimePoint m_LastClaimExpiry;
};

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_LEADERDUTIES_H
