#include "anvil/runner/Runner.h"

#include <deque>
#include <optional>

#include <boost/test/unit_test.hpp>

namespace anvil::runner {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t Token = 7;
constexpr int64_t WorkerClockMs = 100'000;
constexpr int64_t NextLifeStartedAtMs = 2000;
constexpr Duration LeaseSpan = seconds(12);

wire::TaskRef taskNumber(int32_t Index) {
  wire::TaskRef Ref;
  Ref.jobId = "00000000000000aa";
  Ref.index = Index;
  return Ref;
}

/// A runner whose calls to the worker and syncs are answered by the test.
struct Bench {
  Bench() {
    RunnerOptions Options;
    Options.m_AgentIncarnation = "agent-1";
    Options.m_Address = "10.0.0.9:7000";
    Options.m_LeaseSpan = LeaseSpan;
    Options.m_MaxWorkerLease = seconds(6);
    Options.m_StopTime = milliseconds(400);
    m_Runner = *Runner::create(Options);
    m_Incarnation.id = "w-1";
    m_Incarnation.startedAtMs = 1000;
  }

  void step(const Event &Incoming) {
    for (Action &Each : m_Runner->step(Incoming, m_Now))
      if (const auto *Sync = std::get_if<SendSync>(&Each))
        m_Syncs.push_back(Sync->m_Request);
      else
        m_Actions.push_back(std::move(Each));
  }
  /// Returns the newest sync. Older ones fail first, since the runner limits
  /// the number of outstanding syncs.
  wire::WorkerSyncRequest report() {
    while (m_Syncs.size() > 1) {
      const int64_t Oldest = m_Syncs.front().sequence;
      m_Syncs.pop_front();
      step(SyncFailed{Oldest});
    }
    BOOST_REQUIRE(!m_Syncs.empty());
    return m_Syncs.front();
  }
  /// Answers the newest sync.
  void replyWith(const wire::WorkerSyncReply &Reply) {
    const int64_t Sequence = report().sequence;
    m_Syncs.clear();
    step(SyncAnswered{Sequence, Reply});
  }
  void pass(Duration Span) {
    m_Now += Span;
    step(Tick{});
  }
  /// Removes all actions of one type and returns the newest.
  template <typename Type> std::optional<Type> take() {
    std::optional<Type> Found;
    std::erase_if(m_Actions, [&](const Action &Each) {
      const auto *Match = std::get_if<Type>(&Each);
      if (Match)
        Found = *Match;
      return Match != nullptr;
    });
    return Found;
  }
  CallAnswer answer(CallId Call, CallError Error = CallError::None) const {
    CallAnswer Result;
    Result.m_Call = Call;
    Result.m_Error = Error;
    if (Error != CallError::NoAnswer) {
      Result.m_ClockMs = WorkerClockMs;
      Result.m_StartedAtMs = m_Incarnation.startedAtMs;
    }
    return Result;
  }
  /// Answers the newest start order, without the incarnation as workers do.
  CallAnswer answerToStart() {
    CallAnswer Result = answer(take<StartCall>()->m_Call);
    Result.m_StartedAtMs.reset();
    return Result;
  }
  /// Returns the announcement of the worker's next life under the same id.
  WorkerAnnounced nextLifeAnnounced() const {
    WorkerAnnounced Result;
    Result.m_Info.incarnation = m_Incarnation;
    Result.m_Info.incarnation.startedAtMs = NextLifeStartedAtMs;
    return Result;
  }
  /// Answers a hold as the worker's next life under the same id does.
  void answerAsNextLife(CallId Call) {
    CallAnswer Result = answer(Call);
    Result.m_StartedAtMs = NextLifeStartedAtMs;
    step(Result);
    pass(milliseconds(50));
  }
  wire::WorkerSyncReply reply(int64_t Confirmed) const {
    wire::WorkerSyncReply Reply;
    Reply.isLeader = true;
    Reply.fencingToken = Token;
    Reply.registered = m_Incarnation;
    Reply.confirmedSequence = Confirmed;
    return Reply;
  }
  wire::RunOrder order(int32_t Index, int64_t Run) const {
    wire::RunOrder Order;
    Order.task = taskNumber(Index);
    Order.run = Run;
    Order.payload = "payload";
    return Order;
  }

  /// Announces and registers the worker, so that the runner carries out orders.
  void serve() {
    WorkerAnnounced Announced;
    Announced.m_Info.incarnation = m_Incarnation;
    step(Announced);
    step(answer(take<HoldCall>()->m_Call));
    pass(milliseconds(25));
    replyWith(reply(report().sequence));
    step(answer(take<HoldCall>()->m_Call));
    BOOST_REQUIRE(m_Runner->serving());
    m_ClockReadAt = m_Now;
    m_OpenHold = take<HoldCall>()->m_Call;
    pass(milliseconds(25));
  }
  /// Orders starts with the reply to the newest sync.
  void order(std::vector<wire::RunOrder> Starts) {
    wire::WorkerSyncReply Reply = reply(report().sequence);
    Reply.starts = std::move(Starts);
    replyWith(Reply);
    pass(milliseconds(25));
  }

  TimePoint m_Now = TimePoint() + seconds(1);
  wire::WorkerIncarnation m_Incarnation;
  std::unique_ptr<Runner> m_Runner;
  std::vector<Action> m_Actions;
  std::deque<wire::WorkerSyncRequest> m_Syncs; ///< Not answered yet.
  TimePoint m_ClockReadAt; ///< When the worker last reported its clock.
  CallId m_OpenHold = 0;   ///< Hold that the worker has not answered.
};

} // namespace

BOOST_AUTO_TEST_SUITE(RunnerTest)

// Guards against options without a lease, with which no run could ever start.
BOOST_AUTO_TEST_CASE(RefusesOptionsWithoutALease) {
  RunnerOptions Options;
  Options.m_AgentIncarnation = "agent-1";
  BOOST_TEST(!Runner::create(Options).ok());
}

// Guards against registering an earlier incarnation because its announcement
// arrives late. The worker that answers the probe is another incarnation.
BOOST_FIXTURE_TEST_CASE(DropsAnAnnouncementThatTheWorkerDoesNotConfirm, Bench) {
  WorkerAnnounced Late;
  Late.m_Info.incarnation = m_Incarnation;
  step(Late);
  CallAnswer Other = answer(take<HoldCall>()->m_Call);
  Other.m_StartedAtMs = m_Incarnation.startedAtMs + 1;
  step(Other);
  pass(milliseconds(50));
  for (const wire::WorkerSyncRequest &Sync : m_Syncs)
    BOOST_TEST(Sync.info.incarnation.id.empty());
  BOOST_TEST(!m_Runner->serving());
}

// Guards against a lease that outlives the authority of the leader, which ends
// the lease span after the confirmed sync was sent. The lease end has to be
// converted to the worker's clock.
BOOST_FIXTURE_TEST_CASE(StartsWithALeaseThatEndsWithTheAuthority, Bench) {
  serve();
  order({order(0, 1)});
  const auto Start = take<StartCall>();
  BOOST_REQUIRE(Start);
  BOOST_TEST(Start->m_FencingToken == Token);
  const auto Left = std::chrono::duration_cast<milliseconds>(
      m_Runner->authorityEnd() - m_ClockReadAt);
  BOOST_TEST(Start->m_LeaseEndMs <= WorkerClockMs + Left.count());
  BOOST_TEST((m_Runner->authorityEnd() <= m_Now + LeaseSpan));
}

// Guards against a start after the authority of the leader has expired, when
// the run may have been placed on another worker.
BOOST_FIXTURE_TEST_CASE(OrdersNothingWithoutAConfirmedLeader, Bench) {
  serve();
  m_Now += LeaseSpan + seconds(1);
  wire::WorkerSyncReply Stale = reply(0);
  Stale.starts = {order(0, 1)};
  replyWith(Stale);
  BOOST_TEST(!take<StartCall>());
  pass(seconds(1));
  BOOST_TEST(!take<StartCall>());
}

// Guards against reporting a run as not started while a start order for it is
// in flight. It would run twice if the worker carried the order out late.
BOOST_FIXTURE_TEST_CASE(GivesBackAnUnansweredRunOnlyAfterAnAnsweredStop,
                        Bench) {
  serve();
  order({order(0, 1)});
  step(answer(take<StartCall>()->m_Call, CallError::NoAnswer));
  wire::WorkerSyncReply Reply = reply(report().sequence);
  wire::RunRef Ref;
  Ref.task = taskNumber(0);
  Ref.run = 1;
  Reply.stops = {Ref};
  replyWith(Reply);
  const auto Stop = take<StopCall>();
  BOOST_REQUIRE(Stop);
  pass(milliseconds(25));
  BOOST_TEST(report().ends.empty());

  // The worker confirms the stop, and a later list does not contain the run.
  step(answer(Stop->m_Call));
  pass(milliseconds(25));
  step(answer(m_OpenHold));
  const auto Hold = take<HoldCall>();
  BOOST_REQUIRE(Hold);
  pass(milliseconds(50));
  step(answer(Hold->m_Call));
  pass(milliseconds(50));
  const wire::WorkerSyncRequest Report = report();
  BOOST_REQUIRE(Report.ends.size() == 1);
  BOOST_TEST((Report.ends[0].kind == wire::RunEndKind::NOT_STARTED));
}

// Guards against acknowledging an end to the worker before the leader has
// committed it. The end would be lost if the leader failed.
BOOST_FIXTURE_TEST_CASE(AcknowledgesAnEndOnlyOnceItIsDurable, Bench) {
  serve();
  order({order(0, 1)});
  step(answer(take<StartCall>()->m_Call));
  // The hold that serve() left open lists the end.
  CallAnswer Ended = answer(m_OpenHold);
  ListedEnd End;
  End.m_Number = 1;
  End.m_Task = taskNumber(0);
  End.m_Run = 1;
  Ended.m_Ends = {End};
  step(Ended);
  for (const Action &Each : m_Actions)
    if (const auto *Again = std::get_if<HoldCall>(&Each))
      BOOST_TEST(Again->m_AcknowledgedEnd == 0);
  pass(milliseconds(25));
  const wire::WorkerSyncRequest Report = report();
  BOOST_REQUIRE(Report.ends.size() == 1);

  m_Actions.clear();
  wire::WorkerSyncReply Durable = reply(Report.sequence);
  Durable.acknowledgedEndNumber = Report.firstEndNumber;
  replyWith(Durable);
  const auto Acknowledged = take<HoldCall>();
  BOOST_REQUIRE(Acknowledged);
  BOOST_TEST(Acknowledged->m_AcknowledgedEnd == 1);
}

// Guards against a restarted worker that carries out late orders for its
// earlier incarnation. The first call to it carries a higher token than those
// orders.
BOOST_FIXTURE_TEST_CASE(FencesTheNextLifeAboveAllFormerOrders, Bench) {
  serve();
  step(nextLifeAnnounced());
  const auto Probe = take<HoldCall>();
  BOOST_REQUIRE(Probe);
  BOOST_TEST(Probe->m_Incarnation.startedAtMs == NextLifeStartedAtMs);
  BOOST_TEST(Probe->m_FencingToken > Token);
}

// Guards against placing a task a second time while the next life of its worker
// runs it: the answer to a start order does not tell which life carried it out.
BOOST_FIXTURE_TEST_CASE(KeepsARunThatTheNextLifeMayHaveStarted, Bench) {
  serve();
  order({order(0, 1)});
  step(answerToStart());
  step(answer(m_OpenHold, CallError::NoAnswer));
  pass(milliseconds(250));
  answerAsNextLife(take<HoldCall>()->m_Call);
  const wire::WorkerSyncRequest Report = report();
  BOOST_TEST((Report.endedIncarnation == m_Incarnation));
  BOOST_REQUIRE(Report.unaccountedRuns.size() == 1);
  BOOST_TEST((Report.unaccountedRuns[0].task == taskNumber(0)));
}

// Guards against waiting for the next life of a worker before the runs that the
// former one listed are placed again.
BOOST_FIXTURE_TEST_CASE(GivesUpTheRunsThatTheFormerLifeListed, Bench) {
  serve();
  order({order(0, 1)});
  step(answerToStart());
  CallAnswer List = answer(m_OpenHold);
  ListedRun Listed;
  Listed.m_Task = taskNumber(0);
  Listed.m_Run = 1;
  List.m_Runs = {Listed};
  step(List);
  answerAsNextLife(take<HoldCall>()->m_Call);
  BOOST_TEST((report().endedIncarnation == m_Incarnation));
  BOOST_TEST(report().unaccountedRuns.empty());
}

// Guards against waiting for the end of a lease although the worker's closed
// port shows that a run which it had confirmed is over.
BOOST_FIXTURE_TEST_CASE(GivesUpRunsThatWereConfirmedBeforeThePortClosed,
                        Bench) {
  serve();
  order({order(0, 1)});
  step(answerToStart());
  step(answer(m_OpenHold, CallError::NoAnswer));
  for (int I = 0; I < 2; ++I) {
    pass(milliseconds(250));
    step(answer(take<HoldCall>()->m_Call, CallError::Unreachable));
  }
  BOOST_TEST((report().endedIncarnation == m_Incarnation));
  BOOST_TEST(report().unaccountedRuns.empty());
}

// Guards against a restarted worker that carries out late orders for its
// earlier incarnation before it has announced itself.
BOOST_FIXTURE_TEST_CASE(FencesTheNextLifeBeforeItAnnouncesItself, Bench) {
  serve();
  m_Actions.clear();
  answerAsNextLife(m_OpenHold);
  for (int I = 0; I < 3; ++I) {
    const auto Fence = take<HoldCall>();
    BOOST_REQUIRE(Fence);
    BOOST_TEST(Fence->m_Incarnation.id == m_Incarnation.id);
    BOOST_TEST(Fence->m_FencingToken > Token);
    BOOST_TEST(!Fence->m_LeaseEndMs);
    step(answer(Fence->m_Call, CallError::Unreachable));
    pass(milliseconds(100));
  }
  pass(seconds(60));
  take<HoldCall>();
  pass(seconds(60));
  BOOST_TEST(!take<HoldCall>());
}

// Guards against tokens that rise with each late announcement, until the worker
// refuses the orders of its own agent.
BOOST_FIXTURE_TEST_CASE(ProbesWithTheSameTokenUntilANewRegistration, Bench) {
  serve();
  step(nextLifeAnnounced());
  const auto First = take<HoldCall>();
  BOOST_REQUIRE(First);
  step(answer(First->m_Call, CallError::NoAnswer));
  step(nextLifeAnnounced());
  const auto Second = take<HoldCall>();
  BOOST_REQUIRE(Second);
  BOOST_TEST(First->m_FencingToken > Token);
  BOOST_TEST(Second->m_FencingToken == First->m_FencingToken);
}

// Guards against starting runs on a worker that is about to leave.
BOOST_FIXTURE_TEST_CASE(ReportsRunsAsNotStartedWhileTheWorkerDrains, Bench) {
  serve();
  WorkerAnnounced Draining;
  Draining.m_Info.incarnation = m_Incarnation;
  Draining.m_Draining = true;
  Draining.m_Remaining = seconds(2);
  step(Draining);
  m_Actions.clear();
  order({order(0, 1)});
  BOOST_TEST(!take<StartCall>());
  const wire::WorkerSyncRequest Report = report();
  BOOST_REQUIRE(Report.ends.size() == 1);
  BOOST_TEST((Report.ends[0].kind == wire::RunEndKind::NOT_STARTED));
}

/// Returns a listed end of run 1 of a task.
ListedEnd listedEnd(int32_t Index, int64_t Number) {
  ListedEnd End;
  End.m_Number = Number;
  End.m_Task = taskNumber(Index);
  End.m_Run = 1;
  return End;
}

// Guards against a second start of a run whose end was acknowledged: a start
// order without an answer arrives once the worker has forgotten the end.
BOOST_FIXTURE_TEST_CASE(AcknowledgesAnEndOnlyOnceItsStartIsRuledOut, Bench) {
  serve();
  order({order(0, 1), order(1, 1)});
  std::vector<CallId> Starts;
  for (const Action &Each : m_Actions)
    if (const auto *Start = std::get_if<StartCall>(&Each))
      Starts.push_back(Start->m_Call);
  BOOST_REQUIRE(Starts.size() == 2);
  m_Actions.clear();
  step(answer(Starts[0]));
  step(answer(Starts[1], CallError::NoAnswer));
  CallAnswer Ended = answer(m_OpenHold);
  Ended.m_Ends = {listedEnd(0, 1), listedEnd(1, 2)};
  step(Ended);
  const auto Stop = take<StopCall>();
  BOOST_REQUIRE(Stop);
  BOOST_TEST((Stop->m_Task == taskNumber(1)));
  BOOST_TEST(Stop->m_Run == 1);

  pass(milliseconds(25));
  const wire::WorkerSyncRequest Report = report();
  BOOST_REQUIRE(Report.ends.size() == 2);
  wire::WorkerSyncReply Durable = reply(Report.sequence);
  Durable.acknowledgedEndNumber = Report.firstEndNumber + 1;
  m_Actions.clear();
  replyWith(Durable);
  // The end of the answered start is acknowledged, the other one is not.
  const auto First = take<HoldCall>();
  BOOST_REQUIRE(First);
  BOOST_TEST(First->m_AcknowledgedEnd == 1);

  // A stop without an answer proves nothing and is repeated.
  step(answer(Stop->m_Call, CallError::NoAnswer));
  BOOST_TEST(!take<HoldCall>());
  pass(milliseconds(250));
  const auto Again = take<StopCall>();
  BOOST_REQUIRE(Again);
  step(answer(Again->m_Call));
  const auto Second = take<HoldCall>();
  BOOST_REQUIRE(Second);
  BOOST_TEST(Second->m_AcknowledgedEnd == 2);
}

// Guards against keeping a run for the next life of a worker because a stop is
// in flight. The task would wait for the end of a lease if no such life comes.
BOOST_FIXTURE_TEST_CASE(GivesUpAListedRunWhoseStopIsInFlight, Bench) {
  serve();
  order({order(0, 1)});
  step(answerToStart());
  CallAnswer List = answer(m_OpenHold);
  ListedRun Listed;
  Listed.m_Task = taskNumber(0);
  Listed.m_Run = 1;
  List.m_Runs = {Listed};
  step(List);
  const CallId Hold = take<HoldCall>()->m_Call;
  pass(milliseconds(25));
  wire::WorkerSyncReply Reply = reply(report().sequence);
  wire::RunRef Ref;
  Ref.task = taskNumber(0);
  Ref.run = 1;
  Reply.stops = {Ref};
  replyWith(Reply);
  BOOST_REQUIRE(take<StopCall>());
  step(answer(Hold, CallError::Unreachable));
  pass(milliseconds(250));
  step(answer(take<HoldCall>()->m_Call, CallError::Unreachable));
  pass(milliseconds(25));
  BOOST_TEST((report().endedIncarnation == m_Incarnation));
  BOOST_TEST(report().unaccountedRuns.empty());
}

// Guards against starting a run on a worker that drains by a repeated order:
// the start may arrive seconds after the worker should get no new runs.
BOOST_FIXTURE_TEST_CASE(RulesOutAnUnansweredStartWhileTheWorkerDrains, Bench) {
  serve();
  order({order(0, 1)});
  const CallId Start = take<StartCall>()->m_Call;
  step(answer(Start, CallError::NoAnswer));
  WorkerAnnounced Draining;
  Draining.m_Info.incarnation = m_Incarnation;
  Draining.m_Draining = true;
  Draining.m_Remaining = seconds(2);
  step(Draining);
  pass(milliseconds(250));
  BOOST_TEST(!take<StartCall>());
  const auto Stop = take<StopCall>();
  BOOST_REQUIRE(Stop);
  step(answer(Stop->m_Call));
  pass(milliseconds(25));
  step(answer(m_OpenHold));
  const auto Hold = take<HoldCall>();
  BOOST_REQUIRE(Hold);
  pass(milliseconds(50));
  step(answer(Hold->m_Call));
  pass(milliseconds(50));
  const wire::WorkerSyncRequest Report = report();
  BOOST_REQUIRE(Report.ends.size() == 1);
  BOOST_TEST((Report.ends[0].kind == wire::RunEndKind::NOT_STARTED));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::runner
