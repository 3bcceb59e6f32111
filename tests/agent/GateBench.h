#ifndef ANVIL_TESTS_AGENT_GATEBENCH_H
#define ANVIL_TESTS_AGENT_GATEBENCH_H

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "anvil/agent/AgentGate.h"

namespace anvil::agent {

/// Drives one AgentGate with a manual clock and records its actions by type.
class GateBench {
public:
  static constexpr int64_t Incarnation = 7;

  explicit GateBench(AgentOptions Options = {},
                     wire::TargetKind::type Kind = wire::TargetKind::MINION) {
    Options.m_Target.vm = "vm-1";
    Options.m_Target.kind = Kind;
    Options.m_Target.incarnation = Incarnation;
    Options.m_Target.capacity.accelerators = 8;
    Options.m_Target.capacity.cores = 64;
    Options.m_Target.capacity.memoryMib = 1024;
    if (!Options.m_Random)
      Options.m_Random = [] { return 0.5; };
    m_Gate = std::move(*AgentGate::create(std::move(Options)));
  }

  /// Applies an event and records the actions. Heartbeats are reported as sent
  /// at once.
  void step(Event Incoming) {
    for (Action &Next : m_Gate->step(std::move(Incoming), m_Now))
      std::visit([this](auto &Item) { record(std::move(Item)); }, Next);
  }

  void advance(Duration Span) { m_Now += Span; }

  /// Advances the clock with a Tick every 50 ms.
  void pass(Duration Span) {
    const TimePoint End = m_Now + Span;
    while (m_Now < End) {
      m_Now = std::min(End, m_Now + std::chrono::milliseconds(50));
      step(Tick{});
    }
  }

  /// Ticks until the next heartbeat is sent and returns its sequence number.
  int64_t nextHeartbeat() {
    const size_t Before = m_Heartbeats.size();
    for (int Tries = 0; Tries < 200 && m_Heartbeats.size() == Before; ++Tries)
      pass(std::chrono::milliseconds(50));
    BOOST_REQUIRE(m_Heartbeats.size() > Before);
    return m_Heartbeats.back().sequence;
  }

  static wire::AgentHeartbeatReply reply(int64_t Sequence,
                                         int64_t PermitMs = 1500) {
    wire::AgentHeartbeatReply Reply;
    Reply.sequence = Sequence;
    Reply.accepted = true;
    Reply.permitMs = PermitMs;
    Reply.renewedAtIndex = 1;
    return Reply;
  }

  /// Sends a heartbeat and answers it at once with \p Assignments.
  void exchangeHeartbeat(std::vector<wire::Assignment> Assignments = {}) {
    wire::AgentHeartbeatReply Reply = reply(nextHeartbeat());
    Reply.assignments = std::move(Assignments);
    step(HeartbeatReplied{Reply});
  }

  /// Makes the minion healthy and grants a permit, so that requests can start.
  void makeReady() {
    step(Tick{});
    step(MinionProbed{true});
    exchangeHeartbeat();
    BOOST_REQUIRE(m_Gate->hasPermit(m_Now));
  }

  static wire::ExecuteRequest request(const std::string &Id, int64_t Token = 0,
                                      int64_t TimeoutMs = 10000) {
    wire::ExecuteRequest Request;
    Request.requestId = Id;
    Request.className = "quote";
    Request.urgency = wire::Urgency::URGENT;
    Request.timeoutMs = TimeoutMs;
    Request.claimId = Token == 0 ? "" : "w/s/" + std::to_string(Token);
    Request.claimToken = Token;
    Request.incarnation = Incarnation;
    return Request;
  }

  /// Delivers a request and returns its call number.
  int64_t arrive(wire::ExecuteRequest Request) {
    const int64_t Call = ++m_LastCall;
    step(ExecuteArrived{CallId(Call), std::move(Request)});
    return Call;
  }

  /// Returns the outcome of \p Call, or 0 if it was not answered.
  int outcome(int64_t Call) const {
    const auto Found = m_Replies.find(Call);
    return Found == m_Replies.end() ? 0
                                    : static_cast<int>(Found->second.outcome);
  }

  /// Ends the exchange with the number \p Index, from 0, with a complete
  /// response.
  void answer(size_t Index, const std::string &Body = "done") {
    step(MinionAnswered{m_Sent.at(Index).m_Exchange, 200, "text/plain", Body});
  }

  void fail(size_t Index, bool AnyByteSent, bool ConnectFailed = false) {
    step(MinionFailed{m_Sent.at(Index).m_Exchange, AnyByteSent, ConnectFailed,
                      "simulated"});
  }

  /// Returns the state of the task in the last heartbeat, or 0 if it did not
  /// report exactly one task.
  int taskState() const {
    const auto &Tasks = m_Heartbeats.back().tasks;
    return Tasks.size() == 1 ? static_cast<int>(Tasks[0].state) : 0;
  }

  std::unique_ptr<AgentGate> m_Gate;
  TimePoint m_Now = timePointFromMicros(1000000000);
  std::map<int64_t, wire::ExecuteReply> m_Replies;
  std::vector<SendToMinion> m_Sent;
  std::vector<wire::AgentHeartbeat> m_Heartbeats;
  std::vector<StartTask> m_Starts;
  std::vector<RenewTask> m_Renewals;
  std::vector<TaskKey> m_Stops;
  std::vector<TaskKey> m_Checkpoints;
  std::vector<TaskKey> m_Throttles;
  std::vector<Leave> m_Leaves;
  int m_Switches = 0;
  int m_Probes = 0;
  int m_Abandoned = 0;

private:
  void record(ReplyToCall Item) {
    BOOST_TEST(!m_Replies.contains(Item.m_Call.value()),
               "call " << Item.m_Call.value() << " was answered twice");
    m_Replies[Item.m_Call.value()] = std::move(Item.m_Reply);
  }
  void record(SendToMinion Item) { m_Sent.push_back(std::move(Item)); }
  void record(const AbandonExchange &) { ++m_Abandoned; }
  void record(ProbeMinion) { ++m_Probes; }
  void record(const SendHeartbeat &Item) {
    m_Heartbeats.push_back(Item.m_Message);
    step(HeartbeatSent{Item.m_Message.sequence});
  }
  void record(const SwitchControl &) { ++m_Switches; }
  void record(StartTask Item) { m_Starts.push_back(std::move(Item)); }
  void record(const RenewTask &Item) { m_Renewals.push_back(Item); }
  void record(CheckpointTask Item) { m_Checkpoints.push_back(Item.m_Key); }
  void record(ThrottleTask Item) { m_Throttles.push_back(Item.m_Key); }
  void record(StopTask Item) { m_Stops.push_back(Item.m_Key); }
  void record(Leave Item) { m_Leaves.push_back(std::move(Item)); }
  void record(const LogNote &) {}

  int64_t m_LastCall = 0;
};

} // namespace anvil::agent

#endif // ANVIL_TESTS_AGENT_GATEBENCH_H
