#include "GroupFormation.h"

namespace anvil::node::internal {

bool GroupFormation::coordinates() const {
  return m_Options.m_FirstStart && !m_Options.m_Seeds.empty() &&
         m_Options.m_Seeds.front().str() == m_Options.m_Address;
}

void GroupFormation::heard(const wire::LocateRequest &Request) {
  if (!Request.canFoundGroup || Request.inGroup || Request.replicaId == 0)
    return;
  absl::StatusOr<net::Endpoint> Address = net::parseEndpoint(Request.address);
  if (Address.ok())
    m_Candidates[Request.replicaId] = *std::move(Address);
}

bool GroupFormation::asked(int64_t Replica) {
  m_Asked = m_Asked || (m_Options.m_MayFound && Replica == m_Options.m_Replica);
  return m_Asked;
}

GroupFormation::Step GroupFormation::step(const FormationInput &Input,
                                          TimePoint Now) {
  Step Next;
  if (Now >= m_NextSearch) {
    m_NextSearch = Now + (Input.m_LeaderKnown ? m_Options.m_CalmInterval
                                              : m_Options.m_SearchInterval);
    for (const net::Endpoint &Seed : m_Options.m_Seeds)
      if (Seed.str() != m_Options.m_Address)
        Next.m_Locate.push_back(Seed);
  }
  if (Input.m_InGroup)
    return Next;
  if (Input.m_GroupKnown) {
    Next.m_Join = m_Options.m_Replica != 0;
    return Next;
  }
  if (m_Asked) {
    Next.m_Found = true;
    return Next;
  }
  if (coordinates() && Now >= m_StartedAt + m_Options.m_Gather) {
    if (m_Options.m_MayFound)
      Next.m_Found = true;
    else if (!Next.m_Locate.empty() || !m_Chosen)
      chooseFounder(Next);
    if (Next.m_AskToFound)
      m_Chosen = Next.m_AskToFound;
  }
  return Next;
}

// The choice is kept, since the chosen one may have founded already.
void GroupFormation::chooseFounder(Step &Next) const {
  if (m_Chosen) {
    Next.m_AskToFound = m_Chosen;
    return;
  }
  if (m_Candidates.empty())
    return;
  const auto &[Replica, Address] = *m_Candidates.begin();
  Next.m_AskToFound = Founder{Replica, Address};
}

} // namespace anvil::node::internal
