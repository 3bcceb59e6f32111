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
  /// Members of a new group, used only if the data folder is empty. Without it
  /// an empty replica waits until it is added as a learner. A replica that lost
  /// its disk must return with a new id, because its old votes are lost as
  /// well.
  std::optional<raft::Membership> m_Bootstrap;
  /// Number of entries applied between two snapshots.
  uint64_t m_SnapshotEvery = 20000;
  std::function<TimePoint()> m_Now; ///< Monotonic clock.
  /// Receives the commands that create() reads from the log, in log order; may
  /// be empty. The commands may be uncommitted, so the state machine must not
  /// apply them yet.
  std::function<void(std::string_view Command)> m_OnRecovered;
};

/// Callbacks to the state machine of a replicated log, to the transport and to
/// observers. All run on the thread of the io_context.
struct ReplicatedLogHooks {
  /// Applies a committed command. An error stops the replica permanently.
  std::function<absl::Status(std::string_view Command, raft::LogIndex Index)>
      m_Apply;
  /// Returns the whole state of the state machine, serialized.
  std::function<std::string()> m_Snapshot;
  /// Replaces the whole state by one that m_Snapshot returned.
  std::function<absl::Status(std::string_view Snapshot)> m_Restore;
  /// Sends an encoded message to another replica; messages may be lost.
  std::function<void(raft::ReplicaId Receiver, std::string Message)> m_Send;
  /// Reports a changed role, term or leader; may be empty.
  std::function<void(const raft::RoleChange &)> m_OnRole;
  /// Runs after a batch of entries is applied and before their proposals are
  /// answered; may be empty.
  std::function<void()> m_OnApplied;
  /// Runs after the proposals of such a batch are answered, when results of
  /// m_Apply that were kept for them can be discarded; may be empty.
  std::function<void()> m_OnAnswered;
  /// Reports that the replica has stopped, because the storage failed, a
  /// command could not be applied or fail() was called. Runs at most once; may
  /// be empty.
  std::function<void(const absl::Status &)> m_OnFatal;
};

/// Receives the log index of a committed and applied command, or an error with
/// a raft::RaftErrc.
using ProposalDone = std::function<void(absl::StatusOr<raft::LogIndex>)>;

/// Connects the consensus module to its storage and to a state machine.
///
/// Usage: create(), restore the state machine from snapshot(), then start().
/// All calls and hooks run on the thread of the io_context; only the storage
/// uses a thread of its own.
class ReplicatedLog {
public:
  /// Starts from what \p Store recovered, or bootstraps a new group. Returns
  /// the error of the storage or of raft::Raft::create().
  static absl::StatusOr<std::unique_ptr<ReplicatedLog>>
  create(boost::asio::io_context &Io, ReplicatedLogOptions Options,
         std::unique_ptr<store::LogStore> Store);
  ~ReplicatedLog();

  /// Returns the snapshot that was read from the disk, or null if there is none
  /// or start() was called.
  raft::SnapshotData snapshot() const;
  /// Starts the timers and joins the group.
  void start(ReplicatedLogHooks Hooks);
  /// Handles an encoded message of another replica. A message that can't be
  /// decoded is counted and dropped; one in a hundred is logged.
  void receive(std::string_view Bytes);
  /// Replicates a command; \p Done runs exactly once with the outcome. A
  /// replica that is not the leader or has stopped answers
  /// raft::RaftErrc::NotLeader.
  void propose(std::string Command, ProposalDone Done);
  /// Runs \p Done with OK once the state machine contains everything that was
  /// committed before this call, or with an error of raft::ReadResult.
  void read(std::function<void(absl::Status)> Done);
  /// Adds, promotes or removes one replica. A change that is not allowed is
  /// answered with raft::RaftErrc::ChangeRefused.
  void changeMembership(raft::MembershipChangeKind Kind,
                        raft::ReplicaId Replica, ProposalDone Done);
  /// Transfers leadership to \p Target. Has no effect unless this replica leads
  /// and \p Target is another voter.
  void transferLeadership(raft::ReplicaId Target);

  raft::RaftStatus status() const;
  /// Returns true while this replica is the leader and has not failed.
  bool leads() const;
  /// Returns true once the replica has stopped after an error.
  bool failed() const;
  /// Stops the replica permanently after an error outside of the log.
  void fail(const absl::Status &Reason);

private:
  struct Impl;
  explicit ReplicatedLog(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::replica

#endif // ANVIL_REPLICA_REPLICATEDLOG_H
