#include "agent/GateBench.h"

using namespace anvil;
using namespace anvil::agent;
using std::chrono::milliseconds;

namespace {
constexpr int None = 0;
constexpr int Completed = wire::Outcome::COMPLETED;
constexpr int NotRun = wire::Outcome::NOT_RUN;
constexpr int Unknown = wire::Outcome::UNKNOWN;

AgentOptions oneSlot() {
  AgentOptions Options;
  Options.m_Slots = 1;
  return Options;
}

/// Advances the clock by at least \p Span and answers every heartbeat, so that
/// the permit does not expire.
void passWithPermit(GateBench &Bench, Duration Span) {
  const TimePoint End = Bench.m_Now + Span;
  while (Bench.m_Now < End)
    Bench.exchangeHeartbeat();
}
} // namespace

BOOST_AUTO_TEST_SUITE(RequestTest)

struct ExchangeEnd {
  const char *m_Name;
  bool m_AnyByteSent;
  bool m_ConnectFailed;
  int m_Outcome;
};

// Guards against the outcome "not run" for a request that the minion may have
// received before the connection failed.
BOOST_AUTO_TEST_CASE(OutcomeFollowsTheBytesSent) {
  const ExchangeEnd Cases[] = {
      {"no connection", false, true, NotRun},
      {"closed before the first byte", false, false, NotRun},
      {"closed after the first byte", true, false, Unknown}};
  for (const ExchangeEnd &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      GateBench Bench;
      Bench.makeReady();
      const int64_t Call = Bench.arrive(GateBench::request("a", 3));
      Bench.fail(0, Case.m_AnyByteSent, Case.m_ConnectFailed);
      BOOST_TEST(Bench.outcome(Call) == Case.m_Outcome);
      Bench.nextHeartbeat();
      BOOST_REQUIRE(Bench.m_Heartbeats.back().outcomes.size() == 1);
      BOOST_TEST(Bench.m_Heartbeats.back().outcomes[0].outcome ==
                 Case.m_Outcome);
    }
  }
}

// Guards against sending the minion more requests than it has slots.
BOOST_AUTO_TEST_CASE(SlotsLimitExchanges) {
  GateBench Bench;
  Bench.makeReady();
  for (int Index = 0; Index < 12; ++Index)
    Bench.arrive(GateBench::request("r" + std::to_string(Index)));
  BOOST_TEST(Bench.m_Sent.size() == 8);
  BOOST_TEST(Bench.m_Gate->load().busySlots == 8);
  BOOST_TEST(Bench.m_Gate->load().queued == 4);
  Bench.answer(3);
  BOOST_TEST(Bench.m_Sent.size() == 9);
}

// Guards against reusing a slot while the minion still processes a request
// whose deadline has passed.
BOOST_AUTO_TEST_CASE(SlotStaysTakenAfterTheCallersDeadline) {
  GateBench Bench(oneSlot());
  Bench.makeReady();
  const int64_t Late = Bench.arrive(GateBench::request("a", 3, 1000));
  passWithPermit(Bench, milliseconds(1500));
  const int64_t Next = Bench.arrive(GateBench::request("b"));

  BOOST_TEST(Bench.outcome(Late) == Unknown);
  BOOST_TEST(Bench.m_Sent.size() == 1);
  Bench.answer(0);
  BOOST_TEST(Bench.m_Sent.size() == 2);
  BOOST_TEST(Bench.outcome(Next) == None);
  Bench.nextHeartbeat();
  BOOST_REQUIRE(Bench.m_Heartbeats.back().outcomes.size() == 1);
  BOOST_TEST(Bench.m_Heartbeats.back().outcomes[0].outcome == Completed);
}

// Guards against losing a slot forever because the minion never answers.
BOOST_AUTO_TEST_CASE(HungExchangeIsAbandoned) {
  GateBench Bench(oneSlot());
  Bench.makeReady();
  Bench.arrive(GateBench::request("a", 3, 1000));
  passWithPermit(Bench, std::chrono::seconds(62));
  BOOST_TEST(Bench.m_Abandoned == 1);
  BOOST_TEST(Bench.m_Gate->load().busySlots == 0);
  BOOST_TEST(Bench.m_Heartbeats.back().outcomes.at(0).outcome == Unknown);
}

// Guards against a queue that exceeds its limit, or that refuses requests of
// another class.
BOOST_AUTO_TEST_CASE(QueueOfAClassOverflows) {
  AgentOptions Options = oneSlot();
  Options.m_QueueLimit = 2;
  GateBench Bench(Options);
  Bench.makeReady();
  for (int Index = 0; Index < 3; ++Index)
    Bench.arrive(GateBench::request("r"));
  const int64_t Overflow = Bench.arrive(GateBench::request("r"));
  wire::ExecuteRequest Other = GateBench::request("o");
  Other.className = "report";
  const int64_t OtherClass = Bench.arrive(Other);

  BOOST_TEST(Bench.outcome(Overflow) == NotRun);
  BOOST_TEST(Bench.m_Replies.at(Overflow).retryAfterMs > 0);
  BOOST_TEST(Bench.outcome(OtherClass) == None);
}

// Guards against starting a request whose deadline passed in the queue.
BOOST_AUTO_TEST_CASE(DeadlinePassesInTheQueue) {
  GateBench Bench(oneSlot());
  Bench.makeReady();
  Bench.arrive(GateBench::request("a"));
  const int64_t Queued = Bench.arrive(GateBench::request("b", 0, 100));
  const int64_t Expired = Bench.arrive(GateBench::request("c", 0, 0));
  Bench.advance(milliseconds(100));
  Bench.answer(0);
  BOOST_TEST(Bench.outcome(Queued) == NotRun);
  BOOST_TEST(Bench.outcome(Expired) == NotRun);
  BOOST_TEST(Bench.m_Sent.size() == 1);
}

// Guards against urgent requests that wait behind batch requests, and against
// batch requests that starve.
BOOST_AUTO_TEST_CASE(QueueIsOrderedByUrgencyWithAging) {
  GateBench Bench(oneSlot());
  Bench.makeReady();
  Bench.arrive(GateBench::request("first", 0, 60000));
  wire::ExecuteRequest Batch = GateBench::request("batch", 0, 60000);
  Batch.urgency = wire::Urgency::BATCH;
  Batch.className = "report";
  Bench.arrive(Batch);
  Bench.arrive(GateBench::request("urgent", 0, 60000));
  passWithPermit(Bench, std::chrono::seconds(16));
  Bench.arrive(GateBench::request("urgent and later", 0, 60000));
  for (size_t Index = 0; Index < 3; ++Index)
    Bench.answer(Index);

  BOOST_REQUIRE(Bench.m_Sent.size() == 4);
  BOOST_TEST(Bench.m_Sent[1].m_Request.requestId == "urgent");
  BOOST_TEST(Bench.m_Sent[2].m_Request.requestId == "batch");
  BOOST_TEST(Bench.m_Sent[3].m_Request.requestId == "urgent and later");
}

// Guards against a claim token that runs twice, or whose repetition gets
// another outcome than the first request.
BOOST_AUTO_TEST_CASE(RepeatedTokenWaitsThenGetsTheStoredOutcome) {
  GateBench Bench;
  Bench.makeReady();
  const int64_t First = Bench.arrive(GateBench::request("a", 3));
  const int64_t While = Bench.arrive(GateBench::request("a", 3));
  BOOST_TEST(Bench.outcome(While) == None);
  Bench.answer(0, "serials 1-25");
  const int64_t After = Bench.arrive(GateBench::request("a", 3));

  for (const int64_t Call : {First, While, After}) {
    BOOST_TEST(Bench.outcome(Call) == Completed);
    BOOST_TEST(Bench.m_Replies.at(Call).body == "serials 1-25");
  }
  BOOST_TEST(Bench.m_Sent.size() == 1);
}

// Guards against running a token after its request was refused as not run. The
// refusal frees the claim for another agent.
BOOST_AUTO_TEST_CASE(RefusedTokenStaysRefused) {
  GateBench Bench;
  Bench.step(MinionProbed{true});
  const int64_t Refused = Bench.arrive(GateBench::request("a", 3));
  Bench.exchangeHeartbeat();
  const int64_t Repeat = Bench.arrive(GateBench::request("a", 3));
  BOOST_TEST(Bench.outcome(Refused) == NotRun);
  BOOST_TEST(Bench.outcome(Repeat) == NotRun);
  BOOST_TEST(Bench.m_Sent.empty());
}

// Guards against running requests that were claimed for an earlier incarnation
// of the agent.
BOOST_AUTO_TEST_CASE(OtherIncarnationIsRefused) {
  GateBench Bench;
  Bench.makeReady();
  wire::ExecuteRequest Request = GateBench::request("a", 3);
  Request.incarnation = GateBench::Incarnation - 1;
  BOOST_TEST(Bench.outcome(Bench.arrive(Request)) == NotRun);
  BOOST_TEST(Bench.m_Sent.empty());
}

// Guards against the outcome "not run" for a token that an earlier incarnation
// may have run. The claim would be freed and the request would run again.
BOOST_AUTO_TEST_CASE(OtherIncarnationDoesNotKnowATokenThatWasSentBefore) {
  GateBench Bench;
  Bench.makeReady();
  wire::ExecuteRequest Request = GateBench::request("a", 3);
  Request.incarnation = GateBench::Incarnation - 1;
  Request.tokenSentBefore = true;
  BOOST_TEST(Bench.outcome(Bench.arrive(Request)) == Unknown);
  BOOST_TEST(Bench.m_Sent.empty());
}

// Guards against outcomes that are lost before control has them, or that are
// reported forever.
BOOST_AUTO_TEST_CASE(OutcomesRepeatUntilAcknowledged) {
  GateBench Bench;
  Bench.makeReady();
  Bench.arrive(GateBench::request("a", 3));
  Bench.answer(0);
  Bench.exchangeHeartbeat();
  const int64_t Sequence = Bench.nextHeartbeat();
  BOOST_TEST(Bench.m_Heartbeats.back().outcomes.size() == 1);
  wire::AgentHeartbeatReply Reply = GateBench::reply(Sequence);
  Reply.acknowledgedClaims = {"w/s/3"};
  Bench.step(HeartbeatReplied{Reply});
  Bench.nextHeartbeat();
  BOOST_TEST(Bench.m_Heartbeats.back().outcomes.empty());
}

// Guards against refusing claims because regular heartbeats report fewer
// outcomes than a fast minion produces.
BOOST_AUTO_TEST_CASE(FastClaimsAreReportedEarly) {
  GateBench Bench;
  Bench.makeReady();
  int64_t Refused = 0;
  for (int64_t Token = 1; Token <= 8000; ++Token) {
    const int64_t Call = Bench.arrive(GateBench::request("r", Token));
    Refused += Bench.outcome(Call) == NotRun ? 1 : 0;
    Bench.answer(Bench.m_Sent.size() - 1);
    const size_t Before = Bench.m_Heartbeats.size();
    Bench.pass(milliseconds(Token % 2));
    if (Bench.m_Heartbeats.size() == Before)
      continue;
    wire::AgentHeartbeatReply Reply =
        GateBench::reply(Bench.m_Heartbeats.back().sequence);
    for (const wire::ClaimOutcome &Outcome : Bench.m_Heartbeats.back().outcomes)
      Reply.acknowledgedClaims.push_back(Outcome.claimId);
    Bench.step(HeartbeatReplied{Reply});
  }
  BOOST_TEST(Refused == 0);
  BOOST_TEST(Bench.m_Heartbeats.size() <= 22,
             "4 s allow one heartbeat each 200 ms");
}

// Guards against losing the outcome of a claim because an earlier grant with
// the same claim id is acknowledged.
BOOST_AUTO_TEST_CASE(AcknowledgementCoversOnlyWhatWasReported) {
  GateBench Bench;
  Bench.makeReady();
  wire::ExecuteRequest First = GateBench::request("a", 3);
  Bench.arrive(First);
  Bench.fail(0, false);
  const int64_t Sequence = Bench.nextHeartbeat();
  wire::ExecuteRequest Second = First;
  Second.claimToken = 9;
  Bench.arrive(Second);
  Bench.answer(1);
  wire::AgentHeartbeatReply Reply = GateBench::reply(Sequence);
  Reply.acknowledgedClaims = {First.claimId};
  Bench.step(HeartbeatReplied{Reply});
  Bench.nextHeartbeat();
  BOOST_REQUIRE(Bench.m_Heartbeats.back().outcomes.size() == 1);
  BOOST_TEST(Bench.m_Heartbeats.back().outcomes[0].token == 9);
}

// Guards against an agent that runs out of memory or drops outcomes while
// control acknowledges none.
BOOST_AUTO_TEST_CASE(ClaimsAreBounded) {
  AgentOptions Options;
  Options.m_MaxUnackedClaims = 3;
  Options.m_MaxTokens = 4;
  GateBench Bench(Options);
  Bench.makeReady();
  for (int64_t Token = 1; Token <= 3; ++Token) {
    Bench.arrive(GateBench::request("r", Token));
    Bench.answer(Bench.m_Sent.size() - 1);
  }
  BOOST_TEST(Bench.outcome(Bench.arrive(GateBench::request("r", 4))) == NotRun);
  BOOST_TEST(Bench.outcome(Bench.arrive(GateBench::request("r", 5))) == NotRun);
  BOOST_TEST(Bench.outcome(Bench.arrive(GateBench::request("r", 0))) == None);
  // Token 4 is forgotten by now. It must neither be reported as not run nor
  // run.
  BOOST_TEST(Bench.outcome(Bench.arrive(GateBench::request("r", 4))) ==
             Unknown);
  BOOST_TEST(Bench.outcome(Bench.arrive(GateBench::request("r", 2))) ==
             Completed);
  BOOST_TEST(Bench.m_Sent.size() == 4);
}

// Guards against answering a repeated request with an empty body because the
// response was too large to store.
BOOST_AUTO_TEST_CASE(ResponseTooLargeToStoreBecomesUnknown) {
  AgentOptions Options;
  Options.m_MaxStoredBody = 10;
  GateBench Bench(Options);
  Bench.makeReady();
  const int64_t First = Bench.arrive(GateBench::request("a", 3));
  Bench.answer(0, "more than ten bytes");
  BOOST_TEST(Bench.outcome(First) == Completed);
  BOOST_TEST(Bench.outcome(Bench.arrive(GateBench::request("a", 3))) ==
             Unknown);
}

// Guards against a restarted agent that uses slots which requests of its
// earlier incarnation still occupy.
BOOST_AUTO_TEST_CASE(WaitsForTheSettleTimeBeforeTheFirstProbe) {
  GateBench Bench;
  const TimePoint FirstTick = Bench.m_Now + milliseconds(50);
  passWithPermit(Bench, milliseconds(1000));
  BOOST_TEST(!Bench.m_Heartbeats.back().targetHealthy);
  BOOST_TEST(Bench.m_Replies[Bench.arrive(GateBench::request("a"))].reason ==
             "minion does not accept connections");
  Bench.pass(FirstTick + milliseconds(1950) - Bench.m_Now);
  BOOST_TEST(Bench.m_Probes == 0);
  Bench.pass(milliseconds(50));
  BOOST_TEST(Bench.m_Probes == 1);
}

// Guards against sending requests to a minion that refuses connections, and
// against refusing requests after it has recovered.
BOOST_AUTO_TEST_CASE(UnreachableMinionIsProbedUntilItReturns) {
  GateBench Bench;
  Bench.makeReady();
  for (size_t Index = 0; Index < 3; ++Index) {
    Bench.arrive(GateBench::request("r"));
    Bench.fail(Index, false, true);
  }
  BOOST_TEST(Bench.outcome(Bench.arrive(GateBench::request("r"))) == NotRun);
  BOOST_TEST(Bench.m_Sent.size() == 3);
  const int ProbesBefore = Bench.m_Probes;
  passWithPermit(Bench, std::chrono::seconds(1));
  BOOST_TEST(!Bench.m_Heartbeats.back().targetHealthy);
  BOOST_TEST(Bench.m_Probes == ProbesBefore + 1);
  Bench.step(MinionProbed{true});
  Bench.arrive(GateBench::request("r"));
  BOOST_TEST(Bench.m_Sent.size() == 4);
}

// Guards against a draining agent that accepts new work, exits while a request
// is in progress, or exits before control has the outcomes.
BOOST_AUTO_TEST_CASE(LeavesOnceEverythingIsReported) {
  GateBench Bench(oneSlot());
  Bench.makeReady();
  const int64_t Running = Bench.arrive(GateBench::request("a", 3));
  const int64_t Queued = Bench.arrive(GateBench::request("b", 4));
  Bench.step(DrainBegin{});
  BOOST_TEST(Bench.outcome(Queued) == NotRun);
  BOOST_TEST(Bench.outcome(Bench.arrive(GateBench::request("c"))) == NotRun);
  passWithPermit(Bench, std::chrono::seconds(8));
  BOOST_TEST(Bench.m_Heartbeats.back().shuttingDown);
  BOOST_TEST(Bench.m_Leaves.empty());
  Bench.answer(0);
  BOOST_TEST(Bench.outcome(Running) == Completed);
  passWithPermit(Bench, std::chrono::seconds(8));
  BOOST_TEST(Bench.m_Leaves.empty());
  wire::AgentHeartbeatReply Reply = GateBench::reply(Bench.nextHeartbeat());
  Reply.acknowledgedClaims = {"w/s/3", "w/s/4"};
  Bench.step(HeartbeatReplied{Reply});
  BOOST_REQUIRE(Bench.m_Leaves.size() == 1);
  BOOST_TEST(Bench.m_Leaves[0].m_CutOff.empty());
  BOOST_TEST(Bench.m_Leaves[0].m_UnreportedOutcomes == 0);
}

// Guards against a drain that never ends, and against one that does not report
// which requests it cut off.
BOOST_AUTO_TEST_CASE(DrainLimitCutsOffAndReportsIt) {
  AgentOptions Options;
  Options.m_DrainLimit = std::chrono::seconds(30);
  GateBench Bench(Options);
  Bench.makeReady();
  const int64_t Running = Bench.arrive(GateBench::request("a", 3, 100000));
  Bench.step(DrainBegin{});
  Bench.pass(std::chrono::seconds(30));
  BOOST_TEST(Bench.outcome(Running) == Unknown);
  BOOST_REQUIRE(Bench.m_Leaves.size() == 1);
  BOOST_TEST(Bench.m_Leaves[0].m_CutOff.at(0) == "request=a");
  BOOST_TEST(Bench.m_Heartbeats.back().outcomes.at(0).outcome == Unknown);
}

BOOST_AUTO_TEST_SUITE_END()
