#ifndef ANVIL_RAFT_PROGRESS_H
#define ANVIL_RAFT_PROGRESS_H

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "anvil/base/Time.h"
#include "anvil/raft/RaftTypes.h"

namespace anvil::raft::internal {

/// How the leader sends entries to one replica.
enum class ProgressMode {
  /// Sends one request at a time until the last common entry is known.
  Probe,
  /// Sends batches without waiting, up to the in-flight limit.
  Replicate,
  /// Sends a snapshot in chunks, one at a time.
  Snapshot,
};

/// State of another replica as the leader knows it.
struct Progress {
  ProgressMode m_Mode = ProgressMode::Probe;
  /// Last index known to be durable on the replica and equal to the leader's
  /// log.
  LogIndex m_Match = 0;
  /// Next index to send.
  LogIndex m_Next = 1;
  /// In Probe mode: a request is in flight.
  bool m_ProbeSent = false;
  /// Largest commit index sent so far.
  LogIndex m_SentCommit = 0;
  /// Largest heartbeat round that the replica answered.
  uint64_t m_AckedRound = 0;
  /// Time of the last message of the leader's term from the replica.
  TimePoint m_LastContact;
  /// Time when m_Match last grew or when sending resumed after a pause.
  TimePoint m_LastProgress;

  /// Snapshot in transfer. It is kept when a newer one is made, so that the
  /// transfer can finish.
  Snapshot m_Transfer;
  uint64_t m_Offset = 0;
  /// Time when the chunk at m_Offset was sent; empty if it is to be sent.
  std::optional<TimePoint> m_ChunkSentAt;

  /// Batches sent in Replicate mode that are not acknowledged yet.
  struct Batch {
    LogIndex m_LastIndex = 0;
    uint64_t m_Bytes = 0;
  };
  std::deque<Batch> m_Batches;
  uint64_t m_InflightBytes = 0;

  /// Returns the number of entries in flight.
  uint64_t inflight() const { return m_Next - 1 - m_Match; }

  void noteSent(LogIndex LastIndex, uint64_t Bytes) {
    m_Next = LastIndex + 1;
    m_Batches.push_back({LastIndex, Bytes});
    m_InflightBytes += Bytes;
  }

  void noteAcknowledged(LogIndex Match) {
    m_Match = std::max(m_Match, Match);
    m_Next = std::max(m_Next, m_Match + 1);
    while (!m_Batches.empty() && m_Batches.front().m_LastIndex <= m_Match) {
      m_InflightBytes -= m_Batches.front().m_Bytes;
      m_Batches.pop_front();
    }
  }

  /// Returns to Probe mode at \p Next, or after m_Match if that is later.
  void probeFrom(LogIndex Next) {
    m_Mode = ProgressMode::Probe;
    m_Next = std::max(Next, m_Match + 1);
    m_ProbeSent = false;
    m_Transfer = {};
    m_Batches.clear();
    m_InflightBytes = 0;
  }
};

} // namespace anvil::raft::internal

#endif // ANVIL_RAFT_PROGRESS_H
