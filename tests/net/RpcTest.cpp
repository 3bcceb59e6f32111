#include "anvil/net/Rpc.h"

#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "anvil/net/WireCodec.h"

namespace anvil::net {
namespace {

using boost::asio::ip::tcp;

RpcOptions fastOptions() {
  RpcOptions Options;
  Options.m_PingAfter = std::chrono::milliseconds(40);
  Options.m_SilentLimit = std::chrono::milliseconds(160);
  Options.m_Random = [] { return 0.5; };
  return Options;
}

// Runs the io_context until Done() returns true, for at most ten seconds.
template <typename Condition>
bool runUntil(boost::asio::io_context &Io, Condition Done) {
  const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!Done() && std::chrono::steady_clock::now() < End) {
    Io.restart();
    Io.run_one_for(std::chrono::milliseconds(20));
  }
  return Done();
}

struct RpcFixture {
  boost::asio::io_context m_Io;
  std::unique_ptr<RpcServer> m_Server =
      *RpcServer::create(m_Io, {"127.0.0.1", 0}, fastOptions());
  std::unique_ptr<RpcClient> m_Client =
      RpcClient::create(m_Io, m_Server->endpoint(), fastOptions());
  std::vector<absl::StatusOr<std::string>> m_Results;

  void call(std::string Body, Duration Timeout = std::chrono::seconds(5)) {
    m_Client->call(wire::Method::QUERY, std::move(Body), Timeout, "trace",
                   [this](absl::StatusOr<std::string> Result) {
                     m_Results.push_back(std::move(Result));
                   });
  }
};

BOOST_FIXTURE_TEST_SUITE(RpcTest, RpcFixture)

// Guards against a response that is delivered to another call because
// responses arrive out of order.
BOOST_AUTO_TEST_CASE(MatchesResponsesThatComeOutOfOrder) {
  std::vector<std::pair<std::string, RpcResponder>> Held;
  m_Server->handle(wire::Method::QUERY,
                   [&](const RpcCall &Call, RpcResponder Respond) {
                     Held.emplace_back(Call.m_Body, std::move(Respond));
                   });
  std::vector<std::string> Answers(3);
  for (int I = 0; I < 3; ++I)
    m_Client->call(wire::Method::QUERY, std::to_string(I),
                   std::chrono::seconds(5), "",
                   [&Answers, I](const absl::StatusOr<std::string> &Result) {
                     Answers[I] = Result.value_or("failed");
                   });
  BOOST_REQUIRE(runUntil(m_Io, [&] { return Held.size() == 3; }));
  for (size_t I = Held.size(); I > 0; --I)
    Held[I - 1].second("answer " + Held[I - 1].first);
  BOOST_REQUIRE(runUntil(m_Io, [&] {
    return !Answers[0].empty() && !Answers[1].empty() && !Answers[2].empty();
  }));
  for (int I = 0; I < 3; ++I)
    BOOST_TEST(Answers[I] == "answer " + std::to_string(I));
}

// Guards against a response that arrives after the deadline and is delivered
// although its call has ended.
BOOST_AUTO_TEST_CASE(DropsAResponseAfterTheDeadline) {
  RpcResponder LateResponder;
  m_Server->handle(wire::Method::QUERY,
                   [&](const RpcCall &, RpcResponder Respond) {
                     LateResponder = std::move(Respond);
                   });
  const int64_t DroppedBefore = rpcCounters().m_LateResponsesDropped;
  call("x", std::chrono::milliseconds(60));
  BOOST_REQUIRE(runUntil(m_Io, [&] { return m_Results.size() == 1; }));
  BOOST_TEST(
      (layerErrorOf<RpcErrc>(m_Results[0].status()) == RpcErrc::NoAnswer));
  BOOST_REQUIRE(static_cast<bool>(LateResponder));
  LateResponder(std::string("too late"));
  BOOST_REQUIRE(runUntil(m_Io, [&] {
    return rpcCounters().m_LateResponsesDropped == DroppedBefore + 1;
  }));
  BOOST_TEST(m_Results.size() == 1u);
}

// Guards against a request that was never sent, because the connection was
// refused, being reported as one that may have run.
BOOST_AUTO_TEST_CASE(ReportsNotSentWhenConnectionIsRefused) {
  const Endpoint UnusedEndpoint = m_Server->endpoint();
  m_Server.reset();
  m_Client = RpcClient::create(m_Io, UnusedEndpoint, fastOptions());
  call("x");
  BOOST_REQUIRE(runUntil(m_Io, [&] { return m_Results.size() == 1; }));
  BOOST_TEST(
      (layerErrorOf<RpcErrc>(m_Results[0].status()) == RpcErrc::NotSent));
}

// Guards against the status code of a handler's error being lost in the
// encoding of the response.
BOOST_AUTO_TEST_CASE(CarriesTheStatusOfTheHandler) {
  m_Server->handle(wire::Method::QUERY,
                   [](const RpcCall &, const RpcResponder &Respond) {
                     Respond(absl::NotFoundError("no such job"));
                   });
  call("x");
  BOOST_REQUIRE(runUntil(m_Io, [&] { return m_Results.size() == 1; }));
  BOOST_TEST((m_Results[0].status().code() == absl::StatusCode::kNotFound));
  BOOST_TEST((layerErrorOf<RpcErrc>(m_Results[0].status()) == RpcErrc::Remote));
}

// Guards against calls that stay open until their own deadline because the peer
// accepted the connection but never answers, and against the connection not
// being replaced afterwards.
BOOST_AUTO_TEST_CASE(ReplacesAConnectionThatWentSilent) {
  const Endpoint ServerEndpoint = m_Server->endpoint();
  m_Server.reset();
  tcp::acceptor Acceptor(m_Io, tcp::endpoint(boost::asio::ip::make_address(
                                                 ServerEndpoint.m_Address),
                                             ServerEndpoint.m_Port));
  tcp::socket Silent(m_Io);
  Acceptor.async_accept(Silent, [](boost::system::error_code) {});
  m_Client = RpcClient::create(m_Io, ServerEndpoint, fastOptions());
  call("lost", std::chrono::seconds(9));
  BOOST_REQUIRE(runUntil(m_Io, [&] { return m_Results.size() == 1; }));
  BOOST_TEST(
      (layerErrorOf<RpcErrc>(m_Results[0].status()) == RpcErrc::NoAnswer));

  Acceptor.close();
  m_Server = *RpcServer::create(m_Io, ServerEndpoint, fastOptions());
  m_Server->handle(wire::Method::QUERY,
                   [](const RpcCall &, const RpcResponder &Respond) {
                     Respond(std::string("ok"));
                   });
  call("again");
  BOOST_REQUIRE(runUntil(m_Io, [&] { return m_Results.size() == 2; }));
  BOOST_TEST(m_Results[1].value_or("failed") == "ok");
}

// Guards against an idle connection to a healthy peer being closed as silent.
BOOST_AUTO_TEST_CASE(PingsKeepAnIdleConnectionOpen) {
  m_Server->handle(wire::Method::QUERY,
                   [](const RpcCall &, const RpcResponder &Respond) {
                     Respond(std::string("ok"));
                   });
  call("x");
  BOOST_REQUIRE(runUntil(m_Io, [&] { return m_Results.size() == 1; }));
  const int64_t ClosedBefore = rpcCounters().m_SilentConnectionsClosed;
  m_Io.restart();
  m_Io.run_for(std::chrono::milliseconds(600));
  BOOST_TEST(m_Client->connected());
  BOOST_TEST(rpcCounters().m_SilentConnectionsClosed == ClosedBefore);
}

// Guards against a server that crashes or stops serving after it received
// bytes of another protocol.
BOOST_AUTO_TEST_CASE(ClosesConnectionsThatSendOtherBytes) {
  const std::vector<std::string> Cases = {
      "GET / HTTP/1.1\r\n\r\n",   // another protocol: the length is over the
                                  // limit
      std::string("\0\0\0\0", 4), // empty frame
      std::string("\0\0\0\x05garbage", 11), // not a struct
      std::string("\0\0\0\x03\x15\xfe\x7f",
                  7), // other protocol version, truncated
  };
  m_Server->handle(wire::Method::QUERY,
                   [](const RpcCall &, const RpcResponder &Respond) {
                     Respond(std::string("ok"));
                   });
  for (const std::string &Bytes : Cases) {
    tcp::socket Socket(m_Io);
    const Endpoint ServerEndpoint = m_Server->endpoint();
    Socket.connect(
        tcp::endpoint(boost::asio::ip::make_address(ServerEndpoint.m_Address),
                      ServerEndpoint.m_Port));
    boost::asio::write(Socket, boost::asio::buffer(Bytes));
    bool Closed = false;
    std::array<char, 64> Buffer{};
    std::function<void(boost::system::error_code, size_t)> OnRead =
        [&](boost::system::error_code Error, size_t) {
          if (Error)
            Closed = true;
          else
            Socket.async_read_some(boost::asio::buffer(Buffer), OnRead);
        };
    Socket.async_read_some(boost::asio::buffer(Buffer), OnRead);
    BOOST_TEST(runUntil(m_Io, [&] { return Closed; }),
               "connection stayed open after bad bytes");
  }
  call("valid call");
  BOOST_REQUIRE(runUntil(m_Io, [&] { return m_Results.size() == 1; }));
  BOOST_TEST(m_Results[0].ok());
}

BOOST_AUTO_TEST_SUITE_END()

struct EndpointCase {
  const char *m_Text;
  bool m_Ok;
};

// Guards against host names or invalid ports in settings that are accepted and
// fail only when they are used.
BOOST_AUTO_TEST_CASE(ParsesEndpointsByIpAddressOnly) {
  const std::vector<EndpointCase> Cases = {
      {"127.0.0.1:80", true},  {"[::1]:80", true},
      {"localhost:80", false}, {"127.0.0.1", false},
      {"127.0.0.1:", false},   {"127.0.0.1:65536", false},
      {"127.0.0.1:-1", false}, {"127.0.0.1:80x", false},
      {":80", false}};
  for (const EndpointCase &Case : Cases)
    BOOST_TEST(parseEndpoint(Case.m_Text).ok() == Case.m_Ok,
               Case.m_Text << " expected " << Case.m_Ok);
}

} // namespace
} // namespace anvil::net
