#include <boost/test/unit_test.hpp>

#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/Faults.h"
#include "dispatch/sim/SimCluster.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a task that runs twice at a time or after its end was
// acknowledged, a gang or step that starts too early, a job shown as completed
// before it is, and an inconsistent state, all under simultaneous faults of all
// kinds.
BOOST_AUTO_TEST_CASE(KeepsInvariantsUnderRandomFaults) {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    const std::string Violation = simulateWithFaults(Seed, {});
    BOOST_TEST(Violation == "", "seed " << Seed << ": " << Violation);
  }
}

// Guards against a second run of a task whose start was answered by the next
// life of its worker, which is back at once under the same id.
BOOST_AUTO_TEST_CASE(RunsNoTaskTwiceWhileWorkersAreBackAtOnce) {
  for (uint64_t Seed = 201; Seed <= 220; ++Seed) {
    SimClusterOptions Options;
    Options.m_Seed = Seed;
    SimCluster Cluster(Options, smallPolicy(), smallFleet());
    addMixedJobs(Cluster, seconds(30), 1.0);
    for (int I = 0; I < 20; ++I) {
      const auto Index = static_cast<size_t>(Cluster.random().below(
          static_cast<int64_t>(Cluster.workers().size())));
      Cluster.queue().at(
          Cluster.queue().now() + seconds(2) + I * milliseconds(1300),
          [&Cluster, Index] {
            Cluster.crashWorker(Index, milliseconds(100), /*SameId=*/true);
          });
    }
    Cluster.run(seconds(90));
    BOOST_TEST(Cluster.violation() == "",
               "seed " << Seed << ": " << Cluster.violation());
  }
}

// Guards against work that is lost for good: all jobs end after the faults.
BOOST_AUTO_TEST_CASE(EndsAllJobsAfterTheFaults) {
  for (uint64_t Seed = 101; Seed <= 110; ++Seed) {
    SimClusterOptions Options;
    Options.m_Seed = Seed;
    Options.m_LateOrderShare = 0.05;
    SimCluster Cluster(Options, smallPolicy(), smallFleet());
    addMixedJobs(Cluster, seconds(20), 0.6);
    scheduleFaults(Cluster, seconds(20));
    Cluster.run(seconds(200));
    for (const JobResult &Result : Cluster.results())
      BOOST_TEST(workload::hasEnded(Result.m_Phase),
                 "seed " << Seed << ": job " << Result.m_Plan->m_Id
                         << " is still " << workload::nameOf(Result.m_Phase));
  }
}

} // namespace
} // namespace anvil::sim
