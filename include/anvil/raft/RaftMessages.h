#ifndef ANVIL_RAFT_RAFTMESSAGES_H
#define ANVIL_RAFT_RAFTMESSAGES_H

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "anvil/raft/RaftTypes.h"

namespace anvil::raft {

/// Requests a vote, or in a pre-vote round asks whether a vote would be
/// granted.
struct VoteRequest {
  /// Term of the election; in a pre-vote round one above the sender's term.
  TermNumber m_ElectionTerm = 0;
  LogIndex m_LastIndex = 0;
  TermNumber m_LastTerm = 0;
  bool m_PreVote = false;
  /// The leader requested this election to transfer its leadership, so the
  /// receiver does not refuse because of a recent contact with the leader.
  bool m_Transfer = false;

  bool operator==(const VoteRequest &) const = default;
};

/// Answers a VoteRequest.
struct VoteResponse {
  TermNumber m_ElectionTerm = 0;
  bool m_PreVote = false;
  bool m_Granted = false;

  bool operator==(const VoteResponse &) const = default;
};

/// Replicates the entries that follow the entry at m_PrevIndex, whose term is
/// m_PrevTerm.
struct AppendRequest {
  LogIndex m_PrevIndex = 0;
  TermNumber m_PrevTerm = 0;
  LogIndex m_Commit = 0;
  std::vector<LogEntry> m_Entries;

  bool operator==(const AppendRequest &) const = default;
};

/// Answers an AppendRequest or the last chunk of a snapshot.
struct AppendResponse {
  bool m_Success = false;
  /// On success: last index up to which the sender's log is durable and equal
  /// to the leader's.
  LogIndex m_Match = 0;
  /// On refusal: m_PrevIndex of the refused request.
  LogIndex m_RejectedPrev = 0;
  /// On refusal: position in the sender's log from which the leader searches
  /// backward for the last common entry.
  LogIndex m_HintIndex = 0;
  TermNumber m_HintTerm = 0;

  bool operator==(const AppendResponse &) const = default;
};

/// Maintains the leader's authority, distributes the commit index and confirms
/// reads.
struct HeartbeatRequest {
  /// Commit index, limited to the last index known to match on the receiver.
  LogIndex m_Commit = 0;
  /// Number of the heartbeat round within the leader's term.
  uint64_t m_Round = 0;

  bool operator==(const HeartbeatRequest &) const = default;
};

/// Answers a HeartbeatRequest.
struct HeartbeatResponse {
  uint64_t m_Round = 0;

  bool operator==(const HeartbeatResponse &) const = default;
};

/// One part of a snapshot transfer.
struct SnapshotChunk {
  SnapshotMeta m_Meta;
  /// Position of m_Data in the snapshot, in bytes.
  uint64_t m_Offset = 0;
  /// Size of the whole snapshot in bytes.
  uint64_t m_TotalSize = 0;
  std::string m_Data;

  bool operator==(const SnapshotChunk &) const = default;
};

/// Answers a SnapshotChunk that does not complete the snapshot.
struct SnapshotChunkResponse {
  LogIndex m_SnapshotIndex = 0;
  /// Offset at which the sender wants the transfer to continue, in bytes.
  uint64_t m_NextOffset = 0;

  bool operator==(const SnapshotChunkResponse &) const = default;
};

/// Forwards a linearizable read from a follower or learner to the leader.
struct ReadIndexRequest {
  /// Number that the sender has never used before, not even before a restart.
  uint64_t m_ReadId = 0;

  bool operator==(const ReadIndexRequest &) const = default;
};

/// Answers a ReadIndexRequest.
struct ReadIndexResponse {
  uint64_t m_ReadId = 0;
  bool m_Confirmed = false;
  /// If confirmed: the sender of the request may answer the read once it has
  /// applied this index.
  LogIndex m_Index = 0;

  bool operator==(const ReadIndexResponse &) const = default;
};

/// Asks the receiver to start an election immediately (leadership transfer).
struct TimeoutNow {
  bool operator==(const TimeoutNow &) const = default;
};

/// Message between two replicas of a group.
struct RaftMessage {
  using Body = std::variant<VoteRequest, VoteResponse, AppendRequest,
                            AppendResponse, HeartbeatRequest, HeartbeatResponse,
                            SnapshotChunk, SnapshotChunkResponse,
                            ReadIndexRequest, ReadIndexResponse, TimeoutNow>;

  ReplicaId m_From;
  ReplicaId m_To;
  /// Term of the sender when it created the message.
  TermNumber m_Term = 0;
  Body m_Body;

  bool operator==(const RaftMessage &) const = default;
};

} // namespace anvil::raft

#endif // ANVIL_RAFT_RAFTMESSAGES_H
