#include <boost/test/unit_test.hpp>

#include "dispatch/sim/Faults.h"
#include "dispatch/sim/Sheets.h"
#include "dispatch/sim/World.h"

namespace anvil::sim {
namespace {

using std::chrono::seconds;

// Guards against a task that runs twice at a time or after its end was noted, a
// gang or a step that starts too early, a job shown as done while it is not,
// and a state that contradicts itself, under faults of all kinds at once.
BOOST_AUTO_TEST_CASE(KeepsItsPromisesUnderRandomFaults) {
  for (uint64_t Seed = 1; Seed <= 40; ++Seed) {
    const std::string Violation = playFaultyDay(Seed, {});
    BOOST_TEST(Violation == "", "seed " << Seed << ": " << Violation);
  }
}

// Guards against work that is lost for good: after the faults all jobs end.
BOOST_AUTO_TEST_CASE(EndsAllJobsAfterTheFaults) {
  for (uint64_t Seed = 101; Seed <= 110; ++Seed) {
    WorldOptions Options;
    Options.m_Seed = Seed;
    Options.m_LateShare = 0.05;
    World Of(Options, smallPolicy(), smallFleet());
    addMixedJobs(Of, seconds(20), 0.6);
    scheduleFaults(Of, seconds(20));
    Of.run(seconds(200));
    for (const JobResult &Result : Of.results())
      BOOST_TEST(workload::hasEnded(Result.m_Phase),
                 "seed " << Seed << ": job " << Result.m_Plan->m_Id
                         << " is still " << workload::nameOf(Result.m_Phase));
  }
}

} // namespace
} // namespace anvil::sim
