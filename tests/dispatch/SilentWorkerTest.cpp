#include <boost/test/unit_test.hpp>

#include "dispatch/LeaderFixture.h"

namespace anvil::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Two workers; the job on the first one shows the same progress for 4 s, while
/// its agent keeps in touch with the leader.
class SilentWorkerFixture : public LeaderFixture {
public:
  /// Returns whether the plans of that time stop the job.
  bool isStopped(bool WorkerAnswers) {
    addLiveWorker("w-1", 1);
    placeJob("job");
    addLiveWorker("w-2", 1);
    const TimePoint Begin = m_Now;
    for (; m_Now < Begin + seconds(4); m_Now += milliseconds(200)) {
      sync("w-1", {{"job", true, 10}},
           WorkerAnswers ? Duration(0) : m_Now - Begin);
      sync("w-2", {});
      if (!stoppedJobs().empty())
        return true;
    }
    return false;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SilentWorkerTest, SilentWorkerFixture)

// Guards against stopping work because its worker does not answer its agent:
// the agent repeats the last progress that it knows, which says nothing about
// the work. A gang lost 3 s of work on six accelerators.
BOOST_AUTO_TEST_CASE(KeepsARunWhoseWorkerDoesNotAnswer) {
  BOOST_TEST(!isStopped(false));
}

// Guards against a run that stands still for good on a worker that answers.
BOOST_AUTO_TEST_CASE(StopsARunThatStandsStill) { BOOST_TEST(isStopped(true)); }

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch
