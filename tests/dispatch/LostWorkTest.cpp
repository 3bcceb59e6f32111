#include <boost/test/unit_test.hpp>

#include <map>

#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One core and eight accelerators, each of which counts as eight cores.
constexpr double CoresOfAWorker = 1 + 8 * 8;

JobPlan wholeWorkerJob(const std::string &Id, const std::string &Queue,
                       Duration SubmitAfter, Duration Work) {
  return plainJob(Id, Queue, SubmitAfter, plainStep(1, 8), Work);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LostWorkTest)

// Guards against work that is thrown away without a trace of why: a run that
// makes room for an urgent one, a run of a cancelled job, and none for a job
// that completes.
BOOST_AUTO_TEST_CASE(NamesTheCauseOfEachLoss) {
  std::map<std::string, double> Lost;
  SimClusterOptions Options;
  Options.m_OnLostWork = [&](const dispatch::LostWork &Each) {
    Lost[Each.m_Cause] += Each.m_CoreSeconds;
  };
  SimCluster Cluster(Options, smallPolicy(), smallFleet());
  for (int I = 0; I < 5; ++I)
    Cluster.add(wholeWorkerJob("batch-" + std::to_string(I), "batch",
                               milliseconds(500), seconds(10)));
  JobPlan Cancelled =
      wholeWorkerJob("cancelled", "batch", milliseconds(500), seconds(30));
  Cancelled.m_CancelAfter = seconds(20);
  Cluster.add(Cancelled);
  Cluster.add(
      wholeWorkerJob("urgent", "quote", milliseconds(4500), seconds(1)));
  Cluster.run(seconds(40));
  constexpr double Tolerance = 1.5 * CoresOfAWorker;
  BOOST_TEST(Lost.size() == 2U);
  BOOST_TEST(std::abs(Lost["room for more urgent work"] - 4 * CoresOfAWorker) <
             Tolerance);
  BOOST_TEST(std::abs(Lost["job cancelled"] - 20 * CoresOfAWorker) < Tolerance);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
