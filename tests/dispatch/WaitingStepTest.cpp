#include <boost/test/unit_test.hpp>

#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobPlan jobOf(const std::string &Id, const std::string &Queue,
              Duration SubmitAfter, int32_t Accelerators, Duration Work) {
  return plainJob(Id, Queue, SubmitAfter, plainStep(1, Accelerators), Work);
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingStepTest)

// Guards against a task that needs a whole worker and never starts, because
// small tasks of less urgent jobs take each accelerator that becomes free. In a
// fault-injection run such a task waited for 54 s.
BOOST_AUTO_TEST_CASE(StartsAWholeWorkerTaskAmongAStreamOfSmallOnes) {
  constexpr int SmallJobs = 700;
  constexpr Duration SmallWork = seconds(5);
  for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
    SimClusterOptions Options;
    Options.m_Seed = Seed;
    SimCluster Cluster(Options, smallPolicy(), smallFleet());
    // More work than the 48 accelerators can do in the time.
    for (int I = 0; I < SmallJobs; ++I)
      Cluster.add(jobOf("small-" + std::to_string(I), "recon",
                        milliseconds(500 + 90 * I), 1, SmallWork));
    Cluster.add(jobOf("whole", "batch", seconds(20), 8, seconds(5)));
    Cluster.run(seconds(60));
    const JobResult &Whole = Cluster.results().back();
    BOOST_REQUIRE((Whole.m_Phase == wire::JobPhase::COMPLETED));
    // Each task on the worker ends within its own time.
    const Duration Wait = Whole.m_FirstStartAt - Whole.m_SentAt;
    BOOST_TEST((Wait <= 2 * SmallWork),
               "seed " << Seed << ": waited " << Wait.count() / 1000 << " ms");
  }
}

// Guards against a gang that starts over several racks, where it takes three
// times as long, although a rack is about to become free. It happened whenever
// no less urgent run could be stopped.
BOOST_AUTO_TEST_CASE(AGangWaitsForARackThatIsFreeSoon) {
  constexpr Duration ShortWork = seconds(3);
  constexpr Duration GangWork = seconds(8);
  SimCluster Cluster(SimClusterOptions(), smallPolicy(), smallFleet());
  // One of the two workers of each rack is taken.
  for (int I = 0; I < 3; ++I)
    Cluster.add(jobOf("short-" + std::to_string(I), "batch", milliseconds(500),
                      8, ShortWork));
  wire::StepSpec Gang = plainStep(2, 8);
  Gang.gang = true;
  Gang.rackLocal = true;
  Cluster.add(plainJob("gang", "batch", seconds(1), Gang, GangWork));
  Cluster.run(seconds(40));
  const JobResult &Result = Cluster.results().back();
  BOOST_REQUIRE((Result.m_Phase == wire::JobPhase::COMPLETED));
  const Duration Took = Result.m_EndedAt - Result.m_SentAt;
  BOOST_TEST((Took <= ShortWork + GangWork + seconds(1)),
             "took " << Took.count() / 1000 << " ms");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
