#include <boost/test/unit_test.hpp>

#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int32_t Workers = 6;

// No workspace has a guarantee, so that only the costs of delays decide.
wire::PolicyDocument policyWithoutGuarantees() {
  wire::PolicyDocument Policy = smallPolicy();
  for (wire::WorkspacePolicy &Each : Policy.workspaces)
    Each.guaranteed = wire::ResourceAmounts();
  return Policy;
}

wire::StepSpec gangOf(int32_t Tasks, bool RackLocal) {
  wire::StepSpec Gang = plainStep(Tasks, 8);
  Gang.gang = true;
  Gang.rackLocal = RackLocal;
  return Gang;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DelayCostTest)

// Guards against a large urgent gang that waits until it is worthless, because
// more work would be stopped than half of its own, although the stopped jobs
// have time to run again.
BOOST_AUTO_TEST_CASE(AnUrgentGangStopsWorkThatHasTime) {
  constexpr Duration UrgentWork = seconds(3);
  SimCluster Cluster(SimClusterOptions(), policyWithoutGuarantees(),
                     smallFleet());
  for (int I = 0; I < Workers / 2; ++I)
    Cluster.add(plainJob("batch-" + std::to_string(I), "batch",
                         milliseconds(500), gangOf(2, true), seconds(30)));
  Cluster.add(plainJob("urgent", "quote", seconds(8), gangOf(Workers, false),
                       UrgentWork));
  Cluster.run(seconds(80));
  const JobResult &Urgent = Cluster.results().back();
  BOOST_REQUIRE((Urgent.m_Phase == wire::JobPhase::COMPLETED));
  const Duration Took = Urgent.m_EndedAt - Urgent.m_SentAt;
  BOOST_TEST((Took <= Cluster.objectiveOf(Urgent)),
             "took " << Took.count() / 1000 << " ms");
  for (const JobResult &Each : Cluster.results()) {
    BOOST_REQUIRE((Each.m_Phase == wire::JobPhase::COMPLETED));
    BOOST_TEST((Each.m_EndedAt - Each.m_SentAt <= Cluster.objectiveOf(Each)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
