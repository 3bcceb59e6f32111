#include "anvil/route/Router.h"

#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "RouterHarness.h"

namespace {

using namespace anvil;
using namespace anvil::route;
using namespace anvil::route::testing;
using A = AttemptStep;
using C = ClaimStep;

/// One request, what control and the agents do with it, and what its caller
/// must be told.
struct FaultCase {
  std::string m_Name;
  std::string m_Class;
  std::vector<ClaimStep> m_Claims; ///< The last step repeats.
  std::vector<AttemptStep> m_Attempts;
  std::string m_Result;
  size_t m_Dispatches;
  size_t m_Closes;
};

template <typename Step>
Step takeStep(const std::vector<Step> &Steps, size_t &Next) {
  return Steps.at(std::min(Next++, Steps.size() - 1));
}

struct Observed {
  std::vector<DispatchAction> m_Dispatches;
  std::vector<OpenClaimAction> m_Opens;
};

Observed play(RouterHarness &Harness, const FaultCase &Case) {
  Observed Seen;
  size_t NextClaim = 0;
  size_t NextAttempt = 0;
  const RequestId Id =
      Harness.send(Case.m_Class, Case.m_Class == "reorder" ? "key-1" : "");
  for (int Step = 0; Step < 20000 && Harness.resultOf(Id).empty(); ++Step) {
    if (!Harness.m_Opens.empty()) {
      Seen.m_Opens.push_back(Harness.m_Opens.front());
      Harness.m_Opens.pop_front();
      Harness.finish(Seen.m_Opens.back(), takeStep(Case.m_Claims, NextClaim));
    } else if (!Harness.m_Dispatches.empty()) {
      Seen.m_Dispatches.push_back(Harness.m_Dispatches.front());
      Harness.m_Dispatches.pop_front();
      Harness.finish(Seen.m_Dispatches.back(),
                     takeStep(Case.m_Attempts, NextAttempt));
    } else {
      Harness.advance(milliseconds(10));
    }
  }
  return Seen;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouterTest)

// Guards against a wrong outcome after a fault: a request refused as not run
// that may have run, a non-idempotent request that is dispatched twice without
// proof, and a claim that nobody closes.
BOOST_AUTO_TEST_CASE(EveryFaultEndsWithItsExplicitOutcome) {
  const std::vector<FaultCase> Cases = {
      {"answered", "quote", {}, {A::Completes}, "completed", 1, 0},
      {"busy once", "quote", {}, {A::Busy, A::Completes}, "completed", 2, 0},
      {"busy always", "quote", {}, {A::Busy}, "refused:targets-busy", 3, 0},
      {"unreachable once",
       "quote",
       {},
       {A::NotSent, A::Completes},
       "completed",
       2,
       0},
      {"unreachable always",
       "quote",
       {},
       {A::NotSent},
       "refused:not-sent",
       3,
       0},
      {"answer lost, idempotent",
       "quote",
       {},
       {A::NoAnswer, A::Completes},
       "completed",
       2,
       0},
      {"answer lost, then busy",
       "quote",
       {},
       {A::NoAnswer, A::Busy, A::Busy},
       "unknown",
       3,
       0},
      {"answer lost, then unreachable",
       "quote",
       {},
       {A::NoAnswer, A::NotSent, A::NotSent},
       "unknown",
       3,
       0},
      {"silent agent", "quote", {}, {A::Silent}, "unknown", 1, 0},
      {"agent does not know",
       "quote",
       {},
       {A::RepliesUnknown},
       "unknown",
       3,
       0},
      {"claim granted",
       "reorder",
       {C::Granted},
       {A::Completes},
       "completed",
       1,
       0},
      {"claimed, unreachable once",
       "reorder",
       {C::Granted},
       {A::NotSent, A::Completes},
       "completed",
       2,
       1},
      {"claimed, refused once",
       "reorder",
       {C::Granted},
       {A::Refuses, A::Completes},
       "completed",
       2,
       1},
      {"claimed, refused always",
       "reorder",
       {C::Granted},
       {A::Refuses},
       "refused:targets-busy",
       3,
       3},
      {"claimed, agent does not know",
       "reorder",
       {C::Granted},
       {A::RepliesUnknown},
       "unknown",
       1,
       0},
      {"claimed, silent agent",
       "reorder",
       {C::Granted},
       {A::Silent},
       "unknown",
       1,
       0},
      {"claimed, answer lost, outcome stored",
       "reorder",
       {C::Granted, C::Held, C::ClosedCompleted},
       {A::NoAnswer},
       "completed",
       1,
       0},
      {"claimed, answer lost for good",
       "reorder",
       {C::Granted, C::Held},
       {A::NoAnswer},
       "unknown",
       1,
       0},
      {"claimed, answer lost, proved not run",
       "reorder",
       {C::Granted, C::Held, C::Granted},
       {A::NoAnswer, A::Completes},
       "completed",
       2,
       0},
      {"held, then freed",
       "reorder",
       {C::Held, C::Held, C::Granted},
       {A::Completes},
       "completed",
       1,
       0},
      {"held for good", "reorder", {C::Held}, {}, "unknown", 0, 0},
      {"closed as completed",
       "reorder",
       {C::ClosedCompleted},
       {},
       "completed",
       0,
       0},
      {"closed as unknown", "reorder", {C::ClosedUnknown}, {}, "unknown", 0, 0},
      {"key of another request",
       "reorder",
       {C::Conflict},
       {},
       "refused:key-conflict",
       0,
       0},
      {"claims at their limit",
       "reorder",
       {C::Limit},
       {},
       "refused:claims-full",
       0,
       0},
      {"target left before its claim",
       "reorder",
       {C::Refused, C::Granted},
       {A::Completes},
       "completed",
       1,
       0},
      {"claim refused for good",
       "reorder",
       {C::Refused},
       {},
       "refused:claim-refused",
       0,
       0},
      {"control unreachable",
       "reorder",
       {C::NotSent},
       {},
       "refused:control-silent",
       0,
       0},
      {"claim answer lost once",
       "reorder",
       {C::NoAnswer, C::Granted},
       {A::Completes},
       "completed",
       1,
       0},
      {"claim never answered",
       "reorder",
       {C::Silent},
       {},
       "refused:control-silent",
       0,
       0},
  };
  for (const FaultCase &Case : Cases) {
    RouterHarness Harness;
    const Observed Seen = play(Harness, Case);
    BOOST_TEST_CONTEXT(Case.m_Name) {
      BOOST_TEST(Harness.resultOf(RequestId(1)) == Case.m_Result);
      BOOST_TEST(Seen.m_Dispatches.size() == Case.m_Dispatches);
      BOOST_TEST(Harness.m_Closes.size() == Case.m_Closes);
      BOOST_TEST(Harness.m_DoubleAnswers == 0);
      BOOST_TEST(Harness.m_Router.counters().m_InProgress == 0U);
      BOOST_TEST(Harness.m_Router.counters().m_Bytes == 0U);
      std::set<int64_t> Tokens;
      for (const DispatchAction &Each : Seen.m_Dispatches)
        Tokens.insert(Each.m_Request.claimToken);
      if (Case.m_Class == "reorder")
        BOOST_TEST(Tokens.size() == Seen.m_Dispatches.size(),
                   "a claim token was dispatched twice");
    }
  }
}

// Guards against two tags for one grant: a repeated call must find its own
// grant, and any other call must not.
BOOST_AUTO_TEST_CASE(OnlyALostClaimCallIsRepeatedUnchanged) {
  RouterHarness Lost;
  const Observed Repeated = play(
      Lost,
      {"", "reorder", {C::NoAnswer, C::Granted}, {A::Completes}, "", 0, 0});
  BOOST_REQUIRE(Repeated.m_Opens.size() == 2U);
  BOOST_TEST((Repeated.m_Opens[0].m_Claim == Repeated.m_Opens[1].m_Claim));

  RouterHarness Held;
  const Observed Polled = play(Held, {"",
                                      "reorder",
                                      {C::Granted, C::Held, C::ClosedUnknown},
                                      {A::NoAnswer},
                                      "",
                                      0,
                                      0});
  BOOST_REQUIRE(Polled.m_Opens.size() == 3U);
  BOOST_TEST(Polled.m_Opens[0].m_Claim.attemptId !=
             Polled.m_Opens[1].m_Claim.attemptId);
  BOOST_TEST(Polled.m_Opens[0].m_Claim.requestDigest ==
             Polled.m_Opens[1].m_Claim.requestDigest);
  BOOST_TEST(Polled.m_Opens[0].m_Claim.claimId == "w/sieve/key-1");
}

// Guards against a claim that stays open for ever because its grant came after
// the caller was answered.
BOOST_AUTO_TEST_CASE(ClosesAClaimThatIsGrantedTooLate) {
  RouterHarness Harness;
  const Observed Seen =
      play(Harness, {"", "reorder", {C::Silent}, {}, "", 0, 0});
  BOOST_TEST(Harness.resultOf(RequestId(1)) == "refused:control-silent");

  Harness.finish(Seen.m_Opens.at(0), C::NoAnswer);
  Harness.advance(std::chrono::seconds(2));
  BOOST_REQUIRE(Harness.m_Opens.size() == 1U);
  BOOST_TEST((Harness.m_Opens[0].m_Claim == Seen.m_Opens[0].m_Claim));
  Harness.finish(Harness.m_Opens[0], C::Granted);

  BOOST_REQUIRE(Harness.m_Closes.size() == 1U);
  BOOST_TEST(Harness.m_Closes[0].m_Claim.outcome.token == Harness.m_LastToken);
  BOOST_TEST(
      (Harness.m_Closes[0].m_Claim.outcome.outcome == wire::Outcome::NOT_RUN));
  BOOST_TEST(Harness.m_Dispatches.empty());
}

// Guards against a late answer that reaches a caller a second time, or that
// leaves its target occupied for ever.
BOOST_AUTO_TEST_CASE(DropsAndCountsLateAnswers) {
  RouterHarness Harness(100, 1);
  Harness.send("quote");
  const DispatchAction Slow = Harness.m_Dispatches.front();
  Harness.advance(std::chrono::seconds(11));
  BOOST_TEST(Harness.resultOf(RequestId(1)) == "unknown");

  Harness.finish(Slow, A::Completes);
  Harness.finish(Slow, A::Completes);

  BOOST_TEST(Harness.m_Router.counters().m_LateAnswers == 2);
  BOOST_TEST(Harness.m_DoubleAnswers == 0);
  Harness.m_Dispatches.clear();
  for (int Index = 0; Index < 10; ++Index)
    Harness.send("quote");
  // 8 slots and 2 requests that wait at the agent.
  BOOST_TEST(Harness.m_Dispatches.size() == 10U);
}

// Guards against an agent that went silent and keeps attracting requests
// because it looks idle.
BOOST_AUTO_TEST_CASE(AvoidsAFailedAgentUntilItsPenaltyHasDecayed) {
  RouterHarness Harness;
  Harness.send("quote");
  const std::string Failed = Harness.m_Dispatches.front().m_AgentAddress;
  Harness.finish(Harness.m_Dispatches.front(), A::NoAnswer);
  Harness.finish(Harness.m_Dispatches.at(1), A::Completes);
  // The requests stay in flight, so the failed agent is the least loaded one by
  // far.
  const auto CountFailed = [&Harness, &Failed](int Requests) {
    Harness.m_Dispatches.clear();
    for (int Index = 0; Index < Requests; ++Index)
      Harness.send("quote");
    return std::count_if(Harness.m_Dispatches.begin(),
                         Harness.m_Dispatches.end(),
                         [&Failed](const DispatchAction &Each) {
                           return Each.m_AgentAddress == Failed;
                         });
  };

  // 8 slots and 2 waiting requests at each of the three others.
  BOOST_TEST(CountFailed(30) == 0);
  Harness.advance(std::chrono::seconds(5));
  BOOST_TEST(CountFailed(10) > 0);
}

// Guards against an entry that fills an agent which other entries already keep
// busy.
BOOST_AUTO_TEST_CASE(LeavesOutAnAgentThatReportedTheLoadOfOthers) {
  RouterHarness Harness(100, 2);
  Harness.send("quote");
  const DispatchAction First = Harness.m_Dispatches.front();
  wire::ExecuteReply Reply;
  Reply.outcome = wire::Outcome::COMPLETED;
  Reply.load.busySlots = 8;
  Harness.step(AttemptEnded{First.m_Attempt, Reply});
  Harness.m_Dispatches.clear();

  for (int Index = 0; Index < 8; ++Index)
    Harness.send("quote");
  BOOST_TEST(Harness.m_Dispatches.size() == 8U);
  for (const DispatchAction &Each : Harness.m_Dispatches)
    BOOST_TEST(Each.m_AgentAddress != First.m_AgentAddress);

  // An old report says nothing about the load of now.
  Harness.advance(std::chrono::seconds(1));
  Harness.send("quote");
  BOOST_TEST(Harness.m_Dispatches.back().m_AgentAddress ==
             First.m_AgentAddress);
}

// Guards against traffic between availability zones while the own zone has as
// much room.
BOOST_AUTO_TEST_CASE(PrefersItsOwnZoneAtEqualLoad) {
  RouterHarness Harness;
  int Near = 0;
  for (int Index = 0; Index < 200; ++Index) {
    Harness.m_Dispatches.clear();
    Harness.send("quote");
    const std::string &Vm = Harness.m_Dispatches.front().m_AgentAddress;
    Near += Vm == "m0" || Vm == "m1" ? 1 : 0;
    Harness.finish(Harness.m_Dispatches.front(), A::Completes);
  }
  // Two of four targets are near: a pair has none of them with probability 1/6.
  BOOST_TEST(Near > 145);
}

// Guards against entries that multiply the load of a service that refuses
// everything.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudgetWhenEveryAgentRefuses) {
  int64_t Requests = 0;
  int64_t Retries = 0;
  for (int Entry = 0; Entry < 3; ++Entry) {
    RouterHarness Harness;
    for (int Index = 0; Index < 2000; ++Index) {
      Harness.send("quote");
      for (int Try = 0; Try < 3 && !Harness.m_Dispatches.empty(); ++Try) {
        const DispatchAction Next = Harness.m_Dispatches.front();
        Harness.m_Dispatches.pop_front();
        Harness.finish(Next, A::Refuses);
      }
      Harness.advance(milliseconds(25));
    }
    BOOST_TEST(Harness.m_Router.counters().m_RetriesDenied > 0);
    Requests += Harness.m_Router.counters().m_Requests;
    Retries += Harness.m_Router.counters().m_Retries;
  }
  BOOST_TEST_MESSAGE("requests " << Requests << ", retries " << Retries);
  // 10% of the requests, and the constant of 3 for each entry and each window
  // of 10 s in 50 s.
  constexpr int64_t Constants = int64_t{3} * 3 * 6;
  BOOST_TEST(Retries <= Requests / 10 + Constants);
}

// Guards against an urgent request behind a queue of reports, and against
// reports that wait for ever.
BOOST_AUTO_TEST_CASE(QueueGoesByUrgencyWithAgeing) {
  RouterHarness Harness(100, 1);
  for (int Index = 0; Index < 10; ++Index)
    Harness.send("quote");
  const std::deque<DispatchAction> Running =
      std::exchange(Harness.m_Dispatches, {});
  const RequestId OldReport = Harness.send("report");
  Harness.advance(std::chrono::seconds(9));
  const RequestId FirstQuote = Harness.send("quote");
  const RequestId NewReport = Harness.send("report");
  const RequestId SecondQuote = Harness.send("quote");
  BOOST_TEST(Harness.m_Dispatches.empty());

  for (int Index = 0; Index < 3; ++Index)
    Harness.finish(Running[static_cast<size_t>(Index)], A::Completes);

  // The old report has waited 9 s, less than the 15 s by which overnight ranks
  // behind urgent.
  BOOST_REQUIRE(Harness.m_Dispatches.size() == 3U);
  BOOST_TEST(Harness.m_Dispatches[0].m_Id == FirstQuote);
  BOOST_TEST(Harness.m_Dispatches[1].m_Id == SecondQuote);
  BOOST_TEST(Harness.m_Dispatches[2].m_Id == OldReport);
  BOOST_TEST(Harness.resultOf(NewReport).empty());
}

/// Input that is refused at once.
struct BadCall {
  std::string m_Service;
  std::string m_Workspace;
  std::string m_Class;
  std::string m_Key;
  std::string m_Result;
};

// Guards against bad input that is routed, or refused without the reason.
BOOST_AUTO_TEST_CASE(RefusesBadInput) {
  const std::string LongKey(256, 'k');
  for (const BadCall &Case :
       {BadCall{"nope", "w", "quote", "", "refused:unknown-service"},
        {"sieve", "x", "quote", "", "refused:unknown-workspace"},
        {"sieve", "", "quote", "", "refused:unknown-workspace"},
        {"sieve", "w", "nope", "", "refused:unknown-class"},
        {"sieve", "w", "", "", "refused:unknown-class"},
        {"sieve", "w", "reorder", "", "refused:key-required"},
        {"sieve", "w", "reorder", "a b", "refused:key-invalid"},
        {"sieve", "w", "reorder", LongKey, "refused:key-invalid"}}) {
    RouterHarness Harness;
    RequestArrived Call;
    Call.m_Id = RequestId(1);
    Call.m_Service = Case.m_Service;
    Call.m_Workspace = Case.m_Workspace;
    Call.m_Class = Case.m_Class;
    Call.m_Key = Case.m_Key;
    Harness.step(Call);
    BOOST_TEST(Harness.resultOf(RequestId(1)) == Case.m_Result);
    BOOST_TEST(Harness.m_Dispatches.empty());
  }
}

// Guards against requests that are routed without a fresh read, or that wait in
// silence when control is lost.
BOOST_AUTO_TEST_CASE(RefusesEverythingWithoutControl) {
  RouterHarness Harness(100, 1);
  for (int Index = 0; Index < 12; ++Index)
    Harness.send("quote");
  BOOST_TEST(Harness.m_Router.counters().m_Queued == 2U);
  Harness.m_ControlAlive = false;
  Harness.advance(milliseconds(2400));
  BOOST_TEST(Harness.m_Results.empty());

  Harness.advance(milliseconds(200));

  BOOST_TEST(Harness.resultOf(RequestId(12)) == "refused:control-silent");
  BOOST_TEST(Harness.resultOf(Harness.send("quote")) ==
             "refused:control-silent");
  BOOST_TEST(Harness.m_Refusals.back().m_RetryAfter.has_value());
  BOOST_TEST(!Harness.m_Router.ready(Harness.m_Now));
  // A request that an agent has still gets its answer.
  Harness.finish(Harness.m_Dispatches.front(), A::Completes);
  BOOST_TEST(Harness.resultOf(RequestId(1)) == "completed");
}

// Guards against a shutdown that drops requests in progress or takes new ones.
BOOST_AUTO_TEST_CASE(ShutdownFinishesWhatItHasAndRefusesTheRest) {
  RouterHarness Harness(100, 1);
  for (int Index = 0; Index < 11; ++Index)
    Harness.send("quote");

  Harness.step(ShutdownStarted{});

  BOOST_TEST(Harness.resultOf(Harness.send("quote")) ==
             "refused:shutting-down");
  while (!Harness.m_Dispatches.empty()) {
    const DispatchAction Next = Harness.m_Dispatches.front();
    Harness.m_Dispatches.pop_front();
    Harness.finish(Next, A::Completes);
  }
  for (int64_t Id = 1; Id <= 11; ++Id)
    BOOST_TEST(Harness.resultOf(RequestId(Id)) == "completed");
}

// Guards against a withdrawn target that keeps receiving requests, also after
// it was chosen for a claim.
BOOST_AUTO_TEST_CASE(SendsNothingToATargetThatLeft) {
  RouterHarness Harness(100, 1);
  Harness.send("reorder", "key-1");
  RoutesChanged Routes;
  Routes.m_Routes = {makeTarget("m0", "kochi")};
  Routes.m_Routes[0].usable = false;
  Harness.step(Routes);

  Harness.finish(Harness.m_Opens.front(), C::Granted);

  BOOST_TEST(Harness.m_Dispatches.empty());
  BOOST_TEST(Harness.m_Closes.size() == 1U);
  BOOST_TEST(Harness.resultOf(Harness.send("quote")) == "refused:no-target");
}

BOOST_AUTO_TEST_SUITE_END()
