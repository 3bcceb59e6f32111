#include <array>

#include <boost/test/unit_test.hpp>

#include "dispatch/RunMover.h"

namespace anvil::dispatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Now = timePointFromMicros(100'000'000);

wire::ResourceAmounts accelerators(int32_t Count) {
  wire::ResourceAmounts Result;
  Result.accelerators = Count;
  return Result;
}

/// Two workers of eight accelerators; the first runs single tasks of one job.
class MoverFixture {
public:
  MoverFixture() {
    m_Job.serviceName = "desk";
    m_Spec.tasks = 1;
    m_Spec.perTask = accelerators(1);
    for (wire::WorkerRecord &Record : m_Records) {
      Record.info.serviceName = "desk";
      Record.info.capacity = accelerators(8);
    }
    m_Records[0].info.incarnation.id = "here";
    m_Records[1].info.incarnation.id = "elsewhere";
    m_Views.resize(2);
    for (size_t I = 0; I < m_Views.size(); ++I) {
      m_Views[I].m_Record = &m_Records[I];
      m_Views[I].m_Usable = true;
      m_Views[I].m_RunsKnown = true;
      m_Views[I].m_Free = accelerators(8);
    }
  }

  /// Adds runs to the first worker that end in \p EndsIn there and need \p
  /// WorkSeconds on a healthy worker.
  void addRuns(int32_t Count, Duration EndsIn, double WorkSeconds) {
    for (int32_t I = 0; I < Count; ++I) {
      addMember(here(), I, EndsIn);
      here().m_Runs.back().m_Forecast.m_WorkLeftSeconds = WorkSeconds;
    }
  }
  /// Adds a run of the task with this index to the worker.
  void addMember(WorkerView &Worker, int32_t Index, Duration EndsIn) {
    RunView Run;
    Run.m_Task.jobId = "job";
    Run.m_Task.index = Index;
    Run.m_Run = 1;
    Run.m_Job = &m_Job;
    Run.m_Spec = &m_Spec;
    Run.m_Amounts = accelerators(1);
    Run.m_Forecast.m_Started = true;
    Run.m_Forecast.m_EndsAt = Now + EndsIn;
    Worker.m_Runs.push_back(Run);
    workload::subtract(Worker.m_Free, accelerators(1));
  }
  static void drain(WorkerView &Worker, Duration Remaining) {
    Worker.m_Usable = false;
    Worker.m_Draining = true;
    Worker.m_LeavesAt = Now + Remaining;
  }

  WorkerView &here() { return m_Views[0]; }
  WorkerView &elsewhere() { return m_Views[1]; }

  size_t countStalledOrSlow() {
    Fleet PlanFleet(m_Views, Now);
    return m_Mover.findStalledOrSlow(PlanFleet).size();
  }
  size_t countOnDrainingWorkers() {
    Fleet PlanFleet(m_Views, Now);
    return m_Mover.findOnDrainingWorkers(PlanFleet).size();
  }

protected:
  wire::StepSpec m_Spec;

private:
  wire::JobRecord m_Job;
  std::array<wire::WorkerRecord, 2> m_Records;
  std::vector<WorkerView> m_Views;
  RunMover m_Mover{MoveOptions{milliseconds(400), milliseconds(600)}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunMoverTest, MoverFixture)

// Guards against runs that stay on a slow worker although a healthy one is
// idle.
BOOST_AUTO_TEST_CASE(MovesRunsFromASlowWorkerToAHealthyOne) {
  addRuns(3, seconds(40), 5);
  here().m_Slowdown = 6;
  BOOST_TEST(countStalledOrSlow() == 3U);
}

// Guards against stopping all runs of a slow worker when there is room for one
// elsewhere. In a fault-injection run, 145 runs were stopped this way within
// five seconds.
BOOST_AUTO_TEST_CASE(MovesNoMoreRunsThanThereIsRoomFor) {
  addRuns(8, seconds(40), 5);
  here().m_Slowdown = 6;
  elsewhere().m_Free = accelerators(1);
  BOOST_TEST(countStalledOrSlow() == 1U);
}

// Guards against stopping a run for room that is reserved for a gang.
BOOST_AUTO_TEST_CASE(MovesNothingToReservedRoom) {
  addRuns(1, seconds(40), 5);
  here().m_Slowdown = 6;
  Reservation Kept;
  Kept.m_From = Now + seconds(1);
  Kept.m_Amounts = accelerators(8);
  elsewhere().m_Reservations.push_back(Kept);
  BOOST_TEST(countStalledOrSlow() == 0U);
}

// Guards against moves from one slow worker to another or to a failing one.
BOOST_AUTO_TEST_CASE(MovesNothingToAWorkerThatIsSlowOrFails) {
  addRuns(1, seconds(100), 5);
  here().m_Slowdown = 15;
  elsewhere().m_Slowdown = 6;
  BOOST_TEST(countStalledOrSlow() == 0U);
  elsewhere().m_Slowdown = 1;
  elsewhere().m_Suspicion = 1.5;
  BOOST_TEST(countStalledOrSlow() == 0U);
}

// Guards against runs that stay on a draining worker until it leaves although
// they could continue elsewhere at once.
BOOST_AUTO_TEST_CASE(MovesRunsOffADrainingWorkerWhileThereIsRoom) {
  m_Spec.checkpointing = true;
  addRuns(2, seconds(10), 10);
  drain(here(), seconds(4));
  BOOST_TEST(countOnDrainingWorkers() == 2U);
  elsewhere().m_Free = accelerators(1);
  BOOST_TEST(countOnDrainingWorkers() == 1U);
}

// Guards against a stop that comes too late to save the progress of the run,
// and against one that comes so early that the run waits instead of working.
BOOST_AUTO_TEST_CASE(StopsRunsBeforeADrainingWorkerLeavesWithoutRoomElsewhere) {
  m_Spec.checkpointing = true;
  addRuns(2, seconds(10), 10);
  elsewhere().m_Free = accelerators(0);
  drain(here(), seconds(4));
  BOOST_TEST(countOnDrainingWorkers() == 0U);
  drain(here(), seconds(1));
  BOOST_TEST(countOnDrainingWorkers() == 2U);
}

// Guards against moves from a slow worker to one that is slow for good, where
// the run ends no sooner.
BOOST_AUTO_TEST_CASE(ComparesWithTheLastingSpeedOfTheOtherWorker) {
  addRuns(1, seconds(10), 5);
  BOOST_TEST(countStalledOrSlow() == 1U);
  elsewhere().m_Speed = 0.55;
  BOOST_TEST(countStalledOrSlow() == 0U);
  elsewhere().m_Speed = 1.2;
  BOOST_TEST(countStalledOrSlow() == 1U);
}

// Guards against a move that is worth it only at the speed of a worker without
// room.
BOOST_AUTO_TEST_CASE(CountsOnTheSpeedOfAWorkerWithRoom) {
  addRuns(1, seconds(6), 5);
  here().m_Speed = 4;
  BOOST_TEST(countStalledOrSlow() == 0U);
  elsewhere().m_Speed = 2;
  BOOST_TEST(countStalledOrSlow() == 1U);
  elsewhere().m_Free = accelerators(0);
  BOOST_TEST(countStalledOrSlow() == 0U);
}

// Guards against a task that goes from worker to worker, since each looks slow
// because of the task, and against one that stays on the second worker on which
// it stands still.
BOOST_AUTO_TEST_CASE(MovesATaskOnceFromSlowWorkersButFromEachThatStalls) {
  addRuns(1, seconds(40), 5);
  RunForecast &Forecast = here().m_Runs[0].m_Forecast;
  Forecast.m_MovedAsSlow = true;
  BOOST_TEST(countStalledOrSlow() == 0U);
  Forecast.m_Stalled = true;
  Forecast.m_EndsAt = NoKnownEnd;
  BOOST_TEST(countStalledOrSlow() == 1U);
}

// Guards against runs that work until their worker leaves although all of that
// work will be lost, because no other worker has room for them.
BOOST_AUTO_TEST_CASE(StopsRunsThatSaveNothingAtTheNotice) {
  addRuns(2, seconds(10), 10);
  elsewhere().m_Free = accelerators(0);
  drain(here(), milliseconds(2500));
  BOOST_TEST(countOnDrainingWorkers() == 2U);
}

// Guards against losing runs that would have ended before their worker leaves.
BOOST_AUTO_TEST_CASE(LetsRunsGoOnThatWillEndInTime) {
  addRuns(2, milliseconds(1200), 10);
  drain(here(), milliseconds(2500));
  BOOST_TEST(countOnDrainingWorkers() == 0U);
}

// Guards against a notice at which all runs stop whose forecast is close to the
// time that is left, and against one at which all of them go on.
BOOST_AUTO_TEST_CASE(WeighsTheWorkSoFarAgainstTheWorkUntilTheWorkerLeaves) {
  addRuns(1, milliseconds(2300), 10);
  drain(here(), milliseconds(2500));
  here().m_Runs[0].m_Forecast.m_UnsavedSeconds = 8;
  BOOST_TEST(countOnDrainingWorkers() == 0U);
  here().m_Runs[0].m_Forecast.m_UnsavedSeconds = 0.2;
  BOOST_TEST(countOnDrainingWorkers() == 1U);
  here().m_Runs[0].m_Forecast.m_UnsavedSeconds = 8;
  here().m_Runs[0].m_Forecast.m_EndsAt = Now + milliseconds(2600);
  BOOST_TEST(countOnDrainingWorkers() == 1U);
}

// Guards against a gang that goes on because its member on the leaving worker
// is nearly done, although the gang ends only with its last member.
BOOST_AUTO_TEST_CASE(DecidesAGangByItsLastMember) {
  m_Spec.gang = true;
  m_Spec.tasks = 2;
  addRuns(1, milliseconds(800), 10);
  addMember(elsewhere(), 1, milliseconds(900));
  drain(here(), milliseconds(2500));
  BOOST_TEST(countOnDrainingWorkers() == 0U);
  elsewhere().m_Runs[0].m_Forecast.m_EndsAt = Now + seconds(6);
  BOOST_TEST(countOnDrainingWorkers() == 1U);
}

// Guards against a gang that waits for the later of two leaving workers.
BOOST_AUTO_TEST_CASE(DecidesAGangByTheWorkerThatLeavesFirst) {
  m_Spec.gang = true;
  m_Spec.tasks = 2;
  addRuns(1, seconds(4), 10);
  addMember(elsewhere(), 1, seconds(4));
  drain(here(), seconds(12));
  drain(elsewhere(), seconds(12));
  BOOST_TEST(countOnDrainingWorkers() == 0U);
  drain(elsewhere(), milliseconds(2500));
  BOOST_TEST(countOnDrainingWorkers() == 2U);
}

// Guards against a second order to stop a gang that is ending already.
BOOST_AUTO_TEST_CASE(LeavesAGangAloneOfWhichAMemberStops) {
  m_Spec.gang = true;
  m_Spec.tasks = 2;
  addRuns(1, seconds(10), 10);
  addMember(elsewhere(), 1, seconds(10));
  elsewhere().m_Runs[0].m_Stopping = true;
  drain(here(), milliseconds(2500));
  BOOST_TEST(countOnDrainingWorkers() == 0U);
}

// Guards against a new leader that stops runs whose progress it does not know:
// they look as if they had just started.
BOOST_AUTO_TEST_CASE(StopsNothingOnAWorkerThatHasNotListedItsRuns) {
  addRuns(2, seconds(10), 10);
  drain(here(), milliseconds(2500));
  here().m_RunsKnown = false;
  BOOST_TEST(countOnDrainingWorkers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal
