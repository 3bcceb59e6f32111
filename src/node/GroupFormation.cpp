#include "GroupFormation.h"

namespace anvil::node::internal {

bool GroupFormation::isCoordinator() const {
  return m_Options.m_FirstStart && !m_Options.m_Seeds.empty() &&
         m_Options.m_Seeds.front().str() == m_Options.m_Address;
}

void GroupFormation::recordCandidate(const wire::LocateRequest &Request) {
  if (!Request.canFoundGroup || Request.inGroup || Request.replicaId == 0)
    return;
  absl::StatusOr<net::Endpoint> Address = net::parseEndpoint(Request.address);
  if (Address.ok())
    m_Candidates[Request.replicaId] = *std::move(Address);
}

bool GroupFormation::onFoundGroupRequest(int64_t Replica) {
  m_FoundingRequested = m_FoundingRequested || (m_Options.m_CanFoundGroup &&
                                                Replica == m_Options.m_Replica);
  return m_FoundingRequested;
}

GroupFormation::Actions GroupFormation::step(const FormationInput &Input,
                                             TimePoint Now) {
  Actions Next;
  if (Now >= m_NextSearch) {
    m_NextSearch = Now + (Input.m_LeaderKnown ? m_Options.m_RefreshInterval
                                              : m_Options.m_SearchInterval);
    for (const net::Endpoint &Seed : m_Options.m_Seeds)
      if (Seed.str() != m_Options.m_Address)
        Next.m_PeersToAsk.push_back(Seed);
  }
  if (Input.m_InGroup)
    return Next;
  if (Input.m_GroupKnown) {
    Next.m_JoinGroup = m_Options.m_Replica != 0;
    return Next;
  }
  if (m_FoundingRequested) {
    Next.m_FoundGroup = true;
    return Next;
  }
  if (isCoordinator() && Now >= m_StartedAt + m_Options.m_GatherTime) {
    if (m_Options.m_CanFoundGroup)
      Next.m_FoundGroup = true;
    else if (!Next.m_PeersToAsk.empty() || !m_ChosenFounder)
      chooseFounder(Next);
    if (Next.m_AskToFoundGroup)
      m_ChosenFounder = Next.m_AskToFoundGroup;
  }
  return Next;
}

// Repeats the first choice, since that process may have founded the group
// already.
void GroupFormation::chooseFounder(Actions &Next) const {
  if (m_ChosenFounder) {
    Next.m_AskToFoundGroup = m_ChosenFounder;
    return;
  }
  if (m_Candidates.empty())
    return;
  const auto &[Replica, Address] = *m_Candidates.begin();
  Next.m_AskToFoundGroup = Founder{Replica, Address};
}

} // namespace anvil::node::internal
