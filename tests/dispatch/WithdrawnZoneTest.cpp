#include <boost/test/unit_test.hpp>

#include "dispatch/LeaderFixture.h"

namespace anvil::dispatch {

BOOST_FIXTURE_TEST_SUITE(WithdrawnZoneTest, LeaderFixture)

// Guards against a task that starts in a zone seconds after operators withdrew
// it: its worker did not answer, and its agent repeated the start.
BOOST_AUTO_TEST_CASE(StopsRunsThatHaveNotStartedInAWithdrawnZone) {
  addLiveWorker("w-1", 8);
  placeJob("waits");
  placeJob("works");
  sync("w-1", {{"waits", false}, {"works", true}});
  BOOST_TEST(stoppedJobs().empty());
  withdrawZone();
  BOOST_TEST(stoppedJobs() == std::vector<std::string>{"waits"},
             boost::test_tools::per_element());
}

// Guards against a new leader that stops work in a withdrawn zone, because the
// agent there has not listed its runs yet.
BOOST_AUTO_TEST_CASE(StopsNothingInAWithdrawnZoneBeforeItKnowsTheRuns) {
  addLiveWorker("w-1", 8);
  placeJob("works");
  withdrawZone();
  WorkerSessions NewSessions{SessionOptions()};
  Dispatcher NewDispatcher{DispatchOptions()};
  NewSessions.reset(m_Now);
  NewDispatcher.reset(m_Now);
  BOOST_TEST(NewDispatcher.plan(m_State, NewSessions, m_Now).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch
