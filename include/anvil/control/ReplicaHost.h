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
  /// Voters of a new group, used only if the data folder is empty. Without it
  /// an empty replica waits to be added as a learner; a replica that lost its
  /// disk must come back with a new id, since its old votes are lost as well.
  std::optional<raft::Membership> m_Bootstrap;
  /// Entries applied between two snapshots.
  uint64_t m_SnapshotEvery = 20000;
  std::function<TimePoint()> m_Now;           ///< Monotonic clock.
  std::function<int64_t()> m_WallClockMicros; ///< Time stamped on commands.
  net::RpcOptions m_Rpc;
};

/// Receives the result of a command once it is committed and applied, or an
/// error of the replicated log.
using CommandDone = std::function<void(absl::StatusOr<wire::CommandResult>)>;

/// Joins the replicated log, its storage, the messages between replicas and the
/// replicated state.
///
/// Usage: create(), set the hooks, start(). All calls and hooks run on the
/// thread of the io_context; only the storage works on a thread of its own.
class ReplicaHost {
public:
  struct Hooks {
    std::function<void(const raft::RoleChange &)> m_OnRole;
    state::StateEventHook m_OnStateEvent;
    /// Runs after a group of entries was applied.
    std::function<void()> m_OnApplied;
    /// The storage failed; the replica has stopped taking part.
    std::function<void(const absl::Status &)> m_OnFatal;
  };

  static absl::StatusOr<std::unique_ptr<ReplicaHost>>
  create(boost::asio::io_context &Io, ReplicaHostOptions Options,
         std::unique_ptr<store::LogStore> Store);
  ~ReplicaHost();

  /// Starts timers and takes part in the group.
  void start(Hooks Receivers);
  /// Handles an encoded message of another replica; bad bytes are counted and
  /// dropped.
  void receive(std::string_view Bytes);
  /// Replicates a command; \p Done runs exactly once. A replica that does not
  /// lead answers raft::RaftErrc::NotLeader. A wire::ChangeReplicas becomes a
  /// membership change; one that is not allowed has the status REFUSED.
  void propose(wire::Command Command, CommandDone Done);
  /// Confirms that state() holds everything committed before this call.
  void read(std::function<void(absl::Status)> Done);
  /// Adds, promotes or removes one replica.
  void changeMembership(raft::MembershipChangeKind Kind,
                        raft::ReplicaId Replica,
                        std::function<void(absl::Status)> Done);
  /// Hands leadership to a peer before a shutdown, if this replica leads.
  void yieldLeadership();

  const state::ClusterState &state() const;
  raft::RaftStatus status() const;
  bool leads() const;
  /// Returns the link to another replica, or null.
  net::RpcClient *peer(raft::ReplicaId Replica);

private:
  struct Impl;
  explicit ReplicaHost(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace anvil::control

#endif // ANVIL_CONTROL_REPLICAHOST_H
