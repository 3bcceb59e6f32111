#ifndef ANVIL_REPLICA_REPLICATEDLOG_H
#define ANVIL_REPLICA_REPLICATEDLOG_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "anvil/base/Time.h"
#include "anvil/raft/Raft.h"
#include "anvil/store/LogStore.h"

namespace boost::asio {
class io_context;
}

namespace anvil::replica {

/// Settings of one replica of a replicated log.
struct ReplicatedLogOptions {
  raft::RaftOptions m_Raft;
  /// Voters of a new group, used only if the data folder is empty. Without it
  /// an empty replica waits to be added as a learner; a replica that lost its
  /// disk must come back with a new id, since its old votes are lost as well.
  std::optional<raft::Membership> m_Bootstrap;
  /// Entries applied between two snapshots.
  uint64_t m_SnapshotEvery = 20000;
  std::function<TimePoint()> m_Now; ///< Monotonic clock.
  /// Receives the commands that create() found in the log, in order; may be
  /// empty. They need not be committed, so the state machine must not apply
  /// them yet.
  std::function<void(std::string_view Command)> m_OnRecovered;
};

/// The state machine behind a replicated log, and the receivers of its events.
/// All run on the thread of the io_context.
struct ReplicatedLogHooks {
  /// Applies a committed command. An error means that the log is unusable.
  std::function<absl::Status(std::string_view Command, raft::LogIndex Index)>
      m_Apply;
  /// Returns all state as bytes.
  std::function<std::string()> m_Snapshot;
  /// Replaces all state by what m_Snapshot returned.
  std::function<absl::Status(std::string_view Snapshot)> m_Restore;
  /// Sends an encoded message to another replica; may be lost.
  std::function<void(raft::ReplicaId To, std::string Message)> m_Send;
  std::function<void(const raft::RoleChange &)> m_OnRole;
  /// Runs after a group of entries was applied and before their proposals are
  /// answered.
  std::function<void()> m_OnApplied;
  /// Runs after the proposals of such a group were answered; results of
  /// m_Apply that were kept for them are not needed any more.
  std::function<void()> m_OnAnswered;
  /// The storage failed; the replica has stopped taking part.
  std::function<void(const absl::Status &)> m_OnFatal;
};

/// Receives the log index of a committed and applied command, or an error of
/// the replicated log.
using ProposalDone = std::function<void(absl::StatusOr<raft::LogIndex>)>;

/// Joins the consensus module, its storage and a state machine.
///
/// Usage: create(), then start() with the hooks; the state machine must already
/// hold snapshot(). All calls and hooks run on the thread of the io_context;
/// only the storage works on a thread of its own.
class ReplicatedLog {
public:
  static absl::StatusOr<std::unique_ptr<ReplicatedLog>>
  create(boost::asio::io_context &Io, ReplicatedLogOptions Options,
         std::unique_ptr<store::LogStore> Store);
  ~ReplicatedLog();

  /// Returns the snapshot that was read from the disk, or null.
  raft::SnapshotData snapshot() const;
  /// Starts timers and takes part in the group.
  void start(ReplicatedLogHooks Hooks);
  /// Handles an encoded message of another replica; bad bytes are counted and
  /// dropped.
  void receive(std::string_view Bytes);
  /// Replicates a command; \p Done runs exactly once. A replica that does not
  /// lead answers raft::RaftErrc::NotLeader.
  void propose(std::string Command, ProposalDone Done);
  /// Confirms that the state machine holds everything committed before this
  /// call.
  void read(std::function<void(absl::Status)> Done);
  /// Adds, promotes or removes one replica.
  void changeMembership(raft::MembershipChangeKind Kind,
                        raft::ReplicaId Replica, ProposalDone Done);
  /// Hands leadership to \p Target.
  void transferLeadership(raft::ReplicaId Target);

  raft::RaftStatus status() const;
  /// Returns true while this replica leads and its storage works.
  bool leads() const;
  bool failed() const;
  /// Stops the replica for good after an error outside the log.
  void fail(const absl::Status &Reason);

private:
  struct Impl;
  explicit ReplicatedLog(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::replica

#endif // ANVIL_REPLICA_REPLICATEDLOG_H
