#include <optional>

#include <boost/test/unit_test.hpp>

#include "anvil/dispatch/Dispatcher.h"
#include "workload/WorkloadFixture.h"

namespace anvil::dispatch {
namespace {

using std::chrono::seconds;

const TimePoint Start = timePointFromMicros(100'000'000);
// The leader no longer waits for agents that have not synced.
const TimePoint Settled = Start + seconds(2);

/// A leader with one worker, on which nothing starts since its agent is silent,
/// and two queues of the highest priority: quotes and long batches.
class AssessFixture : public workload::WorkloadFixture {
public:
  AssessFixture() : m_Sessions(SessionOptions()) {
    putPolicyWithGuarantee(0);
    addWorker("w-1");
    m_Sessions.reset(Start);
    makeDispatcher(DispatchOptions());
  }

  void putPolicyWithGuarantee(int32_t Accelerators) {
    wire::PolicyDocument Policy =
        workload::makePolicy(m_State.policy().version + 1);
    wire::QueuePolicy Batch = Policy.queues.front();
    Batch.name = "batch";
    Batch.pathPrefix = "/batch/";
    Batch.slackFactor = 1;
    Batch.latencyTargetMs = 0;
    Policy.queues.push_back(Batch);
    Policy.workspaces.front().guaranteed.accelerators = Accelerators;
    putPolicy(Policy);
  }
  void makeDispatcher(const DispatchOptions &Options) {
    m_Dispatcher.emplace(Options);
    m_Dispatcher->reset(Start);
  }
  /// Hands in batches of another workspace that take 300 s in total.
  void addBatches() {
    for (int I = 0; I < 24; ++I)
      addBatch("batch-" + std::to_string(I), "other", 1);
  }
  /// Hands in a batch of one task.
  void addBatch(const std::string &Id, const std::string &Workspace,
                int32_t Accelerators) {
    wire::SubmitWorkload Submit;
    Submit.jobId = Id;
    Submit.queue = "batch";
    Submit.workspace = Workspace;
    Submit.spec = workload::makeSpec({workload::makeStep(1, Accelerators)});
    Submit.spec.steps[0].estimateMs = 100'000;
    wire::WorkloadCommand Command;
    Command.__set_submit(Submit);
    apply(Command);
  }
  void plan(TimePoint Now) { m_Dispatcher->plan(m_State, m_Sessions, Now); }
  /// Assesses a quote of one task that takes a second.
  JobVerdict assess(TimePoint Now) const {
    wire::SubmitWorkload Submit;
    Submit.jobId = "new";
    Submit.workspace = "team";
    Submit.spec = workload::makeSpec({workload::makeStep(1)});
    return m_Dispatcher->assess(workload::WorkloadState::makeRecord(
                                    Submit, m_State.policy().queues.front()),
                                m_State, m_Sessions, Now);
  }

private:
  WorkerSessions m_Sessions;
  std::optional<Dispatcher> m_Dispatcher;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AssessTest, AssessFixture)

// Guards against a verdict that is made from other times than those of the job:
// its objective is 1.5 times its second of work, and 250 ms.
BOOST_AUTO_TEST_CASE(RefusesAJobThatCannotEndWithinThreeObjectives) {
  addBatches();
  plan(Settled);
  const JobVerdict Verdict = assess(Settled);
  BOOST_TEST(!Verdict.m_Accepted);
  BOOST_TEST((Verdict.m_LastUsefulEnd ==
              Settled + std::chrono::milliseconds(3 * 1750)));
  BOOST_TEST((Verdict.m_ExpectedEnd > Settled + seconds(100)));
}

// Guards against refusing while nothing waits.
BOOST_AUTO_TEST_CASE(AcceptsAJobWithoutABacklog) {
  plan(Settled);
  BOOST_TEST(assess(Settled).m_Accepted);
}

// Guards against refusing a job to which its workspace's guarantee gives room,
// whatever else waits.
BOOST_AUTO_TEST_CASE(NeverRefusesAGuaranteedJob) {
  addBatches();
  putPolicyWithGuarantee(8);
  plan(Settled);
  BOOST_TEST(assess(Settled).m_Accepted);
}

// Guards against a workspace that is never refused, however far it is beyond
// its guarantee.
BOOST_AUTO_TEST_CASE(RefusesAJobBeyondTheGuarantee) {
  addBatches();
  putPolicyWithGuarantee(8);
  addBatch("holder", "team", 8);
  plan(Settled);
  BOOST_TEST(!assess(Settled).m_Accepted);
}

// Guards against refusals by a new leader that does not know yet what runs
// where.
BOOST_AUTO_TEST_CASE(RefusesNothingBeforeAllWorkersAreKnown) {
  addBatches();
  BOOST_TEST(assess(Start).m_Accepted);
  plan(Start);
  BOOST_TEST(assess(Start).m_Accepted);
}

// Guards against refusals from the backlog of an earlier leadership.
BOOST_AUTO_TEST_CASE(ForgetsTheBacklogWhenLeadershipBegins) {
  addBatches();
  plan(Settled);
  BOOST_TEST(!assess(Settled).m_Accepted);
  makeDispatcher(DispatchOptions());
  BOOST_TEST(assess(Settled).m_Accepted);
}

// Guards against refusals although operators switched them off.
BOOST_AUTO_TEST_CASE(RefusesNothingIfSwitchedOff) {
  DispatchOptions Options;
  Options.m_RefuseLateJobs = false;
  makeDispatcher(Options);
  addBatches();
  plan(Settled);
  BOOST_TEST(assess(Settled).m_Accepted);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch
