#include <boost/test/unit_test.hpp>

#include "dispatch/sim/Sheets.h"
#include "dispatch/sim/World.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobPlan quoteOf(int Number, Duration At, int64_t EstimateMs, Duration Work) {
  JobPlan Plan = plainJob("quote-" + std::to_string(Number), "quote", At,
                          plainStep(1, 8), Work);
  Plan.m_Spec.steps[0].estimateMs = EstimateMs;
  return Plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowWorkerTest)

// Guards against a task that is much longer than the others of its queue being
// moved from one sound worker to the next: each would be taken for slow, and
// the task would begin anew there. Replays the late quote of a recorded day.
BOOST_AUTO_TEST_CASE(MovesALongTaskAtMostOnce) {
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    WorldOptions Options;
    Options.m_Seed = Seed;
    World Of(Options, smallPolicy(), smallFleet());
    constexpr int ShortJobs = 12;
    for (int I = 0; I < ShortJobs; ++I)
      Of.add(quoteOf(I, milliseconds(1000 + 700 * I), 2000, seconds(2)));
    Of.add(quoteOf(ShortJobs, seconds(25), 3500, seconds(14)));
    Of.run(seconds(120));
    BOOST_TEST(Of.violation() == "");
    for (const JobResult &Result : Of.results())
      BOOST_TEST((Result.m_Phase == wire::JobPhase::COMPLETED),
                 "seed " << Seed << ": " << Result.m_Plan->m_Id);
    BOOST_TEST(Of.truth().starts() <= ShortJobs + 2,
               "seed " << Seed << ": " << Of.truth().starts() << " starts of "
                       << ShortJobs + 1 << " tasks");
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
