#include <cmath>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "dispatch/WorkerSpeed.h"

namespace anvil::dispatch::internal {
namespace {

const TimePoint Now = timePointFromMicros(100'000'000);
constexpr double RunVariance = 0.2; ///< Of a run against others of its step.

/// Two machines with a worker each, and a hook that keeps what is reported.
class SpeedFixture {
public:
  SpeedFixture() {
    m_Speeds.updateWorker(m_First, Now);
    m_Speeds.updateWorker(m_Second, Now);
  }

  static wire::WorkerInfo worker(const std::string &Id, const std::string &Vm) {
    wire::WorkerInfo Info;
    Info.incarnation.id = Id;
    Info.incarnation.startedAtMs = 1;
    Info.vm = Vm;
    return Info;
  }

  /// Learns from a run that took \p Factor times as long as at speed 1.
  void run(WorkerSpeed &Speeds, const wire::WorkerInfo &Worker, double Factor,
           double Variance = RunVariance, double Weight = 1) {
    const double Speed = Speeds.speedOf(Worker.incarnation);
    Speeds.learn(Worker.incarnation, {std::log(Factor * Speed), Variance},
                 Weight);
  }
  void run(const wire::WorkerInfo &Worker, double Factor, int Count) {
    for (int I = 0; I < Count; ++I)
      run(m_Speeds, Worker, Factor);
  }
  double speed(const wire::WorkerInfo &Worker) const {
    return m_Speeds.speedOf(Worker.incarnation);
  }

protected:
  const wire::WorkerInfo m_First = worker("worker-1", "vm-1");
  const wire::WorkerInfo m_Second = worker("worker-2", "");
  std::vector<WorkerSpeedChange> m_Reported;
  WorkerSpeed m_Speeds{[this](const WorkerSpeedChange &Change) {
    m_Reported.push_back(Change);
  }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerSpeedTest, SpeedFixture)

// Guards against a machine that is slow for good being planned with the normal
// speed, and against speeds of one machine that reach another.
BOOST_AUTO_TEST_CASE(LearnsTheSpeedOfASlowAndOfAFastMachine) {
  run(m_First, 1 / 0.5, 30);
  BOOST_TEST(speed(m_First) > 0.45);
  BOOST_TEST(speed(m_First) < 0.6);
  BOOST_TEST(speed(m_Second) == 1);
  run(m_Second, 1 / 1.4, 30);
  BOOST_TEST(speed(m_Second) > 1.25);
  BOOST_TEST(speed(m_Second) < 1.45);
}

// Guards against a single slow task making its machine look slow.
BOOST_AUTO_TEST_CASE(IsNotMovedBySingleSlowTasks) {
  run(m_First, 7, 1);
  BOOST_TEST(speed(m_First) == 1);
  for (int I = 0; I < 10; ++I) {
    run(m_First, 1, 32);
    run(m_First, 7, 1);
    BOOST_TEST(speed(m_First) == 1, "after " << 33 * (I + 1) << " tasks");
  }
}

// Guards against stragglers that hide how slow their machine is.
BOOST_AUTO_TEST_CASE(LearnsTheSpeedAmongStragglers) {
  for (int I = 0; I < 10; ++I) {
    run(m_First, 1 / 0.55, 32);
    run(m_First, 7 / 0.55, 1);
  }
  BOOST_TEST(speed(m_First) > 0.5);
  BOOST_TEST(speed(m_First) < 0.6);
}

// Guards against equal machines that are told apart by chance: times that
// spread by a third must not count as a speed.
BOOST_AUTO_TEST_CASE(KeepsSpeedOneWhileTimesOnlySpread) {
  for (int I = 0; I < 20; ++I)
    for (const double Factor : {1.35, 0.74, 0.8, 1.25}) {
      run(m_First, Factor, 1);
      BOOST_TEST(speed(m_First) == 1);
    }
}

// Guards against a wrong prediction of a step, which is weak evidence, being
// taken for the speed of the machine that runs its first tasks.
BOOST_AUTO_TEST_CASE(WeakEvidenceCountsLess) {
  for (int I = 0; I < 3; ++I) {
    run(m_Speeds, m_First, 2, 1);
    run(m_Speeds, m_Second, 2, RunVariance, 0.15);
  }
  BOOST_TEST(speed(m_First) == 1);
  BOOST_TEST(speed(m_Second) == 1);
}

// Guards against forecasts that are off without bound.
BOOST_AUTO_TEST_CASE(StaysWithinItsRange) {
  run(m_First, 100, 200);
  run(m_Second, 0.01, 200);
  BOOST_TEST(speed(m_First) == 0.25, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(speed(m_Second) == 4.0, boost::test_tools::tolerance(1e-9));
}

// Guards against a machine that keeps the speed that it had before it was
// repaired.
BOOST_AUTO_TEST_CASE(FollowsASpeedThatChangesForGood) {
  run(m_First, 2, 200);
  BOOST_TEST(speed(m_First) < 0.6);
  run(m_First, 1, 120);
  BOOST_TEST(speed(m_First) == 1);
}

// Guards against learning anew at each restart of a worker: the speed belongs
// to its machine.
BOOST_AUTO_TEST_CASE(KeepsTheSpeedWhenTheWorkerRestartsUnderAnotherId) {
  run(m_First, 2, 30);
  const wire::WorkerInfo Next = worker("worker-9", "vm-1");
  m_Speeds.updateWorker(Next, Now);
  BOOST_TEST(speed(Next) == speed(m_First));
  BOOST_TEST(speed(Next) < 0.6);
}

// Guards against a log line for each run, and against none for a slow machine.
BOOST_AUTO_TEST_CASE(ReportsChangesOfMoreThanAFifth) {
  run(m_First, 1.1, 50);
  BOOST_TEST(m_Reported.empty());
  run(m_First, 2.5, 100);
  BOOST_REQUIRE(!m_Reported.empty());
  BOOST_TEST(m_Reported.size() <= 5U);
  BOOST_TEST(m_Reported.front().m_Worker == "worker-1");
  BOOST_TEST(m_Reported.front().m_Machine == "vm-1");
  BOOST_TEST(m_Reported.front().m_Speed < 1 / 1.2);
  double Before = 1;
  for (const WorkerSpeedChange &Each : m_Reported) {
    BOOST_TEST(std::abs(std::log(Each.m_Speed / Before)) > std::log(1.2));
    BOOST_TEST(Each.m_Observations > 50);
    Before = Each.m_Speed;
  }
}

// Guards against a switch that turns learning off only in part.
BOOST_AUTO_TEST_CASE(LearnsNothingWhenDisabled) {
  WorkerSpeed Disabled = WorkerSpeed::disabled();
  Disabled.updateWorker(m_First, Now);
  for (int I = 0; I < 30; ++I)
    run(Disabled, m_First, 3);
  BOOST_TEST(Disabled.speedOf(m_First.incarnation) == 1);
}

// Guards against speeds of an earlier leadership.
BOOST_AUTO_TEST_CASE(ForgetsAllSpeedsWhenCleared) {
  run(m_First, 2, 30);
  m_Speeds.clear();
  m_Speeds.updateWorker(m_First, Now);
  BOOST_TEST(speed(m_First) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal
