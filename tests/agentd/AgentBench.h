#ifndef ANVIL_TESTS_AGENTD_AGENTBENCH_H
#define ANVIL_TESTS_AGENTD_AGENTBENCH_H

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "agentd/FakeControl.h"
#include "anvil/agentd/AgentProcess.h"
#include "anvil/daemon/Process.h"
#include "fakes/FakeMinion.h"
#include "fakes/FakeWorker.h"
#include "support/Loopback.h"

namespace anvil::agentd {

/// Runs an agent process with a simulated target, a fake control replica and
/// the connection of an entry.
struct AgentBench : support::Loopback {
  AgentSettings settings(wire::TargetKind::type Kind) const {
    AgentSettings Values;
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
    Values.m_SettleTime = Duration(0);
    return Values;
  }

  void startAgent(AgentSettings Values) {
    AgentHooks Hooks;
    Hooks.m_Now = [this] { return steadyNow(); };
    Hooks.m_Random = [] { return 0.5; };
    Hooks.m_WallMicros = [] { return int64_t{1}; };
    Hooks.m_Incarnation = 7;
    Hooks.m_OnLeft = [this](bool Graceful) { m_Left = Graceful; };
    auto Created =
        AgentProcess::create(m_Io, std::move(Values), std::move(Hooks));
    BOOST_REQUIRE_MESSAGE(Created.ok(), Created.status().ToString());
    m_Agent = std::move(*Created);
    net::RpcOptions Options;
    Options.m_Random = [] { return 0.5; };
    m_Entry = net::RpcClient::create(m_Io, m_Agent->endpoint(), Options);
  }

  /// Starts an agent with a simulated minion. If \p OtherControl is not null,
  /// it is a second replica, which the agent uses first.
  void startMinionAgent(const FakeControl *OtherControl = nullptr) {
    fakes::FakeMinionOptions Options;
    Options.m_Random = [] { return 0.0; };
    m_Minion = std::move(*fakes::FakeMinion::create(m_Io, Options));
    AgentSettings Values = settings(wire::TargetKind::MINION);
    Values.m_Minion.m_Minion = m_Minion->endpoint();
    // A random number of 0.5 selects the second of two replicas first.
    if (OtherControl)
      Values.m_Control.push_back(OtherControl->endpoint());
    startAgent(Values);
    BOOST_REQUIRE(runUntil([this] {
      return !m_Control.m_Heartbeats.empty() && last().targetHealthy;
    }));
  }

  void startWorkerAgent() {
    m_Worker = std::move(*fakes::FakeWorker::create(m_Io, {}));
    AgentSettings Values = settings(wire::TargetKind::WORKER);
    Values.m_Worker.m_Worker = m_Worker->endpoint();
    Values.m_Worker.m_PollPeriod = std::chrono::milliseconds(20);
    startAgent(Values);
  }

  /// Clock of the agent. It advances by at most 50 ms between two readings, so
  /// that no permit expires because the machine is busy.
  TimePoint steadyNow() {
    const TimePoint Real = daemon::monotonicNow();
    m_Clock +=
        std::min<Duration>(Real - m_LastRead, std::chrono::milliseconds(50));
    m_LastRead = Real;
    return m_Clock;
  }

  const wire::AgentHeartbeat &last() const {
    return m_Control.m_Heartbeats.back();
  }

  /// Makes control assign one task with \p Order and returns true once the
  /// agent reports \p State for it.
  bool order(wire::TaskOrder::type Order, wire::TaskState::type State) {
    wire::Assignment Task;
    Task.jobId = 5;
    Task.startToken = 9;
    Task.order = Order;
    Task.resources.cores = 4;
    Task.leaseMs = 60000;
    m_Control.m_Wanted = {Task};
    return runUntil([&] {
      return !m_Control.m_Heartbeats.empty() && last().tasks.size() == 1 &&
             last().tasks[0].state == State;
    });
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

  void send(const wire::ExecuteRequest &Request,
            std::optional<wire::ExecuteReply> &Reply) {
    m_Entry->call(wire::Method::EXECUTE, net::encodeStruct(Request),
                  std::chrono::seconds(15), "",
                  [&Reply](const absl::StatusOr<std::string> &Answer) {
                    BOOST_REQUIRE_MESSAGE(Answer.ok(),
                                          Answer.status().ToString());
                    Reply = *net::decodeAs<wire::ExecuteReply>(*Answer);
                  });
  }

  wire::ExecuteReply execute(const wire::ExecuteRequest &Request) {
    std::optional<wire::ExecuteReply> Reply;
    send(Request, Reply);
    BOOST_REQUIRE(runUntil([&] { return Reply.has_value(); }));
    return *Reply;
  }

  TimePoint m_Clock = timePointFromMicros(1000000);
  TimePoint m_LastRead = daemon::monotonicNow();
  FakeControl m_Control{m_Io};
  std::unique_ptr<fakes::FakeMinion> m_Minion;
  std::unique_ptr<fakes::FakeWorker> m_Worker;
  std::unique_ptr<AgentProcess> m_Agent;
  std::unique_ptr<net::RpcClient> m_Entry;
  std::optional<bool> m_Left;
};

} // namespace anvil::agentd

#endif // ANVIL_TESTS_AGENTD_AGENTBENCH_H
