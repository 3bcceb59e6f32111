#ifndef ANVIL_RAFT_RAFTLOG_H
#define ANVIL_RAFT_RAFTLOG_H

#include <deque>
#include <optional>
#include <vector>

#include "absl/status/statusor.h"

#include "anvil/raft/RaftTypes.h"

namespace anvil::raft::internal {

/// Holds the entries after the last compacted one and the memberships that they
/// define.
class RaftLog {
public:
  /// Returns a log that starts after \p Base and holds those of \p Entries that
  /// follow it.
  static absl::StatusOr<RaftLog> create(const SnapshotMeta &Base,
                                        std::vector<LogEntry> Entries);

  /// Returns the base, i.e. the index before the first entry in memory.
  LogIndex baseIndex() const { return m_BaseIndex; }
  LogIndex lastIndex() const { return m_BaseIndex + m_Entries.size(); }
  TermNumber lastTerm() const {
    return m_Entries.empty() ? m_BaseTerm : m_Entries.back().m_Term;
  }

  /// Returns the term at \p Index, which may be the base, or nothing if it is
  /// before the base or beyond the end.
  std::optional<TermNumber> termAt(LogIndex Index) const;

  /// Returns the entry at \p Index, which must be after the base and not beyond
  /// the end.
  const LogEntry &at(LogIndex Index) const {
    return m_Entries[Index - m_BaseIndex - 1];
  }

  /// Returns entries from \p First on within the limits, but at least one if
  /// there is any.
  std::vector<LogEntry> slice(LogIndex First, uint64_t MaxEntries,
                              uint64_t MaxBytes) const;

  /// Returns the largest index up to \p Index whose term is at most \p Term;
  /// the base if there is none.
  LogIndex lastIndexWithTermUpTo(LogIndex Index, TermNumber Term) const;

  void append(LogEntry Entry);
  void truncateFrom(LogIndex First);
  /// Drops entries up to \p Index, which must be in the log.
  void compactTo(LogIndex Index);
  /// Drops all entries and continues after \p Base.
  void reset(const SnapshotMeta &Base);

  /// The latest membership, whether committed or not, and the index of its
  /// entry.
  const Membership &membership() const {
    return m_Memberships.back().m_Members;
  }
  LogIndex membershipIndex() const { return m_Memberships.back().m_Index; }
  /// Returns the membership that is in effect at \p Index, which must not be
  /// before the base.
  const Membership &membershipAt(LogIndex Index) const;

private:
  struct MembershipRecord {
    LogIndex m_Index = 0;
    Membership m_Members;
  };

  explicit RaftLog(const SnapshotMeta &Base) { reset(Base); }

  LogIndex m_BaseIndex = 0;
  TermNumber m_BaseTerm = 0;
  std::deque<LogEntry> m_Entries;
  /// In log order; the first record is the membership at the base.
  std::vector<MembershipRecord> m_Memberships;
};

} // namespace anvil::raft::internal

#endif // ANVIL_RAFT_RAFTLOG_H
