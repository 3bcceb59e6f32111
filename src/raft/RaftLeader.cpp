#include <algorithm>
#include <utility>
#include <vector>

#include "raft/RaftCore.h"

namespace anvil::raft::internal {

namespace {

/// Number of heartbeat intervals without progress after which entries in flight
/// are considered lost.
constexpr int RetransmitIntervals = 3;

uint64_t bytesOf(const std::vector<LogEntry> &Entries) {
  uint64_t Bytes = 0;
  for (const LogEntry &Entry : Entries)
    Bytes += Entry.m_Data.size();
  return Bytes;
}

} // namespace

void RaftCore::tickLeader() {
  checkQuorum();
  if (m_Role != RaftRole::Leader)
    return;
  if (m_TransferTarget != NoReplica && m_Now >= m_TransferDeadline)
    m_TransferTarget = NoReplica;
  if (m_Now >= m_HeartbeatDue)
    broadcastHeartbeat();
}

/// Starts a heartbeat round.
void RaftCore::broadcastHeartbeat() {
  ++m_Round;
  m_HeartbeatDue = m_Now + m_Options.m_HeartbeatInterval;
  for (auto &[Id, Peer] : m_Peers)
    sendHeartbeat(Id, Peer);
}

void RaftCore::sendHeartbeat(ReplicaId Receiver, Progress &Peer) {
  const LogIndex Commit = std::min(m_Commit, Peer.m_Match);
  Peer.m_SentCommit = std::max(Peer.m_SentCommit, Commit);
  send(Receiver, HeartbeatRequest{Commit, m_Round});
}

/// Keeps one Progress for each other replica of the current membership.
void RaftCore::updatePeers() {
  const Membership &Members = m_Log.membership();
  std::erase_if(m_Peers, [&Members](const auto &Item) {
    return !Members.contains(Item.first);
  });
  const auto Add = [this](ReplicaId Id) {
    if (Id == m_Options.m_Self || m_Peers.contains(Id))
      return;
    Progress &Peer = m_Peers[Id];
    Peer.m_Next = m_Log.lastIndex() + 1;
    Peer.m_LastContact = m_Now;
    Peer.m_LastProgress = m_Now;
  };
  std::for_each(Members.m_Voters.begin(), Members.m_Voters.end(), Add);
  std::for_each(Members.m_Learners.begin(), Members.m_Learners.end(), Add);
}

void RaftCore::flushPeers() {
  for (auto &[Id, Peer] : m_Peers)
    flushPeer(Id, Peer);
}

void RaftCore::flushPeer(ReplicaId Receiver, Progress &Peer) {
  while (maySend(Peer) && Peer.m_Mode != ProgressMode::Snapshot) {
    if (Peer.m_Next <= m_Log.baseIndex()) {
      startTransfer(Peer);
    } else {
      sendEntries(Receiver, Peer);
    }
  }
  if (Peer.m_Mode == ProgressMode::Snapshot && !Peer.m_ChunkSentAt)
    sendChunk(Receiver, Peer);
  if (std::min(m_Commit, Peer.m_Match) > Peer.m_SentCommit)
    sendHeartbeat(Receiver, Peer);
}

bool RaftCore::maySend(const Progress &Peer) const {
  if (Peer.m_Mode == ProgressMode::Probe)
    return !Peer.m_ProbeSent;
  return Peer.m_Next <= m_Log.lastIndex() &&
         Peer.inflight() < m_Options.m_MaxInflightEntries &&
         Peer.m_InflightBytes < m_Options.m_MaxInflightBytes;
}

void RaftCore::sendEntries(ReplicaId Receiver, Progress &Peer) {
  AppendRequest Request;
  Request.m_PrevIndex = Peer.m_Next - 1;
  Request.m_PrevTerm = *m_Log.termAt(Request.m_PrevIndex);
  Request.m_Commit = m_Commit;
  // A probe may be refused, so it carries no entries until the common prefix is
  // known.
  const bool PrefixKnown =
      Peer.m_Mode == ProgressMode::Replicate || Peer.m_Next == Peer.m_Match + 1;
  const uint64_t FreeEntries =
      m_Options.m_MaxInflightEntries - (PrefixKnown ? Peer.inflight() : 0);
  if (PrefixKnown) {
    Request.m_Entries = m_Log.slice(
        Peer.m_Next, std::min(m_Options.m_MaxBatchEntries, FreeEntries),
        m_Options.m_MaxBatchBytes);
  }
  const uint64_t EntryCount = Request.m_Entries.size();
  if (Peer.m_Mode == ProgressMode::Probe) {
    Peer.m_ProbeSent = true;
  } else {
    if (Peer.inflight() == 0)
      Peer.m_LastProgress = m_Now;
    Peer.m_SentCommit = std::max(
        Peer.m_SentCommit, std::min(m_Commit, Peer.m_Next - 1 + EntryCount));
    Peer.noteSent(Peer.m_Next - 1 + EntryCount, bytesOf(Request.m_Entries));
  }
  send(Receiver, std::move(Request));
}

/// Commits the entries that are durable on a quorum. Only an entry of the
/// leader's own term is committed by counting: a later leader may still replace
/// an entry of an older term even if a quorum holds it.
void RaftCore::advanceCommit() {
  const LogIndex Index = quorumMatch();
  if (Index <= m_Commit || m_Log.termAt(Index) != m_Hard.m_Term)
    return;
  const bool FirstOfTerm = !committedInOwnTerm();
  m_Commit = Index;
  if (!FirstOfTerm)
    return;
  for (const LeaderRead &Read : std::exchange(m_DeferredReads, {}))
    startLeaderRead(Read);
}

/// Returns the largest index that is durable on a quorum of voters.
LogIndex RaftCore::quorumMatch() const {
  const Membership &Members = m_Log.membership();
  std::vector<LogIndex> Matches;
  for (const ReplicaId Voter : Members.m_Voters)
    Matches.push_back(Voter == m_Options.m_Self ? m_Durable
                                                : m_Peers.at(Voter).m_Match);
  std::sort(Matches.begin(), Matches.end(), std::greater<>());
  return Matches[Members.quorum() - 1];
}

/// Makes a leader step down whose removal is committed, after it sent the
/// commit index to the other replicas.
void RaftCore::stepDownIfRemoved() {
  if (isVoter() || m_Log.membershipIndex() > m_Commit)
    return;
  ReplicaId Successor;
  for (const auto &[Id, Peer] : m_Peers) {
    if (m_Log.membership().isVoter(Id) && Peer.m_Match == m_Log.lastIndex())
      Successor = Id;
  }
  if (Successor != NoReplica)
    send(Successor, TimeoutNow{});
  becomeFollower(m_Hard.m_Term, NoReplica);
}

/// Returns the progress of the sender and notes the contact, or returns null if
/// this replica is not the leader or the sender is no member.
Progress *RaftCore::peerOf(const RaftMessage &Message) {
  const auto Peer = m_Peers.find(Message.m_From);
  if (m_Role != RaftRole::Leader || Peer == m_Peers.end())
    return nullptr;
  Peer->second.m_LastContact = m_Now;
  return &Peer->second;
}

void RaftCore::noteMatch(ReplicaId Sender, Progress &Peer, LogIndex Match) {
  if (Match > Peer.m_Match)
    Peer.m_LastProgress = m_Now;
  Peer.noteAcknowledged(Match);
  const bool SnapshotPending = Peer.m_Mode == ProgressMode::Snapshot &&
                               Peer.m_Match < Peer.m_Transfer.m_Meta.m_Index;
  if (Peer.m_Mode == ProgressMode::Replicate || SnapshotPending)
    return;
  Peer.probeFrom(Peer.m_Match + 1);
  if (Peer.m_Match >= m_Log.baseIndex())
    Peer.m_Mode = ProgressMode::Replicate;
  flushPeer(Sender, Peer);
}

/// Moves back to the last index that may be common, skipping a whole term at a
/// time.
// A rejection at the match index itself is either delayed, or comes from a
// replica that lost entries after it acknowledged them, for example with the
// last block on its disk. In both cases the leader searches for the common
// prefix: lowering the match index never undoes a commit, and without it the
// replica would receive no entries until the leader changes.
void RaftCore::noteRejection(Progress &Peer, const AppendResponse &Response) {
  const bool Stale = Peer.m_Mode == ProgressMode::Probe
                         ? Response.m_RejectedPrev != Peer.m_Next - 1
                         : Response.m_RejectedPrev < Peer.m_Match;
  if (Stale || Peer.m_Mode == ProgressMode::Snapshot ||
      Response.m_RejectedPrev == 0)
    return;
  LogIndex Common = std::min(Response.m_HintIndex, Response.m_RejectedPrev - 1);
  // If the common prefix ends before the log in memory, the replica needs a
  // snapshot.
  if (Common >= m_Log.baseIndex())
    Common = m_Log.lastIndexWithTermUpTo(Common, Response.m_HintTerm);
  Peer.m_Match = std::min(Peer.m_Match, Common);
  Peer.probeFrom(Common + 1);
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const AppendResponse &Response) {
  Progress *Peer = peerOf(Message);
  if (Peer == nullptr)
    return;
  if (Response.m_Success) {
    noteMatch(Message.m_From, *Peer,
              std::min(Response.m_Match, m_Log.lastIndex()));
  } else {
    noteRejection(*Peer, Response);
  }
}

void RaftCore::handleMessage(const RaftMessage &Message,
                             const HeartbeatResponse &Response) {
  Progress *Peer = peerOf(Message);
  if (Peer == nullptr)
    return;
  Peer->m_AckedRound =
      std::max(Peer->m_AckedRound, std::min(Response.m_Round, m_Round));
  // The replica is reachable, so messages that it has not acknowledged within
  // the timeout are considered lost.
  const Duration RetransmitTimeout =
      RetransmitIntervals * m_Options.m_HeartbeatInterval;
  if (Peer->m_Mode == ProgressMode::Snapshot) {
    if (Peer->m_ChunkSentAt &&
        m_Now - *Peer->m_ChunkSentAt >= RetransmitTimeout)
      Peer->m_ChunkSentAt.reset();
  } else if (Peer->m_Mode == ProgressMode::Probe) {
    Peer->m_ProbeSent = false;
  } else if (Peer->inflight() > 0 &&
             m_Now - Peer->m_LastProgress >= RetransmitTimeout) {
    Peer->m_LastProgress = m_Now;
    Peer->probeFrom(Peer->m_Match + 1);
  }
}

} // namespace anvil::raft::internal
