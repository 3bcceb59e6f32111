#include "raft/support/SimDisk.h"

namespace anvil::raft::sim {

void SimDisk::write(const RaftOutput &Output) {
  if (Output.m_Hard)
    m_Unsynced.push_back({Output.m_Sequence, *Output.m_Hard});
  if (Output.m_Install)
    m_Unsynced.push_back({Output.m_Sequence, Output.m_Install->m_Snapshot});
  // A separate write, so that a crash can occur between saving the snapshot and
  // removing the old log.
  if (Output.m_Install && !Output.m_Install->m_KeepSuffix)
    m_Unsynced.push_back({Output.m_Sequence, Truncate{0}});
  if (Output.m_TruncateFrom)
    m_Unsynced.push_back({Output.m_Sequence, Truncate{*Output.m_TruncateFrom}});
  for (const LogEntry &Entry : Output.m_Append)
    m_Unsynced.push_back({Output.m_Sequence, Entry});
}

void SimDisk::sync(uint64_t Sequence) {
  while (!m_Unsynced.empty() && m_Unsynced.front().m_Sequence <= Sequence)
    applyFront();
}

void SimDisk::crash(SimRandom &Random) {
  for (uint64_t Kept = Random.below(m_Unsynced.size() + 1); Kept > 0; --Kept)
    applyFront();
  m_Unsynced.clear();
}

void SimDisk::saveSnapshot(const Snapshot &Saved) {
  if (Saved.m_Meta.m_Index > m_Durable.m_Snapshot.m_Meta.m_Index)
    m_Durable.m_Snapshot = Saved;
}

void SimDisk::compactTo(LogIndex Index) {
  std::erase_if(m_Durable.m_Entries, [Index](const LogEntry &Entry) {
    return Entry.m_Index <= Index;
  });
}

LogIndex SimDisk::durableLastIndex() const {
  return m_Durable.m_Entries.empty() ? m_Durable.m_Snapshot.m_Meta.m_Index
                                     : m_Durable.m_Entries.back().m_Index;
}

bool SimDisk::holds(LogIndex Index, TermNumber Term) const {
  if (Index <= m_Durable.m_Snapshot.m_Meta.m_Index)
    return true;
  const std::vector<LogEntry> &Entries = m_Durable.m_Entries;
  if (Entries.empty() || Index < Entries.front().m_Index ||
      Index > Entries.back().m_Index)
    return false;
  return Entries[Index - Entries.front().m_Index].m_Term == Term;
}

void SimDisk::applyFront() {
  std::visit([this](const auto &Content) { apply(Content); },
             m_Unsynced.front().m_Content);
  m_Unsynced.pop_front();
}

void SimDisk::apply(const Truncate &Truncation) {
  std::erase_if(m_Durable.m_Entries, [&Truncation](const LogEntry &Entry) {
    return Entry.m_Index >= Truncation.m_First;
  });
}

} // namespace anvil::raft::sim
