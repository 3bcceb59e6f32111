#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "raft/support/Simulator.h"

namespace anvil::raft::sim {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Urgent work has to start within this time, also when the leader is lost.
constexpr int64_t UrgentStartMicros = 5'500'000;
/// One election timeout (500 ms) on a clock that is 10% slow, one tick (20 ms)
/// and one message in flight (10 ms).
constexpr int64_t StepDownMicros = 500'000 * 11 / 10 + 20'000 + 10'000;

Simulator makeGroup(uint64_t Seed, int Voters) {
  SimOptions Options;
  Options.m_Seed = Seed;
  Options.m_Voters = Voters;
  Options.m_Faults = false;
  return Simulator(std::move(Options));
}

/// Whether a leader other than \p Old has committed an entry of its term.
bool hasWorkingLeader(Simulator &Group, ReplicaId Old) {
  SimReplica *Leader = Group.leader();
  if (Leader == nullptr || Leader->m_Id == Old)
    return false;
  const RaftStatus Status = Leader->m_Raft->status();
  return Leader->m_Raft->termAt(Status.m_Commit) == Status.m_Term;
}

enum class Loss { Crash, Isolation, NothingIn, NothingOut };

void cutOff(Simulator &Group, ReplicaId Id, Loss Kind) {
  if (Kind == Loss::Crash)
    return Group.crash(Id);
  for (const ReplicaId Other : Group.upReplicas()) {
    if (Kind != Loss::NothingOut)
      Group.block(Other, Id);
    if (Kind != Loss::NothingIn)
      Group.block(Id, Other);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RaftTimingTest)

// Guards against a leader that goes on without a quorum behind a silent
// partition in one or both directions.
BOOST_AUTO_TEST_CASE(IsolatedLeaderStepsDownWithinOneElectionTimeout) {
  for (const Loss Kind : {Loss::Isolation, Loss::NothingIn, Loss::NothingOut}) {
    int64_t Longest = 0;
    for (uint64_t Seed = 1; Seed <= 100; ++Seed) {
      Simulator Group = makeGroup(Seed, 3 + 2 * static_cast<int>(Seed % 2));
      BOOST_TEST_REQUIRE(Group.runUntil(
          [&] { return hasWorkingLeader(Group, NoReplica); }, seconds(20)));
      SimReplica &Old = *Group.leader();
      cutOff(Group, Old.m_Id, Kind);
      const int64_t Start = Group.nowMicros();
      const auto SteppedDown = [&] {
        return Old.m_Raft->status().m_Role != RaftRole::Leader;
      };
      BOOST_TEST_REQUIRE(Group.runUntil(SteppedDown, seconds(20)));
      Longest = std::max(Longest, Group.nowMicros() - Start);
    }
    BOOST_TEST_MESSAGE("step-down kind=" << static_cast<int>(Kind)
                                         << " max_ms=" << Longest / 1000);
    BOOST_TEST(Longest <= StepDownMicros);
  }
}

// Guards against a fail-over that takes longer than urgent work may wait.
BOOST_AUTO_TEST_CASE(FailOverStaysBelowTheUrgentStartTime) {
  for (const Loss Kind :
       {Loss::Crash, Loss::Isolation, Loss::NothingIn, Loss::NothingOut}) {
    for (const int Voters : {3, 5}) {
      std::vector<int64_t> Times;
      for (uint64_t Seed = 1; Seed <= 300; ++Seed) {
        Simulator Group = makeGroup(Seed, Voters);
        BOOST_TEST_REQUIRE(Group.runUntil(
            [&] { return hasWorkingLeader(Group, NoReplica); }, seconds(20)));
        const ReplicaId Old = Group.leader()->m_Id;
        cutOff(Group, Old, Kind);
        const int64_t Start = Group.nowMicros();
        BOOST_TEST_REQUIRE(Group.runUntil(
            [&] { return hasWorkingLeader(Group, Old); }, seconds(20)));
        Times.push_back(Group.nowMicros() - Start);
      }
      std::sort(Times.begin(), Times.end());
      BOOST_TEST_MESSAGE("fail-over kind="
                         << static_cast<int>(Kind) << " voters=" << Voters
                         << " p50_ms=" << Times[Times.size() / 2] / 1000
                         << " p99_ms=" << Times[Times.size() * 99 / 100] / 1000
                         << " max_ms=" << Times.back() / 1000);
      BOOST_TEST(Times.back() < UrgentStartMicros);
    }
  }
}

// Guards against a removed or lagging replica that unseats a working leader
// when its links return.
BOOST_AUTO_TEST_CASE(ReturningReplicaDoesNotUnseatTheLeader) {
  for (uint64_t Seed = 1; Seed <= 50; ++Seed) {
    Simulator Group = makeGroup(Seed, 3);
    BOOST_TEST_REQUIRE(Group.runUntil(
        [&] { return hasWorkingLeader(Group, NoReplica); }, seconds(20)));
    SimReplica &Leader = *Group.leader();
    const TermNumber Term = Leader.m_Raft->status().m_Term;
    const ReplicaId Away(Leader.m_Id.value() % 3 + 1);
    Group.isolate(Away);
    Group.runUntil([] { return false; }, seconds(5));
    Group.write(Leader);
    Group.heal();
    Group.runUntil([] { return false; }, seconds(5));
    BOOST_TEST(Leader.m_Raft->status().m_Term == Term);
    BOOST_TEST((Leader.m_Raft->status().m_Role == RaftRole::Leader));
    BOOST_TEST(Group.replica(Away).m_State.m_Index == Leader.m_State.m_Index);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::raft::sim
