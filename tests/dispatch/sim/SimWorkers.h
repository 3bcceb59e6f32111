#ifndef ANVIL_TESTS_DISPATCH_SIM_SIMWORKERS_H
#define ANVIL_TESTS_DISPATCH_SIM_SIMWORKERS_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "EventQueue.h"
#include "InvariantChecker.h"
#include "anvil/runner/RunnerTypes.h"

namespace anvil::sim {

/// Settings of the workers of a simulation.
struct SimWorkerOptions {
  Duration m_MaxLease = std::chrono::milliseconds(6000);
  Duration m_StopTime = std::chrono::milliseconds(300);
  Duration m_GangTimeout = std::chrono::milliseconds(3000);
  Duration m_CheckpointInterval = std::chrono::milliseconds(1000);
  Duration m_RestoreTime = std::chrono::milliseconds(600);
  double m_RemotePenalty = 3;
};

class SimWorkers;

/// One worker. It runs tasks under a lease on its own clock, keeps the highest
/// fencing token and a numbered list of ends, and loses all of this when it
/// crashes.
class SimWorker {
public:
  SimWorker(SimWorkers &Parent, wire::WorkerInfo Info, double ClockRate)
      : m_Parent(Parent), m_Info(std::move(Info)), m_ClockRate(ClockRate) {}

  /// Handles a long poll of the agent; the answer may come later.
  void hold(const runner::HoldCall &Call,
            std::function<void(runner::CallAnswer)> Done);
  runner::CallAnswer start(const runner::StartCall &Call);
  runner::CallAnswer stop(const runner::StopCall &Call);

  /// Ends all runs. The worker is down until restart().
  void crash();
  /// Starts a new incarnation; the id stays unless \p NewId is set.
  void restart(std::optional<std::string> NewId);
  void setSpeed(double Speed);

  bool up() const { return m_Up; }
  const wire::WorkerInfo &info() const { return m_Info; }
  bool m_FailsEverything = false;
  bool m_RefusesCalls = false;

private:
  friend class SimWorkers;
  struct Run {
    wire::TaskRef m_Task;
    int64_t m_Run = 0;
    std::string m_Checkpoint;
    /// Work done at m_Since, in seconds. m_Rate applies since then.
    double m_Progress = 0; ///< Seconds of work.
    double m_Saved = 0;
    double m_Work = 0;
    TimePoint m_Since;
    double m_Rate = 0; ///< Work done per second; 0 while it waits.
    uint64_t m_Generation = 0;
    bool m_Stopping = false;
    bool m_Fails = false;
    double m_FailsAfter = 0; ///< Seconds of work.
    TimePoint m_StartedAt;
  };

  int64_t clockMs() const;
  runner::CallAnswer answer(runner::CallId Call, runner::CallError Error) const;
  bool acceptsToken(int64_t Token);
  void extendLease(int64_t EndMs);
  void checkLease(uint64_t Generation);
  bool fits(const wire::StepSpec &Step) const;
  void acknowledge(int64_t Number);
  void appendLists(runner::CallAnswer &Answer) const;
  void answerHolds();
  void finish(const TaskKey &Key, wire::RunEndKind::type Kind);
  double progressOf(const Run &TaskRun) const;
  void setRate(Run &TaskRun, double Rate);
  std::string checkpointOf(const Run &TaskRun) const;

  SimWorkers &m_Parent;
  wire::WorkerInfo m_Info;
  double m_ClockRate;
  bool m_Up = true;
  double m_Speed = 1;
  TimePoint m_IncarnationStartedAt;
  int64_t m_Token = 0;
  TimePoint m_LeaseEnd;
  uint64_t m_LeaseGeneration = 0;
  std::map<TaskKey, Run> m_Runs;
  std::map<TaskKey, int64_t>
      m_HighestClosedRun; ///< Highest run ended or stopped.
  std::vector<runner::ListedEnd> m_Ends;
  std::map<int64_t, TimePoint> m_EndedAt; ///< By number.
  TimePoint m_LeaseExpiredAt;             ///< When a lease ran out last.
  int64_t m_NextEnd = 1;
  int64_t m_LastAcknowledgedEnd = 0;
  struct WaitingHold {
    runner::HoldCall m_Call;
    std::function<void(runner::CallAnswer)> m_Done;
  };
  std::vector<std::shared_ptr<WaitingHold>> m_Holds;
};

/// All workers, and the gangs that span them.
class SimWorkers {
public:
  SimWorkers(EventQueue &Queue, Random &Rng, SimWorkerOptions Options,
             InvariantChecker &Checker)
      : m_Queue(Queue), m_Random(Rng), m_WorkerOptions(Options),
        m_Checker(Checker) {}

  SimWorker &add(wire::WorkerInfo Info, double ClockRate);
  SimWorker &at(size_t Index) { return *m_Workers[Index]; }
  size_t size() const { return m_Workers.size(); }
  void addPlan(const JobPlan &Plan) { m_Plans[Plan.m_Id] = &Plan; }

private:
  friend class SimWorker;
  using GangKey = std::tuple<std::string, int32_t, int32_t, int64_t>;

  const JobPlan *planOf(const std::string &Job) const;
  void onStarted(SimWorker &Worker, const TaskKey &Key);
  void startGangIfWhole(const GangKey &Key, const wire::StepSpec &Step);
  void breakGang(const SimWorker::Run &Ended, const wire::StepSpec &Step,
                 wire::RunEndKind::type Kind);
  void scheduleFinish(SimWorker &Worker, const TaskKey &Key);
  double rateOf(const SimWorker &Worker, const wire::StepSpec &Step) const;

  EventQueue &m_Queue;
  Random &m_Random;
  SimWorkerOptions m_WorkerOptions;
  InvariantChecker &m_Checker;
  std::vector<std::unique_ptr<SimWorker>> m_Workers;
  std::map<std::string, const JobPlan *> m_Plans;
  std::map<GangKey, std::map<int32_t, SimWorker *>> m_Gangs;
};

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_SIMWORKERS_H
