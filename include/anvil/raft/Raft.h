#ifndef ANVIL_RAFT_RAFT_H
#define ANVIL_RAFT_RAFT_H

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "anvil/base/Time.h"
#include "anvil/raft/RaftError.h"
#include "anvil/raft/RaftMessages.h"
#include "anvil/raft/RaftOptions.h"
#include "anvil/raft/RaftTypes.h"

namespace anvil::raft {

/// Lets timeouts take effect. The host sends one at least every tenth of the
/// election timeout, or at Raft::nextDeadline().
struct TickInput {};

/// A message that arrived from another replica.
struct ReceiveInput {
  RaftMessage m_Message;
};

/// One command to replicate.
struct Proposal {
  /// Chosen by the host and returned in ProposalResult.
  uint64_t m_Context = 0;
  std::string m_Data;
};

/// Commands to append in this order. Commands of one input share messages and
/// disk writes.
struct ProposeInput {
  std::vector<Proposal> m_Proposals;
};

/// A linearizable read. The host may answer it from the local state machine as
/// soon as a step outputs its ReadResult.
struct ReadInput {
  /// Chosen by the host and returned in ReadResult.
  uint64_t m_Context = 0;
};

/// Reports that the writes of all outputs up to and including m_Sequence are
/// synced to disk.
struct PersistedInput {
  uint64_t m_Sequence = 0;
};

/// Reports that the state machine contains all entries up to m_Index.
struct AppliedInput {
  LogIndex m_Index = 0;
};

/// Reports a snapshot that the host made at an applied index and synced to disk
/// with the metadata of Raft::snapshotMeta().
struct SnapshotMadeInput {
  Snapshot m_Snapshot;
};

/// Kinds of membership change. A new replica always joins as a learner.
enum class MembershipChangeKind { AddLearner, PromoteLearner, RemoveReplica };

/// Changes the membership by one replica. The outcome is a ProposalResult.
struct ChangeMembershipInput {
  /// Chosen by the host and returned in ProposalResult.
  uint64_t m_Context = 0;
  MembershipChangeKind m_Kind = MembershipChangeKind::AddLearner;
  ReplicaId m_Replica;
};

/// Transfers leadership to another voter. Proposals are refused with
/// RaftErrc::Busy until the transfer succeeds or an election timeout passes.
struct TransferLeadershipInput {
  ReplicaId m_Target;
};

/// Event for Raft::step().
using RaftInput = std::variant<TickInput, ReceiveInput, ProposeInput, ReadInput,
                               PersistedInput, AppliedInput, SnapshotMadeInput,
                               ChangeMembershipInput, TransferLeadershipInput>;

/// Role of a replica in its group.
enum class RaftRole { Follower, PreCandidate, Candidate, Leader };

/// Outcome of a proposal or membership change.
///
/// OK: committed at m_Index and durable here; the entry is in
/// RaftOutput::m_Committed of the same output. NotLeader, Busy, ChangeRefused:
/// never appended. Superseded: will never take effect. OutcomeUnknown: may or
/// may not have taken effect.
struct ProposalResult {
  uint64_t m_Context = 0;
  absl::Status m_Status;
  LogIndex m_Index = 0;
};

/// Outcome of a read: OK when the local state machine is recent enough to
/// answer it, otherwise NotLeader, Busy or ReadNotConfirmed.
struct ReadResult {
  uint64_t m_Context = 0;
  absl::Status m_Status;
  /// The state machine contains at least the entries up to this index.
  LogIndex m_Index = 0;
};

/// A snapshot from the leader that replaces the state machine.
struct SnapshotInstall {
  Snapshot m_Snapshot;
  /// Whether entries after the snapshot stay in the log. If not, the host drops
  /// all entries of the log on disk.
  bool m_KeepSuffix = false;
};

/// Role, term and known leader after one of them changed.
struct RoleChange {
  RaftRole m_Role = RaftRole::Follower;
  TermNumber m_Term = 0;
  /// Leader of the term, or NoReplica if it is not known.
  ReplicaId m_Leader;

  bool operator==(const RoleChange &) const = default;
};

/// Effects of one step, for the host to carry out.
///
/// The host makes durable, in this order: m_Hard, m_Install, m_TruncateFrom,
/// m_Append. It then reports m_Sequence with a PersistedInput; one sync may
/// cover several outputs. Messages may be sent immediately, because those that
/// depend on unsynced data are held back until the report.
struct RaftOutput {
  /// Number to report once the output is durable; 0 if there is nothing to
  /// persist.
  uint64_t m_Sequence = 0;
  std::optional<HardState> m_Hard;
  /// Snapshot to save and to restore the state machine from, before any entry
  /// of m_Committed.
  std::optional<SnapshotInstall> m_Install;
  /// First index to remove from the log on disk, before m_Append. May be before
  /// the first entry on disk.
  std::optional<LogIndex> m_TruncateFrom;
  /// Entries to append to the log on disk. The first may follow the snapshot
  /// directly.
  std::vector<LogEntry> m_Append;

  std::vector<RaftMessage> m_Messages;
  /// Entries to apply in order. The host then reports AppliedInput, also for
  /// entries that are not commands.
  std::vector<LogEntry> m_Committed;
  std::vector<ProposalResult> m_Proposals;
  std::vector<ReadResult> m_Reads;
  std::optional<RoleChange> m_Role;
  /// Entries up to this index are covered by a saved snapshot and may be
  /// deleted from disk.
  std::optional<LogIndex> m_CompactTo;
};

/// State of a replica for status pages and tests.
struct RaftStatus {
  RaftRole m_Role = RaftRole::Follower;
  TermNumber m_Term = 0;
  ReplicaId m_Leader;
  LogIndex m_Commit = 0;
  LogIndex m_Applied = 0;
  /// Last index that is durable here.
  LogIndex m_Durable = 0;
  /// First index in memory, and last index of the log.
  LogIndex m_FirstIndex = 0;
  LogIndex m_LastIndex = 0;
  Membership m_Members;
  /// Whether m_Members is committed.
  bool m_MembersCommitted = false;
  /// On the leader: learners that it would accept as voters now, since they
  /// have caught up and were heard recently.
  std::vector<ReplicaId> m_PromotableLearners;
};

namespace internal {
class RaftCore;
} // namespace internal

/// Replicates a log among a few replicas as a deterministic state machine
/// without I/O, clock or random source.
///
/// The host calls step() for each event and carries out the returned effects:
///
///     absl::StatusOr<Raft> Replica = Raft::create(Options, StateFromDisk);
///     RaftOutput Output = Replica->step(TickInput{}, Now);
///
/// The instants passed to step() must not decrease. Clocks of replicas may run
/// at different rates: safety never depends on time, and the time bounds scale
/// with the rate. An instance is not thread safe.
class Raft {
public:
  /// Returns a follower that resumes from \p State.
  ///
  /// Errors: RaftErrc::BadOptions, RaftErrc::BadPersistentState.
  static absl::StatusOr<Raft> create(RaftOptions Options,
                                     RaftPersistentState State);

  Raft(Raft &&Other) noexcept;
  Raft &operator=(Raft &&Other) noexcept;
  ~Raft();

  /// Handles one event at the instant \p Now and returns the effects.
  RaftOutput step(const RaftInput &Input, TimePoint Now);

  /// Returns the next instant at which a TickInput can have an effect.
  TimePoint nextDeadline() const;

  RaftStatus status() const;

  /// Returns the term of the entry at \p Index, or nothing if it is compacted
  /// or beyond the end of the log.
  std::optional<TermNumber> termAt(LogIndex Index) const;

  /// Returns the metadata of a snapshot of the state machine at the applied
  /// index \p Index.
  ///
  /// Errors: RaftErrc::ChangeRefused if the index is not applied and durable,
  /// or already compacted.
  absl::StatusOr<SnapshotMeta> snapshotMeta(LogIndex Index) const;

private:
  explicit Raft(std::unique_ptr<internal::RaftCore> Core);

  std::unique_ptr<internal::RaftCore> m_Core;
};

} // namespace anvil::raft

#endif // ANVIL_RAFT_RAFT_H
