#ifndef ANVIL_TESTS_DISPATCH_SIM_SIMCLUSTER_H
#define ANVIL_TESTS_DISPATCH_SIM_SIMCLUSTER_H

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "EventQueue.h"
#include "InvariantChecker.h"
#include "SimWorkers.h"
#include "anvil/dispatch/Dispatcher.h"
#include "anvil/dispatch/WorkerSessions.h"
#include "anvil/runner/Runner.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::sim {

/// Settings of a simulated deployment.
struct SimClusterOptions {
  uint64_t m_Seed = 1;
  SimWorkerOptions m_WorkerOptions;
  Duration m_LeaseSpan = std::chrono::milliseconds(12000);
  Duration m_CommitDelay = std::chrono::milliseconds(10);
  Duration m_NetDelay = std::chrono::milliseconds(2);
  Duration m_CallDelay = std::chrono::milliseconds(1);
  Duration m_CallTimeout = std::chrono::milliseconds(800);
  Duration m_AnnounceInterval = std::chrono::milliseconds(1500);
  /// Share of the messages between agents and the leader that are lost.
  double m_MessageLossShare = 0;
  /// Share of the orders that get no answer and are executed 2 to 12 s later.
  double m_LateOrderShare = 0;
  /// Share of the orders and hold calls whose answer is lost.
  double m_AnswerLossShare = 0;
  /// Checks the whole state for consistency at each tick, which takes most of
  /// the run time.
  bool m_ChecksState = true;
  /// Receives the work that a leader finds lost; may be empty.
  std::function<void(const dispatch::LostWork &)> m_OnLostWork;
  bool m_LearnSpeeds = true;
  /// Receives the speeds that a leader reports; may be empty.
  std::function<void(const dispatch::WorkerSpeedChange &)> m_OnWorkerSpeed;
  bool m_FairShare = true;
  /// Receives the jobs that a leader makes wait because of their workspace's
  /// share; may be empty.
  std::function<void(const dispatch::ShareYield &)> m_OnShareYielded;
  /// Receives a line for each event, for people; may be empty.
  std::function<void(TimePoint, const std::string &)> m_Trace;
};

/// Result of one job.
struct JobResult {
  const JobPlan *m_Plan = nullptr;
  TimePoint m_SentAt;
  TimePoint m_AcceptedAt;
  TimePoint m_FirstStartAt;
  TimePoint m_EndedAt;
  wire::JobPhase::type m_Phase = wire::JobPhase::QUEUED;

  /// Returns the time within which the job earns its whole weight: \p
  /// SlackFactor times the longest chain of its work, where a step that is wide
  /// compared with \p Capacity runs in several waves, plus \p LatencyTarget.
  Duration objective(double SlackFactor, Duration LatencyTarget,
                     const wire::ResourceAmounts &Capacity) const;
  /// Returns the share of its weight that the job earned, between 0 and 1.
  double earnedShare(Duration Objective) const;
};

/// A deployment in virtual time: workers, their agents, a leader with its
/// replicated state, and callers.
///
/// Replication is reduced to its guarantees: a command of the current leader is
/// committed after a delay and survives every change of the leader. A deposed
/// leader that does not know about it yet answers agents, but commits and
/// confirms nothing.
class SimCluster {
public:
  SimCluster(const SimClusterOptions &Options, wire::PolicyDocument Policy,
             std::vector<wire::WorkerInfo> Workers);
  ~SimCluster();

  /// Adds a job; call before run().
  void add(JobPlan Plan);
  void run(Duration Span);

  // ---- faults, to be scheduled with queue().at() ----
  /// Ends the worker's process and restarts it after \p Down, under the same id
  /// if \p SameId is set.
  void crashWorker(size_t Index, Duration Down, bool SameId);
  void killAgent(size_t Index, Duration Down);
  /// The agent reaches no leader for \p Span.
  void partitionAgent(size_t Index, Duration Span);
  /// Deposes the leader; another takes over after \p Gap. With \p Stale the old
  /// one still answers some agents for \p StaleFor.
  void loseLeader(Duration Gap, bool Stale, Duration StaleFor);
  void drainWorker(size_t Index, Duration Remaining);
  void withdrawZone(const std::string &Zone, bool Withdrawn);

  EventQueue &queue() { return m_Queue; }
  Random &random() { return m_Random; }
  SimWorkers &workers() { return m_Workers; }
  const InvariantChecker &checker() const { return m_Checker; }
  const std::deque<JobResult> &results() const { return m_Results; }
  /// Returns the first violation of an invariant or of the state's consistency,
  /// or an empty text.
  std::string violation() const;
  Duration objectiveOf(const JobResult &Result) const;

private:
  struct SimAgent;
  struct Leader;

  std::shared_ptr<Leader> makeLeader();
  void leaderTick(const std::shared_ptr<Leader> &ActingLeader);
  void
  propose(const std::shared_ptr<Leader> &ActingLeader,
          const wire::WorkloadCommand &Command,
          const std::function<void(bool, const wire::WorkloadResult &)> &Done);
  void planIfIdle(const std::shared_ptr<Leader> &ActingLeader);
  void confirm(const std::shared_ptr<Leader> &ActingLeader);
  void startAgent(size_t Index);
  void stepAgent(size_t Index, const runner::Event &Event);
  void armTimer(size_t Index);
  void perform(size_t Index, const runner::Action &Action);
  void sendSync(size_t Index, const wire::WorkerSyncRequest &Request);
  void announce(size_t Index, bool Repeat);
  template <typename Call>
  void
  callWorker(size_t Index, const Call &Request,
             const std::function<runner::CallAnswer(SimWorker &)> &Execute);
  void holdWorker(size_t Index, const runner::HoldCall &Call);
  void deliver(size_t Index, uint64_t AgentIncarnation,
               const runner::CallAnswer &Answer);
  std::shared_ptr<Leader> leaderOf(size_t Index);
  void trace(const std::string &Text) const {
    if (m_Options.m_Trace)
      m_Options.m_Trace(m_Queue.now(), Text);
  }
  void traceEvent(const workload::WorkloadEvent &Event, uint64_t Term) const;
  void submit(JobResult &Result);
  void cancel(const JobPlan &Plan);
  void updateResults(const Leader &Current);

  SimClusterOptions m_Options;
  EventQueue m_Queue;
  Random m_Random;
  InvariantChecker m_Checker;
  SimWorkers m_Workers;
  wire::PolicyDocument m_Policy;
  wire::ResourceAmounts m_TotalCapacity; ///< Of all workers.
  std::vector<wire::WorkloadCommand> m_Log;
  uint64_t m_Term = 0;
  std::shared_ptr<Leader> m_Leader;
  std::vector<std::unique_ptr<SimAgent>> m_Agents;
  std::deque<JobPlan> m_Plans;
  std::deque<JobResult> m_Results;
  std::map<std::string, JobResult *> m_ByJob;
  std::string m_StateViolation;
};

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_SIMCLUSTER_H
