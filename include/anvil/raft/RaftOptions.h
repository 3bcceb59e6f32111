#ifndef ANVIL_RAFT_RAFTOPTIONS_H
#define ANVIL_RAFT_RAFTOPTIONS_H

#include <cstdint>
#include <functional>

#include "absl/status/status.h"

#include "anvil/base/Time.h"
#include "anvil/raft/RaftTypes.h"

namespace anvil::raft {

/// Settings of one replica. All replicas of a group should have the same times
/// and limits.
struct RaftOptions {
  /// This replica.
  ReplicaId m_Self;
  /// Returns a number drawn evenly from [0, Bound); used for election timeouts
  /// and read ids. Required.
  std::function<uint64_t(uint64_t Bound)> m_Random;

  /// A replica that hears no leader campaigns after a random time in
  /// [m_ElectionTimeoutMin, m_ElectionTimeoutMax). A leader that hears no
  /// quorum steps down after m_ElectionTimeoutMin.
  Duration m_ElectionTimeoutMin = std::chrono::milliseconds(500);
  Duration m_ElectionTimeoutMax = std::chrono::milliseconds(1000);
  /// A replica that knows no leader, because it has just started or its last
  /// pre-vote failed, asks again after a random time in [m_PreVoteTimeoutMin,
  /// m_PreVoteTimeoutMax). A pre-vote disturbs nobody, so this may be shorter
  /// than an election.
  Duration m_PreVoteTimeoutMin = std::chrono::milliseconds(100);
  Duration m_PreVoteTimeoutMax = std::chrono::milliseconds(300);
  /// Time between two heartbeats of a leader; below half of
  /// m_ElectionTimeoutMin.
  Duration m_HeartbeatInterval = std::chrono::milliseconds(100);
  /// A read that is not confirmed within this time fails.
  Duration m_ReadTimeout = std::chrono::milliseconds(1000);

  /// Limits of one AppendRequest. A single larger entry is sent alone.
  uint64_t m_MaxBatchEntries = 256;
  uint64_t m_MaxBatchBytes = 1 << 20;
  /// Entries, and bytes of their data, sent to one follower that it has not
  /// acknowledged yet. The bytes may be exceeded by one batch.
  uint64_t m_MaxInflightEntries = 1024;
  uint64_t m_MaxInflightBytes = 8 << 20;
  /// Entries of the leader's log that are not committed yet; further proposals
  /// are refused as busy. Leaves room for a burst of 50,000 cancellations.
  uint64_t m_MaxUncommittedEntries = 65'536;
  /// Reads of this replica that wait for confirmation or application; further
  /// reads are refused as busy.
  uint64_t m_MaxPendingReads = 8192;
  /// Bytes of a snapshot in one message.
  uint64_t m_SnapshotChunkBytes = 256 << 10;
  /// Entries kept in memory before a snapshot, so that slightly lagging
  /// followers need no snapshot.
  uint64_t m_RetainedEntries = 4096;
  /// A learner may be promoted only if it lags the leader's log by at most this
  /// many entries.
  uint64_t m_MaxPromotionLag = 64;

  /// Returns RaftErrc::BadOptions naming the first option out of range.
  absl::Status check() const;
};

} // namespace anvil::raft

#endif // ANVIL_RAFT_RAFTOPTIONS_H
