#include <boost/test/unit_test.hpp>

#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobPlan quoteOf(int Number, Duration SubmitAfter, int64_t EstimateMs,
                Duration Work) {
  JobPlan Plan = plainJob("quote-" + std::to_string(Number), "quote",
                          SubmitAfter, plainStep(1, 8), Work);
  Plan.m_Spec.steps[0].estimateMs = EstimateMs;
  return Plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowWorkerTest)

// Guards against a task that takes much longer than the others of its queue
// being moved from one healthy worker to the next: each worker looks slow, and
// the task starts anew on the next. The load is that of a recorded
// fault-injection run with one late job of the quote queue.
BOOST_AUTO_TEST_CASE(MovesALongTaskAtMostOnce) {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    SimClusterOptions Options;
    Options.m_Seed = Seed;
    SimCluster Cluster(Options, smallPolicy(), smallFleet());
    constexpr int ShortJobs = 12;
    for (int I = 0; I < ShortJobs; ++I)
      Cluster.add(quoteOf(I, milliseconds(1000 + 700 * I), 2000, seconds(2)));
    Cluster.add(quoteOf(ShortJobs, seconds(25), 3500, seconds(14)));
    Cluster.run(seconds(120));
    BOOST_TEST(Cluster.violation() == "");
    for (const JobResult &Result : Cluster.results())
      BOOST_TEST((Result.m_Phase == wire::JobPhase::COMPLETED),
                 "seed " << Seed << ": " << Result.m_Plan->m_Id);
    BOOST_TEST(Cluster.checker().starts() <= ShortJobs + 2,
               "seed " << Seed << ": " << Cluster.checker().starts()
                       << " starts of " << ShortJobs + 1 << " tasks");
  }
}

// Guards against a healthy worker that looks slow because progress arrives in
// steps: on a recorded day 20 tasks of one job were stopped 44 times, and each
// started again on the worker that it had left.
BOOST_AUTO_TEST_CASE(LeavesSteadyRunsWhereTheyAre) {
  constexpr int32_t Tasks = 20;
  for (const int Work : {10, 19, 40})
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      SimClusterOptions Options;
      Options.m_Seed = Seed;
      SimCluster Cluster(Options, smallPolicy(), smallFleet());
      wire::StepSpec Step = plainStep(Tasks, 1);
      Step.checkpointing = true;
      Cluster.add(plainJob("steady", "recon", seconds(1), Step, seconds(Work)));
      Cluster.run(seconds(60));
      BOOST_TEST(
          (Cluster.results().back().m_Phase == wire::JobPhase::COMPLETED));
      BOOST_TEST(Cluster.checker().starts() == Tasks,
                 "tasks of " << Work << " s, seed " << Seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
