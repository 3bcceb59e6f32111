#include "GangLosses.h"

#include <utility>

namespace anvil::dispatch::internal {

void GangLosses::recordStop(const wire::TaskRef &Member,
                            std::string_view Reason) {
  BrokenGang &Gang = m_Gangs[gangOf(Member)];
  // Once a member has ended, the others are stopped because of that.
  if (!Gang.m_MemberEnded && Gang.m_Cause.empty())
    Gang.m_Cause = std::string(Reason);
}

// The members that end because another one did may be reported before that one.
std::vector<LostWork> GangLosses::recordEnd(const MemberEnd &End) {
  BrokenGang &Gang = m_Gangs[gangOf(End.m_Task)];
  const bool Follows =
      End.m_Kind == wire::RunEndKind::DONE ||
      End.m_Kind == wire::RunEndKind::GANG_BROKEN ||
      (End.m_Kind == wire::RunEndKind::STOPPED && Gang.m_MemberEnded);
  if (Gang.m_Cause.empty() && !Follows)
    Gang.m_Cause = std::string(workload::nameOf(End.m_Kind));
  Gang.m_MemberEnded = true;
  if (End.m_Lost)
    Gang.m_Unexplained.push_back(*End.m_Lost);
  // The success of one member ends the others without a further event.
  const bool Last = !End.m_OthersLeft || End.m_Kind == wire::RunEndKind::DONE;
  if (Gang.m_Cause.empty() && !Last)
    return {};
  const std::string Cause =
      Gang.m_Cause.empty()
          ? std::string(workload::nameOf(wire::RunEndKind::GANG_BROKEN))
          : Gang.m_Cause;
  std::vector<LostWork> Explained = std::exchange(Gang.m_Unexplained, {});
  for (LostWork &Each : Explained)
    Each.m_Cause = Cause;
  if (Last)
    forget(End.m_Task);
  return Explained;
}

} // namespace anvil::dispatch::internal
