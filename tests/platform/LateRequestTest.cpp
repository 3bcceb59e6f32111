#include <boost/test/unit_test.hpp>

#include "CallerApi.h"
#include "OperatorApi.h"
#include "support/IoThread.h"
#include "support/TestEntry.h"

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

/// An entry that is the whole group. It runs only while the test lets it, like
/// a process that freezes and wakes.
class FreezableEntry {
public:
  FreezableEntry() {
    support::TestEntryOptions Options;
    Options.m_Listen = {"127.0.0.1", support::findFreePort()};
    Options.m_Seeds = {Options.m_Listen};
    Options.m_HasDisk = true;
    m_Entry.emplace(m_Loop, Options);
    m_Callers.emplace(m_Entry->process(), m_Entry->log());
    m_Operators.emplace(m_Entry->process(), m_Entry->log());
    m_Server = *net::HttpServer::create(
        m_Loop.m_Io, {"127.0.0.1", 0}, net::HttpServerOptions(),
        [this](const net::HttpRequest &Request,
               const net::HttpResponder &Respond) {
          if (Request.m_Path.starts_with("/q/"))
            m_Callers->handle(Request, Respond);
          else
            m_Operators->handle(Request, Respond);
        });
    BOOST_REQUIRE(m_Loop.runUntil([&] { return m_Entry->process().leads(); }));
  }

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
    return m_Entry->logged(Event);
  }

private:
  support::Loopback m_Loop;
  std::optional<support::TestEntry> m_Entry;
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
