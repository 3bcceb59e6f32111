#include "anvil/node/EntryProcess.h"

#include <boost/test/unit_test.hpp>

#include "anvil/daemon/Process.h"
#include "support/Loopback.h"

namespace anvil::node {
namespace {

using std::chrono::seconds;

/// An entry without a replica whose only seed is a closed port.
struct LonelyEntry {
  LonelyEntry() {
    EntryProcessOptions Options;
    Options.m_Name = "entry";
    Options.m_Listen = {"127.0.0.1", 0};
    Options.m_Address = Options.m_Listen;
    Options.m_Seeds = {{"127.0.0.1", 9}};
    Options.m_LeaseSpan = seconds(12);
    Options.m_Now = daemon::monotonicNow;
    Options.m_WallClockMicros = daemon::wallClockMicros;
    Options.m_Random = [] { return 0.5; };
    Options.m_Rpc.m_Random = Options.m_Random;
    Options.m_Metrics = &m_Metrics;
    auto Created = EntryProcess::create(m_Loop.m_Io, std::move(Options), m_Log);
    BOOST_REQUIRE_MESSAGE(Created.ok(), Created.status());
    m_Entry = *std::move(Created);
  }

  /// Makes a call with a timeout of three seconds. Returns its result and sets
  /// \p Took to the time until it came.
  CallResult call(const wire::WorkloadCall &Call, Duration &Took) {
    const TimePoint Start = daemon::monotonicNow();
    std::optional<CallResult> Result;
    m_Entry->call(Call, seconds(3), [&](CallResult Answer) {
      Took = daemon::monotonicNow() - Start;
      Result = std::move(Answer);
    });
    BOOST_REQUIRE(m_Loop.runUntil([&] { return Result.has_value(); }));
    return *Result;
  }

  static log::EventLogOptions logOptions() {
    log::EventLogOptions Options;
    Options.m_Process = "entry";
    Options.m_Now = daemon::monotonicNow;
    Options.m_WallClockMicros = daemon::wallClockMicros;
    Options.m_Write = [](std::string_view) { return true; };
    return Options;
  }

  support::Loopback m_Loop;
  metrics::Registry m_Metrics;
  log::EventLog m_Log{logOptions()};
  std::unique_ptr<EntryProcess> m_Entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryProcessTest)

// Guards against a submission that is held until its caller's timeout, although
// no leader has been reachable for longer than an election takes.
BOOST_AUTO_TEST_CASE(RefusesASubmissionAtOnceWhileNoLeaderCanBeReached) {
  LonelyEntry Entry;
  wire::WorkloadCall Submit;
  Submit.jobId = "00112233445566aa";
  Submit.__set_submit({});
  Duration Took{0};
  const CallResult Result = Entry.call(Submit, Took);
  BOOST_TEST((Result.m_Status == wire::WorkloadStatus::NOT_READY));
  BOOST_TEST(Took < seconds(1), "took " << Took.count() / 1000 << " ms");
}

// Guards against a status request that fails during an election, although the
// next leader could answer it in time.
BOOST_AUTO_TEST_CASE(LetsAStatusRequestWaitForALeader) {
  LonelyEntry Entry;
  wire::WorkloadCall Status;
  Status.jobId = "00112233445566aa";
  Status.__set_status(true);
  Duration Took{0};
  const CallResult Result = Entry.call(Status, Took);
  BOOST_TEST((Result.m_Status == wire::WorkloadStatus::NOT_READY));
  BOOST_TEST(Took > seconds(2), "took " << Took.count() / 1000 << " ms");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::node
