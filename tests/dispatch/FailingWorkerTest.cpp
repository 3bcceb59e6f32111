#include <boost/test/unit_test.hpp>

#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int TasksPerJob = 8;

JobPlan jobOf(int Number, Duration SubmitAfter) {
  return plainJob("recon-" + std::to_string(Number), "recon", SubmitAfter,
                  plainStep(TasksPerJob, 1), seconds(5));
}

void setFailing(SimCluster &Cluster, size_t Index, Duration Delay,
                Duration Span) {
  const auto Set = [&Cluster, Index](bool Fails) {
    Cluster.workers().at(Index).m_FailsEverything = Fails;
  };
  Cluster.queue().at(Cluster.queue().now() + Delay, [Set] { Set(true); });
  Cluster.queue().at(Cluster.queue().now() + Delay + Span,
                     [Set] { Set(false); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(FailingWorkerTest)

// Guards against waiting steps spending their attempts on a worker that fails
// every run within milliseconds and so always has room. In a fault-injection
// run with a full deployment and a waiting queue, such a worker failed 39 runs
// in three seconds and made four jobs fail.
BOOST_AUTO_TEST_CASE(GetsNoWaitingStepsWhileItFails) {
  constexpr int Jobs = 14;
  // Tasks that the worker holds when it begins to fail, and the single tasks
  // with which it is probed afterwards.
  constexpr int64_t MostFailures = 8 + 3;
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    SimClusterOptions Options;
    Options.m_Seed = Seed;
    SimCluster Cluster(Options, smallPolicy(), smallFleet());
    for (int I = 0; I < Jobs; ++I)
      Cluster.add(jobOf(I, milliseconds(1000 + 300 * I)));
    setFailing(Cluster, 0, seconds(8), milliseconds(9000));
    Cluster.run(seconds(90));
    BOOST_TEST(Cluster.violation() == "");
    for (const JobResult &Result : Cluster.results())
      BOOST_TEST((Result.m_Phase == wire::JobPhase::COMPLETED),
                 "seed " << Seed << ": " << Result.m_Plan->m_Id << " is "
                         << workload::nameOf(Result.m_Phase));
    BOOST_TEST(Cluster.checker().ends(wire::RunEndKind::FAILED) <= MostFailures,
               "seed " << Seed << ": "
                       << Cluster.checker().ends(wire::RunEndKind::FAILED)
                       << " failed runs");
  }
}

// Guards against a deployment that stalls because every worker is suspected: a
// step that no healthy worker can hold goes to any worker.
BOOST_AUTO_TEST_CASE(PlacesStepsWhileAllWorkersAreSuspected) {
  SimClusterOptions Options;
  SimCluster Cluster(Options, smallPolicy(), smallFleet());
  Cluster.add(jobOf(0, seconds(1)));
  for (size_t Index = 0; Index < Cluster.workers().size(); ++Index)
    setFailing(Cluster, Index, milliseconds(500), milliseconds(700));
  Cluster.add(jobOf(1, seconds(2)));
  Cluster.run(seconds(30));
  const JobResult &Last = Cluster.results().back();
  BOOST_TEST((Last.m_Phase == wire::JobPhase::COMPLETED),
             Last.m_Plan->m_Id << " is " << workload::nameOf(Last.m_Phase));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
