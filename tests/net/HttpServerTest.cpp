#include "anvil/net/HttpServer.h"

#include <deque>

#include <boost/test/unit_test.hpp>

#include "support/IoThread.h"

namespace {

using namespace anvil;
using namespace anvil::net;
using anvil::testing::Caller;
using std::chrono::milliseconds;

/// A server on a free loopback port. "/hold" is answered by release().
class RunningServer : public anvil::testing::IoThread {
public:
  explicit RunningServer(HttpServerOptions Options = {}) {
    Options.m_RefusalFields = {{"Anvil-Outcome", "not-run"}};
    const auto Handle = [this](const HttpRequest &Request,
                               HttpResponder Respond) {
      if (Request.m_Path == "/hold")
        m_HeldRequests.push_back(Request);
      if (Request.m_Path == "/hold")
        return m_HeldResponders.push_back(std::move(Respond));
      HttpResponse Response;
      Response.m_Body = Request.m_Method + " " + Request.target() + " " +
                        std::to_string(Request.m_Body.size());
      Respond(Response);
      Respond(Response);
    };
    m_Server = *HttpServer::create(m_Io, {"127.0.0.1", 0}, Options, Handle);
    m_Port = m_Server->endpoint().m_Port;
    start();
  }
  ~RunningServer() {
    run([this] { m_Server.reset(); });
    stop();
  }

  HttpCounters counters() {
    HttpCounters Copy;
    run([this, &Copy] { Copy = m_Server->counters(); });
    return Copy;
  }
  void awaitHeld(size_t Count) {
    await([this, Count] { return m_HeldResponders.size() == Count; });
  }
  void release() {
    run([this] {
      for (const HttpResponder &Respond : std::exchange(m_HeldResponders, {}))
        Respond(HttpResponse{});
    });
  }

  std::unique_ptr<HttpServer> m_Server;
  std::deque<HttpRequest> m_HeldRequests;
  std::deque<HttpResponder> m_HeldResponders;
  uint16_t m_Port = 0;
};

bool contains(const std::string &Text, std::string_view Substring) {
  return Text.find(Substring) != std::string::npos;
}

/// Bytes of a bad request and how the server must answer.
struct BadInput {
  std::string m_Name;
  std::string m_Bytes;
  bool m_Finish; ///< The caller closes its side after the bytes.
  int m_Status;
  HttpRefusal m_Reason;
};

std::string oversizedChunks() {
  std::string Text = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int Index = 0; Index < 20; ++Index)
    Text += "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  return Text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

// Guards against a server that reports success although another listener has
// its address.
BOOST_AUTO_TEST_CASE(RefusesAnAddressInUse) {
  boost::asio::io_context Io;
  const auto Ignore = [](const HttpRequest &, const HttpResponder &) {};
  const auto First = HttpServer::create(Io, {"127.0.0.1", 0}, {}, Ignore);
  BOOST_REQUIRE_MESSAGE(First.ok(), First.status());

  const auto Second = HttpServer::create(Io, (*First)->endpoint(), {}, Ignore);

  BOOST_TEST((layerErrorOf<HttpErrc>(Second.status()) == HttpErrc::Listen));
}

// Guards against invalid input that hangs or crashes the process, or is
// answered without a reason.
BOOST_AUTO_TEST_CASE(AnswersEachKindOfBadInputAndKeepsServing) {
  const std::string Get = "GET / HTTP/1.1\r\nHost: a\r\n";
  const std::vector<BadInput> Cases = {
      {"not HTTP", "\x16\x03\x01\x02\r\n\r\n", true, 400,
       HttpRefusal::Malformed},
      {"unknown version", "GET / HTTP/9.9\r\n\r\n", true, 400,
       HttpRefusal::Malformed},
      {"header without colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", true, 400,
       HttpRefusal::Malformed},
      {"length not a number", Get + "Content-Length: ten\r\n\r\n", true, 400,
       HttpRefusal::Malformed},
      {"two kinds of length",
       Get + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       true, 400, HttpRefusal::Malformed},
      {"bad chunk", Get + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", true,
       400, HttpRefusal::Malformed},
      {"large header",
       Get + "X-Large: " + std::string(17 << 10, 'x') + "\r\n\r\n", false, 431,
       HttpRefusal::HeaderTooLarge},
      {"large declared body", Get + "Content-Length: 1048577\r\n\r\n", false,
       413, HttpRefusal::BodyTooLarge},
      {"large chunked body", oversizedChunks(), false, 413,
       HttpRefusal::BodyTooLarge},
      {"cut in the header", "GET / HT", true, 400, HttpRefusal::Truncated},
      {"cut in the body", Get + "Content-Length: 10\r\n\r\nabc", true, 400,
       HttpRefusal::Truncated},
      {"slow header", "GET / HTTP/1.1\r\nHo", false, 408, HttpRefusal::TooSlow},
      {"slow body", Get + "Content-Length: 10\r\n\r\nabc", false, 408,
       HttpRefusal::TooSlow},
      {"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", false, 405,
       HttpRefusal::UnsupportedMethod},
      {"unknown method", "BREW /pot HTTP/1.1\r\n\r\n", false, 405,
       HttpRefusal::UnsupportedMethod},
  };
  HttpServerOptions Options;
  Options.m_ReceiveLimit = milliseconds(300);
  RunningServer Server(Options);
  for (const BadInput &Case : Cases) {
    BOOST_TEST_CONTEXT(Case.m_Name) {
      const auto Reason = static_cast<size_t>(Case.m_Reason);
      const int64_t Before = Server.counters().m_Refusals[Reason];
      Caller Bad(Server.m_Port);
      Bad.send(Case.m_Bytes);
      if (Case.m_Finish)
        Bad.finish();
      const std::string Answer = Bad.readAll();
      BOOST_TEST(
          Answer.starts_with("HTTP/1.1 " + std::to_string(Case.m_Status)),
          Answer.substr(0, 200));
      BOOST_TEST(contains(
          Answer, "{\"error\":{\"code\":\"" +
                      std::string(httpRefusalName(Case.m_Reason)) + "\""));
      BOOST_TEST(contains(Answer, "Anvil-Outcome: not-run"));
      BOOST_TEST(Server.counters().m_Refusals[Reason] == Before + 1);
      Caller Good(Server.m_Port);
      BOOST_TEST(contains(
          Good.send(Get + "Connection: close\r\n\r\n").readAll(), "GET / 0"));
    }
  }
  BOOST_TEST(Server.counters().m_BufferedBytes == 0U);
  BOOST_TEST(Server.counters().m_RequestsInProgress == 0U);
}

// Guards against lost, merged or reordered requests on one connection, and
// against a body after HEAD.
BOOST_AUTO_TEST_CASE(ServesSeveralRequestsOnOneConnection) {
  RunningServer Server;
  Caller Client(Server.m_Port);
  Client.send("GET /a?x=1 HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: "
              "3\r\n\r\nabc");
  BOOST_TEST(contains(Client.readUntil("GET /a?x=1 0"), "200 OK"));
  BOOST_TEST(contains(Client.readUntil("POST /b 3"), "200 OK"));
  Client.send("HEAD /h HTTP/1.1\r\n\r\n");
  BOOST_TEST(contains(Client.readUntil("\r\n\r\n"), "Content-Length: 9"));
  Client.send(
      "POST /e HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  BOOST_TEST(contains(Client.readUntil("\r\n\r\n"), "100 Continue"));
  Client.send("hi");
  BOOST_TEST(contains(Client.readUntil("POST /e 2"), "200 OK"));
}

// Guards against memory that grows without limit because connections, requests
// or bodies are not bounded.
BOOST_AUTO_TEST_CASE(RefusesInputOverItsLimits) {
  HttpServerOptions Options;
  Options.m_MaxConnections = 3;
  Options.m_MaxRequests = 1;
  Options.m_MaxBufferedBytes = 100;
  RunningServer Server(Options);
  Caller Held(Server.m_Port);
  Held.send("GET /hold HTTP/1.1\r\n\r\n");
  Server.awaitHeld(1);

  Caller Second(Server.m_Port);
  BOOST_TEST(contains(Second.send("GET / HTTP/1.1\r\n\r\n").readAll(),
                      "too-many-requests"));
  Caller Large(Server.m_Port);
  BOOST_TEST(contains(
      Large.send("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n").readAll(),
      "too-many-bytes"));
  Caller Third(Server.m_Port);
  Caller Fourth(Server.m_Port);
  Server.await(
      [&Server] { return Server.m_Server->counters().m_OpenConnections == 3; });
  Caller Fifth(Server.m_Port);
  const std::string Refused = Fifth.readAll();
  BOOST_TEST(contains(Refused, "too-many-connections"), Refused);
  BOOST_TEST(contains(Refused, "Retry-After: 1"), Refused);

  Server.release();
  BOOST_TEST(contains(Held.readUntil("\r\n\r\n"), "200 OK"));
}

// Guards against carrying out requests whose callers gave them up while the
// process could not read them. A next request on the connection does not look
// like a close.
BOOST_AUTO_TEST_CASE(TellsWhetherACallerStillWaits) {
  RunningServer Server;
  const auto Waits = [&Server] {
    bool Result = false;
    Server.run([&] { Result = Server.m_HeldRequests.back().callerWaits(); });
    return Result;
  };
  auto Gone = std::make_unique<Caller>(Server.m_Port);
  Gone->send("GET /hold HTTP/1.1\r\n\r\n");
  Server.awaitHeld(1);
  BOOST_TEST(Waits());
  Gone.reset();
  Server.await([&] { return !Server.m_HeldRequests.back().m_CallerWaits(); });
  Caller Pipelining(Server.m_Port);
  Pipelining.send("GET /hold HTTP/1.1\r\n\r\nGET /next HTTP/1.1\r\n\r\n");
  Server.awaitHeld(2);
  BOOST_TEST(Waits());
  Server.release();
  BOOST_TEST(contains(Pipelining.readUntil("GET /next 0"), "200 OK"));
  BOOST_TEST(!Waits());
}

// Guards against a shutdown that aborts a request in progress, or that never
// ends because of idle connections.
BOOST_AUTO_TEST_CASE(ShutdownFinishesRequestsAndClosesIdleConnections) {
  RunningServer Server;
  Caller Idle(Server.m_Port);
  Idle.send("GET / HTTP/1.1\r\n\r\n").readUntil("GET / 0");
  Caller Held(Server.m_Port);
  Held.send("GET /hold HTTP/1.1\r\n\r\n");
  Server.awaitHeld(1);
  Caller Sending(Server.m_Port);
  Sending.send("POST /late HTTP/1.1\r\nContent-Length: 3\r\n\r\na");
  Server.await(
      [&Server] { return Server.m_Server->counters().m_BufferedBytes == 3; });
  std::promise<void> Done;

  Server.run([&Server, &Done] {
    Server.m_Server->shutdown([&Done] { Done.set_value(); });
  });

  BOOST_TEST(Idle.readAll().empty());
  BOOST_CHECK_THROW(Caller Refused(Server.m_Port), boost::system::system_error);
  BOOST_TEST(contains(Sending.send("bc").readAll(), "POST /late 3"));
  Server.release();
  const std::string Answer = Held.readAll();
  BOOST_TEST(contains(Answer, "200 OK"), Answer);
  BOOST_TEST(contains(Answer, "Connection: close"), Answer);
  Done.get_future().wait();
}

// Guards against a forced shutdown that reports a wrong number of aborted
// requests.
BOOST_AUTO_TEST_CASE(CutOffCountsRequestsInProgress) {
  RunningServer Server;
  Caller Idle(Server.m_Port);
  Idle.send("GET / HTTP/1.1\r\n\r\n").readUntil("GET / 0");
  Caller Held(Server.m_Port);
  Held.send("GET /hold HTTP/1.1\r\n\r\n");
  Server.awaitHeld(1);

  size_t Count = 0;
  Server.run([&Server, &Count] { Count = Server.m_Server->cutOff(); });

  BOOST_TEST(Count == 1U);
  BOOST_TEST(Held.readAll().empty());
  Server.release();
  BOOST_TEST(Server.counters().m_RequestsInProgress == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
