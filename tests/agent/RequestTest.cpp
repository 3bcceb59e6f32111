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

/// Keeps the permit for \p Span.
void passWithPermit(GateBench &B, Duration Span) {
  const TimePoint End = B.m_Now + Span;
  while (B.m_Now < End)
    B.beat();
}
} // namespace

BOOST_AUTO_TEST_SUITE(RequestTest)

struct ExchangeEnd {
  const char *m_Name;
  bool m_AnyByteSent;
  bool m_ConnectFailed;
  int m_Outcome;
};

// Guards against "not run" for a request that the minion may have seen (H5).
BOOST_AUTO_TEST_CASE(OutcomeFollowsTheBytesSent) {
  const ExchangeEnd Cases[] = {
      {"no connection", false, true, NotRun},
      {"closed before the first byte", false, false, NotRun},
      {"closed after the first byte", true, false, Unknown}};
  for (const ExchangeEnd &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      GateBench B;
      B.ready();
      const int64_t Call = B.arrive(GateBench::request("a", 3));
      B.fail(0, Case.m_AnyByteSent, Case.m_ConnectFailed);
      BOOST_TEST(B.outcome(Call) == Case.m_Outcome);
      B.nextHeartbeat();
      BOOST_REQUIRE(B.m_Heartbeats.back().outcomes.size() == 1);
      BOOST_TEST(B.m_Heartbeats.back().outcomes[0].outcome == Case.m_Outcome);
    }
  }
}

// Guards against more requests at the minion than it has slots.
BOOST_AUTO_TEST_CASE(SlotsLimitExchanges) {
  GateBench B;
  B.ready();
  for (int Index = 0; Index < 12; ++Index)
    B.arrive(GateBench::request("r" + std::to_string(Index)));
  BOOST_TEST(B.m_Sent.size() == 8);
  BOOST_TEST(B.m_Gate->load().busySlots == 8);
  BOOST_TEST(B.m_Gate->load().queued == 4);
  B.answer(3);
  BOOST_TEST(B.m_Sent.size() == 9);
}

// Guards against a slot that is given away while the minion still works for a
// caller whose deadline has passed.
BOOST_AUTO_TEST_CASE(SlotStaysTakenAfterTheCallersDeadline) {
  GateBench B(oneSlot());
  B.ready();
  const int64_t Late = B.arrive(GateBench::request("a", 3, 1000));
  passWithPermit(B, milliseconds(1500));
  const int64_t Next = B.arrive(GateBench::request("b"));

  BOOST_TEST(B.outcome(Late) == Unknown);
  BOOST_TEST(B.m_Sent.size() == 1);
  B.answer(0);
  BOOST_TEST(B.m_Sent.size() == 2);
  BOOST_TEST(B.outcome(Next) == None);
  B.nextHeartbeat();
  BOOST_REQUIRE(B.m_Heartbeats.back().outcomes.size() == 1);
  BOOST_TEST(B.m_Heartbeats.back().outcomes[0].outcome == Completed);
}

// Guards against a minion that never answers and takes its slot for good.
BOOST_AUTO_TEST_CASE(HungExchangeIsAbandoned) {
  GateBench B(oneSlot());
  B.ready();
  B.arrive(GateBench::request("a", 3, 1000));
  passWithPermit(B, std::chrono::seconds(62));
  BOOST_TEST(B.m_Abandoned == 1);
  BOOST_TEST(B.m_Gate->load().busySlots == 0);
  BOOST_TEST(B.m_Heartbeats.back().outcomes.at(0).outcome == Unknown);
}

// Guards against a full queue that grows or that takes another class's places.
BOOST_AUTO_TEST_CASE(QueueOfAClassOverflows) {
  AgentOptions Options = oneSlot();
  Options.m_QueueLimit = 2;
  GateBench B(Options);
  B.ready();
  for (int Index = 0; Index < 3; ++Index)
    B.arrive(GateBench::request("r"));
  const int64_t Overflow = B.arrive(GateBench::request("r"));
  wire::ExecuteRequest Other = GateBench::request("o");
  Other.className = "report";
  const int64_t OtherClass = B.arrive(Other);

  BOOST_TEST(B.outcome(Overflow) == NotRun);
  BOOST_TEST(B.m_Replies.at(Overflow).retryAfterMs > 0);
  BOOST_TEST(B.outcome(OtherClass) == None);
}

// Guards against a request that starts after its deadline passed in the queue.
BOOST_AUTO_TEST_CASE(DeadlinePassesInTheQueue) {
  GateBench B(oneSlot());
  B.ready();
  B.arrive(GateBench::request("a"));
  const int64_t Queued = B.arrive(GateBench::request("b", 0, 100));
  const int64_t Expired = B.arrive(GateBench::request("c", 0, 0));
  B.advance(milliseconds(100));
  B.answer(0);
  BOOST_TEST(B.outcome(Queued) == NotRun);
  BOOST_TEST(B.outcome(Expired) == NotRun);
  BOOST_TEST(B.m_Sent.size() == 1);
}

// Guards against urgent work behind batch work, and against batch work that
// urgent work keeps out for ever.
BOOST_AUTO_TEST_CASE(UrgencyOrdersTheQueueWithAgeing) {
  GateBench B(oneSlot());
  B.ready();
  B.arrive(GateBench::request("first", 0, 60000));
  wire::ExecuteRequest Batch = GateBench::request("batch", 0, 60000);
  Batch.urgency = wire::Urgency::BATCH;
  Batch.className = "report";
  B.arrive(Batch);
  B.arrive(GateBench::request("urgent", 0, 60000));
  passWithPermit(B, std::chrono::seconds(16));
  B.arrive(GateBench::request("urgent and later", 0, 60000));
  for (size_t Index = 0; Index < 3; ++Index)
    B.answer(Index);

  BOOST_REQUIRE(B.m_Sent.size() == 4);
  BOOST_TEST(B.m_Sent[1].m_Request.requestId == "urgent");
  BOOST_TEST(B.m_Sent[2].m_Request.requestId == "batch");
  BOOST_TEST(B.m_Sent[3].m_Request.requestId == "urgent and later");
}

// Guards against a claim token that runs twice or whose repeat gets another
// answer than the first (H6).
BOOST_AUTO_TEST_CASE(RepeatedTokenWaitsThenGetsTheStoredOutcome) {
  GateBench B;
  B.ready();
  const int64_t First = B.arrive(GateBench::request("a", 3));
  const int64_t While = B.arrive(GateBench::request("a", 3));
  BOOST_TEST(B.outcome(While) == None);
  B.answer(0, "serials 1-25");
  const int64_t After = B.arrive(GateBench::request("a", 3));

  for (const int64_t Call : {First, While, After}) {
    BOOST_TEST(B.outcome(Call) == Completed);
    BOOST_TEST(B.m_Replies.at(Call).body == "serials 1-25");
  }
  BOOST_TEST(B.m_Sent.size() == 1);
}

// Guards against a token that runs after a caller was told that it did not run.
BOOST_AUTO_TEST_CASE(RefusedTokenStaysRefused) {
  GateBench B;
  B.step(MinionProbed{true});
  const int64_t Refused = B.arrive(GateBench::request("a", 3));
  B.beat();
  const int64_t Repeat = B.arrive(GateBench::request("a", 3));
  BOOST_TEST(B.outcome(Refused) == NotRun);
  BOOST_TEST(B.outcome(Repeat) == NotRun);
  BOOST_TEST(B.m_Sent.empty());
}

// Guards against running requests that were claimed for the process before the
// restart.
BOOST_AUTO_TEST_CASE(OtherIncarnationIsRefused) {
  GateBench B;
  B.ready();
  wire::ExecuteRequest Request = GateBench::request("a", 3);
  Request.incarnation = GateBench::Incarnation - 1;
  BOOST_TEST(B.outcome(B.arrive(Request)) == NotRun);
  BOOST_TEST(B.m_Sent.empty());
}

// Guards against "not run" for a token that an earlier incarnation may have
// run: the claim would be freed and the request run again (H6).
BOOST_AUTO_TEST_CASE(OtherIncarnationDoesNotKnowATokenThatWasSentBefore) {
  GateBench B;
  B.ready();
  wire::ExecuteRequest Request = GateBench::request("a", 3);
  Request.incarnation = GateBench::Incarnation - 1;
  Request.tokenSentBefore = true;
  BOOST_TEST(B.outcome(B.arrive(Request)) == Unknown);
  BOOST_TEST(B.m_Sent.empty());
}

// Guards against outcomes that are lost before control has them, or repeated
// for ever.
BOOST_AUTO_TEST_CASE(OutcomesRepeatUntilAcknowledged) {
  GateBench B;
  B.ready();
  B.arrive(GateBench::request("a", 3));
  B.answer(0);
  B.beat();
  const int64_t Sequence = B.nextHeartbeat();
  BOOST_TEST(B.m_Heartbeats.back().outcomes.size() == 1);
  wire::AgentHeartbeatReply Reply = GateBench::reply(Sequence);
  Reply.acknowledgedClaims = {"w/s/3"};
  B.step(HeartbeatReplied{Reply});
  B.nextHeartbeat();
  BOOST_TEST(B.m_Heartbeats.back().outcomes.empty());
}

// Guards against claims refused because the regular heartbeats report fewer
// outcomes than a fast minion produces.
BOOST_AUTO_TEST_CASE(FastClaimsAreReportedEarly) {
  GateBench B;
  B.ready();
  int64_t Refused = 0;
  for (int64_t Token = 1; Token <= 8000; ++Token) {
    const int64_t Call = B.arrive(GateBench::request("r", Token));
    Refused += B.outcome(Call) == NotRun ? 1 : 0;
    B.answer(B.m_Sent.size() - 1);
    const size_t Before = B.m_Heartbeats.size();
    B.pass(milliseconds(Token % 2));
    if (B.m_Heartbeats.size() == Before)
      continue;
    wire::AgentHeartbeatReply Reply =
        GateBench::reply(B.m_Heartbeats.back().sequence);
    for (const wire::ClaimOutcome &Outcome : B.m_Heartbeats.back().outcomes)
      Reply.acknowledgedClaims.push_back(Outcome.claimId);
    B.step(HeartbeatReplied{Reply});
  }
  BOOST_TEST(Refused == 0);
  BOOST_TEST(B.m_Heartbeats.size() <= 22,
             "4 s allow one heartbeat each 200 ms");
}

// Guards against an acknowledgement of an earlier grant that hides the outcome
// of a later one with the same claim id.
BOOST_AUTO_TEST_CASE(AcknowledgementCoversOnlyWhatWasReported) {
  GateBench B;
  B.ready();
  wire::ExecuteRequest First = GateBench::request("a", 3);
  B.arrive(First);
  B.fail(0, false);
  const int64_t Sequence = B.nextHeartbeat();
  wire::ExecuteRequest Second = First;
  Second.claimToken = 9;
  B.arrive(Second);
  B.answer(1);
  wire::AgentHeartbeatReply Reply = GateBench::reply(Sequence);
  Reply.acknowledgedClaims = {First.claimId};
  B.step(HeartbeatReplied{Reply});
  B.nextHeartbeat();
  BOOST_REQUIRE(B.m_Heartbeats.back().outcomes.size() == 1);
  BOOST_TEST(B.m_Heartbeats.back().outcomes[0].token == 9);
}

// Guards against an agent that runs out of memory, or forgets outcomes, while
// control acknowledges nothing.
BOOST_AUTO_TEST_CASE(ClaimsAreBounded) {
  AgentOptions Options;
  Options.m_MaxUnackedClaims = 3;
  Options.m_MaxTokens = 4;
  GateBench B(Options);
  B.ready();
  for (int64_t Token = 1; Token <= 3; ++Token) {
    B.arrive(GateBench::request("r", Token));
    B.answer(B.m_Sent.size() - 1);
  }
  BOOST_TEST(B.outcome(B.arrive(GateBench::request("r", 4))) == NotRun);
  BOOST_TEST(B.outcome(B.arrive(GateBench::request("r", 5))) == NotRun);
  BOOST_TEST(B.outcome(B.arrive(GateBench::request("r", 0))) == None);
  // Token 4 is forgotten by now. It must not be claimed to be refused, and it
  // must not run.
  BOOST_TEST(B.outcome(B.arrive(GateBench::request("r", 4))) == Unknown);
  BOOST_TEST(B.outcome(B.arrive(GateBench::request("r", 2))) == Completed);
  BOOST_TEST(B.m_Sent.size() == 4);
}

// Guards against passing on an empty body for a response that was too large to
// store (H4).
BOOST_AUTO_TEST_CASE(ResponseTooLargeToStoreBecomesUnknown) {
  AgentOptions Options;
  Options.m_MaxStoredBody = 10;
  GateBench B(Options);
  B.ready();
  const int64_t First = B.arrive(GateBench::request("a", 3));
  B.answer(0, "more than ten bytes");
  BOOST_TEST(B.outcome(First) == Completed);
  BOOST_TEST(B.outcome(B.arrive(GateBench::request("a", 3))) == Unknown);
}

// Guards against a restarted agent that fills slots which requests of its
// earlier incarnation still use.
BOOST_AUTO_TEST_CASE(MinionSettlesBeforeTheFirstRequest) {
  GateBench B;
  const TimePoint FirstTick = B.m_Now + milliseconds(50);
  passWithPermit(B, milliseconds(1000));
  BOOST_TEST(!B.m_Heartbeats.back().targetHealthy);
  BOOST_TEST(B.m_Replies[B.arrive(GateBench::request("a"))].reason ==
             "minion does not accept connections");
  B.pass(FirstTick + milliseconds(1950) - B.m_Now);
  BOOST_TEST(B.m_Probes == 0);
  B.pass(milliseconds(50));
  BOOST_TEST(B.m_Probes == 1);
}

// Guards against requests sent to a minion that accepts no connection, and
// against one that stays shut out after it has come back.
BOOST_AUTO_TEST_CASE(UnreachableMinionIsProbedUntilItReturns) {
  GateBench B;
  B.ready();
  for (size_t Index = 0; Index < 3; ++Index) {
    B.arrive(GateBench::request("r"));
    B.fail(Index, false, true);
  }
  BOOST_TEST(B.outcome(B.arrive(GateBench::request("r"))) == NotRun);
  BOOST_TEST(B.m_Sent.size() == 3);
  const int ProbesBefore = B.m_Probes;
  passWithPermit(B, std::chrono::seconds(1));
  BOOST_TEST(!B.m_Heartbeats.back().targetHealthy);
  BOOST_TEST(B.m_Probes == ProbesBefore + 1);
  B.step(MinionProbed{true});
  B.arrive(GateBench::request("r"));
  BOOST_TEST(B.m_Sent.size() == 4);
}

// Guards against a drain that takes new work, ends early, or leaves before
// control has the outcomes (H7, H8).
BOOST_AUTO_TEST_CASE(LeavesOnceEverythingIsReported) {
  GateBench B(oneSlot());
  B.ready();
  const int64_t Running = B.arrive(GateBench::request("a", 3));
  const int64_t Queued = B.arrive(GateBench::request("b", 4));
  B.step(DrainBegin{});
  BOOST_TEST(B.outcome(Queued) == NotRun);
  BOOST_TEST(B.outcome(B.arrive(GateBench::request("c"))) == NotRun);
  passWithPermit(B, std::chrono::seconds(8));
  BOOST_TEST(B.m_Heartbeats.back().shuttingDown);
  BOOST_TEST(B.m_Leaves.empty());
  B.answer(0);
  BOOST_TEST(B.outcome(Running) == Completed);
  passWithPermit(B, std::chrono::seconds(8));
  BOOST_TEST(B.m_Leaves.empty());
  wire::AgentHeartbeatReply Reply = GateBench::reply(B.nextHeartbeat());
  Reply.acknowledgedClaims = {"w/s/3", "w/s/4"};
  B.step(HeartbeatReplied{Reply});
  BOOST_REQUIRE(B.m_Leaves.size() == 1);
  BOOST_TEST(B.m_Leaves[0].m_CutOff.empty());
  BOOST_TEST(B.m_Leaves[0].m_UnreportedOutcomes == 0);
}

// Guards against a shutdown without end, and against one that hides what it cut
// off.
BOOST_AUTO_TEST_CASE(DrainLimitCutsOffAndReportsIt) {
  AgentOptions Options;
  Options.m_DrainLimit = std::chrono::seconds(30);
  GateBench B(Options);
  B.ready();
  const int64_t Running = B.arrive(GateBench::request("a", 3, 100000));
  B.step(DrainBegin{});
  B.pass(std::chrono::seconds(30));
  BOOST_TEST(B.outcome(Running) == Unknown);
  BOOST_REQUIRE(B.m_Leaves.size() == 1);
  BOOST_TEST(B.m_Leaves[0].m_CutOff.at(0) == "request=a");
  BOOST_TEST(B.m_Heartbeats.back().outcomes.at(0).outcome == Unknown);
}

BOOST_AUTO_TEST_SUITE_END()
