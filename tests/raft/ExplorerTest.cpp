#include <boost/test/unit_test.hpp>

#include "raft/support/Simulator.h"

namespace anvil::raft::sim {

BOOST_AUTO_TEST_SUITE(RaftExplorerTest)

// Guards against a combination of faults that violates a safety property of the
// log or the linearizability of operations.
BOOST_AUTO_TEST_CASE(PropertiesHoldUnderSeededFaults) {
  uint64_t Operations = 0;
  uint64_t Promotions = 0;
  uint64_t Installs = 0;
  uint64_t Losses = 0;
  constexpr uint64_t Seeds = 150;
  for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SimOptions Options;
    Options.m_Seed = Seed;
    Options.m_Voters = 3 + static_cast<int>(Seed % 3);
    const SimReport Report = Simulator(Options).run(20'000);
    BOOST_TEST(!Report.m_Failure,
               "seed " << Seed << ": " << Report.m_Failure.value_or(""));
    Operations += Report.m_Operations;
    Promotions += Report.m_Promotions;
    Installs += Report.m_Installs;
    Losses += Report.m_Losses;
  }
  // Without these events the checks above would pass trivially.
  BOOST_TEST(Operations > 100 * Seeds);
  BOOST_TEST(Promotions > Seeds / 2);
  BOOST_TEST(Installs > Seeds);
  BOOST_TEST(Losses > Seeds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::raft::sim
