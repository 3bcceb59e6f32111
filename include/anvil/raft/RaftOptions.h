#ifndef ANVIL_RAFT_RAFTOPTIONS_H
#define ANVIL_RAFT_RAFTOPTIONS_H

#include <cstdint>
#include <functional>

#include "absl/status/status.h"

#include "anvil/base/Time.h"
#include "anvil/raft/RaftTypes.h"

namespace anvil::raft {

/// Settings of one replica. All replicas of a group should use the same
/// timeouts and limits.
struct RaftOptions {
  /// Id of this replica. Must be positive.
  ReplicaId m_Self;
  /// Returns a uniformly distributed random number in [0, Bound); used for
  /// election timeouts and read ids. Required.
  std::function<uint64_t(uint64_t Bound)> m_Random;

  /// A replica that receives nothing from a leader campaigns after a random
  /// time in [m_ElectionTimeoutMin, m_ElectionTimeoutMax). A leader that
  /// receives nothing from a quorum steps down after m_ElectionTimeoutMin.
  Duration m_ElectionTimeoutMin = std::chrono::milliseconds(500);
  Duration m_ElectionTimeoutMax = std::chrono::milliseconds(1000);
  /// A replica that knows no leader, because it has just started or its last
  /// pre-vote failed, starts a pre-vote after a random time in
  /// [m_PreVoteTimeoutMin, m_PreVoteTimeoutMax). A pre-vote does not disrupt
  /// the group, so this may be shorter than the election timeout.
  Duration m_PreVoteTimeoutMin = std::chrono::milliseconds(100);
  Duration m_PreVoteTimeoutMax = std::chrono::milliseconds(300);
  /// Time between two heartbeats of a leader. Must be below half of
  /// m_ElectionTimeoutMin.
  Duration m_HeartbeatInterval = std::chrono::milliseconds(100);
  /// A read that is not confirmed within this time fails.
  Duration m_ReadTimeout = std::chrono::milliseconds(1000);

  /// Limits of one AppendRequest. An entry that exceeds m_MaxBatchBytes is sent
  /// alone.
  uint64_t m_MaxBatchEntries = 256;
  uint64_t m_MaxBatchBytes = 1 << 20;
  /// Limits on entries, and on bytes of their data, that are sent to one
  /// follower and not acknowledged yet. One batch may exceed the limit on
  /// bytes.
  uint64_t m_MaxInflightEntries = 1024;
  uint64_t m_MaxInflightBytes = 8 << 20;
  /// Limit on uncommitted entries of the leader's log; further proposals are
  /// refused with RaftErrc::Busy. Leaves room for a burst of 50,000
  /// cancellations.
  uint64_t m_MaxUncommittedEntries = 65'536;
  /// Limit on reads of this replica that wait until they are confirmed or their
  /// index is applied; further reads are refused with RaftErrc::Busy.
  uint64_t m_MaxPendingReads = 8192;
  /// Size of a snapshot chunk in bytes.
  uint64_t m_SnapshotChunkBytes = 256 << 10;
  /// Number of entries kept in memory that a snapshot already includes, so that
  /// followers that lag slightly need no snapshot.
  uint64_t m_RetainedEntries = 4096;
  /// A learner may be promoted only if it lags behind the leader's log by at
  /// most this many entries.
  uint64_t m_MaxPromotionLag = 64;

  /// Returns OK, or RaftErrc::BadOptions with a message that names the first
  /// option out of range.
  absl::Status check() const;
};

} // namespace anvil::raft

#endif // ANVIL_RAFT_RAFTOPTIONS_H
