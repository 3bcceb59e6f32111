#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "dispatch/GangLosses.h"

namespace anvil::dispatch::internal {
namespace {

using wire::RunEndKind;

wire::TaskRef member(int32_t Index) {
  wire::TaskRef Ref;
  Ref.jobId = "job";
  Ref.index = Index;
  return Ref;
}

/// A gang of three members, each of which loses ten core seconds.
class GangLossesFixture {
public:
  /// Ends the member and returns the number of losses that are known by now.
  size_t end(int32_t Index, RunEndKind::type Kind) {
    LostWork Lost;
    Lost.m_Task = member(Index);
    Lost.m_CoreSeconds = 10;
    --m_Left;
    for (const LostWork &Each :
         m_Losses.recordEnd({member(Index), Kind, m_Left > 0, Lost})) {
      m_Total += Each.m_CoreSeconds;
      m_Causes.push_back(Each.m_Cause);
    }
    return m_Causes.size();
  }
  bool allUnder(const std::string &Cause) const {
    return std::all_of(m_Causes.begin(), m_Causes.end(),
                       [&](const std::string &Each) { return Each == Cause; });
  }

protected:
  GangLosses m_Losses;
  std::vector<std::string> m_Causes;
  double m_Total = 0;
  int m_Left = 3;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GangLossesTest, GangLossesFixture)

// Guards against members that are reported before the one that failed being
// counted as losses without a cause.
BOOST_AUTO_TEST_CASE(WaitsForTheEndThatExplainsTheOthers) {
  BOOST_TEST(end(0, RunEndKind::GANG_BROKEN) == 0U);
  m_Losses.recordStop(member(1), "another member of the gang ended");
  m_Losses.recordStop(member(2), "another member of the gang ended");
  BOOST_TEST(end(1, RunEndKind::STOPPED) == 0U);
  BOOST_TEST(end(2, RunEndKind::FAILED) == 3U);
  BOOST_TEST(allUnder("failed"));
  BOOST_TEST(m_Total == 30);
}

// Guards against a later event that replaces the first cause: the workers of a
// stopped gang may be lost while it stops.
BOOST_AUTO_TEST_CASE(KeepsTheFirstReason) {
  m_Losses.recordStop(member(1), "its worker leaves before it ends");
  m_Losses.recordStop(member(0), "job cancelled");
  BOOST_TEST(end(1, RunEndKind::WORKER_LOST) == 1U);
  BOOST_TEST(end(0, RunEndKind::STOPPED) == 2U);
  BOOST_TEST(end(2, RunEndKind::GANG_BROKEN) == 3U);
  BOOST_TEST(allUnder("its worker leaves before it ends"));
}

// Guards against losses that are never reported because nothing explains them.
BOOST_AUTO_TEST_CASE(ReportsLossesWithoutACauseWithTheLastMember) {
  end(0, RunEndKind::GANG_BROKEN);
  end(1, RunEndKind::GANG_BROKEN);
  BOOST_TEST(end(2, RunEndKind::GANG_BROKEN) == 3U);
  BOOST_TEST(allUnder("gang-broken"));
}

// Guards against the cause of an earlier run of the gang being used for the
// next run.
BOOST_AUTO_TEST_CASE(ForgetsTheCauseOnceAllMembersHaveEnded) {
  m_Losses.recordStop(member(0), "room for more urgent work");
  for (int32_t I = 0; I < 3; ++I)
    end(I, RunEndKind::STOPPED);
  m_Causes.clear();
  m_Left = 3;
  BOOST_TEST(end(1, RunEndKind::FAILED) == 1U);
  BOOST_TEST(allUnder("failed"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal
