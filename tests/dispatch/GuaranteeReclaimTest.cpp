#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

#include "dispatch/Preemption.h"
#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"
#include "workload/WorkloadFixture.h"

namespace anvil::dispatch::internal {
namespace {

const TimePoint Now = timePointFromMicros(100'000'000);
constexpr int32_t LeastUrgent = 2;

/// Two full workers of eight accelerators, and a job of the workspace "owner",
/// which is guaranteed eight. The workspace "other" is guaranteed four, and
/// "guest" nothing.
class ReclaimFixture : public workload::WorkloadFixture {
public:
  ReclaimFixture() {
    wire::PolicyDocument Policy = workload::makePolicy(2);
    Policy.workspaces.clear();
    for (const auto &[Name, Guaranteed] : std::map<std::string, int32_t>{
             {"owner", 8}, {"other", 4}, {"guest", 0}}) {
      wire::WorkspacePolicy Workspace;
      Workspace.name = Name;
      Workspace.keys = {"key-" + Name};
      Workspace.guaranteed.accelerators = Guaranteed;
      Policy.workspaces.push_back(Workspace);
    }
    wire::QueuePolicy Low = Policy.queues.front();
    Low.name = "low";
    Low.pathPrefix = "/low/";
    Low.priority = LeastUrgent;
    Policy.queues.push_back(Low);
    BOOST_REQUIRE((putPolicy(Policy).status == wire::WorkloadStatus::OK));
    for (size_t I = 0; I < m_Records.size(); ++I) {
      m_Records[I].info.serviceName = "desk";
      m_Records[I].info.incarnation.id = "worker-" + std::to_string(I);
      m_Records[I].info.capacity = workload::amounts(64000, 64000, 8);
      m_Views[I].m_Record = &m_Records[I];
      m_Views[I].m_Usable = true;
      m_Views[I].m_Free = m_Records[I].info.capacity;
    }
  }

  /// Hands in a job of one step.
  const wire::JobRecord &add(const std::string &Id,
                             const std::string &Workspace,
                             const std::string &Queue,
                             const wire::StepSpec &Step) {
    wire::SubmitWorkload Submit;
    Submit.jobId = Id;
    Submit.queue = Queue;
    Submit.workspace = Workspace;
    Submit.spec = workload::makeSpec({Step});
    wire::WorkloadCommand Command;
    Command.__set_submit(Submit);
    BOOST_REQUIRE((apply(Command).status == wire::WorkloadStatus::OK));
    return *m_State.job(Id);
  }
  /// Adds started runs of a job, from task \p First, to a worker.
  void run(const wire::JobRecord &Job, size_t Worker, int32_t First,
           int32_t Count) {
    for (int32_t I = First; I < First + Count; ++I) {
      RunView Run;
      Run.m_Task = workload::taskRef(Job.id, 0, I);
      Run.m_Run = 1;
      Run.m_Job = &Job;
      Run.m_Spec = &Job.spec.steps[0];
      Run.m_Amounts = Run.m_Spec->perTask;
      Run.m_Forecast.m_Started = true;
      Run.m_Forecast.m_EndsAt = NoKnownEnd;
      workload::subtract(m_Views[Worker].m_Free, Run.m_Amounts);
      m_Views[Worker].m_Runs.push_back(Run);
    }
  }
  /// Returns how many runs of each job would be stopped for all tasks of a job,
  /// or nothing if they get no room.
  std::optional<std::map<std::string, int>> stopsFor(const wire::JobRecord &Job,
                                                     EvictionScope Scope) {
    WaitingStep Step;
    Step.m_Job = &Job;
    Step.m_Spec = &Job.spec.steps[0];
    for (int32_t I = 0; I < Step.m_Spec->tasks; ++I)
      Step.m_Indexes.push_back(I);
    Step.m_MaxSuspicion = 1;
    Fleet PlanFleet(m_Views, Now);
    const Placer PlanPlacer(PlanFleet, 1);
    const Guarantees PlanGuarantees(m_State);
    const Preemption Search(PlanFleet, PlanPlacer, PlanGuarantees);
    const std::optional<Eviction> Found =
        Search.find(Step, Step.m_Spec->tasks, Scope);
    if (!Found)
      return std::nullopt;
    std::map<std::string, int> Result;
    for (const wire::RunRef &Each : Found->m_Victims)
      ++Result[Each.task.jobId];
    return Result;
  }

protected:
  std::vector<wire::WorkerRecord> m_Records{2};
  std::vector<WorkerView> m_Views{2};
};

wire::StepSpec longRunning(int32_t Tasks, int32_t MaxUnavailable) {
  wire::StepSpec Step = workload::makeStep(Tasks);
  Step.longRunning = true;
  Step.maxUnavailable = MaxUnavailable;
  return Step;
}

using Stops = std::map<std::string, int>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(GuaranteeReclaimTest, ReclaimFixture)

// Guards against a guarantee that is not reclaimed from long-running tasks: a
// guaranteed job waited until their job was cancelled (review/4).
BOOST_AUTO_TEST_CASE(ReclaimsFromLongRunningTasks) {
  const wire::JobRecord &Filler =
      add("filler", "guest", "low", longRunning(16, 0));
  run(Filler, 0, 0, 8);
  run(Filler, 1, 8, 8);
  const wire::JobRecord &Owner =
      add("owner", "owner", "quotes", workload::makeStep(2, 4));
  BOOST_TEST(!stopsFor(Owner, EvictionScope::LessUrgentRuns));
  BOOST_TEST(
      (stopsFor(Owner, EvictionScope::LongRunning) == Stops{{"filler", 8}}));
}

// Guards against a reclaim that takes more tasks of a long-running step than
// its disruption budget allows, summed over workers and with those that are
// away already.
BOOST_AUTO_TEST_CASE(RespectsTheDisruptionBudget) {
  const wire::JobRecord &Filler =
      add("filler", "guest", "low", longRunning(16, 3));
  run(Filler, 0, 0, 8);
  run(Filler, 1, 8, 8);
  const wire::JobRecord &Three =
      add("three", "owner", "quotes", workload::makeStep(3));
  const wire::JobRecord &Four =
      add("four", "owner", "quotes", workload::makeStep(4));
  BOOST_TEST(
      (stopsFor(Three, EvictionScope::LongRunning) == Stops{{"filler", 3}}));
  BOOST_TEST(!stopsFor(Four, EvictionScope::BeyondGuarantee));

  // One task is about to stop, and its room is promised.
  m_Views[0].m_Runs[0].m_Stopping = true;
  BOOST_TEST(!stopsFor(Three, EvictionScope::LongRunning));
  // One task was placed again and has not started.
  m_Views[0].m_Runs[0].m_Stopping = false;
  m_Views[1].m_Runs[0].m_Forecast.m_Started = false;
  BOOST_TEST(!stopsFor(Three, EvictionScope::LongRunning));
}

// Guards against a search that keeps to the disruption budget of one step by
// giving up, although another step can be stopped instead.
BOOST_AUTO_TEST_CASE(TakesFromSeveralLongRunningSteps) {
  const wire::JobRecord &Left = add("left", "guest", "low", longRunning(8, 2));
  const wire::JobRecord &Right =
      add("right", "guest", "low", longRunning(8, 2));
  run(Left, 0, 0, 8);
  run(Right, 1, 0, 8);
  const wire::JobRecord &Owner =
      add("owner", "owner", "quotes", workload::makeStep(4));
  BOOST_TEST((stopsFor(Owner, EvictionScope::LongRunning) ==
              Stops{{"left", 2}, {"right", 2}}));
}

// Guards against a guaranteed job that waits for urgent jobs of a workspace
// that has no guarantee, or uses more than it (review/4, VARIANT=urgent).
BOOST_AUTO_TEST_CASE(ReclaimsFromUrgentRunsBeyondAGuarantee) {
  const wire::JobRecord &Filler =
      add("filler", "guest", "quotes", workload::makeStep(16));
  run(Filler, 0, 0, 8);
  run(Filler, 1, 8, 8);
  const wire::JobRecord &Owner =
      add("owner", "owner", "quotes", workload::makeStep(2, 4));
  BOOST_TEST(!stopsFor(Owner, EvictionScope::LongRunning));
  BOOST_TEST((stopsFor(Owner, EvictionScope::BeyondGuarantee) ==
              Stops{{"filler", 8}}));
}

// Guards against a reclaim that takes what the guarantee of the other workspace
// holds: it may take only the part beyond it.
BOOST_AUTO_TEST_CASE(LeavesAWorkspaceWhatItIsGuaranteed) {
  const wire::JobRecord &Other =
      add("other", "other", "quotes", workload::makeStep(7));
  const wire::JobRecord &Owner =
      add("owner", "owner", "quotes", workload::makeStep(3));
  const wire::JobRecord &More =
      add("more", "owner", "quotes", workload::makeStep(4));
  run(Other, 0, 0, 7);
  m_Views[0].m_Free = wire::ResourceAmounts();
  m_Views[1].m_Free = wire::ResourceAmounts();
  // Seven accelerators are held and four guaranteed.
  BOOST_TEST(
      (stopsFor(Owner, EvictionScope::BeyondGuarantee) == Stops{{"other", 3}}));
  BOOST_TEST(!stopsFor(More, EvictionScope::BeyondGuarantee));
}

// Guards against two guaranteed jobs that stop each other for ever.
BOOST_AUTO_TEST_CASE(GuaranteedJobsDoNotStopEachOther) {
  const wire::JobRecord &Other =
      add("other", "other", "quotes", workload::makeStep(4, 1));
  const wire::JobRecord &Owner =
      add("owner", "owner", "quotes", workload::makeStep(1, 8));
  run(Other, 0, 0, 2);
  run(Other, 1, 2, 2);
  BOOST_TEST(!stopsFor(Owner, EvictionScope::BeyondGuarantee));
}

// Guards against the members of a gang being counted one by one: stopping one
// member frees what all of them hold beyond the guarantee.
BOOST_AUTO_TEST_CASE(StoppingAGangFreesAllItHolds) {
  wire::StepSpec Gang = workload::makeStep(2, 8);
  Gang.gang = true;
  const wire::JobRecord &Whole = add("gang", "guest", "quotes", Gang);
  run(Whole, 0, 0, 1);
  run(Whole, 1, 1, 1);
  const wire::JobRecord &Owner =
      add("owner", "owner", "quotes", workload::makeStep(1, 8));
  BOOST_TEST(
      (stopsFor(Owner, EvictionScope::BeyondGuarantee) == Stops{{"gang", 1}}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bound on the time from the acceptance of a guaranteed job until all tasks of
// its first step have started.
constexpr Duration ReclaimBound = milliseconds(2700);

/// Six workers of eight accelerators that one job of a workspace without a
/// guarantee fills. Jobs of other workspaces come later.
class FullCluster {
public:
  FullCluster(const std::string &FillerQueue, const wire::StepSpec &Filler)
      : m_Cluster(options(), policy(), smallFleet()) {
    add("filler", FillerQueue, "w3", Filler, milliseconds(500), seconds(100));
  }

  /// Adds an urgent job that its workspace's guarantee covers.
  void addGuaranteed(const std::string &Id, const std::string &Workspace,
                     const wire::StepSpec &Step, Duration SubmitAfter) {
    add(Id, "quote", Workspace, Step, SubmitAfter, GuaranteedWork);
    m_Guaranteed.push_back(m_Cluster.results().size() - 1);
  }
  /// Adds an urgent job that no guarantee covers.
  void addUrgent(const std::string &Id, const std::string &Workspace,
                 const wire::StepSpec &Step, Duration SubmitAfter) {
    add(Id, "quote", Workspace, Step, SubmitAfter, GuaranteedWork);
  }
  /// Checks that all tasks of the guaranteed jobs started in time, were not
  /// stopped, and that \p Stops runs of the filler were.
  void check(int Stops) {
    m_Cluster.run(seconds(25));
    BOOST_TEST(m_Cluster.violation() == "");
    for (const size_t I : m_Guaranteed) {
      const JobResult &Result = m_Cluster.results()[I];
      const std::string &Id = Result.m_Plan->m_Id;
      BOOST_TEST((Result.m_Phase == wire::JobPhase::COMPLETED), Id);
      const Duration Wait = Result.m_EndedAt - Result.m_SentAt - GuaranteedWork;
      BOOST_TEST((Wait <= ReclaimBound),
                 Id << " waited " << Wait.count() / 1000 << " ms");
      BOOST_TEST(countStops(Id) == 0);
    }
    BOOST_TEST(countStops("filler") == Stops);
  }

private:
  static constexpr Duration GuaranteedWork = seconds(5);

  static wire::PolicyDocument policy() {
    wire::PolicyDocument Policy = smallPolicy();
    Policy.workspaces[3].guaranteed.accelerators = 0;
    return Policy;
  }
  SimClusterOptions options() {
    SimClusterOptions Options;
    Options.m_Trace = [this](TimePoint, const std::string &Line) {
      m_Lines.push_back(Line);
    };
    return Options;
  }
  void add(const std::string &Id, const std::string &Queue,
           const std::string &Workspace, const wire::StepSpec &Step,
           Duration SubmitAfter, Duration Work) {
    JobPlan Plan = plainJob(Id, Queue, SubmitAfter, Step, Work);
    Plan.m_Workspace = Workspace;
    m_Cluster.add(std::move(Plan));
  }
  long countStops(const std::string &Job) const {
    return std::count_if(
        m_Lines.begin(), m_Lines.end(), [&](const std::string &Line) {
          return Line.find(" stopping " + Job + ".") != std::string::npos;
        });
  }

  std::vector<std::string> m_Lines;
  std::vector<size_t> m_Guaranteed;
  SimCluster m_Cluster;
};

wire::StepSpec lasting(int32_t Tasks) {
  wire::StepSpec Step = plainStep(Tasks, 1);
  Step.longRunning = true;
  return Step;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GuaranteeReclaimInTimeTest)

// Guards against a guaranteed job that never starts in a service that is full
// of long-running tasks (review/4).
BOOST_AUTO_TEST_CASE(StartsAmongLongRunningTasks) {
  FullCluster Cluster("recon", lasting(48));
  Cluster.addGuaranteed("owner", "w0", plainStep(2, 4), seconds(5));
  Cluster.check(8);
}

// Guards against a guaranteed job that waits for the urgent tasks of a
// workspace without a guarantee (review/4, VARIANT=urgent), and against room
// that goes back to the stopped job, so that it is stopped again and again.
BOOST_AUTO_TEST_CASE(StartsAmongUrgentTasksWithoutAGuarantee) {
  FullCluster Cluster("quote", plainStep(48, 1));
  Cluster.addGuaranteed("owner", "w0", plainStep(2, 4), seconds(5));
  Cluster.check(8);
}

// Guards against guaranteed jobs of two workspaces that stop each other when
// they come at once.
BOOST_AUTO_TEST_CASE(TwoGuaranteedJobsStartAtOnce) {
  FullCluster Cluster("quote", plainStep(48, 1));
  Cluster.addGuaranteed("first", "w0", plainStep(2, 8), seconds(5));
  Cluster.addGuaranteed("second", "w1", plainStep(2, 8), seconds(5));
  Cluster.addGuaranteed("third", "w2", plainStep(1, 8), milliseconds(5050));
  Cluster.check(16 + 16 + 8);
}

// Guards against small urgent jobs that take the room that was made for a
// guaranteed one, because they have a higher rank.
BOOST_AUTO_TEST_CASE(KeepsTheRoomThatWasMade) {
  FullCluster Cluster("quote", plainStep(48, 1));
  for (int I = 0; I < 40; ++I)
    Cluster.addUrgent("small-" + std::to_string(I), "w3", plainStep(1, 1),
                      milliseconds(4500));
  Cluster.addGuaranteed("owner", "w0", plainStep(2, 8), seconds(5));
  Cluster.check(16);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
