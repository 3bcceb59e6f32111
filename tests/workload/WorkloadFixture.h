#ifndef ANVIL_TESTS_WORKLOAD_WORKLOADFIXTURE_H
#define ANVIL_TESTS_WORKLOAD_WORKLOADFIXTURE_H

#include <string>
#include <vector>

#include "anvil/workload/Policy.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::workload {

/// Builders of resource amounts, and below of policies, jobs and workers for
/// tests.
inline wire::ResourceAmounts amounts(int32_t MilliCores, int32_t MemoryMib,
                                     int32_t Accelerators) {
  wire::ResourceAmounts Result;
  Result.milliCores = MilliCores;
  Result.memoryMib = MemoryMib;
  Result.accelerators = Accelerators;
  return Result;
}

inline wire::PolicyDocument makePolicy(int64_t Version) {
  wire::PolicyDocument Policy;
  Policy.version = Version;
  wire::ServicePolicy Service;
  Service.name = "desk";
  Policy.services.push_back(Service);
  wire::QueuePolicy Queue;
  Queue.name = "quotes";
  Queue.host = "quotes.example";
  Queue.pathPrefix = "/q/";
  Queue.serviceName = "desk";
  Queue.timeoutMs = 3000;
  Queue.maxAttempts = 2;
  Queue.slackFactor = 1.5;
  Queue.latencyTargetMs = 250;
  Policy.queues.push_back(Queue);
  wire::WorkspacePolicy Workspace;
  Workspace.name = "team";
  Workspace.keys = {"key-1"};
  Workspace.guaranteed.accelerators = 8;
  Policy.workspaces.push_back(Workspace);
  return Policy;
}

inline wire::StepSpec makeStep(int32_t Tasks, int32_t Accelerators = 1) {
  wire::StepSpec Step;
  Step.tasks = Tasks;
  Step.perTask = amounts(1000, 1000, Accelerators);
  Step.estimateMs = 1000;
  return Step;
}

inline wire::WorkloadSpec makeSpec(std::vector<wire::StepSpec> Steps) {
  wire::WorkloadSpec Spec;
  Spec.payload = "payload";
  Spec.steps = std::move(Steps);
  return Spec;
}

inline wire::TaskRef taskRef(const std::string &Job, int32_t Step,
                             int32_t Index) {
  wire::TaskRef Ref;
  Ref.jobId = Job;
  Ref.step = Step;
  Ref.index = Index;
  return Ref;
}

inline wire::WorkerIncarnation incarnation(const std::string &Id,
                                           int64_t StartedAtMs = 1) {
  wire::WorkerIncarnation Result;
  Result.id = Id;
  Result.startedAtMs = StartedAtMs;
  return Result;
}

/// A state with a policy, and shorthands for applying commands.
struct WorkloadFixture {
  WorkloadFixture() { putPolicy(makePolicy(1)); }

  wire::WorkloadResult apply(const wire::WorkloadCommand &Command) {
    return m_State.apply(Command, ++m_Index);
  }
  wire::WorkloadResult putPolicy(const wire::PolicyDocument &Policy) {
    wire::PutPolicy Put;
    Put.document = Policy;
    wire::WorkloadCommand Command;
    Command.__set_putPolicy(Put);
    return apply(Command);
  }
  wire::WorkloadResult submit(const std::string &Id,
                              const wire::WorkloadSpec &Spec) {
    wire::SubmitWorkload Submit;
    Submit.jobId = Id;
    Submit.queue = "quotes";
    Submit.workspace = "team";
    Submit.spec = Spec;
    wire::WorkloadCommand Command;
    Command.__set_submit(Submit);
    return apply(Command);
  }
  wire::WorkloadResult cancel(const std::string &Id) {
    wire::CancelWorkload Cancel;
    Cancel.jobId = Id;
    wire::WorkloadCommand Command;
    Command.__set_cancel(Cancel);
    return apply(Command);
  }
  /// Hands a job in at a path, as callers do.
  wire::WorkloadResult submitAt(std::string_view Path, const std::string &Id,
                                const wire::WorkloadSpec &Spec) {
    wire::SubmitWorkload Submit;
    Submit.jobId = Id;
    Submit.__set_address(jobAddressOf("quotes.example", Path));
    Submit.workspace = "team";
    Submit.spec = Spec;
    wire::WorkloadCommand Command;
    Command.__set_submit(Submit);
    return apply(Command);
  }
  /// Cancels a job at a path, as a caller of a workspace does.
  wire::WorkloadResult cancelAt(std::string_view Path,
                                const std::string &Workspace,
                                const std::string &Id) {
    wire::CancelWorkload Cancel;
    Cancel.jobId = Id;
    Cancel.__set_address(jobAddressOf("quotes.example", Path));
    Cancel.__set_workspace(Workspace);
    wire::WorkloadCommand Command;
    Command.__set_cancel(Cancel);
    return apply(Command);
  }
  wire::WorkloadResult addWorker(const std::string &Id, int64_t StartedAtMs = 1,
                                 const std::string &Zone = "north",
                                 const std::string &Agent = "") {
    wire::RegisterWorker Register;
    Register.info.incarnation = incarnation(Id, StartedAtMs);
    Register.info.serviceName = "desk";
    Register.info.availabilityZone = Zone;
    Register.info.labels = {"kind-a", "rack-1"};
    Register.info.rack = "rack-1";
    Register.info.capacity = amounts(8000, 8000, 8);
    Register.info.agentAddress = Agent.empty() ? "agent-" + Id : Agent;
    Register.agentIncarnation = "incarnation-of-agent-" + Id;
    wire::WorkloadCommand Command;
    Command.__set_registerWorker(Register);
    return apply(Command);
  }
  wire::WorkloadResult
  start(const std::string &Job, int32_t Step,
        const std::vector<std::pair<int32_t, wire::WorkerIncarnation>> &Where) {
    wire::StartRuns Start;
    Start.jobId = Job;
    Start.step = Step;
    for (const auto &[Index, Worker] : Where) {
      wire::RunPlacement Placement;
      Placement.index = Index;
      Placement.worker = Worker;
      Start.placements.push_back(Placement);
    }
    wire::WorkloadCommand Command;
    Command.__set_startRuns(Start);
    return apply(Command);
  }
  wire::WorkloadResult end(const wire::WorkerIncarnation &Worker,
                           const wire::TaskRef &Task, int64_t Run,
                           wire::RunEndKind::type Kind,
                           const std::string &Checkpoint = "") {
    wire::RunEnd End;
    End.task = Task;
    End.run = Run;
    End.kind = Kind;
    End.checkpoint = Checkpoint;
    wire::EndRuns Ends;
    Ends.worker = Worker;
    Ends.ends.push_back(End);
    wire::WorkloadCommand Command;
    Command.__set_endRuns(Ends);
    return apply(Command);
  }
  wire::WorkloadResult lose(const wire::WorkerIncarnation &Worker,
                            std::vector<wire::RunRef> Retained = {}) {
    wire::LoseWorker Lose;
    Lose.incarnation = Worker;
    Lose.reason = "test";
    Lose.retainedRuns = std::move(Retained);
    wire::WorkloadCommand Command;
    Command.__set_loseWorker(Lose);
    return apply(Command);
  }
  wire::WorkloadResult setZone(const std::string &Zone, bool Withdrawn,
                               std::optional<int64_t> BasedOnRevision = {}) {
    wire::SetZone Set;
    Set.availabilityZone = Zone;
    Set.withdrawn = Withdrawn;
    if (BasedOnRevision)
      Set.__set_basedOnRevision(*BasedOnRevision);
    wire::WorkloadCommand Command;
    Command.__set_setZone(Set);
    return apply(Command);
  }

  const wire::TaskRecord &task(const std::string &Job, int32_t Step,
                               int32_t Index) const {
    return *m_State.task(taskRef(Job, Step, Index));
  }
  wire::JobPhase::type phase(const std::string &Job) const {
    return m_State.job(Job)->phase;
  }

  WorkloadState m_State;
  int64_t m_Index = 0;
};

} // namespace anvil::workload

#endif // ANVIL_TESTS_WORKLOAD_WORKLOADFIXTURE_H
