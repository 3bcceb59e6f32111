#include "FakeFleet.h"

namespace anvil::sched::test {

BOOST_AUTO_TEST_SUITE(GuaranteeTest)

// Guards against an owner that cannot reclaim its guarantee from some kind of
// borrower, and against non-preemptible jobs being allowed to borrow.
BOOST_AUTO_TEST_CASE(OwnerClaimsFromBorrowersThatMayBorrow) {
  struct Case {
    bool m_Idempotent;
    bool m_Checkpointable;
    bool m_MayBorrow;
    ReclaimMode m_FirstStep;
  };
  const Case Cases[] = {{true, true, true, ReclaimMode::Checkpoint},
                        {false, true, true, ReclaimMode::Checkpoint},
                        {true, false, true, ReclaimMode::Stop},
                        {false, false, false, ReclaimMode::Stop}};
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT("idempotent " << Each.m_Idempotent << " checkpointable "
                                     << Each.m_Checkpointable) {
      FakeFleet Fleet;
      Fleet.feed(twoWorkspaces(1));
      Fleet.addWorkers(1);
      JobSpec Spec = job("b", 1, 8);
      Spec.m_Idempotent = Each.m_Idempotent;
      Spec.m_Checkpointable = Each.m_Checkpointable;
      const JobId Borrower = Fleet.submit(Spec);
      Fleet.advance(1s);
      BOOST_TEST(Fleet.m_Jobs[Borrower].m_Placed == Each.m_MayBorrow);
      if (!Each.m_MayBorrow) {
        BOOST_TEST(Fleet.m_Jobs[Borrower].m_LastReason.find(
                       "even when empty") != std::string::npos);
        continue;
      }
      Fleet.start(Borrower);
      Fleet.advance(1s);
      const JobId Owner = Fleet.submit(job("a", 1, 8));
      Fleet.advance(100ms);
      BOOST_REQUIRE(!Fleet.m_Jobs[Borrower].m_Modes.empty());
      BOOST_TEST((Fleet.m_Jobs[Borrower].m_Modes[0] == Each.m_FirstStep));
      BOOST_TEST(Fleet.m_Jobs[Borrower].m_LastReason.find(
                     "workspace a claims") != std::string::npos);
      Fleet.release(Borrower, Each.m_Checkpointable);
      Fleet.advance(100ms);
      BOOST_TEST(Fleet.m_Jobs[Owner].m_Placed);
      BOOST_TEST(!Fleet.m_Jobs[Borrower].m_Placed);
      BOOST_TEST(!Fleet.m_Jobs[Borrower].m_Over);
    }
  }
}

// Guards against a claim that stops more gangs than the owner needs, or gangs
// that lose more work than others.
BOOST_AUTO_TEST_CASE(ReclaimsTheCheapestGangsAndNoMoreThanNeeded) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(1));
  Fleet.addWorkers(1);
  std::vector<JobId> Borrowers;
  for (int I = 0; I < 4; ++I) {
    JobSpec Spec = job("b", 1, 2);
    Spec.m_Checkpointable = I == 2;
    Borrowers.push_back(Fleet.run(Spec));
    Fleet.advance(5min);
  }
  Fleet.submit(job("a", 1, 2));
  Fleet.advance(200ms);
  for (int I = 0; I < 4; ++I)
    BOOST_TEST(Fleet.m_Jobs[Borrowers[I]].m_Reclaiming == (I == 2),
               "gang " << I);
}

// Guards against a claim that takes the guarantee of another workspace, when
// that workspace also borrows.
BOOST_AUTO_TEST_CASE(GangsWithinTheirOwnGuaranteeAreNotReclaimed) {
  FakeFleet Fleet;
  ConfigurationChanged Config = twoWorkspaces(1);
  Config.m_Workspaces[1].m_Guarantees = Config.m_Workspaces[0].m_Guarantees;
  Fleet.feed(Config);
  Fleet.addWorkers(2);
  const JobId Own = Fleet.run(job("b", 1, 8));
  const JobId Borrowed = Fleet.run(job("b", 1, 8));
  Fleet.advance(1min);
  JobSpec Urgent = job("a", 1, 8);
  Urgent.m_Urgency = Urgency::Urgent;
  Fleet.submit(Urgent);
  Fleet.submit(Urgent);
  Fleet.advance(2s);
  BOOST_TEST(Fleet.m_Jobs[Own].m_Reclaiming !=
             Fleet.m_Jobs[Borrowed].m_Reclaiming);
}

// Guards against a guarantee that cannot be kept without a warning, and against
// a warning that is not withdrawn when capacity returns.
BOOST_AUTO_TEST_CASE(WarnsWhenShapesCannotBeKept) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(2));
  Fleet.addWorkers(1);
  Fleet.advance(100ms);
  BOOST_TEST(Fleet.m_Missing["a/node"] == 1);
  Fleet.addWorker("extra", "zone1", "rack9", {8, 64, WorkerMemory});
  Fleet.advance(100ms);
  BOOST_TEST(Fleet.m_Missing["a/node"] == 0);
  Fleet.feed(ZoneWithdrawn{AvailabilityZoneId("zone1")});
  Fleet.advance(100ms);
  BOOST_TEST(Fleet.m_Missing["a/node"] == 1);
  Fleet.feed(ZoneRestored{AvailabilityZoneId("zone1")});
  Fleet.advance(100ms);
  BOOST_TEST(Fleet.m_Missing["a/node"] == 0);
}

// Guards against non-preemptible gangs that spread over all racks, so that no
// rack has room for a guaranteed rack shape.
BOOST_AUTO_TEST_CASE(RackShapesStayClaimable) {
  FakeFleet Fleet;
  ConfigurationChanged Config = twoWorkspaces(0);
  Config.m_Workspaces[0].m_Guarantees = {
      {"rack", {16, 64, 65536}, Adjacency::Rack, 1}};
  Fleet.feed(Config);
  Fleet.addWorkers(4);
  JobSpec NonPreemptible = job("b", 1, 1);
  NonPreemptible.m_Idempotent = false;
  for (int I = 0; I < 24; ++I)
    Fleet.submit(NonPreemptible);
  Fleet.advance(1s);
  BOOST_TEST(Fleet.m_Scheduler.counts().m_Placed == 16);
  JobSpec Gang = job("a", 16, 1);
  Gang.m_Adjacency = Adjacency::Rack;
  Gang.m_AdjacencyRequired = true;
  const JobId Owner = Fleet.submit(Gang);
  Fleet.advance(100ms);
  BOOST_TEST(Fleet.m_Jobs[Owner].m_Placed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sched::test
