#include "control/AgentSessions.h"

#include <boost/test/unit_test.hpp>

#include "anvil/net/WireCodec.h"
#include "state/StateFixture.h"

namespace anvil::control::internal {
namespace {

using state::test::Cluster;

constexpr size_t PayloadBytes = 64 << 10;
constexpr TimePoint Now = timePointFromMicros(1'000'000);

struct SessionsFixture {
  SessionsFixture() {
    wire::Command Submit = state::test::submit(1);
    Submit.submitJob.spec.payload = std::string(PayloadBytes, 'p');
    m_Job = m_Cluster.apply(Submit).jobId;
    m_Cluster.apply(state::test::place(m_Job, {"a"}));
    m_Token = m_Cluster.job(m_Job).m_StartToken;
    m_Sessions.recordConfirmedRead(Now);
  }

  void report(wire::TaskState::type State) {
    m_Cluster.apply(state::test::report("a", m_Job, 0, m_Token, State));
  }

  /// Returns the only assignment in the reply to a heartbeat that reports the
  /// task once in each of \p States.
  wire::Assignment
  assignmentFor(const std::vector<wire::TaskState::type> &States) {
    wire::AgentHeartbeat Heartbeat;
    Heartbeat.target = m_Cluster.m_State.target(VmId("a"))->m_Info;
    Heartbeat.targetHealthy = true;
    for (const wire::TaskState::type State : States) {
      wire::TaskStatus &Task = Heartbeat.tasks.emplace_back();
      Task.jobId = m_Job;
      Task.startToken = m_Token;
      Task.state = State;
    }
    const wire::AgentHeartbeatReply Reply =
        m_Sessions.handle(Heartbeat, m_Cluster.m_State, Now);
    m_ReplyBytes = net::encodeStruct(Reply).size();
    BOOST_REQUIRE(Reply.assignments.size() == 1);
    return Reply.assignments[0];
  }

  Cluster m_Cluster;
  AgentSessions m_Sessions{[](const wire::Command &) {}};
  int64_t m_Job = 0;
  int64_t m_Token = 0;
  size_t m_ReplyBytes = 0;
};

BOOST_FIXTURE_TEST_SUITE(AgentSessionsTest, SessionsFixture)

// Guards against a task that starts without its payload.
BOOST_AUTO_TEST_CASE(SendsThePayloadWithTheStartOrderUntilTheTaskHasStarted) {
  report(wire::TaskState::PREPARED);

  const wire::Assignment First = assignmentFor({wire::TaskState::PREPARED});
  const wire::Assignment Repeated = assignmentFor({wire::TaskState::PREPARED});

  BOOST_TEST(First.order == wire::TaskOrder::START);
  BOOST_TEST(First.payload.size() == PayloadBytes);
  BOOST_TEST(Repeated.payload.size() == PayloadBytes);
}

// Guards against a withheld payload for a new attempt, caused by an earlier
// attempt that had started.
BOOST_AUTO_TEST_CASE(SendsThePayloadIfAnotherStartTokenRuns) {
  report(wire::TaskState::PREPARED);
  const int64_t Token = m_Token;

  m_Token = Token - 1;
  const wire::Assignment Assignment = assignmentFor({wire::TaskState::RUNNING});

  BOOST_TEST(Assignment.startToken == Token);
  BOOST_TEST(Assignment.payload.size() == PayloadBytes);
}

// Guards against replies that repeat the payload of every task each second and
// so exceed 9 KB/s per node.
BOOST_AUTO_TEST_CASE(LeavesThePayloadOutBeforeAndAfterTheStart) {
  const wire::Assignment Prepare = assignmentFor({});
  BOOST_TEST(Prepare.order == wire::TaskOrder::PREPARE);
  BOOST_TEST(Prepare.payload.empty());
  report(wire::TaskState::PREPARED);
  report(wire::TaskState::RUNNING);

  const wire::Assignment Running = assignmentFor({wire::TaskState::RUNNING});

  BOOST_TEST(Running.payload.empty());
  BOOST_TEST(m_ReplyBytes < 1024U, "reply_bytes=" << m_ReplyBytes);
  BOOST_TEST_MESSAGE("reply_bytes=" << m_ReplyBytes);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::control::internal
