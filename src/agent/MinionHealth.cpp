#include "agent/MinionHealth.h"

#include <algorithm>
#include <utility>

namespace anvil::agent::internal {

void MinionHealth::connected() { m_Failures = 0; }

bool MinionHealth::connectFailed(TimePoint Now) {
  ++m_Failures;
  if (!m_Closed || m_Failures < m_Options.m_ConnectFailuresToOpen)
    return false;
  m_Closed = false;
  m_Delay = m_Options.m_MinReopenDelay;
  m_NextProbe = Now + m_Delay;
  return true;
}

bool MinionHealth::takeProbe(TimePoint Now) {
  if (!std::exchange(m_Begun, true))
    m_NextProbe = Now + m_Options.m_SettleTime;
  if (m_Probing || Now < m_NextProbe)
    return false;
  m_Probing = true;
  return true;
}

bool MinionHealth::probed(bool Reachable, TimePoint Now) {
  m_Probing = false;
  const bool WasClosed = m_Closed;
  if (Reachable) {
    m_Closed = true;
    m_Failures = 0;
    m_Delay = m_Options.m_MinReopenDelay;
    m_NextProbe = Now + m_Options.m_ProbePeriod;
    return !WasClosed;
  }
  const bool Opened = connectFailed(Now);
  if (!m_Closed && !Opened)
    m_Delay = std::min(m_Delay * 2, m_Options.m_MaxReopenDelay);
  m_NextProbe = Now + m_Delay;
  return Opened;
}

} // namespace anvil::agent::internal
