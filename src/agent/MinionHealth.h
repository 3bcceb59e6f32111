#ifndef ANVIL_SRC_AGENT_MINIONHEALTH_H
#define ANVIL_SRC_AGENT_MINIONHEALTH_H

#include "anvil/agent/AgentTypes.h"

namespace anvil::agent::internal {

/// Circuit breaker that opens after consecutive failed connections to the
/// minion.
///
/// While it is closed, requests are sent. While it is open, requests are
/// refused until a probe connects. A probe opens a connection without a
/// request, so that no caller's request is put at risk. The breaker starts
/// open, and the first probe waits for the settle time, because the agent can't
/// see the slots that requests of an earlier incarnation still use.
class MinionHealth {
public:
  explicit MinionHealth(const AgentOptions &Options)
      : m_Options(Options), m_Delay(Options.m_MinReopenDelay) {}

  bool healthy() const { return m_Closed; }
  void connected();
  /// Counts a failed connection; returns true if this opened the breaker.
  bool connectFailed(TimePoint Now);
  /// Returns true if a probe is due, and marks it as in progress.
  bool takeProbe(TimePoint Now);
  /// Applies the result of a probe; returns true if the state changed.
  bool probed(bool Reachable, TimePoint Now);

private:
  const AgentOptions &m_Options;
  bool m_Begun = false;
  bool m_Closed = false;
  bool m_Probing = false;
  int m_Failures = 0;
  Duration m_Delay;
  TimePoint m_NextProbe;
};

} // namespace anvil::agent::internal

#endif // ANVIL_SRC_AGENT_MINIONHEALTH_H
