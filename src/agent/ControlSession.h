#ifndef ANVIL_SRC_AGENT_CONTROLSESSION_H
#define ANVIL_SRC_AGENT_CONTROLSESSION_H

#include <map>

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// How a heartbeat reply is used.
enum class ReplyUse {
  Ignore, ///< The heartbeat is unknown, or the replica lags behind one that
          ///< was used earlier.
  Late,   ///< A newer heartbeat was answered earlier; only acknowledgements are
          ///< used.
  Refused, ///< The replica did not accept the heartbeat.
  InForce  ///< Newest reply; its permit, assignments and leases are used.
};

/// A classified reply.
struct ReplyVerdict {
  ReplyUse m_Use = ReplyUse::Ignore;
  TimePoint m_SentAt;
};

/// Schedules heartbeats and tracks the start permit, whose time is counted from
/// when its heartbeat was sent.
class ControlSession {
public:
  explicit ControlSession(const AgentOptions &Options) : m_Options(Options) {}

  /// Returns true if a heartbeat is due, and schedules the next one.
  bool takeDue(TimePoint Now);
  /// Makes the next heartbeat due at once, but not before one retry period
  /// after the last one.
  void requestEarlyHeartbeat(TimePoint Now);
  /// Returns the sequence number of the next heartbeat.
  int64_t nextSequence() { return ++m_Sequence; }
  void sent(int64_t Sequence, TimePoint Now);
  ReplyVerdict replied(const wire::AgentHeartbeatReply &Reply, TimePoint Now);
  /// Schedules the next heartbeat. Returns true if another replica must be
  /// used.
  bool failed(int64_t Sequence, TimePoint Now);
  /// Returns true if another replica must be used because the current one
  /// refused heartbeat \p Sequence.
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
  /// Heartbeats up to this sequence number went to an earlier replica.
  int64_t m_SwitchedAt = 0;
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
