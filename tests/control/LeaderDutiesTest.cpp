#include "control/LeaderDuties.h"

#include "state/StateFixture.h"

namespace anvil::control::internal {
namespace {

using namespace anvil::state::test;

constexpr int64_t LeaseMs = 2000;

TimePoint at(int64_t Ms) { return timePointFromMicros(Ms * 1000); }

// The leader of a group with a single replica. Proposed commands are applied at
// the next step of the clock.
struct LeaderFixture {
  state::ClusterState m_State = *state::ClusterState::create();
  std::vector<wire::Command> m_Queue;
  std::vector<std::pair<int64_t, wire::Command>>
      m_Applied; ///< With the time in ms.
  int64_t m_NowMs = 0;
  int64_t m_WallSkewUs = 0;
  int64_t m_Index = 0;
  LeaderDuties m_Duties{[this](const wire::Command &Command,
                               const SchedulerDriver::RefusalHook &) {
                          m_Queue.push_back(Command);
                        },
                        [this] { return wallUs(); }};

  LeaderFixture() {
    m_State.setEventHook([this](const state::StateEvent &Event, int64_t) {
      m_Duties.onStateEvent(Event, at(m_NowMs));
    });
    apply(applyConfig(1, documentText(1)));
    BOOST_REQUIRE(m_Duties.begin(m_State, at(m_NowMs)).ok());
  }

  int64_t wallUs() const {
    return 1'000'000'000 + m_NowMs * 1000 + m_WallSkewUs;
  }

  wire::CommandResult apply(wire::Command Command) {
    Command.proposedAtUs = wallUs();
    m_Applied.emplace_back(m_NowMs, Command);
    return m_State.apply(Command, ++m_Index);
  }

  // Advances the clock by \p Ms in steps of 100 ms. The workers in \p Alive
  // send heartbeats.
  void advance(int64_t Ms, const std::vector<std::string> &Alive) {
    for (const int64_t End = m_NowMs + Ms; m_NowMs < End;) {
      m_NowMs += 100;
      m_Duties.recordHeartbeats(Alive, at(m_NowMs));
      for (const wire::Command &Command : std::exchange(m_Queue, {}))
        apply(Command);
      m_Duties.onApplied(m_State, at(m_NowMs));
      m_Duties.tick(m_State, at(m_NowMs));
    }
  }

  void report(const std::string &Vm, JobId Job,
              wire::TaskState::type Reported) {
    for (const wire::Assignment &Each : m_State.assignmentsFor(VmId(Vm))) {
      wire::ReportTasks Body;
      Body.vm = Vm;
      Body.incarnation = 1;
      wire::TaskStatus Status;
      Status.jobId = Job.value();
      Status.taskIndex = Each.taskIndex;
      Status.startToken = Each.startToken;
      Status.state = Reported;
      Body.tasks = {Status};
      apply(wrap(&wire::Command::__set_reportTasks, Body));
    }
  }

  // Runs a job of two tasks on workers a and b.
  JobId runGang() {
    apply(registerWorker("a", 1));
    apply(registerWorker("b", 1));
    wire::Command Submit = submit(2, true, "gang", 8);
    Submit.submitJob.spec.leaseMs = LeaseMs;
    const JobId Job(apply(Submit).jobId);
    advance(1000, {"a", "b"});
    for (const wire::TaskState::type Reported :
         {wire::TaskState::PREPARED, wire::TaskState::RUNNING}) {
      report("a", Job, Reported);
      report("b", Job, Reported);
    }
    BOOST_REQUIRE((m_State.job(Job)->m_Phase == state::JobPhase::Running));
    return Job;
  }

  // Returns when a command of the kind was first applied, or -1.
  template <typename Kind> int64_t firstAppliedMs(Kind IsKind) const {
    for (const auto &[Ms, Command] : m_Applied)
      if (IsKind(Command))
        return Ms;
    return -1;
  }
};

bool isLoss(const wire::Command &Command) { return Command.__isset.loseTarget; }
bool isExpiry(const wire::Command &Command) {
  return Command.__isset.expireLeases;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeaderDutiesTest, LeaderFixture)

// Guards against a gang that is queued forever because its placement is never
// proposed.
BOOST_AUTO_TEST_CASE(PlacesAllMembersOfAQueuedGang) {
  const JobId Job = runGang();
  BOOST_TEST(m_State.job(Job)->m_Members.size() == 2u);
}

// Guards against placing a member again while its old task may still run. The
// whole lease, 10% for clock rates, the validity of the last read and the time
// to stop must have passed since the loss (H2, H6).
BOOST_AUTO_TEST_CASE(WaitsForTheWholeLeaseBeforeFreeingAMember) {
  runGang();
  // 10 s until the loss and 8.2 s until the lease has expired, plus about the
  // same time in reserve.
  advance(40000, {"a"});
  const int64_t LostMs = firstAppliedMs(isLoss);
  const int64_t FreedMs = firstAppliedMs(isExpiry);
  BOOST_REQUIRE(LostMs > 0);
  BOOST_REQUIRE(FreedMs > 0);
  BOOST_TEST(FreedMs - LostMs >= LeaseMs + LeaseMs / 10 + 1000 + 5000,
             "freed after " << FreedMs - LostMs << " ms");
}

// Guards against leases that expire early because the wall clock jumps ahead.
BOOST_AUTO_TEST_CASE(WallClockJumpFreesNoMemberEarly) {
  runGang();
  while (firstAppliedMs(isLoss) < 0)
    advance(100, {"a"});
  m_WallSkewUs = int64_t{3600} * 1'000'000;
  advance(7000, {"a"});
  BOOST_TEST(firstAppliedMs(isExpiry) == -1);
  advance(5000, {"a"});
  BOOST_TEST(firstAppliedMs(isExpiry) > 0);
}

// Guards against a new leader that frees members at once, based on a loss that
// an earlier leader recorded.
BOOST_AUTO_TEST_CASE(NewLeaderWaitsForTheWholeLease) {
  runGang();
  while (firstAppliedMs(isLoss) < 0)
    advance(100, {"a"});
  m_NowMs += 60000;
  const int64_t BeganMs = m_NowMs;
  m_Duties.end();
  BOOST_REQUIRE(m_Duties.begin(m_State, at(m_NowMs)).ok());
  advance(20000, {"a"});
  BOOST_TEST(firstAppliedMs(isExpiry) - BeganMs >=
             LeaseMs + LeaseMs / 10 + 1000 + 5000);
}

// Guards against the loss of a running gang because of a few late heartbeats.
BOOST_AUTO_TEST_CASE(LateHeartbeatsLoseNoTarget) {
  runGang();
  for (int I = 0; I < 5; ++I) {
    advance(9000, {"a"});
    advance(1000, {"a", "b"});
  }
  BOOST_TEST(firstAppliedMs(isLoss) == -1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::control::internal
