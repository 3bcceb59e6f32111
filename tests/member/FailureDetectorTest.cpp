#include "anvil/member/FailureDetector.h"

#include <boost/test/unit_test.hpp>

namespace anvil::member {
namespace {

const VmId VmA("a");
const VmId VmB("b");

TimePoint at(int64_t Ms) { return timePointFromMicros(Ms * 1000); }

// Ticks every 500 ms from StartMs to EndMs and returns all lost targets.
std::vector<VmId> tickUntil(FailureDetector &Detector, int64_t StartMs,
                            int64_t EndMs) {
  std::vector<VmId> Lost;
  for (int64_t Ms = StartMs; Ms <= EndMs; Ms += 500)
    for (const VmId &Vm : Detector.tick(at(Ms)))
      Lost.push_back(Vm);
  return Lost;
}

BOOST_AUTO_TEST_SUITE(FailureDetectorTest)

// Guards against declaring a target lost because of a few missing heartbeats.
BOOST_AUTO_TEST_CASE(ToleratesMissingAndLateHeartbeats) {
  FailureDetector Detector({});
  Detector.watch(VmA, at(0));
  BOOST_TEST(tickUntil(Detector, 0, 9500).empty());
  Detector.recordHeartbeat(VmA, at(9600));
  BOOST_TEST(tickUntil(Detector, 10000, 19500).empty());
}

// Guards against a target without heartbeats that is never declared lost, or is
// declared lost twice.
BOOST_AUTO_TEST_CASE(ReportsASilentTargetOnce) {
  FailureDetector Detector({});
  Detector.watch(VmA, at(0));
  Detector.watch(VmB, at(0));
  std::vector<VmId> Lost;
  for (int64_t Ms = 0; Ms <= 40000; Ms += 500) {
    Detector.recordHeartbeat(VmB, at(Ms));
    for (const VmId &Vm : Detector.tick(at(Ms)))
      Lost.push_back(Vm);
  }
  BOOST_TEST(Lost.size() == 1u);
  BOOST_TEST((Lost == std::vector<VmId>{VmA}));
}

// Guards against a paused leader that declares every target lost when it
// resumes.
BOOST_AUTO_TEST_CASE(PauseOfThisProcessLosesNoTarget) {
  FailureDetector Detector({});
  Detector.watch(VmA, at(0));
  BOOST_TEST(tickUntil(Detector, 0, 1000).empty());
  BOOST_TEST(tickUntil(Detector, 60000, 69000).empty());
  BOOST_TEST(tickUntil(Detector, 69500, 72000).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::member
