#ifndef ANVIL_TESTS_DISPATCH_SIM_SIMWORKERS_H
#define ANVIL_TESTS_DISPATCH_SIM_SIMWORKERS_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "EventQueue.h"
#include "Truth.h"
#include "anvil/runner/RunnerTypes.h"

namespace anvil::sim {

/// How the workers of a simulation behave.
struct WorkerRules {
  Duration m_MaxLease = std::chrono::milliseconds(6000);
  Duration m_StopTime = std::chrono::milliseconds(300);
  Duration m_GangTimeout = std::chrono::milliseconds(3000);
  Duration m_CheckpointInterval = std::chrono::milliseconds(1000);
  Duration m_RestoreTime = std::chrono::milliseconds(600);
  double m_RemotePenalty = 3;
};

class SimWorkers;

/// One worker: runs tasks under a lease on its own clock, keeps the highest
/// fencing token and a numbered list of ends, and forgets everything when it
/// crashes.
class SimWorker {
public:
  SimWorker(SimWorkers &All, wire::WorkerInfo Facts, double ClockRate)
      : m_All(All), m_Facts(std::move(Facts)), m_ClockRate(ClockRate) {}

  /// Handles a call; the answer may come later.
  void hold(const runner::HoldCall &Call,
            std::function<void(runner::CallAnswer)> Done);
  runner::CallAnswer start(const runner::StartCall &Call);
  runner::CallAnswer stop(const runner::StopCall &Call);

  /// Everything that runs is gone. The worker is down until revive().
  void crash();
  /// Starts a new life; the id stays unless \p NewId is set.
  void revive(std::optional<std::string> NewId);
  void setSpeed(double Speed);

  bool up() const { return m_Up; }
  const wire::WorkerInfo &facts() const { return m_Facts; }
  bool m_FailsEverything = false;
  bool m_Refuses = false;

private:
  friend class SimWorkers;
  struct Run {
    wire::TaskRef m_Task;
    int64_t m_Run = 0;
    std::string m_Checkpoint;
    /// Work done when m_Since began, and the rate since then.
    double m_Progress = 0; ///< Seconds of work.
    double m_Saved = 0;
    double m_Work = 0;
    TimePoint m_Since;
    double m_Rate = 0; ///< Seconds of work for each second; 0 while it waits.
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
  void list(runner::CallAnswer &Answer) const;
  void wakeHolds();
  void finish(const TaskKey &Key, wire::RunEndKind::type Kind);
  double progressOf(const Run &Of) const;
  void setRate(Run &Of, double Rate);
  std::string checkpointOf(const Run &Of) const;

  SimWorkers &m_All;
  wire::WorkerInfo m_Facts;
  double m_ClockRate;
  bool m_Up = true;
  double m_Speed = 1;
  TimePoint m_BornAt;
  int64_t m_Token = 0;
  TimePoint m_LeaseEnd;
  uint64_t m_LeaseGeneration = 0;
  std::map<TaskKey, Run> m_Runs;
  std::map<TaskKey, int64_t> m_Highest; ///< Highest run ended or stopped.
  std::vector<runner::ListedEnd> m_Ends;
  std::map<int64_t, TimePoint> m_EndedAt; ///< By number.
  TimePoint m_LapsedAt;                   ///< When a lease ran out last.
  int64_t m_NextEnd = 1;
  int64_t m_Forgotten = 0;
  struct WaitingHold {
    runner::HoldCall m_Call;
    std::function<void(runner::CallAnswer)> m_Done;
  };
  std::vector<std::shared_ptr<WaitingHold>> m_Holds;
};

/// All workers, and the gangs that span them.
class SimWorkers {
public:
  SimWorkers(EventQueue &Queue, Random &Rng, WorkerRules Rules, Truth &Facts)
      : m_Queue(Queue), m_Random(Rng), m_Rules(Rules), m_Truth(Facts) {}

  SimWorker &add(wire::WorkerInfo Facts, double ClockRate);
  SimWorker &at(size_t Index) { return *m_Workers[Index]; }
  size_t size() const { return m_Workers.size(); }
  void know(const JobPlan &Plan) { m_Plans[Plan.m_Id] = &Plan; }

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
  WorkerRules m_Rules;
  Truth &m_Truth;
  std::vector<std::unique_ptr<SimWorker>> m_Workers;
  std::map<std::string, const JobPlan *> m_Plans;
  std::map<GangKey, std::map<int32_t, SimWorker *>> m_Gangs;
};

} // namespace anvil::sim

#endif // ANVIL_TESTS_DISPATCH_SIM_SIMWORKERS_H
