#include <boost/test/unit_test.hpp>

#include "WorkloadFixture.h"

namespace anvil::workload {
namespace {

using wire::JobPhase;
using wire::RunEndKind;
using wire::TaskPhase;
using wire::WorkloadStatus;

BOOST_FIXTURE_TEST_SUITE(WorkloadStateTest, WorkloadFixture)

// ---- jobs ----

// Guards against a resent submission that becomes a second job, also after the
// first one has ended.
BOOST_AUTO_TEST_CASE(TakesAResentSubmissionAsTheSameJob) {
  addWorker("w");
  BOOST_TEST(submit("j", makeSpec({makeStep(1)})).status == WorkloadStatus::OK);
  BOOST_TEST(submit("j", makeSpec({makeStep(5)})).status ==
             WorkloadStatus::UNCHANGED);
  BOOST_TEST(m_State.job("j")->spec.steps[0].tasks == 1);
  start("j", 0, {{0, life("w")}});
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(submit("j", makeSpec({makeStep(1)})).status ==
             WorkloadStatus::UNCHANGED);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
}

// Guards against a job that is stored although its queue is gone or its shape
// is wrong.
BOOST_AUTO_TEST_CASE(RefusesWhatCanNotBeStored) {
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
  BOOST_TEST(start("j", 1, {{0, life("w")}}).status == WorkloadStatus::INVALID);
  start("j", 0, {{0, life("w")}, {1, life("w")}});
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(start("j", 1, {{0, life("w")}}).status == WorkloadStatus::INVALID);
  end(life("w"), taskRef("j", 0, 1), 1, RunEndKind::DONE);
  BOOST_TEST(start("j", 1, {{0, life("w")}}).status == WorkloadStatus::OK);
  end(life("w"), taskRef("j", 1, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against a job that is given up too early or too late.
BOOST_AUTO_TEST_CASE(FailsAJobAfterTheLastAttempt) {
  addWorker("w");
  submit("j", makeSpec({makeStep(2)}));
  start("j", 0, {{0, life("w")}, {1, life("w")}});
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::FAILED);
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
  start("j", 0, {{0, life("w")}});
  end(life("w"), taskRef("j", 0, 0), 2, RunEndKind::FAILED);
  BOOST_TEST(phase("j") == JobPhase::FAILED);
  // What still runs is stopped, and the job holds its resources until then.
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::STOPPING);
  end(life("w"), taskRef("j", 0, 1), 1, RunEndKind::STOPPED);
  BOOST_TEST(m_State.liveJobs().empty());
  BOOST_TEST(phase("j") == JobPhase::FAILED);
}

// Guards against attempts that are used up by stops, losses and refusals.
BOOST_AUTO_TEST_CASE(CountsOnlyFailuresAsAttempts) {
  addWorker("w");
  submit("j", makeSpec({makeStep(1)}));
  int64_t Run = 0;
  for (const RunEndKind::type Kind :
       {RunEndKind::STOPPED, RunEndKind::LEASE_EXPIRED, RunEndKind::NOT_STARTED,
        RunEndKind::WORKER_LOST, RunEndKind::STOPPED}) {
    start("j", 0, {{0, life("w")}});
    end(life("w"), taskRef("j", 0, 0), ++Run, Kind);
  }
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
  BOOST_TEST(task("j", 0, 0).failures == 0);
}

// Guards against a cancelled job that starts again or that is shown otherwise.
BOOST_AUTO_TEST_CASE(StopsACancelledJob) {
  addWorker("w");
  submit("j", makeSpec({makeStep(2)}));
  start("j", 0, {{0, life("w")}});
  BOOST_TEST(cancel("j").status == WorkloadStatus::OK);
  BOOST_TEST(cancel("j").status == WorkloadStatus::UNCHANGED);
  BOOST_TEST(cancel("other").status == WorkloadStatus::NO_JOB);
  BOOST_TEST(start("j", 0, {{1, life("w")}}).status == WorkloadStatus::INVALID);
  const std::vector<WantedRun> Wanted = m_State.wantedRuns(life("w"));
  BOOST_REQUIRE(Wanted.size() == 1);
  BOOST_TEST(Wanted[0].m_Stop);
  // An end that was under way does not make it a completed job.
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::CANCELLED);
  BOOST_TEST(m_State.workers().at("w").used.accelerators == 0);
}

// Guards against a count of waiting jobs that drifts.
BOOST_AUTO_TEST_CASE(CountsJobsOfWhichNothingStarted) {
  addWorker("w");
  submit("a", makeSpec({makeStep(1)}));
  submit("b", makeSpec({makeStep(1)}));
  submit("c", makeSpec({makeStep(1)}));
  BOOST_TEST(m_State.pendingByQueue().at("quotes") == 3);
  start("a", 0, {{0, life("w")}});
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
  BOOST_TEST(start("j", 0, {{0, life("w")}}).status == WorkloadStatus::INVALID);
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
    Placement.worker = life("w");
    Start.placements.push_back(Placement);
    wire::WorkloadCommand Begin;
    Begin.__set_startRuns(Start);
    BOOST_TEST(apply(Begin).status == WorkloadStatus::OK);
    wire::TaskRef Ref = taskRef("j", 0, 0);
    Ref.occurrence = Number;
    end(life("w"), Ref, 1, RunEndKind::DONE);
  }
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
}

// ---- gangs ----

// Guards against a gang that starts in part.
BOOST_AUTO_TEST_CASE(StartsAGangWholeOrNotAtAll) {
  addWorker("w");
  wire::StepSpec Gang = makeStep(2);
  Gang.gang = true;
  submit("j", makeSpec({Gang}));
  BOOST_TEST(start("j", 0, {{0, life("w")}}).status == WorkloadStatus::INVALID);
  BOOST_TEST(start("j", 0, {{0, life("w")}, {0, life("w")}}).status ==
             WorkloadStatus::INVALID);
  BOOST_TEST(start("j", 0, {{0, life("w")}, {1, life("gone")}}).status ==
             WorkloadStatus::INVALID);
  BOOST_TEST(m_State.workers().at("w").used.accelerators == 0);
  BOOST_TEST(start("j", 0, {{0, life("w")}, {1, life("w")}}).status ==
             WorkloadStatus::OK);
}

// Guards against a gang of which one member is done and the others run again.
BOOST_AUTO_TEST_CASE(EndsAGangByTheReportOfOneMember) {
  addWorker("w");
  addWorker("v");
  wire::StepSpec Gang = makeStep(2);
  Gang.gang = true;
  submit("j", makeSpec({Gang}));
  start("j", 0, {{0, life("w")}, {1, life("v")}});
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.workers().at("v").used.accelerators == 0);
  BOOST_TEST(end(life("v"), taskRef("j", 0, 1), 1, RunEndKind::DONE).status ==
             WorkloadStatus::OK);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against members of different runs in one gang, and against a failure
// that is counted once for each member.
BOOST_AUTO_TEST_CASE(RestartsAGangWithOneHigherRunNumber) {
  addWorker("w");
  wire::StepSpec Gang = makeStep(3);
  Gang.gang = true;
  submit("j", makeSpec({Gang}));
  const std::vector<std::pair<int32_t, wire::WorkerIncarnation>> All = {
      {0, life("w")}, {1, life("w")}, {2, life("w")}};
  start("j", 0, All);
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::FAILED, "half");
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::STOPPING);
  BOOST_TEST(start("j", 0, All).status == WorkloadStatus::INVALID);
  end(life("w"), taskRef("j", 0, 1), 1, RunEndKind::FAILED);
  end(life("w"), taskRef("j", 0, 2), 1, RunEndKind::GANG_BROKEN);
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
  BOOST_TEST(start("j", 0, All).status == WorkloadStatus::OK);
  for (int32_t I : {0, 1, 2}) {
    BOOST_TEST(task("j", 0, I).run == 2);
    BOOST_TEST(task("j", 0, I).checkpoint == "half");
  }
}

// ---- runs and workers ----

// Guards against a late report that ends a newer run.
BOOST_AUTO_TEST_CASE(IgnoresLateReports) {
  addWorker("w");
  addWorker("v");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, life("w")}});
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::STOPPED);
  start("j", 0, {{0, life("v")}});
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  end(life("w"), taskRef("j", 0, 0), 2, RunEndKind::DONE);
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::PLACED);
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
}

// Guards against work that is done again, and a step that waits for it, when
// the report of a lost run comes late. On a hunted day a task had ended behind
// a partition that was longer than its lease, and the next step did not start
// while the task ran a second time.
BOOST_AUTO_TEST_CASE(AcceptsALateSuccessOfALostRun) {
  addWorker("w");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, life("w")}});
  lose(life("w"));
  addWorker("w", 1);
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against two runs at a time: the second run ends before the next step
// may start, and however it ends, the task is done.
BOOST_AUTO_TEST_CASE(StopsTheSecondRunAfterALateSuccess) {
  for (const RunEndKind::type Kind :
       {RunEndKind::STOPPED, RunEndKind::FAILED, RunEndKind::DONE}) {
    WorkloadFixture Of;
    Of.addWorker("w");
    Of.addWorker("v");
    wire::StepSpec Second = makeStep(1);
    Second.dependsOn = {0};
    Of.submit("j", makeSpec({makeStep(1), Second}));
    Of.start("j", 0, {{0, life("w")}});
    Of.lose(life("w"));
    Of.start("j", 0, {{0, life("v")}});
    Of.end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
    BOOST_TEST(Of.task("j", 0, 0).phase == TaskPhase::STOPPING);
    BOOST_TEST(Of.m_State.workers().at("v").used.accelerators == 1);
    BOOST_TEST(Of.start("j", 1, {{0, life("v")}}).status ==
               WorkloadStatus::INVALID);
    Of.end(life("v"), taskRef("j", 0, 0), 2, Kind);
    BOOST_TEST(Of.task("j", 0, 0).phase == TaskPhase::DONE);
    BOOST_TEST(Of.task("j", 0, 0).failures == 0);
    BOOST_TEST(Of.start("j", 1, {{0, life("v")}}).status == WorkloadStatus::OK);
    BOOST_TEST(Of.m_State.findViolation() == "");
  }
}

// Guards against a gang that is repeated although it had ended: the late report
// of one member stands for all.
BOOST_AUTO_TEST_CASE(AcceptsALateSuccessOfAGang) {
  addWorker("w");
  addWorker("v");
  wire::StepSpec Gang = makeStep(2);
  Gang.gang = true;
  submit("j", makeSpec({Gang}));
  start("j", 0, {{0, life("w")}, {1, life("v")}});
  lose(life("w"));
  end(life("v"), taskRef("j", 0, 1), 1, RunEndKind::STOPPED);
  start("j", 0, {{0, life("v")}, {1, life("v")}});
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::STOPPING);
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::STOPPING);
  end(life("v"), taskRef("j", 0, 0), 2, RunEndKind::STOPPED);
  BOOST_TEST(phase("j") == JobPhase::RUNNING);
  end(life("v"), taskRef("j", 0, 1), 2, RunEndKind::STOPPED);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.findViolation() == "");
}

// Guards against a late success that revives a cancelled job.
BOOST_AUTO_TEST_CASE(IgnoresALateSuccessOfACancelledJob) {
  addWorker("w");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, life("w")}});
  lose(life("w"));
  cancel("j");
  end(life("w"), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::CANCELLED);
}

// Guards against a worker that gets more than it has, or what it must not get.
BOOST_AUTO_TEST_CASE(ChecksPlacementsAgain) {
  addWorker("w");
  submit("big", makeSpec({makeStep(1, 9)}));
  BOOST_TEST(start("big", 0, {{0, life("w")}}).status ==
             WorkloadStatus::INVALID);
  wire::StepSpec Labelled = makeStep(1);
  Labelled.requiredLabel = "kind-b";
  submit("labelled", makeSpec({Labelled}));
  BOOST_TEST(start("labelled", 0, {{0, life("w")}}).status ==
             WorkloadStatus::INVALID);
  wire::StepSpec Spread = makeStep(2);
  Spread.maxTasksPerWorker = 1;
  submit("spread", makeSpec({Spread}));
  BOOST_TEST(start("spread", 0, {{0, life("w")}, {1, life("w")}}).status ==
             WorkloadStatus::INVALID);
  BOOST_TEST(start("spread", 0, {{0, life("w")}}).status == WorkloadStatus::OK);
  BOOST_TEST(start("spread", 0, {{1, life("w")}}).status ==
             WorkloadStatus::INVALID);
  submit("any", makeSpec({makeStep(1)}));
  BOOST_TEST(start("any", 0, {{0, life("w", 2)}}).status ==
             WorkloadStatus::INVALID);
  setZone("north", true);
  BOOST_TEST(start("any", 0, {{0, life("w")}}).status ==
             WorkloadStatus::INVALID);
  setZone("north", false);
  BOOST_TEST(start("any", 0, {{0, life("w")}}).status == WorkloadStatus::OK);
}

// Guards against cores that are counted for a task which lives on spare ones.
BOOST_AUTO_TEST_CASE(CountsNoCoresForTasksOnSpareOnes) {
  addWorker("w");
  wire::StepSpec Filler = makeStep(3, 0);
  Filler.perTask = amounts(6000, 100, 0);
  Filler.usesSpareCores = true;
  submit("j", makeSpec({Filler}));
  BOOST_TEST(
      start("j", 0, {{0, life("w")}, {1, life("w")}, {2, life("w")}}).status ==
      WorkloadStatus::OK);
  BOOST_TEST(m_State.workers().at("w").used.milliCores == 0);
}

// Guards against runs of a lost worker that are lost for good, and against
// progress that is forgotten.
BOOST_AUTO_TEST_CASE(FreesTheRunsOfALostWorker) {
  addWorker("w");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, life("w")}});
  wire::RunStatus Known;
  Known.task = taskRef("j", 0, 0);
  Known.run = 1;
  Known.checkpoint = "third";
  wire::LoseWorker Lose;
  Lose.incarnation = life("w");
  Lose.lastKnownRuns.push_back(Known);
  wire::WorkloadCommand Command;
  Command.__set_loseWorker(Lose);
  apply(Command);
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::WAITING);
  BOOST_TEST(task("j", 0, 0).checkpoint == "third");
  BOOST_TEST(m_State.workers().empty());
}

// Guards against a second run while a late order may still start the first in
// the next life of its worker.
BOOST_AUTO_TEST_CASE(KeepsRunsOfAFormerLifeUntilTheyAreCertainlyOver) {
  addWorker("w", 1);
  addWorker("v");
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, life("w", 1)}});
  addWorker("w", 2);
  BOOST_TEST(m_State.formerWorkers().size() == 1);
  BOOST_TEST(start("j", 0, {{0, life("v")}}).status == WorkloadStatus::INVALID);
  // The next life may say that the run ended there.
  end(life("w", 2), taskRef("j", 0, 0), 1, RunEndKind::DONE);
  BOOST_TEST(phase("j") == JobPhase::COMPLETED);
  BOOST_TEST(m_State.formerWorkers().empty());
}

// Guards against a former life that is never let go.
BOOST_AUTO_TEST_CASE(FreesRunsOfAFormerLifeOnceItsLossIsCertain) {
  addWorker("w", 1);
  submit("j", makeSpec({makeStep(1)}));
  start("j", 0, {{0, life("w", 1)}});
  addWorker("other", 5, "north", "agent-w");
  BOOST_TEST(m_State.workers().count("w") == 0);
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::PLACED);
  lose(life("w", 1));
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::WAITING);
  BOOST_TEST(m_State.formerWorkers().empty());
  BOOST_TEST(start("j", 0, {{0, life("other", 5)}}).status ==
             WorkloadStatus::OK);
  BOOST_TEST(task("j", 0, 0).run == 2);
}

// Guards against runs with an unanswered order that are freed when their worker
// is gone.
BOOST_AUTO_TEST_CASE(KeepsNamedRunsOfALostWorker) {
  addWorker("w");
  submit("j", makeSpec({makeStep(2)}));
  start("j", 0, {{0, life("w")}, {1, life("w")}});
  wire::RunRef Unanswered;
  Unanswered.task = taskRef("j", 0, 1);
  Unanswered.run = 1;
  lose(life("w"), {Unanswered});
  BOOST_TEST(task("j", 0, 0).phase == TaskPhase::WAITING);
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::PLACED);
  lose(life("w"));
  BOOST_TEST(task("j", 0, 1).phase == TaskPhase::WAITING);
}

// Guards against a token that an order of a former agent could carry as well.
BOOST_AUTO_TEST_CASE(GivesEachRegistrationAHigherToken) {
  const int64_t First = addWorker("w").value;
  const int64_t Second = addWorker("w").value;
  BOOST_TEST(Second > First);
  BOOST_TEST(m_State.workers().at("w").fencingToken == Second);
}

// ---- policy and snapshots ----

// Guards against a policy that goes back, changes under its version, or breaks
// the rules of a document.
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

// Guards against a replica that differs after it was restored.
BOOST_AUTO_TEST_CASE(RestoresEverythingFromASnapshot) {
  addWorker("w", 1);
  wire::StepSpec Gang = makeStep(2);
  Gang.gang = true;
  submit("j", makeSpec({Gang, makeStep(3)}));
  submit("done", makeSpec({makeStep(1)}));
  start("j", 0, {{0, life("w")}, {1, life("w")}});
  start("done", 0, {{0, life("w")}});
  end(life("w"), taskRef("done", 0, 0), 1, RunEndKind::DONE);
  addWorker("w", 2);
  setZone("south", true);
  const absl::StatusOr<WorkloadState> Restored =
      WorkloadState::restore(m_State.snapshot(), WorkloadLimits());
  BOOST_REQUIRE(Restored.ok());
  BOOST_TEST(Restored->snapshot() == m_State.snapshot());
  BOOST_TEST(Restored->findViolation() == "");
  BOOST_TEST(Restored->wantedRuns(life("w", 1)).size() == 2);
  BOOST_TEST(Restored->liveJobs().size() == 1);
  BOOST_TEST(!WorkloadState::restore("damaged", WorkloadLimits()).ok());
}

// Guards against a command that is applied twice after a restart.
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
