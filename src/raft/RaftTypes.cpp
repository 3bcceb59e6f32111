#include "anvil/raft/RaftTypes.h"

#include <algorithm>
#include <utility>

namespace anvil::raft {

bool Membership::isVoter(ReplicaId Id) const {
  return std::binary_search(m_Voters.begin(), m_Voters.end(), Id);
}

bool Membership::isLearner(ReplicaId Id) const {
  return std::binary_search(m_Learners.begin(), m_Learners.end(), Id);
}

RaftPersistentState bootstrapState(Membership Members) {
  std::sort(Members.m_Voters.begin(), Members.m_Voters.end());
  std::sort(Members.m_Learners.begin(), Members.m_Learners.end());
  RaftPersistentState State;
  State.m_Hard.m_Term = 1;
  State.m_Entries.push_back(
      {1, 1, EntryKind::Membership, "", std::move(Members)});
  return State;
}

} // namespace anvil::raft
