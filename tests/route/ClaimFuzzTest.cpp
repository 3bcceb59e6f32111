#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "RouterHarness.h"

namespace {

using namespace anvil;
using namespace anvil::route;
using namespace anvil::route::testing;

/// Simulates two entries, their agents and the claims of control. Calls and
/// replies are lost at random; one seed determines every choice.
class ClaimSimulation {
public:
  explicit ClaimSimulation(uint64_t Seed) : m_Random(seededRandom(Seed)) {
    for (RouterHarness &Harness : m_Entries)
      Harness.m_ControlAlive = true;
  }

  /// Sends three requests for each of \p Keys keys, each through a random
  /// entry, and runs until no event is left.
  void run(int Keys) {
    for (int Index = 0; Index < 3 * Keys; ++Index) {
      const std::string Key = "k" + std::to_string(Index % Keys);
      schedule(Duration(pick(20000000)), [this, Key] { send(pick(2), Key); });
    }
    for (int Millis = 0; Millis < 90000; Millis += 10)
      schedule(milliseconds(Millis), [this] {
        for (size_t Entry = 0; Entry < 2; ++Entry)
          withEntry(Entry, [](RouterHarness &Harness) {
            Harness.advance(Duration(0));
          });
      });
    while (!m_Events.empty()) {
      const auto Next = m_Events.begin();
      m_Now = Next->first;
      const std::function<void()> Callback = std::move(Next->second);
      m_Events.erase(Next);
      Callback();
    }
  }

  struct Claim {
    wire::OpenClaim m_Open;
    int64_t m_Token = 0;
    bool m_Closed = false;
    wire::Outcome::type m_Outcome = wire::Outcome::UNKNOWN;
    bool m_Dispatched = false;
    bool m_Shared = false; ///< Another attempt received the token.
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
  void schedule(Duration Delay, std::function<void()> Callback) {
    m_Events.emplace(m_Now + Delay, std::move(Callback));
  }

  void withEntry(size_t Entry,
                 const std::function<void(RouterHarness &)> &Callback) {
    RouterHarness &Harness = m_Entries[Entry];
    Harness.m_Now = m_Now;
    Callback(Harness);
    for (const OpenClaimAction &Open : std::exchange(Harness.m_Opens, {}))
      open(Entry, Open);
    for (const DispatchAction &Dispatch :
         std::exchange(Harness.m_Dispatches, {}))
      execute(Entry, Dispatch);
    for (const CloseClaimAction &Close : std::exchange(Harness.m_Closes, {}))
      schedule(delay(), [this, Close] {
        close(Close.m_Claim.outcome, Close.m_Claim.neverSent);
      });
  }

  void send(int Entry, const std::string &Key) {
    withEntry(static_cast<size_t>(Entry),
              [&Key](RouterHarness &Harness) { Harness.send("reorder", Key); });
  }

  void endClaimCall(size_t Entry, ClaimCallId Call,
                    std::variant<wire::CommandResult, SendFailure> Result) {
    schedule(delay(), [this, Entry, Call, Result] {
      withEntry(Entry, [&](RouterHarness &Harness) {
        Harness.step(ClaimAnswered{Call, Result});
      });
    });
  }

  void open(size_t Entry, const OpenClaimAction &Action) {
    if (chance(0.1))
      return endClaimCall(Entry, Action.m_Call, SendFailure::NotSent);
    schedule(delay(), [this, Entry, Action] {
      const wire::CommandResult Result = commitOpen(Action.m_Claim);
      if (chance(0.15))
        return endClaimCall(Entry, Action.m_Call, SendFailure::NoAnswer);
      endClaimCall(Entry, Action.m_Call, Result);
    });
  }

  wire::CommandResult commitOpen(const wire::OpenClaim &Open) {
    const auto [Found, Added] = m_Claims.try_emplace(Open.claimId);
    Claim &Known = Found->second;
    if (Added) {
      Known.m_Open = Open;
      Known.m_Token = ++m_LastToken;
    }
    Known.m_Shared =
        Known.m_Shared || (!Known.m_Closed && !(Known.m_Open == Open));
    wire::CommandResult Result;
    Result.status = wire::CommandStatus::OK;
    Result.claimState = Known.m_Closed         ? wire::ClaimState::CLOSED
                        : Known.m_Open == Open ? wire::ClaimState::GRANTED
                                               : wire::ClaimState::HELD;
    Result.claimToken = Known.m_Token;
    Result.claimVm = Known.m_Open.vm;
    Result.claimIncarnation = Known.m_Open.incarnation;
    Result.claimOutcome.outcome = Known.m_Outcome;
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
    schedule(delay(), [this, Entry, Action] { runAtAgent(Entry, Action); });
  }

  // An agent decides once per token and returns the same outcome to repeats.
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
    schedule(delay() * 10, [this, Report] { close(Report, false); });
    const bool AnswerLost = chance(0.2);
    endAttempt(Entry, Action,
               AnswerLost ? AttemptStep::NoAnswer
               : Report.outcome == wire::Outcome::NOT_RUN ? AttemptStep::Refuses
               : Report.outcome == wire::Outcome::COMPLETED
                   ? AttemptStep::Completes
                   : AttemptStep::RepliesUnknown);
  }

  void endAttempt(size_t Entry, const DispatchAction &Action,
                  AttemptStep Step) {
    schedule(delay(), [this, Entry, Action, Step] {
      withEntry(Entry,
                [&](RouterHarness &Harness) { Harness.finish(Action, Step); });
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

// Guards against a non-idempotent request that runs twice, a request that ran
// but is refused as not run, a request without exactly one answer, and a claim
// that stays open although its request was never sent. Lost and late messages
// between entries, agents and control cause them.
BOOST_AUTO_TEST_CASE(NoFaultRunsARequestTwiceOrHidesARun) {
  int Completed = 0;
  int Unknown = 0;
  int Refused = 0;
  int64_t HoldersAsked = 0;
  for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
    ClaimSimulation Simulation(Seed);
    Simulation.run(60);
    BOOST_TEST_CONTEXT("seed " << Seed) {
      for (const auto &[Key, Runs] : Simulation.m_RunsOfKey)
        BOOST_TEST(Runs <= 1, Key << " ran " << Runs << " times");
      for (const auto &[Id, Claim] : Simulation.m_Claims)
        BOOST_TEST((Claim.m_Closed || Claim.m_Dispatched),
                   "open without a request: " << Id);
      for (size_t Entry = 0; Entry < 2; ++Entry) {
        const RouterHarness &Harness = Simulation.m_Entries[Entry];
        BOOST_TEST(Harness.m_DoubleAnswers == 0);
        HoldersAsked += Harness.m_Router.counters().m_HolderAttempts;
        BOOST_TEST(Harness.m_Results.size() ==
                   static_cast<size_t>(Harness.m_LastId));
        for (const auto &[Id, Result] : Harness.m_Results) {
          Completed += Result == "completed" ? 1 : 0;
          Unknown += Result == "unknown" ? 1 : 0;
          const bool NotRun = Result.starts_with("refused:");
          Refused += NotRun ? 1 : 0;
          if (NotRun)
            BOOST_TEST(!Simulation.m_RunRequests.contains({Entry, Id}),
                       "request " << Id << " ran: " << Result);
        }
      }
    }
  }
  BOOST_TEST(HoldersAsked > 0);
  BOOST_TEST_MESSAGE("completed " << Completed << ", unknown " << Unknown
                                  << ", refused " << Refused);
  // Every outcome has to occur for the checks above to be effective.
  BOOST_TEST(Completed > 0);
  BOOST_TEST(Unknown > 0);
  BOOST_TEST(Refused > 0);
}

BOOST_AUTO_TEST_SUITE_END()
