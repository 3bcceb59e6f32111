#include <algorithm>
#include <functional>
#include <utility>

#include "raft/RaftCore.h"

namespace anvil::raft::internal {

namespace {

/// Returns whether only the leader of the message's term sends \p Body.
bool isFromLeader(const RaftMessage::Body &Body) {
  return std::holds_alternative<AppendRequest>(Body) ||
         std::holds_alternative<HeartbeatRequest>(Body) ||
         std::holds_alternative<SnapshotChunk>(Body) ||
         std::holds_alternative<TimeoutNow>(Body);
}

} // namespace

/// Adopts a newer term and rejects an older one. Returns whether the message is
/// to be handled.
bool RaftCore::checkTerm(const RaftMessage &Message) {
  const auto *Vote = std::get_if<VoteRequest>(&Message.m_Body);
  // A replica that has only lost contact, or was removed, must not depose a
  // leader that a quorum can reach.
  if (Vote != nullptr && !Vote->m_Transfer && hasActiveLeader())
    return false;
  // A voter that grants a pre-vote does not adopt the candidate's term yet, so
  // its response may have an older term.
  const auto *Response = std::get_if<VoteResponse>(&Message.m_Body);
  if (Message.m_Term < m_Hard.m_Term && Response != nullptr &&
      Response->m_PreVote)
    return true;
  if (Message.m_Term < m_Hard.m_Term) {
    rejectOldTerm(Message);
    return false;
  }
  // A pre-vote round does not change terms.
  if (Message.m_Term > m_Hard.m_Term && (Vote == nullptr || !Vote->m_PreVote))
    becomeFollower(Message.m_Term,
                   isFromLeader(Message.m_Body) ? Message.m_From : NoReplica);
  return true;
}

/// Informs a leader or candidate of an older term about the current term.
void RaftCore::rejectOldTerm(const RaftMessage &Message) {
  if (const auto *Vote = std::get_if<VoteRequest>(&Message.m_Body)) {
    send(Message.m_From,
         VoteResponse{Vote->m_ElectionTerm, Vote->m_PreVote, false});
  } else if (isFromLeader(Message.m_Body)) {
    sendWhenDurable(Message.m_From, AppendResponse{});
  }
}

/// Returns whether the last contact with a leader is so recent that no election
/// should take place.
bool RaftCore::hasActiveLeader() const {
  if (m_Role == RaftRole::Leader)
    return true;
  return m_Leader != NoReplica &&
         m_Now - m_LastLeaderContact < m_Options.m_ElectionTimeoutMin;
}

// In an election a quorum writes its votes to disk, so a candidate waits as
// long as a follower that has lost its leader.
void RaftCore::resetElectionDeadline() {
  const bool LeaderUnknown =
      m_Leader == NoReplica && m_Role != RaftRole::Candidate;
  const Duration Min = LeaderUnknown ? m_Options.m_PreVoteTimeoutMin
                                     : m_Options.m_ElectionTimeoutMin;
  const Duration Max = LeaderUnknown ? m_Options.m_PreVoteTimeoutMax
                                     : m_Options.m_ElectionTimeoutMax;
  const auto RandomPart = static_cast<int64_t>(
      m_Options.m_Random(static_cast<uint64_t>((Max - Min).count())));
  m_ElectionDeadline = m_Now + Min + Duration(RandomPart);
}

void RaftCore::startPreVote() {
  failUnconfirmedReads("the leader was lost");
  m_Leader = NoReplica;
  m_Role = isVoter() ? RaftRole::PreCandidate : RaftRole::Follower;
  resetElectionDeadline();
  if (m_Role == RaftRole::Follower)
    return;
  m_Votes.clear();
  requestVotes(/*PreVote=*/true, /*Transfer=*/false);
  countVote(m_Options.m_Self);
}

void RaftCore::startElection(bool Transfer) {
  failUnconfirmedReads("the leader was lost");
  m_Role = RaftRole::Candidate;
  m_Leader = NoReplica;
  resetElectionDeadline();
  m_Votes.clear();
  setHardState(m_Hard.m_Term + 1, m_Options.m_Self);
  m_OwnVoteSequence = m_Sequence + 1;
  requestVotes(/*PreVote=*/false, Transfer);
}

void RaftCore::requestVotes(bool PreVote, bool Transfer) {
  const TermNumber ElectionTerm = PreVote ? m_Hard.m_Term + 1 : m_Hard.m_Term;
  const VoteRequest Request{ElectionTerm, m_Log.lastIndex(), m_Log.lastTerm(),
                            PreVote, Transfer};
  for (const ReplicaId Voter : m_Log.membership().m_Voters) {
    if (Voter == m_Options.m_Self)
      continue;
    // A candidate that lost its new term in a crash could vote for another
    // candidate in the same term, so a vote request waits until the term is
    // durable.
    if (PreVote) {
      send(Voter, Request);
    } else {
      sendWhenDurable(Voter, Request);
    }
  }
}

void RaftCore::countVote(ReplicaId Voter) {
  const Membership &Members = m_Log.membership();
  if (!Members.isVoter(Voter))
    return;
  m_Votes.insert(Voter);
  if (m_Votes.size() < Members.quorum())
    return;
  if (m_Role == RaftRole::PreCandidate) {
    startElection(/*Transfer=*/false);
  } else {
    becomeLeader();
  }
}

void RaftCore::countOwnVoteIfDurable() {
  if (m_Role == RaftRole::Candidate && m_SyncedSequence >= m_OwnVoteSequence &&
      !m_Votes.contains(m_Options.m_Self))
    countVote(m_Options.m_Self);
}

/// Makes the leader step down if it received nothing from a quorum for
/// m_ElectionTimeoutMin.
void RaftCore::checkQuorum() {
  size_t ActiveVoters = 0;
  for (const ReplicaId Voter : m_Log.membership().m_Voters) {
    const auto Peer = m_Peers.find(Voter);
    const bool IsSelf = Peer == m_Peers.end();
    if (IsSelf ||
        m_Now - Peer->second.m_LastContact < m_Options.m_ElectionTimeoutMin)
      ++ActiveVoters;
  }
  if (ActiveVoters < m_Log.membership().quorum())
    becomeFollower(m_Hard.m_Term, NoReplica);
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const VoteRequest &Request) {
  const bool UpToDate = std::pair(Request.m_LastTerm, Request.m_LastIndex) >=
                        std::pair(m_Log.lastTerm(), m_Log.lastIndex());
  if (Request.m_PreVote) {
    const bool Granted = UpToDate && Request.m_ElectionTerm > m_Hard.m_Term;
    return send(Message.m_From,
                VoteResponse{Request.m_ElectionTerm, true, Granted});
  }
  const bool MayVote =
      m_Hard.m_VotedFor == NoReplica || m_Hard.m_VotedFor == Message.m_From;
  const bool Granted = UpToDate && MayVote && m_Role != RaftRole::Leader &&
                       m_Leader == NoReplica;
  if (Granted) {
    if (m_Hard.m_VotedFor == NoReplica)
      setHardState(m_Hard.m_Term, Message.m_From);
    resetElectionDeadline();
  }
  sendWhenDurable(Message.m_From,
                  VoteResponse{Request.m_ElectionTerm, false, Granted});
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const VoteResponse &Response) {
  if (!Response.m_Granted)
    return;
  const bool ForPreVote = m_Role == RaftRole::PreCandidate &&
                          Response.m_PreVote &&
                          Response.m_ElectionTerm == m_Hard.m_Term + 1;
  const bool ForElection = m_Role == RaftRole::Candidate &&
                           !Response.m_PreVote &&
                           Response.m_ElectionTerm == m_Hard.m_Term;
  if (ForPreVote || ForElection)
    countVote(Message.m_From);
}

void RaftCore::handleMessage(const RaftMessage &Message, const TimeoutNow &) {
  if (m_Role == RaftRole::Follower && m_Leader == Message.m_From && isVoter())
    startElection(/*Transfer=*/true);
}

} // namespace anvil::raft::internal
