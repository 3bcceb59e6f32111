#include "AgentClients.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace anvil::entry {

void AgentClients::execute(const std::string &Address, std::string Body,
                           Duration Timeout, std::string_view TraceId,
                           net::RpcDone Done) {
  std::shared_ptr<Peer> &Agent = m_Peers[Address];
  if (!Agent) {
    const absl::StatusOr<net::Endpoint> Parsed = net::parseEndpoint(Address);
    if (!Parsed.ok()) {
      m_Peers.erase(Address);
      const absl::Status Error = makeLayerError(
          absl::StatusCode::kInvalidArgument, net::RpcErrc::NotSent,
          "the agent's address is not ip:port");
      return boost::asio::post(
          m_Io, [Done = std::move(Done), Error] { Done(Error); });
    }
    Agent = std::make_shared<Peer>();
    Agent->m_Client = net::RpcClient::create(m_Io, *Parsed, m_Options);
  }
  ++Agent->m_OpenCalls;
  Agent->m_Client->call(
      wire::Method::EXECUTE, std::move(Body), Timeout, TraceId,
      [WeakAgent = std::weak_ptr<Peer>(Agent),
       Done = std::move(Done)](absl::StatusOr<std::string> Answer) {
        if (const std::shared_ptr<Peer> LiveAgent = WeakAgent.lock())
          --LiveAgent->m_OpenCalls;
        Done(std::move(Answer));
      });
}

void AgentClients::closeUnlisted(const std::set<std::string> &ListedAddresses) {
  std::erase_if(m_Peers, [&ListedAddresses](const auto &Connection) {
    return !ListedAddresses.contains(Connection.first) &&
           Connection.second->m_OpenCalls == 0;
  });
}

} // namespace anvil::entry
