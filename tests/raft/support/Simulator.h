#ifndef ANVIL_TESTS_RAFT_SUPPORT_SIMULATOR_H
#define ANVIL_TESTS_RAFT_SUPPORT_SIMULATOR_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "anvil/raft/Raft.h"
#include "raft/support/SafetyChecker.h"
#include "raft/support/SimDisk.h"
#include "raft/support/SimRandom.h"

namespace anvil::raft::sim {

/// Settings of a simulated run.
struct SimOptions {
  uint64_t m_Seed = 1;
  int m_Voters = 3;
  /// Whether links fail, replicas crash, and disks are lost and their replicas
  /// replaced.
  bool m_Faults = true;
  /// Sets further options of each replica.
  std::function<void(RaftOptions &)> m_Configure;
};

/// Timing and rates of faults, chosen at random for each run so that different
/// runs exercise different rules. Times are in microseconds.
struct SimProfile {
  int64_t m_MaxMessageDelay = 10'000;
  int64_t m_MaxSyncDelay = 8'000;
  /// Fraction of messages that are delayed by up to 3 s.
  double m_LateRate = 0;
  /// Probability that a replica crashes shortly after it wins an election.
  double m_NewLeaderCrashRate = 0;
  /// Probability that a replica crashes shortly after it changes its term or
  /// vote.
  double m_VoteCrashRate = 0;
  int64_t m_MaxRestartDelay = 1'000'000;
  /// Maximum time between two actions of the operator.
  int64_t m_OperatorInterval = 400'000;
  /// Probability that the operator transfers the leadership instead of changing
  /// the membership.
  double m_TransferRate = 0;
};

/// Outcome of a run and counts of its events.
struct SimReport {
  /// First violated property, or nothing.
  std::optional<std::string> m_Failure;
  uint64_t m_Steps = 0;
  uint64_t m_Committed = 0;
  uint64_t m_Operations = 0;
  uint64_t m_Elections = 0;
  uint64_t m_Crashes = 0;
  uint64_t m_Losses = 0;
  uint64_t m_Promotions = 0;
  uint64_t m_Installs = 0;
};

/// One replica with its host, disk and clock.
struct SimReplica {
  ReplicaId m_Id;
  SimDisk m_Disk;
  /// Empty while the replica is down.
  std::optional<Raft> m_Raft;
  /// Number of starts; events that were scheduled for an earlier incarnation
  /// are dropped.
  uint64_t m_Incarnation = 0;
  double m_ClockRate = 1.0;
  int64_t m_ClockOffset = 0;
  /// The disk is lost permanently.
  bool m_Lost = false;
  RegisterState m_State;
  std::deque<LogEntry> m_ToApply;
  bool m_ApplyScheduled = false;
  /// Contexts of committed writes, to be acknowledged once they are applied.
  std::map<LogIndex, uint64_t> m_Acknowledge;
};

/// Runs a group of replicas on a simulated network and simulated disks, with
/// faults derived from a seed.
class Simulator {
public:
  explicit Simulator(SimOptions Options);

  /// Handles \p Steps events, then ends all faults and requires that the group
  /// makes progress.
  SimReport run(uint64_t Steps);

  /// Handles events until \p Done returns true or \p Limit of simulated time
  /// has passed. Returns whether \p Done returned true.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);

  /// Returns the running leader of the highest term, or null.
  SimReplica *leader();
  SimReplica &replica(ReplicaId Id) { return *m_Replicas.at(Id); }
  std::vector<ReplicaId> upReplicas() const;
  int64_t nowMicros() const { return m_Now; }
  const SafetyChecker &checker() const { return m_Checker; }

  /// Stops the replica; unsynced writes are lost.
  void crash(ReplicaId Id);
  void restart(ReplicaId Id);
  /// Drops all messages from \p Sender to \p Receiver.
  void block(ReplicaId Sender, ReplicaId Receiver) {
    m_Blocked.insert({Sender, Receiver});
  }
  void isolate(ReplicaId Id);
  void heal() { m_Blocked.clear(); }
  /// Handles an input at a replica that is up.
  void step(SimReplica &Replica, const RaftInput &Input);
  /// Writes a unique value at the replica; returns its context.
  uint64_t write(SimReplica &Replica);

private:
  struct Event {
    int64_t m_Time = 0;
    uint64_t m_Order = 0;
    std::function<void()> m_Action;
    bool operator>(const Event &Other) const {
      return std::pair(m_Time, m_Order) >
             std::pair(Other.m_Time, Other.m_Order);
    }
  };

  // Simulator.cpp: events and the hosts of the replicas.
  void schedule(int64_t Delay, std::function<void()> Action);
  /// Schedules an action that is dropped if the replica stops before it runs.
  void scheduleFor(SimReplica &Replica, int64_t Delay,
                   std::function<void()> Action);
  bool handleNext();
  SimReplica &addReplica(ReplicaId Id, RaftPersistentState Initial);
  void start(SimReplica &Replica);
  void scheduleTick(SimReplica &Replica);
  void carryOut(SimReplica &Replica, RaftOutput Output);
  void checkOutput(SimReplica &Replica, const RaftOutput &Output);
  void checkCommitDurable(const SimReplica &Replica);
  void checkPromotion(const SimReplica &Leader, ReplicaId Promoted);
  void install(SimReplica &Replica, const Snapshot &Received);
  void persist(SimReplica &Replica, const RaftOutput &Output);
  void transmit(const RaftMessage &Message);
  void deliver(const std::string &Bytes);
  void scheduleApply(SimReplica &Replica);
  void applyNext(SimReplica &Replica);
  void finishOperations(SimReplica &Replica, const RaftOutput &Output);
  void makeSnapshot(SimReplica &Replica);

  // SimulatorFaults.cpp: clients, faults, operator.
  void chooseProfile();
  /// Returns a random replica that considers itself the leader, or null.
  SimReplica *randomLeader();
  void clientOperation(int Client);
  void read(SimReplica &Replica);
  void readAtLeaders();
  void injectFaults();
  void injectLinkFaults();
  void crashOrRestart();
  void crashSoon(SimReplica &Replica);
  void crashAndRestart(SimReplica &Replica);
  bool mayLoseReplica();
  void loseReplica();
  void runOperator();
  bool removeDeadMember(SimReplica &Leader, const Membership &Members);
  void changeMembership(SimReplica &Leader, MembershipChangeKind Kind,
                        ReplicaId Id);
  void addLearner(SimReplica &Leader);
  void stopRemovedReplicas();
  void endFaults();
  bool isSettled();

  SimOptions m_Options;
  SimProfile m_Profile;
  SimRandom m_Random;
  SafetyChecker m_Checker;
  SimReport m_Report;
  int64_t m_Now = 0;
  uint64_t m_NextOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_Events;
  std::map<ReplicaId, std::unique_ptr<SimReplica>> m_Replicas;
  int64_t m_NextReplica = 1;
  uint64_t m_NextContext = 1;
  std::set<std::pair<ReplicaId, ReplicaId>> m_Blocked;
  double m_DropRate = 0;
  double m_DuplicateRate = 0;
  LogIndex m_CheckedCommit = 0;
  size_t m_TargetVoters = 3;
  std::set<ReplicaId> m_RemovalRequested;
  /// Last membership entry that a replica applied.
  LogEntry m_LastMembership;
  bool m_Repairing = false;
  /// Index that all members must reach after the repair.
  LogIndex m_SettleIndex = 0;
};

} // namespace anvil::raft::sim

#endif // ANVIL_TESTS_RAFT_SUPPORT_SIMULATOR_H
