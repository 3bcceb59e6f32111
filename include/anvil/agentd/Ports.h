#ifndef ANVIL_AGENTD_PORTS_H
#define ANVIL_AGENTD_PORTS_H

#include <memory>

#include "anvil/agent/MinionPort.h"
#include "anvil/agent/WorkerPort.h"
#include "anvil/net/Endpoint.h"

namespace boost::asio {
class io_context;
}

namespace anvil::agentd {

/// Address and limits of the connections to a minion.
struct MinionPortOptions {
  net::Endpoint m_Minion;
  size_t m_Connections = 64;
  size_t m_MaxBodyBytes = 4u << 20;
  /// Time after the caller's timeout when an exchange ends. Until then a late
  /// result still closes its claim.
  Duration m_HungSlotLimit = std::chrono::seconds(60);
};

/// Returns a port that sends requests to a minion over HTTP/1.1.
std::unique_ptr<agent::MinionPort>
makeHttpMinionPort(boost::asio::io_context &Io,
                   const MinionPortOptions &Options);

/// Address and timing of the connections to a worker.
struct WorkerPortOptions {
  net::Endpoint m_Worker;
  /// Time between two reads of the worker's events.
  Duration m_PollPeriod = std::chrono::milliseconds(250);
  Duration m_CommandTimeout = std::chrono::seconds(2);
};

/// Returns a port that sends JSON commands over HTTP to a worker and polls its
/// events. See docs/agent.md.
std::unique_ptr<agent::WorkerPort>
makeHttpWorkerPort(boost::asio::io_context &Io,
                   const WorkerPortOptions &Options,
                   agent::WorkerPort::Hooks Hooks);

} // namespace anvil::agentd

#endif // ANVIL_AGENTD_PORTS_H
