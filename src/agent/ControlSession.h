#ifndef ANVIL_SRC_AGENT_CONTROLSESSION_H
#define ANVIL_SRC_AGENT_CONTROLSESSION_H

#include <map>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// How a heartbeat reply is to be used.
enum class ReplyUse {
  Ignore,  ///< Its heartbeat is not known, or the replica lags behind one used
           ///< before.
  Late,    ///< A newer heartbeat was answered before: only its acknowledgements
           ///< count.
  Refused, ///< The replica did not accept the heartbeat.
  InForce  ///< Newest reply so far: assignments and leases follow it.
};

/// A classified reply.
struct ReplyVerdict {
  ReplyUse m_Use = ReplyUse::Ignore;
  TimePoint m_SentAt;
};

/// Times heartbeats and counts the start permit from when each heartbeat was
/// sent.
class ControlSession {
public:
  explicit ControlSession(const AgentOptions &Options) : m_Options(Options) {}

  /// Returns true if a heartbeat is due, and schedules the next one.
  bool takeDue(TimePoint Now);
  /// Makes the next heartbeat due at once, or one retry period after the last
  /// one.
  void hurry(TimePoint Now);
  /// Returns the number of the next heartbeat.
  int64_t nextSequence() { return ++m_Sequence; }
  void sent(int64_t Sequence, TimePoint Now);
  ReplyVerdict replied(const wire::AgentHeartbeatReply &Reply, TimePoint Now);
  /// Schedules the reconnection; returns true if the replica is to be replaced.
  bool failed(int64_t Sequence, TimePoint Now);
  /// Returns true if the replica that refused heartbeat \p Sequence is to be
  /// replaced.
  bool switchAfterRefusal(int64_t Sequence);

  bool hasPermit(TimePoint Now) const { return Now < m_PermitEnd; }
  bool draining() const { return m_Draining; }
  int64_t configVersion() const { return m_ConfigVersion; }

private:
  Duration jittered(Duration Period) const;
  void applyPermit(const wire::AgentHeartbeatReply &Reply, TimePoint SentAt,
                   TimePoint Now);

  const AgentOptions &m_Options;
  std::map<int64_t, TimePoint> m_InFlight;
  int64_t m_Sequence = 0;
  int64_t m_LastApplied = 0;
  int64_t m_LastIndex = 0;
  int64_t m_SwitchedAt =
      0; ///< Heartbeats up to this number went to a replica that was replaced.
  int64_t m_ConfigVersion = 0;
  int m_Refusals = 0; ///< Consecutive refusals by the current replica.
  TimePoint m_NextDue;
  TimePoint m_EarliestDue; ///< One retry period after the last heartbeat.
  TimePoint m_PermitEnd;
  TimePoint m_DeniedSince;
  bool m_Denied = false;
  bool m_Draining = false;
};

} // namespace anvil::agent::internal

#endif // ANVIL_SRC_AGENT_CONTROLSESSION_H
