#include <boost/test/unit_test.hpp>

#include "node/PlanPacer.h"

namespace anvil::node::internal {
namespace {

using std::chrono::milliseconds;

const TimePoint Now = timePointFromMicros(100'000'000);

} // namespace

BOOST_AUTO_TEST_SUITE(PlanPacerTest)

// Guards against a plan for each report of an agent: the number of reports per
// second grows with the number of workers.
BOOST_AUTO_TEST_CASE(PlansOnceInAnIntervalWithoutAChange) {
  PlanPacer Pacer;
  constexpr int Reports = 1200;
  int Plans = 0;
  for (int I = 0; I < Reports; ++I) {
    const TimePoint At = Now + milliseconds(1000) * I / Reports;
    if (!Pacer.due(At))
      continue;
    ++Plans;
    Pacer.notePlan(At);
  }
  BOOST_TEST(Plans <= milliseconds(1000) / PlanPacer::Interval);
}

// Guards against runs that are delayed by the interval although a change of the
// state lets them start.
BOOST_AUTO_TEST_CASE(PlansAtOnceAfterAChange) {
  PlanPacer Pacer;
  Pacer.notePlan(Now);
  BOOST_TEST(!Pacer.due(Now + milliseconds(1)));
  Pacer.noteChange();
  BOOST_TEST(Pacer.due(Now + milliseconds(1)));
}

// Guards against a new leader that delays its first plan by the interval.
BOOST_AUTO_TEST_CASE(PlansAtOnceAfterAReset) {
  PlanPacer Pacer;
  Pacer.notePlan(Now);
  Pacer.reset();
  BOOST_TEST(Pacer.due(Now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::node::internal
