#include "anvil/sched/Scheduler.h"

#include "FakeFleet.h"

namespace anvil::sched::test {

BOOST_AUTO_TEST_SUITE(SchedulerTest)

// Guards against accepting options with which reclaims, retries or passes never
// happen.
BOOST_AUTO_TEST_CASE(RefusesInvalidOptions) {
  const std::vector<std::function<void(SchedulerOptions &)>> Cases = {
      [](auto &Options) { Options.m_PassInterval = -1ms; },
      [](auto &Options) { Options.m_StopTime = 0ms; },
      [](auto &Options) { Options.m_MaxFailures = 0; },
      [](auto &Options) { Options.m_MaxSearches = 0; },
      [](auto &Options) { Options.m_MaxQuarantinedShare = 1.5; },
      [](auto &Options) { Options.m_RetryDelay = 0s; }};
  for (const auto &Change : Cases) {
    SchedulerOptions Options;
    Change(Options);
    const auto Result = Scheduler::create(Options);
    BOOST_REQUIRE(!Result.ok());
    BOOST_TEST(
        (layerErrorOf<SchedErrc>(Result.status()) == SchedErrc::InvalidOption));
  }
}

// Guards against gangs spread over more VMs or racks than they need, and
// against small jobs that fragment empty workers.
BOOST_AUTO_TEST_CASE(PlacesGangsTightly) {
  struct Case {
    int32_t m_Tasks;
    Adjacency m_Adjacency;
    bool m_Required;
    /// Number of VMs used; zero if the job must not be placed.
    size_t m_ExpectedVms;
  };
  const Case Cases[] = {
      {8, Adjacency::Any, false, 1},  {16, Adjacency::Rack, true, 2},
      {32, Adjacency::Any, false, 4}, {24, Adjacency::Rack, true, 0},
      {9, Adjacency::Vm, true, 0},    {9, Adjacency::Vm, false, 2},
      {64, Adjacency::Any, false, 8}, {65, Adjacency::Any, false, 0}};
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT("tasks " << Each.m_Tasks << " adjacency "
                                << static_cast<int>(Each.m_Adjacency)) {
      FakeFleet Fleet;
      Fleet.feed(twoWorkspaces(0));
      Fleet.addWorkers(8);
      JobSpec Spec = job("a", Each.m_Tasks, 1);
      Spec.m_Adjacency = Each.m_Adjacency;
      Spec.m_AdjacencyRequired = Each.m_Required;
      const JobId Id = Fleet.submit(Spec);
      Fleet.advance(1s);
      BOOST_TEST(Fleet.vmsOf(Id).size() == Each.m_ExpectedVms);
    }
  }
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(4);
  const JobId First = Fleet.run(job("a", 1, 5));
  const JobId Second = Fleet.run(job("a", 1, 3));
  BOOST_TEST((Fleet.vmsOf(First) == Fleet.vmsOf(Second)));
}

// Guards against jobs that can never run but wait without a reason, and against
// parked jobs that are not reconsidered when capacity or configuration changes.
BOOST_AUTO_TEST_CASE(ParksOrRefusesWhatCannotRun) {
  FakeFleet Fleet;
  ConfigurationChanged Config = twoWorkspaces(0);
  Config.m_Workspaces[1].m_Quota = {4, 0, 0};
  Fleet.feed(Config);
  Fleet.addWorkers(1);
  const JobId TooLarge = Fleet.submit(job("a", 2, 8));
  const JobId OverQuota = Fleet.submit(job("b", 1, 8));
  const JobId Unknown = Fleet.submit(job("c", 1, 1));
  const JobId Empty = Fleet.submit(job("a", 1, 0));
  const JobId Negative = Fleet.submit(job("a", -1, 1));
  Fleet.advance(5s);
  BOOST_TEST(Fleet.m_Jobs[TooLarge].m_LastReason.find("even when empty") !=
             std::string::npos);
  BOOST_TEST(Fleet.m_Jobs[OverQuota].m_LastReason.find(
                 "quota of workspace b") != std::string::npos);
  BOOST_TEST(Fleet.m_Jobs[Unknown].m_LastReason.find(
                 "not in the configuration") != std::string::npos);
  BOOST_TEST((Fleet.m_Jobs[Empty].m_Over && Fleet.m_Jobs[Negative].m_Over));
  BOOST_TEST(Fleet.m_Scheduler.counts().m_Parked == 3);
  BOOST_TEST(Fleet.explain(TooLarge).find("parked") != std::string::npos);

  Fleet.addWorker("extra", "zone0", "rack0", {8, 64, WorkerMemory});
  Fleet.advance(1s);
  BOOST_TEST(Fleet.m_Jobs[TooLarge].m_Placed);
  Fleet.start(TooLarge);
  Fleet.end(TooLarge);
  Config.m_Workspaces[1].m_Quota = {};
  Config.m_Workspaces.push_back({WorkspaceId("c"), {}, {}});
  Fleet.feed(Config);
  Fleet.advance(1s);
  BOOST_TEST(
      (Fleet.m_Jobs[OverQuota].m_Placed && Fleet.m_Jobs[Unknown].m_Placed));
}

// Guards against a workspace that exceeds its quota by many small jobs.
BOOST_AUTO_TEST_CASE(KeepsWorkspacesWithinTheirQuotas) {
  FakeFleet Fleet;
  ConfigurationChanged Config = twoWorkspaces(0);
  Config.m_Workspaces[0].m_Quota = {4, 0, 0};
  Fleet.feed(Config);
  Fleet.addWorkers(2);
  std::vector<JobId> Jobs;
  Jobs.reserve(6);
  for (int I = 0; I < 6; ++I)
    Jobs.push_back(Fleet.submit(job("a", 1, 1)));
  Fleet.advance(1s);
  BOOST_TEST(Fleet.m_Scheduler.counts().m_Placed == 4);
  BOOST_TEST(Fleet.explain(Jobs[5]).find("quota") != std::string::npos);
  Fleet.start(Jobs[0]);
  Fleet.end(Jobs[0]);
  Fleet.advance(1s);
  BOOST_TEST(Fleet.m_Scheduler.counts().m_Placed == 4);
}

// Guards against an urgent job that waits longer than 5.5 s for a long batch
// job, also if the batch job does not answer a checkpoint request.
BOOST_AUTO_TEST_CASE(UrgentJobDisplacesBatchJobInTime) {
  for (const bool Answers : {true, false}) {
    FakeFleet Fleet;
    Fleet.feed(twoWorkspaces(0));
    Fleet.addWorkers(1);
    JobSpec Long = job("a", 8, 1);
    Long.m_Checkpointable = true;
    const JobId Batch = Fleet.run(Long);
    Fleet.advance(10min);
    JobSpec Quick = job("b", 1, 2);
    Quick.m_Urgency = Urgency::Urgent;
    const JobId Urgent = Fleet.submit(Quick);
    Fleet.advance(100ms);
    BOOST_REQUIRE(Fleet.m_Jobs[Batch].m_Reclaiming);
    if (!Answers) {
      Fleet.advance(3s);
      const std::vector<ReclaimMode> Steps = {
          ReclaimMode::Checkpoint, ReclaimMode::Throttle, ReclaimMode::Stop};
      BOOST_TEST((Fleet.m_Jobs[Batch].m_Modes == Steps));
    }
    Fleet.advance(900ms);
    Fleet.release(Batch, Answers);
    Fleet.advance(200ms);
    BOOST_TEST(Fleet.m_Jobs[Urgent].m_Placed);
  }
}

// Guards against a steady stream of small jobs that starves a large gang.
BOOST_AUTO_TEST_CASE(LargeGangsAreNotStarvedBySmallOnes) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(2);
  std::vector<std::pair<TimePoint, JobId>> Running;
  JobSpec Large = job("a", 2, 8);
  JobId Waiting;
  for (int Second = 0; Second < 3 * 3600 &&
                       !(Waiting.value() > 0 && Fleet.m_Jobs[Waiting].m_Placed);
       Second += 10) {
    Fleet.m_Now += 10s;
    if (Second == 300)
      Waiting = Fleet.submit(Large);
    Fleet.feed(Tick{});
    if (!Running.empty() && Running.front().first <= Fleet.m_Now) {
      Fleet.end(Running.front().second);
      Running.erase(Running.begin());
    }
    const JobId Small = Fleet.submit(job("b", 1, 1));
    Fleet.advance(100ms);
    for (auto &[Id, Record] : Fleet.m_Jobs) {
      if (Record.m_Placed && !Record.m_Running && Id != Waiting) {
        Fleet.start(Id);
        Running.emplace_back(Fleet.m_Now + 10min, Id);
      }
    }
    static_cast<void>(Small);
  }
  BOOST_TEST(Fleet.m_Jobs[Waiting].m_Placed, Fleet.explain(Waiting));
}

// Guards against a burst of events whose cost grows with the square of its
// size.
BOOST_AUTO_TEST_CASE(BurstsCostLinearWork) {
  std::vector<int64_t> Scanned;
  for (const int Count : {500, 2000}) {
    FakeFleet Fleet;
    Fleet.feed(twoWorkspaces(0));
    Fleet.addWorkers(4);
    std::vector<JobId> Jobs;
    for (int I = 0; I < Count; ++I) {
      const JobId Id(I + 1);
      Jobs.push_back(Id);
      Fleet.m_Jobs[Id].m_Spec = job("a", 1 + I % 40, 1);
      Fleet.m_Scheduler.step(JobSubmitted{Id, Fleet.m_Jobs[Id].m_Spec},
                             Fleet.m_Now);
    }
    for (const JobId Id : Jobs)
      Fleet.m_Scheduler.step(JobCancelled{Id}, Fleet.m_Now);
    Scanned.push_back(Fleet.m_Scheduler.counts().m_WorkersScanned);
    BOOST_TEST(Fleet.m_Scheduler.counts().m_Queued == 0);
  }
  BOOST_TEST(Scanned[1] <= 4 * Scanned[0] + 400);
}

// Guards against late usage reports on gangs that have changed, and against a
// worker that is filled and emptied in turn while its use varies around the
// limit.
BOOST_AUTO_TEST_CASE(OveruseReducesFreeCapacityForAMinuteAfterItEnds) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(1);
  const TimePoint Before = Fleet.m_Now;
  Fleet.run(job("a", 1, 1));
  Fleet.feed(UsageReported{VmId("w0"), {1, 60, 1024}, Before});
  const JobId Fits = Fleet.run(job("a", 1, 4));
  Fleet.end(Fits);
  Fleet.advance(1s);
  Fleet.feed(UsageReported{VmId("w0"), {1, 60, 1024}, Fleet.m_Now});
  const JobId Blocked = Fleet.submit(job("a", 1, 4));
  Fleet.advance(10s);
  Fleet.feed(UsageReported{VmId("w0"), {1, 4, 1024}, Fleet.m_Now});
  Fleet.advance(1s);
  BOOST_TEST(!Fleet.m_Jobs[Blocked].m_Placed);
  Fleet.advance(60s);
  Fleet.feed(UsageReported{VmId("w0"), {1, 4, 1024}, Fleet.m_Now});
  Fleet.advance(1s);
  BOOST_TEST(Fleet.m_Jobs[Blocked].m_Placed);
}

// Guards against an explanation that omits the state, the cause or the remedy.
BOOST_AUTO_TEST_CASE(ExplainsEachState) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(0));
  Fleet.addWorkers(1);
  JobSpec NonPreemptible = job("a", 1, 8);
  NonPreemptible.m_Idempotent = false;
  const JobId Running = Fleet.submit(NonPreemptible);
  Fleet.advance(100ms);
  BOOST_TEST(Fleet.explain(Running).find("waits for all members") !=
             std::string::npos);
  Fleet.start(Running);
  BOOST_TEST(Fleet.explain(Running).find("has run for") != std::string::npos);
  const JobId Waiting = Fleet.submit(job("b", 1, 4));
  Fleet.advance(1s);
  BOOST_TEST(Fleet.explain(Waiting).find("more capacity") != std::string::npos);
  Fleet.feed(JobCancelled{Running});
  BOOST_TEST(Fleet.explain(Running).find("does not run again") !=
             std::string::npos);
  BOOST_TEST(Fleet.explain(JobId(99)).find("sched: job 99") !=
             std::string::npos);
}

// Guards against a new leader that places jobs on workers that a restored gang
// already uses, or that runs a job twice.
BOOST_AUTO_TEST_CASE(RebuildsFromRestoredJobs) {
  FakeFleet Fleet;
  Fleet.feed(twoWorkspaces(1));
  Fleet.addWorkers(2);
  JobSpec NonPreemptible = job("b", 1, 6);
  NonPreemptible.m_Idempotent = false;
  Fleet.m_Jobs[JobId(70)].m_Spec = NonPreemptible;
  Fleet.feed(JobRestored{JobId(70),
                         NonPreemptible,
                         RestoredPhase::Running,
                         {{0, VmId("w0")}},
                         Fleet.m_Now,
                         Fleet.m_Now});
  Fleet.m_Jobs[JobId(71)].m_Spec = job("a", 1, 8);
  Fleet.feed(JobRestored{
      JobId(71), job("a", 1, 8), RestoredPhase::Queued, {}, Fleet.m_Now});
  Fleet.advance(1s);
  BOOST_TEST((Fleet.vmsOf(JobId(71)) == std::set<VmId>{VmId("w1")}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sched::test
