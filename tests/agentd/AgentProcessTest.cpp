#include "anvil/agentd/AgentProcess.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "agentd/FakeControl.h"
#include "anvil/daemon/Process.h"
#include "fakes/FakeMinion.h"
#include "fakes/FakeWorker.h"

namespace {

using namespace anvil;

constexpr auto Patience = std::chrono::seconds(20);

/// An agent with a simulated target and control on free loopback ports, all on one thread.
struct Bench {
  /// Runs until \p Reached holds; the long limit only ends a test that has failed.
  bool runUntil(const std::function<bool()> &Reached) {
    const auto Limit = std::chrono::steady_clock::now() + Patience;
    while (!Reached() && std::chrono::steady_clock::now() < Limit)
      m_Io.run_one_for(std::chrono::milliseconds(10));
    return Reached();
  }

  agentd::AgentSettings settings(wire::TargetKind::type Kind) {
    agentd::AgentSettings Values;
    Values.m_Listen = {"127.0.0.1", 0};
    Values.m_Control = {m_Control.endpoint()};
    Values.m_Target.vm = "vm-1";
    Values.m_Target.kind = Kind;
    Values.m_Target.availabilityZone = "osborne";
    Values.m_Target.rack = "rack-1";
    Values.m_Target.serviceName = "orders";
    Values.m_Accelerators = 8;
    Values.m_Cores = 64;
    Values.m_MemoryMib = 1024;
    return Values;
  }

  void startAgent(agentd::AgentSettings Values) {
    agentd::AgentHooks Hooks;
    Hooks.m_Now = daemon::monotonicNow;
    Hooks.m_Random = [] { return 0.5; };
    Hooks.m_Incarnation = 7;
    Hooks.m_OnLeft = [this](bool Graceful) { m_Left = Graceful; };
    auto Created = agentd::AgentProcess::create(m_Io, std::move(Values), std::move(Hooks));
    BOOST_REQUIRE_MESSAGE(Created.ok(), Created.status().ToString());
    m_Agent = std::move(*Created);
    net::RpcOptions Options;
    Options.m_Random = [] { return 0.5; };
    m_Entry = net::RpcClient::create(m_Io, m_Agent->endpoint(), Options);
  }

  void startMinionAgent() {
    fakes::FakeMinionOptions Options;
    Options.m_Random = [] { return 0.0; };
    m_Minion = std::move(*fakes::FakeMinion::create(m_Io, Options));
    agentd::AgentSettings Values = settings(wire::TargetKind::MINION);
    Values.m_Minion.m_Minion = m_Minion->endpoint();
    startAgent(Values);
    BOOST_REQUIRE(
        runUntil([this] { return !m_Control.m_Heartbeats.empty() && m_Control.m_Heartbeats.back().targetHealthy; }));
  }

  void startWorkerAgent() {
    m_Worker = std::move(*fakes::FakeWorker::create(m_Io, {}));
    agentd::AgentSettings Values = settings(wire::TargetKind::WORKER);
    Values.m_Worker.m_Worker = m_Worker->endpoint();
    Values.m_Worker.m_PollPeriod = std::chrono::milliseconds(20);
    startAgent(Values);
  }

  static wire::ExecuteRequest request(const std::string &Id, int64_t Token) {
    wire::ExecuteRequest Request;
    Request.requestId = Id;
    Request.serviceName = "orders";
    Request.workspace = "retail";
    Request.className = "reorder";
    Request.urgency = wire::Urgency::URGENT;
    Request.timeoutMs = 10000;
    Request.httpMethod = "POST";
    Request.path = "/reorder";
    Request.body = "book=12";
    if (Token != 0)
      Request.claimId = "retail/orders/" + Id;
    Request.claimToken = Token;
    Request.incarnation = 7;
    return Request;
  }

  void send(const wire::ExecuteRequest &Request, std::optional<wire::ExecuteReply> &Reply) {
    m_Entry->call(wire::Method::EXECUTE, net::encodeStruct(Request), std::chrono::seconds(15), "",
                  [&Reply](absl::StatusOr<std::string> Answer) {
                    BOOST_REQUIRE_MESSAGE(Answer.ok(), Answer.status().ToString());
                    Reply = *net::decodeAs<wire::ExecuteReply>(*Answer);
                  });
  }

  wire::ExecuteReply execute(const wire::ExecuteRequest &Request) {
    std::optional<wire::ExecuteReply> Reply;
    send(Request, Reply);
    BOOST_REQUIRE(runUntil([&] { return Reply.has_value(); }));
    return *Reply;
  }

  boost::asio::io_context m_Io{1};
  agentd::FakeControl m_Control{m_Io};
  std::unique_ptr<fakes::FakeMinion> m_Minion;
  std::unique_ptr<fakes::FakeWorker> m_Worker;
  std::unique_ptr<agentd::AgentProcess> m_Agent;
  std::unique_ptr<net::RpcClient> m_Entry;
  std::optional<bool> m_Left;
};

} // namespace

BOOST_AUTO_TEST_SUITE(AgentProcessTest)

// Guards against a response that is lost or altered between minion and entry, and against a claim run twice.
BOOST_AUTO_TEST_CASE(RunsAClaimOnceAndRepeatsItsResponse) {
  Bench B;
  B.startMinionAgent();

  const wire::ExecuteReply First = B.execute(Bench::request("r1", 41));
  const wire::ExecuteReply Second = B.execute(Bench::request("r1", 41));

  BOOST_TEST(First.outcome == wire::Outcome::COMPLETED);
  BOOST_TEST(First.httpStatus == 200);
  BOOST_TEST(First.body == Second.body);
  BOOST_TEST(B.m_Minion->counts().m_Keys.at("r1") == 1);
}

// Guards against a shutdown that cuts off a request in progress or forgets to report its outcome.
BOOST_AUTO_TEST_CASE(DrainFinishesTheRequestInProgress) {
  Bench B;
  B.startMinionAgent();
  B.m_Minion->behaviour().m_ServiceMean = std::chrono::milliseconds(300);
  std::optional<wire::ExecuteReply> Running;
  B.send(Bench::request("r1", 41), Running);
  BOOST_REQUIRE(B.runUntil([&] { return B.m_Minion->counts().m_Busy == 1; }));

  B.m_Agent->beginDrain();
  const wire::ExecuteReply Refused = B.execute(Bench::request("r2", 42));

  BOOST_TEST(Refused.outcome == wire::Outcome::NOT_RUN);
  BOOST_REQUIRE(B.runUntil([&] { return B.m_Left.has_value(); }));
  BOOST_TEST(*B.m_Left);
  BOOST_REQUIRE(Running.has_value());
  BOOST_TEST(Running->outcome == wire::Outcome::COMPLETED);
  BOOST_TEST(B.m_Minion->counts().m_Started == 1);
}

// Guards against a second SIGTERM that waits, or that hides what it cut off.
BOOST_AUTO_TEST_CASE(CutOffEndsARequestAsUnknown) {
  Bench B;
  B.startMinionAgent();
  B.m_Minion->behaviour().m_ServiceMean = std::chrono::seconds(30);
  std::optional<wire::ExecuteReply> Running;
  B.send(Bench::request("r1", 0), Running);
  BOOST_REQUIRE(B.runUntil([&] { return B.m_Minion->counts().m_Busy == 1; }));

  B.m_Agent->beginDrain();
  B.m_Agent->cutOff();

  BOOST_REQUIRE(B.runUntil([&] { return B.m_Left.has_value() && Running.has_value(); }));
  BOOST_TEST(!*B.m_Left);
  BOOST_TEST(Running->outcome == wire::Outcome::UNKNOWN);
}

// Guards against an agent that stays with a silent control replica until its permit is gone for good.
BOOST_AUTO_TEST_CASE(SwitchesToAnotherControlReplica) {
  Bench B;
  agentd::FakeControl Silent(B.m_Io);
  Silent.m_Silent = true;
  fakes::FakeMinionOptions Options;
  Options.m_Random = [] { return 0.0; };
  B.m_Minion = std::move(*fakes::FakeMinion::create(B.m_Io, Options));
  agentd::AgentSettings Values = B.settings(wire::TargetKind::MINION);
  Values.m_Minion.m_Minion = B.m_Minion->endpoint();
  // A random number of 0.5 selects the second of two replicas first.
  Values.m_Control = {B.m_Control.endpoint(), Silent.endpoint()};
  B.startAgent(Values);

  BOOST_TEST(B.runUntil([&] { return !B.m_Control.m_Heartbeats.empty(); }));
  BOOST_TEST(!Silent.m_Heartbeats.empty());
}

// Guards against a worker task that starts before it was prepared, or whose end is not reported.
BOOST_AUTO_TEST_CASE(PreparesStartsAndReportsATask) {
  Bench B;
  B.startWorkerAgent();
  wire::Assignment Task;
  Task.jobId = 5;
  Task.startToken = 9;
  Task.order = wire::TaskOrder::PREPARE;
  Task.resources.cores = 4;
  Task.leaseMs = 60000;
  Task.payload = R"({"run_ms":50})";
  const auto Reported = [&](wire::TaskState::type State) {
    const auto &Seen = B.m_Control.m_Heartbeats;
    return !Seen.empty() && Seen.back().tasks.size() == 1 && Seen.back().tasks[0].state == State;
  };
  B.m_Control.m_Wanted = {Task};
  BOOST_REQUIRE(B.runUntil([&] { return Reported(wire::TaskState::PREPARED); }));
  BOOST_TEST(B.m_Worker->counts().m_StartCalls == 0);

  B.m_Control.m_Wanted[0].order = wire::TaskOrder::START;
  BOOST_REQUIRE(B.runUntil([&] { return Reported(wire::TaskState::SUCCEEDED); }));
  BOOST_TEST(B.m_Worker->counts().m_Starts.at("5/0/9") == 1);

  B.m_Control.m_Wanted.clear();
  BOOST_TEST(B.runUntil([&] { return B.m_Control.m_Heartbeats.back().tasks.empty(); }));
}

BOOST_AUTO_TEST_SUITE_END()
