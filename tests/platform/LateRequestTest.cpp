#include <algorithm>
#include <filesystem>

#include <boost/test/unit_test.hpp>

#include "CallerApi.h"
#include "OperatorApi.h"
#include "anvil/daemon/Process.h"
#include "support/IoThread.h"
#include "support/Loopback.h"

namespace anvil::platform {
namespace {

using anvil::testing::Caller;

constexpr std::string_view Policy =
    R"({"Version":7,"Routes":[{"Name":"r1","Host":"q.example",)"
    R"("PathPrefix":"/q/","Kind":"unsafe","TimeoutMs":3000,)"
    R"("TargetLatencyMs":250,"Priority":0,"Service":"desk","MaxAttempts":2,)"
    R"("SlackFactor":1.5,"Public":true}],"Services":[{"Name":"desk",)"
    R"("HealthPath":"/healthz","RejectsOverload":true}],"Tenants":[]})";

std::string requestOf(std::string_view Method, std::string_view Path,
                      std::string_view Body = "") {
  return std::string(Method) + " " + std::string(Path) +
         " HTTP/1.1\r\nHost: q.example\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + std::string(Body);
}

uint16_t findFreePort() {
  boost::asio::io_context Io;
  const boost::asio::ip::tcp::acceptor Probe(
      Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return Probe.local_endpoint().port();
}

/// An entry that is the whole group. It runs only while the test lets it, like
/// a process that freezes and wakes.
class FreezableEntry {
public:
  FreezableEntry() {
    std::filesystem::remove_all(m_Folder);
    node::EntryProcessOptions Options;
    Options.m_Name = "entry";
    Options.m_Listen = {"127.0.0.1", findFreePort()};
    Options.m_Address = Options.m_Listen;
    Options.m_Seeds = {Options.m_Address};
    Options.m_DataFolder = m_Folder.string();
    Options.m_FirstStart = true;
    Options.m_LeaseSpan = std::chrono::seconds(12);
    Options.m_Now = daemon::monotonicNow;
    Options.m_WallClockMicros = daemon::wallClockMicros;
    Options.m_Random = [] { return 0.5; };
    Options.m_Rpc.m_Random = Options.m_Random;
    Options.m_Metrics = &m_Metrics;
    auto Created = node::EntryProcess::create(m_Loop.m_Io, Options, m_Log);
    BOOST_REQUIRE_MESSAGE(Created.ok(), Created.status());
    m_Entry = *std::move(Created);
    m_Callers.emplace(*m_Entry, m_Log);
    m_Operators.emplace(*m_Entry, m_Log);
    m_Server = *net::HttpServer::create(
        m_Loop.m_Io, {"127.0.0.1", 0}, net::HttpServerOptions(),
        [this](const net::HttpRequest &Request,
               const net::HttpResponder &Respond) {
          if (Request.m_Path.starts_with("/q/"))
            m_Callers->handle(Request, Respond);
          else
            m_Operators->handle(Request, Respond);
        });
    BOOST_REQUIRE(m_Loop.runUntil([&] { return m_Entry->leads(); }));
  }
  ~FreezableEntry() { std::filesystem::remove_all(m_Folder); }

  /// Sends a request and waits for its answer.
  void ask(const std::string &Request) {
    Caller Waiting(port());
    Waiting.send(Request);
    runUntilAnswered();
  }
  /// Sends a request that its caller gives up before the entry can read it.
  void sendWhileFrozen(const std::string &Request) {
    Caller(port()).send(Request);
  }
  /// Lets the entry run until it has answered all requests.
  void runUntilAnswered() {
    ++m_Expected;
    BOOST_REQUIRE(m_Loop.runUntil([&] {
      const net::HttpCounters &Counters = m_Server->counters();
      return Counters.m_Requests == m_Expected &&
             Counters.m_RequestsInProgress == 0;
    }));
  }

  uint16_t port() const { return m_Server->endpoint().m_Port; }
  int64_t logged(std::string_view Event) const {
    return std::count_if(m_Lines.begin(), m_Lines.end(),
                         [&](const std::string &Line) {
                           return Line.find(Event) != std::string::npos;
                         });
  }

private:
  log::EventLogOptions logOptions() {
    log::EventLogOptions Options;
    Options.m_Process = "entry";
    Options.m_Now = daemon::monotonicNow;
    Options.m_WallClockMicros = daemon::wallClockMicros;
    Options.m_Write = [this](std::string_view Line) {
      m_Lines.emplace_back(Line);
      return true;
    };
    return Options;
  }

  const std::filesystem::path m_Folder =
      std::filesystem::temp_directory_path() /
      ("late-request-" + std::to_string(daemon::wallClockMicros()));
  support::Loopback m_Loop;
  metrics::Registry m_Metrics;
  std::vector<std::string> m_Lines;
  log::EventLog m_Log{logOptions()};
  std::unique_ptr<node::EntryProcess> m_Entry;
  std::optional<CallerApi> m_Callers;
  std::optional<OperatorApi> m_Operators;
  std::unique_ptr<net::HttpServer> m_Server;
  int64_t m_Expected = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(LateRequestTest)

// Guards against the end of an evacuation that waits in a frozen process, is
// acknowledged by another one, and takes effect during the next evacuation.
BOOST_AUTO_TEST_CASE(CarriesOutNoOrderThatItsOperatorGaveUp) {
  FreezableEntry Entry;
  Entry.ask(requestOf("POST", "/Evacuate.Start/north"));
  BOOST_TEST(Entry.logged("zone-withdrawn") == 1);
  Entry.sendWhileFrozen(requestOf("POST", "/Evacuate.Finish/north"));
  Entry.runUntilAnswered();
  BOOST_TEST(Entry.logged("zone-restored") == 0);
  Entry.ask(requestOf("POST", "/Evacuate.Finish/north"));
  BOOST_TEST(Entry.logged("zone-restored") == 1);
}

// Guards against a job that starts after its consumer has given it up, and has
// been told by another process that no such job exists.
BOOST_AUTO_TEST_CASE(AcceptsNoJobThatItsConsumerGaveUp) {
  FreezableEntry Entry;
  Entry.ask(requestOf("POST", "/Config.Replace", Policy));
  const std::string Submit =
      requestOf("POST", "/q/00112233445566aa",
                R"({"Spec":"s","Steps":[{"Count":1,"Cpu":100,"MemMb":1}]})");
  Entry.sendWhileFrozen(Submit);
  Entry.runUntilAnswered();
  BOOST_TEST(Entry.logged("job-accepted") == 0);
  Entry.ask(Submit);
  BOOST_TEST(Entry.logged("job-accepted") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::platform
