#include "anvil/route/Router.h"

#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "RouterHarness.h"

namespace {

using namespace anvil;
using namespace anvil::route;
using namespace anvil::route::testing;
using Attempt = AttemptStep;
using Claim = ClaimStep;

/// One request, the answers of control and the agents, and the expected result.
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

Observed runCase(RouterHarness &Harness, const FaultCase &Case) {
  Observed Actions;
  size_t NextClaim = 0;
  size_t NextAttempt = 0;
  const RequestId Id =
      Harness.send(Case.m_Class, Case.m_Class == "reorder" ? "key-1" : "");
  for (int Step = 0; Step < 20000 && Harness.resultOf(Id).empty(); ++Step) {
    if (!Harness.m_Opens.empty()) {
      Actions.m_Opens.push_back(Harness.m_Opens.front());
      Harness.m_Opens.pop_front();
      Harness.finish(Actions.m_Opens.back(),
                     takeStep(Case.m_Claims, NextClaim));
    } else if (!Harness.m_Dispatches.empty()) {
      Actions.m_Dispatches.push_back(Harness.m_Dispatches.front());
      Harness.m_Dispatches.pop_front();
      Harness.finish(Actions.m_Dispatches.back(),
                     takeStep(Case.m_Attempts, NextAttempt));
    } else {
      Harness.advance(milliseconds(10));
    }
  }
  return Actions;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RouterTest)

// Guards against a wrong outcome after a fault: a request that may have run but
// is refused as not run, a non-idempotent request that is dispatched twice
// without proof that it did not run, and a claim that is never closed.
BOOST_AUTO_TEST_CASE(EveryFaultEndsWithItsExplicitOutcome) {
  const std::vector<FaultCase> Cases = {
      {"answered", "quote", {}, {Attempt::Completes}, "completed", 1, 0},
      {"busy once",
       "quote",
       {},
       {Attempt::Busy, Attempt::Completes},
       "completed",
       2,
       0},
      {"busy always",
       "quote",
       {},
       {Attempt::Busy},
       "refused:targets-busy",
       3,
       0},
      {"unreachable once",
       "quote",
       {},
       {Attempt::NotSent, Attempt::Completes},
       "completed",
       2,
       0},
      {"unreachable always",
       "quote",
       {},
       {Attempt::NotSent},
       "refused:not-sent",
       3,
       0},
      {"answer lost, idempotent",
       "quote",
       {},
       {Attempt::NoAnswer, Attempt::Completes},
       "completed",
       2,
       0},
      {"answer lost, then busy",
       "quote",
       {},
       {Attempt::NoAnswer, Attempt::Busy, Attempt::Busy},
       "unknown",
       3,
       0},
      {"answer lost, then unreachable",
       "quote",
       {},
       {Attempt::NoAnswer, Attempt::NotSent, Attempt::NotSent},
       "unknown",
       3,
       0},
      {"silent agent", "quote", {}, {Attempt::Silent}, "unknown", 1, 0},
      {"agent does not know",
       "quote",
       {},
       {Attempt::RepliesUnknown},
       "unknown",
       3,
       0},
      {"claim granted",
       "reorder",
       {Claim::Granted},
       {Attempt::Completes},
       "completed",
       1,
       0},
      {"claimed, unreachable once",
       "reorder",
       {Claim::Granted},
       {Attempt::NotSent, Attempt::Completes},
       "completed",
       2,
       1},
      {"claimed, refused once",
       "reorder",
       {Claim::Granted},
       {Attempt::Refuses, Attempt::Completes},
       "completed",
       2,
       1},
      {"claimed, refused always",
       "reorder",
       {Claim::Granted},
       {Attempt::Refuses},
       "refused:targets-busy",
       3,
       3},
      {"claimed, agent does not know",
       "reorder",
       {Claim::Granted},
       {Attempt::RepliesUnknown},
       "unknown",
       1,
       0},
      {"claimed, silent agent",
       "reorder",
       {Claim::Granted},
       {Attempt::Silent},
       "unknown",
       1,
       0},
      {"claimed, answer lost, outcome stored",
       "reorder",
       {Claim::Granted, Claim::Held, Claim::ClosedCompleted},
       {Attempt::NoAnswer},
       "completed",
       1,
       0},
      {"claimed, answer lost for good",
       "reorder",
       {Claim::Granted, Claim::Held},
       {Attempt::NoAnswer},
       "unknown",
       1,
       0},
      {"claimed, answer lost, proved not run",
       "reorder",
       {Claim::Granted, Claim::Held, Claim::Granted},
       {Attempt::NoAnswer, Attempt::Completes},
       "completed",
       2,
       0},
      {"held, then freed",
       "reorder",
       {Claim::Held, Claim::Held, Claim::Granted},
       {Attempt::Completes},
       "completed",
       1,
       0},
      {"held for good", "reorder", {Claim::Held}, {}, "unknown", 0, 0},
      {"closed as completed",
       "reorder",
       {Claim::ClosedCompleted},
       {},
       "completed",
       0,
       0},
      {"closed as unknown",
       "reorder",
       {Claim::ClosedUnknown},
       {},
       "unknown",
       0,
       0},
      {"key of another request",
       "reorder",
       {Claim::Conflict},
       {},
       "refused:key-conflict",
       0,
       0},
      {"claims at their limit",
       "reorder",
       {Claim::Limit},
       {},
       "refused:claims-full",
       0,
       0},
      {"target left before its claim",
       "reorder",
       {Claim::Refused, Claim::Granted},
       {Attempt::Completes},
       "completed",
       1,
       0},
      {"claim refused for good",
       "reorder",
       {Claim::Refused},
       {},
       "refused:claim-refused",
       0,
       0},
      {"control unreachable",
       "reorder",
       {Claim::NotSent},
       {},
       "refused:control-silent",
       0,
       0},
      {"claim answer lost once",
       "reorder",
       {Claim::NoAnswer, Claim::Granted},
       {Attempt::Completes},
       "completed",
       1,
       0},
      {"claim never answered",
       "reorder",
       {Claim::Silent},
       {},
       "refused:control-silent",
       0,
       0},
  };
  for (const FaultCase &Case : Cases) {
    RouterHarness Harness;
    const Observed Actions = runCase(Harness, Case);
    BOOST_TEST_CONTEXT(Case.m_Name) {
      BOOST_TEST(Harness.resultOf(RequestId(1)) == Case.m_Result);
      BOOST_TEST(Actions.m_Dispatches.size() == Case.m_Dispatches);
      BOOST_TEST(Harness.m_Closes.size() == Case.m_Closes);
      BOOST_TEST(Harness.m_DoubleAnswers == 0);
      BOOST_TEST(Harness.m_Router.counters().m_InProgress == 0U);
      BOOST_TEST(Harness.m_Router.counters().m_Bytes == 0U);
      std::set<int64_t> Tokens;
      for (const DispatchAction &Dispatch : Actions.m_Dispatches)
        Tokens.insert(Dispatch.m_Request.claimToken);
      if (Case.m_Class == "reorder")
        BOOST_TEST(Tokens.size() == Actions.m_Dispatches.size(),
                   "a claim token was dispatched twice");
    }
  }
}

// Guards against a claim call that control can't match to its grant. Only a
// repetition after a lost answer may carry the same attempt id.
BOOST_AUTO_TEST_CASE(OnlyALostClaimCallIsRepeatedUnchanged) {
  RouterHarness Lost;
  const Observed Repeated = runCase(Lost, {"",
                                           "reorder",
                                           {Claim::NoAnswer, Claim::Granted},
                                           {Attempt::Completes},
                                           "",
                                           0,
                                           0});
  BOOST_REQUIRE(Repeated.m_Opens.size() == 2U);
  BOOST_TEST((Repeated.m_Opens[0].m_Claim == Repeated.m_Opens[1].m_Claim));

  RouterHarness Held;
  const Observed Polled =
      runCase(Held, {"",
                     "reorder",
                     {Claim::Granted, Claim::Held, Claim::ClosedUnknown},
                     {Attempt::NoAnswer},
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

// Guards against a claim that stays open forever because it was granted after
// the caller had been answered.
BOOST_AUTO_TEST_CASE(ClosesAClaimThatIsGrantedTooLate) {
  RouterHarness Harness;
  const Observed Actions =
      runCase(Harness, {"", "reorder", {Claim::Silent}, {}, "", 0, 0});
  BOOST_TEST(Harness.resultOf(RequestId(1)) == "refused:control-silent");

  Harness.finish(Actions.m_Opens.at(0), Claim::NoAnswer);
  Harness.advance(std::chrono::seconds(2));
  BOOST_REQUIRE(Harness.m_Opens.size() == 1U);
  BOOST_TEST((Harness.m_Opens[0].m_Claim == Actions.m_Opens[0].m_Claim));
  Harness.finish(Harness.m_Opens[0], Claim::Granted);

  BOOST_REQUIRE(Harness.m_Closes.size() == 1U);
  BOOST_TEST(Harness.m_Closes[0].m_Claim.outcome.token == Harness.m_LastToken);
  BOOST_TEST(
      (Harness.m_Closes[0].m_Claim.outcome.outcome == wire::Outcome::NOT_RUN));
  BOOST_TEST(Harness.m_Dispatches.empty());
}

// Guards against a second answer to a caller when a reply arrives after the
// deadline, and against a target that counts as occupied forever.
BOOST_AUTO_TEST_CASE(DropsAndCountsLateAnswers) {
  RouterHarness Harness(100, 1);
  Harness.send("quote");
  const DispatchAction Slow = Harness.m_Dispatches.front();
  Harness.advance(std::chrono::seconds(11));
  BOOST_TEST(Harness.resultOf(RequestId(1)) == "unknown");

  Harness.finish(Slow, Attempt::Completes);
  Harness.finish(Slow, Attempt::Completes);

  BOOST_TEST(Harness.m_Router.counters().m_LateAnswers == 2);
  BOOST_TEST(Harness.m_DoubleAnswers == 0);
  Harness.m_Dispatches.clear();
  for (int Index = 0; Index < 10; ++Index)
    Harness.send("quote");
  // The target takes 8 requests in slots and 2 in its queue.
  BOOST_TEST(Harness.m_Dispatches.size() == 10U);
}

// Guards against routing to an agent that stopped answering, which looks idle
// because it has few outstanding requests.
BOOST_AUTO_TEST_CASE(AvoidsAFailedAgentUntilItsPenaltyHasDecayed) {
  RouterHarness Harness;
  Harness.send("quote");
  const std::string Failed = Harness.m_Dispatches.front().m_AgentAddress;
  Harness.finish(Harness.m_Dispatches.front(), Attempt::NoAnswer);
  Harness.finish(Harness.m_Dispatches.at(1), Attempt::Completes);
  // The requests stay in flight, so the failed agent has by far the lowest
  // load.
  const auto CountFailed = [&Harness, &Failed](int Requests) {
    Harness.m_Dispatches.clear();
    for (int Index = 0; Index < Requests; ++Index)
      Harness.send("quote");
    return std::count_if(Harness.m_Dispatches.begin(),
                         Harness.m_Dispatches.end(),
                         [&Failed](const DispatchAction &Dispatch) {
                           return Dispatch.m_AgentAddress == Failed;
                         });
  };

  // Dispatch of the three other agents takes 8 requests in slots and 2 in its
  // queue.
  BOOST_TEST(CountFailed(30) == 0);
  Harness.advance(std::chrono::seconds(5));
  BOOST_TEST(CountFailed(10) > 0);
}

// Guards against routing to an agent that other entries already keep busy. Its
// replies report that load.
BOOST_AUTO_TEST_CASE(AvoidsAnAgentThatReportedTheLoadOfOtherEntries) {
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
  for (const DispatchAction &Dispatch : Harness.m_Dispatches)
    BOOST_TEST(Dispatch.m_AgentAddress != First.m_AgentAddress);

  // An old report no longer counts.
  Harness.advance(std::chrono::seconds(1));
  Harness.send("quote");
  BOOST_TEST(Harness.m_Dispatches.back().m_AgentAddress ==
             First.m_AgentAddress);
}

// Guards against traffic between availability zones while the entry's own zone
// has the same load.
BOOST_AUTO_TEST_CASE(PrefersItsOwnZoneAtEqualLoad) {
  RouterHarness Harness;
  int Near = 0;
  for (int Index = 0; Index < 200; ++Index) {
    Harness.m_Dispatches.clear();
    Harness.send("quote");
    const std::string &Vm = Harness.m_Dispatches.front().m_AgentAddress;
    Near += Vm == "m0" || Vm == "m1" ? 1 : 0;
    Harness.finish(Harness.m_Dispatches.front(), Attempt::Completes);
  }
  // Two of the four targets are in the own zone. A random pair has none of them
  // with probability 1/6.
  BOOST_TEST(Near > 145);
}

// Guards against retries that multiply the load of a service whose agents
// refuse every request.
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
        Harness.finish(Next, Attempt::Refuses);
      }
      Harness.advance(milliseconds(25));
    }
    BOOST_TEST(Harness.m_Router.counters().m_RetriesDenied > 0);
    Requests += Harness.m_Router.counters().m_Requests;
    Retries += Harness.m_Router.counters().m_Retries;
  }
  BOOST_TEST_MESSAGE("requests " << Requests << ", retries " << Retries);
  // The budget is 10% of the requests plus 3 for each entry and each window of
  // 10 s in 50 s.
  constexpr int64_t Constants = int64_t{3} * 3 * 6;
  BOOST_TEST(Retries <= Requests / 10 + Constants);
}

// Guards against an urgent request that waits behind queued reports, and
// against reports that starve.
BOOST_AUTO_TEST_CASE(QueueIsOrderedByUrgencyWithAging) {
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
    Harness.finish(Running[static_cast<size_t>(Index)], Attempt::Completes);

  // The old report has waited 9 s, less than the 15 s that overnight requests
  // rank behind urgent ones.
  BOOST_REQUIRE(Harness.m_Dispatches.size() == 3U);
  BOOST_TEST(Harness.m_Dispatches[0].m_Id == FirstQuote);
  BOOST_TEST(Harness.m_Dispatches[1].m_Id == SecondQuote);
  BOOST_TEST(Harness.m_Dispatches[2].m_Id == OldReport);
  BOOST_TEST(Harness.resultOf(NewReport).empty());
}

/// Invalid request and the expected refusal.
struct InvalidCall {
  std::string m_Service;
  std::string m_Workspace;
  std::string m_Class;
  std::string m_Key;
  std::string m_Result;
};

// Guards against invalid requests that are routed or refused for another
// reason.
BOOST_AUTO_TEST_CASE(RefusesInvalidRequests) {
  const std::string LongKey(256, 'k');
  for (const InvalidCall &Case :
       {InvalidCall{"nope", "w", "quote", "", "refused:unknown-service"},
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

// Guards against requests that are routed without a fresh read, or that stay
// queued until their deadline when control can't be reached.
BOOST_AUTO_TEST_CASE(RefusesAllRequestsWithoutControl) {
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
  // A request that is already running still gets its answer.
  Harness.finish(Harness.m_Dispatches.front(), Attempt::Completes);
  BOOST_TEST(Harness.resultOf(RequestId(1)) == "completed");
}

// Guards against a shutdown that drops requests in progress or accepts new
// ones.
BOOST_AUTO_TEST_CASE(ShutdownFinishesRequestsInProgressAndRefusesNewOnes) {
  RouterHarness Harness(100, 1);
  for (int Index = 0; Index < 11; ++Index)
    Harness.send("quote");

  Harness.step(ShutdownStarted{});

  BOOST_TEST(Harness.resultOf(Harness.send("quote")) ==
             "refused:shutting-down");
  while (!Harness.m_Dispatches.empty()) {
    const DispatchAction Next = Harness.m_Dispatches.front();
    Harness.m_Dispatches.pop_front();
    Harness.finish(Next, Attempt::Completes);
  }
  for (int64_t Id = 1; Id <= 11; ++Id)
    BOOST_TEST(Harness.resultOf(RequestId(Id)) == "completed");
}

// Guards against sending requests to a withdrawn target, including a request
// that had reserved it while its claim was pending.
BOOST_AUTO_TEST_CASE(SendsNothingToATargetThatLeft) {
  RouterHarness Harness(100, 1);
  Harness.send("reorder", "key-1");
  RoutesChanged Routes;
  Routes.m_Routes = {makeTarget("m0", "kochi")};
  Routes.m_Routes[0].usable = false;
  Harness.step(Routes);

  Harness.finish(Harness.m_Opens.front(), Claim::Granted);

  BOOST_TEST(Harness.m_Dispatches.empty());
  BOOST_TEST(Harness.m_Closes.size() == 1U);
  BOOST_TEST(Harness.resultOf(Harness.send("quote")) == "refused:no-target");
}

BOOST_AUTO_TEST_SUITE_END()
