#include "anvil/log/EventLog.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace anvil::log {
namespace {

// Makes logs that store their lines in m_Lines; the test sets their clock.
struct Fixture {
  EventLog makeLog(int64_t LinesPerSecond = 10) {
    EventLogOptions Options;
    Options.m_Process = "entry-1";
    Options.m_LinesPerSecond = LinesPerSecond;
    Options.m_Now = [this] { return m_Now; };
    Options.m_WallClockMicros = [] { return int64_t{1'000'000}; };
    Options.m_Write = [this](std::string_view Line) {
      if (m_WriteFails)
        return false;
      m_Lines.emplace_back(Line);
      return true;
    };
    return EventLog(std::move(Options));
  }

  TimePoint m_Now = TimePoint() + std::chrono::seconds(1);
  bool m_WriteFails = false;
  std::vector<std::string> m_Lines;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventLogTest, Fixture)

// Guards against lines that a reader of JSON lines can't parse.
BOOST_AUTO_TEST_CASE(WritesOneJsonObjectPerLine) {
  EventLog Log = makeLog();
  Log.write("call-answered",
            {{"job", "a\"b\nc"}, {"http", 200}, {"changed", true}});
  BOOST_REQUIRE(m_Lines.size() == 1);
  BOOST_TEST(m_Lines[0] == "{\"at_us\":1000000,\"process\":\"entry-1\","
                           "\"event\":\"call-answered\",\"job\":\"a\\\"b\\nc\","
                           "\"http\":200,\"changed\":true}\n");
}

// Guards against many lines of one kind crowding out other kinds, and against
// suppressed lines whose number is not reported.
BOOST_AUTO_TEST_CASE(LimitsTheRateOfEachKindAndReportsSuppressedLines) {
  EventLog Log = makeLog(10);
  for (int I = 0; I < 100; ++I)
    Log.write("flood", {});
  Log.write("other", {});
  BOOST_TEST(m_Lines.size() == 21);
  BOOST_TEST(Log.counters().m_Suppressed == 80);

  m_Now += std::chrono::seconds(1);
  Log.write("flood", {});
  BOOST_TEST(m_Lines.back().find("\"suppressed\":80") != std::string::npos,
             m_Lines.back());
}

// Guards against lost lines that are not reported. Lines are lost while the
// reader of the output does not keep up, since the process must not block.
BOOST_AUTO_TEST_CASE(CountsAndReportsLinesThatCouldNotBeWritten) {
  EventLog Log = makeLog();
  m_WriteFails = true;
  Log.write("first", {});
  Log.write("second", {});
  m_WriteFails = false;
  Log.write("third", {});
  BOOST_TEST(Log.counters().m_Lost == 2);
  BOOST_REQUIRE(m_Lines.size() == 1);
  BOOST_TEST(m_Lines[0].find("\"lost\":2") != std::string::npos, m_Lines[0]);
}

// Guards against a line that is too long for an atomic write to a pipe and is
// written in part.
BOOST_AUTO_TEST_CASE(ReplacesALineThatIsTooLong) {
  EventLog Log = makeLog();
  Log.write("long", {{"text", std::string(5000, 'x')}});
  BOOST_REQUIRE(m_Lines.size() == 1);
  BOOST_TEST(m_Lines[0].size() < 200);
  BOOST_TEST(m_Lines[0].find("too_long") != std::string::npos, m_Lines[0]);
}

// Guards against counts of events that leave out the suppressed lines.
BOOST_AUTO_TEST_CASE(CountsEventsWhoseLinesWereSuppressed) {
  EventLog Log = makeLog(10);
  for (int I = 0; I < 100; ++I)
    Log.write("flood", {});
  int64_t Count = 0;
  Log.countsByKind([&](std::string_view Kind, int64_t Value) {
    BOOST_TEST(Kind == "flood");
    Count = Value;
  });
  BOOST_TEST(Count == 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::log
