#include "control/AgentSessions.h"

#include "state/StateFixture.h"

namespace anvil::control::internal {
namespace {

using namespace anvil::state::test;

TimePoint at(int64_t Ms) { return timePointFromMicros(Ms * 1000); }

constexpr int64_t Incarnation = 5;
constexpr int64_t PermitMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(PermitDuration)
        .count();

// The agent sessions of one replica. Tests apply the collected proposals to its
// state.
struct PermitFixture {
  state::ClusterState m_State = *state::ClusterState::create();
  std::vector<wire::Command> m_Proposed;
  AgentSessions m_Sessions{[this](wire::Command Command) {
    m_Proposed.push_back(std::move(Command));
  }};
  int64_t m_Index = 0;
  int64_t m_Sequence = 0;

  PermitFixture() { apply(applyConfig(1, documentText(1))); }

  wire::CommandResult apply(wire::Command Command) {
    Command.proposedAtUs = 1'000'000 + m_Index;
    return m_State.apply(Command, ++m_Index);
  }

  static wire::AgentHeartbeat
  heartbeat(int64_t HeartbeatIncarnation = Incarnation) {
    wire::AgentHeartbeat Heartbeat;
    Heartbeat.target =
        registerMinion("m", HeartbeatIncarnation).registerTarget.target;
    Heartbeat.targetHealthy = true;
    return Heartbeat;
  }

  wire::AgentHeartbeatReply send(wire::AgentHeartbeat Heartbeat,
                                 int64_t NowMs) {
    Heartbeat.sequence = ++m_Sequence;
    return m_Sessions.handle(Heartbeat, m_State, at(NowMs));
  }

  void registerAgent() {
    send(heartbeat(), 0);
    BOOST_REQUIRE(m_Proposed.size() == 1u);
    BOOST_REQUIRE((apply(m_Proposed[0]).status == wire::CommandStatus::OK));
    m_Proposed.clear();
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PermitTest, PermitFixture)

// Guards against a permit from a replica that does not know of a withdrawal
// because it is partitioned from the leader (H3, H7).
BOOST_AUTO_TEST_CASE(GivesPermitsOnlyWhileTheLastReadIsFresh) {
  registerAgent();
  BOOST_TEST(send(heartbeat(), 10).permitMs == 0);
  m_Sessions.recordConfirmedRead(at(100));
  BOOST_TEST(send(heartbeat(), 100).permitMs == PermitMs);
  BOOST_TEST(send(heartbeat(), 1100).permitMs == PermitMs);
  const wire::AgentHeartbeatReply Late = send(heartbeat(), 1101);
  BOOST_TEST(Late.permitMs == 0);
  BOOST_TEST(!Late.accepted);
}

// Guards against a read validity that counts from the confirmation of a read
// instead of its request.
BOOST_AUTO_TEST_CASE(CountsFreshnessFromTheRequestOfTheRead) {
  registerAgent();
  m_Sessions.recordConfirmedRead(at(500));
  m_Sessions.recordConfirmedRead(at(200));
  BOOST_TEST(send(heartbeat(), 1500).permitMs == PermitMs);
  BOOST_TEST(send(heartbeat(), 1501).permitMs == 0);
}

// Guards against a sum of read validity and permit duration that exceeds 3 s if
// clock rates differ by 10%.
BOOST_AUTO_TEST_CASE(PermitEndsWithinThreeSecondsOfAWithdrawal) {
  const Duration Worst = ReadValidity + PermitDuration;
  BOOST_TEST((Worst + Worst / 10 <= std::chrono::seconds(3)));
}

// Guards against permits in a withdrawn zone, or for a draining or unhealthy
// target.
BOOST_AUTO_TEST_CASE(GivesNoPermitWhereNothingMayStart) {
  registerAgent();
  m_Sessions.recordConfirmedRead(at(0));
  BOOST_TEST(send(heartbeat(), 1).permitMs == PermitMs);
  wire::AgentHeartbeat Unhealthy = heartbeat();
  Unhealthy.targetHealthy = false;
  BOOST_TEST(send(Unhealthy, 2).permitMs == 0);
  apply(zoneService("kochi", false, "r1"));
  const wire::AgentHeartbeatReply Withdrawn = send(heartbeat(), 3);
  BOOST_TEST(Withdrawn.permitMs == 0);
  BOOST_TEST(Withdrawn.accepted);
  apply(zoneService("kochi", true, "r2"));
  apply(drain("m", true));
  const wire::AgentHeartbeatReply Draining = send(heartbeat(), 4);
  BOOST_TEST(Draining.permitMs == 0);
  BOOST_TEST(Draining.draining);
}

// Guards against serving an older incarnation after a newer one has registered.
BOOST_AUTO_TEST_CASE(RefusesAnOlderIncarnation) {
  registerAgent();
  m_Sessions.recordConfirmedRead(at(0));
  const wire::AgentHeartbeatReply Old = send(heartbeat(Incarnation - 1), 1);
  BOOST_TEST(!Old.accepted);
  BOOST_TEST(Old.permitMs == 0);
  BOOST_TEST(m_Proposed.empty());
}

// Guards against a log entry for each heartbeat that repeats the same report.
BOOST_AUTO_TEST_CASE(ProposesAReportOnceUntilItIsOverdue) {
  wire::AgentHeartbeat Leaving = heartbeat();
  registerAgent();
  Leaving.shuttingDown = true;
  for (int64_t Ms = 0; Ms < 2000; Ms += 200)
    send(Leaving, Ms);
  BOOST_TEST(m_Proposed.size() == 1u);
  send(Leaving, 2000);
  BOOST_TEST(m_Proposed.size() == 2u);
  BOOST_TEST(static_cast<bool>(m_Proposed[0].__isset.drainTarget));
}

// Guards against an outcome that is lost because a replica acknowledges it
// before it has applied the grant.
BOOST_AUTO_TEST_CASE(AcknowledgesNoOutcomeBeforeItsGrantIsApplied) {
  registerAgent();
  wire::AgentHeartbeat Reporting = heartbeat();
  wire::ClaimOutcome Outcome;
  Outcome.claimId = "w/s/k";
  Outcome.token = m_Index + 1;
  Outcome.outcome = wire::Outcome::COMPLETED;
  Reporting.outcomes = {Outcome};
  BOOST_TEST(send(Reporting, 1).acknowledgedClaims.empty());

  const wire::CommandResult Granted =
      apply(openClaim("w/s/k", "m", "entry-1/1", "digest", Incarnation));
  BOOST_REQUIRE((Granted.claimState == wire::ClaimState::GRANTED));
  BOOST_TEST(Granted.claimToken == Outcome.token);
  BOOST_TEST(send(Reporting, 2).acknowledgedClaims.empty());
  BOOST_REQUIRE(m_Proposed.size() == 1u);
  BOOST_REQUIRE((apply(m_Proposed[0]).status == wire::CommandStatus::OK));
  BOOST_TEST(send(Reporting, 3).acknowledgedClaims.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::control::internal
