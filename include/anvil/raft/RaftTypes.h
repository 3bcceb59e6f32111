#ifndef ANVIL_RAFT_RAFTTYPES_H
#define ANVIL_RAFT_RAFTTYPES_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "anvil/base/Ids.h"

namespace anvil::raft {

/// Identifies one replica of a group; positive, and never reused after the disk
/// of a replica was lost.
using ReplicaId = NumericId<struct ReplicaTag>;

/// Represents "no replica", e.g. no vote cast or no known leader.
inline constexpr ReplicaId NoReplica{};

/// Position in the replicated log; the first entry has index 1, and 0 means
/// "before the log".
using LogIndex = uint64_t;

/// Number of a term, which starts with an election and has at most one leader.
using TermNumber = uint64_t;

/// Replicas of a group. The lists are sorted and disjoint.
struct Membership {
  std::vector<ReplicaId> m_Voters;
  std::vector<ReplicaId> m_Learners;

  bool operator==(const Membership &) const = default;

  bool isVoter(ReplicaId Id) const;
  bool isLearner(ReplicaId Id) const;
  bool contains(ReplicaId Id) const { return isVoter(Id) || isLearner(Id); }

  /// Returns the number of voters that form a majority.
  size_t quorum() const { return m_Voters.size() / 2 + 1; }
};

/// Content of a log entry.
enum class EntryKind : uint8_t {
  /// Opaque bytes of a proposal.
  Command = 1,
  /// Appended by a new leader so that it can commit the entries of older terms.
  Noop = 2,
  /// Replaces the membership of the group.
  Membership = 3,
};

/// One entry of the replicated log.
struct LogEntry {
  LogIndex m_Index = 0;
  TermNumber m_Term = 0;
  EntryKind m_Kind = EntryKind::Command;
  /// Bytes of a Command, empty for other kinds.
  std::string m_Data;
  /// New membership of a Membership entry, empty for other kinds.
  Membership m_Members;

  bool operator==(const LogEntry &) const = default;
};

/// Election state that must be durable before a replica answers or requests a
/// vote.
struct HardState {
  TermNumber m_Term = 0;
  ReplicaId m_VotedFor;

  bool operator==(const HardState &) const = default;
};

/// Log position and membership that a snapshot includes.
struct SnapshotMeta {
  /// Last entry that the snapshot includes; 0 if there is no snapshot.
  LogIndex m_Index = 0;
  TermNumber m_Term = 0;
  Membership m_Members;

  bool operator==(const SnapshotMeta &) const = default;
};

/// Serialized state machine. It is shared, so that transfers to several
/// replicas need no copies.
using SnapshotData = std::shared_ptr<const std::string>;

/// A snapshot with its content.
struct Snapshot {
  SnapshotMeta m_Meta;
  SnapshotData m_Data;
};

/// State that a replica reads from its disk when it starts.
struct RaftPersistentState {
  HardState m_Hard;
  Snapshot m_Snapshot;
  /// Entries in order without gaps. Entries that the snapshot includes are
  /// allowed and are skipped.
  std::vector<LogEntry> m_Entries;
};

/// Returns the initial state of each voter of a new group, which the host makes
/// durable before the first start.
///
/// The membership is the log's first entry, so every voter must start with the
/// same list. A replica that joins an existing group starts with an empty
/// RaftPersistentState instead.
RaftPersistentState bootstrapState(Membership Members);

} // namespace anvil::raft

#endif // ANVIL_RAFT_RAFTTYPES_H
