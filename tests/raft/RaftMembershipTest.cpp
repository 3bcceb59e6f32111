#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "raft/support/Harness.h"

namespace anvil::raft::sim {

namespace {

using std::chrono::milliseconds;
using enum MembershipChangeKind;

RaftOutput change(Harness &Replica, MembershipChangeKind Kind, int64_t Id) {
  return Replica.step(ChangeMembershipInput{9, Kind, ReplicaId(Id)});
}

void commitAll(Harness &Replica) {
  Replica.sync();
  Replica.ack(2, Replica.status().m_LastIndex);
  Replica.ack(3, Replica.status().m_LastIndex);
}

void addLearner(Harness &Replica) {
  change(Replica, AddLearner, 4);
  commitAll(Replica);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RaftMembershipTest)

// Guards against a change that can lose a quorum: a second change before the
// first is committed, a lagging voter, or a leader without a committed entry of
// its term.
BOOST_AUTO_TEST_CASE(UnsafeChangesAreRefused) {
  struct Case {
    std::string m_Name;
    std::function<void(Harness &)> m_Prepare;
    MembershipChangeKind m_Kind;
    int64_t m_Replica;
    std::string m_Error;
  };
  const auto Lead = [](Harness &Replica) { Replica.leadAndCommit(); };
  const auto LeadWithLearner = [](Harness &Replica) {
    Replica.leadAndCommit();
    addLearner(Replica);
  };
  const std::vector<Case> Cases = {
      {"follower", [](Harness &) {}, AddLearner, 4, "raft: not the leader"},
      {"new leader", [](Harness &Replica) { Replica.lead(); }, AddLearner, 4,
       "raft: the leader has not committed an entry of its term yet"},
      {"second change",
       [](Harness &Replica) {
         Replica.leadAndCommit();
         change(Replica, AddLearner, 4);
       },
       AddLearner, 5,
       "raft: the membership change at index 3 is not committed yet"},
      {"known member", Lead, AddLearner, 2,
       "raft: the replica is a member already"},
      {"promotion of a non-member", Lead, PromoteLearner, 4,
       "raft: the replica is not a learner"},
      {"promotion of a voter", Lead, PromoteLearner, 2,
       "raft: the replica is not a learner"},
      {"removal of a non-member", Lead, RemoveReplica, 4,
       "raft: the replica is not a member"},
      {"lagging learner",
       [&](Harness &Replica) {
         LeadWithLearner(Replica);
         for (uint64_t Context = 10; Context < 80; ++Context)
           Replica.propose(Context);
         Replica.ack(4, 3);
       },
       PromoteLearner, 4, "raft: the learner is at index 3 of 73"},
      {"learner that never answered", LeadWithLearner, PromoteLearner, 4,
       "raft: the learner was not heard recently"},
      {"silent learner",
       [&](Harness &Replica) {
         LeadWithLearner(Replica);
         Replica.ack(4, 3);
         for (int I = 0; I < 5; ++I) {
           Replica.tickAfter(milliseconds(100));
           Replica.receive(2, 2, HeartbeatResponse{});
         }
       },
       PromoteLearner, 4, "raft: the learner was not heard recently"},
  };
  for (const Case &Item : Cases) {
    Harness Replica(3);
    Item.m_Prepare(Replica);
    const RaftOutput Output = change(Replica, Item.m_Kind, Item.m_Replica);
    BOOST_TEST(Output.m_Append.empty(), Item.m_Name);
    BOOST_TEST_REQUIRE(Output.m_Proposals.size() == 1U, Item.m_Name);
    BOOST_TEST(Output.m_Proposals[0].m_Status.message() == Item.m_Error,
               Item.m_Name);
  }
}

// Guards against a learner that counts toward the quorum, and against a
// promoted voter that does not.
BOOST_AUTO_TEST_CASE(LearnersCountOnlyAfterTheirPromotion) {
  Harness Replica(3);
  Replica.leadAndCommit();
  addLearner(Replica);
  Replica.propose(1);
  Replica.sync();
  Replica.ack(4, 4);
  BOOST_TEST(Replica.status().m_Commit == 3U);
  Replica.ack(2, 4);
  BOOST_TEST(Replica.status().m_Commit == 4U);
  change(Replica, PromoteLearner, 4);
  Replica.sync();
  Replica.ack(2, 5);
  BOOST_TEST(Replica.status().m_Commit == 4U,
             "three of four voters are needed");
  Replica.ack(4, 5);
  BOOST_TEST(Replica.status().m_Commit == 5U);
  BOOST_TEST(Replica.status().m_Members.isVoter(ReplicaId(4)));
}

// Guards against removing the only voter of a group.
BOOST_AUTO_TEST_CASE(LastVoterCannotBeRemoved) {
  Harness Replica(1);
  Replica.step(TickInput{});
  Replica.tickAfter(std::chrono::seconds(1));
  Replica.sync();
  Replica.sync();
  BOOST_TEST((Replica.status().m_Role == RaftRole::Leader));
  const RaftOutput Output = change(Replica, RemoveReplica, 1);
  BOOST_TEST(Output.m_Proposals.at(0).m_Status.message() ==
             "raft: the last voter cannot be removed");
}

// Guards against a removed leader that continues to lead, or that steps down
// before its removal is committed.
BOOST_AUTO_TEST_CASE(RemovedLeaderStepsDownAfterTheCommit) {
  Harness Replica(3);
  Replica.leadAndCommit();
  change(Replica, RemoveReplica, 1);
  Replica.sync();
  Replica.ack(2, 3);
  BOOST_TEST((Replica.status().m_Role == RaftRole::Leader),
             "the leader itself no longer counts");
  const RaftOutput Output = Replica.ack(3, 3);
  BOOST_TEST((Replica.status().m_Role == RaftRole::Follower));
  BOOST_TEST(Harness::sent<TimeoutNow>(Output).size() == 1U);
  BOOST_TEST(Replica.tickAfter(std::chrono::seconds(5)).m_Messages.empty(),
             "it must not campaign");
}

// Guards against a membership that stays in effect after its entry is
// truncated, or is lost in a restart.
BOOST_AUTO_TEST_CASE(MembershipFollowsTheLogAndTheSnapshot) {
  const Membership Changed{{ReplicaId(1), ReplicaId(2), ReplicaId(3)},
                           {ReplicaId(4)}};
  const LogEntry Entry{2, 2, EntryKind::Membership, "", Changed};
  Harness Follower(3);
  Follower.receive(2, 2, AppendRequest{1, 1, 0, {Entry}});
  BOOST_TEST((Follower.status().m_Members == Changed));
  Follower.receive(3, 3,
                   AppendRequest{1, 1, 0, {{2, 3, EntryKind::Noop, "", {}}}});
  BOOST_TEST((Follower.status().m_Members == Harness::voters(3)));

  RaftPersistentState FromLog = bootstrapState(Harness::voters(3));
  FromLog.m_Entries.push_back(Entry);
  FromLog.m_Hard.m_Term = 2;
  BOOST_TEST((Harness(3, {}, FromLog).status().m_Members == Changed));

  RaftPersistentState FromSnapshot;
  FromSnapshot.m_Hard.m_Term = 2;
  FromSnapshot.m_Snapshot = {{5, 2, Changed},
                             std::make_shared<const std::string>("state")};
  BOOST_TEST((Harness(3, {}, FromSnapshot).status().m_Members == Changed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::raft::sim
