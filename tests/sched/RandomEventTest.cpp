#include <random>

#include "FakeFleet.h"

namespace anvil::sched::test {

namespace {

/// Simulates workers, operators and users with a seeded random source;
/// FakeFleet checks every step.
class RandomRun {
public:
  explicit RandomRun(uint64_t Seed) : m_Random(Seed) {
    m_Config.m_Workspaces = {
        {WorkspaceId("a"),
         {},
         {{"node", {8, 64, WorkerMemory}, Adjacency::Vm, 2}}},
        {WorkspaceId("b"),
         {40, 0, 0},
         {{"half", {4, 32, 65536}, Adjacency::Vm, 2}}},
        {WorkspaceId("c"), {}, {{"rack", {8, 32, 32768}, Adjacency::Rack, 1}}},
        {WorkspaceId("d"), {}, {}}};
    m_Fleet.feed(m_Config);
    m_Fleet.addWorkers(12);
  }

  void run(int Steps) {
    for (int I = 0; I < Steps; ++I) {
      step();
      m_Fleet.advance(100ms * (1 + randomBelow(10)));
      progressGangs();
    }
    checkGuaranteeIsClaimable();
  }

  const std::string &log() const { return m_Fleet.m_Log; }

private:
  int randomBelow(int Limit) {
    return static_cast<int>(m_Random() % static_cast<uint64_t>(Limit));
  }

  JobSpec randomJob() {
    const char *const Names[] = {"a", "b", "c", "d"};
    JobSpec Spec =
        job(Names[randomBelow(4)], 1 + randomBelow(12), randomBelow(4));
    if (Spec.m_PerTask.m_Accelerators == 0)
      Spec.m_PerTask = {0, 1 + randomBelow(16), 1024};
    Spec.m_Idempotent = randomBelow(3) > 0;
    Spec.m_Checkpointable = randomBelow(2) == 0;
    Spec.m_Urgency = static_cast<Urgency>(randomBelow(UrgencyCount));
    Spec.m_Adjacency = static_cast<Adjacency>(randomBelow(3));
    Spec.m_AdjacencyRequired = randomBelow(4) == 0;
    Spec.m_Deadline = randomBelow(3) == 0
                          ? Duration(std::chrono::minutes(1 + randomBelow(60)))
                          : Duration{0};
    Spec.m_DeclaredRunTime = std::chrono::seconds(randomBelow(3000));
    return Spec;
  }

  /// Returns a submitted job; there must be one.
  JobId randomJobId() {
    auto Entry = m_Fleet.m_Jobs.begin();
    std::advance(Entry, randomBelow(static_cast<int>(m_Fleet.m_Jobs.size())));
    return Entry->first;
  }

  void step() {
    if (m_Fleet.m_Jobs.empty())
      m_Fleet.submit(randomJob());
    const VmId Vm(absl::StrCat("w", randomBelow(12)));
    const AvailabilityZoneId Zone(absl::StrCat("zone", randomBelow(3)));
    switch (randomBelow(20)) {
    case 0:
      return m_Fleet.m_Withdrawn.empty()
                 ? m_Fleet.feed(ZoneWithdrawn{
                       Zone, std::chrono::seconds(randomBelow(60))})
                 : m_Fleet.feed(ZoneRestored{*m_Fleet.m_Withdrawn.begin()});
    case 1:
      return m_Fleet.feed(WorkerDrained{Vm, randomBelow(2) == 0});
    case 2:
      return loseWorker(Vm);
    case 3:
      return registerWorker(Vm);
    case 4:
      for (int I = 0; I < 5; ++I)
        cancelJob(randomJobId());
      return;
    case 5:
      return m_Fleet.feed(UsageReported{
          Vm,
          {randomBelow(8), randomBelow(80), int64_t{1024} * randomBelow(300)},
          m_Fleet.m_Now});
    case 6: {
      ConfigurationChanged Changed = m_Config;
      Changed.m_Workspaces[randomBelow(4)].m_Guarantees.clear();
      return m_Fleet.feed(randomBelow(2) == 0 ? m_Config : Changed);
    }
    case 7:
      return failRandomJob();
    case 8:
      for (const VmId &Probed : std::exchange(m_Fleet.m_Probed, {}))
        m_Fleet.feed(ProbeEnded{Probed, randomBelow(2) == 0});
      return;
    default:
      m_Fleet.submit(randomJob());
    }
  }

  void loseWorker(const VmId &Vm) {
    m_Fleet.feed(WorkerLost{Vm});
    for (auto &[Id, Job] : m_Fleet.m_Jobs) {
      if (Job.m_Placed && m_Fleet.vmsOf(Id).contains(Vm))
        m_AwaitingRelease.insert(Id);
    }
  }

  void registerWorker(const VmId &Vm) {
    const int Number = std::stoi(Vm.str().substr(1));
    m_Fleet.feed(WorkerUp{Vm, m_Fleet.m_ZoneOf[Vm],
                          RackId(absl::StrCat("rack", Number / 2)),
                          m_Fleet.m_Capacity[Vm]});
  }

  void cancelJob(JobId Id) {
    FakeFleet::JobRecord &Job = m_Fleet.m_Jobs[Id];
    if (Job.m_Over)
      return;
    if (Job.m_Placed)
      m_AwaitingRelease.insert(Id);
    Job.m_Over = true;
    m_Fleet.feed(JobCancelled{Id});
  }

  void failRandomJob() {
    const JobId Id = randomJobId();
    FakeFleet::JobRecord &Job = m_Fleet.m_Jobs[Id];
    if (Job.m_Running && !Job.m_Reclaiming && !m_AwaitingRelease.contains(Id))
      m_Fleet.fail(Id, Job.m_Members[0]);
  }

  /// Starts, ends and releases gangs with random delays.
  void progressGangs() {
    std::vector<JobId> Placed;
    for (auto &[Id, Job] : m_Fleet.m_Jobs) {
      if (Job.m_Placed)
        Placed.push_back(Id);
    }
    for (const JobId Id : Placed) {
      FakeFleet::JobRecord &Job = m_Fleet.m_Jobs[Id];
      if (!Job.m_Placed)
        continue;
      const bool MustStop = m_AwaitingRelease.contains(Id);
      if (MustStop || Job.m_Reclaiming) {
        if (randomBelow(3) > 0)
          continue;
        m_AwaitingRelease.erase(Id);
        m_Fleet.release(Id, !MustStop && Job.m_Spec.m_Checkpointable &&
                                Job.m_Modes.back() == ReclaimMode::Checkpoint);
      } else if (!Job.m_Running) {
        m_Fleet.start(Id);
      } else if (randomBelow(8) == 0) {
        m_Fleet.end(Id);
      }
    }
  }

  /// Restores all zones, workers and guarantees and cancels all jobs of
  /// workspace a. Jobs that use its whole guarantee must then be placed within
  /// 4.5 s.
  void checkGuaranteeIsClaimable() {
    m_Fleet.feed(m_Config);
    while (!m_Fleet.m_Withdrawn.empty())
      m_Fleet.feed(ZoneRestored{*m_Fleet.m_Withdrawn.begin()});
    for (int I = 0; I < 12; ++I)
      registerWorker(VmId(absl::StrCat("w", I)));
    std::vector<JobId> Own;
    for (auto &[Id, Job] : m_Fleet.m_Jobs) {
      if (Job.m_Spec.m_Workspace.str() == "a")
        Own.push_back(Id);
    }
    for (const JobId Id : Own)
      cancelJob(Id);
    for (int I = 0; I < 600; ++I) {
      m_Fleet.advance(100ms);
      progressGangs();
    }
    BOOST_TEST(m_Fleet.m_Scheduler.counts().m_GuaranteesMissing == 0);
    JobSpec Claimed = job("a", 1, 8);
    Claimed.m_PerTask = {8, 64, WorkerMemory};
    const JobId First = m_Fleet.submit(Claimed);
    const JobId Second = m_Fleet.submit(Claimed);
    for (int I = 0; I < 45; ++I) {
      m_Fleet.advance(100ms);
      for (auto &[Id, Job] : m_Fleet.m_Jobs) {
        if (Job.m_Reclaiming && Job.m_Modes.back() == ReclaimMode::Stop)
          m_AwaitingRelease.insert(Id);
      }
      for (const JobId Id : std::exchange(m_AwaitingRelease, {})) {
        if (m_Fleet.m_Jobs[Id].m_Placed)
          m_Fleet.release(Id);
      }
    }
    BOOST_TEST(m_Fleet.m_Jobs[First].m_Placements == 1, m_Fleet.explain(First));
    BOOST_TEST(m_Fleet.m_Jobs[Second].m_Placements == 1,
               m_Fleet.explain(Second));
  }

  FakeFleet m_Fleet;
  ConfigurationChanged m_Config;
  std::mt19937_64 m_Random;
  std::set<JobId> m_AwaitingRelease;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RandomEventTest)

// Guards against combinations of events that break an invariant: whole gangs,
// capacity, claimable guarantees, no placement on unusable workers, at most one
// run of a job that is not idempotent.
BOOST_AUTO_TEST_CASE(KeepsItsInvariantsUnderRandomEvents) {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) { RandomRun(Seed).run(400); }
  }
}

// Guards against decisions that depend on the iteration order of a hash table,
// which differs between two leaders.
BOOST_AUTO_TEST_CASE(SameEventsGiveSameActions) {
  for (uint64_t Seed = 101; Seed <= 105; ++Seed) {
    RandomRun First(Seed);
    RandomRun Second(Seed);
    First.run(300);
    Second.run(300);
    BOOST_TEST((First.log() == Second.log()), "seed " << Seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sched::test
