#include "anvil/node/MembershipPlanner.h"

#include <boost/test/unit_test.hpp>

namespace anvil::node {
namespace {

using Kind = MembershipChange::Kind;
using std::chrono::seconds;

const TimePoint Start = TimePoint() + seconds(1);

/// A group that replica 1 leads, with members and announcements of the test.
struct Group {
  explicit Group(std::vector<int64_t> Voters,
                 std::vector<int64_t> Learners = {}) {
    for (const int64_t Id : Voters)
      m_Status.m_Members.m_Voters.push_back(raft::ReplicaId(Id));
    for (const int64_t Id : Learners)
      m_Status.m_Members.m_Learners.push_back(raft::ReplicaId(Id));
    m_Status.m_MembersCommitted = true;
    Voters.insert(Voters.end(), Learners.begin(), Learners.end());
    for (const int64_t Id : Voters)
      registerAt(Id, "10.0.0." + std::to_string(Id) + ":7000");
    MembershipPlannerOptions Options;
    Options.m_Self = raft::ReplicaId(1);
    m_Planner.emplace(Options);
    m_Planner->reset(Start);
  }

  void registerAt(int64_t Id, const std::string &Address) {
    wire::ReplicaAddress &Replica = m_Registered[Id];
    Replica.id = Id;
    Replica.address = Address;
  }
  void announce(std::initializer_list<int64_t> Ids, TimePoint Now) {
    for (const int64_t Id : Ids)
      m_Planner->recordAnnouncement(raft::ReplicaId(Id), Now);
  }
  /// Returns the next change as text, such as "remove 3", or "none".
  std::string next(TimePoint Now) const {
    const auto Change = m_Planner->nextChange(m_Status, m_Registered, Now);
    if (!Change)
      return "none";
    const char *Names[] = {"add", "promote", "remove", "forget"};
    return std::string(Names[static_cast<int>(Change->m_Kind)]) + " " +
           std::to_string(Change->m_Replica.value());
  }

  raft::RaftStatus m_Status;
  std::map<int64_t, wire::ReplicaAddress> m_Registered;
  std::optional<MembershipPlanner> m_Planner;
};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipPlannerTest)

// Guards against a new replica that never becomes a member.
BOOST_AUTO_TEST_CASE(AddsAReplicaThatAnnouncesItself) {
  Group Replicas({1});
  Replicas.registerAt(2, "10.0.0.2:7000");
  BOOST_TEST(Replicas.next(Start) == "none");
  Replicas.announce({2}, Start);
  BOOST_TEST(Replicas.next(Start) == "add 2");
}

// Guards against an even number of voters, which tolerates no more losses and
// has no majority if a partition splits the group into halves.
BOOST_AUTO_TEST_CASE(KeepsTheNumberOfVotersOdd) {
  Group Three({1, 2, 3}, {4});
  Three.announce({2, 3, 4}, Start);
  BOOST_TEST(Three.next(Start) == "none");

  Group Five({1, 2, 3}, {4, 5});
  Five.announce({2, 3, 4, 5}, Start);
  BOOST_TEST(Five.next(Start) == "promote 4");
}

// Guards against a lost voter that stays although a learner could replace it.
BOOST_AUTO_TEST_CASE(ALearnerTakesThePlaceOfASilentVoter) {
  Group Replicas({1, 2, 3}, {4});
  const TimePoint Later = Start + seconds(3);
  Replicas.announce({2, 4}, Later);
  BOOST_TEST(Replicas.next(Later) == "remove 3");
}

// Guards against a group that shrinks: fewer voters tolerate fewer losses.
BOOST_AUTO_TEST_CASE(KeepsASilentVoterThatNobodyCanReplace) {
  Group Replicas({1, 2, 3});
  const TimePoint Later = Start + seconds(60);
  Replicas.announce({2}, Later);
  BOOST_TEST(Replicas.next(Later) == "none");
}

// Guards against a new leader that removes voters before they had time to
// announce themselves to it.
BOOST_AUTO_TEST_CASE(GivesVotersTimeToAnnounceThemselvesToANewLeader) {
  Group Replicas({1, 2, 3}, {4});
  Replicas.announce({4}, Start + seconds(1));
  BOOST_TEST(Replicas.next(Start + seconds(1)) == "none");
}

// Guards against a replica that lost its disk and votes again under its old id:
// the machine has no record of its votes, so the old id leaves the group.
BOOST_AUTO_TEST_CASE(RemovesTheOldIdOfAReplicaThatLostItsDisk) {
  Group Replicas({1, 2, 3});
  Replicas.announce({2, 3}, Start);
  Replicas.registerAt(7, "10.0.0.3:7000");
  Replicas.announce({7}, Start + seconds(1));
  BOOST_TEST(Replicas.next(Start + seconds(1)) == "remove 3");
}

// Guards against a membership change before the previous one is committed.
BOOST_AUTO_TEST_CASE(WaitsUntilTheMembersAreCommitted) {
  Group Replicas({1, 2, 3}, {4, 5});
  Replicas.announce({2, 3, 4, 5}, Start);
  Replicas.m_Status.m_MembersCommitted = false;
  BOOST_TEST(Replicas.next(Start) == "none");
}

// Guards against an acknowledged command that is lost with a single disk, or
// that only a replica without a majority holds: the founder is the only voter
// until others have joined. It happened in the soak test when the founder lost
// its disk 0.1 s after the first configuration.
BOOST_AUTO_TEST_CASE(IsCompleteOnceItKeepsAMajorityThroughTheToleratedLosses) {
  MembershipPlannerOptions Options;
  Options.m_Self = raft::ReplicaId(1);
  Options.m_ToleratedLosses = 1;
  Options.m_SettleTime = seconds(4);
  MembershipPlanner Planner(Options);
  Planner.reset(Start);
  BOOST_TEST(!Planner.isComplete(Group({1}).m_Status, Start));
  BOOST_TEST(!Planner.isComplete(Group({1, 2}).m_Status, Start));
  BOOST_TEST(Planner.isComplete(Group({1, 2, 3}).m_Status, Start));
  // A deployment with a single disk serves after the settle time.
  BOOST_TEST(Planner.isComplete(Group({1}).m_Status, Start + seconds(4)));

  Options.m_ToleratedLosses = 2;
  MembershipPlanner WidePlanner(Options);
  WidePlanner.reset(Start);
  BOOST_TEST(!WidePlanner.isComplete(Group({1, 2, 3}).m_Status, Start));
  BOOST_TEST(!WidePlanner.isComplete(Group({1, 2, 3, 4}).m_Status, Start));
  BOOST_TEST(WidePlanner.isComplete(Group({1, 2, 3, 4, 5}).m_Status, Start));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::node
