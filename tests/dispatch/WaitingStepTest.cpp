#include <boost/test/unit_test.hpp>

#include "dispatch/sim/Sheets.h"
#include "dispatch/sim/World.h"

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobPlan jobOf(const std::string &Id, const std::string &Queue, Duration At,
              int32_t Accelerators, Duration Work) {
  return plainJob(Id, Queue, At, plainStep(1, Accelerators), Work);
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingStepTest)

// Guards against a task that needs a whole worker and never starts, because
// small tasks of less urgent jobs take each accelerator that becomes free. On a
// hunted day such a task waited for 54 s.
BOOST_AUTO_TEST_CASE(StartsAWholeWorkerTaskAmongAStreamOfSmallOnes) {
  constexpr int SmallJobs = 700;
  constexpr Duration SmallWork = seconds(5);
  for (uint64_t Seed = 1; Seed <= 3; ++Seed) {
    WorldOptions Options;
    Options.m_Seed = Seed;
    World Of(Options, smallPolicy(), smallFleet());
    // More work than the 48 accelerators can do in the time.
    for (int I = 0; I < SmallJobs; ++I)
      Of.add(jobOf("small-" + std::to_string(I), "recon",
                   milliseconds(500 + 90 * I), 1, SmallWork));
    Of.add(jobOf("whole", "batch", seconds(20), 8, seconds(5)));
    Of.run(seconds(60));
    const JobResult &Whole = Of.results().back();
    BOOST_REQUIRE((Whole.m_Phase == wire::JobPhase::COMPLETED));
    // Each task that holds the worker ends within its own time.
    const Duration Wait = Whole.m_FirstStartAt - Whole.m_SentAt;
    BOOST_TEST((Wait <= 2 * SmallWork),
               "seed " << Seed << ": waited " << Wait.count() / 1000 << " ms");
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
