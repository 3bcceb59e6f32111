#ifndef ANVIL_TESTS_DISPATCH_LEADERFIXTURE_H
#define ANVIL_TESTS_DISPATCH_LEADERFIXTURE_H

#include <map>
#include <string>
#include <vector>

#include "anvil/dispatch/Dispatcher.h"
#include "workload/WorkloadFixture.h"

namespace anvil::dispatch {

/// A leader with workers of one accelerator each in a zone, whose agents list
/// the runs that a test names.
class LeaderFixture : public workload::WorkloadFixture {
public:
  static constexpr std::string_view Zone = "zone-a";

  LeaderFixture() : m_Dispatcher(DispatchOptions()), m_Sessions(sessions()) {
    m_State.setEventHook([this](const workload::WorkloadEvent &Event) {
      m_Dispatcher.observe(Event, m_State, m_Now);
    });
    m_Dispatcher.reset(m_Now);
    m_Sessions.reset(m_Now);
  }

  /// Registers a worker whose agent has listed no runs.
  void addLiveWorker(const std::string &Id, int32_t Accelerators) {
    wire::WorkerSyncRequest &Request = m_Requests[Id];
    Request.agentIncarnation = "agent-of-" + Id;
    Request.info.incarnation = workload::incarnation(Id);
    Request.info.serviceName = "desk";
    Request.info.availabilityZone = std::string(Zone);
    Request.info.capacity = workload::amounts(64000, 64000, Accelerators);
    Request.info.agentAddress = Id + ":7000";
    Request.runsListed = true;
    wire::RegisterWorker Register;
    Register.info = Request.info;
    Register.agentIncarnation = Request.agentIncarnation;
    wire::WorkloadCommand Command;
    Command.__set_registerWorker(Register);
    Request.fencingToken = apply(Command).value;
    sync(Id, {});
  }
  /// Hands in a job of one task and carries out the plan that places it.
  void placeJob(const std::string &Id) {
    submit(Id, workload::makeSpec({workload::makeStep(1)}));
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
  /// A run of a job's only task, as an agent lists it.
  struct Listed {
    std::string m_Job;
    bool m_Running = true;
    int32_t m_Percent = 0;
  };
  /// The agent of a worker, which answered it \p Silent ago, lists its runs.
  void sync(const std::string &Worker, const std::vector<Listed> &Runs,
            Duration Silent = Duration(0)) {
    wire::WorkerSyncRequest &Request = m_Requests[Worker];
    ++Request.sequence;
    Request.silentMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(Silent).count();
    Request.runs.clear();
    for (const Listed &Each : Runs) {
      wire::RunStatus Status;
      Status.task = workload::taskRef(Each.m_Job, 0, 0);
      Status.run = 1;
      Status.running = Each.m_Running;
      Status.percent = Each.m_Percent;
      Request.runs.push_back(Status);
    }
    m_Sessions.receive(Request, m_State, m_Now);
  }
  std::vector<wire::WorkloadCommand> plan() {
    return m_Dispatcher.plan(m_State, m_Sessions, m_Now);
  }
  /// Returns the jobs whose runs the plan stops.
  std::vector<std::string> stoppedJobs() {
    std::vector<std::string> Jobs;
    for (const wire::WorkloadCommand &Each : plan())
      for (const wire::RunRef &Run : Each.stopRuns.runs)
        Jobs.push_back(Run.task.jobId);
    return Jobs;
  }

  TimePoint m_Now = timePointFromMicros(100'000'000);

private:
  static SessionOptions sessions() {
    SessionOptions Options;
    Options.m_LeaseSpan = std::chrono::seconds(12);
    return Options;
  }

  Dispatcher m_Dispatcher;
  WorkerSessions m_Sessions;
  std::map<std::string, wire::WorkerSyncRequest> m_Requests; ///< By worker.
};

} // namespace anvil::dispatch

#endif // ANVIL_TESTS_DISPATCH_LEADERFIXTURE_H
