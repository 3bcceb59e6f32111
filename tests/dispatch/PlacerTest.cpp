#include <array>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "dispatch/Placer.h"

namespace anvil::dispatch::internal {
namespace {

const TimePoint Now = timePointFromMicros(100'000'000);

/// Three equal workers and a step of one task.
class PlacerFixture {
public:
  PlacerFixture() {
    m_Job.serviceName = "desk";
    m_Spec.tasks = 1;
    m_Spec.perTask.accelerators = 1;
    m_Views.resize(m_Records.size());
    for (size_t I = 0; I < m_Records.size(); ++I) {
      m_Records[I].info.serviceName = "desk";
      m_Records[I].info.incarnation.id = "worker-" + std::to_string(I);
      m_Records[I].info.capacity.accelerators = 8;
      m_Views[I].m_Record = &m_Records[I];
      m_Views[I].m_Usable = true;
      m_Views[I].m_Free = m_Records[I].info.capacity;
    }
    m_Step.m_Job = &m_Job;
    m_Step.m_Spec = &m_Spec;
    m_Step.m_Indexes = {0};
    m_Step.m_Expected = std::chrono::seconds(2);
  }

  /// Makes the step a gang, and returns the shares that the workers get.
  std::vector<Share> placeGang(int32_t Tasks) {
    m_Spec.tasks = Tasks;
    m_Spec.gang = true;
    Fleet PlanFleet(m_Views, Now);
    Placer GangPlacer(PlanFleet, 3);
    m_Step.m_MaxSuspicion = GangPlacer.suspicionLimit(m_Step);
    return GangPlacer.placeGang(m_Step).value_or(StepPlacement()).m_Shares;
  }

  /// Returns the index of the worker that the task goes to, or nothing.
  std::optional<size_t> place() {
    Fleet PlanFleet(m_Views, Now);
    Placer TaskPlacer(PlanFleet, 3);
    m_Step.m_MaxSuspicion = TaskPlacer.suspicionLimit(m_Step);
    const StepPlacement Chosen = TaskPlacer.placeTasks(m_Step);
    if (Chosen.m_Shares.empty())
      return std::nullopt;
    return Chosen.m_Shares.front().m_Worker;
  }

protected:
  wire::JobRecord m_Job;
  wire::StepSpec m_Spec;
  std::array<wire::WorkerRecord, 3> m_Records;
  std::vector<WorkerView> m_Views;
  WaitingStep m_Step;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacerTest, PlacerFixture)

// Guards against a worker that failed recently getting a whole step at once.
BOOST_AUTO_TEST_CASE(ProbesASuspectedWorkerWithOneTask) {
  m_Spec.tasks = 5;
  m_Step.m_Indexes = {0, 1, 2, 3, 4};
  m_Views.resize(2);
  m_Views[0].m_Suspicion = 1;
  m_Views[1].m_Free.accelerators = 1;
  Fleet PlanFleet(m_Views, Now);
  Placer TaskPlacer(PlanFleet, 3);
  m_Step.m_MaxSuspicion = TaskPlacer.suspicionLimit(m_Step);
  const StepPlacement Chosen = TaskPlacer.placeTasks(m_Step);
  BOOST_REQUIRE(Chosen.m_Shares.size() == 2U);
  BOOST_TEST(Chosen.m_Shares[0].m_Tasks == 1);
  BOOST_TEST(Chosen.m_Shares[1].m_Tasks == 1);
}

// Guards against steps that wait for healthy workers although only suspected
// ones could ever hold them.
BOOST_AUTO_TEST_CASE(UsesSuspectedWorkersIfNoOthersCanHoldTheStep) {
  for (WorkerView &Each : m_Views)
    Each.m_Suspicion = 3;
  BOOST_TEST(place().has_value());
  m_Views[1].m_Suspicion = 0;
  m_Views[1].m_Free.accelerators = 0;
  BOOST_TEST(!place().has_value());
}

// Guards against a long-running task that is not restarted for seconds because
// the only room is on a slow or suspected worker.
BOOST_AUTO_TEST_CASE(RestartsALongRunningTaskOnAnyWorkerInTime) {
  for (WorkerView &Each : m_Views)
    Each.m_Free.accelerators = 0;
  m_Views[1].m_Free.accelerators = 8;
  m_Views[1].m_Slowdown = 10;
  m_Views[1].m_Suspicion = 3;
  m_Step.m_Waited = std::chrono::seconds(2);
  BOOST_TEST(!place().has_value());
  m_Spec.longRunning = true;
  BOOST_TEST(place().has_value());
}

// Guards against a task that lasts taking room that a gang will need: placed by
// its estimate, it seemed to be over before the gang starts. It is not kept
// waiting for the gang either, since it must be up all the time.
BOOST_AUTO_TEST_CASE(KeepsALongRunningTaskOffReservedRoomForAShortTime) {
  Reservation Whole;
  Whole.m_From = Now + 2 * m_Step.m_Expected;
  Whole.m_Amounts.accelerators = 8;
  for (WorkerView &Each : m_Views)
    Each.m_Reservations = {Whole};
  BOOST_TEST(place().has_value());
  m_Spec.longRunning = true;
  BOOST_TEST(!place().has_value());
  m_Step.m_Waited = std::chrono::seconds(2);
  BOOST_TEST(place().has_value());
}

// Guards against urgent work on a slow worker while a fast one is free, and
// against other decisions than before if all workers are equal.
BOOST_AUTO_TEST_CASE(PlacesUrgentWorkOnTheFastestFreeWorker) {
  BOOST_TEST((place() == 0U));
  m_Views[0].m_Speed = 0.55;
  m_Views[1].m_Speed = 1.2;
  BOOST_TEST((place() == 1U));
  for (WorkerView &Each : m_Views)
    Each.m_Speed = 1.2;
  BOOST_TEST((place() == 0U));
}

// Guards against work with slack that takes the fast workers: a little less
// fragmentation on a slow worker is worth its longer run time.
BOOST_AUTO_TEST_CASE(PlacesWorkWithSlackOnASlowWorkerThatFitsBetter) {
  m_Views[0].m_Speed = 0.55;
  m_Views[0].m_Free.accelerators = 1;
  m_Views[1].m_Speed = 1.2;
  m_Views[2].m_Speed = 1.2;
  m_Job.priority = 2;
  BOOST_TEST((place() == 1U));
  m_Step.m_Slack = std::chrono::seconds(20);
  BOOST_TEST((place() == 0U));
  m_Job.priority = 0;
  BOOST_TEST((place() == 1U));
}

// Guards against short tasks that keep long ones off the fast worker.
BOOST_AUTO_TEST_CASE(TheSpeedCountsMoreForLongWork) {
  m_Views[0].m_Speed = 0.8;
  m_Views[0].m_Free.accelerators = 1;
  m_Step.m_Expected = std::chrono::milliseconds(200);
  BOOST_TEST((place() == 0U));
  m_Step.m_Expected = std::chrono::seconds(20);
  BOOST_TEST((place() == 1U));
}

// Guards against a gang that holds a fast worker and still runs at the speed of
// a slow one.
BOOST_AUTO_TEST_CASE(AGangThatNeedsSlowWorkersLeavesTheFastOneFree) {
  m_Spec.gang = true;
  m_Spec.tasks = 2;
  m_Spec.perTask.accelerators = 8;
  m_Step.m_Indexes = {0, 1};
  m_Views[0].m_Speed = 0.55;
  m_Views[1].m_Speed = 1.2;
  m_Views[2].m_Speed = 0.55;
  const auto Workers = [&] {
    Fleet PlanFleet(m_Views, Now);
    Placer GangPlacer(PlanFleet, 3);
    m_Step.m_MaxSuspicion = GangPlacer.suspicionLimit(m_Step);
    std::vector<size_t> Result;
    if (const std::optional<StepPlacement> Chosen =
            GangPlacer.placeGang(m_Step))
      for (const Share &Each : Chosen->m_Shares)
        Result.push_back(Each.m_Worker);
    return Result;
  };
  BOOST_TEST((Workers() == std::vector<size_t>{0, 2}));
  m_Views[2].m_Speed = 1.2;
  BOOST_TEST((Workers() == std::vector<size_t>{1, 2}));
}

// Guards against a slow worker that takes a task past the begin of a
// reservation there.
BOOST_AUTO_TEST_CASE(ASlowWorkerKeepsItsReservation) {
  Reservation Whole;
  Whole.m_From = Now + 2 * m_Step.m_Expected;
  Whole.m_Amounts.accelerators = 8;
  for (WorkerView &Each : m_Views) {
    Each.m_Reservations = {Whole};
    Each.m_Speed = 0.4;
  }
  BOOST_TEST(!place().has_value());
  m_Views[1].m_Speed = 0.6;
  BOOST_TEST((place() == 1U));
}

// Guards against a gang that goes to a suspected worker although others have
// room.
BOOST_AUTO_TEST_CASE(PlacesAGangOnWorkersWithoutSuspicion) {
  m_Views[0].m_Suspicion = 0.6;
  m_Views[1].m_Free.accelerators = 2;
  m_Views[2].m_Free.accelerators = 2;
  const std::vector<Share> Chosen = placeGang(4);
  BOOST_REQUIRE(Chosen.size() == 2U);
  BOOST_TEST(Chosen[0].m_Worker == 1U);
  BOOST_TEST(Chosen[1].m_Worker == 2U);
}

// Guards against single tasks that break up a free worker although a worker on
// which something runs has room.
BOOST_AUTO_TEST_CASE(PacksSingleTasksOntoPartlyUsedWorkers) {
  m_Spec.tasks = 5;
  m_Step.m_Indexes = {0, 1, 2, 3, 4};
  m_Views[1].m_Free.accelerators = 3;
  Fleet PlanFleet(m_Views, Now);
  Placer TaskPlacer(PlanFleet, 3);
  m_Step.m_MaxSuspicion = TaskPlacer.suspicionLimit(m_Step);
  const StepPlacement Chosen = TaskPlacer.placeTasks(m_Step);
  BOOST_REQUIRE(Chosen.m_Shares.size() == 2U);
  BOOST_TEST(Chosen.m_Shares[0].m_Tasks == 2);
  BOOST_TEST(Chosen.m_Shares[1].m_Worker == 1U);
  BOOST_TEST(Chosen.m_Shares[1].m_Tasks == 3);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal
