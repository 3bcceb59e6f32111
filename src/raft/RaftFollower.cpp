#include <algorithm>
#include <utility>

#include "raft/RaftCore.h"

namespace anvil::raft::internal {

namespace {

/// Returns whether the entries follow the previous entry of the request without
/// gaps and with terms that do not decrease.
bool isWellFormed(const AppendRequest &Request, TermNumber SenderTerm) {
  LogIndex Index = Request.m_PrevIndex;
  TermNumber Term = Request.m_PrevTerm;
  for (const LogEntry &Entry : Request.m_Entries) {
    if (Entry.m_Index != ++Index || Entry.m_Term < Term)
      return false;
    Term = Entry.m_Term;
  }
  return Term <= SenderTerm;
}

} // namespace

/// Follows the sender of a message that only the leader of the current term
/// sends.
void RaftCore::followLeader(ReplicaId Leader) {
  if (m_Role != RaftRole::Follower || m_Leader != Leader)
    becomeFollower(m_Hard.m_Term, Leader);
  m_LastLeaderContact = m_Now;
  resetElectionDeadline();
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const AppendRequest &Request) {
  if (m_Role == RaftRole::Leader || !isWellFormed(Request, Message.m_Term))
    return;
  followLeader(Message.m_From);
  // Committed entries never change, so the leader can continue after them.
  if (Request.m_PrevIndex < m_Commit)
    return sendWhenDurable(
        Message.m_From, AppendResponse{.m_Success = true, .m_Match = m_Commit});
  if (m_Log.termAt(Request.m_PrevIndex) != Request.m_PrevTerm)
    return refuseAppend(Message.m_From, Request);
  if (!appendEntries(Request))
    return;
  const LogIndex Match = Request.m_PrevIndex + Request.m_Entries.size();
  raiseCommit(std::min(Request.m_Commit, Match));
  sendWhenDurable(Message.m_From,
                  AppendResponse{.m_Success = true, .m_Match = Match});
}

/// Appends the new entries and drops a conflicting suffix. Returns false if
/// that would drop a committed entry.
bool RaftCore::appendEntries(const AppendRequest &Request) {
  for (const LogEntry &Entry : Request.m_Entries) {
    if (m_Log.termAt(Entry.m_Index) == Entry.m_Term)
      continue;
    if (Entry.m_Index <= m_Commit)
      return false;
    if (Entry.m_Index <= m_Log.lastIndex())
      truncateLocal(Entry.m_Index);
    appendLocal(Entry);
  }
  return true;
}

void RaftCore::refuseAppend(ReplicaId Receiver, const AppendRequest &Request) {
  AppendResponse Response;
  Response.m_RejectedPrev = Request.m_PrevIndex;
  Response.m_HintIndex =
      m_Log.lastIndexWithTermUpTo(Request.m_PrevIndex, Request.m_PrevTerm);
  Response.m_HintTerm = *m_Log.termAt(Response.m_HintIndex);
  send(Receiver, Response);
}

void RaftCore::raiseCommit(LogIndex Commit) {
  m_Commit = std::max(m_Commit, std::min(Commit, m_Log.lastIndex()));
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const HeartbeatRequest &Request) {
  if (m_Role == RaftRole::Leader)
    return;
  followLeader(Message.m_From);
  raiseCommit(Request.m_Commit);
  send(Message.m_From, HeartbeatResponse{Request.m_Round});
}

} // namespace anvil::raft::internal
