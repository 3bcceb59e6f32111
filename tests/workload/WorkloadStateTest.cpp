#include <boost/test/unit_test.hpp>

#include "WorkloadFixture.h"
#include "anvil/net/WireCodec.h"

namespace anvil::workload {
namespace {

using wire::JobPhase;
using wire::RunEndKind;
using wire::TaskPhase;
using wire::WorkloadStatus;

BOOST_FIXTURE_TEST_SUITE(WorkloadStateTest, WorkloadFixture)

// ---- jobs ----

// Guards against a resent submission that creates a second job, also after the
// first one has ended.
BOOST_AUTO_TEST_CASE(TakesAResentSubmissionAsTheSameJob) {
  addWorker("w");
  BOOST_TEST(submit("j", makeSpec({makeStep(1)})).status == WorkloadStatus::OK);
  BOOST_TEST(submit("j", makeSpec({makeStep(5)})).status ==
             WorkloadStatus::UNCHANGED);
  BOOST_TEST(m_State.job("j")->spec.steps[0].tasks == 1);
  start("j", 0, {{0, incarnation("w")}});
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(submit("j", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::UNCHANGED);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
}

// Guards against storing a job with an unknown queue or an invalid spec.
BOOST_AUTO_TEST_CASE(RefusesInvalidSubmissions) {
  wire::SubmitWorkload Submit;
  Submit.jobId = "j";
  Submit.queue = "unknown";
  Submit.spec = makeSpec({makeStep(1)});
  wire::WorkloadCommand Command;
  Command.__set_submit(Submit);
  BOOST_TEST(apply(Command).status == WorkloadStatus::NO_QUEUE);
  BOOST_TEST(submit("j", makeSpec({})).status == WorkloadStatus::INVALID);
  wire::StepSpec Loop = makeStep(1);
  Loop.dependsOn = {0};
  BOOST_TEST(submit("j", makeSpec({Loop})).status == WorkloadStatus::INVALID);
  BOOST_TEST(m_State.job("j") == nullptr);
}

// Guards against state that grows without bound.
BOOST_AUTO_TEST_CASE(RefusesJobsBeyondItsLimit) {
  WorkloadLimits Limits;
  Limits.m_MaxLiveJobs = 1;
  m_State = WorkloadState(Limits);
  m_Index = 0;
  putPolicy(makePolicy(1));
  BOOST_TEST(submit("a", makeSpec({makeStep(1)})).status == WorkloadStatus::OK);
  BOOST_TEST(submit("b", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::OVERLOADED);
  BOOST_TEST(m_State.job("b") == nullptr);
}

// Guards against a step that starts before the steps that it depends on.
BOOST_AUTO_TEST_CASE(StartsAStepOnlyAfterThoseItDependsOn) {
  addWorker("w");
  wire::StepSpec Second = makeStep(1);
  Second.dependsOn = {0};
  submit("j", makeSpec({makeStep(2), Second}));
  BOOST_TEST(start("j", 1, {{0, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  start("j", 0, {{0, incarnation("w")}, {1, incarnation("w")}});
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(start("j", 1, {{0, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  end(incarnation("w"), taskRef("j", 0, 1), 1, RunEndKind::DONE);
  BOOST_TEST(start("j", 1, {{0, incarnation("w")}}).status ==
             WorkloadStatus::OK);
  end(incarnation("w"), taskRef("j", 1, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against a job that fails before or after its last attempt.
BOOST_AUTO_TEST_CASE(FailsAJobAfterTheLastAttempt) {
  addWorker("w");
  submit("j", makeSpec({makeStep(2)}));
  start("j", 0, {{0, incarnation("w")}, {1, incarnation("w")}});
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::FAILED);
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
  start("j", 0, {{0, incarnation("w")}});
  end(incarnation("w"), taskRef("j", 0, 0), 2, RunEndKind::FAILED);
  BOOST_TEST(phase("j") == JobPhase::FAILED);
  // The remaining run is stopped, and the job holds its resources until then.
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::STOPPING);
  end(incarnation("w"), taskRef("j", 0, 1), 1, RunEndKind::STOPPED);
  BOOST_TEST(m_State.liveJobs().empty());
  BOOST_TEST(phase("j") == JobPhase::FAILED);
}

// Guards against stops, losses and refused starts using up attempts.
BOOST_AUTO_TEST_CASE(CountsOnlyFailuresAsAttempts) {
  addWorker("w");
  submit("j", makeSpec({makeStep(1)}));
  int64_t Run = 0;
  for (const RunEndKind::type Kind :
       {RunEndKind::STOPPED, RunEndKind::LEASE_EXPIRED, RunEndKind::NOT_STARTED,
        RunEndKind::WORKER_LOST, RunEndKind::STOPPED}) {
    start("j", 0, {{0, incarnation("w")}});
    end(incarnation("w"), taskRef("j", 0, 0), ++Run, Kind);
  }
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
  BOOST_TEST(task("j", 0, 0).failures == 0);
}

// Guards against running a job whose cancelling was acknowledged while its
// submission was held up on the way here.
BOOST_AUTO_TEST_CASE(RefusesAJobThatWasCancelledBeforeItWasHandedIn) {
  BOOST_TEST(cancelAt("/q/", "team", "j").status == WorkloadStatus::NO_JOB);
  BOOST_TEST(!m_State.job("j"));
  BOOST_TEST(submitAt("/q/", "j", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::NO_JOB);
  BOOST_TEST(m_State.liveJobs().empty());
  BOOST_TEST(!m_State.job("j"));

  // The mark is part of the state that a restart reads.
  auto Restored = WorkloadState::restore(m_State.snapshot(), WorkloadLimits());
  BOOST_REQUIRE(Restored.ok());
  m_State = *std::move(Restored);
  BOOST_TEST(submitAt("/q/", "j", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::NO_JOB);
}

// Guards against a caller that keeps others from handing in their jobs.
BOOST_AUTO_TEST_CASE(RefusesNoJobThatAnotherWorkspaceCancelledFirst) {
  cancelAt("/q/", "others", "j");
  cancelAt("/batch/", "team", "k");
  for (const char *Job : {"j", "k"}) {
    BOOST_TEST(submitAt("/q/", Job, makeSpec({makeStep(1)})).status ==
               WorkloadStatus::OK);
    BOOST_TEST(phase(Job) == JobPhase::QUEUED);
  }
  BOOST_TEST(cancelAt("/q/", "others", "j").status == WorkloadStatus::NO_JOB);
  BOOST_TEST(phase("j") == JobPhase::QUEUED);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against a state that grows with each cancellation of an unknown job.
BOOST_AUTO_TEST_CASE(ForgetsTheOldestOfManyCancellations) {
  WorkloadLimits Limits;
  Limits.m_MaxEndedJobs = 3;
  m_State = WorkloadState(Limits);
  m_Index = 0;
  putPolicy(makePolicy(1));
  for (const char *Job : {"a", "b", "c", "d"})
    cancelAt("/q/", "team", Job);
  BOOST_TEST(submitAt("/q/", "a", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::OK);
  BOOST_TEST(submitAt("/q/", "b", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::NO_JOB);
}

// Guards against losing sight of accepted jobs after a version removed their
// queue and another one added it again under a new name.
BOOST_AUTO_TEST_CASE(KeepsJobsAtTheirAddressWhenTheQueueIsAddedAgain) {
  submitAt("/q/", "j", makeSpec({makeStep(1)}));
  wire::PolicyDocument Policy = makePolicy(2);
  Policy.queues.clear();
  putPolicy(Policy);
  BOOST_TEST(m_State.pendingByQueue().empty());
  Policy = makePolicy(3);
  Policy.queues.front().name = "offers";
  putPolicy(Policy);
  BOOST_TEST(m_State.pendingByQueue().at("offers") == 1);
  BOOST_TEST(cancelAt("/q/", "team", "j").status == WorkloadStatus::OK);
  BOOST_TEST(phase("j") == JobPhase::CANCELLED);
}

// Guards against refusing a job because its queue got another name between its
// admission and its entry in the log, and against taking one without a key.
BOOST_AUTO_TEST_CASE(SelectsTheQueueByTheAddressOfTheJob) {
  wire::PolicyDocument Policy = makePolicy(2);
  Policy.queues.front().name = "offers";
  putPolicy(Policy);
  BOOST_TEST(submitAt("/q/", "j", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::OK);
  BOOST_TEST(m_State.job("j")->queue == "offers");
  BOOST_TEST(submitAt("/x/", "k", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::NO_QUEUE);
  wire::SubmitWorkload Submit;
  Submit.jobId = "l";
  Submit.__set_address(jobAddressOf("quotes.example", "/q/"));
  Submit.spec = makeSpec({makeStep(1)});
  wire::WorkloadCommand Command;
  Command.__set_submit(Submit);
  BOOST_TEST(apply(Command).status == WorkloadStatus::UNAUTHORIZED);
}

// Guards against a job in a snapshot of an earlier version, which only names
// the queue, that nobody finds after the upgrade.
BOOST_AUTO_TEST_CASE(FindsTheAddressOfAJobThatOnlyNamesItsQueue) {
  submit("j", makeSpec({makeStep(1)}));
  const auto Stored = net::decodeAs<wire::WorkloadSnapshot>(m_State.snapshot());
  BOOST_REQUIRE(Stored.ok());
  wire::WorkloadSnapshot Earlier = *Stored;
  Earlier.jobs.front().address = wire::JobAddress();
  auto Restored =
      WorkloadState::restore(net::encodeStruct(Earlier), WorkloadLimits());
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST((Restored->job("j")->address == m_State.job("j")->address));
  BOOST_TEST(Restored->pendingByQueue().at("quotes") == 1);
}

// Guards against a cancelled job that starts again or is shown in another
// phase.
BOOST_AUTO_TEST_CASE(StopsACancelledJob) {
  addWorker("w");
  submit("j", makeSpec({makeStep(2)}));
  start("j", 0, {{0, incarnation("w")}});
  BOOST_TEST(cancel("j").status == WorkloadStatus::OK);
  BOOST_TEST(cancel("j").status == WorkloadStatus::UNCHANGED);
  BOOST_TEST(cancel("other").status == WorkloadStatus::NO_JOB);
  BOOST_TEST(start("j", 0, {{1, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  const std::vector<WantedRun> Wanted = m_State.wantedRuns(incarnation("w"));
  BOOST_REQUIRE(Wanted.size() == 1);
  BOOST_TEST(Wanted[0].m_Stop);
  // A success that was already in flight does not make it a completed job.
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::CANCELLED);
  BOOST_TEST(m_State.workers().at("w").used.accelerators == 0);
}

// Guards against a wrong count of the jobs that wait to start.
BOOST_AUTO_TEST_CASE(CountsJobsOfWhichNothingStarted) {
  addWorker("w");
  submit("a", makeSpec({makeStep(1)}));
  submit("b", makeSpec({makeStep(1)}));
  submit("c", makeSpec({makeStep(1)}));
  BOOST_TEST(m_State.pendingByQueue().at("quotes") == 3);
  start("a", 0, {{0, incarnation("w")}});
  cancel("b");
  BOOST_TEST(m_State.pendingByQueue().at("quotes") == 1);
}

// Guards against a repeated job that runs too often, too rarely or never ends.
BOOST_AUTO_TEST_CASE(RunsARepeatedJobOnceForEachOccurrence) {
  addWorker("w");
  wire::WorkloadSpec Spec = makeSpec({makeStep(1)});
  Spec.repeats = 2;
  Spec.intervalMs = 1000;
  submit("j", Spec);
  BOOST_TEST(start("j", 0, {{0, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  for (int32_t Number : {0, 1}) {
    wire::OpenOccurrence Open;
    Open.jobId = "j";
    Open.occurrence = Number;
    wire::WorkloadCommand Command;
    Command.__set_openOccurrence(Open);
    BOOST_TEST(apply(Command).status == WorkloadStatus::OK);
    BOOST_TEST(apply(Command).status == WorkloadStatus::UNCHANGED);
    wire::StartRuns Start;
    Start.jobId = "j";
    Start.occurrence = Number;
    wire::RunPlacement Placement;
    Placement.worker = incarnation("w");
    Start.placements.push_back(Placement);
    wire::WorkloadCommand Begin;
    Begin.__set_startRuns(Start);
    BOOST_TEST(apply(Begin).status == WorkloadStatus::OK);
    wire::TaskRef Ref = taskRef("j", 0, 0);
    Ref.occurrence = Number;
    end(incarnation("w"), Ref, 1, RunEndKind::DONE);
  }
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
}

// ---- gangs ----

// Guards against starting only some members of a gang.
BOOST_AUTO_TEST_CASE(StartsAGangWholeOrNotAtAll) {
  addWorker("w");
  wire::StepSpec Gang = makeStep(2);
  Gang.gang = true;
  submit("j", makeSpec({Gang}));
  BOOST_TEST(start("j", 0, {{0, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  BOOST_TEST(
      start("j", 0, {{0, incarnation("w")}, {0, incarnation("w")}}).status ==
      WorkloadStatus::INVALID);
  BOOST_TEST(
      start("j", 0, {{0, incarnation("w")}, {1, incarnation("gone")}}).status ==
      WorkloadStatus::INVALID);
  BOOST_TEST(m_State.workers().at("w").used.accelerators == 0);
  BOOST_TEST(
      start("j", 0, {{0, incarnation("w")}, {1, incarnation("w")}}).status ==
      WorkloadStatus::OK);
}

// Guards against a gang of which one member is done and the others run again.
BOOST_AUTO_TEST_CASE(EndsAGangByTheReportOfOneMember) {
  addWorker("w");
  addWorker("v");
  wire::StepSpec Gang = makeStep(2);
  Gang.gang = true;
  submit("j", makeSpec({Gang}));
  start("j", 0, {{0, incarnation("w")}, {1, incarnation("v")}});
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.workers().at("v").used.accelerators == 0);
  BOOST_TEST(
      end(incarnation("v"), taskRef("j", 0, 1), 1, RunEndKind::DONE).status ==
      WorkloadStatus::OK);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against one gang with members of different runs, and against counting
// a failure of the gang once for each member.
BOOST_AUTO_TEST_CASE(RestartsAGangWithOneHigherRunNumber) {
  addWorker("w");
  wire::StepSpec Gang = makeStep(3);
  Gang.gang = true;
  submit("j", makeSpec({Gang}));
  const std::vector<std::pair<int32_t, wire::WorkerIncarnation>> All = {
      {0, incarnation("w")}, {1, incarnation("w")}, {2, incarnation("w")}};
  start("j", 0, All);
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::FAILED, "half");
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::STOPPING);
  BOOST_TEST(start("j", 0, All).status == WorkloadStatus::INVALID);
  end(incarnation("w"), taskRef("j", 0, 1), 1, RunEndKind::FAILED);
  end(incarnation("w"), taskRef("j", 0, 2), 1, RunEndKind::GANG_BROKEN);
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
  BOOST_TEST(start("j", 0, All).status == WorkloadStatus::OK);
  for (int32_t I : {0, 1, 2}) {
    BOOST_TEST(task("j", 0, I).run == 2);
    BOOST_TEST(task("j", 0, I).checkpoint == "half");
  }
}

// ---- runs and workers ----

// Guards against a late report of an earlier run that ends a newer run.
BOOST_AUTO_TEST_CASE(IgnoresLateReports) {
  addWorker("w");
  addWorker("v");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, incarnation("w")}});
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::STOPPED);
  start("j", 0, {{0, incarnation("v")}});
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  end(incarnation("w"), taskRef("j", 0, 0), 2, RunEndKind::DONE);
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::PLACED);
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
}

// Guards against repeating a lost run whose success is reported late. In a
// fault-injection run a task had ended behind a partition that outlasted its
// lease, and the next step waited while the task ran a second time.
BOOST_AUTO_TEST_CASE(AcceptsALateSuccessOfALostRun) {
  addWorker("w");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, incarnation("w")}});
  lose(incarnation("w"));
  addWorker("w", 1);
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against two runs at a time: after a late success, the second run must
// end before the next step may start, and however it ends, the task is done.
BOOST_AUTO_TEST_CASE(StopsTheSecondRunAfterALateSuccess) {
  for (const RunEndKind::type Kind :
       {RunEndKind::STOPPED, RunEndKind::FAILED, RunEndKind::DONE}) {
    WorkloadFixture Fixture;
    Fixture.addWorker("w");
    Fixture.addWorker("v");
    wire::StepSpec Second = makeStep(1);
    Second.dependsOn = {0};
    Fixture.submit("j", makeSpec({makeStep(1), Second}));
    Fixture.start("j", 0, {{0, incarnation("w")}});
    Fixture.lose(incarnation("w"));
    Fixture.start("j", 0, {{0, incarnation("v")}});
    Fixture.end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
    BOOST_TEST(Fixture.task("j", 0, 0).phase == TaskPhase::STOPPING);
    BOOST_TEST(Fixture.m_State.workers().at("v").used.accelerators == 1);
    BOOST_TEST(Fixture.start("j", 1, {{0, incarnation("v")}}).status ==
               WorkloadStatus::INVALID);
    Fixture.end(incarnation("v"), taskRef("j", 0, 0), 2, Kind);
    BOOST_TEST(Fixture.task("j", 0, 0).phase == TaskPhase::DONE);
    BOOST_TEST(Fixture.task("j", 0, 0).failures == 0);
    BOOST_TEST(Fixture.start("j", 1, {{0, incarnation("v")}}).status ==
               WorkloadStatus::OK);
    BOOST_TEST(Fixture.m_State.findViolation() == "");
  }
}

// Guards against repeating a gang that had succeeded: the late report of one
// member stands for all.
BOOST_AUTO_TEST_CASE(AcceptsALateSuccessOfAGang) {
  addWorker("w");
  addWorker("v");
  wire::StepSpec Gang = makeStep(2);
  Gang.gang = true;
  submit("j", makeSpec({Gang}));
  start("j", 0, {{0, incarnation("w")}, {1, incarnation("v")}});
  lose(incarnation("w"));
  end(incarnation("v"), taskRef("j", 0, 1), 1, RunEndKind::STOPPED);
  start("j", 0, {{0, incarnation("v")}, {1, incarnation("v")}});
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::STOPPING);
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::STOPPING);
  end(incarnation("v"), taskRef("j", 0, 0), 2, RunEndKind::STOPPED);
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
  end(incarnation("v"), taskRef("j", 0, 1), 2, RunEndKind::STOPPED);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against a late success that revives a cancelled job.
BOOST_AUTO_TEST_CASE(IgnoresALateSuccessOfACancelledJob) {
  addWorker("w");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, incarnation("w")}});
  lose(incarnation("w"));
  cancel("j");
  end(incarnation("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::CANCELLED);
}

// Guards against a worker that gets more tasks than its capacity, labels, zone
// or the step's limit allow.
BOOST_AUTO_TEST_CASE(ChecksPlacementsAgain) {
  addWorker("w");
  submit("big", makeSpec({makeStep(1, 9)}));
  BOOST_TEST(start("big", 0, {{0, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  wire::StepSpec Labelled = makeStep(1);
  Labelled.requiredLabel = "kind-b";
  submit("labelled", makeSpec({Labelled}));
  BOOST_TEST(start("labelled", 0, {{0, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  wire::StepSpec Spread = makeStep(2);
  Spread.maxTasksPerWorker = 1;
  submit("spread", makeSpec({Spread}));
  BOOST_TEST(start("spread", 0, {{0, incarnation("w")}, {1, incarnation("w")}})
                 .status == WorkloadStatus::INVALID);
  BOOST_TEST(start("spread", 0, {{0, incarnation("w")}}).status ==
             WorkloadStatus::OK);
  BOOST_TEST(start("spread", 0, {{1, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  submit("any", makeSpec({makeStep(1)}));
  BOOST_TEST(start("any", 0, {{0, incarnation("w", 2)}}).status ==
             WorkloadStatus::INVALID);
  setZone("north", true);
  BOOST_TEST(start("any", 0, {{0, incarnation("w")}}).status ==
             WorkloadStatus::INVALID);
  setZone("north", false);
  BOOST_TEST(start("any", 0, {{0, incarnation("w")}}).status ==
             WorkloadStatus::OK);
}

// Guards against counting cores for a task that uses spare cores.
BOOST_AUTO_TEST_CASE(CountsNoCoresForTasksOnSpareCores) {
  addWorker("w");
  wire::StepSpec Filler = makeStep(3, 0);
  Filler.perTask = amounts(6000, 100, 0);
  Filler.usesSpareCores = true;
  submit("j", makeSpec({Filler}));
  BOOST_TEST(
      start(
          "j", 0,
          {{0, incarnation("w")}, {1, incarnation("w")}, {2, incarnation("w")}})
          .status == WorkloadStatus::OK);
  BOOST_TEST(m_State.workers().at("w").used.milliCores == 0);
}

// Guards against runs of a lost worker that never run again, and against losing
// their progress.
BOOST_AUTO_TEST_CASE(FreesTheRunsOfALostWorker) {
  addWorker("w");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, incarnation("w")}});
  wire::RunStatus Known;
  Known.task = taskRef("j", 0, 0);
  Known.run = 1;
  Known.checkpoint = "third";
  wire::LoseWorker Lose;
  Lose.incarnation = incarnation("w");
  Lose.lastKnownRuns.push_back(Known);
  wire::WorkloadCommand Command;
  Command.__set_loseWorker(Lose);
  apply(Command);
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::WAITING);
  BOOST_TEST(task("j", 0, 0).checkpoint == "third");
  BOOST_TEST(m_State.workers().empty());
}

// Guards against a second run while a late order may still start the first one
// in the next incarnation of its worker.
BOOST_AUTO_TEST_CASE(KeepsRunsOfAnEarlierIncarnationUntilTheyAreOver) {
  addWorker("w", 1);
  addWorker("v");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, incarnation("w", 1)}});
  addWorker("w", 2);
  BOOST_TEST(m_State.formerWorkers().size() == 1);
  BOOST_TEST(start("j", 0, {{0, incarnation("v")}}).status ==
             WorkloadStatus::INVALID);
  // The next incarnation may report that the run ended there.
  end(incarnation("w", 2), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.formerWorkers().empty());
}

// Guards against keeping an earlier incarnation and its runs forever.
BOOST_AUTO_TEST_CASE(FreesRunsOfAnEarlierIncarnationOnceItIsLost) {
  addWorker("w", 1);
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, incarnation("w", 1)}});
  addWorker("other", 5, "north", "agent-w");
  BOOST_TEST(m_State.workers().count("w") == 0);
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::PLACED);
  lose(incarnation("w", 1));
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::WAITING);
  BOOST_TEST(m_State.formerWorkers().empty());
  BOOST_TEST(start("j", 0, {{0, incarnation("other", 5)}}).status ==
             WorkloadStatus::OK);
  BOOST_TEST(task("j", 0, 0).run == 2);
}

// Guards against freeing runs whose order is unanswered when their worker is
// lost.
BOOST_AUTO_TEST_CASE(KeepsNamedRunsOfALostWorker) {
  addWorker("w");
  submit("j", makeSpec({makeStep(2)}));
  start("j", 0, {{0, incarnation("w")}, {1, incarnation("w")}});
  wire::RunRef Unanswered;
  Unanswered.task = taskRef("j", 0, 1);
  Unanswered.run = 1;
  lose(incarnation("w"), {Unanswered});
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::WAITING);
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::PLACED);
  lose(incarnation("w"));
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::WAITING);
}

// Guards against a fencing token that an order of an earlier agent could carry
// too.
BOOST_AUTO_TEST_CASE(GivesEachRegistrationAHigherToken) {
  const int64_t First = addWorker("w").value;
  const int64_t Second = addWorker("w").value;
  BOOST_TEST(Second > First);
  BOOST_TEST(m_State.workers().at("w").fencingToken == Second);
}

// ---- policy and snapshots ----

// Guards against a policy that goes back to an older version, changes under its
// version, or is invalid.
BOOST_AUTO_TEST_CASE(HoldsThePolicyOfTheHighestVersion) {
  wire::PolicyDocument Newer = makePolicy(5);
  Newer.source = "five";
  BOOST_TEST(putPolicy(Newer).status == WorkloadStatus::OK);
  wire::PolicyDocument Other = makePolicy(5);
  Other.source = "other";
  BOOST_TEST(putPolicy(Other).status == WorkloadStatus::UNCHANGED);
  BOOST_TEST(putPolicy(makePolicy(4)).status == WorkloadStatus::UNCHANGED);
  BOOST_TEST(m_State.policy().source == "five");
  wire::PolicyDocument Invalid = makePolicy(9);
  Invalid.queues[0].serviceName = "unknown";
  BOOST_TEST(putPolicy(Invalid).status == WorkloadStatus::INVALID);
  BOOST_TEST(m_State.policy().version == 5);
}

// Guards against a restored replica that differs from the original.
BOOST_AUTO_TEST_CASE(RestoresEverythingFromASnapshot) {
  addWorker("w", 1);
  wire::StepSpec Gang = makeStep(2);
  Gang.gang = true;
  submit("j", makeSpec({Gang, makeStep(3)}));
  submit("done", makeSpec({makeStep(1)}));
  start("j", 0, {{0, incarnation("w")}, {1, incarnation("w")}});
  start("done", 0, {{0, incarnation("w")}});
  end(incarnation("w"), taskRef("done", 0, 0), 1, RunEndKind::DONE);
  addWorker("w", 2);
  setZone("south", true);
  const absl::StatusOr<WorkloadState> Restored =
      WorkloadState::restore(m_State.snapshot(), WorkloadLimits());
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->snapshot() == m_State.snapshot());
  BOOST_TEST(Restored->findViolation() == "");
  BOOST_TEST(Restored->wantedRuns(incarnation("w", 1)).size() == 2);
  BOOST_TEST(Restored->liveJobs().size() == 1);
  BOOST_TEST(!WorkloadState::restore("damaged", WorkloadLimits()).ok());
}

// Guards against an order on a zone that was held up, and undoes the newer one
// that its operator has sent since. Also an order that finds the zone as it
// asks for is newer: it was acknowledged.
BOOST_AUTO_TEST_CASE(RefusesAZoneOrderThatIsBasedOnAnOldRevision) {
  setZone("north", true, m_State.zoneRevision());
  const int64_t BeforeHeldUp = m_State.zoneRevision();
  BOOST_TEST(setZone("north", true, BeforeHeldUp).status ==
             WorkloadStatus::UNCHANGED);
  BOOST_TEST(setZone("north", false, BeforeHeldUp).status ==
             WorkloadStatus::OUTDATED);
  BOOST_TEST(m_State.withdrawnZones().contains("north"));
  const absl::StatusOr<WorkloadState> Restored =
      WorkloadState::restore(m_State.snapshot(), WorkloadLimits());
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->zoneRevision() == m_State.zoneRevision());
  BOOST_TEST(setZone("north", false, m_State.zoneRevision()).status ==
             WorkloadStatus::OK);
}

// Guards against refusing an order from a log of an earlier version, which
// states no revision.
BOOST_AUTO_TEST_CASE(AppliesAZoneOrderWithoutARevision) {
  setZone("north", true, m_State.zoneRevision());
  BOOST_TEST(setZone("north", false).status == WorkloadStatus::OK);
  BOOST_TEST(m_State.withdrawnZones().empty());
}

// Guards against applying a command twice after a restart.
BOOST_AUTO_TEST_CASE(AppliesEachIndexOnce) {
  wire::SetZone Set;
  Set.availabilityZone = "north";
  Set.withdrawn = true;
  wire::WorkloadCommand Command;
  Command.__set_setZone(Set);
  BOOST_TEST(m_State.apply(Command, m_Index).status == WorkloadStatus::INVALID);
  BOOST_TEST(m_State.withdrawnZones().empty());
  BOOST_TEST(m_State.apply(wire::WorkloadCommand(), m_Index + 1).status ==
             WorkloadStatus::INVALID);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::workload
