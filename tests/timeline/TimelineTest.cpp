#include "anvil/timeline/Timeline.h"

#include <boost/test/unit_test.hpp>

namespace anvil::timeline {
namespace {

// Makes recorders that share a wall clock set by the test.
struct ClockFixture {
  int64_t m_WallUs = 1'000'000;
  Recorder makeRecorder(std::string_view Name, size_t Capacity = 10) {
    return {Name, Capacity, [this] { return m_WallUs; }};
  }
};

BOOST_FIXTURE_TEST_SUITE(TimelineTest, ClockFixture)

// Guards against an effect being shown before its cause when the wall clock of
// the receiver is behind that of the sender.
BOOST_AUTO_TEST_CASE(KeepsCauseBeforeEffectAcrossClocks) {
  Recorder Sender = makeRecorder("entry");
  Sender.record("entry.dispatched", {}, "sent");
  const HybridTime Stamp = Sender.select({}).front().m_At;
  m_WallUs -= 500'000;
  Recorder Receiver = makeRecorder("agent");
  Receiver.clock().observe(Stamp, m_WallUs);
  Receiver.record("agent.started", {}, "received");
  const std::vector<std::vector<Event>> Sources = {Receiver.select({}),
                                                   Sender.select({})};
  const std::vector<Event> Merged = merge(Sources, 10);
  BOOST_REQUIRE(Merged.size() == 2u);
  BOOST_TEST(Merged[0].m_Process == "entry");
  BOOST_TEST(Merged[1].m_Process == "agent");
}

// Guards against one process with a wrong clock advancing the stamps of all
// others.
BOOST_AUTO_TEST_CASE(IgnoresAStampFarAhead) {
  Recorder Local = makeRecorder("control");
  Local.clock().observe({m_WallUs + 2 * HybridClock::MaxAheadUs, 0}, m_WallUs);
  Local.record("control.x", {}, "x");
  BOOST_TEST(Local.select({}).front().m_At.m_WallUs == m_WallUs);
  BOOST_TEST(Local.clock().ignored() == 1);
}

// Guards against unbounded memory, and against dropping the newest events
// instead of the oldest.
BOOST_AUTO_TEST_CASE(DropsTheOldestWhenFull) {
  Recorder Local = makeRecorder("control", 3);
  for (int I = 0; I < 5; ++I)
    Local.record("k", {}, std::to_string(I));
  const std::vector<Event> Kept = Local.select({});
  BOOST_REQUIRE(Kept.size() == 3u);
  BOOST_TEST(Kept.front().m_Text == "2");
  BOOST_TEST(Local.dropped() == 2);
}

// Guards against a committed change being shown once for each replica that
// recorded it.
BOOST_AUTO_TEST_CASE(ShowsReplicatedChangesOnce) {
  std::vector<std::vector<Event>> Sources;
  for (const char *Name : {"control-1", "control-2", "control-3"}) {
    Recorder Each = makeRecorder(Name);
    Each.record("state.job-queued", {"7"}, "job 7 is queued", 42);
    Each.record("control.tick", {}, "own");
    Sources.push_back(Each.select({}));
  }
  BOOST_TEST(merge(Sources, 100).size() == 4u);
}

// Guards against a filter that selects events of other subjects or omits
// matching events.
BOOST_AUTO_TEST_CASE(SelectsBySubjectTimeAndLimit) {
  Recorder Local = makeRecorder("agent");
  Local.record("a", {"1", "", "vm-1"}, "first");
  m_WallUs += 10;
  Local.record("a", {"2", "", "vm-1"}, "second");
  Filter ByJob;
  ByJob.m_Subject.m_Job = "2";
  Filter ByVm;
  ByVm.m_Subject.m_Vm = "vm-1";
  Filter Later;
  Later.m_FromUs = m_WallUs;
  Filter Newest;
  Newest.m_Limit = 1;
  BOOST_TEST(Local.select(ByJob).size() == 1u);
  BOOST_TEST(Local.select(ByVm).size() == 2u);
  BOOST_TEST(Local.select(Later).front().m_Text == "second");
  BOOST_TEST(Local.select(Newest).front().m_Text == "second");
}

// Guards against events that change when they are sent between processes, and
// against malformed text being accepted as events.
BOOST_AUTO_TEST_CASE(KeepsEventsInJsonRoundTripAndRejectsMalformedText) {
  Recorder Local = makeRecorder("agent");
  Local.record("agent.x", {"1", "r\"2", "vm", "ws", "kochi"}, "text", 9);
  const std::vector<Event> Events = Local.select({});
  const absl::StatusOr<std::vector<Event>> Back = fromJson(toJson(Events));
  BOOST_REQUIRE(Back.ok());
  BOOST_TEST(toJson(*Back) == toJson(Events));
  BOOST_TEST(toText(Events) ==
             "00:00:01.000000 agent agent.x job=1 request=r\"2 vm=vm "
             "workspace=ws zone=kochi: text\n");
  for (const char *Bad : {"", "{}", "[1]", "[{]"})
    BOOST_TEST(!fromJson(Bad).ok(), Bad);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace anvil::timeline
