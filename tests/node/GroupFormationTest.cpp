#include "node/GroupFormation.h"

#include <boost/test/unit_test.hpp>

namespace anvil::node::internal {
namespace {

const TimePoint Start = TimePoint() + std::chrono::seconds(1);
const TimePoint Gathered = Start + std::chrono::seconds(1);

FormationOptions optionsAt(const std::string &Address, int64_t Replica) {
  FormationOptions Options;
  Options.m_Address = Address;
  Options.m_Seeds = {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
  Options.m_Replica = Replica;
  Options.m_MayFound = Replica != 0;
  Options.m_FirstStart = true;
  return Options;
}

wire::LocateRequest candidate(int64_t Replica, const std::string &Address) {
  wire::LocateRequest Request;
  Request.replicaId = Replica;
  Request.address = Address;
  Request.canFoundGroup = true;
  return Request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GroupFormationTest)

// Guards against two groups: each process of a first start that founds by
// itself would make one.
BOOST_AUTO_TEST_CASE(OnlyTheFirstSeedFounds) {
  GroupFormation First(optionsAt("10.0.0.1:7000", 11), Start);
  GroupFormation Second(optionsAt("10.0.0.2:7000", 12), Start);
  GroupFormation Unnamed(optionsAt("10.0.0.3:7000", 13), Start);
  BOOST_TEST(!First.step({}, Start).m_Found);
  BOOST_TEST(First.step({}, Gathered).m_Found);
  BOOST_TEST(!Second.step({}, Gathered).m_Found);
  BOOST_TEST(!Unnamed.step({}, Gathered).m_Found);
}

// Guards against a deployment that never starts because the first seed has no
// disk, and against a second choice after the first one may have founded.
BOOST_AUTO_TEST_CASE(FirstSeedWithoutADiskChoosesOneFounder) {
  GroupFormation First(optionsAt("10.0.0.1:7000", 0), Start);
  First.heard(candidate(22, "10.0.0.3:7000"));
  const GroupFormation::Step Choice = First.step({}, Gathered);
  BOOST_REQUIRE(Choice.m_AskToFound);
  BOOST_TEST(Choice.m_AskToFound->m_Replica == 22);

  First.heard(candidate(21, "10.0.0.4:7000"));
  const GroupFormation::Step Again =
      First.step({}, Gathered + std::chrono::seconds(1));
  BOOST_REQUIRE(Again.m_AskToFound);
  BOOST_TEST(Again.m_AskToFound->m_Replica == 22);
}

// Guards against a request to found that reaches a process which has taken the
// address of the chosen one.
BOOST_AUTO_TEST_CASE(FoundsOnlyIfAskedForItsOwnReplica) {
  GroupFormation Chosen(optionsAt("10.0.0.3:7000", 22), Start);
  BOOST_TEST(!Chosen.asked(23));
  BOOST_TEST(!Chosen.step({}, Gathered).m_Found);
  BOOST_TEST(Chosen.asked(22));
  BOOST_TEST(Chosen.step({}, Gathered).m_Found);
}

// Guards against a second group after a disk was lost: the machine comes back
// empty, with the first seed's address, but not at a first start.
BOOST_AUTO_TEST_CASE(NeverFoundsAtALaterStart) {
  FormationOptions Options = optionsAt("10.0.0.1:7000", 31);
  Options.m_FirstStart = false;
  Options.m_MayFound = false;
  GroupFormation Returned(Options, Start);
  for (int I = 0; I < 100; ++I)
    BOOST_TEST(!Returned.step({}, Start + std::chrono::seconds(I)).m_Found);
  BOOST_TEST(!Returned.asked(31));

  FormationInput Known;
  Known.m_GroupKnown = true;
  BOOST_TEST(Returned.step(Known, Gathered).m_Join);
}

// Guards against a founder that appears after a group became known.
BOOST_AUTO_TEST_CASE(JoinsAKnownGroupInsteadOfFounding) {
  GroupFormation First(optionsAt("10.0.0.1:7000", 11), Start);
  FormationInput Known;
  Known.m_GroupKnown = true;
  const GroupFormation::Step Next = First.step(Known, Gathered);
  BOOST_TEST(Next.m_Join);
  BOOST_TEST(!Next.m_Found);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::node::internal
