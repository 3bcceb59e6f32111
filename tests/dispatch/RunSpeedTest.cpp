#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

#include "dispatch/RunTracker.h"
#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"

namespace anvil::dispatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration SyncInterval = milliseconds(250);

double inSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Jobs of one step with a task on each of the first workers. Task 0 runs on
/// worker 0, and so on; the test reports their progress.
class RunningStep {
public:
  static constexpr int32_t Tasks = 4;

  explicit RunningStep(bool Gang = false) : m_Gang(Gang) {
    m_State.setEventHook([this](const workload::WorkloadEvent &Event) {
      m_Tracker.observe(Event, m_State, m_Now);
    });
    wire::PutPolicy Policy;
    Policy.document = sim::smallPolicy();
    apply([&](auto &Command) { Command.__set_putPolicy(Policy); });
    m_Workers.resize(Tasks);
    for (wire::WorkerInfo &Info : m_Workers) {
      Info.agentAddress = "agent of " + Info.incarnation.id;
      wire::RegisterWorker Register;
      Register.info = Info;
      Register.agentIncarnation = Info.agentAddress;
      apply([&](auto &Command) { Command.__set_registerWorker(Register); });
    }
  }

  template <typename Setter> void apply(Setter Set) {
    wire::WorkloadCommand Command;
    Set(Command);
    const wire::WorkloadResult Result = m_State.apply(Command, ++m_Index);
    BOOST_REQUIRE_MESSAGE(Result.status == wire::WorkloadStatus::OK,
                          Result.message);
  }

  /// Submits a job and starts all of its tasks.
  void start(const std::string &Job, int64_t EstimateMs) {
    m_Job = Job;
    m_StartedAt = m_Now;
    wire::SubmitWorkload Submit;
    Submit.jobId = Job;
    Submit.queue = "batch";
    Submit.workspace = "w0";
    Submit.spec.steps = {sim::plainStep(Tasks, 0)};
    Submit.spec.steps[0].gang = m_Gang;
    Submit.spec.steps[0].estimateMs = EstimateMs;
    apply([&](auto &Command) { Command.__set_submit(Submit); });
    wire::StartRuns Start;
    Start.jobId = Job;
    for (int32_t I = 0; I < Tasks; ++I) {
      wire::RunPlacement Placement;
      Placement.index = I;
      Placement.worker = m_Workers[static_cast<size_t>(I)].incarnation;
      Start.placements.push_back(Placement);
    }
    apply([&](auto &Command) { Command.__set_startRuns(Start); });
  }

  wire::TaskRef task(int32_t Index) const {
    wire::TaskRef Ref;
    Ref.jobId = m_Job;
    Ref.index = Index;
    return Ref;
  }

  /// The agents report for \p Span that each task gains \p PercentPerSecond
  /// times the speed of its worker.
  void report(Duration Span, double PercentPerSecond) {
    for (const TimePoint End = m_Now + Span; m_Now < End;
         m_Now += SyncInterval) {
      for (int32_t I = 0; I < Tasks; ++I)
        sync(I, inSeconds(m_Now - m_StartedAt) * PercentPerSecond *
                    m_Speeds[static_cast<size_t>(I)]);
      m_Tracker.update(m_State, m_Sessions, m_Now);
    }
  }

  void sync(int32_t Index, double Percent) {
    const wire::WorkerInfo &Info = m_Workers[static_cast<size_t>(Index)];
    wire::WorkerSyncRequest Request;
    Request.agentIncarnation = Info.agentAddress;
    Request.sequence = ++m_Sequence;
    Request.info = Info;
    Request.runsListed = true;
    wire::RunStatus Status;
    Status.task = task(Index);
    Status.run = 1;
    Status.running = true;
    Status.percent = static_cast<int32_t>(std::min(100.0, Percent));
    Status.runningMs = (m_Now - m_StartedAt) / milliseconds(1);
    Request.runs = {Status};
    m_Sessions.receive(Request, m_State, m_Now);
  }

  /// Runs \p Count jobs whose tasks show how fast the workers are.
  void learn(int Count) {
    for (int I = 0; I < Count; ++I) {
      start("earlier-" + std::to_string(I), 10'000);
      report(seconds(7), 10);
    }
  }

  RunForecast forecast(int32_t Index) const {
    return m_Tracker.forecast(*m_State.job(m_Job), task(Index),
                              *m_State.task(task(Index)), m_Now);
  }
  double secondsLeft(int32_t Index) const {
    return inSeconds(forecast(Index).m_EndsAt - m_Now);
  }
  double speed(size_t Index) const {
    return m_Tracker.speeds().speedOf(m_Workers[Index].incarnation);
  }
  double slowdown(size_t Index) const {
    return m_Health.slowdown(m_Workers[Index].incarnation, m_Now);
  }

  std::vector<double> m_Speeds = std::vector<double>(Tasks, 1);
  TimePoint m_Now = TimePoint() + seconds(100);
  TimePoint m_StartedAt;
  bool m_Gang;
  std::string m_Job;
  int64_t m_Index = 0;
  int64_t m_Sequence = 0;
  std::vector<wire::WorkerInfo> m_Workers = sim::smallFleet();
  workload::WorkloadState m_State;
  WorkerSessions m_Sessions{{}};
  RunTimes m_Times;
  WorkerHealth m_Health;
  RunTracker m_Tracker{m_Times, m_Health};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RunSpeedTest)

// Guards against a worker that is slow for good being judged faulty again and
// again, and against equal workers getting different speeds.
BOOST_AUTO_TEST_CASE(AWorkerThatIsSlowForGoodIsNotFaulty) {
  RunningStep Step;
  Step.m_Speeds[0] = 0.5;
  Step.learn(10);
  BOOST_TEST(Step.speed(0) < 0.65);
  BOOST_TEST(Step.speed(0) > 0.4);
  for (size_t I = 1; I < 4; ++I)
    BOOST_TEST(Step.speed(I) == 1);
  BOOST_TEST(Step.slowdown(0) == 1);
}

// Guards against forecasts that take all workers for equally fast until a run
// shows its progress.
BOOST_AUTO_TEST_CASE(ForecastsUseTheSpeedBeforeThereIsProgress) {
  RunningStep Step;
  Step.m_Speeds[0] = 0.5;
  Step.learn(10);
  Step.start("late", 10'000);
  Step.m_Tracker.update(Step.m_State, Step.m_Sessions, Step.m_Now);
  const double Slow = Step.secondsLeft(0);
  const double Usual = Step.secondsLeft(1);
  BOOST_TEST(Slow > 1.5 * Usual);
  BOOST_TEST(std::abs(Slow * Step.speed(0) - Usual) < 0.01);
  // The work left is that at normal speed, wherever the task runs.
  BOOST_TEST(Step.forecast(0).m_WorkLeftSeconds ==
             Step.forecast(1).m_WorkLeftSeconds);
}

// Guards against members of a gang that are expected to end before the slowest
// one, whose speed decides.
BOOST_AUTO_TEST_CASE(AGangIsExpectedAtTheSpeedOfItsSlowestMember) {
  RunningStep Step;
  Step.m_Speeds[0] = 0.5;
  Step.learn(10);
  Step.m_Gang = true;
  Step.start("gang", 10'000);
  Step.m_Tracker.update(Step.m_State, Step.m_Sessions, Step.m_Now);
  for (int32_t I = 1; I < RunningStep::Tasks; ++I)
    BOOST_TEST(Step.secondsLeft(I) == Step.secondsLeft(0));
}

// Guards against a run that is merely slow being stopped because "it makes no
// progress": it gains a percent every three seconds, steadily.
BOOST_AUTO_TEST_CASE(ASteadySlowRunIsNotStalled) {
  RunningStep Step;
  Step.start("slow", 10'000);
  Step.m_Speeds = {0.033, 1, 1, 1};
  bool Stalled = false;
  for (int I = 0; I < 40; ++I) {
    Step.report(milliseconds(1000), 10);
    // The first percent may come late; the pace is not known before.
    Stalled = Stalled || (I > 6 && Step.forecast(0).m_Stalled);
  }
  BOOST_TEST(!Stalled);
}

// Guards against a task that hangs for ever on its worker.
BOOST_AUTO_TEST_CASE(ARunThatHangsIsStalled) {
  RunningStep Step;
  Step.start("hangs", 10'000);
  Step.report(seconds(4), 10);
  for (const TimePoint End = Step.m_Now + seconds(6); Step.m_Now < End;
       Step.m_Now += SyncInterval) {
    Step.sync(0, 39);
    Step.m_Tracker.update(Step.m_State, Step.m_Sessions, Step.m_Now);
  }
  BOOST_TEST(Step.forecast(0).m_Stalled);
}

// Guards against a second move of a task for the same reason after it was
// placed again.
BOOST_AUTO_TEST_CASE(RemembersWhyATaskWasMoved) {
  RunningStep Step;
  Step.start("moved", 10'000);
  Step.report(seconds(1), 10);
  BOOST_TEST(!Step.forecast(0).m_MovedAsSlow);
  wire::StopRuns Stop;
  wire::RunRef Ref;
  Ref.task = Step.task(0);
  Ref.run = 1;
  Stop.runs = {Ref};
  Stop.reason = std::string(SlowWorkerReason);
  Step.apply([&](auto &Command) { Command.__set_stopRuns(Stop); });
  BOOST_TEST(Step.forecast(0).m_MovedAsSlow);
  BOOST_TEST(!Step.forecast(1).m_MovedAsSlow);
}

// Guards against reservations for the end of a run that has exceeded its
// estimate: it was expected to end at once, at each plan anew.
BOOST_AUTO_TEST_CASE(ATaskThatExceededItsEstimateRunsLonger) {
  const RunTime Whole{seconds(2), 0.25};
  BOOST_TEST((remainingTime(Whole, Duration(0)) == seconds(2)));
  const double Early = inSeconds(remainingTime(Whole, milliseconds(500)));
  BOOST_TEST(Early > 1.45);
  BOOST_TEST(Early < 1.7);
  const double Late = inSeconds(remainingTime(Whole, seconds(3)));
  const double Later = inSeconds(remainingTime(Whole, seconds(10)));
  BOOST_TEST(Late > 0.5);
  BOOST_TEST(Later > Late);
  // No step where the tails of the distribution get too small to divide.
  double Before = 0;
  for (int64_t Ms = 1000; Ms < 120'000; Ms += 50) {
    const double Left = inSeconds(remainingTime(Whole, milliseconds(Ms)));
    if (Ms > 4000)
      BOOST_TEST(std::abs(Left - Before) < 0.1 + 0.05 * Before);
    Before = Left;
  }
  // A time that is known exactly.
  BOOST_TEST((remainingTime({seconds(2), 0}, seconds(1)) == seconds(1)));
  BOOST_TEST((remainingTime({seconds(2), 0}, seconds(3)) == Duration(0)));
}

// Guards against a switch without effect and against speeds that no hook gets:
// the leader reports the slow worker, and nothing with the switch off.
BOOST_AUTO_TEST_CASE(ReportsASlowWorkerUnlessSwitchedOff) {
  for (const bool Learn : {true, false}) {
    std::map<std::string, double> Reported;
    sim::SimClusterOptions Options;
    Options.m_LearnSpeeds = Learn;
    Options.m_OnWorkerSpeed = [&](const WorkerSpeedChange &Change) {
      Reported[Change.m_Worker] = Change.m_Speed;
    };
    sim::SimCluster Cluster(Options, sim::smallPolicy(), sim::smallFleet());
    Cluster.workers().at(0).setSpeed(0.5);
    for (int I = 0; I < 6; ++I)
      Cluster.add(sim::plainJob("job-" + std::to_string(I), "recon",
                                seconds(1 + 6 * I), sim::plainStep(48, 1),
                                seconds(3)));
    Cluster.run(seconds(60));
    BOOST_TEST(Reported.size() == (Learn ? 1U : 0U));
    if (Learn) {
      BOOST_TEST(Reported["worker-0"] > 0.4);
      BOOST_TEST(Reported["worker-0"] < 0.65);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal
