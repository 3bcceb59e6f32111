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

// Two members, each of which takes a whole worker.
JobPlan wholeWorkerGang(const std::string &Id, Duration Work) {
  wire::StepSpec Step = plainStep(2, 8);
  Step.gang = true;
  return plainJob(Id, "batch", milliseconds(500), Step, Work);
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

// Guards against the loss of a gang that is counted under the end of another
// member, which says nothing about why the gang was stopped.
BOOST_AUTO_TEST_CASE(CountsAStoppedGangUnderTheReasonOfTheStop) {
  std::map<std::string, double> Lost;
  SimClusterOptions Options;
  Options.m_OnLostWork = [&](const dispatch::LostWork &Each) {
    Lost[Each.m_Cause] += Each.m_CoreSeconds;
  };
  SimCluster Cluster(Options, smallPolicy(), smallFleet());
  for (int I = 0; I < 3; ++I)
    Cluster.add(wholeWorkerGang("gang-" + std::to_string(I), seconds(10)));
  Cluster.add(
      wholeWorkerJob("urgent", "quote", milliseconds(4500), seconds(1)));
  Cluster.run(seconds(30));
  constexpr double Tolerance = 1.5 * CoresOfAWorker;
  BOOST_TEST(Lost.size() == 1U);
  BOOST_TEST(std::abs(Lost["room for more urgent work"] -
                      2 * 4 * CoresOfAWorker) < Tolerance);
}

// Guards against the loss of a gang on a worker that crashes being counted
// under the members that its crash ended, which are reported first.
BOOST_AUTO_TEST_CASE(CountsAGangOnALostWorkerUnderThatLoss) {
  std::map<std::string, double> Lost;
  SimClusterOptions Options;
  Options.m_OnLostWork = [&](const dispatch::LostWork &Each) {
    Lost[Each.m_Cause] += Each.m_CoreSeconds;
  };
  SimCluster Cluster(Options, smallPolicy(), smallFleet());
  for (int I = 0; I < 3; ++I)
    Cluster.add(wholeWorkerGang("gang-" + std::to_string(I), seconds(10)));
  Cluster.queue().at(Cluster.queue().now() + seconds(5),
                     [&Cluster] { Cluster.crashWorker(0, seconds(3), true); });
  Cluster.run(seconds(40));
  BOOST_TEST(Lost.size() == 1U);
  BOOST_TEST(Lost["worker-lost"] >= 2 * 4 * CoresOfAWorker);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
