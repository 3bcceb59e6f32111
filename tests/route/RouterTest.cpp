#include "anvil/route/Router.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(RouterTest)

// Guards against a request that is routed before control has answered once.
BOOST_AUTO_TEST_CASE(RefusesBeforeTheFirstFreshRead) {
  anvil::route::RouterOptions Options;
  Options.m_Random = [] { return 0.0; };
  anvil::route::Router Routing(Options);

  const auto Actions = Routing.step(anvil::route::RequestArrived{}, anvil::timePointFromMicros(1));

  BOOST_REQUIRE(Actions.size() == 1);
  BOOST_TEST((std::get<anvil::route::RefuseAction>(Actions[0]).m_Reason == anvil::route::RefusalReason::ControlSilent));
}

BOOST_AUTO_TEST_SUITE_END()
