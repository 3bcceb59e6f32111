#include "anvil/agent/AgentGate.h"

#include <boost/test/unit_test.hpp>

BOOST_AUTO_TEST_SUITE(AgentGateTest)
// Guards against a gate that starts without a random hook and then spreads nothing.
BOOST_AUTO_TEST_CASE(RefusesOptionsWithoutRandomHook) {
  anvil::agent::AgentOptions Options;
  Options.m_Target.incarnation = 1;
  BOOST_TEST(!anvil::agent::AgentGate::create(Options).ok());
}
BOOST_AUTO_TEST_SUITE_END()
