#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "RouterHarness.h"

namespace {

using namespace anvil;
using namespace anvil::route;
using namespace anvil::route::testing;

/// Two entries, agents and the claims of control, with losses everywhere; every
/// choice comes from one seed.
class ClaimWorld {
public:
  explicit ClaimWorld(uint64_t Seed) : m_Random(seededRandom(Seed)) {
    for (RouterHarness &Each : m_Entries)
      Each.m_ControlAlive = true;
  }

  /// Sends each of \p Keys three times through either entry, and runs until
  /// nothing is left to do.
  void run(int Keys) {
    for (int Index = 0; Index < 3 * Keys; ++Index) {
      const std::string Key = "k" + std::to_string(Index % Keys);
      later(Duration(pick(20000000)), [this, Key] { send(pick(2), Key); });
    }
    for (int Millis = 0; Millis < 90000; Millis += 10)
      later(milliseconds(Millis), [this] {
        for (size_t Entry = 0; Entry < 2; ++Entry)
          with(Entry, [](RouterHarness &Its) { Its.advance(Duration(0)); });
      });
    while (!m_Events.empty()) {
      const auto Next = m_Events.begin();
      m_Now = Next->first;
      const std::function<void()> What = std::move(Next->second);
      m_Events.erase(Next);
      What();
    }
  }

  struct Claim {
    wire::OpenClaim m_Open;
    int64_t m_Token = 0;
    bool m_Closed = false;
    wire::Outcome::type m_Outcome = wire::Outcome::UNKNOWN;
    bool m_Dispatched = false;
    bool m_Shared = false; ///< Another attempt was told the token.
  };

  RouterHarness m_Entries[2] = {RouterHarness(100, 4, "e1"),
                                RouterHarness(100, 4, "e2")};
  std::map<std::string, Claim> m_Claims;
  std::map<std::string, int> m_RunsOfKey;
  std::set<std::pair<size_t, int64_t>> m_RunRequests; ///< Entry and request id.

private:
  bool chance(double Share) { return m_Random() < Share; }
  int pick(int Count) { return static_cast<int>(m_Random() * Count); }
  Duration delay() { return Duration(1000 + pick(60000)); }
  void later(Duration After, std::function<void()> What) {
    m_Events.emplace(m_Now + After, std::move(What));
  }

  void with(size_t Entry, const std::function<void(RouterHarness &)> &What) {
    RouterHarness &Its = m_Entries[Entry];
    Its.m_Now = m_Now;
    What(Its);
    for (const OpenClaimAction &Each : std::exchange(Its.m_Opens, {}))
      open(Entry, Each);
    for (const DispatchAction &Each : std::exchange(Its.m_Dispatches, {}))
      execute(Entry, Each);
    for (const CloseClaimAction &Each : std::exchange(Its.m_Closes, {}))
      later(delay(), [this, Each] {
        close(Each.m_Claim.outcome, Each.m_Claim.neverSent);
      });
  }

  void send(int Entry, const std::string &Key) {
    with(static_cast<size_t>(Entry),
         [&Key](RouterHarness &Its) { Its.send("reorder", Key); });
  }

  void endClaimCall(size_t Entry, ClaimCallId Call,
                    std::variant<wire::CommandResult, SendFailure> Result) {
    later(delay(), [this, Entry, Call, Result] {
      with(Entry, [&](RouterHarness &Its) {
        Its.step(ClaimAnswered{Call, Result});
      });
    });
  }

  void open(size_t Entry, const OpenClaimAction &Action) {
    if (chance(0.1))
      return endClaimCall(Entry, Action.m_Call, SendFailure::NotSent);
    later(delay(), [this, Entry, Action] {
      const wire::CommandResult Result = commitOpen(Action.m_Claim);
      if (chance(0.15))
        return endClaimCall(Entry, Action.m_Call, SendFailure::NoAnswer);
      endClaimCall(Entry, Action.m_Call, Result);
    });
  }

  wire::CommandResult commitOpen(const wire::OpenClaim &Open) {
    const auto [Found, Added] = m_Claims.try_emplace(Open.claimId);
    Claim &Its = Found->second;
    if (Added) {
      Its.m_Open = Open;
      Its.m_Token = ++m_LastToken;
    }
    Its.m_Shared = Its.m_Shared || (!Its.m_Closed && !(Its.m_Open == Open));
    wire::CommandResult Result;
    Result.status = wire::CommandStatus::OK;
    Result.claimState = Its.m_Closed         ? wire::ClaimState::CLOSED
                        : Its.m_Open == Open ? wire::ClaimState::GRANTED
                                             : wire::ClaimState::HELD;
    Result.claimToken = Its.m_Token;
    Result.claimVm = Its.m_Open.vm;
    Result.claimIncarnation = Its.m_Open.incarnation;
    Result.claimOutcome.outcome = Its.m_Outcome;
    return Result;
  }

  void close(const wire::ClaimOutcome &Outcome, bool NeverSent) {
    const auto Found = m_Claims.find(Outcome.claimId);
    if (Found == m_Claims.end() || Found->second.m_Token != Outcome.token ||
        Found->second.m_Closed)
      return;
    if (NeverSent && Found->second.m_Shared)
      return;
    if (Outcome.outcome == wire::Outcome::NOT_RUN) {
      m_Claims.erase(Found);
      return;
    }
    Found->second.m_Closed = true;
    Found->second.m_Outcome = Outcome.outcome;
  }

  void execute(size_t Entry, const DispatchAction &Action) {
    if (const auto Found = m_Claims.find(Action.m_Request.claimId);
        Found != m_Claims.end())
      Found->second.m_Dispatched = true;
    if (chance(0.1))
      return endAttempt(Entry, Action, AttemptStep::NotSent);
    if (chance(0.1))
      return endAttempt(Entry, Action, AttemptStep::NoAnswer);
    later(delay(), [this, Entry, Action] { runAtAgent(Entry, Action); });
  }

  // An agent decides once for each token and gives repeats the same outcome.
  wire::Outcome::type outcomeAtAgent(size_t Entry,
                                     const DispatchAction &Action) {
    const auto [Found, First] = m_OutcomeOfToken.try_emplace(
        Action.m_Request.claimToken, wire::Outcome::NOT_RUN);
    if (!First)
      return Found->second;
    if (chance(0.7)) {
      ++m_RunsOfKey[Action.m_Request.claimId];
      m_RunRequests.emplace(Entry, Action.m_Id.value());
      Found->second =
          chance(0.9) ? wire::Outcome::COMPLETED : wire::Outcome::UNKNOWN;
    }
    return Found->second;
  }

  void runAtAgent(size_t Entry, const DispatchAction &Action) {
    wire::ClaimOutcome Report;
    Report.claimId = Action.m_Request.claimId;
    Report.token = Action.m_Request.claimToken;
    Report.outcome = outcomeAtAgent(Entry, Action);
    later(delay() * 10, [this, Report] { close(Report, false); });
    const bool AnswerLost = chance(0.2);
    endAttempt(Entry, Action,
               AnswerLost ? AttemptStep::NoAnswer
               : Report.outcome == wire::Outcome::NOT_RUN ? AttemptStep::Refuses
               : Report.outcome == wire::Outcome::COMPLETED
                   ? AttemptStep::Completes
                   : AttemptStep::RepliesUnknown);
  }

  void endAttempt(size_t Entry, const DispatchAction &Action,
                  AttemptStep What) {
    later(delay(), [this, Entry, Action, What] {
      with(Entry, [&](RouterHarness &Its) { Its.finish(Action, What); });
    });
  }

  std::map<int64_t, wire::Outcome::type> m_OutcomeOfToken;
  std::function<double()> m_Random;
  TimePoint m_Now = timePointFromMicros(1000000);
  std::multimap<TimePoint, std::function<void()>> m_Events;
  int64_t m_LastToken = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimFuzzTest)

// Guards against a non-idempotent request that runs twice (H6), a request that
// ran and was refused as not run (H5), a request without exactly one answer
// (H4), and a claim that stays open although its request was never sent.
BOOST_AUTO_TEST_CASE(NoFaultRunsARequestTwiceOrHidesARun) {
  int Completed = 0;
  int Unknown = 0;
  int Refused = 0;
  int64_t HoldersAsked = 0;
  for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
    ClaimWorld World(Seed);
    World.run(60);
    BOOST_TEST_CONTEXT("seed " << Seed) {
      for (const auto &[Key, Runs] : World.m_RunsOfKey)
        BOOST_TEST(Runs <= 1, Key << " ran " << Runs << " times");
      for (const auto &[Id, Claim] : World.m_Claims)
        BOOST_TEST((Claim.m_Closed || Claim.m_Dispatched),
                   "open without a request: " << Id);
      for (size_t Entry = 0; Entry < 2; ++Entry) {
        const RouterHarness &Its = World.m_Entries[Entry];
        BOOST_TEST(Its.m_DoubleAnswers == 0);
        HoldersAsked += Its.m_Router.counters().m_HoldersAsked;
        BOOST_TEST(Its.m_Results.size() == static_cast<size_t>(Its.m_LastId));
        for (const auto &[Id, Result] : Its.m_Results) {
          Completed += Result == "completed" ? 1 : 0;
          Unknown += Result == "unknown" ? 1 : 0;
          const bool NotRun = Result.starts_with("refused:");
          Refused += NotRun ? 1 : 0;
          if (NotRun)
            BOOST_TEST(!World.m_RunRequests.contains({Entry, Id}),
                       "request " << Id << " ran: " << Result);
        }
      }
    }
  }
  BOOST_TEST(HoldersAsked > 0);
  BOOST_TEST_MESSAGE("completed " << Completed << ", unknown " << Unknown
                                  << ", refused " << Refused);
  // Each outcome has to occur for the checks above to mean something.
  BOOST_TEST(Completed > 0);
  BOOST_TEST(Unknown > 0);
  BOOST_TEST(Refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()
