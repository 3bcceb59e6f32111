#include "anvil/member/FailureDetector.h"

#include <boost/test/unit_test.hpp>

namespace anvil::member {
namespace {

const VmId A("a");
const VmId B("b");

TimePoint at(int64_t Ms) { return timePointFromMicros(Ms * 1000); }

// Ticks every 500 ms from \p From to \p To and returns all losses.
std::vector<VmId> ticks(FailureDetector &Detector, int64_t FromMs,
                        int64_t ToMs) {
  std::vector<VmId> Lost;
  for (int64_t Ms = FromMs; Ms <= ToMs; Ms += 500)
    for (const VmId &Vm : Detector.tick(at(Ms)))
      Lost.push_back(Vm);
  return Lost;
}

BOOST_AUTO_TEST_SUITE(FailureDetectorTest)

// Guards against a few lost heartbeats being taken for the loss of the target.
BOOST_AUTO_TEST_CASE(BearsLostAndLateHeartbeats) {
  FailureDetector Detector({});
  Detector.watch(A, at(0));
  BOOST_TEST(ticks(Detector, 0, 9500).empty());
  Detector.heard(A, at(9600));
  BOOST_TEST(ticks(Detector, 10000, 19500).empty());
}

// Guards against a silent target never being declared lost, or being declared
// lost twice.
BOOST_AUTO_TEST_CASE(ReportsASilentTargetOnce) {
  FailureDetector Detector({});
  Detector.watch(A, at(0));
  Detector.watch(B, at(0));
  std::vector<VmId> Lost;
  for (int64_t Ms = 0; Ms <= 40000; Ms += 500) {
    Detector.heard(B, at(Ms));
    for (const VmId &Vm : Detector.tick(at(Ms)))
      Lost.push_back(Vm);
  }
  BOOST_TEST(Lost.size() == 1u);
  BOOST_TEST((Lost == std::vector<VmId>{A}));
}

// Guards against a paused leader declaring every target lost when it resumes.
BOOST_AUTO_TEST_CASE(PauseOfTheOwnProcessLosesNobody) {
  FailureDetector Detector({});
  Detector.watch(A, at(0));
  BOOST_TEST(ticks(Detector, 0, 1000).empty());
  BOOST_TEST(ticks(Detector, 60000, 69000).empty());
  BOOST_TEST(ticks(Detector, 69500, 72000).size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::member
