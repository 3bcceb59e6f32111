#ifndef ANVIL_TESTS_AGENTD_FAKECONTROL_H
#define ANVIL_TESTS_AGENTD_FAKECONTROL_H

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "anvil/net/Rpc.h"
#include "anvil/net/WireCodec.h"

namespace anvil::agentd {

/// Fake control replica that answers heartbeats as the test configures it and
/// records them.
class FakeControl {
public:
  using Reply = wire::AgentHeartbeatReply;

  explicit FakeControl(boost::asio::io_context &Io) {
    net::RpcOptions Options;
    Options.m_Random = [] { return 0.5; };
    m_Server =
        std::move(*net::RpcServer::create(Io, {"127.0.0.1", 0}, Options));
    m_Server->handle(
        wire::Method::AGENT_HEARTBEAT,
        [this](const net::RpcCall &Call, const net::RpcResponder &Respond) {
          m_Heartbeats.push_back(
              *net::decodeAs<wire::AgentHeartbeat>(Call.m_Body));
          if (m_Silent)
            return;
          Respond(net::encodeStruct(makeReply(m_Heartbeats.back())));
        });
  }

  net::Endpoint endpoint() const { return m_Server->endpoint(); }

  /// Grants a permit of m_PermitMs, acknowledges every outcome and assigns
  /// m_Wanted.
  Reply makeReply(const wire::AgentHeartbeat &Heartbeat) {
    Reply Answer;
    Answer.sequence = Heartbeat.sequence;
    Answer.accepted = m_Accept;
    Answer.permitMs = m_PermitMs;
    Answer.draining = m_Draining;
    Answer.assignments = m_Wanted;
    for (const wire::ClaimOutcome &Outcome : Heartbeat.outcomes)
      Answer.acknowledgedClaims.push_back(Outcome.claimId);
    Answer.renewedAtIndex = 1;
    return Answer;
  }

  bool m_Silent = false;
  bool m_Accept = true;
  bool m_Draining = false;
  int64_t m_PermitMs = 1500;
  std::vector<wire::Assignment> m_Wanted;
  std::vector<wire::AgentHeartbeat> m_Heartbeats;

private:
  std::unique_ptr<net::RpcServer> m_Server;
};

} // namespace anvil::agentd

#endif // ANVIL_TESTS_AGENTD_FAKECONTROL_H
