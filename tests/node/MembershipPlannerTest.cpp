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
                 std::vector<int64_t> Learners = {},
                 int32_t ToleratedLosses = 0) {
    for (const int64_t Id : Voters)
      m_Status.m_Members.m_Voters.push_back(raft::ReplicaId(Id));
    for (const int64_t Id : Learners)
      m_Status.m_Members.m_Learners.push_back(raft::ReplicaId(Id));
    m_Status.m_MembersCommitted = true;
    m_Status.m_PromotableLearners = m_Status.m_Members.m_Learners;
    Voters.insert(Voters.end(), Learners.begin(), Learners.end());
    for (const int64_t Id : Voters)
      registerAt(Id, "10.0.0." + std::to_string(Id) + ":7000");
    MembershipPlannerOptions Options;
    Options.m_Self = raft::ReplicaId(1);
    Options.m_ToleratedLosses = ToleratedLosses;
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

  Group Five({1, 2, 3}, {4, 5}, 2);
  Five.announce({2, 3, 4, 5}, Start);
  BOOST_TEST(Five.next(Start) == "promote 4");
}

// Guards against a group that grows by the successors of machines whose loss is
// not noticed yet, and then has lost voters that nothing replaces.
BOOST_AUTO_TEST_CASE(GrowsBeyondItsNeedOnlyWithLearnersThatStay) {
  Group Replicas({1, 2, 3}, {4, 5}, 1);
  Replicas.announce({2, 3, 4, 5}, Start);
  BOOST_TEST(Replicas.next(Start) == "none");
  const TimePoint Later = Start + seconds(2);
  Replicas.announce({3, 4, 5}, Later);
  BOOST_TEST(Replicas.next(Later) == "none", "voter 2 was not heard");
  Replicas.announce({2}, Later);
  BOOST_TEST(Replicas.next(Later) == "promote 4");
}

// Guards against lost voters that pile up until the group has no quorum: seven
// voters, two of them removed machines, outlive one more loss instead of two.
BOOST_AUTO_TEST_CASE(ShrinksByLostVotersThatNobodyReplaces) {
  Group Seven({1, 2, 3, 4, 5, 6, 7}, {}, 2);
  const TimePoint Later = Start + seconds(3);
  Seven.announce({2, 3, 4, 5}, Later);
  BOOST_TEST(Seven.next(Later) == "remove 6");
  Group Six({1, 2, 3, 4, 5, 7}, {}, 2);
  Six.announce({2, 3, 4, 5}, Later);
  BOOST_TEST(Six.next(Later) == "remove 7");
}

// Guards against needless changes: an odd group tolerates as many losses with a
// single silent voter as without it.
BOOST_AUTO_TEST_CASE(KeepsASingleSilentVoterOfAnOddGroup) {
  Group Seven({1, 2, 3, 4, 5, 6, 7}, {}, 2);
  const TimePoint Later = Start + seconds(3);
  Seven.announce({2, 3, 4, 5, 6}, Later);
  BOOST_TEST(Seven.next(Later) == "none");
}

// Guards against a group that grows around a machine that said it leaves.
BOOST_AUTO_TEST_CASE(ALearnerTakesThePlaceOfALeavingVoter) {
  Group Replicas({1, 2, 3, 4, 5}, {6, 7}, 2);
  Replicas.announce({2, 3, 4, 5, 6, 7}, Start);
  Replicas.m_Planner->recordLeaving(raft::ReplicaId(3), Start);
  BOOST_TEST(Replicas.next(Start) == "remove 3");
  // A process that came back is no longer leaving.
  Replicas.announce({3}, Start);
  BOOST_TEST(Replicas.next(Start) == "none");
}

// Guards against a removal after which the voters that were heard are no
// majority.
BOOST_AUTO_TEST_CASE(KeepsALeavingVoterThatTheQuorumNeeds) {
  Group Replicas({1, 2, 3}, {4}, 1);
  const TimePoint Later = Start + seconds(3);
  Replicas.announce({4}, Later);
  Replicas.m_Planner->recordLeaving(raft::ReplicaId(2), Later);
  BOOST_TEST(Replicas.next(Later) == "remove 3", "silent voters go first");
  Group Two({1, 2}, {4}, 1);
  Two.announce({4}, Later);
  Two.m_Planner->recordLeaving(raft::ReplicaId(2), Later);
  BOOST_TEST(Two.next(Later) == "promote 4");
}

// Guards against a promotion that the leader refuses, again and again, because
// the learner holds nothing of the log.
BOOST_AUTO_TEST_CASE(PromotesOnlyLearnersThatHaveCaughtUp) {
  Group Replicas({1, 2}, {3}, 1);
  Replicas.announce({2, 3}, Start);
  Replicas.m_Status.m_PromotableLearners.clear();
  BOOST_TEST(Replicas.next(Start) == "none");
  Replicas.m_Status.m_PromotableLearners = {raft::ReplicaId(3)};
  BOOST_TEST(Replicas.next(Start) == "promote 3");
}

// Guards against a list of replicas that grows with each replaced machine.
BOOST_AUTO_TEST_CASE(ForgetsReplicasWithoutAVoteThatAreGone) {
  Group Replicas({1, 2, 3}, {4}, 1);
  Replicas.registerAt(5, "10.0.0.5:7000");
  const TimePoint Later = Start + seconds(11);
  Replicas.announce({2, 3}, Later);
  BOOST_TEST(Replicas.next(Later) == "remove 4");
  Replicas.m_Status.m_Members.m_Learners.clear();
  Replicas.m_Registered.erase(4);
  BOOST_TEST(Replicas.next(Later) == "forget 5");
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
