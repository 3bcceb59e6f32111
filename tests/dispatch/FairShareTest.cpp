#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>

#include "dispatch/FairShare.h"
#include "dispatch/Planner.h"
#include "dispatch/sim/DeploymentProfile.h"
#include "dispatch/sim/SimCluster.h"
#include "workload/WorkloadFixture.h"

namespace anvil::dispatch::internal {
namespace {

const TimePoint Now = timePointFromMicros(100'000'000);
constexpr int32_t Urgent = 0;
constexpr int32_t Usual = 1;
constexpr int32_t Least = 2;

/// A service of two workers with eight accelerators, 64 cores and 64 GiB each.
/// The workspaces "a" and "b" are guaranteed four accelerators each, "big" is
/// guaranteed twelve, and "guest" nothing.
class ShareFixture : public workload::WorkloadFixture {
public:
  ShareFixture() {
    wire::PolicyDocument Policy = workload::makePolicy(2);
    Policy.workspaces.clear();
    for (const auto &[Name, Guaranteed] : std::map<std::string, int32_t>{
             {"a", 4}, {"b", 4}, {"big", 12}, {"guest", 0}}) {
      wire::WorkspacePolicy Workspace;
      Workspace.name = Name;
      Workspace.keys = {"key-" + Name};
      Workspace.guaranteed.accelerators = Guaranteed;
      Policy.workspaces.push_back(Workspace);
    }
    BOOST_REQUIRE((putPolicy(Policy).status == wire::WorkloadStatus::OK));
    for (size_t I = 0; I < m_Records.size(); ++I) {
      m_Records[I].info.serviceName = "desk";
      m_Records[I].info.capacity = workload::amounts(64000, 64000, 8);
      m_Views[I].m_Record = &m_Records[I];
    }
  }

  /// Adds a run of a workspace.
  void run(const std::string &Workspace, int32_t Priority,
           const wire::ResourceAmounts &Amounts, bool Stopping = false) {
    RunView Run;
    Run.m_Job = &job(Workspace, Priority, Amounts);
    Run.m_Spec = &Run.m_Job->spec.steps[0];
    Run.m_Amounts = Amounts;
    Run.m_Stopping = Stopping;
    m_Views[0].m_Runs.push_back(Run);
  }
  /// Adds a waiting step of \p Tasks tasks of one accelerator. Call in the
  /// order of priority and rank.
  RankedStep &wait(const std::string &Workspace, int32_t Priority, double Rank,
                   int32_t Tasks = 1) {
    RankedStep Step;
    Step.m_Step.m_Job =
        &job(Workspace, Priority, workload::amounts(1000, 0, 1));
    Step.m_Step.m_Spec = &Step.m_Step.m_Job->spec.steps[0];
    Step.m_Step.m_Indexes.resize(static_cast<size_t>(Tasks));
    Step.m_Rank = Rank;
    return m_Steps.emplace_back(std::move(Step));
  }
  /// Returns the order in which the steps come if each starts all its tasks, or
  /// none.
  std::vector<size_t> order(bool Starts = false, bool Enabled = true) {
    const Fleet PlanFleet(m_Views, Now);
    const Guarantees PlanGuarantees(m_State);
    FairShare Shares(PlanFleet, PlanGuarantees, m_Steps, {Enabled});
    std::vector<size_t> Result;
    m_Yielded.clear();
    while (const std::optional<size_t> Next = Shares.next()) {
      Result.push_back(*Next);
      if (Shares.hasYielded(*Next))
        m_Yielded.push_back(*Next);
      if (Starts)
        Shares.addStarted(*Next, static_cast<int32_t>(
                                     m_Steps[*Next].m_Step.m_Indexes.size()));
    }
    return Result;
  }

protected:
  std::vector<RankedStep> m_Steps;
  std::vector<size_t> m_Yielded; ///< By the last order().
  std::vector<wire::WorkerRecord> m_Records{2};
  std::vector<WorkerView> m_Views{2};

private:
  const wire::JobRecord &job(const std::string &Workspace, int32_t Priority,
                             const wire::ResourceAmounts &PerTask) {
    wire::JobRecord &Job = m_Jobs.emplace_back();
    Job.serviceName = "desk";
    Job.workspace = Workspace;
    Job.priority = Priority;
    wire::StepSpec Step;
    Step.tasks = 1;
    Step.perTask = PerTask;
    Job.spec.steps = {Step};
    return Job;
  }

  std::deque<wire::JobRecord> m_Jobs;
};

using Order = std::vector<size_t>;

wire::ResourceAmounts accelerators(int32_t Count) {
  return workload::amounts(1000, 0, Count);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(FairShareTest, ShareFixture)

// Guards against a workspace that uses most of the service and still goes
// before one that uses nothing.
BOOST_AUTO_TEST_CASE(AWorkspaceBeyondItsPartYields) {
  run("a", Usual, accelerators(12));
  wait("a", Usual, 1);
  wait("b", Usual, 0.8);
  BOOST_TEST((order() == Order{1, 0}));
  BOOST_TEST(m_Yielded.empty());
  BOOST_TEST((order(true) == Order{1, 0}));
  BOOST_TEST((m_Yielded == Order{0}));
}

// Guards against an order that differs although nobody uses more than a fair
// part.
BOOST_AUTO_TEST_CASE(KeepsTheOrderIfNobodyIsBeyondItsPart) {
  run("a", Usual, accelerators(8));
  run("b", Usual, accelerators(2));
  wait("a", Usual, 1);
  wait("b", Usual, 1);
  wait("a", Usual, 1);
  wait("b", Usual, 0.999);
  BOOST_TEST((order() == Order{0, 1, 2, 3}));
}

// Guards against a single workspace whose jobs with and without slack change
// places, although there is nobody to yield to. Other workspaces have only runs
// or wait at other priorities.
BOOST_AUTO_TEST_CASE(KeepsTheOrderOfASingleWorkspace) {
  run("a", Usual, accelerators(14));
  run("b", Usual, accelerators(2));
  wait("b", Urgent, 1);
  wait("a", Usual, 1);
  wait("a", Usual, 0.9).m_KeepsRank = true;
  wait("a", Usual, 0.8);
  wait("b", Least, 1);
  BOOST_TEST((order(true) == Order{0, 1, 2, 3, 4}));
  BOOST_TEST(m_Yielded.empty());
}

// Guards against fairness that outweighs any urgency.
BOOST_AUTO_TEST_CASE(TheDiscountIsBounded) {
  run("a", Usual, accelerators(16));
  run("b", Usual, workload::amounts(0, 0, 0));
  wait("a", Usual, 1);
  wait("b", Usual, 0.2);
  BOOST_TEST((order() == Order{0, 1}));
}

// Guards against fairness that delays a job past its latest start.
BOOST_AUTO_TEST_CASE(AJobWithoutSlackIsOrderedByItsRank) {
  run("a", Usual, accelerators(12));
  wait("a", Usual, 1).m_KeepsRank = true;
  wait("a", Usual, 0.95);
  wait("b", Usual, 0.9);
  BOOST_TEST((order() == Order{0, 2, 1}));
}

// Guards against less urgent jobs that go first because their workspace uses
// little.
BOOST_AUTO_TEST_CASE(ThePriorityComesFirst) {
  run("a", Usual, accelerators(16));
  wait("a", Usual, 0.1);
  wait("b", Least, 1);
  BOOST_TEST((order() == Order{0, 1}));
}

// Guards against a workspace that fills the memory and counts as using
// nothing, since it holds no accelerators.
BOOST_AUTO_TEST_CASE(TheLargestShareOfAResourceCounts) {
  run("a", Usual, workload::amounts(1000, 110'000, 0));
  run("b", Usual, accelerators(7));
  wait("a", Usual, 1);
  wait("b", Usual, 0.9);
  BOOST_TEST((order() == Order{1, 0}));
}

// Guards against a workspace that yields because of runs that its guarantee
// covers, and against a guarantee that covers runs of other priorities.
BOOST_AUTO_TEST_CASE(RunsWithinTheGuaranteeDoNotCount) {
  wait("big", Usual, 1);
  wait("a", Usual, 0.9);
  run("big", Urgent, accelerators(12));
  BOOST_TEST((order() == Order{0, 1}));
  // Twelve of these 16 accelerators are covered. Of the quarter of the service
  // that is left, the workspace may use three quarters.
  run("big", Urgent, accelerators(4));
  BOOST_TEST((order() == Order{1, 0}));
}

// Guards against runs that are about to end and still count.
BOOST_AUTO_TEST_CASE(StoppingRunsDoNotCount) {
  run("a", Usual, accelerators(12), true);
  wait("a", Usual, 1);
  wait("b", Usual, 0.9);
  BOOST_TEST((order() == Order{0, 1}));
}

// Guards against equal parts for unequal guarantees: "big" may use three times
// as much as "a".
BOOST_AUTO_TEST_CASE(TheGuaranteeIsTheWeight) {
  run("big", Usual, accelerators(11));
  run("a", Usual, accelerators(3));
  wait("big", Usual, 1);
  wait("a", Usual, 0.95);
  BOOST_TEST((order() == Order{0, 1}));
  run("big", Usual, accelerators(2));
  BOOST_TEST((order() == Order{1, 0}));
}

// Guards against a workspace without a guarantee that is left out or has the
// weight of a large one: its weight is the smallest of the others.
BOOST_AUTO_TEST_CASE(AWorkspaceWithoutAGuaranteeHasTheSmallestWeight) {
  run("guest", Usual, accelerators(8));
  wait("guest", Usual, 1);
  wait("a", Usual, 0.95);
  BOOST_TEST((order() == Order{0, 1}));
  run("guest", Usual, accelerators(1));
  BOOST_TEST((order() == Order{1, 0}));
}

// Guards against a burst that takes a whole service that became free at once:
// the shares must count what the plan itself starts.
BOOST_AUTO_TEST_CASE(CountsWhatThePlanStarts) {
  wait("a", Usual, 1, 10);
  wait("a", Usual, 0.99, 2);
  wait("a", Usual, 0.98, 2);
  wait("b", Usual, 0.9, 2);
  BOOST_TEST((order(false) == Order{0, 1, 2, 3}));
  BOOST_TEST((order(true) == Order{0, 3, 1, 2}));
  BOOST_TEST((m_Yielded == Order{1, 2}));
}

// Guards against a switch that leaves some of the effect.
BOOST_AUTO_TEST_CASE(KeepsTheOrderIfItIsSwitchedOff) {
  run("a", Usual, accelerators(12));
  wait("a", Usual, 1);
  wait("b", Usual, 0.8);
  BOOST_TEST((order(true, false) == Order{0, 1}));
  BOOST_TEST(m_Yielded.empty());
}

// Guards against a guaranteed job that goes after others because less urgent
// runs of its workspace fill the service.
BOOST_AUTO_TEST_CASE(AGuaranteedJobIsOrderedByItsRank) {
  run("a", Usual, accelerators(8));
  run("a", Usual, accelerators(6));
  m_Views[1].m_Usable = true;
  m_Views[1].m_Free = workload::amounts(64000, 64000, 2);
  // Equal jobs have the same rank, and the first one goes first.
  for (const std::string Workspace : {"a", "guest"}) {
    wire::SubmitWorkload Submit;
    Submit.jobId = "of-" + Workspace;
    Submit.queue = "quotes";
    Submit.workspace = Workspace;
    Submit.spec = workload::makeSpec({workload::makeStep(1, 2)});
    wire::WorkloadCommand Command;
    Command.__set_submit(Submit);
    BOOST_REQUIRE((apply(Command).status == wire::WorkloadStatus::OK));
  }
  RunTimes Times;
  WorkerHealth Health;
  const RunTracker Tracker(Times, Health);
  JobRank Rank(Times);
  Rank.update(m_State, Now);
  std::vector<WaitingStep> Steps;
  for (const std::string Id : {"of-a", "of-guest"}) {
    WaitingStep &Step = Steps.emplace_back();
    Step.m_Job = m_State.job(Id);
    Step.m_Spec = &Step.m_Job->spec.steps[0];
    Step.m_Record = &Step.m_Job->occurrences.begin()->second.steps[0];
    Step.m_Indexes = {0};
    Step.m_Expected = std::chrono::seconds(1);
  }
  Fleet PlanFleet(m_Views, Now);
  const DispatchOptions Options;
  Planner Plan(m_State, PlanFleet, Options, Tracker, Rank, true, Now);
  Backlog Waiting(PlanFleet, Now);
  Plan.placeAll(std::move(Steps), Waiting);
  const std::vector<wire::WorkloadCommand> Commands = Plan.takeCommands();
  BOOST_REQUIRE(!Commands.empty());
  BOOST_TEST(Commands.front().startRuns.jobId == "of-a");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal

namespace anvil::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Result of a workspace that sends two jobs after another one has sent 60.
struct Competition {
  Duration m_LongestWait{0};           ///< Of the two jobs.
  std::map<std::string, int> m_Yields; ///< By job.
};

Competition compete(bool FairShare) {
  Competition Result;
  SimClusterOptions Options;
  Options.m_FairShare = FairShare;
  Options.m_OnShareYielded = [&](const dispatch::ShareYield &Each) {
    BOOST_TEST(Each.m_Workspace == "w0");
    BOOST_TEST(Each.m_Share > Each.m_Part);
    ++Result.m_Yields[Each.m_Job];
  };
  SimCluster Cluster(Options, smallPolicy(), smallFleet());
  for (int I = 0; I < 60; ++I)
    Cluster.add(plainJob("many-" + std::to_string(I), "batch",
                         milliseconds(500 + 10 * I), plainStep(1, 4),
                         seconds(4)));
  for (int I = 0; I < 2; ++I) {
    JobPlan Plan = plainJob("few-" + std::to_string(I), "batch", seconds(2),
                            plainStep(2, 4), seconds(4));
    Plan.m_Workspace = "w1";
    Cluster.add(std::move(Plan));
  }
  Cluster.run(seconds(60));
  BOOST_TEST(Cluster.violation() == "");
  for (const JobResult &Each : Cluster.results()) {
    BOOST_TEST((Each.m_Phase == wire::JobPhase::COMPLETED));
    if (Each.m_Plan->m_Workspace == "w1")
      Result.m_LongestWait =
          std::max(Result.m_LongestWait, Each.m_FirstStartAt - Each.m_SentAt);
  }
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairShareInAPlanTest)

// Guards against a workspace that waits behind all jobs of another one that
// sent more than the service can do, and against a log line for a job in every
// plan.
BOOST_AUTO_TEST_CASE(AWorkspaceDoesNotWaitBehindTheBurstOfAnother) {
  const Competition Before = compete(false);
  const Competition After = compete(true);
  BOOST_TEST(Before.m_Yields.empty());
  BOOST_TEST(!After.m_Yields.empty());
  for (const auto &[Job, Count] : After.m_Yields)
    BOOST_TEST(Count == 1, Job);
  // The twelve running jobs of the first workspace end within their own time.
  BOOST_TEST((After.m_LongestWait <= seconds(5)));
  BOOST_TEST((After.m_LongestWait < Before.m_LongestWait),
             After.m_LongestWait.count() / 1000
                 << " ms, without fair share "
                 << Before.m_LongestWait.count() / 1000 << " ms");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::sim
