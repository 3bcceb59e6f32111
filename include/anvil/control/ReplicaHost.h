#ifndef ANVIL_CONTROL_REPLICAHOST_H
#define ANVIL_CONTROL_REPLICAHOST_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "anvil/base/Time.h"
#include "anvil/net/Rpc.h"
#include "anvil/raft/Raft.h"
#include "anvil/state/ClusterState.h"
#include "anvil/store/LogStore.h"

namespace anvil::control {

/// Settings of one replica of the replicated state.
struct ReplicaHostOptions {
  raft::RaftOptions m_Raft;
  /// RPC endpoints of all other replicas.
  std::map<raft::ReplicaId, net::Endpoint> m_Peers;
  /// Voters of a new group, used only if the data folder is empty. If unset, a
  /// replica with an empty data folder waits until it is added as a learner. A
  /// replica that lost its disk must rejoin with a new ID, since its old votes
  /// are lost as well.
  std::optional<raft::Membership> m_Bootstrap;
  /// Entries applied between two snapshots.
  uint64_t m_SnapshotEvery = 20000;
  std::function<TimePoint()> m_Now;           ///< Monotonic clock.
  std::function<int64_t()> m_WallClockMicros; ///< Timestamp of commands.
  net::RpcOptions m_Rpc;
};

/// Receives the result of a command once it is committed and applied, or an
/// error of the replicated log.
using CommandDone = std::function<void(absl::StatusOr<wire::CommandResult>)>;

/// Runs one replica: connects the replicated log to its storage, to the other
/// replicas and to the replicated state.
///
/// Usage: call create(), then start() with the hooks. All calls and hooks run
/// on the thread of the io_context; only the storage uses a thread of its own.
class ReplicaHost {
public:
  struct Hooks {
    std::function<void(const raft::RoleChange &)> m_OnRole;
    state::StateEventHook m_OnStateEvent;
    /// Runs after each batch of applied entries.
    std::function<void()> m_OnApplied;
    /// Runs when the storage has failed; the replica no longer takes part in
    /// the group.
    std::function<void(const absl::Status &)> m_OnFatal;
  };

  /// Restores the state from the snapshot in \p Store, if it has one. Returns
  /// an error if the log or the snapshot is unusable.
  static absl::StatusOr<std::unique_ptr<ReplicaHost>>
  create(boost::asio::io_context &Io, ReplicaHostOptions Options,
         std::unique_ptr<store::LogStore> Store);
  ~ReplicaHost();

  /// Connects to the peers, starts the timers and joins the group.
  void start(Hooks Callbacks);
  /// Handles an encoded message from another replica. Malformed messages are
  /// counted and dropped.
  void receive(std::string_view Bytes);
  /// Replicates a command; \p Done runs exactly once. A replica that does not
  /// lead returns raft::RaftErrc::NotLeader. A wire::ChangeReplicas is executed
  /// as a membership change; a disallowed one has the status REFUSED.
  void propose(wire::Command Command, CommandDone Done);
  /// Runs a linearizable read: \p Done gets OK once state() includes everything
  /// committed before this call.
  void read(std::function<void(absl::Status)> Done);
  /// Adds, promotes or removes one replica.
  void changeMembership(raft::MembershipChangeKind Kind,
                        raft::ReplicaId Replica,
                        std::function<void(absl::Status)> Done);
  /// Starts a transfer of leadership to a connected voter before a shutdown.
  /// Has no effect if this replica does not lead or no voter is connected.
  void yieldLeadership();

  const state::ClusterState &state() const;
  raft::RaftStatus status() const;
  bool leads() const;
  /// Returns the RPC client of another replica, or null if \p Replica is not a
  /// configured peer or start() has not run.
  net::RpcClient *peer(raft::ReplicaId Replica);

private:
  struct Impl;
  explicit ReplicaHost(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::control

#endif // ANVIL_CONTROL_REPLICAHOST_H
