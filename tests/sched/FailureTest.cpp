#include "FakeFleet.h"

namespace anvil::sched::test {

BOOST_AUTO_TEST_SUITE(FailureTest)

// Guards against a faulty worker that keeps receiving jobs because nothing
// quarantines it, and against one that is never probed and used again.
BOOST_AUTO_TEST_CASE(QuarantinesAWorkerThatFailsDifferentJobsAndProbesIt) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(4);
  std::vector<JobId> Jobs;
  Jobs.reserve(4);
  for (int I = 0; I < 4; ++I)
    Jobs.push_back(Fleet.run(job("a", 1, 2)));
  const VmId FaultyVm = *Fleet.vmsOf(Jobs[0]).begin();
  for (int I = 0; I < 3; ++I) {
    BOOST_TEST(!Fleet.m_Quarantined.contains(FaultyVm));
    Fleet.fail(Jobs[I], FaultyVm);
  }
  BOOST_TEST(Fleet.m_Quarantined.contains(FaultyVm));
  Fleet.advance(31s);
  BOOST_TEST(Fleet.m_Probed.contains(FaultyVm));
  Fleet.feed(ProbeEnded{FaultyVm, false});
  BOOST_TEST(Fleet.m_Quarantined.contains(FaultyVm));
  Fleet.m_Probed.clear();
  Fleet.advance(61s);
  BOOST_TEST(Fleet.m_Probed.contains(FaultyVm));
  Fleet.feed(ProbeEnded{FaultyVm, true});
  BOOST_TEST(!Fleet.m_Quarantined.contains(FaultyVm));
}

// Guards against one faulty job that gets every worker it fails on quarantined.
BOOST_AUTO_TEST_CASE(AJobThatFailsEverywhereIsGivenUpWithoutQuarantine) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(12);
  const JobId Broken = Fleet.submit(job("a", 1, 8));
  std::set<VmId> FailedOn;
  Duration Waited{0};
  for (int I = 0; I < 5; ++I) {
    while (!Fleet.m_Jobs[Broken].m_Placed && Waited < 10min) {
      Fleet.advance(1s);
      Waited += 1s;
    }
    Fleet.start(Broken);
    const VmId Vm = *Fleet.vmsOf(Broken).begin();
    BOOST_TEST(FailedOn.insert(Vm).second, "it was placed again on " << Vm);
    Fleet.fail(Broken, Vm);
  }
  BOOST_TEST(Fleet.m_Jobs[Broken].m_Over);
  BOOST_TEST(Fleet.m_Jobs[Broken].m_LastReason.find("failed 5 times") !=
             std::string::npos);
  BOOST_TEST((Waited >= 15s), "the retry delay did not grow");
  BOOST_TEST(Fleet.m_Quarantined.empty());
}

// Guards against many failures at a time quarantining more than the permitted
// share of workers.
BOOST_AUTO_TEST_CASE(QuarantineIsBounded) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(10);
  for (int Round = 0; Round < 40; ++Round) {
    const JobId Id = Fleet.run(job("a", 1, 8));
    Fleet.fail(Id, *Fleet.vmsOf(Id).begin());
    Fleet.feed(JobCancelled{Id});
  }
  BOOST_TEST(Fleet.m_Quarantined.size() == 1);
}

// Guards against a job that is not idempotent running twice after its worker is
// lost, and against an idempotent or unstarted job being given up.
BOOST_AUTO_TEST_CASE(PlacesAgainOnlyJobsThatMayRunAgain) {
  struct Case {
    bool m_Idempotent;
    bool m_Checkpointable;
    bool m_Started;
    bool m_AtCheckpoint;
    bool m_PlacedAgain;
  };
  const Case Cases[] = {
      {true, false, true, false, true},   {false, false, true, false, false},
      {false, false, false, false, true}, {false, true, true, true, true},
      {false, true, true, false, false},  {true, true, true, false, true}};
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT("idempotent " << Each.m_Idempotent << " checkpointable "
                                     << Each.m_Checkpointable << " started "
                                     << Each.m_Started << " at checkpoint "
                                     << Each.m_AtCheckpoint) {
      FakeFleet Fleet;
      Fleet.feed(twoWorkspaces(0));
      Fleet.addWorkers(2);
      JobSpec Spec = job("a", 1, 8);
      Spec.m_Idempotent = Each.m_Idempotent;
      Spec.m_Checkpointable = Each.m_Checkpointable;
      const JobId Id = Fleet.submit(Spec);
      Fleet.advance(100ms);
      if (Each.m_Started)
        Fleet.start(Id);
      Fleet.feed(WorkerLost{*Fleet.vmsOf(Id).begin()});
      Fleet.release(Id, Each.m_AtCheckpoint);
      Fleet.advance(1s);
      BOOST_TEST(Fleet.m_Jobs[Id].m_Placed == Each.m_PlacedAgain);
      BOOST_TEST(Fleet.m_Jobs[Id].m_Over != Each.m_PlacedAgain);
    }
  }
}

// Guards against a refused placement that is repeated without a delay or never.
BOOST_AUTO_TEST_CASE(RefusedPlacementsAreRepeatedWithGrowingDelay) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(1);
  const JobId Id = Fleet.submit(job("a", 1, 1));
  Fleet.advance(100ms);
  for (int I = 0; I < 3; ++I) {
    BOOST_REQUIRE(Fleet.m_Jobs[Id].m_Placed);
    FakeFleet::JobRecord &Job = Fleet.m_Jobs[Id];
    Fleet.m_Used[Job.m_Members[0]] = {};
    Job.m_Members.clear();
    Job.m_Placed = false;
    Fleet.feed(PlacementRefused{Id, "conflict", VmId()});
    BOOST_TEST(!Job.m_Placed);
    BOOST_TEST(Fleet.explain(Id).find("conflict") != std::string::npos);
    Fleet.advance(100ms);
    BOOST_TEST(!Job.m_Placed);
    Fleet.advance(200ms * (1 << I));
  }
}

// Guards against jobs that stay in a withdrawn zone, jobs stopped before there
// is room elsewhere, and jobs moved back when the zone is restored.
BOOST_AUTO_TEST_CASE(WithdrawnZoneIsEvacuatedAndRestoredZoneIsUsedAgain) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(8);
  JobSpec Movable = job("a", 1, 8);
  Movable.m_Checkpointable = true;
  std::vector<JobId> Jobs;
  Jobs.reserve(6);
  for (int I = 0; I < 6; ++I)
    Jobs.push_back(Fleet.run(Movable));
  Fleet.advance(10s);
  Fleet.feed(ZoneWithdrawn{AvailabilityZoneId("zone0"), 60s});
  Fleet.advance(1s);
  std::vector<JobId> Moving;
  for (const JobId Id : Jobs) {
    if (Fleet.m_Jobs[Id].m_Reclaiming)
      Moving.push_back(Id);
  }
  // Two of the four gangs in the zone have room elsewhere; the others run until
  // the notice ends.
  BOOST_REQUIRE(Moving.size() == 2);
  for (const JobId Id : Moving)
    Fleet.release(Id, true);
  Fleet.advance(1s);
  for (const JobId Id : Moving)
    BOOST_TEST(Fleet.m_Jobs[Id].m_Placed);
  Fleet.advance(50s);
  BOOST_TEST(Fleet.m_Scheduler.counts().m_Placed == 6);
  Fleet.advance(8s);
  int Evicted = 0;
  for (const JobId Id : Jobs) {
    if (Fleet.m_Jobs[Id].m_Reclaiming) {
      ++Evicted;
      Fleet.release(Id, true);
    }
  }
  BOOST_TEST(Evicted == 2);
  Fleet.feed(ZoneRestored{AvailabilityZoneId("zone0")});
  Fleet.advance(1s);
  for (const JobId Id : Jobs) {
    BOOST_TEST(Fleet.m_Jobs[Id].m_Placed);
    BOOST_TEST(Fleet.m_Jobs[Id].m_Placements <= 2);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sched::test
