#include "anvil/daemon/Process.h"

#include <algorithm>

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>

namespace anvil::daemon {
namespace {

BOOST_AUTO_TEST_SUITE(ProcessTest)

// Guards against a control replica that runs out of descriptors below the limit
// that the VM allows, with one connection for each of its agents.
BOOST_AUTO_TEST_CASE(RaisesTheOpenFileLimitToTheHardLimit) {
  rlimit Before{};
  BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &Before) == 0);
  rlimit Low = Before;
  Low.rlim_cur = std::min<rlim_t>(Before.rlim_max, 256);
  BOOST_REQUIRE(::setrlimit(RLIMIT_NOFILE, &Low) == 0);

  const int64_t InForce = raiseOpenFileLimit();

  rlimit After{};
  BOOST_REQUIRE(::getrlimit(RLIMIT_NOFILE, &After) == 0);
  BOOST_TEST(After.rlim_cur == Before.rlim_max);
  BOOST_TEST(InForce == static_cast<int64_t>(Before.rlim_max));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::daemon
