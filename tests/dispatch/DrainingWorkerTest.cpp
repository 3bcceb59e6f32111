#include <boost/test/unit_test.hpp>

#include "anvil/dispatch/Dispatcher.h"
#include "workload/WorkloadFixture.h"

namespace anvil::dispatch {
namespace {

const TimePoint Start = timePointFromMicros(100'000'000);

/// A leader with one worker, whose agent reports whether it is draining.
class DrainingFixture : public workload::WorkloadFixture {
public:
  DrainingFixture() {
    m_Request.agentIncarnation = "agent-1";
    m_Request.info.incarnation = workload::incarnation("w-1");
    m_Request.info.serviceName = "desk";
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

  void sync(bool Draining, int64_t RemainingMs) {
    ++m_Request.sequence;
    m_Request.draining = Draining;
    m_Request.remainingMs = RemainingMs;
    m_Sessions.receive(m_Request, m_State, Start);
  }
  size_t countCommands() {
    return m_Dispatcher.plan(m_State, m_Sessions, Start).size();
  }

private:
  wire::WorkerSyncRequest m_Request;
  Dispatcher m_Dispatcher{DispatchOptions()};
  WorkerSessions m_Sessions{SessionOptions()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DrainingWorkerTest, DrainingFixture)

// Guards against runs that start on a worker that has given notice, however
// much time it has left: the notice may be shortened.
BOOST_AUTO_TEST_CASE(StartsNothingOnADrainingWorker) {
  submit("job", workload::makeSpec({workload::makeStep(1)}));
  sync(true, 600'000);
  BOOST_TEST(countCommands() == 0U);
  sync(false, 0);
  BOOST_TEST(countCommands() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace anvil::dispatch
