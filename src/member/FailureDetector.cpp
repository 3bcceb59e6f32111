#include "anvil/member/FailureDetector.h"

#include <algorithm>

namespace anvil::member {

void FailureDetector::watch(const VmId &Vm, TimePoint Now) {
  m_LastHeard.try_emplace(Vm, Now);
}

void FailureDetector::forget(const VmId &Vm) { m_LastHeard.erase(Vm); }

void FailureDetector::heard(const VmId &Vm, TimePoint Now) {
  const auto It = m_LastHeard.find(Vm);
  if (It != m_LastHeard.end())
    It->second = std::max(It->second, Now);
}

std::vector<VmId> FailureDetector::tick(TimePoint Now) {
  const Duration Gap = m_Ticked ? Now - m_LastTick : Duration(0);
  m_LastTick = Now;
  m_Ticked = true;
  if (Gap > m_Options.m_PauseLimit) {
    for (auto &[Vm, LastHeard] : m_LastHeard)
      LastHeard = std::min(LastHeard + Gap, Now);
    return {};
  }
  std::vector<VmId> Lost;
  for (const auto &[Vm, LastHeard] : m_LastHeard)
    if (Now - LastHeard > m_Options.m_LostAfter)
      Lost.push_back(Vm);
  for (const VmId &Vm : Lost)
    m_LastHeard.erase(Vm);
  std::sort(Lost.begin(), Lost.end());
  return Lost;
}

} // namespace anvil::member
