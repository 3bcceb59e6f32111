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

// Guards against two entries that both get a grant for the same request and
// dispatch it twice (requirement H6).
BOOST_AUTO_TEST_CASE(OnlyOneOfTwoRacingEntriesIsGranted) {
  Cluster Fixture;
  const CommandResult First = Fixture.apply(openClaim("k", "m", "entry-1/1"));
  BOOST_TEST((First.claimState == ClaimState::GRANTED));
  const CommandResult Second = Fixture.apply(openClaim("k", "n", "entry-2/1"));
  BOOST_TEST((Second.claimState == ClaimState::HELD));
  BOOST_TEST(Second.claimToken == First.claimToken);
  // The same attempt, sent again after a lost response, gets its grant again.
  const CommandResult Resent = Fixture.apply(openClaim("k", "m", "entry-1/1"));
  BOOST_TEST((Resent.claimState == ClaimState::GRANTED));
  BOOST_TEST(Resent.claimToken == First.claimToken);
  // Another attempt of the same entry does not, and neither does one without an
  // attempt id.
  BOOST_TEST((Fixture.apply(openClaim("k", "m", "entry-1/2")).claimState ==
              ClaimState::HELD));
  BOOST_TEST((Fixture.apply(openClaim("k", "n", "entry-1/1")).claimState ==
              ClaimState::HELD));
  BOOST_TEST(
      (Fixture.apply(openClaim("k", "m")).claimState == ClaimState::HELD));
  const CommandResult Reused =
      Fixture.apply(openClaim("k", "m", "entry-1/1", "other"));
  BOOST_TEST((Reused.status == CommandStatus::INVALID));
  BOOST_TEST(Reused.field == "requestDigest");
}

// Guards against a request that runs twice (requirement H6): an entry frees the
// claim as never sent, but another attempt got the token and may have sent the
// request.
BOOST_AUTO_TEST_CASE(ASharedTokenIsFreedByTheAgentOnly) {
  Cluster Fixture;
  const CommandResult Granted = Fixture.apply(openClaim("k", "m", "entry-1/1"));
  anvil::wire::Command Close =
      closeClaim("k", Granted.claimToken, Outcome::NOT_RUN, "m");
  const CommandResult Held = Fixture.apply(openClaim("k", "n", "entry-2/1"));
  BOOST_TEST(Held.claimVm == "m");
  Close.closeClaim.neverSent = true;
  BOOST_TEST((Fixture.apply(Close).status == CommandStatus::REFUSED));
  Close.closeClaim.neverSent = false;
  BOOST_TEST((Fixture.apply(Close).status == CommandStatus::OK));
  BOOST_TEST((Fixture.apply(openClaim("k", "n", "entry-2/2")).claimState ==
              ClaimState::GRANTED));
}

// Guards against outcomes that are lost or overwritten when an agent repeats
// its report or sends a contradicting one.
BOOST_AUTO_TEST_CASE(OutcomesFollowTheRulesOfClaims) {
  struct Step {
    Outcome::type m_Outcome;
    CommandStatus::type m_Expected;
  };
  struct Case {
    const char *m_Name;
    std::vector<Step> m_Steps;
    ClaimState::type m_NextState; // The state that the next attempt sees.
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
    BOOST_TEST_CONTEXT(Each.m_Name) {
      Cluster Fixture;
      const int64_t Token = Fixture.apply(openClaim("k", "m")).claimToken;
      for (const Step &Next : Each.m_Steps)
        BOOST_TEST((Fixture.statusOf(closeClaim("k", Token, Next.m_Outcome,
                                                "m")) == Next.m_Expected));
      const CommandResult Next = Fixture.apply(openClaim("k", "n"));
      BOOST_TEST((Next.claimState == Each.m_NextState));
      if (Each.m_NextState == ClaimState::CLOSED)
        BOOST_TEST((Next.claimOutcome.outcome == Each.m_Stored));
    }
  }
}

// Guards against a late outcome of an earlier attempt, or one from another VM
// or incarnation, that frees or closes the current claim.
BOOST_AUTO_TEST_CASE(OnlyTheCurrentTokenAndIncarnationMayClose) {
  Cluster Fixture;
  const int64_t Old = Fixture.apply(openClaim("k", "m")).claimToken;
  Fixture.apply(closeClaim("k", Old, Outcome::NOT_RUN, "m"));
  const int64_t Token = Fixture.apply(openClaim("k", "n")).claimToken;
  BOOST_TEST(Token > Old);
  BOOST_TEST((Fixture.statusOf(closeClaim("k", Old, Outcome::NOT_RUN, "m")) ==
              CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(closeClaim("k", Old, Outcome::NOT_RUN, "n")) ==
              CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(closeClaim("k", Token, Outcome::COMPLETED,
                                          "m")) == CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(closeClaim("k", Token, Outcome::COMPLETED, "n",
                                          "ok", 2)) == CommandStatus::REFUSED));
  BOOST_TEST(
      (Fixture.apply(openClaim("k", "m")).claimState == ClaimState::HELD));
}

// Guards against a retry that runs the request again after the agent with the
// open claim was lost, and against the loss of a result that arrives late.
BOOST_AUTO_TEST_CASE(LossTurnsOpenClaimsIntoUnknown) {
  const std::vector<anvil::wire::Command> Losses = {lose("m", 1),
                                                    registerMinion("m", 2)};
  for (const anvil::wire::Command &Loss : Losses) {
    Cluster Fixture;
    const int64_t Token = Fixture.apply(openClaim("k", "m")).claimToken;
    const int64_t Done = Fixture.apply(openClaim("done", "m")).claimToken;
    Fixture.apply(closeClaim("done", Done, Outcome::COMPLETED, "m"));
    Fixture.apply(Loss);
    BOOST_TEST((Fixture.apply(openClaim("k", "n")).claimOutcome.outcome ==
                Outcome::UNKNOWN));
    BOOST_TEST((Fixture.apply(openClaim("done", "n")).claimOutcome.outcome ==
                Outcome::COMPLETED));
    BOOST_TEST((Fixture.statusOf(closeClaim("k", Token, Outcome::COMPLETED, "m",
                                            "late")) == CommandStatus::OK));
    BOOST_TEST(Fixture.apply(openClaim("k", "n")).claimOutcome.body == "late");
  }
}

// Guards against a grant for a target that takes no new requests because it is
// unknown, of another incarnation, draining or in a withdrawn zone.
BOOST_AUTO_TEST_CASE(ClaimsNeedAUsableTarget) {
  Cluster Fixture;
  BOOST_TEST(
      (Fixture.statusOf(openClaim("k", "nowhere")) == CommandStatus::REFUSED));
  BOOST_TEST((Fixture.statusOf(openClaim("k", "m", "", "d", 2)) ==
              CommandStatus::REFUSED));
  Fixture.apply(drain("m", true));
  BOOST_TEST((Fixture.statusOf(openClaim("k", "m")) == CommandStatus::REFUSED));
  Fixture.apply(zoneService("kochi", false, "r"));
  BOOST_TEST((Fixture.statusOf(openClaim("k", "n")) == CommandStatus::REFUSED));
  BOOST_TEST(!Fixture.m_State.claim("k").has_value());
}

// Guards against claims that use memory without limit, and against an outcome
// that is lost because its response exceeds the limit.
BOOST_AUTO_TEST_CASE(NumberAndBytesAreBounded) {
  Cluster Fixture;
  Fixture.apply(applyConfig(2, documentText(2, "{claims: 2}")));
  const int64_t Token = Fixture.apply(openClaim("k1", "m")).claimToken;
  Fixture.apply(openClaim("k2", "m"));
  BOOST_TEST((Fixture.statusOf(openClaim("k3", "m")) == CommandStatus::LIMIT));
  BOOST_TEST(
      (Fixture.apply(openClaim("k1", "n")).claimState == ClaimState::HELD));
  const CommandResult Large = Fixture.apply(closeClaim(
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
  // With their fixed part, 15 complete responses fit into 1 MiB; a 16th does
  // not.
  BOOST_TEST(Granted >= 15);
  BOOST_TEST(Bytes.m_State.counters().m_ClaimBytes <= 1 << 20);
}

// Guards against an ExpireClaims that removes a claim that is still open or was
// closed after the given time.
BOOST_AUTO_TEST_CASE(ExpiryRemovesOnlyOldClosedClaims) {
  Cluster Fixture;
  const int64_t Old = Fixture.apply(openClaim("old", "m")).claimToken;
  Fixture.apply(openClaim("open", "m"));
  Fixture.apply(closeClaim("old", Old, Outcome::COMPLETED, "m"));
  const int64_t BeforeUs = Fixture.m_NowUs + 1;
  const int64_t Young = Fixture.apply(openClaim("young", "m")).claimToken;
  Fixture.apply(closeClaim("young", Young, Outcome::COMPLETED, "m"));
  Fixture.apply(expireClaims(BeforeUs));
  BOOST_TEST(!Fixture.m_State.claim("old").has_value());
  BOOST_TEST(Fixture.m_State.claim("open").has_value());
  BOOST_TEST(Fixture.m_State.claim("young").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
