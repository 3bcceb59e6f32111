#include "anvil/timeline/Timeline.h"

#include <boost/test/unit_test.hpp>

namespace anvil::timeline {
namespace {

struct Clocked {
  int64_t m_WallUs = 1'000'000;
  Recorder make(std::string_view Name, size_t Capacity = 10) {
    return {Name, Capacity, [this] { return m_WallUs; }};
  }
};

BOOST_FIXTURE_TEST_SUITE(TimelineTest, Clocked)

// Guards against an effect being shown before its cause when the clock of the
// receiver is behind.
BOOST_AUTO_TEST_CASE(KeepsCauseBeforeEffectAcrossClocks) {
  Recorder Sender = make("entry");
  Sender.record("entry.dispatched", {}, "sent");
  const HybridTime Stamp = Sender.select({}).front().m_At;
  m_WallUs -= 500'000;
  Recorder Receiver = make("agent");
  Receiver.clock().observe(Stamp, m_WallUs);
  Receiver.record("agent.started", {}, "received");
  const std::vector<std::vector<Event>> Sources = {Receiver.select({}),
                                                   Sender.select({})};
  const std::vector<Event> Merged = merge(Sources, 10);
  BOOST_REQUIRE(Merged.size() == 2u);
  BOOST_TEST(Merged[0].m_Process == "entry");
  BOOST_TEST(Merged[1].m_Process == "agent");
}

// Guards against one process with a wrong clock moving the stamps of all
// others.
BOOST_AUTO_TEST_CASE(IgnoresAStampFarAhead) {
  Recorder Own = make("control");
  Own.clock().observe({m_WallUs + 2 * HybridClock::MaxAheadUs, 0}, m_WallUs);
  Own.record("control.x", {}, "x");
  BOOST_TEST(Own.select({}).front().m_At.m_WallUs == m_WallUs);
  BOOST_TEST(Own.clock().ignored() == 1);
}

// Guards against unbounded memory, and against losing the newest events.
BOOST_AUTO_TEST_CASE(DropsTheOldestWhenFull) {
  Recorder Own = make("control", 3);
  for (int I = 0; I < 5; ++I)
    Own.record("k", {}, std::to_string(I));
  const std::vector<Event> Kept = Own.select({});
  BOOST_REQUIRE(Kept.size() == 3u);
  BOOST_TEST(Kept.front().m_Text == "2");
  BOOST_TEST(Own.dropped() == 2);
}

// Guards against each replica's record of one committed change being shown
// again.
BOOST_AUTO_TEST_CASE(ShowsReplicatedChangesOnce) {
  std::vector<std::vector<Event>> Sources;
  for (const char *Name : {"control-1", "control-2", "control-3"}) {
    Recorder Each = make(Name);
    Each.record("state.job-queued", {"7"}, "job 7 is queued", 42);
    Each.record("control.tick", {}, "own");
    Sources.push_back(Each.select({}));
  }
  BOOST_TEST(merge(Sources, 100).size() == 4u);
}

// Guards against a filter that lets other subjects through or loses matching
// events.
BOOST_AUTO_TEST_CASE(SelectsBySubjectTimeAndLimit) {
  Recorder Own = make("agent");
  Own.record("a", {"1", "", "vm-1"}, "first");
  m_WallUs += 10;
  Own.record("a", {"2", "", "vm-1"}, "second");
  Filter ByJob;
  ByJob.m_Subject.m_Job = "2";
  Filter ByVm;
  ByVm.m_Subject.m_Vm = "vm-1";
  Filter Later;
  Later.m_FromUs = m_WallUs;
  Filter Newest;
  Newest.m_Limit = 1;
  BOOST_TEST(Own.select(ByJob).size() == 1u);
  BOOST_TEST(Own.select(ByVm).size() == 2u);
  BOOST_TEST(Own.select(Later).front().m_Text == "second");
  BOOST_TEST(Own.select(Newest).front().m_Text == "second");
}

// Guards against events changing on their way between processes, and against
// bad text being taken for events.
BOOST_AUTO_TEST_CASE(JsonRoundTrip) {
  Recorder Own = make("agent");
  Own.record("agent.x", {"1", "r\"2", "vm", "ws", "kochi"}, "text", 9);
  const std::vector<Event> Events = Own.select({});
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
