#include <map>
#include <utility>

#include "anvil/agentd/Ports.h"
#include "anvil/net/HttpClient.h"

namespace anvil::agentd {

namespace {

using agent::ExchangeId;
using agent::MinionResult;

// Returns the caller's key from a claim id of the form workspace/service/key.
std::string idempotencyKey(const wire::ExecuteRequest &Request) {
  const std::string Prefix =
      Request.workspace + "/" + Request.serviceName + "/";
  if (Request.claimId.compare(0, Prefix.size(), Prefix) == 0)
    return Request.claimId.substr(Prefix.size());
  return Request.claimId;
}

net::HttpClientRequest toHttp(const wire::ExecuteRequest &Request) {
  net::HttpClientRequest Http;
  Http.m_Method = Request.httpMethod;
  Http.m_Target = Request.path;
  Http.m_Body = Request.body;
  Http.m_Fields.push_back({"X-Request-Id", Request.requestId});
  Http.m_Fields.push_back({"Anvil-Workspace", Request.workspace});
  Http.m_Fields.push_back({"Anvil-Class", Request.className});
  if (!Request.contentType.empty())
    Http.m_Fields.push_back({"Content-Type", Request.contentType});
  if (!Request.claimId.empty())
    Http.m_Fields.push_back({"Idempotency-Key", idempotencyKey(Request)});
  return Http;
}

MinionResult toResult(net::HttpExchangeResult Result) {
  MinionResult Out;
  Out.m_Whole = Result.m_Status.ok();
  Out.m_AnyByteSent = Result.m_AnyByteSent;
  Out.m_ConnectFailed = net::HttpClientErrc::Connect ==
                        layerErrorOf<net::HttpClientErrc>(Result.m_Status)
                            .value_or(net::HttpClientErrc::Read);
  Out.m_Reason = std::string(Result.m_Status.message());
  Out.m_HttpStatus = Result.m_HttpStatus;
  Out.m_ContentType = std::move(Result.m_ContentType);
  Out.m_Body = std::move(Result.m_Body);
  return Out;
}

class HttpMinionPort : public agent::MinionPort {
public:
  HttpMinionPort(boost::asio::io_context &Io, const MinionPortOptions &Options)
      : m_Options(Options) {
    net::HttpClientOptions Http;
    Http.m_MaxConnections = Options.m_Connections;
    Http.m_MaxBodyBytes = Options.m_MaxBodyBytes;
    m_Client = net::HttpClient::create(Io, Options.m_Minion, Http);
  }

  void send(ExchangeId Exchange, const wire::ExecuteRequest &Request,
            Done OnDone) override {
    const Duration Deadline = std::chrono::milliseconds(Request.timeoutMs) +
                              m_Options.m_HungSlotLimit;
    m_Exchanges[Exchange] = m_Client->send(
        toHttp(Request), Deadline,
        [this, Exchange, OnDone](net::HttpExchangeResult Result) {
          m_Exchanges.erase(Exchange);
          OnDone(toResult(std::move(Result)));
        });
  }

  void abandon(ExchangeId Exchange) override {
    const auto Found = m_Exchanges.find(Exchange);
    if (Found != m_Exchanges.end())
      m_Client->abandon(Found->second);
  }

  void probe(std::function<void(bool)> OnDone) override {
    m_Client->probe(std::move(OnDone));
  }

private:
  const MinionPortOptions m_Options;
  std::unique_ptr<net::HttpClient> m_Client;
  std::map<ExchangeId, uint64_t> m_Exchanges;
};

} // namespace

std::unique_ptr<agent::MinionPort>
makeHttpMinionPort(boost::asio::io_context &Io,
                   const MinionPortOptions &Options) {
  return std::make_unique<HttpMinionPort>(Io, Options);
}

} // namespace anvil::agentd
