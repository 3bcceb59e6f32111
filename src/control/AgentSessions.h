#ifndef ANVIL_SRC_CONTROL_AGENTSESSIONS_H
#define ANVIL_SRC_CONTROL_AGENTSESSIONS_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "anvil/base/Ids.h"
#include "anvil/base/Time.h"
#include "anvil/state/ClusterState.h"
#include "anvil_types.h"

namespace anvil::control::internal {

/// Time for which a linearizable read counts as fresh, from its request.
constexpr Duration ReadValidity = std::chrono::seconds(1);
/// Duration of a start permit, which the agent counts from when it sent the
/// heartbeat. The sum with ReadValidity stays below 3 s even if clock rates
/// differ by 10%: within 3 s of a withdrawal, nothing may start any more in the
/// withdrawn availability zone.
constexpr Duration PermitDuration = std::chrono::milliseconds(1500);
/// A change reported by an agent is proposed again after this time if the state
/// does not include it yet.
constexpr Duration ProposalRetryInterval = std::chrono::seconds(2);

/// Answers the heartbeats of the agents that have their session with this
/// replica.
///
/// Does no I/O: state and time are arguments, and commands are passed to a
/// hook. Usage: call recordConfirmedRead() after each confirmed read, handle()
/// for each heartbeat, and takeReport() for the report to the leader.
class AgentSessions {
public:
  using ProposeHook = std::function<void(wire::Command)>;

  explicit AgentSessions(ProposeHook Hook) : m_Propose(std::move(Hook)) {}

  /// Records that the state includes everything committed before
  /// \p RequestedAt.
  void recordConfirmedRead(TimePoint RequestedAt);
  /// Returns true if start permits may be granted at \p Now.
  bool fresh(TimePoint Now) const;
  /// Returns the reply to a heartbeat and proposes the changes that it reports,
  /// unless they were proposed within ProposalRetryInterval.
  wire::AgentHeartbeatReply handle(const wire::AgentHeartbeat &Heartbeat,
                                   const state::ClusterState &State,
                                   TimePoint Now);
  /// Returns the targets with a heartbeat since the last call, with their load.
  wire::SessionReport takeReport();
  /// Removes sessions without a heartbeat for a minute.
  void expire(TimePoint Now);
  size_t size() const { return m_Sessions.size(); }

private:
  struct Session {
    TimePoint m_LastHeartbeat;
    wire::Load m_Load;
    bool m_HeardSinceReport = false;
    /// Time of the last proposal for this agent, by the reported change.
    std::map<std::string, TimePoint> m_Proposed;
  };

  void proposeOnce(Session &Session, const std::string &Key,
                   wire::Command Command, TimePoint Now);
  void proposeRegistration(Session &Session, const wire::TargetInfo &Target,
                           TimePoint Now);
  void proposeTaskChanges(Session &Session,
                          const wire::AgentHeartbeat &Heartbeat,
                          const state::ClusterState &State, TimePoint Now);
  void closeClaims(Session &Session, const wire::AgentHeartbeat &Heartbeat,
                   const state::ClusterState &State, TimePoint Now,
                   wire::AgentHeartbeatReply &Reply);

  ProposeHook m_Propose;
  TimePoint m_LastConfirmedRead;
  bool m_HasConfirmedRead = false;
  absl::flat_hash_map<std::string, Session> m_Sessions;
};

/// Returns the member of a placed job with that task index, or null.
const state::MemberView *findMember(const state::JobView &Job,
                                    int32_t TaskIndex);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_AGENTSESSIONS_H
