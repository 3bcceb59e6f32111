#include <boost/test/unit_test.hpp>

#include "dispatch/sim/Sheets.h"
#include "dispatch/sim/World.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int TasksPerJob = 8;

JobPlan jobOf(int Number, Duration At) {
  return plainJob("recon-" + std::to_string(Number), "recon", At,
                  plainStep(TasksPerJob, 1), seconds(5));
}

void setFailing(World &Of, size_t Index, Duration From, Duration For) {
  const auto Set = [&Of, Index](bool Fails) {
    Of.workers().at(Index).m_FailsEverything = Fails;
  };
  Of.queue().at(Of.queue().now() + From, [Set] { Set(true); });
  Of.queue().at(Of.queue().now() + From + For, [Set] { Set(false); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(FailingWorkerTest)

// Guards against a worker that fails everything within milliseconds and so
// always has room: steps that have waited for room must not be spent on it.
// Replays the load of a hunted day, a full deployment with a waiting queue, on
// which one worker failed 39 runs in three seconds and ended four jobs.
BOOST_AUTO_TEST_CASE(TakesNoWaitingStepsWhileItFails) {
  constexpr int Jobs = 14;
  // What the worker can hold when it begins to fail, and the single tasks with
  // which it is tried again.
  constexpr int64_t MostFailures = 8 + 3;
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    WorldOptions Options;
    Options.m_Seed = Seed;
    World Of(Options, smallPolicy(), smallFleet());
    for (int I = 0; I < Jobs; ++I)
      Of.add(jobOf(I, milliseconds(1000 + 300 * I)));
    setFailing(Of, 0, seconds(8), milliseconds(9000));
    Of.run(seconds(90));
    BOOST_TEST(Of.violation() == "");
    for (const JobResult &Result : Of.results())
      BOOST_TEST((Result.m_Phase == wire::JobPhase::COMPLETED),
                 "seed " << Seed << ": " << Result.m_Plan->m_Id << " is "
                         << workload::nameOf(Result.m_Phase));
    BOOST_TEST(Of.truth().ends(wire::RunEndKind::FAILED) <= MostFailures,
               "seed " << Seed << ": "
                       << Of.truth().ends(wire::RunEndKind::FAILED)
                       << " failed runs");
  }
}

// Guards against a deployment that stands still because every worker is under
// suspicion: a step that no sound worker can hold goes to any.
BOOST_AUTO_TEST_CASE(TakesStepsWhileAllWorkersAreSuspected) {
  WorldOptions Options;
  World Of(Options, smallPolicy(), smallFleet());
  Of.add(jobOf(0, seconds(1)));
  for (size_t Index = 0; Index < Of.workers().size(); ++Index)
    setFailing(Of, Index, milliseconds(500), milliseconds(700));
  Of.add(jobOf(1, seconds(2)));
  Of.run(seconds(30));
  const JobResult &Last = Of.results().back();
  BOOST_TEST((Last.m_Phase == wire::JobPhase::COMPLETED),
             Last.m_Plan->m_Id << " is " << workload::nameOf(Last.m_Phase));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
