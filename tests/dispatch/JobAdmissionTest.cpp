#include <algorithm>
#include <list>
#include <set>

#include <boost/test/unit_test.hpp>

#include "dispatch/JobAdmission.h"
#include "workload/WorkloadFixture.h"

namespace anvil::dispatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Now = timePointFromMicros(100'000'000);

/// A service of one worker with eight accelerators, waiting jobs and a new job
/// of one task that takes a second.
class AdmissionFixture {
public:
  AdmissionFixture() {
    m_Worker.info.serviceName = "desk";
    m_Worker.info.capacity = workload::amounts(64000, 64000, 8);
    m_View.m_Record = &m_Worker;
    m_View.m_Usable = true;
    m_View.m_Free = m_Worker.info.capacity;
    m_New.id = "new";
    m_New.queue = "quotes";
    m_New.serviceName = "desk";
    m_New.priority = 1;
    m_New.spec = workload::makeSpec({workload::makeStep(1)});
    m_Urgency.m_CriticalPathLeft = seconds(1);
    m_Urgency.m_LateSlack = seconds(10);
    m_Urgency.m_Rank = 1;
  }

  /// A job that waits or runs.
  struct Other {
    wire::JobRecord m_Job;
    JobUrgency m_Urgency;
    Duration m_Expected{0};
  };
  /// Adds a waiting job of \p Tasks single-accelerator tasks. Jobs are added in
  /// the order of the plan.
  Other &addWaiting(int32_t Priority, double Rank, int32_t Tasks,
                    Duration Expected) {
    Other &Result = m_Waiting.emplace_back();
    Result.m_Job.id = "waiting";
    Result.m_Job.serviceName = "desk";
    Result.m_Job.priority = Priority;
    Result.m_Job.spec = workload::makeSpec({workload::makeStep(Tasks)});
    Result.m_Urgency.m_Rank = Rank;
    Result.m_Urgency.m_LateSlack = seconds(100'000);
    Result.m_Expected = Expected;
    return Result;
  }
  /// Adds jobs that fill the worker, each for ten seconds.
  void addWaitingJobs(int Count, int32_t Priority, double Rank) {
    for (int I = 0; I < Count; ++I)
      addWaiting(Priority, Rank, 8, seconds(10));
  }
  /// Adds a run of a single-accelerator task.
  void addRun(int32_t Priority, TimePoint EndsAt, bool LongRunning = false) {
    Other &Its = m_Running.emplace_back();
    Its.m_Job.priority = Priority;
    Its.m_Job.spec = workload::makeSpec({workload::makeStep(1)});
    Its.m_Job.spec.steps[0].longRunning = LongRunning;
    RunView Run;
    Run.m_Job = &Its.m_Job;
    Run.m_Spec = &Its.m_Job.spec.steps[0];
    Run.m_Amounts = Its.m_Job.spec.steps[0].perTask;
    Run.m_Forecast.m_EndsAt = EndsAt;
    m_View.m_Runs.push_back(Run);
    workload::subtract(m_View.m_Free, Run.m_Amounts);
  }
  void fillWorker(int32_t Priority, Duration EndsIn) {
    for (int I = 0; I < 8; ++I)
      addRun(Priority, Now + EndsIn);
  }

  JobVerdict assess(Duration Age = Duration(0)) {
    Fleet Before({m_View}, Now);
    Backlog Waiting(Before, Now);
    for (const Other &Each : m_Waiting) {
      WaitingStep Step;
      Step.m_Job = &Each.m_Job;
      Step.m_Spec = &Each.m_Job.spec.steps[0];
      for (int32_t I = 0; I < Step.m_Spec->tasks; ++I)
        Step.m_Indexes.push_back(I);
      Step.m_Expected = Each.m_Expected;
      Step.m_LogVariance = 0.2;
      Waiting.add(Step, Each.m_Urgency);
    }
    // The plan has used all room that is not kept free by the test.
    WorkerView After = m_View;
    if (!m_Waiting.empty() && !m_LeavesRoom)
      After.m_Free = wire::ResourceAmounts();
    Waiting.complete(Fleet({After}, Now));
    return JobAdmission(Waiting, m_Times).assess(m_New, m_Urgency, Now + Age);
  }
  bool accepts() { return assess().m_Accepted; }

  wire::WorkerRecord m_Worker;
  WorkerView m_View;
  wire::JobRecord m_New;
  JobUrgency m_Urgency;
  RunTimes m_Times;
  bool m_LeavesRoom = false;
  std::list<Other> m_Waiting;
  std::list<Other> m_Running;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobAdmissionTest, AdmissionFixture)

// Guards against accepting work without limit under a sustained overload.
BOOST_AUTO_TEST_CASE(RefusesAJobBehindAFullBacklog) {
  addWaitingJobs(20, 1, 2);
  const JobVerdict Verdict = assess();
  BOOST_TEST(!Verdict.m_Accepted);
  BOOST_TEST((Verdict.m_ExpectedStart == Now + seconds(190)));
  BOOST_TEST((Verdict.m_ExpectedEnd == Now + seconds(191)));
  BOOST_TEST((Verdict.m_LastUsefulEnd == Now + seconds(11)));
  BOOST_TEST((Verdict.m_RetryAfter >= milliseconds(500)));
}

// Guards against refusing a job that would have started at once, beside work
// that waits for something else.
BOOST_AUTO_TEST_CASE(AcceptsAJobThatFindsRoomNow) {
  addWaitingJobs(20, 1, 2);
  m_LeavesRoom = true;
  BOOST_TEST(accepts());
}

// Guards against accepting jobs because of room that a plan keeps for another
// step.
BOOST_AUTO_TEST_CASE(CountsReservedRoomAsTaken) {
  addWaitingJobs(20, 1, 2);
  m_LeavesRoom = true;
  Reservation Kept;
  Kept.m_Amounts = m_Worker.info.capacity;
  m_View.m_Reservations.push_back(Kept);
  BOOST_TEST(!accepts());
}

// Guards against refusing a job that only has to wait.
BOOST_AUTO_TEST_CASE(AcceptsAJobThatEndsInTime) {
  addWaitingJobs(20, 1, 2);
  m_Urgency.m_LateSlack = seconds(300);
  BOOST_TEST(accepts());
}

// Guards against a refusal that a small error of the run times makes wrong.
BOOST_AUTO_TEST_CASE(AcceptsAJobWithinTheMarginOfTheForecast) {
  addWaitingJobs(20, 1, 2);
  m_Urgency.m_LateSlack = seconds(160);
  BOOST_TEST(accepts());
}

// Guards against a margin that takes the tasks of one job as independent: a
// single wrong estimate then looks like a certain forecast.
BOOST_AUTO_TEST_CASE(IsLessCertainBehindOneLargeJob) {
  m_Urgency.m_LateSlack = seconds(90);
  addWaitingJobs(20, 1, 2);
  BOOST_TEST(!accepts());
  m_Waiting.clear();
  addWaiting(1, 2, 20 * 8, seconds(10));
  BOOST_TEST(accepts());
}

// Guards against refusing urgent jobs because less urgent ones wait.
BOOST_AUTO_TEST_CASE(CountsOnlyWorkOfAtLeastItsPriority) {
  addWaitingJobs(20, 1, 2);
  m_New.priority = 0;
  BOOST_TEST(accepts());
  m_New.priority = 2;
  m_Urgency.m_Rank = 3;
  BOOST_TEST(!accepts());
}

// Guards against refusing the jobs that callers lose most by, and which the
// plan places first.
BOOST_AUTO_TEST_CASE(CountsOnlyWorkOfAtLeastItsRank) {
  addWaitingJobs(20, 1, 2);
  m_Urgency.m_Rank = 3;
  BOOST_TEST(accepts());
}

// Guards against refusing a job for waiting jobs of its priority that will have
// lost their value, and so their rank, before their turn comes.
BOOST_AUTO_TEST_CASE(IgnoresEquallyUrgentJobsThatWillEndTooLate) {
  addWaitingJobs(20, 1, 2);
  for (Other &Each : m_Waiting)
    Each.m_Urgency.m_LateSlack = seconds(5);
  BOOST_TEST(accepts());
  m_New.priority = 2;
  BOOST_TEST(!accepts());
}

// Guards against refusing an urgent job for runs that it can preempt.
BOOST_AUTO_TEST_CASE(CountsNoLessUrgentRunsForTheHighestPriority) {
  fillWorker(1, seconds(1000));
  addWaiting(0, 2, 1, seconds(1));
  m_New.priority = 0;
  BOOST_TEST(accepts());
  m_New.priority = 1;
  BOOST_TEST(!accepts());
}

// Guards against a forecast from the sum of the work alone: four long tasks
// take four places, and the next place becomes free in five seconds.
BOOST_AUTO_TEST_CASE(StartsInTheFirstPlaceThatWaitingWorkLeaves) {
  for (int I = 1; I <= 8; ++I)
    addRun(1, Now + seconds(I));
  addWaiting(1, 2, 4, seconds(1000));
  BOOST_TEST((assess().m_ExpectedStart <= Now + seconds(5)));
  BOOST_TEST(accepts());
}

// Guards against a gang that is larger than the service and so holds up the
// forecast of all jobs behind it.
BOOST_AUTO_TEST_CASE(IgnoresWorkThatNeverFits) {
  fillWorker(1, seconds(1));
  addWaiting(1, 2, 9, seconds(1000)).m_Job.spec.steps[0].gang = true;
  BOOST_TEST(accepts());
}

// Guards against forecasts from runs that last or make no progress.
BOOST_AUTO_TEST_CASE(ExpectsNothingOfRunsWithoutAKnownEnd) {
  for (int I = 0; I < 8; ++I)
    addRun(1, NoKnownEnd, I < 4);
  addWaiting(1, 2, 4, seconds(1000));
  BOOST_TEST((assess().m_ExpectedStart == Now));
  addWaiting(1, 2, 4, seconds(1000));
  BOOST_TEST((assess().m_ExpectedStart == Now + seconds(1000)));
}

// Guards against refusing jobs to which an objective says little.
BOOST_AUTO_TEST_CASE(AcceptsLongRunningRecurringAndLabelledJobs) {
  addWaitingJobs(20, 1, 2);
  const wire::JobRecord Usual = m_New;
  m_New.spec.steps[0].longRunning = true;
  BOOST_TEST(accepts());
  m_New = Usual;
  m_New.spec.repeats = 3;
  BOOST_TEST(accepts());
  m_New = Usual;
  m_New.spec.steps[0].requiredLabel = "kind-a";
  BOOST_TEST(accepts());
}

// Guards against refusing a job, with the advice to return, that would end too
// late on an empty service as well.
BOOST_AUTO_TEST_CASE(AcceptsAJobThatIsTooLongUnderAnyLoad) {
  addWaitingJobs(20, 1, 2);
  m_New.spec.steps[0].tasks = 8 * 100;
  BOOST_TEST(accepts());
}

// Guards against decisions of a leader that has stopped to plan.
BOOST_AUTO_TEST_CASE(RefusesNothingByAnOldBacklog) {
  addWaitingJobs(20, 1, 2);
  BOOST_TEST(!assess(milliseconds(900)).m_Accepted);
  BOOST_TEST(assess(milliseconds(1100)).m_Accepted);
}

// Guards against refusing jobs while all workers of a service are replaced.
BOOST_AUTO_TEST_CASE(RefusesNothingWithoutWorkers) {
  addWaitingJobs(20, 1, 2);
  m_View.m_Draining = true;
  BOOST_TEST(accepts());
}

// Guards against a refusal of the same id that outlives the overload.
BOOST_AUTO_TEST_CASE(AcceptsARefusedJobOnceThereIsRoom) {
  addWaitingJobs(20, 1, 2);
  BOOST_TEST(!accepts());
  m_Waiting.clear();
  BOOST_TEST(accepts());
}

// Guards against refused callers that return together, or hours later.
BOOST_AUTO_TEST_CASE(SpreadsAndBoundsTheRetries) {
  std::set<Duration> Delays;
  for (int I = 0; I < 100; ++I) {
    const std::string Job = std::to_string(1'000'000'000 + I);
    const Duration Delay = retryAfter(seconds(10), Job);
    BOOST_TEST((Delay == retryAfter(seconds(10), Job)));
    BOOST_TEST((Delay >= seconds(5) && Delay < seconds(15)));
    Delays.insert(Delay);
    BOOST_TEST((retryAfter(milliseconds(1), Job) >= milliseconds(500)));
    BOOST_TEST((retryAfter(seconds(100'000), Job) < seconds(45)));
  }
  BOOST_TEST(Delays.size() == 100U);
  BOOST_TEST((*Delays.begin() < seconds(6)));
  BOOST_TEST((*Delays.rbegin() > seconds(14)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal
