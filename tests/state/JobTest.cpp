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

// Guards against a gang of which one member starts before all are prepared, or
// that never starts.
BOOST_AUTO_TEST_CASE(GangStartsOnlyWhenAllArePreparedAndCompletesAsAWhole) {
  Cluster C;
  const int64_t Job = C.placed({"a", "b"});
  const int64_t Token = C.job(Job).m_StartToken;
  const std::string Id = std::to_string(Job);
  BOOST_TEST(C.orders("a") == Orders{Id + "/0 PREPARE"});
  C.apply(report("a", Job, 0, Token, PREPARED));
  BOOST_TEST(C.orders("a") == Orders{Id + "/0 PREPARE"});
  C.apply(report("b", Job, 1, Token, PREPARED));
  BOOST_TEST(C.phase(Job) == "starting");
  BOOST_TEST(C.orders("a") == Orders{Id + "/0 START"});
  BOOST_TEST(C.orders("b") == Orders{Id + "/1 START"});
  C.reportAll(Job, RUNNING);
  BOOST_TEST(C.phase(Job) == "running");
  C.apply(report("a", Job, 0, Token, SUCCEEDED));
  // The gang keeps all accelerators until its last member has ended.
  BOOST_TEST(C.usedOn("a") == 4);
  C.apply(report("b", Job, 1, Token, SUCCEEDED));
  BOOST_TEST(C.phase(Job) == "completed");
  BOOST_TEST(C.usedOn("a") == 0);
  BOOST_TEST(C.m_State.heldBy(anvil::WorkspaceId("sieving")).accelerators == 0);
}

// Guards against a task that ends before its RUNNING report was seen and blocks
// the gang.
BOOST_AUTO_TEST_CASE(TaskThatSucceedsBeforeItsRunningReportCounts) {
  Cluster C;
  const int64_t Job = C.placed({"a", "b"});
  C.reportAll(Job, PREPARED);
  C.reportAll(Job, SUCCEEDED);
  BOOST_TEST(C.phase(Job) == "completed");
}

// Guards against a gang that stays partly reserved or partly running after one
// member failed, and against a job that is not idempotent being run twice (H2,
// H6).
BOOST_AUTO_TEST_CASE(OneFailedMemberReleasesTheWholeGang) {
  struct Case {
    const char *m_What;
    bool m_Idempotent;
    std::vector<State> m_Before; // reported by both members
    State m_Fault;               // reported by member 0
    State m_Stopped;             // how member 1 answers the stop
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
    BOOST_TEST_CONTEXT(Each.m_What) {
      Cluster C;
      const int64_t Job = C.placed({"a", "b"}, Each.m_Idempotent);
      const int64_t Token = C.job(Job).m_StartToken;
      for (const State Reported : Each.m_Before)
        C.reportAll(Job, Reported);
      C.apply(report("a", Job, 0, Token, Each.m_Fault));
      if (!Each.m_Before.empty()) {
        BOOST_TEST(C.orders("b") == Orders{std::to_string(Job) + "/1 STOP"});
        C.apply(report("b", Job, 1, Token, Each.m_Stopped));
      }
      BOOST_TEST(C.phase(Job) == Each.m_Expected);
      BOOST_TEST(C.usedOn("a") + C.usedOn("b") == 0);
      BOOST_TEST(C.orders("b") == Orders{});
    }
  }
}

// Guards against late reports of an earlier attempt, another VM or an old
// incarnation that move the new attempt.
BOOST_AUTO_TEST_CASE(LateReportsChangeNothing) {
  Cluster C;
  const int64_t Job = C.placed({"a", "b"});
  const int64_t OldToken = C.job(Job).m_StartToken;
  C.apply(report("a", Job, 0, OldToken, REFUSED));
  C.apply(place(Job, {"a", "b"}));
  const int64_t Token = C.job(Job).m_StartToken;
  BOOST_TEST(Token > OldToken);
  C.apply(report("a", Job, 0, OldToken, PREPARED));
  C.apply(report("a", Job, 1, Token, PREPARED)); // member 1 is on b
  C.apply(report("b", Job, 7, Token, PREPARED));
  BOOST_TEST((C.statusOf(report("b", Job, 1, Token, PREPARED, 9)) ==
              CommandStatus::REFUSED));
  BOOST_TEST(C.phase(Job) == "reserved");
  for (const MemberView &Member : C.job(Job).m_Members)
    BOOST_TEST(std::string(nameOf(Member.m_Phase)) == "reserved");
  BOOST_TEST(C.m_State.counters().m_StaleReports == 4);
}

// Guards against a repeated report that starts or ends a gang a second time.
BOOST_AUTO_TEST_CASE(RepeatedReportsAreIdempotent) {
  Cluster C;
  const int64_t Job = C.placed({"a", "b"});
  for (const State Reported : {PREPARED, RUNNING}) {
    C.reportAll(Job, Reported);
    const JobView Before = C.job(Job);
    C.reportAll(Job, Reported);
    C.reportAll(Job, PREPARED);
    BOOST_TEST(C.job(Job).m_StartToken == Before.m_StartToken);
    BOOST_TEST(C.job(Job).m_History.size() == Before.m_History.size());
  }
  BOOST_TEST((C.statusOf(place(Job, {"a", "b"})) == CommandStatus::REFUSED));
}

// Guards against a loss between prepare and start, or while running, that
// leaves members or restarts them too early.
BOOST_AUTO_TEST_CASE(LossReleasesTheGangAndWaitsForTheLease) {
  Cluster C;
  const int64_t Reserved = C.placed({"a", "b"});
  C.apply(report("a", Reserved, 0, C.job(Reserved).m_StartToken, PREPARED));
  C.apply(lose("b", 1));
  BOOST_TEST(C.phase(Reserved) ==
             "queued"); // nothing had started, so nothing is left to wait for

  C.apply(registerWorker("b", 2));
  C.apply(cancel(Reserved));
  const int64_t Job = C.running({"a", "c"}, submit(2));
  const int64_t Token = C.job(Job).m_StartToken;
  C.apply(lose("c", 1));
  C.apply(report("a", Job, 0, Token, STOPPED));
  BOOST_TEST(C.phase(Job) == "releasing");
  BOOST_TEST((C.statusOf(place(Job, {"a", "b"})) == CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(expireLeases(Job, {1})) == CommandStatus::REFUSED));
  BOOST_TEST(C.m_State.expiredLeases(C.m_NowUs).empty());
  // The new incarnation does not free the resources that the old task may still
  // use.
  C.apply(registerWorker("c", 2, "kollam"));
  BOOST_TEST(C.usedOn("c") == 4);
  BOOST_TEST(C.orders("c") == Orders{});
  // 60 s lease, 10% for clock rates, 5 s to stop.
  C.m_NowUs = C.job(Job).m_Members[1].m_LeaseEndsUs - Second;
  const auto Expired = C.m_State.expiredLeases(C.m_NowUs + Second);
  BOOST_TEST(Expired.size() == 1U);
  wire::Command Command;
  Command.__set_expireLeases(Expired.at(0));
  BOOST_TEST((C.statusOf(Command) == CommandStatus::OK));
  BOOST_TEST(C.phase(Job) == "queued");
  BOOST_TEST(C.usedOn("c") == 0);
  BOOST_TEST((C.statusOf(Command) == CommandStatus::OK)); // a resend
}

// Guards against a lease bound that differs from the design page: 10% for clock
// rates and 5 s to stop.
BOOST_AUTO_TEST_CASE(LeaseOfALostTaskIsTheDeclaredOneWithMargin) {
  Cluster C;
  const int64_t Job = C.running({"a"}, submit(1));
  C.apply(lose("a", 1));
  BOOST_TEST(C.job(Job).m_Members[0].m_LeaseEndsUs == C.m_NowUs + 71 * Second);
}

// Guards against an incarnation that comes back after a partition and waits
// although it can prove the end of its task.
BOOST_AUTO_TEST_CASE(ReturningIncarnationReportsTheEndOfItsTask) {
  Cluster C;
  const int64_t Job = C.running({"a"}, submit(1));
  const int64_t Token = C.job(Job).m_StartToken;
  C.apply(lose("a", 1));
  BOOST_TEST((C.statusOf(report("a", Job, 0, Token, STOPPED)) ==
              CommandStatus::REFUSED));
  C.apply(registerWorker("a", 1));
  BOOST_TEST(C.orders("a") == Orders{std::to_string(Job) + "/0 STOP"});
  C.apply(report("a", Job, 0, Token, STOPPED));
  BOOST_TEST(C.phase(Job) == "queued");
}

// Guards against jobs that end wrongly after a cancellation or a reclaim order.
BOOST_AUTO_TEST_CASE(CancelAndReclaimEndByWhatTheMembersReport) {
  struct Case {
    const char *m_What;
    bool m_Idempotent;
    bool m_Cancel;
    ReclaimMode::type m_Mode;
    const char *m_Order;
    std::vector<State> m_Answers;
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
    BOOST_TEST_CONTEXT(Each.m_What) {
      Cluster C;
      const int64_t Job =
          C.running({"a", "b"}, checkpointable(2, Each.m_Idempotent));
      const int64_t Token = C.job(Job).m_StartToken;
      C.apply(Each.m_Cancel ? cancel(Job) : reclaim(Job, Each.m_Mode));
      BOOST_TEST(C.orders("a") ==
                 Orders{std::to_string(Job) + "/0 " + Each.m_Order});
      C.apply(report("a", Job, 0, Token, Each.m_Answers[0]));
      C.apply(report("b", Job, 1, Token, Each.m_Answers[1]));
      BOOST_TEST(C.phase(Job) == Each.m_Expected);
      BOOST_TEST(C.job(Job).m_Checkpointed == Each.m_Checkpointed);
      BOOST_TEST(C.usedOn("a") + C.usedOn("b") == 0);
    }
  }
}

// Guards against reclaim orders that could only destroy work, and against wrong
// escalation.
BOOST_AUTO_TEST_CASE(ReclaimFollowsTheKindOfJob) {
  Cluster C;
  const int64_t Fixed = C.running({"a"}, submit(1, false, "fixed"));
  for (const ReclaimMode::type Mode :
       {ReclaimMode::CHECKPOINT, ReclaimMode::THROTTLE, ReclaimMode::STOP})
    BOOST_TEST((C.statusOf(reclaim(Fixed, Mode)) == CommandStatus::REFUSED));
  const int64_t Plain = C.running({"b"}, submit(1));
  BOOST_TEST((C.statusOf(reclaim(Plain, ReclaimMode::CHECKPOINT)) ==
              CommandStatus::REFUSED));
  BOOST_TEST(
      (C.statusOf(reclaim(Plain, ReclaimMode::THROTTLE)) == CommandStatus::OK));
  BOOST_TEST(C.orders("b") == Orders{std::to_string(Plain) + "/0 THROTTLE"});
  const int64_t Saved = C.running({"c"}, checkpointable(1, false));
  C.apply(reclaim(Saved, ReclaimMode::CHECKPOINT));
  C.apply(reclaim(Saved, ReclaimMode::STOP));
  BOOST_TEST(C.orders("c") == Orders{std::to_string(Saved) + "/0 STOP"});
  // A reserved gang has not started, so even a job that is not idempotent
  // returns to the queue.
  const int64_t Reserved = C.placed({"a"}, false);
  BOOST_TEST(
      (C.statusOf(reclaim(Reserved, ReclaimMode::STOP)) == CommandStatus::OK));
  BOOST_TEST(C.phase(Reserved) == "queued");
  BOOST_TEST((C.statusOf(reclaim(Reserved, ReclaimMode::STOP)) ==
              CommandStatus::REFUSED));
}

// Guards against a lost response that makes a client submit or cancel twice.
BOOST_AUTO_TEST_CASE(ResendsGetTheFirstAnswer) {
  Cluster C;
  const int64_t Job = C.apply(submit(1, false, "order-1")).jobId;
  BOOST_TEST(C.apply(submit(1, false, "order-1")).jobId == Job);
  const wire::CommandResult Other = C.apply(submit(2, false, "order-1"));
  BOOST_TEST((Other.status == CommandStatus::INVALID));
  BOOST_TEST(Other.field == "submission_id");
  BOOST_TEST((C.statusOf(cancel(Job)) == CommandStatus::OK));
  BOOST_TEST((C.statusOf(cancel(Job)) == CommandStatus::OK));
  BOOST_TEST(C.apply(submit(1, false, "order-1")).jobId == Job);
  BOOST_TEST(C.m_State.counters().m_JobsSubmitted == 1);
}

// Guards against a job that is accepted although it can never run or breaks a
// bound.
BOOST_AUTO_TEST_CASE(SubmissionsAreValidated) {
  struct Case {
    std::function<void(wire::SubmitJob &)> m_Break;
    const char *m_Field;
  };
  const std::vector<Case> Cases = {
      {[](auto &S) { S.spec.workspace = "nobody"; }, "spec.workspace"},
      {[](auto &S) { S.spec.tasks = 0; }, "spec.tasks"},
      {[](auto &S) { S.spec.tasks = 257; }, "spec.tasks"},
      {[](auto &S) { S.spec.perTask.cores = -1; }, "spec.perTask"},
      {[](auto &S) { S.spec.perTask = {}; }, "spec.perTask"},
      {[](auto &S) { S.spec.perTask.accelerators = 65; }, "spec.perTask"},
      {[](auto &S) { S.spec.perTask.memoryMib = INT64_MAX; }, "spec.perTask"},
      {[](auto &S) { S.spec.leaseMs = 999; }, "spec.leaseMs"},
      {[](auto &S) { S.spec.leaseMs = 7'200'001; }, "spec.leaseMs"},
      {[](auto &S) { S.spec.deadlineMs = -1; }, "spec.deadlineMs"},
      {[](auto &S) { S.spec.estimateMs = -1; }, "spec.estimateMs"},
      {[](auto &S) { S.spec.name = std::string(129, 'n'); }, "spec.name"},
      {[](auto &S) { S.spec.payload = std::string(65'537, 'p'); },
       "spec.payload"},
      {[](auto &S) { S.spec.urgency = static_cast<wire::Urgency::type>(7); },
       "spec.urgency"},
      {[](auto &S) {
         S.spec.adjacency = static_cast<wire::Adjacency::type>(0);
       },
       "spec.adjacency"},
      {[](auto &S) { S.spec.idempotent = false; }, "submission_id"},
  };
  Cluster C;
  for (const Case &Each : Cases) {
    wire::Command Command = submit(1);
    Each.m_Break(Command.submitJob);
    const wire::CommandResult Result = C.apply(Command);
    BOOST_TEST((Result.status == CommandStatus::INVALID),
               Each.m_Field << ": " << Result.message);
    BOOST_TEST(Result.field == Each.m_Field);
  }
  C.apply(applyConfig(2, documentText(2, "{live_jobs: 1}")));
  BOOST_TEST((C.statusOf(submit(1)) == CommandStatus::OK));
  BOOST_TEST((C.statusOf(submit(1)) == CommandStatus::LIMIT));
}

// Guards against a placement on what is no longer there, and against a partial
// one.
BOOST_AUTO_TEST_CASE(PlacementsAreCheckedAgain) {
  struct Case {
    const char *m_What;
    std::function<void(Cluster &, wire::PlaceJob &)> m_Break;
    CommandStatus::type m_Expected;
  };
  const std::vector<Case> Cases = {
      {"nothing wrong", [](auto &, auto &) {}, CommandStatus::OK},
      {"partial", [](auto &, auto &P) { P.members.pop_back(); },
       CommandStatus::INVALID},
      {"task twice", [](auto &, auto &P) { P.members[1].taskIndex = 0; },
       CommandStatus::INVALID},
      {"task out of range", [](auto &, auto &P) { P.members[1].taskIndex = 2; },
       CommandStatus::INVALID},
      {"unknown job", [](auto &, auto &P) { P.jobId = 99; },
       CommandStatus::NOT_FOUND},
      {"unknown VM", [](auto &, auto &P) { P.members[1].vm = "z"; },
       CommandStatus::REFUSED},
      {"a minion", [](auto &, auto &P) { P.members[1].vm = "m"; },
       CommandStatus::REFUSED},
      {"old incarnation",
       [](auto &C, auto &) { C.apply(registerWorker("b", 2)); },
       CommandStatus::REFUSED},
      {"lost", [](auto &C, auto &) { C.apply(lose("b", 1)); },
       CommandStatus::REFUSED},
      {"draining", [](auto &C, auto &) { C.apply(drain("b", true)); },
       CommandStatus::REFUSED},
      {"quarantined", [](auto &C, auto &) { C.apply(quarantine("b", true)); },
       CommandStatus::REFUSED},
      {"zone withdrawn",
       [](auto &C, auto &) { C.apply(zoneService("kochi", false, "r")); },
       CommandStatus::REFUSED},
      {"taken by another",
       [](auto &C, auto &) {
         C.placed({"b", "b"});
       },
       CommandStatus::REFUSED},
      {"both on one VM",
       [](auto &, auto &P) { P.members[0].vm = P.members[1].vm = "a"; },
       CommandStatus::OK},
      {"too much for one VM",
       [](auto &C, auto &P) {
         C.apply(registerWorker("d", 1, "kochi", 7));
         P.members[0].vm = P.members[1].vm = "d";
       },
       CommandStatus::REFUSED},
      {"quota lowered",
       [](auto &C, auto &) {
         C.apply(applyConfig(2, documentText(2, "{}", 7)));
       },
       CommandStatus::REFUSED},
  };
  for (const Case &Each : Cases) {
    Cluster C;
    wire::Command Command = place(C.apply(submit(2)).jobId, {"a", "b"});
    Each.m_Break(C, Command.placeJob);
    BOOST_TEST((C.statusOf(Command) == Each.m_Expected), Each.m_What);
  }
  Cluster C;
  wire::Command Adjacent = submit(2);
  Adjacent.submitJob.spec.adjacency = wire::Adjacency::RACK;
  Adjacent.submitJob.spec.adjacencyRequired = true;
  const int64_t Job = C.apply(Adjacent).jobId;
  BOOST_TEST((C.statusOf(place(Job, {"a", "c"})) == CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(place(Job, {"a", "b"})) == CommandStatus::OK));
  Adjacent.submitJob.spec.adjacency = wire::Adjacency::VM;
  const int64_t SameVm = C.apply(Adjacent).jobId;
  BOOST_TEST((C.statusOf(place(SameVm, {"a", "b"})) == CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(place(SameVm, {"c", "c"})) == CommandStatus::OK));
}

// Guards against a start on a VM that leaves between the reservation and the
// start (H3, H7).
BOOST_AUTO_TEST_CASE(LeavingTargetsReleaseReservedGangsAndKeepRunningOnes) {
  const std::vector<wire::Command> Leavings = {
      drain("a", true), quarantine("a", true),
      zoneService("kochi", false, "r")};
  for (const wire::Command &Leaving : Leavings) {
    Cluster C;
    const int64_t Running = C.running({"a"}, submit(1));
    const int64_t Reserved = C.placed({"a", "c"}, false);
    C.apply(Leaving);
    BOOST_TEST(C.phase(Running) == "running");
    BOOST_TEST(C.phase(Reserved) == "queued");
    BOOST_TEST(C.usedOn("c") == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
