#include "anvil/net/HttpClient.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "fakes/FakeHttpServer.h"
#include "support/Loopback.h"

namespace {

using namespace anvil;
using net::HttpClientErrc;
using net::HttpExchangeResult;

/// What the peer does with the next request: sends these bytes, then perhaps
/// closes.
struct Script {
  std::string m_Response;
  bool m_Close = false;
};

/// A client and a peer that answers from a list of scripts; without a script it
/// stays silent.
struct Bench : support::Loopback {
  explicit Bench(net::HttpClientOptions Options = {}) {
    m_Peer = std::move(*fakes::FakeHttpServer::create(
        m_Io, {"127.0.0.1", 0},
        [this](const net::HttpRequest &, const fakes::FakeConnectionPtr &Link) {
          answer(Link);
        }));
    m_Client = net::HttpClient::create(m_Io, m_Peer->endpoint(), Options);
  }

  void answer(const fakes::FakeConnectionPtr &Link) {
    ++m_Requests;
    m_Links.push_back(Link);
    if (m_Scripts.empty())
      return;
    const Script Next = m_Scripts.front();
    m_Scripts.pop_front();
    Link->sendRaw(Next.m_Response, Next.m_Close);
  }

  HttpExchangeResult get(Duration Deadline = std::chrono::seconds(10)) {
    std::optional<HttpExchangeResult> Result;
    net::HttpClientRequest Request;
    Request.m_Target = "/prices";
    m_Client->send(Request, Deadline, [&Result](HttpExchangeResult Got) {
      Result = std::move(Got);
    });
    BOOST_REQUIRE(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }

  std::deque<Script> m_Scripts;
  std::vector<fakes::FakeConnectionPtr> m_Links;
  int m_Requests = 0;
  std::unique_ptr<fakes::FakeHttpServer> m_Peer;
  std::unique_ptr<net::HttpClient> m_Client;
};

const std::string Whole = "HTTP/1.1 200 OK\r\nContent-Type: "
                          "text/plain\r\nContent-Length: 5\r\n\r\nprice";

struct BadResponse {
  const char *m_Name;
  std::string m_Bytes;
  HttpClientErrc m_Code;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against a response that is passed on although it is not whole (H4).
BOOST_AUTO_TEST_CASE(IncompleteResponsesAreErrors) {
  const BadResponse Cases[] = {
      {"closed before the response", "", HttpClientErrc::Read},
      {"cut in the header", "HTTP/1.1 200 OK\r\nContent-Le",
       HttpClientErrc::Read},
      {"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nprice",
       HttpClientErrc::Read},
      {"cut in a chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nprice",
       HttpClientErrc::Read},
      {"cut before the last chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nprice\r\n",
       HttpClientErrc::Read},
      {"end can't be recognised", "HTTP/1.1 200 OK\r\n\r\nprice",
       HttpClientErrc::Malformed},
      {"not HTTP", "price: 5\r\n\r\n", HttpClientErrc::Malformed},
      {"length over the limit",
       "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
       HttpClientErrc::TooLarge},
      {"chunks over the limit",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
           std::string(101, 'x') + "\r\n0\r\n\r\n",
       HttpClientErrc::TooLarge},
      {"interim response", "HTTP/1.1 100 Continue\r\n\r\n",
       HttpClientErrc::Malformed},
  };
  for (const BadResponse &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      net::HttpClientOptions Options;
      Options.m_MaxBodyBytes = 100;
      Bench B(Options);
      B.m_Scripts = {{Case.m_Bytes, true}};
      const HttpExchangeResult Result = B.get();
      BOOST_TEST(!Result.m_Status.ok());
      BOOST_TEST((layerErrorOf<HttpClientErrc>(Result.m_Status) == Case.m_Code),
                 Result.m_Status.ToString());
      BOOST_TEST(Result.m_AnyByteSent);
      BOOST_TEST(Result.m_Body.empty());
    }
  }
}

// Guards against a new connection for each request, and against responses of
// one request given to another.
BOOST_AUTO_TEST_CASE(ReusesAnOpenConnection) {
  Bench B;
  B.m_Scripts = {{Whole, false},
                 {"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno", false}};
  const HttpExchangeResult First = B.get();
  const HttpExchangeResult Second = B.get();
  BOOST_TEST(First.m_HttpStatus == 200);
  BOOST_TEST(First.m_Body == "price");
  BOOST_TEST(First.m_ContentType == "text/plain");
  BOOST_TEST(Second.m_HttpStatus == 404);
  BOOST_TEST(Second.m_Body == "no");
  BOOST_TEST(B.m_Peer->acceptedConnections() == 1);
}

// Guards against a request that fails because the peer had closed the idle
// connection before it was written.
BOOST_AUTO_TEST_CASE(ConnectionClosedWhileIdleIsNotUsed) {
  Bench B;
  B.m_Scripts = {{Whole, false}, {Whole, false}};
  BOOST_TEST(B.get().m_Status.ok());
  B.m_Peer->closeConnections();
  BOOST_TEST(B.get().m_Status.ok());
  BOOST_TEST(B.m_Peer->acceptedConnections() == 2);
}

// Guards against a request repeated on a new connection, or called not sent,
// after a reused connection took its bytes.
BOOST_AUTO_TEST_CASE(RequestOnAReusedConnectionIsNotRepeated) {
  Bench B;
  B.m_Scripts = {{Whole, false}, {"", true}};
  BOOST_TEST(B.get().m_Status.ok());
  const HttpExchangeResult Result = B.get();
  BOOST_TEST(!Result.m_Status.ok());
  BOOST_TEST(Result.m_AnyByteSent);
  BOOST_TEST(B.m_Requests == 2);
}

// Guards against bytes that a peer sent without being asked and that would
// count as the next response.
BOOST_AUTO_TEST_CASE(ConnectionWithSurplusBytesIsNotReused) {
  Bench B;
  B.m_Scripts = {{Whole + Whole, false},
                 {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew", false}};
  BOOST_TEST(B.get().m_Status.ok());
  BOOST_TEST(B.get().m_Body == "new");
  BOOST_TEST(B.m_Peer->acceptedConnections() == 2);
}

// Guards against a refused connection counted as a request that may have run.
BOOST_AUTO_TEST_CASE(RefusedConnectionSendsNothing) {
  Bench B;
  B.m_Peer.reset();
  const HttpExchangeResult Result = B.get();
  BOOST_TEST((layerErrorOf<HttpClientErrc>(Result.m_Status) ==
              HttpClientErrc::Connect));
  BOOST_TEST(!Result.m_AnyByteSent);
  std::optional<bool> Reachable;
  B.m_Client->probe([&Reachable](bool Value) { Reachable = Value; });
  BOOST_REQUIRE(B.runUntil([&] { return Reachable.has_value(); }));
  BOOST_TEST(!*Reachable);
}

// Guards against a silent peer that holds an exchange for ever.
BOOST_AUTO_TEST_CASE(DeadlineEndsASilentExchange) {
  Bench B;
  const HttpExchangeResult Result = B.get(std::chrono::milliseconds(50));
  BOOST_TEST((layerErrorOf<HttpClientErrc>(Result.m_Status) ==
              HttpClientErrc::Deadline));
  BOOST_TEST(Result.m_AnyByteSent);
  BOOST_TEST(B.m_Client->connectionCount() == 0);
}

// Guards against more connections than the peer accepts.
BOOST_AUTO_TEST_CASE(ConnectionsAreBounded) {
  net::HttpClientOptions Options;
  Options.m_MaxConnections = 2;
  Bench B(Options);
  std::vector<HttpExchangeResult> Results;
  for (int Index = 0; Index < 3; ++Index)
    B.m_Client->send(
        {}, std::chrono::seconds(10),
        [&](const HttpExchangeResult &Got) { Results.push_back(Got); });
  BOOST_REQUIRE(
      B.runUntil([&] { return !Results.empty() && B.m_Requests == 2; }));
  BOOST_TEST((layerErrorOf<HttpClientErrc>(Results[0].m_Status) ==
              HttpClientErrc::Overloaded));
  BOOST_TEST(!Results[0].m_AnyByteSent);
  BOOST_TEST(B.m_Client->connectionCount() == 2);
}

// Guards against a caller's text that adds headers or a second request.
BOOST_AUTO_TEST_CASE(LineBreaksInARequestAreRefused) {
  Bench B;
  for (const std::string &Bad :
       {std::string("/a\r\nX: y"), std::string("/a b"), std::string()}) {
    net::HttpClientRequest Request;
    Request.m_Target = Bad;
    std::optional<HttpExchangeResult> Result;
    B.m_Client->send(Request, std::chrono::seconds(10),
                     [&](const HttpExchangeResult &Got) { Result = Got; });
    BOOST_REQUIRE(B.runUntil([&] { return Result.has_value(); }));
    BOOST_TEST(!Result->m_Status.ok());
    BOOST_TEST(!Result->m_AnyByteSent);
  }
  BOOST_TEST(B.m_Peer->acceptedConnections() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
