#include "AgentClients.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace anvil::entry {

void AgentClients::execute(const std::string &Address, std::string Body,
                           Duration Timeout, std::string_view TraceId,
                           net::RpcDone Done) {
  std::shared_ptr<Peer> &Known = m_Peers[Address];
  if (!Known) {
    const absl::StatusOr<net::Endpoint> Parsed = net::parseEndpoint(Address);
    if (!Parsed.ok()) {
      m_Peers.erase(Address);
      const absl::Status Error = makeLayerError(
          absl::StatusCode::kInvalidArgument, net::RpcErrc::NotSent,
          "the agent's address is not ip:port");
      return boost::asio::post(
          m_Io, [Done = std::move(Done), Error] { Done(Error); });
    }
    Known = std::make_shared<Peer>();
    Known->m_Client = net::RpcClient::create(m_Io, *Parsed, m_Options);
  }
  ++Known->m_OpenCalls;
  Known->m_Client->call(
      wire::Method::EXECUTE, std::move(Body), Timeout, TraceId,
      [Used = std::weak_ptr<Peer>(Known),
       Done = std::move(Done)](absl::StatusOr<std::string> Answer) {
        if (const std::shared_ptr<Peer> Alive = Used.lock())
          --Alive->m_OpenCalls;
        Done(std::move(Answer));
      });
}

void AgentClients::keepOnly(const std::set<std::string> &Listed) {
  std::erase_if(m_Peers, [&Listed](const auto &Each) {
    return !Listed.contains(Each.first) && Each.second->m_OpenCalls == 0;
  });
}

} // namespace anvil::entry
