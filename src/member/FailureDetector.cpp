#include "anvil/member/FailureDetector.h"

#include <algorithm>

namespace anvil::member {

void FailureDetector::watch(const VmId &Vm, TimePoint Now) {
  m_LastHeartbeat.try_emplace(Vm, Now);
}

void FailureDetector::forget(const VmId &Vm) { m_LastHeartbeat.erase(Vm); }

void FailureDetector::recordHeartbeat(const VmId &Vm, TimePoint Now) {
  const auto It = m_LastHeartbeat.find(Vm);
  if (It != m_LastHeartbeat.end())
    It->second = std::max(It->second, Now);
}

std::vector<VmId> FailureDetector::tick(TimePoint Now) {
  const Duration Gap = m_HasTicked ? Now - m_LastTick : Duration(0);
  m_LastTick = Now;
  m_HasTicked = true;
  if (Gap > m_Options.m_PauseLimit) {
    for (auto &[Vm, LastHeartbeat] : m_LastHeartbeat)
      LastHeartbeat = std::min(LastHeartbeat + Gap, Now);
    return {};
  }
  std::vector<VmId> Lost;
  for (const auto &[Vm, LastHeartbeat] : m_LastHeartbeat)
    if (Now - LastHeartbeat > m_Options.m_LostAfter)
      Lost.push_back(Vm);
  for (const VmId &Vm : Lost)
    m_LastHeartbeat.erase(Vm);
  std::sort(Lost.begin(), Lost.end());
  return Lost;
}

} // namespace anvil::member
