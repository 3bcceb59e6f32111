#ifndef ANVIL_ENTRY_AGENTCLIENTS_H
#define ANVIL_ENTRY_AGENTCLIENTS_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "anvil/net/Rpc.h"

namespace anvil::entry {

/// Keeps one RPC connection to each agent that requests are sent to.
class AgentClients {
public:
  AgentClients(boost::asio::io_context &Io, net::RpcOptions Options)
      : m_Io(Io), m_Options(std::move(Options)) {}

  /// Sends an ExecuteRequest. An address that can't be parsed ends the call as
  /// NotSent.
  void execute(const std::string &Address, std::string Body, Duration Timeout,
               std::string_view TraceId, net::RpcDone Done);
  /// Closes the connections to addresses that are not in \p Listed and have no
  /// open call.
  void keepOnly(const std::set<std::string> &Listed);
  size_t size() const { return m_Peers.size(); }

private:
  struct Peer {
    std::unique_ptr<net::RpcClient> m_Client;
    int m_OpenCalls = 0;
  };

  boost::asio::io_context &m_Io;
  net::RpcOptions m_Options;
  std::map<std::string, std::shared_ptr<Peer>> m_Peers;
};

} // namespace anvil::entry

#endif // ANVIL_ENTRY_AGENTCLIENTS_H
