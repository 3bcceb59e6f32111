#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "dispatch/RunTracker.h"
#include "dispatch/sim/DeploymentProfile.h"

namespace anvil::dispatch::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration SyncInterval = milliseconds(250);

/// A gang of two members on two workers, whose progress the test reports.
struct RunningGang {
  RunningGang() {
    m_State.setEventHook([this](const workload::WorkloadEvent &Event) {
      m_Tracker.observe(Event, m_State, m_Now);
    });
    wire::PutPolicy Policy;
    Policy.document = sim::smallPolicy();
    apply([&](auto &Command) { Command.__set_putPolicy(Policy); });
    for (wire::WorkerInfo &Info : m_Workers) {
      Info.agentAddress = "agent of " + Info.incarnation.id;
      wire::RegisterWorker Register;
      Register.info = Info;
      Register.agentIncarnation = Info.agentAddress;
      apply([&](auto &Command) { Command.__set_registerWorker(Register); });
    }
    wire::SubmitWorkload Submit;
    Submit.jobId = "gang";
    Submit.queue = "batch";
    Submit.workspace = "w0";
    Submit.spec.steps = {sim::plainStep(2, 8)};
    Submit.spec.steps[0].gang = true;
    Submit.spec.steps[0].estimateMs = 10'000;
    apply([&](auto &Command) { Command.__set_submit(Submit); });
    wire::StartRuns Start;
    Start.jobId = "gang";
    for (int32_t I = 0; I < 2; ++I) {
      wire::RunPlacement Placement;
      Placement.index = I;
      Placement.worker = m_Workers[static_cast<size_t>(I)].incarnation;
      Start.placements.push_back(Placement);
    }
    apply([&](auto &Command) { Command.__set_startRuns(Start); });
  }

  template <typename Setter> void apply(Setter Set) {
    wire::WorkloadCommand Command;
    Set(Command);
    const wire::WorkloadResult Result = m_State.apply(Command, ++m_Index);
    BOOST_REQUIRE_MESSAGE(Result.status == wire::WorkloadStatus::OK,
                          Result.message);
  }

  static wire::TaskRef member(int32_t Index) {
    wire::TaskRef Ref;
    Ref.jobId = "gang";
    Ref.index = Index;
    return Ref;
  }

  /// Both agents report until \p Span is over. \p Percent gets the seconds
  /// since the start and a member.
  void report(Duration Span,
              const std::function<double(double, int)> &Percent) {
    for (const TimePoint End = m_Now + Span; m_Now < End;
         m_Now += SyncInterval) {
      for (int32_t I = 0; I < 2; ++I)
        sync(I,
             Percent(std::chrono::duration<double>(m_Now - Start).count(), I));
      m_Tracker.update(m_State, m_Sessions, m_Now);
    }
  }

  void sync(int32_t Index, double Percent) {
    const wire::WorkerInfo &Info = m_Workers[static_cast<size_t>(Index)];
    wire::WorkerSyncRequest Request;
    Request.agentIncarnation = Info.agentAddress;
    Request.sequence = ++m_Sequence;
    Request.info = Info;
    Request.runsListed = true;
    wire::RunStatus Status;
    Status.task = member(Index);
    Status.run = 1;
    Status.running = true;
    Status.percent = static_cast<int32_t>(std::min(100.0, Percent));
    Request.runs = {Status};
    m_Sessions.receive(Request, m_State, m_Now);
  }

  bool isStalled(int32_t Index) const {
    const wire::TaskRef Ref = member(Index);
    return m_Tracker
        .forecast(*m_State.job("gang"), Ref, *m_State.task(Ref), m_Now)
        .m_Stalled;
  }

  static constexpr TimePoint Start = TimePoint() + seconds(1);
  TimePoint m_Now = Start;
  int64_t m_Index = 0;
  int64_t m_Sequence = 0;
  std::vector<wire::WorkerInfo> m_Workers = sim::smallFleet();
  workload::WorkloadState m_State;
  WorkerSessions m_Sessions{{}};
  RunTimes m_Times;
  WorkerHealth m_Health;
  RunTracker m_Tracker{m_Times, m_Health};
};

} // namespace

BOOST_AUTO_TEST_SUITE(GangStallTest)

// Guards against a gang that is stopped shortly before its end: a member that
// is done waits for the slowest one, and its progress stays at 100 percent. On
// a day of the large deployment this lost 21,690 core seconds in two gangs.
BOOST_AUTO_TEST_CASE(AMemberThatIsDoneIsNotStalled) {
  RunningGang Gang;
  Gang.report(seconds(9), [](double Seconds, int Member) {
    return Seconds * (Member == 0 ? 40 : 10);
  });
  BOOST_TEST(!Gang.isStalled(0));
  BOOST_TEST(!Gang.isStalled(1));
}

// Guards against a member that hangs and keeps its gang for ever.
BOOST_AUTO_TEST_CASE(AMemberThatHangsIsStalled) {
  RunningGang Gang;
  Gang.report(seconds(9), [](double Seconds, int Member) {
    return Member == 0 ? Seconds * 40 : std::min(20.0, Seconds * 10);
  });
  BOOST_TEST(!Gang.isStalled(0));
  BOOST_TEST(Gang.isStalled(1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch::internal
