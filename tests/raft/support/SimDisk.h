#ifndef ANVIL_TESTS_RAFT_SUPPORT_SIMDISK_H
#define ANVIL_TESTS_RAFT_SUPPORT_SIMDISK_H

#include <deque>
#include <variant>
#include <vector>

#include "anvil/raft/Raft.h"
#include "raft/support/SimRandom.h"

namespace anvil::raft::sim {

/// Simulates the disk of one replica, which loses unsynced writes in a crash.
class SimDisk {
public:
  SimDisk() = default;
  explicit SimDisk(RaftPersistentState Initial)
      : m_Durable(std::move(Initial)) {}

  /// Queues the writes of \p Output.
  void write(const RaftOutput &Output);
  /// Makes the writes up to \p Sequence durable.
  void sync(uint64_t Sequence);
  /// Keeps a random prefix of the unsynced writes and discards the rest.
  void crash(SimRandom &Random);
  /// Saves and syncs a snapshot of the replica's own state machine.
  void saveSnapshot(const Snapshot &Saved);
  /// Deletes entries up to \p Index.
  void compactTo(LogIndex Index);

  /// Returns the state that a restart reads.
  const RaftPersistentState &durable() const { return m_Durable; }
  LogIndex durableLastIndex() const;
  /// Returns whether the entry at \p Index with \p Term is durable, in the log
  /// or in the snapshot.
  bool holds(LogIndex Index, TermNumber Term) const;

private:
  struct Truncate {
    LogIndex m_First = 0;
  };
  struct Write {
    uint64_t m_Sequence = 0;
    std::variant<HardState, Snapshot, Truncate, LogEntry> m_Content;
  };

  void applyFront();
  void apply(const HardState &Hard) { m_Durable.m_Hard = Hard; }
  void apply(const Snapshot &Installed) { m_Durable.m_Snapshot = Installed; }
  void apply(const Truncate &Truncation);
  void apply(const LogEntry &Entry) { m_Durable.m_Entries.push_back(Entry); }

  RaftPersistentState m_Durable;
  std::deque<Write> m_Unsynced;
};

} // namespace anvil::raft::sim

#endif // ANVIL_TESTS_RAFT_SUPPORT_SIMDISK_H
