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
  Options.m_CanFoundGroup = Replica != 0;
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

// Guards against several groups, which would result if each process founded one
// at the first start.
BOOST_AUTO_TEST_CASE(OnlyTheFirstSeedFounds) {
  GroupFormation First(optionsAt("10.0.0.1:7000", 11), Start);
  GroupFormation Second(optionsAt("10.0.0.2:7000", 12), Start);
  GroupFormation Unnamed(optionsAt("10.0.0.3:7000", 13), Start);
  BOOST_TEST(!First.step({}, Start).m_FoundGroup);
  BOOST_TEST(First.step({}, Gathered).m_FoundGroup);
  BOOST_TEST(!Second.step({}, Gathered).m_FoundGroup);
  BOOST_TEST(!Unnamed.step({}, Gathered).m_FoundGroup);
}

// Guards against a deployment that never starts because the first seed has no
// disk, and against the choice of another founder after the first one may have
// founded the group.
BOOST_AUTO_TEST_CASE(FirstSeedWithoutADiskChoosesOneFounder) {
  GroupFormation First(optionsAt("10.0.0.1:7000", 0), Start);
  First.recordCandidate(candidate(22, "10.0.0.3:7000"));
  const GroupFormation::Actions Choice = First.step({}, Gathered);
  BOOST_REQUIRE(Choice.m_AskToFoundGroup);
  BOOST_TEST(Choice.m_AskToFoundGroup->m_Replica == 22);

  First.recordCandidate(candidate(21, "10.0.0.4:7000"));
  const GroupFormation::Actions Again =
      First.step({}, Gathered + std::chrono::seconds(1));
  BOOST_REQUIRE(Again.m_AskToFoundGroup);
  BOOST_TEST(Again.m_AskToFoundGroup->m_Replica == 22);
}

// Guards against a process that founds a group on a request for another replica
// which had its address before.
BOOST_AUTO_TEST_CASE(FoundsOnlyIfAskedForItsOwnReplica) {
  GroupFormation Chosen(optionsAt("10.0.0.3:7000", 22), Start);
  BOOST_TEST(!Chosen.onFoundGroupRequest(23));
  BOOST_TEST(!Chosen.step({}, Gathered).m_FoundGroup);
  BOOST_TEST(Chosen.onFoundGroupRequest(22));
  BOOST_TEST(Chosen.step({}, Gathered).m_FoundGroup);
}

// Guards against a second group after the loss of a disk: the machine returns
// empty and with the address of the first seed, but it is not the first start.
BOOST_AUTO_TEST_CASE(NeverFoundsAtALaterStart) {
  FormationOptions Options = optionsAt("10.0.0.1:7000", 31);
  Options.m_FirstStart = false;
  Options.m_CanFoundGroup = false;
  GroupFormation Returned(Options, Start);
  for (int I = 0; I < 100; ++I)
    BOOST_TEST(
        !Returned.step({}, Start + std::chrono::seconds(I)).m_FoundGroup);
  BOOST_TEST(!Returned.onFoundGroupRequest(31));

  FormationInput Known;
  Known.m_GroupKnown = true;
  BOOST_TEST(Returned.step(Known, Gathered).m_JoinGroup);
}

// Guards against a second group that is founded although one is known.
BOOST_AUTO_TEST_CASE(JoinsAKnownGroupInsteadOfFounding) {
  GroupFormation First(optionsAt("10.0.0.1:7000", 11), Start);
  FormationInput Known;
  Known.m_GroupKnown = true;
  const GroupFormation::Actions Next = First.step(Known, Gathered);
  BOOST_TEST(Next.m_JoinGroup);
  BOOST_TEST(!Next.m_FoundGroup);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::node::internal
