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

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
