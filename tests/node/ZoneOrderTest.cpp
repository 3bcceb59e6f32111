#include "node/ZoneOrder.h"

#include <boost/test/unit_test.hpp>

namespace anvil::node::internal {
namespace {

using std::chrono::milliseconds;
using wire::WorkloadStatus;

/// A leader with one zone. The test decides what happens before it answers.
struct FakeLeader {
  ZoneOrderPorts ports() {
    ZoneOrderPorts Ports;
    Ports.m_Call = [this](const wire::WorkloadCall &Call, Duration,
                          const EntryProcess::CallDone &Done) {
      Done(answer(Call));
    };
    Ports.m_CallerWaits = [this] {
      ++m_Checks;
      if (m_OnCheck)
        m_OnCheck();
      return m_CallerWaits;
    };
    Ports.m_Now = [this] { return m_Now; };
    return Ports;
  }

  CallResult answer(const wire::WorkloadCall &Call) {
    CallResult Result;
    Result.m_Status = m_Status;
    Result.m_ZoneRevision = m_Revision;
    if (m_Status != WorkloadStatus::OK || !Call.__isset.setZone)
      return Result;
    if (Call.setZone.basedOnRevision != m_Revision) {
      Result.m_Status = WorkloadStatus::OUTDATED;
      return Result;
    }
    set(Call.setZone.withdrawn);
    return Result;
  }

  void set(bool Withdrawn) {
    m_Withdrawn = Withdrawn;
    ++m_Revision;
  }

  /// Takes the zone back by an order; returns its status.
  WorkloadStatus::type restore() {
    wire::SetZone Change;
    Change.availabilityZone = "north";
    Change.withdrawn = false;
    std::optional<CallResult> Result;
    ZoneOrder::start(ports(), Change, m_Now + milliseconds(900),
                     [&](CallResult Answer) { Result = std::move(Answer); });
    BOOST_REQUIRE(Result.has_value());
    return Result->m_Status;
  }

  TimePoint m_Now = timePointFromMicros(1'000'000);
  WorkloadStatus::type m_Status = WorkloadStatus::OK;
  int64_t m_Revision = 7;
  bool m_Withdrawn = true;
  bool m_CallerWaits = true;
  int m_Checks = 0;
  std::function<void()> m_OnCheck;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneOrderTest)

BOOST_AUTO_TEST_CASE(ChangesTheZoneForACallerThatWaits) {
  FakeLeader Leader;
  BOOST_TEST(Leader.restore() == WorkloadStatus::OK);
  BOOST_TEST(!Leader.m_Withdrawn);
}

// Guards against an order that takes effect when a frozen process wakes, after
// its operator has sent it elsewhere and newer orders have followed.
BOOST_AUTO_TEST_CASE(ChangesNothingForACallerThatHasGone) {
  FakeLeader Leader;
  Leader.m_CallerWaits = false;
  BOOST_TEST(Leader.restore() == WorkloadStatus::NOT_READY);
  BOOST_TEST(Leader.m_Withdrawn);
}

// Guards against the same if the process freezes between the check and the
// change: both orders that follow restore and withdraw the zone again.
BOOST_AUTO_TEST_CASE(ChangesNothingAfterAFreezeDuringWhichTheZoneChanged) {
  FakeLeader Leader;
  Leader.m_OnCheck = [&] {
    if (Leader.m_Checks > 1) {
      Leader.m_CallerWaits = false;
      return;
    }
    Leader.set(false);
    Leader.set(true);
  };
  BOOST_TEST(Leader.restore() == WorkloadStatus::UNKNOWN);
  BOOST_TEST(Leader.m_Withdrawn);
}

// Guards against refusing one of two operators that order at the same time.
BOOST_AUTO_TEST_CASE(BeginsAnewAfterTheOrderOfAnotherOperator) {
  FakeLeader Leader;
  Leader.m_OnCheck = [&] {
    if (Leader.m_Checks == 1)
      Leader.set(true);
  };
  BOOST_TEST(Leader.restore() == WorkloadStatus::OK);
  BOOST_TEST(!Leader.m_Withdrawn);
}

// Guards against an order that goes on after the time that callers wait, while
// other orders keep coming first.
BOOST_AUTO_TEST_CASE(EndsAtItsDeadline) {
  FakeLeader Leader;
  Leader.m_OnCheck = [&] {
    Leader.set(true);
    Leader.m_Now += milliseconds(400);
  };
  BOOST_TEST(Leader.restore() == WorkloadStatus::UNKNOWN);
  BOOST_TEST(Leader.m_Withdrawn);
}

// Guards against hiding from the caller that no leader is known.
BOOST_AUTO_TEST_CASE(PassesOnThatNothingWasDone) {
  FakeLeader Leader;
  Leader.m_Status = WorkloadStatus::NOT_READY;
  BOOST_TEST(Leader.restore() == WorkloadStatus::NOT_READY);
  BOOST_TEST(Leader.m_Checks == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::node::internal
