#ifndef ANVIL_ENTRY_AGENTCLIENTS_H
#define ANVIL_ENTRY_AGENTCLIENTS_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "anvil/net/Rpc.h"

namespace anvil::entry {

/// Holds one RPC connection per agent address. A connection is opened by the
/// first request to an agent.
class AgentClients {
public:
  AgentClients(boost::asio::io_context &Io, net::RpcOptions Options)
      : m_Io(Io), m_Options(std::move(Options)) {}

  /// Sends an encoded ExecuteRequest. If \p Address can't be parsed, the call
  /// fails with NotSent.
  void execute(const std::string &Address, std::string Body, Duration Timeout,
               std::string_view TraceId, net::RpcDone Done);
  /// Closes the connections to addresses that are not in \p ListedAddresses and
  /// have no open call.
  void closeUnlisted(const std::set<std::string> &ListedAddresses);
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
