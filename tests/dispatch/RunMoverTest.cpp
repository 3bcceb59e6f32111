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

/// Two workers of eight accelerators: the first runs single tasks of one job.
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
      m_Views[I].m_Free = accelerators(8);
    }
  }

  /// Adds runs to the first worker that would end in \p EndsIn there and need
  /// \p WorkSeconds on a sound worker.
  void addRuns(int32_t Count, Duration EndsIn, double WorkSeconds) {
    for (int32_t I = 0; I < Count; ++I) {
      RunView Run;
      Run.m_Task.jobId = "job";
      Run.m_Task.index = I;
      Run.m_Run = 1;
      Run.m_Job = &m_Job;
      Run.m_Spec = &m_Spec;
      Run.m_Amounts = accelerators(1);
      Run.m_Forecast.m_Started = true;
      Run.m_Forecast.m_EndsAt = Now + EndsIn;
      Run.m_Forecast.m_WorkLeftSeconds = WorkSeconds;
      here().m_Runs.push_back(Run);
    }
    workload::subtract(here().m_Free, accelerators(Count));
  }

  WorkerView &here() { return m_Views[0]; }
  WorkerView &elsewhere() { return m_Views[1]; }

  size_t countStuck() {
    Fleet Of(m_Views, Now);
    return m_Mover.findStuck(Of).size();
  }
  size_t countLeaving() {
    Fleet Of(m_Views, Now);
    return m_Mover.findLeaving(Of).size();
  }

private:
  wire::JobRecord m_Job;
  wire::StepSpec m_Spec;
  std::array<wire::WorkerRecord, 2> m_Records;
  std::vector<WorkerView> m_Views;
  RunMover m_Mover{MoveOptions{milliseconds(400), milliseconds(600)}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RunMoverTest, MoverFixture)

// Guards against runs that stay on a slow worker beside an idle sound one.
BOOST_AUTO_TEST_CASE(MovesRunsFromASlowWorkerToASoundOne) {
  addRuns(3, seconds(40), 5);
  here().m_Slowdown = 6;
  BOOST_TEST(countStuck() == 3U);
}

// Guards against all runs of a slow worker being stopped for the room of one:
// on a hunted day 145 runs were stopped so within five seconds.
BOOST_AUTO_TEST_CASE(MovesNoMoreRunsThanThereIsRoomFor) {
  addRuns(8, seconds(40), 5);
  here().m_Slowdown = 6;
  elsewhere().m_Free = accelerators(1);
  BOOST_TEST(countStuck() == 1U);
}

// Guards against a run that is stopped for room that is kept for a gang.
BOOST_AUTO_TEST_CASE(MovesNothingToRoomThatIsBooked) {
  addRuns(1, seconds(40), 5);
  here().m_Slowdown = 6;
  Booking Kept;
  Kept.m_From = Now + seconds(1);
  Kept.m_Amounts = accelerators(8);
  elsewhere().m_Bookings.push_back(Kept);
  BOOST_TEST(countStuck() == 0U);
}

// Guards against moves between two slow workers, and to one that fails.
BOOST_AUTO_TEST_CASE(MovesNothingToAWorkerThatIsSlowOrFails) {
  addRuns(1, seconds(100), 5);
  here().m_Slowdown = 15;
  elsewhere().m_Slowdown = 6;
  BOOST_TEST(countStuck() == 0U);
  elsewhere().m_Slowdown = 1;
  elsewhere().m_Suspicion = 1.5;
  BOOST_TEST(countStuck() == 0U);
}

// Guards against work that goes on until its sound worker leaves, although it
// could begin elsewhere at once.
BOOST_AUTO_TEST_CASE(MovesRunsOffALeavingWorkerWhileThereIsRoom) {
  addRuns(2, seconds(10), 10);
  here().m_Usable = false;
  here().m_Draining = true;
  here().m_LeavesAt = Now + seconds(4);
  BOOST_TEST(countLeaving() == 2U);
  elsewhere().m_Free = accelerators(1);
  BOOST_TEST(countLeaving() == 1U);
}

// Guards against a stop that comes too late to save the progress.
BOOST_AUTO_TEST_CASE(StopsRunsBeforeTheirWorkerLeavesWithoutRoomElsewhere) {
  addRuns(2, seconds(10), 10);
  here().m_Usable = false;
  here().m_Draining = true;
  elsewhere().m_Free = accelerators(0);
  here().m_LeavesAt = Now + seconds(4);
  BOOST_TEST(countLeaving() == 0U);
  here().m_LeavesAt = Now + seconds(1);
  BOOST_TEST(countLeaving() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal
