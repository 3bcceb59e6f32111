#include <boost/test/unit_test.hpp>

#include "anvil/dispatch/Dispatcher.h"
#include "workload/WorkloadFixture.h"

namespace anvil::dispatch {
namespace {

const TimePoint Start = timePointFromMicros(100'000'000);
constexpr std::string_view Zone = "zone-a";

/// A leader with one worker in a zone, whose agent lists its runs.
class ZoneFixture : public workload::WorkloadFixture {
public:
  ZoneFixture() : m_Dispatcher(DispatchOptions()), m_Sessions(sessions()) {
    m_Request.agentIncarnation = "agent-1";
    m_Request.info.incarnation = workload::incarnation("w-1");
    m_Request.info.serviceName = "desk";
    m_Request.info.availabilityZone = std::string(Zone);
    m_Request.info.capacity = workload::amounts(64000, 64000, 8);
    m_Request.info.agentAddress = "10.0.0.1:7000";
    m_Request.runsListed = true;
    wire::RegisterWorker Register;
    Register.info = m_Request.info;
    Register.agentIncarnation = m_Request.agentIncarnation;
    wire::WorkloadCommand Command;
    Command.__set_registerWorker(Register);
    m_Request.fencingToken = apply(Command).value;
    m_Dispatcher.reset(Start);
    m_Sessions.reset(Start);
  }

  /// Hands in a job of one task and carries out the plan that places it.
  void placeJob(const std::string &Id) {
    submit(Id, workload::makeSpec({workload::makeStep(1)}));
    sync({});
    for (const wire::WorkloadCommand &Each : plan())
      apply(Each);
  }
  void withdrawZone() {
    wire::SetZone Set;
    Set.availabilityZone = std::string(Zone);
    Set.withdrawn = true;
    wire::WorkloadCommand Command;
    Command.__set_setZone(Set);
    apply(Command);
  }
  /// The agent lists the runs of the given jobs.
  void sync(const std::vector<std::pair<std::string, bool>> &Runs) {
    ++m_Request.sequence;
    m_Request.runs.clear();
    for (const auto &[Job, Running] : Runs) {
      wire::RunStatus Status;
      Status.task = workload::taskRef(Job, 0, 0);
      Status.run = 1;
      Status.running = Running;
      m_Request.runs.push_back(Status);
    }
    m_Sessions.receive(m_Request, m_State, Start);
  }
  std::vector<wire::WorkloadCommand> plan() {
    return m_Dispatcher.plan(m_State, m_Sessions, Start);
  }
  /// Returns the jobs whose runs the plan stops.
  std::vector<std::string> stoppedJobs() {
    std::vector<std::string> Jobs;
    for (const wire::WorkloadCommand &Each : plan())
      for (const wire::RunRef &Run : Each.stopRuns.runs)
        Jobs.push_back(Run.task.jobId);
    return Jobs;
  }

private:
  static SessionOptions sessions() {
    SessionOptions Options;
    Options.m_LeaseSpan = std::chrono::seconds(12);
    return Options;
  }

  Dispatcher m_Dispatcher;
  WorkerSessions m_Sessions;
  wire::WorkerSyncRequest m_Request;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WithdrawnZoneTest, ZoneFixture)

// Guards against a task that starts in a zone seconds after operators withdrew
// it: its worker did not answer, and its agent repeated the start.
BOOST_AUTO_TEST_CASE(StopsRunsThatHaveNotStartedInAWithdrawnZone) {
  placeJob("waits");
  placeJob("works");
  sync({{"waits", false}, {"works", true}});
  BOOST_TEST(stoppedJobs().empty());
  withdrawZone();
  BOOST_TEST(stoppedJobs() == std::vector<std::string>{"waits"},
             boost::test_tools::per_element());
}

// Guards against a new leader that stops work in a withdrawn zone, because the
// agent there has not listed its runs yet.
BOOST_AUTO_TEST_CASE(StopsNothingInAWithdrawnZoneBeforeItKnowsTheRuns) {
  placeJob("works");
  withdrawZone();
  WorkerSessions NewSessions{SessionOptions()};
  Dispatcher NewDispatcher{DispatchOptions()};
  NewSessions.reset(Start);
  NewDispatcher.reset(Start);
  BOOST_TEST(NewDispatcher.plan(m_State, NewSessions, Start).empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch
