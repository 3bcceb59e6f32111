#ifndef ANVIL_TESTS_RAFT_SUPPORT_SAFETYCHECKER_H
#define ANVIL_TESTS_RAFT_SUPPORT_SAFETYCHECKER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "anvil/raft/Raft.h"

namespace anvil::raft::sim {

/// State of the replicated register after an applied entry.
struct RegisterState {
  LogIndex m_Index = 0;
  /// Last applied write; 0 before the first.
  uint64_t m_Value = 0;
  /// Hash of all applied entries.
  uint64_t m_Hash = 0;

  bool operator==(const RegisterState &) const = default;
};

/// Returns the state after \p Entry is applied to \p State.
RegisterState applyEntry(RegisterState State, const LogEntry &Entry);

/// Checks the safety properties of the replicated log and of the register
/// against the events of all replicas.
///
/// The first violation is kept. The caller stops the run when failure() is set.
class SafetyChecker {
public:
  const std::optional<std::string> &failure() const { return m_Failure; }
  void fail(std::string Text);

  /// Election safety: a term has at most one leader. Leader completeness: a new
  /// leader holds all committed entries.
  void onLeader(ReplicaId Id, TermNumber Term, const Raft &Replica);
  /// Log matching: entries with the same index and term have the same content
  /// and the same predecessor.
  void onAppend(ReplicaId Id, const LogEntry &Entry, TermNumber PrevTerm);
  /// State-machine safety: all replicas apply the same entry at an index.
  void onApply(ReplicaId Id, const LogEntry &Entry, const RegisterState &After);
  /// An installed snapshot equals the state after the applied entries.
  void onRestore(ReplicaId Id, const RegisterState &State);

  // History of the register operations. Contexts are unique.
  void onInvoke(uint64_t Context);
  void onWriteDone(uint64_t Context, LogIndex Index);
  /// The write was reported as one that never takes effect.
  void onWriteRefused(uint64_t Context);
  void onReadDone(uint64_t Context, const RegisterState &Seen);

  LogIndex committedIndex() const { return m_Applied.size(); }
  uint64_t completedOperations() const { return m_Completed; }

private:
  struct KnownEntry {
    TermNumber m_PrevTerm = 0;
    uint64_t m_Hash = 0;
  };
  struct AppliedEntry {
    TermNumber m_Term = 0;
    RegisterState m_After;
  };

  void finishOperation(uint64_t Context, LogIndex Position, bool IsWrite);

  std::optional<std::string> m_Failure;
  std::map<TermNumber, ReplicaId> m_Leaders;
  std::map<std::pair<LogIndex, TermNumber>, KnownEntry> m_KnownEntries;
  std::vector<AppliedEntry> m_Applied;
  /// Index of each applied write.
  std::unordered_map<uint64_t, LogIndex> m_WriteIndex;
  std::set<uint64_t> m_RefusedWrites;
  /// For each operation in progress: the largest log position that was observed
  /// before it started.
  std::unordered_map<uint64_t, LogIndex> m_MinPositions;
  LogIndex m_MaxObserved = 0;
  uint64_t m_Completed = 0;
};

} // namespace anvil::raft::sim

#endif // ANVIL_TESTS_RAFT_SUPPORT_SAFETYCHECKER_H
