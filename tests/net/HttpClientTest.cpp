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

/// Bytes that the peer sends for the next request, and whether it then closes
/// the connection.
struct ScriptedResponse {
  std::string m_Response;
  bool m_Close = false;
};

/// A client and a peer that sends the scripted responses in order; without one
/// it does not answer.
struct ClientFixture : support::Loopback {
  explicit ClientFixture(net::HttpClientOptions Options = {}) {
    m_Peer = std::move(*fakes::FakeHttpServer::create(
        m_Io, {"127.0.0.1", 0},
        [this](const net::HttpRequest &,
               const fakes::FakeConnectionPtr &Connection) {
          answer(Connection);
        }));
    m_Client = net::HttpClient::create(m_Io, m_Peer->endpoint(), Options);
  }

  void answer(const fakes::FakeConnectionPtr &Connection) {
    ++m_Requests;
    m_Connections.push_back(Connection);
    if (m_Responses.empty())
      return;
    const ScriptedResponse Next = m_Responses.front();
    m_Responses.pop_front();
    Connection->sendRaw(Next.m_Response, Next.m_Close);
  }

  HttpExchangeResult get(Duration Deadline = std::chrono::seconds(10)) {
    std::optional<HttpExchangeResult> Result;
    net::HttpClientRequest Request;
    Request.m_Target = "/prices";
    m_Client->send(Request, Deadline, [&Result](HttpExchangeResult Received) {
      Result = std::move(Received);
    });
    BOOST_REQUIRE(runUntil([&] { return Result.has_value(); }));
    return *Result;
  }

  std::deque<ScriptedResponse> m_Responses;
  std::vector<fakes::FakeConnectionPtr> m_Connections;
  int m_Requests = 0;
  std::unique_ptr<fakes::FakeHttpServer> m_Peer;
  std::unique_ptr<net::HttpClient> m_Client;
};

const std::string CompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Type: "
    "text/plain\r\nContent-Length: 5\r\n\r\nprice";

struct BadResponse {
  const char *m_Name;
  std::string m_Bytes;
  HttpClientErrc m_Code;
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

// Guards against an incomplete or invalid response that is reported as a
// success, after the peer closed the connection or broke a limit.
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
      {"end can't be determined", "HTTP/1.1 200 OK\r\n\r\nprice",
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
      ClientFixture Fixture(Options);
      Fixture.m_Responses = {{Case.m_Bytes, true}};
      const HttpExchangeResult Result = Fixture.get();
      BOOST_TEST(!Result.m_Status.ok());
      BOOST_TEST((layerErrorOf<HttpClientErrc>(Result.m_Status) == Case.m_Code),
                 Result.m_Status.ToString());
      BOOST_TEST(Result.m_AnyByteSent);
      BOOST_TEST(Result.m_Body.empty());
    }
  }
}

// Guards against a new connection for each request, and against a response
// that is delivered to another request.
BOOST_AUTO_TEST_CASE(ReusesAnOpenConnection) {
  ClientFixture Fixture;
  Fixture.m_Responses = {
      {CompleteResponse, false},
      {"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno", false}};
  const HttpExchangeResult First = Fixture.get();
  const HttpExchangeResult Second = Fixture.get();
  BOOST_TEST(First.m_HttpStatus == 200);
  BOOST_TEST(First.m_Body == "price");
  BOOST_TEST(First.m_ContentType == "text/plain");
  BOOST_TEST(Second.m_HttpStatus == 404);
  BOOST_TEST(Second.m_Body == "no");
  BOOST_TEST(Fixture.m_Peer->acceptedConnections() == 1);
}

// Guards against a request that fails because the peer had closed the idle
// connection before it was written.
BOOST_AUTO_TEST_CASE(ConnectionClosedWhileIdleIsNotUsed) {
  ClientFixture Fixture;
  Fixture.m_Responses = {{CompleteResponse, false}, {CompleteResponse, false}};
  BOOST_TEST(Fixture.get().m_Status.ok());
  Fixture.m_Peer->closeConnections();
  BOOST_TEST(Fixture.get().m_Status.ok());
  BOOST_TEST(Fixture.m_Peer->acceptedConnections() == 2);
}

// Guards against a request that is repeated on a new connection, or reported
// as not sent, after its bytes were written to a reused connection.
BOOST_AUTO_TEST_CASE(RequestOnAReusedConnectionIsNotRepeated) {
  ClientFixture Fixture;
  Fixture.m_Responses = {{CompleteResponse, false}, {"", true}};
  BOOST_TEST(Fixture.get().m_Status.ok());
  const HttpExchangeResult Result = Fixture.get();
  BOOST_TEST(!Result.m_Status.ok());
  BOOST_TEST(Result.m_AnyByteSent);
  BOOST_TEST(Fixture.m_Requests == 2);
}

// Guards against surplus bytes from the peer that are read as the response to
// the next request.
BOOST_AUTO_TEST_CASE(ConnectionWithSurplusBytesIsNotReused) {
  ClientFixture Fixture;
  Fixture.m_Responses = {
      {CompleteResponse + CompleteResponse, false},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew", false}};
  BOOST_TEST(Fixture.get().m_Status.ok());
  BOOST_TEST(Fixture.get().m_Body == "new");
  BOOST_TEST(Fixture.m_Peer->acceptedConnections() == 2);
}

// Guards against a refused connection that is reported as a request that may
// have run.
BOOST_AUTO_TEST_CASE(RefusedConnectionSendsNothing) {
  ClientFixture Fixture;
  Fixture.m_Peer.reset();
  const HttpExchangeResult Result = Fixture.get();
  BOOST_TEST((layerErrorOf<HttpClientErrc>(Result.m_Status) ==
              HttpClientErrc::Connect));
  BOOST_TEST(!Result.m_AnyByteSent);
  std::optional<bool> Reachable;
  Fixture.m_Client->probe([&Reachable](bool Value) { Reachable = Value; });
  BOOST_REQUIRE(Fixture.runUntil([&] { return Reachable.has_value(); }));
  BOOST_TEST(!*Reachable);
}

// Guards against an exchange that never ends because the peer does not answer.
BOOST_AUTO_TEST_CASE(DeadlineEndsASilentExchange) {
  ClientFixture Fixture;
  const HttpExchangeResult Result = Fixture.get(std::chrono::milliseconds(50));
  BOOST_TEST((layerErrorOf<HttpClientErrc>(Result.m_Status) ==
              HttpClientErrc::Deadline));
  BOOST_TEST(Result.m_AnyByteSent);
  BOOST_TEST(Fixture.m_Client->connectionCount() == 0);
}

// Guards against more connections to the peer than the configured limit.
BOOST_AUTO_TEST_CASE(ConnectionsAreBounded) {
  net::HttpClientOptions Options;
  Options.m_MaxConnections = 2;
  ClientFixture Fixture(Options);
  std::vector<HttpExchangeResult> Results;
  for (int Index = 0; Index < 3; ++Index)
    Fixture.m_Client->send({}, std::chrono::seconds(10),
                           [&](const HttpExchangeResult &Received) {
                             Results.push_back(Received);
                           });
  BOOST_REQUIRE(Fixture.runUntil(
      [&] { return !Results.empty() && Fixture.m_Requests == 2; }));
  BOOST_TEST((layerErrorOf<HttpClientErrc>(Results[0].m_Status) ==
              HttpClientErrc::Overloaded));
  BOOST_TEST(!Results[0].m_AnyByteSent);
  BOOST_TEST(Fixture.m_Client->connectionCount() == 2);
}

// Guards against line breaks or blanks in a caller's text that add headers or
// a second request.
BOOST_AUTO_TEST_CASE(LineBreaksInARequestAreRefused) {
  ClientFixture Fixture;
  for (const std::string &InvalidTarget :
       {std::string("/a\r\nX: y"), std::string("/a b"), std::string()}) {
    net::HttpClientRequest Request;
    Request.m_Target = InvalidTarget;
    std::optional<HttpExchangeResult> Result;
    Fixture.m_Client->send(
        Request, std::chrono::seconds(10),
        [&](const HttpExchangeResult &Received) { Result = Received; });
    BOOST_REQUIRE(Fixture.runUntil([&] { return Result.has_value(); }));
    BOOST_TEST(!Result->m_Status.ok());
    BOOST_TEST(!Result->m_AnyByteSent);
  }
  BOOST_TEST(Fixture.m_Peer->acceptedConnections() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
