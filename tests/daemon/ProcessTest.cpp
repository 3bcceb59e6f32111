#include "anvil/daemon/Process.h"

#include <algorithm>

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>

namespace anvil::daemon {
namespace {

BOOST_AUTO_TEST_SUITE(ProcessTest)

// Guards against a control replica that runs out of file descriptors below the
// VM's hard limit, because it holds one connection per agent.
BOOST_AUTO_TEST_CASE(RaisesTheOpenFileLimitToTheHardLimit) {
  rlimit InitialLimit{};
  BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &InitialLimit) == 0);
  rlimit LoweredLimit = InitialLimit;
  LoweredLimit.rlim_cur = std::min<rlim_t>(InitialLimit.rlim_max, 256);
  BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &LoweredLimit) == 0);

  const int64_t ReportedLimit = raiseOpenFileLimit();

  rlimit FinalLimit{};
  BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &FinalLimit) == 0);
  BOOST_TEST(FinalLimit.rlim_cur == InitialLimit.rlim_max);
  BOOST_TEST(ReportedLimit == static_cast<int64_t>(InitialLimit.rlim_max));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::daemon
