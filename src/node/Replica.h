#ifndef ANVIL_SRC_NODE_REPLICA_H
#define ANVIL_SRC_NODE_REPLICA_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "Admission.h"
#include "LeaderDuties.h"
#include "StateMetrics.h"
#include "anvil/node/LeaderClient.h"
#include "anvil/replica/ReplicatedLog.h"
#include "anvil/store/LogStore.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::node::internal {

/// Settings of a Replica.
struct ReplicaOptions {
  std::string m_DataFolder;
  /// Address at which other processes reach this one.
  net::Endpoint m_Address;
  std::string m_AvailabilityZone;
  raft::RaftOptions m_Raft;        ///< m_Self is read from the data folder.
  uint64_t m_SnapshotEvery = 2000; ///< In log entries.
  uint64_t m_SegmentBytes = 4u << 20;
  LeaderOptions m_Leader;
  workload::WorkloadLimits m_Limits;
  std::function<TimePoint()> m_Now;
  std::function<int64_t()> m_WallClockMicros;
  /// Returns a number in [0, 1).
  std::function<double()> m_Random;
  metrics::Registry *m_Metrics = nullptr; ///< Outlives the replica.
};

/// One replica of the workload state on a VM with a disk.
///
/// Usage: create() opens the data folder. If the folder holds a log, the
/// replica takes part in the group at once; otherwise it waits for foundGroup()
/// or joinGroup(). If the storage fails, OnFatal runs and the replica stops to
/// take part.
class Replica : public std::enable_shared_from_this<Replica> {
public:
  static absl::StatusOr<std::shared_ptr<Replica>>
  create(boost::asio::io_context &Io, ReplicaOptions Options,
         std::shared_ptr<LeaderClient> Client, log::EventLog &Log,
         std::function<void(const absl::Status &)> OnFatal);
  ~Replica();
  Replica(const Replica &) = delete;
  Replica &operator=(const Replica &) = delete;

  raft::ReplicaId id() const { return m_Options.m_Raft.m_Self; }
  /// Returns true once the replica has a log: after foundGroup(), joinGroup()
  /// or recovery.
  bool inGroup() const { return m_ReplicatedLog != nullptr; }
  /// Founds a new group with this replica as its only voter.
  absl::Status foundGroup();
  /// Starts with an empty log that the leader of a group fills.
  absl::Status joinGroup();

  void receive(const wire::GroupMessage &Message);
  /// Executes a call of an entry or of another replica.
  void call(const wire::WorkloadCall &Call,
            const std::function<void(wire::WorkloadReply)> &Done);
  void workerSync(const wire::WorkerSyncRequest &Request,
                  std::function<void(wire::WorkerSyncReply)> Done);
  void entryWatch(const wire::EntryWatchRequest &Request,
                  std::function<void(wire::EntryWatchReply)> Done);

  /// Returns the replicas and the leader that this replica knows.
  wire::GroupView groupView() const;
  /// Returns true while this replica leads and its LeaderDuties are active.
  bool leads() const { return m_Duties && m_Duties->active(); }
  raft::RaftStatus status() const;
  const workload::WorkloadState &state() const { return m_State; }
  /// Transfers leadership to a connected voter if this replica leads.
  void yieldLeadership();

private:
  Replica(boost::asio::io_context &Io, ReplicaOptions Options,
          std::shared_ptr<LeaderClient> Client, log::EventLog &Log,
          std::function<void(const absl::Status &)> OnFatal);

  absl::Status open(std::optional<raft::Membership> Bootstrap);
  replica::ReplicatedLogHooks hooks();
  absl::Status apply(std::string_view Bytes, raft::LogIndex Index);
  absl::Status restore(std::string_view Snapshot);
  void recoverAddress(std::string_view Bytes);
  std::optional<net::Endpoint> addressOf(int64_t Id) const;
  void send(raft::ReplicaId Receiver, std::string Message);
  void onRoleChange(const raft::RoleChange &Change);
  void beginLeadership(raft::TermNumber Term);
  void registerSelf();
  void propose(wire::WorkloadCommand Command, CommandDone Done);
  LeaderPorts leaderPorts();
  void onLostWork(const dispatch::LostWork &Lost);
  void onShareYielded(const dispatch::ShareYield &Yield);
  void onStateEvent(const workload::WorkloadEvent &Event);

  // Handlers of calls; each invokes Done once.
  using CallDone = std::function<void(wire::WorkloadReply)>;
  void submit(const wire::WorkloadCall &Call, const CallDone &Done);
  void admitOrPropose(const wire::WorkloadCall &Call, const CallDone &Done);
  std::optional<dispatch::JobVerdict>
  findRefusal(const wire::WorkloadCall &Call, const Admission &Admitted) const;
  wire::WorkloadReply refuseJob(const wire::WorkloadCall &Call,
                                const Admission &Admitted,
                                const dispatch::JobVerdict &Verdict);
  void proposeJob(const wire::WorkloadCall &Call, const Admission &Admitted,
                  const CallDone &Done);
  void cancel(const wire::WorkloadCall &Call, const CallDone &Done);
  void getStatus(const wire::WorkloadCall &Call, const CallDone &Done);
  void getPolicy(const CallDone &Done);
  void getZoneRevision(const CallDone &Done);
  void getWave(int64_t Wave, const CallDone &Done);
  void registerReplica(const wire::RegisterReplica &Register,
                       const CallDone &Done);
  void commit(wire::WorkloadCommand Command, const CallDone &Done);
  void
  answerLinearizable(const CallDone &Done,
                     const std::function<void(wire::WorkloadReply &)> &Fill);
  wire::WorkloadReply notLeaderReply() const;
  wire::WorkloadReply leaderReply(wire::WorkloadStatus::type Status,
                                  std::string_view Message = "") const;

  boost::asio::io_context &m_Io;
  ReplicaOptions m_Options;
  std::shared_ptr<LeaderClient> m_LeaderClient;
  log::EventLog &m_Log;
  std::function<void(const absl::Status &)> m_OnFatal;
  std::unique_ptr<store::FileSystem> m_Files;
  std::unique_ptr<store::LogStore> m_Store; ///< Until the log is started.
  std::unique_ptr<replica::ReplicatedLog> m_ReplicatedLog;
  workload::WorkloadState m_State;
  std::shared_ptr<LeaderDuties> m_Duties;
  StateMetrics m_StateMetrics;
  raft::RoleChange m_Role;
  /// Results of applied commands by log index, until their proposals are
  /// answered.
  std::unordered_map<uint64_t, wire::WorkloadResult> m_Results;
  /// Number of submissions that are not answered yet, by job id; above 0.
  std::map<std::string, int, std::less<>> m_Submissions;
  /// Addresses by replica id, from the log or the sender's messages, while the
  /// state does not hold them yet.
  std::map<int64_t, net::Endpoint> m_Peers;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_REPLICA_H
