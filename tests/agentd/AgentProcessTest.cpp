#include "agentd/AgentBench.h"

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace anvil;
using agentd::AgentBench;
using agentd::FakeControl;

namespace {

/// Text of a session. It omits numbers that differ between runs: ports,
/// sequence numbers, loads and times.
class Transcript {
public:
  void line(const std::string &Text) { m_Text += Text + "\n"; }

  /// Adds the heartbeats of one agent without consecutive duplicates.
  void heartbeats(const std::vector<wire::AgentHeartbeat> &Heartbeats) {
    std::string Last;
    for (const wire::AgentHeartbeat &Heartbeat : Heartbeats) {
      const std::string Text = describe(Heartbeat);
      if (Text != Last)
        line(Text);
      Last = Text;
    }
  }

  void reply(const std::string &Id, const wire::ExecuteReply &Reply) {
    std::ostringstream Out;
    Out << "reply " << Id << " outcome=" << Reply.outcome
        << " status=" << Reply.httpStatus << " reason=" << Reply.reason
        << " body=" << Reply.body;
    line(Out.str());
  }

  const std::string &text() const { return m_Text; }

private:
  static std::string describe(const wire::AgentHeartbeat &Heartbeat) {
    std::ostringstream Out;
    const wire::TargetInfo &Target = Heartbeat.target;
    Out << "heartbeat vm=" << Target.vm << " kind=" << Target.kind
        << " zone=" << Target.availabilityZone << " rack=" << Target.rack
        << " service=" << Target.serviceName
        << " incarnation=" << Target.incarnation
        << " accelerators=" << Target.capacity.accelerators
        << " slots=" << Target.slots << " leaving=" << Heartbeat.shuttingDown
        << " healthy=" << Heartbeat.targetHealthy;
    for (const wire::TaskStatus &Task : Heartbeat.tasks)
      Out << " task=" << Task.jobId << "/" << Task.taskIndex << "/"
          << Task.startToken << ":" << Task.state;
    for (const wire::ClaimOutcome &Outcome : Heartbeat.outcomes)
      Out << " outcome=" << Outcome.claimId << "/" << Outcome.token << ":"
          << Outcome.outcome << ":" << Outcome.body;
    return Out.str();
  }

  std::string m_Text;
};

void minionSession(Transcript &Log) {
  AgentBench Bench;
  Bench.startMinionAgent();
  Log.reply("r1", Bench.execute(AgentBench::request("r1", 41)));
  BOOST_REQUIRE(Bench.runUntil([&] { return !Bench.last().outcomes.empty(); }));
  BOOST_REQUIRE(Bench.runUntil([&] { return Bench.last().outcomes.empty(); }));
  Log.reply("r1 again", Bench.execute(AgentBench::request("r1", 41)));
  wire::ExecuteRequest Stale = AgentBench::request("r2", 42);
  Stale.incarnation = 6;
  Log.reply("r2", Bench.execute(Stale));
  Bench.m_Control.m_Draining = true;
  const size_t Before = Bench.m_Control.m_Heartbeats.size();
  BOOST_REQUIRE(Bench.runUntil(
      [&] { return Bench.m_Control.m_Heartbeats.size() > Before + 1; }));
  Log.reply("r3", Bench.execute(AgentBench::request("r3", 0)));
  Bench.m_Agent->beginDrain();
  BOOST_REQUIRE(Bench.runUntil([&] { return Bench.m_Left.has_value(); }));
  Log.heartbeats(Bench.m_Control.m_Heartbeats);
  Log.line(std::string("left graceful=") + (*Bench.m_Left ? "1" : "0"));
}

void workerSession(Transcript &Log) {
  AgentBench Bench;
  Bench.startWorkerAgent();
  BOOST_REQUIRE(
      Bench.order(wire::TaskOrder::PREPARE, wire::TaskState::PREPARED));
  BOOST_REQUIRE(Bench.order(wire::TaskOrder::START, wire::TaskState::RUNNING));
  BOOST_REQUIRE(Bench.order(wire::TaskOrder::CHECKPOINT_AND_STOP,
                            wire::TaskState::CHECKPOINTED));
  Bench.m_Control.m_Wanted.clear();
  BOOST_REQUIRE(Bench.runUntil([&] { return Bench.last().tasks.empty(); }));
  Bench.m_Agent->beginDrain();
  BOOST_REQUIRE(Bench.runUntil([&] { return Bench.m_Left.has_value(); }));
  Log.heartbeats(Bench.m_Control.m_Heartbeats);
  Log.line(std::string("left graceful=") + (*Bench.m_Left ? "1" : "0"));
}

} // namespace

BOOST_AUTO_TEST_SUITE(AgentProcessTest)

// Guards against unintended changes of what an agent sends to control and to
// entries.
BOOST_AUTO_TEST_CASE(SessionMatchesTheGoldenFile) {
  Transcript Log;
  minionSession(Log);
  workerSession(Log);
  std::ifstream File(ANVIL_SOURCE_DIR "/tests/agentd/golden/agent-session.txt");
  std::stringstream Expected;
  Expected << File.rdbuf();
  BOOST_TEST(Log.text() == Expected.str());
}

// Guards against a shutdown that cuts off a request in progress or exits before
// its outcome is reported.
BOOST_AUTO_TEST_CASE(DrainFinishesTheRequestInProgress) {
  AgentBench Bench;
  Bench.startMinionAgent();
  Bench.m_Minion->behaviour().m_ServiceMean = std::chrono::milliseconds(300);
  std::optional<wire::ExecuteReply> Running;
  Bench.send(AgentBench::request("r1", 41), Running);
  BOOST_REQUIRE(
      Bench.runUntil([&] { return Bench.m_Minion->counts().m_Busy == 1; }));

  Bench.m_Agent->beginDrain();
  const wire::ExecuteReply Refused =
      Bench.execute(AgentBench::request("r2", 42));

  BOOST_TEST(Refused.outcome == wire::Outcome::NOT_RUN);
  BOOST_REQUIRE(Bench.runUntil([&] { return Bench.m_Left.has_value(); }));
  BOOST_TEST(*Bench.m_Left);
  BOOST_REQUIRE(Running.has_value());
  BOOST_TEST(Running->outcome == wire::Outcome::COMPLETED);
  BOOST_TEST(Bench.m_Minion->counts().m_Started == 1);
}

// Guards against a second SIGTERM that waits for requests in progress, or that
// counts as graceful although it cut a request off.
BOOST_AUTO_TEST_CASE(CutOffEndsARequestAsUnknown) {
  AgentBench Bench;
  Bench.startMinionAgent();
  Bench.m_Minion->behaviour().m_ServiceMean = std::chrono::seconds(30);
  std::optional<wire::ExecuteReply> Running;
  Bench.send(AgentBench::request("r1", 0), Running);
  BOOST_REQUIRE(
      Bench.runUntil([&] { return Bench.m_Minion->counts().m_Busy == 1; }));

  Bench.m_Agent->beginDrain();
  Bench.m_Agent->cutOff();

  BOOST_REQUIRE(Bench.runUntil(
      [&] { return Bench.m_Left.has_value() && Running.has_value(); }));
  BOOST_TEST(!*Bench.m_Left);
  BOOST_TEST(Running->outcome == wire::Outcome::UNKNOWN);
}

// Guards against an agent that keeps using a control replica which does not
// answer. It would never get a permit.
BOOST_AUTO_TEST_CASE(SwitchesToAnotherControlReplica) {
  AgentBench Bench;
  FakeControl Silent(Bench.m_Io);
  Silent.m_Silent = true;
  Bench.startMinionAgent(&Silent);
  BOOST_TEST(!Silent.m_Heartbeats.empty());
}

// Guards against an agent that does not report its RPC byte counts, without
// which its footprint can't be measured.
BOOST_AUTO_TEST_CASE(AnswersItsFootprint) {
  AgentBench Bench;
  Bench.startMinionAgent();
  wire::QueryRequest Request;
  Request.kind = "footprint";
  std::optional<wire::QueryReply> Reply;
  Bench.m_Entry->call(
      wire::Method::QUERY, net::encodeStruct(Request), std::chrono::seconds(5),
      "", [&Reply](const absl::StatusOr<std::string> &Answer) {
        BOOST_REQUIRE_MESSAGE(Answer.ok(), Answer.status().ToString());
        Reply = *net::decodeAs<wire::QueryReply>(*Answer);
      });

  BOOST_REQUIRE(Bench.runUntil([&] { return Reply.has_value(); }));
  BOOST_TEST(Reply->httpStatus == 200);
  BOOST_TEST(Reply->json.starts_with("{\"rpc_bytes_sent\":"),
             "reply is " << Reply->json);
  BOOST_TEST(Reply->json.find("\"rpc_bytes_received\":0") == std::string::npos,
             "reply is " << Reply->json);
}

BOOST_AUTO_TEST_SUITE_END()
