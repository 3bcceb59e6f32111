#ifndef ANVIL_SRC_NODE_LEADERDUTIES_H
#define ANVIL_SRC_NODE_LEADERDUTIES_H

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "ConfirmTracker.h"
#include "PlanPacer.h"
#include "anvil/dispatch/Dispatcher.h"
#include "anvil/dispatch/WorkerSessions.h"
#include "anvil/log/EventLog.h"
#include "anvil/node/MembershipPlanner.h"
#include "anvil/raft/Raft.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::node::internal {

/// Receives the result of a command that was committed and applied, or an error
/// of the replicated log.
using CommandDone = std::function<void(absl::StatusOr<wire::WorkloadResult>)>;

/// Functions of the replica that LeaderDuties uses.
struct LeaderPorts {
  std::function<void(wire::WorkloadCommand, CommandDone)> m_Propose;
  /// Confirms the leadership; then the state holds everything that was
  /// committed before the call.
  std::function<void(std::function<void(absl::Status)>)> m_Read;
  std::function<void(raft::MembershipChangeKind, raft::ReplicaId,
                     std::function<void(absl::Status)>)>
      m_ChangeMembership;
  std::function<const workload::WorkloadState &()> m_State;
  std::function<raft::RaftStatus()> m_Status;
  std::function<wire::GroupView()> m_GroupView;
  std::function<TimePoint()> m_Now;
  std::function<int64_t()> m_WallClockMicros;
};

/// Settings of LeaderDuties.
struct LeaderOptions {
  dispatch::SessionOptions m_Sessions;
  dispatch::DispatchOptions m_Dispatch;
  MembershipPlannerOptions m_Membership;
  /// Least time between two confirmations of the leadership. There are none
  /// while no agent or entry waits for one.
  Duration m_ConfirmInterval = std::chrono::milliseconds(100);
  /// Longest time that the answer to a watch request is delayed.
  Duration m_MaxWatchDelay = std::chrono::milliseconds(250);
};

/// The tasks of the leader: answers agents and entries, plans runs, declares
/// workers lost and changes the members of the group.
///
/// Usage: begin() once the state holds everything that was committed before
/// this leadership, end() when the leadership is lost; observe() for each
/// change of the state, and wake() after changes. The functions run on the
/// thread of the io_context.
class LeaderDuties : public std::enable_shared_from_this<LeaderDuties> {
public:
  LeaderDuties(boost::asio::io_context &Io, LeaderOptions Options,
               LeaderPorts Ports, log::EventLog &Log);

  void begin();
  void end();
  bool active() const { return m_Active; }

  void workerSync(const wire::WorkerSyncRequest &Request,
                  std::function<void(wire::WorkerSyncReply)> Done);
  void entryWatch(const wire::EntryWatchRequest &Request,
                  std::function<void(wire::EntryWatchReply)> Done);
  /// Returns whether commands of callers may be acknowledged: the group has
  /// enough voters now, or had them when the first policy came into force.
  bool mayAcknowledge() const {
    return m_Ports.m_State().policy().version > 0 ||
           m_Membership.isComplete(m_Ports.m_Status(), m_Ports.m_Now());
  }
  void onReplicaAnnounced(raft::ReplicaId Replica);
  /// Records that the process of a replica ends soon.
  void onReplicaLeaving(raft::ReplicaId Replica);
  /// Assesses a job that is not in the state; accepts it while not active.
  dispatch::JobVerdict assess(const wire::JobRecord &Candidate) const;
  /// Handles a change of the state; does nothing while not active.
  void observe(const workload::WorkloadEvent &Event);
  /// Schedules tick() on the io_context, once for several calls.
  void wake();

private:
  using SyncKey = std::pair<std::string, int64_t>;
  /// An entry that watches the policy and the counts of waiting jobs.
  struct Watcher {
    wire::EntryWatchRequest m_Latest;
    ConfirmTracker m_Confirm;
    TimePoint m_LastRequestAt;
    std::map<int64_t, std::function<void(wire::EntryWatchReply)>> m_Waiting;
  };

  void tick();
  void propose(const std::vector<wire::WorkloadCommand> &Commands);
  void answerAgents();
  void answerWatchers();
  wire::EntryWatchReply makeWatchReply(const Watcher &Client) const;
  void plan();
  void openOccurrences();
  void updateMembership();
  void carryOut(const MembershipChange &Change);
  void confirmIfDue();
  void armTimer();
  void logCommandFailure(const wire::WorkloadCommand &Command,
                         const absl::StatusOr<wire::WorkloadResult> &Result);

  LeaderOptions m_Options;
  LeaderPorts m_Ports;
  log::EventLog &m_Log;
  boost::asio::io_context &m_Io;
  boost::asio::steady_timer m_Timer;
  dispatch::WorkerSessions m_Sessions;
  dispatch::Dispatcher m_Dispatcher;
  MembershipPlanner m_Membership;
  std::map<SyncKey, std::function<void(wire::WorkerSyncReply)>> m_Syncs;
  std::map<std::string, Watcher> m_Watchers;
  bool m_Active = false;
  /// Changes with each begin() and end(); results that belong to an earlier
  /// leadership are ignored.
  uint64_t m_Epoch = 0;
  bool m_WakePosted = false;
  int m_PlanInFlight = 0;
  PlanPacer m_Pacer;
  bool m_ChangeInFlight = false;
  bool m_ConfirmInFlight = false;
  TimePoint m_NextConfirm;
};

} // namespace anvil::node::internal

#endif // ANVIL_SRC_NODE_LEADERDUTIES_H
