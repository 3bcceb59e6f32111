#include "agent/GateBench.h"

using namespace anvil;
using namespace anvil::agent;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(PermitTest)

// Guards against a gate that is created without what its guarantees need.
BOOST_AUTO_TEST_CASE(RefusesOptionsThatCantHold) {
  AgentOptions NoRandom;
  NoRandom.m_Target.incarnation = 1;
  AgentOptions NoIncarnation;
  NoIncarnation.m_Random = [] { return 0.5; };
  BOOST_TEST(!AgentGate::create(NoRandom).ok());
  BOOST_TEST(!AgentGate::create(NoIncarnation).ok());
}

// Guards against starts before the first permit and after the last one.
BOOST_AUTO_TEST_CASE(StartsOnlyWithAPermit) {
  GateBench B;
  B.step(MinionProbed{true});
  const int64_t Before = B.arrive(GateBench::request("a"));
  B.beat();
  const int64_t With = B.arrive(GateBench::request("b"));
  B.advance(milliseconds(1500));
  const int64_t After = B.arrive(GateBench::request("c"));

  BOOST_TEST(B.outcome(Before) == wire::Outcome::NOT_RUN);
  BOOST_TEST(B.outcome(With) == 0);
  BOOST_TEST(B.outcome(After) == wire::Outcome::NOT_RUN);
  BOOST_TEST(B.m_Sent.size() == 1);
}

// Guards against a permit counted from when the reply arrived instead of when
// the heartbeat was sent.
BOOST_AUTO_TEST_CASE(PermitCountsFromTheHeartbeat) {
  GateBench B;
  const int64_t Sequence = B.nextHeartbeat();
  const TimePoint SentAt = B.m_Now;
  B.advance(milliseconds(900));
  B.step(HeartbeatReplied{GateBench::reply(Sequence)});

  BOOST_TEST(B.m_Gate->hasPermit(SentAt + milliseconds(1499)));
  BOOST_TEST(!B.m_Gate->hasPermit(SentAt + milliseconds(1500)));
}

struct ReplyOrder {
  const char *m_Name;
  std::vector<size_t> m_Order;    ///< Which of three heartbeats, 1 s apart, are
                                  ///< answered, in this order.
  std::vector<int64_t> m_Permits; ///< Permit of each heartbeat's reply in ms.
  int64_t m_EndMs; ///< End of the permit after the first heartbeat; 0 is none.
};

// Guards against late, repeated or reordered replies that extend a permit or
// undo its withdrawal.
BOOST_AUTO_TEST_CASE(ReorderedRepliesNeverExtendThePermit) {
  const ReplyOrder Cases[] = {
      {"in order", {0, 1, 2}, {1500, 1500, 1500}, 3500},
      {"oldest last", {2, 1, 0}, {1500, 1500, 1500}, 3500},
      {"only the oldest, late", {0}, {1500, 1500, 1500}, 0},
      {"withdrawn in the newest", {0, 1, 2}, {1500, 1500, 0}, 0},
      {"withdrawn in the newest, older ones later",
       {2, 0, 1},
       {1500, 1500, 0},
       0},
      {"repeated reply", {1, 1, 1}, {1500, 1500, 1500}, 2500},
      {"permit above the maximum", {2}, {0, 0, 60000}, 3500},
      {"negative permit", {2}, {0, 0, -5}, 0},
  };
  for (const ReplyOrder &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      GateBench B;
      std::vector<int64_t> Sequences;
      const int64_t First = B.nextHeartbeat();
      const TimePoint FirstSent = B.m_Now;
      Sequences.push_back(First);
      while (Sequences.size() < 3)
        Sequences.push_back(B.nextHeartbeat());
      BOOST_REQUIRE(B.m_Now == FirstSent + milliseconds(2000));
      for (size_t Index : Case.m_Order)
        B.step(HeartbeatReplied{
            GateBench::reply(Sequences[Index], Case.m_Permits[Index])});

      const TimePoint End = FirstSent + milliseconds(Case.m_EndMs);
      const bool Expected = End > B.m_Now;
      BOOST_TEST(B.m_Gate->hasPermit(B.m_Now) == Expected);
      BOOST_TEST(B.m_Gate->hasPermit(
                     std::max(End - milliseconds(1), B.m_Now)) == Expected);
      BOOST_TEST(!B.m_Gate->hasPermit(std::max(End, B.m_Now)));
    }
  }
}

// Guards against a start later than 3 s after a withdrawal on an agent whose
// clock runs 10% fast or slow (H3). Control reads the withdrawn set G = 1 s
// before its last answer at the latest, so the permit must end by W + 1 s + 1.5
// s.
BOOST_AUTO_TEST_CASE(NoStartThreeSecondsAfterAWithdrawalWithAWrongClock) {
  for (const double Rate : {0.9, 1.0, 1.1}) {
    BOOST_TEST_CONTEXT("clock rate " << Rate) {
      GateBench B;
      const auto LocalAt = [&](Duration True) {
        return timePointFromMicros(
            1000000000 +
            static_cast<int64_t>(static_cast<double>(True.count()) * Rate));
      };
      B.m_Now = LocalAt(Duration(0));
      B.step(MinionProbed{true});
      // Withdrawn at true time 0. The replica's last read before it counts as
      // fresh until true time 1 s.
      Duration LastStart(0);
      for (Duration True(0); True < std::chrono::seconds(4);
           True += milliseconds(10)) {
        B.m_Now = LocalAt(True);
        const size_t Before = B.m_Heartbeats.size();
        B.step(Tick{});
        if (B.m_Heartbeats.size() > Before && True < std::chrono::seconds(1))
          B.step(HeartbeatReplied{
              GateBench::reply(B.m_Heartbeats.back().sequence)});
        const size_t Sent = B.m_Sent.size();
        B.arrive(GateBench::request("r"));
        if (B.m_Sent.size() > Sent) {
          LastStart = True;
          B.answer(Sent);
        }
      }
      BOOST_TEST(LastStart.count() > 0);
      BOOST_TEST(LastStart.count() < 3000000);
    }
  }
}

// Guards against queued requests that start on an expired permit or keep their
// callers waiting without one.
BOOST_AUTO_TEST_CASE(PermitEndsWhileQueued) {
  AgentOptions Options;
  Options.m_Slots = 1;
  GateBench B(Options);
  B.ready();
  const int64_t Running = B.arrive(GateBench::request("a"));
  const int64_t Queued = B.arrive(GateBench::request("b"));
  B.pass(milliseconds(1600));

  BOOST_TEST(B.outcome(Queued) == wire::Outcome::NOT_RUN);
  B.answer(0);
  BOOST_TEST(B.outcome(Running) == wire::Outcome::COMPLETED);
  BOOST_TEST(B.m_Sent.size() == 1);
}

// Guards against a replica that lags behind the one used before and brings back
// what has ended, or acknowledges an outcome of a claim that it does not know.
BOOST_AUTO_TEST_CASE(ReplyOfALaggingReplicaChangesNothing) {
  GateBench B;
  B.ready();
  B.arrive(GateBench::request("a", 15));
  B.answer(0);
  wire::AgentHeartbeatReply Newer = GateBench::reply(B.nextHeartbeat(), 0);
  Newer.renewedAtIndex = 20;
  B.step(HeartbeatReplied{Newer});
  wire::AgentHeartbeatReply Older = GateBench::reply(B.nextHeartbeat());
  Older.renewedAtIndex = 19;
  Older.acknowledgedClaims = {"w/s/15"};
  B.step(HeartbeatReplied{Older});
  BOOST_TEST(!B.m_Gate->hasPermit(B.m_Now));
  B.nextHeartbeat();
  BOOST_TEST(B.m_Heartbeats.back().outcomes.size() == 1);
}

// Guards against new work on a draining target, and against a target that stays
// closed after the drain was undone.
BOOST_AUTO_TEST_CASE(DrainingRefusesUntilItIsUndone) {
  GateBench B;
  B.ready();
  wire::AgentHeartbeatReply Draining = GateBench::reply(B.nextHeartbeat());
  Draining.draining = true;
  B.step(HeartbeatReplied{Draining});
  const int64_t During = B.arrive(GateBench::request("a"));
  B.beat();
  const int64_t After = B.arrive(GateBench::request("b"));

  BOOST_TEST(B.outcome(During) == wire::Outcome::NOT_RUN);
  BOOST_TEST(B.outcome(After) == 0);
}

struct PaceCase {
  const char *m_Name;
  double m_Random;
  int64_t m_FirstMs; ///< Expected time to the next heartbeat in ms, to the next
                     ///< tick of 50 ms.
};

// Guards against agents that all send at the same moment.
BOOST_AUTO_TEST_CASE(HeartbeatsAreSpreadByTenPercent) {
  const PaceCase Cases[] = {
      {"lowest", 0.0, 900}, {"middle", 0.5, 1000}, {"highest", 0.999999, 1100}};
  for (const PaceCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      AgentOptions Options;
      Options.m_Random = [&Case] { return Case.m_Random; };
      GateBench B(Options);
      B.beat();
      const TimePoint SentAt = B.m_Now;
      B.nextHeartbeat();
      BOOST_TEST((B.m_Now - SentAt).count() == Case.m_FirstMs * 1000);
    }
  }
}

// Guards against an agent that waits a full period after a refusal, stays with
// a replica that can't serve it, or loses its permit although another replica
// would renew it.
BOOST_AUTO_TEST_CASE(RefusalsCauseQuickRetriesElsewhere) {
  GateBench B;
  B.beat();
  for (int Refusals = 1; Refusals <= 2; ++Refusals) {
    wire::AgentHeartbeatReply Refused = GateBench::reply(B.nextHeartbeat());
    Refused.accepted = false;
    B.step(HeartbeatReplied{Refused});
    BOOST_TEST(B.m_Switches == Refusals - 1);
  }
  const TimePoint RefusedAt = B.m_Now;
  B.nextHeartbeat();
  BOOST_TEST((B.m_Now - RefusedAt).count() == 200000);
  BOOST_TEST(B.m_Gate->hasPermit(B.m_Now));
}

// Guards against all agents of a lost replica arriving at the next one at once,
// and against one loss switching twice.
BOOST_AUTO_TEST_CASE(LostReplicaIsReplacedAfterASpread) {
  AgentOptions Options;
  double Random = 0.5;
  Options.m_Random = [&Random] { return Random; };
  GateBench B(Options);
  const int64_t First = B.nextHeartbeat();
  const int64_t Second = B.nextHeartbeat();
  Random = 0.75;
  B.step(HeartbeatFailed{First, "no answer"});
  const TimePoint LostAt = B.m_Now;
  B.step(HeartbeatFailed{Second, "no answer"});
  B.nextHeartbeat();
  BOOST_TEST((B.m_Now - LostAt).count() == 1500000);
  BOOST_TEST(B.m_Switches == 1);
}

BOOST_AUTO_TEST_SUITE_END()
