#include "anvil/log/EventLog.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace anvil::log {
namespace {

/// A log that keeps its lines, with a clock that the test sets.
struct Fixture {
  EventLog make(int64_t LinesPerSecond = 10) {
    EventLogOptions Options;
    Options.m_Process = "entry-1";
    Options.m_LinesPerSecond = LinesPerSecond;
    Options.m_Now = [this] { return m_Now; };
    Options.m_WallClockMicros = [] { return int64_t{1'000'000}; };
    Options.m_Write = [this](std::string_view Line) {
      if (m_Stuck)
        return false;
      m_Lines.emplace_back(Line);
      return true;
    };
    return EventLog(std::move(Options));
  }

  TimePoint m_Now = TimePoint() + std::chrono::seconds(1);
  bool m_Stuck = false;
  std::vector<std::string> m_Lines;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventLogTest, Fixture)

// Guards against lines that a reader of JSON lines can't parse.
BOOST_AUTO_TEST_CASE(WritesOneJsonObjectALine) {
  EventLog Log = make();
  Log.write("call-answered",
            {{"job", "a\"b\nc"}, {"http", 200}, {"changed", true}});
  BOOST_REQUIRE(m_Lines.size() == 1);
  BOOST_TEST(m_Lines[0] == "{\"at_us\":1000000,\"process\":\"entry-1\","
                           "\"event\":\"call-answered\",\"job\":\"a\\\"b\\nc\","
                           "\"http\":200,\"changed\":true}\n");
}

// Guards against a flood of one kind that hides its size or other kinds.
BOOST_AUTO_TEST_CASE(BoundsTheRateOfEachKindAndTellsWhatWasLeftOut) {
  EventLog Log = make(10);
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

// Guards against a reader that does not keep up blocking the process, and
// against lost lines that nobody learns of.
BOOST_AUTO_TEST_CASE(CountsLinesThatTheReceiverDidNotTake) {
  EventLog Log = make();
  m_Stuck = true;
  Log.write("first", {});
  Log.write("second", {});
  m_Stuck = false;
  Log.write("third", {});
  BOOST_TEST(Log.counters().m_Lost == 2);
  BOOST_REQUIRE(m_Lines.size() == 1);
  BOOST_TEST(m_Lines[0].find("\"lost\":2") != std::string::npos, m_Lines[0]);
}

// Guards against a line that a pipe splits because it is too long.
BOOST_AUTO_TEST_CASE(ReplacesALineThatIsTooLong) {
  EventLog Log = make();
  Log.write("long", {{"text", std::string(5000, 'x')}});
  BOOST_REQUIRE(m_Lines.size() == 1);
  BOOST_TEST(m_Lines[0].size() < 200);
  BOOST_TEST(m_Lines[0].find("too_long") != std::string::npos, m_Lines[0]);
}

// Guards against counters that leave out what the rate suppressed.
BOOST_AUTO_TEST_CASE(CountsEventsWhoseLinesWereLeftOut) {
  EventLog Log = make(10);
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
