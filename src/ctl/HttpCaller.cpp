#include "anvil/ctl/HttpCaller.h"

#include <boost/asio/io_context.hpp>

#include "anvil/base/Port.h"
#include "anvil/net/HttpClient.h"

namespace anvil::ctl {

namespace {

constexpr size_t MaxResponseBytes = 64u << 20;

ApiResult callOne(const net::Endpoint &Entry, const ApiCall &Call,
                  Duration Timeout) {
  boost::asio::io_context Io;
  net::HttpClientOptions Options;
  Options.m_MaxBodyBytes = MaxResponseBytes;
  const std::unique_ptr<net::HttpClient> Client =
      net::HttpClient::create(Io, Entry, Options);
  ApiResult Result;
  Client->send({Call.m_Method, Call.m_Target, Call.m_Fields, Call.m_Body},
               Timeout, [&](const net::HttpExchangeResult &Exchange) {
                 Result.m_Reached = Exchange.m_Status.ok();
                 Result.m_AnyByteSent = Exchange.m_AnyByteSent;
                 Result.m_Status = Exchange.m_HttpStatus;
                 Result.m_Body = Exchange.m_Body;
                 Result.m_Error =
                     Entry.str() + ": " +
                     std::string(fromAbsl(Exchange.m_Status.message()));
                 Io.stop();
               });
  Io.run();
  return Result;
}

} // namespace

ApiResult callAny(const std::vector<net::Endpoint> &Entries,
                  const ApiCall &Call, Duration Timeout) {
  ApiResult Result;
  Result.m_Error = "no entry is configured; use --entry or ANVIL_ENTRY";
  for (const net::Endpoint &Entry : Entries) {
    Result = callOne(Entry, Call, Timeout);
    if (Result.m_Reached || Result.m_AnyByteSent)
      return Result;
  }
  return Result;
}

} // namespace anvil::ctl
