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

/// How long a linearizable read counts as fresh, from when it was requested.
constexpr Duration ReadFreshFor = std::chrono::seconds(1);
/// Length of a start permit, counted by the agent from when it sent the
/// heartbeat. Together with ReadFreshFor it stays below the 3 s within which a
/// withdrawn availability zone starts nothing, also with clock rates 10% apart.
constexpr Duration PermitFor = std::chrono::milliseconds(1500);
/// A change that an agent reports is proposed again after this time if the
/// state does not show it yet.
constexpr Duration ProposeAgainAfter = std::chrono::seconds(2);

/// Answers the heartbeats of the agents that hold their session with this
/// replica.
///
/// Decision code: state and time come in as arguments, commands go out through
/// a hook. Usage: noteFreshRead() after each confirmed read, handle() for each
/// heartbeat, takeHeard() for the report to the leader.
class AgentSessions {
public:
  using Propose = std::function<void(wire::Command)>;

  explicit AgentSessions(Propose Hook) : m_Propose(std::move(Hook)) {}

  /// Notes that the state held everything committed before \p RequestedAt.
  void noteFreshRead(TimePoint RequestedAt);
  /// Returns true if permits may be given at \p Now.
  bool fresh(TimePoint Now) const;
  /// Returns the answer to a heartbeat and proposes what it reports for the
  /// first time.
  wire::AgentHeartbeatReply handle(const wire::AgentHeartbeat &Heartbeat,
                                   const state::ClusterState &State,
                                   TimePoint Now);
  /// Returns the targets heard of since the last call, with their load.
  wire::SessionReport takeHeard();
  /// Forgets sessions without a heartbeat for a minute.
  void expire(TimePoint Now);
  size_t size() const { return m_Sessions.size(); }

private:
  struct Session {
    TimePoint m_LastHeartbeat;
    wire::Load m_Load;
    bool m_Heard = false;
    /// Last commands proposed for this agent, by what they report, with the
    /// time of the proposal.
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

  Propose m_Propose;
  TimePoint m_FreshRead;
  bool m_EverFresh = false;
  absl::flat_hash_map<std::string, Session> m_Sessions;
};

/// Returns the member of a placed job with that task index, or null.
const state::MemberView *findMember(const state::JobView &Job,
                                    int32_t TaskIndex);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_AGENTSESSIONS_H
