#include "agent/GateBench.h"

using namespace anvil;
using namespace anvil::agent;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(PermitTest)

// Guards against a gate without an incarnation, which could not recognize
// requests for an earlier one, or without a source of random numbers.
BOOST_AUTO_TEST_CASE(RefusesInvalidOptions) {
  AgentOptions NoRandom;
  NoRandom.m_Target.incarnation = 1;
  AgentOptions NoIncarnation;
  NoIncarnation.m_Random = [] { return 0.5; };
  BOOST_TEST(!AgentGate::create(NoRandom).ok());
  BOOST_TEST(!AgentGate::create(NoIncarnation).ok());
}

// Guards against starts before the first permit and after the end of the last.
BOOST_AUTO_TEST_CASE(StartsOnlyWithAPermit) {
  GateBench Bench;
  Bench.step(MinionProbed{true});
  const int64_t Before = Bench.arrive(GateBench::request("a"));
  Bench.exchangeHeartbeat();
  const int64_t With = Bench.arrive(GateBench::request("b"));
  Bench.advance(milliseconds(1500));
  const int64_t After = Bench.arrive(GateBench::request("c"));

  BOOST_TEST(Bench.outcome(Before) == wire::Outcome::NOT_RUN);
  BOOST_TEST(Bench.outcome(With) == 0);
  BOOST_TEST(Bench.outcome(After) == wire::Outcome::NOT_RUN);
  BOOST_TEST(Bench.m_Sent.size() == 1);
}

// Guards against counting the permit from the arrival of the reply instead of
// from when the heartbeat was sent.
BOOST_AUTO_TEST_CASE(PermitCountsFromTheHeartbeat) {
  GateBench Bench;
  const int64_t Sequence = Bench.nextHeartbeat();
  const TimePoint SentAt = Bench.m_Now;
  Bench.advance(milliseconds(900));
  Bench.step(HeartbeatReplied{GateBench::reply(Sequence)});

  BOOST_TEST(Bench.m_Gate->hasPermit(SentAt + milliseconds(1499)));
  BOOST_TEST(!Bench.m_Gate->hasPermit(SentAt + milliseconds(1500)));
}

struct ReplyOrder {
  const char *m_Name;
  /// Order in which three heartbeats, sent 1 s apart, are answered.
  std::vector<size_t> m_Order;
  /// Permit in the reply to each heartbeat, in milliseconds.
  std::vector<int64_t> m_Permits;
  /// Expected end of the permit in milliseconds after the first heartbeat; 0 if
  /// there is none.
  int64_t m_EndMs;
};

// Guards against replies that arrive late, twice or out of order and extend a
// permit or undo its withdrawal.
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
      GateBench Bench;
      std::vector<int64_t> Sequences;
      const int64_t First = Bench.nextHeartbeat();
      const TimePoint FirstSent = Bench.m_Now;
      Sequences.push_back(First);
      while (Sequences.size() < 3)
        Sequences.push_back(Bench.nextHeartbeat());
      BOOST_REQUIRE(Bench.m_Now == FirstSent + milliseconds(2000));
      for (size_t Index : Case.m_Order)
        Bench.step(HeartbeatReplied{
            GateBench::reply(Sequences[Index], Case.m_Permits[Index])});

      const TimePoint End = FirstSent + milliseconds(Case.m_EndMs);
      const bool Expected = End > Bench.m_Now;
      BOOST_TEST(Bench.m_Gate->hasPermit(Bench.m_Now) == Expected);
      BOOST_TEST(Bench.m_Gate->hasPermit(
                     std::max(End - milliseconds(1), Bench.m_Now)) == Expected);
      BOOST_TEST(!Bench.m_Gate->hasPermit(std::max(End, Bench.m_Now)));
    }
  }
}

// Guards against a start more than 3 s after a withdrawal on an agent whose
// clock runs 10% fast or slow. Control answers from a read that is at most 1 s
// old, so the permit of 1.5 s must end by 1 s + 1.5 s after the withdrawal.
BOOST_AUTO_TEST_CASE(NoStartThreeSecondsAfterAWithdrawalWithAWrongClock) {
  for (const double Rate : {0.9, 1.0, 1.1}) {
    BOOST_TEST_CONTEXT("clock rate " << Rate) {
      GateBench Bench;
      const auto LocalAt = [&](Duration True) {
        return timePointFromMicros(
            1000000000 +
            static_cast<int64_t>(static_cast<double>(True.count()) * Rate));
      };
      Bench.m_Now = LocalAt(Duration(0));
      Bench.step(MinionProbed{true});
      // The zone is withdrawn at true time 0. The last read before that counts
      // as fresh until true time 1 s.
      Duration LastStart(0);
      for (Duration True(0); True < std::chrono::seconds(4);
           True += milliseconds(10)) {
        Bench.m_Now = LocalAt(True);
        const size_t Before = Bench.m_Heartbeats.size();
        Bench.step(Tick{});
        if (Bench.m_Heartbeats.size() > Before &&
            True < std::chrono::seconds(1))
          Bench.step(HeartbeatReplied{
              GateBench::reply(Bench.m_Heartbeats.back().sequence)});
        const size_t Sent = Bench.m_Sent.size();
        Bench.arrive(GateBench::request("r"));
        if (Bench.m_Sent.size() > Sent) {
          LastStart = True;
          Bench.answer(Sent);
        }
      }
      BOOST_TEST(LastStart.count() > 0);
      BOOST_TEST(LastStart.count() < 3000000);
    }
  }
}

// Guards against queued requests that start after the permit has expired, or
// that stay queued without one.
BOOST_AUTO_TEST_CASE(PermitEndsWhileQueued) {
  AgentOptions Options;
  Options.m_Slots = 1;
  GateBench Bench(Options);
  Bench.makeReady();
  const int64_t Running = Bench.arrive(GateBench::request("a"));
  const int64_t Queued = Bench.arrive(GateBench::request("b"));
  Bench.pass(milliseconds(1600));

  BOOST_TEST(Bench.outcome(Queued) == wire::Outcome::NOT_RUN);
  Bench.answer(0);
  BOOST_TEST(Bench.outcome(Running) == wire::Outcome::COMPLETED);
  BOOST_TEST(Bench.m_Sent.size() == 1);
}

// Guards against a reply of a replica that lags behind the one used before. It
// could restore a permit that has ended, or acknowledge the outcome of a claim
// that the replica does not know.
BOOST_AUTO_TEST_CASE(ReplyOfALaggingReplicaChangesNothing) {
  GateBench Bench;
  Bench.makeReady();
  Bench.arrive(GateBench::request("a", 15));
  Bench.answer(0);
  wire::AgentHeartbeatReply Newer = GateBench::reply(Bench.nextHeartbeat(), 0);
  Newer.renewedAtIndex = 20;
  Bench.step(HeartbeatReplied{Newer});
  wire::AgentHeartbeatReply Older = GateBench::reply(Bench.nextHeartbeat());
  Older.renewedAtIndex = 19;
  Older.acknowledgedClaims = {"w/s/15"};
  Bench.step(HeartbeatReplied{Older});
  BOOST_TEST(!Bench.m_Gate->hasPermit(Bench.m_Now));
  Bench.nextHeartbeat();
  BOOST_TEST(Bench.m_Heartbeats.back().outcomes.size() == 1);
}

// Guards against new work on a draining target, and against a target that still
// refuses work after the drain was undone.
BOOST_AUTO_TEST_CASE(DrainingRefusesUntilItIsUndone) {
  GateBench Bench;
  Bench.makeReady();
  wire::AgentHeartbeatReply Draining = GateBench::reply(Bench.nextHeartbeat());
  Draining.draining = true;
  Bench.step(HeartbeatReplied{Draining});
  const int64_t During = Bench.arrive(GateBench::request("a"));
  Bench.exchangeHeartbeat();
  const int64_t After = Bench.arrive(GateBench::request("b"));

  BOOST_TEST(Bench.outcome(During) == wire::Outcome::NOT_RUN);
  BOOST_TEST(Bench.outcome(After) == 0);
}

struct PaceCase {
  const char *m_Name;
  double m_Random;
  /// Expected time to the next heartbeat in milliseconds, rounded up to a tick
  /// of 50 ms.
  int64_t m_FirstMs;
};

// Guards against agents that all send their heartbeats at the same time.
BOOST_AUTO_TEST_CASE(HeartbeatsAreSpreadByTenPercent) {
  const PaceCase Cases[] = {
      {"lowest", 0.0, 900}, {"middle", 0.5, 1000}, {"highest", 0.999999, 1100}};
  for (const PaceCase &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      AgentOptions Options;
      Options.m_Random = [&Case] { return Case.m_Random; };
      GateBench Bench(Options);
      Bench.exchangeHeartbeat();
      const TimePoint SentAt = Bench.m_Now;
      Bench.nextHeartbeat();
      BOOST_TEST((Bench.m_Now - SentAt).count() == Case.m_FirstMs * 1000);
    }
  }
}

// Guards against an agent that waits a full period after a refusal or keeps
// using a replica that refuses it. It would lose its permit although another
// replica could renew it.
BOOST_AUTO_TEST_CASE(RefusalsCauseQuickRetriesElsewhere) {
  GateBench Bench;
  Bench.exchangeHeartbeat();
  for (int Refusals = 1; Refusals <= 2; ++Refusals) {
    wire::AgentHeartbeatReply Refused = GateBench::reply(Bench.nextHeartbeat());
    Refused.accepted = false;
    Bench.step(HeartbeatReplied{Refused});
    BOOST_TEST(Bench.m_Switches == Refusals - 1);
  }
  const TimePoint RefusedAt = Bench.m_Now;
  Bench.nextHeartbeat();
  BOOST_TEST((Bench.m_Now - RefusedAt).count() == 200000);
  BOOST_TEST(Bench.m_Gate->hasPermit(Bench.m_Now));
}

// Guards against all agents of a failed replica connecting to the next one at
// once, and against two switches because of one failure.
BOOST_AUTO_TEST_CASE(LostReplicaIsReplacedAfterASpread) {
  AgentOptions Options;
  double Random = 0.5;
  Options.m_Random = [&Random] { return Random; };
  GateBench Bench(Options);
  const int64_t First = Bench.nextHeartbeat();
  const int64_t Second = Bench.nextHeartbeat();
  Random = 0.75;
  Bench.step(HeartbeatFailed{First, "no answer"});
  const TimePoint LostAt = Bench.m_Now;
  Bench.step(HeartbeatFailed{Second, "no answer"});
  Bench.nextHeartbeat();
  BOOST_TEST((Bench.m_Now - LostAt).count() == 1500000);
  BOOST_TEST(Bench.m_Switches == 1);
}

BOOST_AUTO_TEST_SUITE_END()
