#include "anvil/node/EntryProcess.h"

#include <boost/test/unit_test.hpp>

#include "support/TestEntry.h"

namespace anvil::node {
namespace {

using std::chrono::seconds;

/// An entry without a replica whose only seed is a closed port.
struct LonelyEntry {
  LonelyEntry() {
    support::TestEntryOptions Options;
    Options.m_Seeds = {{"127.0.0.1", 9}};
    m_Entry.emplace(m_Loop, Options);
  }

  /// Makes a call with a timeout of three seconds. Returns its result and sets
  /// \p Took to the time until it came.
  CallResult call(const wire::WorkloadCall &Call, Duration &Took) {
    const TimePoint Start = daemon::monotonicNow();
    CallResult Result = callAndWait(m_Loop, *m_Entry, Call, seconds(3));
    Took = daemon::monotonicNow() - Start;
    return Result;
  }

  support::Loopback m_Loop;
  std::optional<support::TestEntry> m_Entry;
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
