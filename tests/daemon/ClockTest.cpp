#include <cerrno>
#include <ctime>

#include <boost/test/unit_test.hpp>
#include <sys/syscall.h>
#include <unistd.h>

#include "anvil/daemon/Process.h"

namespace {

/// How long the machine has been suspended, as far as the test's clocks tell.
std::chrono::seconds Suspended{0};

} // namespace

/// Replaces the function of the C library for this test program: the clocks
/// that count the time of a suspension run ahead by Suspended.
extern "C" int clock_gettime(clockid_t Clock, timespec *Time) noexcept {
  if (::syscall(SYS_clock_gettime, Clock, Time) != 0)
    return -1;
  if (Clock == CLOCK_BOOTTIME || Clock == CLOCK_REALTIME)
    Time->tv_sec += Suspended.count();
  return 0;
}

namespace anvil::daemon {
namespace {

BOOST_AUTO_TEST_SUITE(ClockTest)

// Guards against a copy of the policy, or an authority over runs, that counts
// as fresh after the machine was suspended for longer than it may be used.
BOOST_AUTO_TEST_CASE(CountsTheTimeOfASuspension) {
  const TimePoint Before = monotonicNow();
  Suspended = std::chrono::seconds(7);
  const Duration Passed = monotonicNow() - Before;
  Suspended = std::chrono::seconds(0);
  BOOST_TEST(Passed >= std::chrono::seconds(7), "passed " << Passed.count());
  BOOST_TEST(Passed < std::chrono::seconds(20), "passed " << Passed.count());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::daemon
