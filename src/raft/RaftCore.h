#ifndef ANVIL_RAFT_RAFTCORE_H
#define ANVIL_RAFT_RAFTCORE_H

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "anvil/raft/Raft.h"
#include "raft/Progress.h"
#include "raft/RaftLog.h"

namespace anvil::raft::internal {

/// Implements Raft. The functions are grouped by source file; the comments
/// below name the files.
class RaftCore {
public:
  RaftCore(RaftOptions Options, HardState Hard, Snapshot Base, RaftLog Log,
           bool DropsStaleEntries);

  RaftOutput step(const RaftInput &Input, TimePoint Now);
  TimePoint nextDeadline() const;
  RaftStatus status() const;
  absl::StatusOr<SnapshotMeta> snapshotMeta(LogIndex Index) const;
  const RaftLog &log() const { return m_Log; }

private:
  /// Part of the log that becomes durable with an output.
  struct PendingWrite {
    uint64_t m_Sequence = 0;
    LogIndex m_LastIndex = 0;
  };
  /// A message that must not be sent before m_Sequence is durable.
  struct HeldMessage {
    /// 0 until the end of the step that created the message.
    uint64_t m_Sequence = 0;
    RaftMessage m_Message;
  };
  struct PendingProposal {
    uint64_t m_Context = 0;
    TermNumber m_Term = 0;
  };
  /// A read that this replica's host requested.
  struct LocalRead {
    uint64_t m_Context = 0;
    TimePoint m_Deadline;
    bool m_Confirmed = false;
    LogIndex m_Index = 0;
  };
  /// A read that this replica confirms as leader.
  struct LeaderRead {
    ReplicaId m_From;
    uint64_t m_ReadId = 0;
    LogIndex m_Index = 0;
    /// Heartbeat round that confirms the read. It starts after the read
    /// arrives.
    uint64_t m_Round = 0;
  };
  /// Snapshot of which some chunks have been received.
  struct IncomingSnapshot {
    ReplicaId m_From;
    SnapshotMeta m_Meta;
    uint64_t m_TotalSize = 0;
    std::string m_Bytes;
  };

  // RaftCore.cpp: inputs, roles, persistence, delivery of committed entries.
  void handle(const TickInput &Input);
  void handle(const ReceiveInput &Input);
  void handle(const ProposeInput &Input);
  void handle(const ReadInput &Input);
  void handle(const PersistedInput &Input);
  void handle(const AppliedInput &Input);
  void handle(const SnapshotMadeInput &Input);
  void handle(const ChangeMembershipInput &Input);
  void handle(const TransferLeadershipInput &Input);
  void finishStep();
  void assignSequence();
  void releaseHeldMessages();
  void deliverCommitted();
  void finishProposalsAt(const LogEntry &Entry);
  void reportRole();
  void becomeFollower(TermNumber Term, ReplicaId Leader);
  void becomeLeader();
  void setHardState(TermNumber Term, ReplicaId VotedFor);
  void appendLocal(LogEntry Entry);
  void truncateLocal(LogIndex First);
  void send(ReplicaId Receiver, RaftMessage::Body Body);
  void sendWhenDurable(ReplicaId Receiver, RaftMessage::Body Body);
  void failProposal(uint64_t Context, absl::StatusCode Kind, RaftErrc Code,
                    std::string_view Text);
  bool isVoter() const { return m_Log.membership().isVoter(m_Options.m_Self); }
  LogIndex append(EntryKind Kind, std::string Data, Membership Members);

  // RaftElection.cpp: terms, votes, quorum check of the leader.
  bool checkTerm(const RaftMessage &Message);
  void rejectOldTerm(const RaftMessage &Message);
  bool hasActiveLeader() const;
  void resetElectionDeadline();
  void startPreVote();
  void startElection(bool Transfer);
  void requestVotes(bool PreVote, bool Transfer);
  void countVote(ReplicaId Voter);
  void countOwnVoteIfDurable();
  void checkQuorum();
  void handleMessage(const RaftMessage &Message, const VoteRequest &Request);
  void handleMessage(const RaftMessage &Message, const VoteResponse &Response);
  void handleMessage(const RaftMessage &Message, const TimeoutNow &Request);

  // RaftLeader.cpp: replication to the other replicas, commit.
  void tickLeader();
  void broadcastHeartbeat();
  void sendHeartbeat(ReplicaId Receiver, Progress &Peer);
  void updatePeers();
  void flushPeers();
  void flushPeer(ReplicaId Receiver, Progress &Peer);
  bool maySend(const Progress &Peer) const;
  void sendEntries(ReplicaId Receiver, Progress &Peer);
  void advanceCommit();
  LogIndex quorumMatch() const;
  void stepDownIfRemoved();
  void noteMatch(ReplicaId Sender, Progress &Peer, LogIndex Match);
  void noteRejection(Progress &Peer, const AppendResponse &Response);
  Progress *peerOf(const RaftMessage &Message);
  bool committedInOwnTerm() const {
    return m_Log.termAt(m_Commit) == m_Hard.m_Term;
  }
  void handleMessage(const RaftMessage &Message,
                     const AppendResponse &Response);
  void handleMessage(const RaftMessage &Message,
                     const HeartbeatResponse &Response);

  // RaftFollower.cpp: entries from the leader.
  void followLeader(ReplicaId Leader);
  bool appendEntries(const AppendRequest &Request);
  void refuseAppend(ReplicaId Receiver, const AppendRequest &Request);
  void raiseCommit(LogIndex Commit);
  void handleMessage(const RaftMessage &Message, const AppendRequest &Request);
  void handleMessage(const RaftMessage &Message,
                     const HeartbeatRequest &Request);

  // RaftSnapshot.cpp: sender and receiver of a snapshot, compaction.
  void startTransfer(Progress &Peer);
  void sendChunk(ReplicaId Receiver, Progress &Peer);
  bool continuesIncoming(const RaftMessage &Message,
                         const SnapshotChunk &Chunk) const;
  void installIncoming(ReplicaId Sender);
  void handleMessage(const RaftMessage &Message, const SnapshotChunk &Chunk);
  void handleMessage(const RaftMessage &Message,
                     const SnapshotChunkResponse &Response);

  // RaftReads.cpp: linearizable reads.
  void startLeaderRead(LeaderRead Read);
  void startReadRound();
  uint64_t confirmedRound() const;
  void finishLeaderReads();
  void answerLeaderRead(const LeaderRead &Read, bool Confirmed);
  void failLeaderReads();
  void finishLocalReads();
  void failUnconfirmedReads(std::string_view Reason);
  void failRead(uint64_t Context, absl::StatusCode Kind, RaftErrc Code,
                std::string_view Reason);
  void handleMessage(const RaftMessage &Message,
                     const ReadIndexRequest &Request);
  void handleMessage(const RaftMessage &Message,
                     const ReadIndexResponse &Response);

  // RaftMembership.cpp: membership change, leadership transfer.
  absl::Status checkChange(const ChangeMembershipInput &Change) const;
  absl::Status checkPromotion(ReplicaId Learner) const;
  bool hasCaughtUp(ReplicaId Learner) const;
  bool wasHeardRecently(ReplicaId Learner) const;
  absl::Status checkRemoval(ReplicaId Replica) const;
  Membership changedMembership(const ChangeMembershipInput &Change) const;
  void continueTransfer();

  RaftOptions m_Options;
  HardState m_Hard;
  Snapshot m_Snapshot;
  RaftLog m_Log;

  RaftRole m_Role = RaftRole::Follower;
  ReplicaId m_Leader;
  RoleChange m_ReportedRole;
  LogIndex m_Commit = 0;
  /// Last entry output in RaftOutput::m_Committed.
  LogIndex m_Delivered = 0;
  LogIndex m_Applied = 0;

  RaftOutput m_Output;
  uint64_t m_Sequence = 0;
  uint64_t m_SyncedSequence = 0;
  /// Last index that is durable here.
  LogIndex m_Durable = 0;
  std::deque<PendingWrite> m_PendingWrites;
  std::deque<HeldMessage> m_HeldMessages;
  std::multimap<LogIndex, PendingProposal> m_PendingProposals;

  TimePoint m_Now;
  bool m_Started = false;
  TimePoint m_ElectionDeadline;
  TimePoint m_LastLeaderContact;

  // Candidates.
  std::set<ReplicaId> m_Votes;
  /// Sequence of the output with the candidate's own vote, which counts once
  /// that output is durable.
  uint64_t m_OwnVoteSequence = 0;

  // Leader.
  std::map<ReplicaId, Progress> m_Peers;
  TimePoint m_HeartbeatDue;
  uint64_t m_Round = 0;
  ReplicaId m_TransferTarget;
  bool m_TransferSent = false;
  TimePoint m_TransferDeadline;
  std::vector<LeaderRead> m_LeaderReads;
  /// Reads that wait until an entry of the leader's term is committed.
  std::vector<LeaderRead> m_DeferredReads;

  std::optional<IncomingSnapshot> m_Incoming;
  uint64_t m_NextReadId = 0;
  std::map<uint64_t, LocalRead> m_LocalReads;
};

} // namespace anvil::raft::internal

#endif // ANVIL_RAFT_RAFTCORE_H
