#include "state/StateFixture.h"

namespace {

using namespace anvil::state;
using namespace anvil::state::test;
using anvil::wire::CommandStatus;
using anvil::wire::ReclaimMode;
using enum anvil::wire::TaskState::type;
using State = anvil::wire::TaskState::type;
namespace wire = anvil::wire;
using Orders = std::vector<std::string>;

wire::Command checkpointable(int32_t Tasks, bool Idempotent) {
  wire::Command Command = submit(Tasks, Idempotent, "checkpointable");
  Command.submitJob.spec.checkpointable = true;
  return Command;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobTest)

// Guards against a gang whose members start before all are prepared or that
// never starts, and against resources that are freed before all members end.
BOOST_AUTO_TEST_CASE(GangStartsOnlyWhenAllArePreparedAndCompletesAsAWhole) {
  Cluster Fixture;
  const int64_t Job = Fixture.submitAndPlace({"a", "b"});
  const int64_t Token = Fixture.job(Job).m_StartToken;
  const std::string Id = std::to_string(Job);
  BOOST_TEST(Fixture.orders("a") == Orders{Id + "/0 PREPARE"});
  Fixture.apply(report("a", Job, 0, Token, PREPARED));
  BOOST_TEST(Fixture.orders("a") == Orders{Id + "/0 PREPARE"});
  Fixture.apply(report("b", Job, 1, Token, PREPARED));
  BOOST_TEST(Fixture.phase(Job) == "starting");
  BOOST_TEST(Fixture.orders("a") == Orders{Id + "/0 START"});
  BOOST_TEST(Fixture.orders("b") == Orders{Id + "/1 START"});
  Fixture.reportAll(Job, RUNNING);
  BOOST_TEST(Fixture.phase(Job) == "running");
  Fixture.apply(report("a", Job, 0, Token, SUCCEEDED));
  // The gang holds all its accelerators until the last member has ended.
  BOOST_TEST(Fixture.usedOn("a") == 4);
  Fixture.apply(report("b", Job, 1, Token, SUCCEEDED));
  BOOST_TEST(Fixture.phase(Job) == "completed");
  BOOST_TEST(Fixture.usedOn("a") == 0);
  BOOST_TEST(
      Fixture.m_State.heldBy(anvil::WorkspaceId("sieving")).accelerators == 0);
}

// Guards against a gang that never completes because a task succeeds before
// control receives its RUNNING report.
BOOST_AUTO_TEST_CASE(TaskThatSucceedsBeforeItsRunningReportCounts) {
  Cluster Fixture;
  const int64_t Job = Fixture.submitAndPlace({"a", "b"});
  Fixture.reportAll(Job, PREPARED);
  Fixture.reportAll(Job, SUCCEEDED);
  BOOST_TEST(Fixture.phase(Job) == "completed");
}

// Guards against a gang that stays partly reserved or partly running after one
// member fails, and against a second run of a job that is not idempotent
// (requirements H2 and H6).
BOOST_AUTO_TEST_CASE(OneFailedMemberReleasesTheWholeGang) {
  struct Case {
    const char *m_Name;
    bool m_Idempotent;
    std::vector<State> m_Before; // Reported by both members.
    State m_FirstReport;         // Reported by member 0.
    State m_SecondReport;        // Reported by member 1 after STOP.
    const char *m_Expected;
  };
  const std::vector<Case> Cases = {
      {"refuses to prepare", false, {}, REFUSED, STOPPED, "queued"},
      {"fails to prepare", false, {}, FAILED, STOPPED, "queued"},
      {"refuses to start, other refuses",
       false,
       {PREPARED},
       REFUSED,
       REFUSED,
       "queued"},
      {"refuses to start, other may have run",
       false,
       {PREPARED},
       REFUSED,
       STOPPED,
       "outcome_unknown"},
      {"refuses to start, idempotent",
       true,
       {PREPARED},
       REFUSED,
       STOPPED,
       "queued"},
      {"fails at start", false, {PREPARED}, FAILED, REFUSED, "outcome_unknown"},
      {"fails while running",
       true,
       {PREPARED, RUNNING},
       FAILED,
       STOPPED,
       "queued"},
      {"fails while running, not idempotent",
       false,
       {PREPARED, RUNNING},
       FAILED,
       STOPPED,
       "outcome_unknown"},
      {"a refusal after running proves nothing",
       false,
       {PREPARED, RUNNING},
       STOPPED,
       REFUSED,
       "outcome_unknown"},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      Cluster Fixture;
      const int64_t Job = Fixture.submitAndPlace({"a", "b"}, Each.m_Idempotent);
      const int64_t Token = Fixture.job(Job).m_StartToken;
      for (const State Reported : Each.m_Before)
        Fixture.reportAll(Job, Reported);
      Fixture.apply(report("a", Job, 0, Token, Each.m_FirstReport));
      if (!Each.m_Before.empty()) {
        BOOST_TEST(Fixture.orders("b") ==
                   Orders{std::to_string(Job) + "/1 STOP"});
        Fixture.apply(report("b", Job, 1, Token, Each.m_SecondReport));
      }
      BOOST_TEST(Fixture.phase(Job) == Each.m_Expected);
      BOOST_TEST(Fixture.usedOn("a") + Fixture.usedOn("b") == 0);
      BOOST_TEST(Fixture.orders("b") == Orders{});
    }
  }
}

// Guards against late reports of an earlier placement, another VM or another
// incarnation that change the phases of the current placement.
BOOST_AUTO_TEST_CASE(LateReportsChangeNothing) {
  Cluster Fixture;
  const int64_t Job = Fixture.submitAndPlace({"a", "b"});
  const int64_t OldToken = Fixture.job(Job).m_StartToken;
  Fixture.apply(report("a", Job, 0, OldToken, REFUSED));
  Fixture.apply(place(Job, {"a", "b"}));
  const int64_t Token = Fixture.job(Job).m_StartToken;
  BOOST_TEST(Token > OldToken);
  Fixture.apply(report("a", Job, 0, OldToken, PREPARED));
  Fixture.apply(report("a", Job, 1, Token, PREPARED)); // Member 1 is on b.
  Fixture.apply(report("b", Job, 7, Token, PREPARED));
  BOOST_TEST((Fixture.statusOf(report("b", Job, 1, Token, PREPARED, 9)) ==
              CommandStatus::REFUSED));
  BOOST_TEST(Fixture.phase(Job) == "reserved");
  for (const MemberView &Member : Fixture.job(Job).m_Members)
    BOOST_TEST(std::string(nameOf(Member.m_Phase)) == "reserved");
  BOOST_TEST(Fixture.m_State.counters().m_StaleReports == 4);
}

// Guards against a resent report that changes the phase of a gang again.
BOOST_AUTO_TEST_CASE(RepeatedReportsAreIdempotent) {
  Cluster Fixture;
  const int64_t Job = Fixture.submitAndPlace({"a", "b"});
  for (const State Reported : {PREPARED, RUNNING}) {
    Fixture.reportAll(Job, Reported);
    const JobView Before = Fixture.job(Job);
    Fixture.reportAll(Job, Reported);
    Fixture.reportAll(Job, PREPARED);
    BOOST_TEST(Fixture.job(Job).m_StartToken == Before.m_StartToken);
    BOOST_TEST(Fixture.job(Job).m_History.size() == Before.m_History.size());
  }
  BOOST_TEST(
      (Fixture.statusOf(place(Job, {"a", "b"})) == CommandStatus::REFUSED));
}

// Guards against a lost VM that leaves members behind, and against a second
// placement while the task on the lost VM may still run under its lease.
BOOST_AUTO_TEST_CASE(LossReleasesTheGangAndWaitsForTheLease) {
  Cluster Fixture;
  const int64_t Reserved = Fixture.submitAndPlace({"a", "b"});
  Fixture.apply(
      report("a", Reserved, 0, Fixture.job(Reserved).m_StartToken, PREPARED));
  Fixture.apply(lose("b", 1));
  BOOST_TEST(
      Fixture.phase(Reserved) ==
      "queued"); // No task has started, so there is no lease to wait for.

  Fixture.apply(registerWorker("b", 2));
  Fixture.apply(cancel(Reserved));
  const int64_t Job = Fixture.submitAndRun({"a", "c"}, submit(2));
  const int64_t Token = Fixture.job(Job).m_StartToken;
  Fixture.apply(lose("c", 1));
  Fixture.apply(report("a", Job, 0, Token, STOPPED));
  BOOST_TEST(Fixture.phase(Job) == "releasing");
  BOOST_TEST(
      (Fixture.statusOf(place(Job, {"a", "b"})) == CommandStatus::REFUSED));
  BOOST_TEST(
      (Fixture.statusOf(expireLeases(Job, {1})) == CommandStatus::REFUSED));
  BOOST_TEST(Fixture.m_State.expiredLeases(Fixture.m_NowUs).empty());
  // The task of the old incarnation may still run, so its resources stay
  // allocated.
  Fixture.apply(registerWorker("c", 2, "kollam"));
  BOOST_TEST(Fixture.usedOn("c") == 4);
  BOOST_TEST(Fixture.orders("c") == Orders{});
  // The lease of 60 s, 10% for clock rates and 5 s to stop.
  Fixture.m_NowUs = Fixture.job(Job).m_Members[1].m_LeaseEndsUs - SecondUs;
  const auto Expired =
      Fixture.m_State.expiredLeases(Fixture.m_NowUs + SecondUs);
  BOOST_TEST(Expired.size() == 1U);
  wire::Command Command;
  Command.__set_expireLeases(Expired.at(0));
  BOOST_TEST((Fixture.statusOf(Command) == CommandStatus::OK));
  BOOST_TEST(Fixture.phase(Job) == "queued");
  BOOST_TEST(Fixture.usedOn("c") == 0);
  BOOST_TEST((Fixture.statusOf(Command) == CommandStatus::OK)); // A resend.
}

// Guards against a wait for a lost task other than docs/design.md states: the
// lease of the job, 10% for clock rates and 5 s to stop.
BOOST_AUTO_TEST_CASE(LeaseOfALostTaskIsTheDeclaredOneWithMargin) {
  Cluster Fixture;
  const int64_t Job = Fixture.submitAndRun({"a"}, submit(1));
  Fixture.apply(lose("a", 1));
  BOOST_TEST(Fixture.job(Job).m_Members[0].m_LeaseEndsUs ==
             Fixture.m_NowUs + 71 * SecondUs);
}

// Guards against a job that waits for its lease although the incarnation that
// ran it returns after a partition and reports the end of its task.
BOOST_AUTO_TEST_CASE(ReturningIncarnationReportsTheEndOfItsTask) {
  Cluster Fixture;
  const int64_t Job = Fixture.submitAndRun({"a"}, submit(1));
  const int64_t Token = Fixture.job(Job).m_StartToken;
  Fixture.apply(lose("a", 1));
  BOOST_TEST((Fixture.statusOf(report("a", Job, 0, Token, STOPPED)) ==
              CommandStatus::REFUSED));
  Fixture.apply(registerWorker("a", 1));
  BOOST_TEST(Fixture.orders("a") == Orders{std::to_string(Job) + "/0 STOP"});
  Fixture.apply(report("a", Job, 0, Token, STOPPED));
  BOOST_TEST(Fixture.phase(Job) == "queued");
}

// Guards against a cancelled or reclaimed job that ends in a phase that does
// not match the final reports of its members.
BOOST_AUTO_TEST_CASE(CancelAndReclaimEndByWhatTheMembersReport) {
  struct Case {
    const char *m_Name;
    bool m_Idempotent;
    bool m_Cancel;
    ReclaimMode::type m_Mode;
    const char *m_Order;
    std::vector<State> m_Reports;
    const char *m_Expected;
    bool m_Checkpointed;
  };
  const std::vector<Case> Cases = {
      {"cancelled",
       false,
       true,
       {},
       "STOP",
       {STOPPED, STOPPED},
       "cancelled",
       false},
      {"cancelled too late",
       false,
       true,
       {},
       "STOP",
       {SUCCEEDED, SUCCEEDED},
       "completed",
       false},
      {"checkpointed",
       false,
       false,
       ReclaimMode::CHECKPOINT,
       "CHECKPOINT_AND_STOP",
       {CHECKPOINTED, CHECKPOINTED},
       "queued",
       true},
      {"partly checkpointed",
       false,
       false,
       ReclaimMode::CHECKPOINT,
       "CHECKPOINT_AND_STOP",
       {CHECKPOINTED, STOPPED},
       "outcome_unknown",
       false},
      {"partly checkpointed, idempotent",
       true,
       false,
       ReclaimMode::CHECKPOINT,
       "CHECKPOINT_AND_STOP",
       {CHECKPOINTED, STOPPED},
       "queued",
       false},
      {"stopped",
       true,
       false,
       ReclaimMode::STOP,
       "STOP",
       {STOPPED, STOPPED},
       "queued",
       false},
      {"refusals after running prove nothing",
       false,
       false,
       ReclaimMode::STOP,
       "STOP",
       {REFUSED, REFUSED},
       "outcome_unknown",
       false},
      {"stopped too late",
       true,
       false,
       ReclaimMode::STOP,
       "STOP",
       {SUCCEEDED, SUCCEEDED},
       "completed",
       false},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_Name) {
      Cluster Fixture;
      const int64_t Job = Fixture.submitAndRun(
          {"a", "b"}, checkpointable(2, Each.m_Idempotent));
      const int64_t Token = Fixture.job(Job).m_StartToken;
      Fixture.apply(Each.m_Cancel ? cancel(Job) : reclaim(Job, Each.m_Mode));
      BOOST_TEST(Fixture.orders("a") ==
                 Orders{std::to_string(Job) + "/0 " + Each.m_Order});
      Fixture.apply(report("a", Job, 0, Token, Each.m_Reports[0]));
      Fixture.apply(report("b", Job, 1, Token, Each.m_Reports[1]));
      BOOST_TEST(Fixture.phase(Job) == Each.m_Expected);
      BOOST_TEST(Fixture.job(Job).m_Checkpointed == Each.m_Checkpointed);
      BOOST_TEST(Fixture.usedOn("a") + Fixture.usedOn("b") == 0);
    }
  }
}

// Guards against a reclaim order that destroys the work of a job that can
// neither be repeated nor resumed, and against a STOP that does not replace
// CHECKPOINT.
BOOST_AUTO_TEST_CASE(ReclaimFollowsTheKindOfJob) {
  Cluster Fixture;
  const int64_t Fixed = Fixture.submitAndRun({"a"}, submit(1, false, "fixed"));
  for (const ReclaimMode::type Mode :
       {ReclaimMode::CHECKPOINT, ReclaimMode::THROTTLE, ReclaimMode::STOP})
    BOOST_TEST(
        (Fixture.statusOf(reclaim(Fixed, Mode)) == CommandStatus::REFUSED));
  const int64_t Plain = Fixture.submitAndRun({"b"}, submit(1));
  BOOST_TEST((Fixture.statusOf(reclaim(Plain, ReclaimMode::CHECKPOINT)) ==
              CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(reclaim(Plain, ReclaimMode::THROTTLE)) ==
              CommandStatus::OK));
  BOOST_TEST(Fixture.orders("b") ==
             Orders{std::to_string(Plain) + "/0 THROTTLE"});
  const int64_t Saved = Fixture.submitAndRun({"c"}, checkpointable(1, false));
  Fixture.apply(reclaim(Saved, ReclaimMode::CHECKPOINT));
  Fixture.apply(reclaim(Saved, ReclaimMode::STOP));
  BOOST_TEST(Fixture.orders("c") == Orders{std::to_string(Saved) + "/0 STOP"});
  // A reserved gang has not started, so even a job that is not idempotent
  // returns to the queue.
  const int64_t Reserved = Fixture.submitAndPlace({"a"}, false);
  BOOST_TEST((Fixture.statusOf(reclaim(Reserved, ReclaimMode::STOP)) ==
              CommandStatus::OK));
  BOOST_TEST(Fixture.phase(Reserved) == "queued");
  BOOST_TEST((Fixture.statusOf(reclaim(Reserved, ReclaimMode::STOP)) ==
              CommandStatus::REFUSED));
}

// Guards against a client that submits or cancels a job twice because it
// resends the request after a lost response.
BOOST_AUTO_TEST_CASE(ResendsGetTheFirstAnswer) {
  Cluster Fixture;
  const int64_t Job = Fixture.apply(submit(1, false, "order-1")).jobId;
  BOOST_TEST(Fixture.apply(submit(1, false, "order-1")).jobId == Job);
  const wire::CommandResult Other = Fixture.apply(submit(2, false, "order-1"));
  BOOST_TEST((Other.status == CommandStatus::INVALID));
  BOOST_TEST(Other.field == "submission_id");
  BOOST_TEST((Fixture.statusOf(cancel(Job)) == CommandStatus::OK));
  BOOST_TEST((Fixture.statusOf(cancel(Job)) == CommandStatus::OK));
  BOOST_TEST(Fixture.apply(submit(1, false, "order-1")).jobId == Job);
  BOOST_TEST(Fixture.m_State.counters().m_JobsSubmitted == 1);
}

// Guards against an accepted job that can never run or that exceeds a limit.
BOOST_AUTO_TEST_CASE(SubmissionsAreValidated) {
  struct Case {
    std::function<void(wire::SubmitJob &)> m_Modify;
    const char *m_Field;
  };
  const std::vector<Case> Cases = {
      {[](auto &Submission) { Submission.spec.workspace = "nobody"; },
       "spec.workspace"},
      {[](auto &Submission) { Submission.spec.tasks = 0; }, "spec.tasks"},
      {[](auto &Submission) { Submission.spec.tasks = 257; }, "spec.tasks"},
      {[](auto &Submission) { Submission.spec.perTask.cores = -1; },
       "spec.perTask"},
      {[](auto &Submission) { Submission.spec.perTask = {}; }, "spec.perTask"},
      {[](auto &Submission) { Submission.spec.perTask.accelerators = 65; },
       "spec.perTask"},
      {[](auto &Submission) { Submission.spec.perTask.memoryMib = INT64_MAX; },
       "spec.perTask"},
      {[](auto &Submission) { Submission.spec.leaseMs = 999; }, "spec.leaseMs"},
      {[](auto &Submission) { Submission.spec.leaseMs = 7'200'001; },
       "spec.leaseMs"},
      {[](auto &Submission) { Submission.spec.deadlineMs = -1; },
       "spec.deadlineMs"},
      {[](auto &Submission) { Submission.spec.estimateMs = -1; },
       "spec.estimateMs"},
      {[](auto &Submission) { Submission.spec.name = std::string(129, 'n'); },
       "spec.name"},
      {[](auto &Submission) {
         Submission.spec.payload = std::string(65'537, 'p');
       },
       "spec.payload"},
      {[](auto &Submission) {
         Submission.spec.urgency = static_cast<wire::Urgency::type>(7);
       },
       "spec.urgency"},
      {[](auto &Submission) {
         Submission.spec.adjacency = static_cast<wire::Adjacency::type>(0);
       },
       "spec.adjacency"},
      {[](auto &Submission) { Submission.spec.idempotent = false; },
       "submission_id"},
  };
  Cluster Fixture;
  for (const Case &Each : Cases) {
    wire::Command Command = submit(1);
    Each.m_Modify(Command.submitJob);
    const wire::CommandResult Result = Fixture.apply(Command);
    BOOST_TEST((Result.status == CommandStatus::INVALID),
               Each.m_Field << ": " << Result.message);
    BOOST_TEST(Result.field == Each.m_Field);
  }
  Fixture.apply(applyConfig(2, documentText(2, "{live_jobs: 1}")));
  BOOST_TEST((Fixture.statusOf(submit(1)) == CommandStatus::OK));
  BOOST_TEST((Fixture.statusOf(submit(1)) == CommandStatus::LIMIT));
}

// Guards against a placement that is partial, or that was computed before a
// target, the quota or the free capacity changed.
BOOST_AUTO_TEST_CASE(PlacementsAreCheckedAgain) {
  struct Case {
    const char *m_Name;
    std::function<void(Cluster &, wire::PlaceJob &)> m_Modify;
    CommandStatus::type m_Expected;
  };
  const std::vector<Case> Cases = {
      {"nothing wrong", [](auto &, auto &) {}, CommandStatus::OK},
      {"partial", [](auto &, auto &Placement) { Placement.members.pop_back(); },
       CommandStatus::INVALID},
      {"task twice",
       [](auto &, auto &Placement) { Placement.members[1].taskIndex = 0; },
       CommandStatus::INVALID},
      {"task out of range",
       [](auto &, auto &Placement) { Placement.members[1].taskIndex = 2; },
       CommandStatus::INVALID},
      {"unknown job", [](auto &, auto &Placement) { Placement.jobId = 99; },
       CommandStatus::NOT_FOUND},
      {"unknown VM",
       [](auto &, auto &Placement) { Placement.members[1].vm = "z"; },
       CommandStatus::REFUSED},
      {"a minion",
       [](auto &, auto &Placement) { Placement.members[1].vm = "m"; },
       CommandStatus::REFUSED},
      {"old incarnation",
       [](auto &Fixture, auto &) { Fixture.apply(registerWorker("b", 2)); },
       CommandStatus::REFUSED},
      {"lost", [](auto &Fixture, auto &) { Fixture.apply(lose("b", 1)); },
       CommandStatus::REFUSED},
      {"draining",
       [](auto &Fixture, auto &) { Fixture.apply(drain("b", true)); },
       CommandStatus::REFUSED},
      {"quarantined",
       [](auto &Fixture, auto &) { Fixture.apply(quarantine("b", true)); },
       CommandStatus::REFUSED},
      {"zone withdrawn",
       [](auto &Fixture, auto &) {
         Fixture.apply(zoneService("kochi", false, "r"));
       },
       CommandStatus::REFUSED},
      {"taken by another",
       [](auto &Fixture, auto &) {
         Fixture.submitAndPlace({"b", "b"});
       },
       CommandStatus::REFUSED},
      {"both on one VM",
       [](auto &, auto &Placement) {
         Placement.members[0].vm = Placement.members[1].vm = "a";
       },
       CommandStatus::OK},
      {"too much for one VM",
       [](auto &Fixture, auto &Placement) {
         Fixture.apply(registerWorker("d", 1, "kochi", 7));
         Placement.members[0].vm = Placement.members[1].vm = "d";
       },
       CommandStatus::REFUSED},
      {"quota lowered",
       [](auto &Fixture, auto &) {
         Fixture.apply(applyConfig(2, documentText(2, "{}", 7)));
       },
       CommandStatus::REFUSED},
  };
  for (const Case &Each : Cases) {
    Cluster Fixture;
    wire::Command Command = place(Fixture.apply(submit(2)).jobId, {"a", "b"});
    Each.m_Modify(Fixture, Command.placeJob);
    BOOST_TEST((Fixture.statusOf(Command) == Each.m_Expected), Each.m_Name);
  }
  Cluster Fixture;
  wire::Command Adjacent = submit(2);
  Adjacent.submitJob.spec.adjacency = wire::Adjacency::RACK;
  Adjacent.submitJob.spec.adjacencyRequired = true;
  const int64_t Job = Fixture.apply(Adjacent).jobId;
  BOOST_TEST(
      (Fixture.statusOf(place(Job, {"a", "c"})) == CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(place(Job, {"a", "b"})) == CommandStatus::OK));
  Adjacent.submitJob.spec.adjacency = wire::Adjacency::VM;
  const int64_t SameVm = Fixture.apply(Adjacent).jobId;
  BOOST_TEST(
      (Fixture.statusOf(place(SameVm, {"a", "b"})) == CommandStatus::REFUSED));
  BOOST_TEST(
      (Fixture.statusOf(place(SameVm, {"c", "c"})) == CommandStatus::OK));
}

// Guards against a start on a VM that is drained, quarantined or withdrawn with
// its zone between the reservation and the start (requirements H3 and H7).
BOOST_AUTO_TEST_CASE(LeavingTargetsReleaseReservedGangsAndKeepRunningOnes) {
  const std::vector<wire::Command> LeaveCommands = {
      drain("a", true), quarantine("a", true),
      zoneService("kochi", false, "r")};
  for (const wire::Command &Leaving : LeaveCommands) {
    Cluster Fixture;
    const int64_t Running = Fixture.submitAndRun({"a"}, submit(1));
    const int64_t Reserved = Fixture.submitAndPlace({"a", "c"}, false);
    Fixture.apply(Leaving);
    BOOST_TEST(Fixture.phase(Running) == "running");
    BOOST_TEST(Fixture.phase(Reserved) == "queued");
    BOOST_TEST(Fixture.usedOn("c") == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
