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

/// Bounds of the connection to a minion.
struct MinionPortOptions {
  net::Endpoint m_Minion;
  size_t m_Connections = 64;
  size_t m_MaxBodyBytes = 4u << 20;
  /// An exchange ends after the caller's timeout and this time, so that a late
  /// result still closes its claim.
  Duration m_HungSlotLimit = std::chrono::seconds(60);
};

/// Returns a port that speaks HTTP/1.1 to a minion.
std::unique_ptr<agent::MinionPort>
makeHttpMinionPort(boost::asio::io_context &Io,
                   const MinionPortOptions &Options);

/// Bounds of the connection to a worker.
struct WorkerPortOptions {
  net::Endpoint m_Worker;
  Duration m_PollPeriod = std::chrono::milliseconds(
      250); ///< Between two reads of the worker's events.
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
