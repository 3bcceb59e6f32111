#include "agent/ControlSession.h"

#include <algorithm>

namespace anvil::agent::internal {

namespace {
/// Maximum number of remembered heartbeats without a reply. Only a few are open
/// at a time.
constexpr size_t MaxInFlight = 16;
constexpr double JitterShare = 0.1;
/// One refusal is common while the agent is being registered. Two refusals, 200
/// ms apart, allow a switch to another replica before the permit of the last
/// accepted heartbeat, sent 1 s earlier, expires.
constexpr int RefusalsToSwitch = 2;
} // namespace

Duration ControlSession::jittered(Duration Period) const {
  const double Factor =
      1.0 - JitterShare + 2 * JitterShare * m_Options.m_Random();
  return Duration(
      static_cast<int64_t>(static_cast<double>(Period.count()) * Factor));
}

bool ControlSession::takeDue(TimePoint Now) {
  if (Now < m_NextDue)
    return false;
  m_NextDue = Now + jittered(m_Options.m_HeartbeatPeriod);
  m_EarliestDue = Now + m_Options.m_RetryPeriod;
  return true;
}

void ControlSession::requestEarlyHeartbeat(TimePoint Now) {
  m_NextDue = std::min(m_NextDue, std::max(Now, m_EarliestDue));
}

void ControlSession::sent(int64_t Sequence, TimePoint Now) {
  m_InFlight.emplace(Sequence, Now);
  while (m_InFlight.size() > MaxInFlight)
    m_InFlight.erase(m_InFlight.begin());
}

ReplyVerdict ControlSession::replied(const wire::AgentHeartbeatReply &Reply,
                                     TimePoint Now) {
  const auto Found = m_InFlight.find(Reply.sequence);
  if (Found == m_InFlight.end())
    return {};
  const TimePoint SentAt = Found->second;
  m_InFlight.erase(Found);
  if (Reply.sequence < m_LastApplied)
    return {ReplyUse::Late, SentAt};
  if (!Reply.accepted) {
    ++m_Refusals;
    m_NextDue = std::min(m_NextDue, Now + jittered(m_Options.m_RetryPeriod));
    return {ReplyUse::Refused, SentAt};
  }
  // A replica that lags behind the one used before must not restore assignments
  // or permits that have ended, nor acknowledge the outcome of a claim that it
  // does not know yet.
  if (Reply.renewedAtIndex < m_LastIndex) {
    m_NextDue = std::min(m_NextDue, Now + jittered(m_Options.m_RetryPeriod));
    return {ReplyUse::Ignore, SentAt};
  }
  m_Refusals = 0;
  m_LastApplied = Reply.sequence;
  m_LastIndex = Reply.renewedAtIndex;
  m_Draining = Reply.draining;
  m_ConfigVersion = std::max<int64_t>(m_ConfigVersion, Reply.configVersion);
  applyPermit(Reply, SentAt, Now);
  return {ReplyUse::InForce, SentAt};
}

void ControlSession::applyPermit(const wire::AgentHeartbeatReply &Reply,
                                 TimePoint SentAt, TimePoint Now) {
  const Duration Granted = std::clamp<Duration>(
      std::chrono::milliseconds(std::clamp<int64_t>(Reply.permitMs, 0, 60000)),
      Duration(0), m_Options.m_MaxPermit);
  m_PermitEnd = SentAt + Granted;
  if (hasPermit(Now)) {
    m_Denied = false;
    return;
  }
  if (!m_Denied)
    m_DeniedSince = Now;
  m_Denied = true;
  // A withdrawn zone can be without permits for hours. Its agents return to the
  // normal heartbeat period to limit the load on control.
  if (!m_Draining && Now - m_DeniedSince < m_Options.m_QuickRetryLimit)
    m_NextDue = std::min(m_NextDue, Now + jittered(m_Options.m_RetryPeriod));
}

bool ControlSession::failed(int64_t Sequence, TimePoint Now) {
  m_InFlight.erase(Sequence);
  if (Sequence <= m_SwitchedAt || Sequence < m_LastApplied)
    return false;
  m_SwitchedAt = m_Sequence;
  // All agents of a failed replica notice at the same time. The random delay
  // keeps them from connecting to the next one at once.
  const double Spread =
      static_cast<double>(m_Options.m_ReconnectSpread.count()) *
      m_Options.m_Random();
  m_NextDue = Now + Duration(static_cast<int64_t>(Spread));
  return true;
}

bool ControlSession::switchAfterRefusal(int64_t Sequence) {
  if (Sequence <= m_SwitchedAt || m_Refusals < RefusalsToSwitch)
    return false;
  m_Refusals = 0;
  m_SwitchedAt = m_Sequence;
  return true;
}

} // namespace anvil::agent::internal
