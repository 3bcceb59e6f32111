#include <boost/test/unit_test.hpp>

#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Work of a task that gains no percent within a test.
constexpr Duration NoVisibleProgress = std::chrono::hours(100);

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

// Guards against small jobs that never start, although most of the service is
// free, because a gang waits for workers on which tasks last: those were
// expected to end at any moment, so the gang reserved their workers for good.
BOOST_AUTO_TEST_CASE(StartsSmallJobsBesideAGangThatWaitsForTasksThatLast) {
  SimCluster Cluster(SimClusterOptions(), smallPolicy(), smallFleet());
  wire::StepSpec Lasting = plainStep(6, 2);
  Lasting.longRunning = true;
  Lasting.maxTasksPerWorker = 1;
  Cluster.add(
      plainJob("lasting", "recon", milliseconds(500), Lasting, seconds(1)));
  wire::StepSpec Gang = plainStep(6, 8);
  Gang.gang = true;
  Cluster.add(plainJob("gang", "batch", seconds(4), Gang, seconds(8)));
  Cluster.add(
      plainJob("small", "recon", seconds(5), plainStep(2, 1), seconds(3)));
  Cluster.run(seconds(20));
  const JobResult &Small = Cluster.results().back();
  BOOST_REQUIRE((Small.m_Phase == wire::JobPhase::COMPLETED));
  const Duration Wait = Small.m_FirstStartAt - Small.m_SentAt;
  BOOST_TEST((Wait <= seconds(1)), "waited " << Wait.count() / 1000 << " ms");
}

// Guards against free workers that nobody may use for as long as a run stands
// still elsewhere: it was expected to end at any moment, so a gang that needs
// its worker too reserved all of them.
BOOST_AUTO_TEST_CASE(StartsSmallJobsBesideAGangThatWaitsForAStalledOne) {
  SimCluster Cluster(SimClusterOptions(), smallPolicy(), smallFleet());
  wire::StepSpec Stalled = plainStep(4, 8);
  Stalled.gang = true;
  JobPlan StalledJob =
      plainJob("stalled", "batch", milliseconds(500), Stalled, seconds(6));
  StalledJob.m_Work = {std::vector<Duration>(4, NoVisibleProgress)};
  Cluster.add(StalledJob);
  wire::StepSpec Gang = plainStep(6, 8);
  Gang.gang = true;
  Cluster.add(plainJob("gang", "batch", seconds(12), Gang, seconds(8)));
  Cluster.add(
      plainJob("small", "recon", seconds(13), plainStep(1, 1), seconds(3)));
  Cluster.run(seconds(20));
  const JobResult &Small = Cluster.results().back();
  BOOST_REQUIRE((Small.m_Phase == wire::JobPhase::COMPLETED));
  const Duration Wait = Small.m_FirstStartAt - Small.m_SentAt;
  BOOST_TEST((Wait <= seconds(1)), "waited " << Wait.count() / 1000 << " ms");
}

// Guards against jobs that wait for the length of a long run while most of the
// service is idle: a gang waits for one worker, reserves all of them from the
// end of the run there, and longer tasks may not start before.
BOOST_AUTO_TEST_CASE(HoldsBackNoWholeJobForLongInAServiceThatIsMostlyFree) {
  SimCluster Cluster(SimClusterOptions(), smallPolicy(), smallFleet());
  Cluster.add(plainJob("long", "recon", milliseconds(500), plainStep(1, 1),
                       seconds(60)));
  wire::StepSpec Gang = plainStep(6, 8);
  Gang.gang = true;
  Cluster.add(plainJob("gang", "batch", seconds(4), Gang, seconds(8)));
  Cluster.add(
      plainJob("longer", "recon", seconds(5), plainStep(9, 1), seconds(90)));
  wire::StepSpec Pair = plainStep(2, 2);
  Pair.gang = true;
  Cluster.add(plainJob("pair", "recon", seconds(6), Pair, seconds(90)));
  Cluster.run(seconds(20));
  for (size_t I = 2; I < Cluster.results().size(); ++I) {
    const JobResult &Result = Cluster.results()[I];
    const Duration Wait = Result.m_FirstStartAt - Result.m_SentAt;
    BOOST_TEST((Result.m_FirstStartAt > Result.m_SentAt && Wait < seconds(3)),
               Result.m_Plan->m_Id << " waited " << Wait.count() / 1000
                                   << " ms");
  }
}

// Guards against a gang that never starts in a service that is mostly free,
// because each job of a stream of small ones gets a part of the room that is
// reserved for it.
BOOST_AUTO_TEST_CASE(AGangGetsLentRoomBackFromAStreamOfSmallJobs) {
  SimCluster Cluster(SimClusterOptions(), smallPolicy(), smallFleet());
  for (int I = 0; I < 60; ++I)
    Cluster.add(jobOf("small-" + std::to_string(I), "recon",
                      milliseconds(500 * (I + 1)), 1, seconds(10)));
  wire::StepSpec Gang = plainStep(6, 8);
  Gang.gang = true;
  Cluster.add(plainJob("gang", "batch", seconds(8), Gang, seconds(2)));
  Cluster.run(seconds(32));
  const JobResult &Result = Cluster.results().back();
  BOOST_REQUIRE((Result.m_Phase == wire::JobPhase::COMPLETED));
  const Duration Wait = Result.m_FirstStartAt - Result.m_SentAt;
  // The runs that it found end within their own time.
  BOOST_TEST((Wait <= seconds(12)), "waited " << Wait.count() / 1000 << " ms");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
