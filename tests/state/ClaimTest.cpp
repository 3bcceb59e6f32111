#include "state/StateFixture.h"

namespace {

using namespace anvil::state;
using namespace anvil::state::test;
using anvil::wire::ClaimState;
using anvil::wire::CommandResult;
using anvil::wire::CommandStatus;
using anvil::wire::Outcome;

} // namespace

BOOST_AUTO_TEST_SUITE(ClaimTest)

// Guards against two entries that both dispatch the same request (H6).
BOOST_AUTO_TEST_CASE(OnlyOneOfTwoRacingEntriesIsGranted) {
  Cluster C;
  const CommandResult First = C.apply(openClaim("k", "m", "entry-1/1"));
  BOOST_TEST((First.claimState == ClaimState::GRANTED));
  const CommandResult Second = C.apply(openClaim("k", "n", "entry-2/1"));
  BOOST_TEST((Second.claimState == ClaimState::HELD));
  BOOST_TEST(Second.claimToken == First.claimToken);
  // The same attempt, sent again after a lost response, still owns its grant.
  const CommandResult Resent = C.apply(openClaim("k", "m", "entry-1/1"));
  BOOST_TEST((Resent.claimState == ClaimState::GRANTED));
  BOOST_TEST(Resent.claimToken == First.claimToken);
  // Another attempt of the same entry does not, and neither does one without an
  // attempt id.
  BOOST_TEST((C.apply(openClaim("k", "m", "entry-1/2")).claimState ==
              ClaimState::HELD));
  BOOST_TEST((C.apply(openClaim("k", "n", "entry-1/1")).claimState ==
              ClaimState::HELD));
  BOOST_TEST((C.apply(openClaim("k", "m")).claimState == ClaimState::HELD));
  const CommandResult Reused =
      C.apply(openClaim("k", "m", "entry-1/1", "other"));
  BOOST_TEST((Reused.status == CommandStatus::INVALID));
  BOOST_TEST(Reused.field == "requestDigest");
}

// Guards against a claim that an entry frees as never sent after another
// attempt was told its token and may have sent it: the request would run twice
// (H6).
BOOST_AUTO_TEST_CASE(ASharedTokenIsFreedByTheAgentOnly) {
  Cluster C;
  const CommandResult Granted = C.apply(openClaim("k", "m", "entry-1/1"));
  anvil::wire::Command Close =
      closeClaim("k", Granted.claimToken, Outcome::NOT_RUN, "m");
  const CommandResult Told = C.apply(openClaim("k", "n", "entry-2/1"));
  BOOST_TEST(Told.claimVm == "m");
  Close.closeClaim.neverSent = true;
  BOOST_TEST((C.apply(Close).status == CommandStatus::REFUSED));
  Close.closeClaim.neverSent = false;
  BOOST_TEST((C.apply(Close).status == CommandStatus::OK));
  BOOST_TEST((C.apply(openClaim("k", "n", "entry-2/2")).claimState ==
              ClaimState::GRANTED));
}

// Guards against outcomes that are lost, overwritten or accepted from whom they
// do not concern.
BOOST_AUTO_TEST_CASE(OutcomesFollowTheRulesOfClaims) {
  struct Step {
    Outcome::type m_Outcome;
    CommandStatus::type m_Expected;
  };
  struct Case {
    const char *m_What;
    std::vector<Step> m_Steps;
    ClaimState::type m_Then; // what the next attempt sees
    Outcome::type m_Stored;
  };
  const std::vector<Case> Cases = {
      {"completed",
       {{Outcome::COMPLETED, CommandStatus::OK}},
       ClaimState::CLOSED,
       Outcome::COMPLETED},
      {"resent",
       {{Outcome::COMPLETED, CommandStatus::OK},
        {Outcome::COMPLETED, CommandStatus::OK}},
       ClaimState::CLOSED,
       Outcome::COMPLETED},
      {"completed never changes",
       {{Outcome::COMPLETED, CommandStatus::OK},
        {Outcome::UNKNOWN, CommandStatus::REFUSED},
        {Outcome::NOT_RUN, CommandStatus::REFUSED}},
       ClaimState::CLOSED,
       Outcome::COMPLETED},
      {"unknown becomes completed",
       {{Outcome::UNKNOWN, CommandStatus::OK},
        {Outcome::UNKNOWN, CommandStatus::OK},
        {Outcome::NOT_RUN, CommandStatus::REFUSED},
        {Outcome::COMPLETED, CommandStatus::OK}},
       ClaimState::CLOSED,
       Outcome::COMPLETED},
      {"not run frees the claim",
       {{Outcome::NOT_RUN, CommandStatus::OK},
        {Outcome::NOT_RUN, CommandStatus::NOT_FOUND}},
       ClaimState::GRANTED,
       Outcome::NOT_RUN},
      {"unknown to this version",
       {{static_cast<Outcome::type>(0), CommandStatus::INVALID}},
       ClaimState::HELD,
       Outcome::UNKNOWN},
  };
  for (const Case &Each : Cases) {
    BOOST_TEST_CONTEXT(Each.m_What) {
      Cluster C;
      const int64_t Token = C.apply(openClaim("k", "m")).claimToken;
      for (const Step &Next : Each.m_Steps)
        BOOST_TEST((C.statusOf(closeClaim("k", Token, Next.m_Outcome, "m")) ==
                    Next.m_Expected));
      const CommandResult Then = C.apply(openClaim("k", "n"));
      BOOST_TEST((Then.claimState == Each.m_Then));
      if (Each.m_Then == ClaimState::CLOSED)
        BOOST_TEST((Then.claimOutcome.outcome == Each.m_Stored));
    }
  }
}

// Guards against an old attempt that frees or closes the claim of a newer one.
BOOST_AUTO_TEST_CASE(OnlyTheCurrentTokenAndIncarnationMayClose) {
  Cluster C;
  const int64_t Old = C.apply(openClaim("k", "m")).claimToken;
  C.apply(closeClaim("k", Old, Outcome::NOT_RUN, "m"));
  const int64_t Token = C.apply(openClaim("k", "n")).claimToken;
  BOOST_TEST(Token > Old);
  BOOST_TEST((C.statusOf(closeClaim("k", Old, Outcome::NOT_RUN, "m")) ==
              CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(closeClaim("k", Old, Outcome::NOT_RUN, "n")) ==
              CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(closeClaim("k", Token, Outcome::COMPLETED, "m")) ==
              CommandStatus::REFUSED));
  BOOST_TEST((C.statusOf(closeClaim("k", Token, Outcome::COMPLETED, "n", "ok",
                                    2)) == CommandStatus::REFUSED));
  BOOST_TEST((C.apply(openClaim("k", "m")).claimState == ClaimState::HELD));
}

// Guards against a retry that runs again because the agent was lost, and
// against losing the late result.
BOOST_AUTO_TEST_CASE(LossTurnsOpenClaimsIntoUnknown) {
  const std::vector<anvil::wire::Command> Losses = {lose("m", 1),
                                                    registerMinion("m", 2)};
  for (const anvil::wire::Command &Loss : Losses) {
    Cluster C;
    const int64_t Token = C.apply(openClaim("k", "m")).claimToken;
    const int64_t Done = C.apply(openClaim("done", "m")).claimToken;
    C.apply(closeClaim("done", Done, Outcome::COMPLETED, "m"));
    C.apply(Loss);
    BOOST_TEST((C.apply(openClaim("k", "n")).claimOutcome.outcome ==
                Outcome::UNKNOWN));
    BOOST_TEST((C.apply(openClaim("done", "n")).claimOutcome.outcome ==
                Outcome::COMPLETED));
    BOOST_TEST((C.statusOf(closeClaim("k", Token, Outcome::COMPLETED, "m",
                                      "late")) == CommandStatus::OK));
    BOOST_TEST(C.apply(openClaim("k", "n")).claimOutcome.body == "late");
  }
}

// Guards against claims for targets that take no new requests.
BOOST_AUTO_TEST_CASE(ClaimsNeedAUsableTarget) {
  Cluster C;
  BOOST_TEST((C.statusOf(openClaim("k", "nowhere")) == CommandStatus::REFUSED));
  BOOST_TEST(
      (C.statusOf(openClaim("k", "m", "", "d", 2)) == CommandStatus::REFUSED));
  C.apply(drain("m", true));
  BOOST_TEST((C.statusOf(openClaim("k", "m")) == CommandStatus::REFUSED));
  C.apply(zoneService("kochi", false, "r"));
  BOOST_TEST((C.statusOf(openClaim("k", "n")) == CommandStatus::REFUSED));
  BOOST_TEST(!C.m_State.claim("k").has_value());
}

// Guards against claims that grow without bound, and against an outcome that is
// lost at the bound.
BOOST_AUTO_TEST_CASE(NumberAndBytesAreBounded) {
  Cluster C;
  C.apply(applyConfig(2, documentText(2, "{claims: 2}")));
  const int64_t Token = C.apply(openClaim("k1", "m")).claimToken;
  C.apply(openClaim("k2", "m"));
  BOOST_TEST((C.statusOf(openClaim("k3", "m")) == CommandStatus::LIMIT));
  BOOST_TEST((C.apply(openClaim("k1", "n")).claimState == ClaimState::HELD));
  const CommandResult Large = C.apply(closeClaim(
      "k1", Token, Outcome::COMPLETED, "m", std::string(65'537, 'x')));
  BOOST_TEST((Large.status == CommandStatus::OK));
  BOOST_TEST(Large.claimOutcome.body.empty());
  BOOST_TEST((Large.claimOutcome.outcome == Outcome::COMPLETED));

  Cluster Bytes;
  Bytes.apply(applyConfig(2, documentText(2, "{claim_mib: 1}")));
  int Granted = 0;
  for (int I = 0; I < 40; ++I) {
    const std::string Id = "k" + std::to_string(I);
    const CommandResult Open = Bytes.apply(openClaim(Id, "m"));
    if (Open.status != CommandStatus::OK)
      continue;
    ++Granted;
    Bytes.apply(closeClaim(Id, Open.claimToken, Outcome::COMPLETED, "m",
                           std::string(65'536, 'x')));
  }
  // 15 whole responses fit into 1 MiB with their fixed part; the 16th would
  // not.
  BOOST_TEST(Granted >= 15);
  BOOST_TEST(Bytes.m_State.counters().m_ClaimBytes <= 1 << 20);
}

// Guards against expiry of a claim that is still open or too young.
BOOST_AUTO_TEST_CASE(ExpiryRemovesOnlyOldClosedClaims) {
  Cluster C;
  const int64_t Old = C.apply(openClaim("old", "m")).claimToken;
  C.apply(openClaim("open", "m"));
  C.apply(closeClaim("old", Old, Outcome::COMPLETED, "m"));
  const int64_t BeforeUs = C.m_NowUs + 1;
  const int64_t Young = C.apply(openClaim("young", "m")).claimToken;
  C.apply(closeClaim("young", Young, Outcome::COMPLETED, "m"));
  C.apply(expireClaims(BeforeUs));
  BOOST_TEST(!C.m_State.claim("old").has_value());
  BOOST_TEST(C.m_State.claim("open").has_value());
  BOOST_TEST(C.m_State.claim("young").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
