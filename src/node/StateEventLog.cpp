#include "Replica.h"

#include "absl/strings/str_cat.h"

namespace anvil::node::internal {

namespace {

// Returns a summary of the steps, such as "3x8gpu 900ms gang rack", joined by
// " > ".
std::string describeSteps(const wire::WorkloadSpec &Spec) {
  std::string Text;
  for (const wire::StepSpec &Step : Spec.steps) {
    if (!Text.empty())
      Text += " > ";
    Text += absl::StrCat(Step.tasks, "x", Step.perTask.accelerators, "gpu ",
                         Step.estimateMs, "ms", Step.gang ? " gang" : "",
                         Step.rackLocal ? " rack" : "",
                         Step.checkpointing ? " checkpoints" : "",
                         Step.requiredLabel.empty() ? "" : " label",
                         Step.maxTasksPerWorker > 0 ? " spread" : "");
  }
  return Text;
}

/// Writes the log line of a change of the state.
class EventWriter {
public:
  EventWriter(log::EventLog &Log, const workload::WorkloadState &State)
      : m_Log(Log), m_State(State), m_Index(State.appliedIndex()) {}

  void operator()(const workload::JobChanged &Event) const {
    if (Event.m_Phase == wire::JobPhase::QUEUED) {
      writeAccepted(Event);
      return;
    }
    m_Log.write(
        "job-" + std::string(workload::nameOf(Event.m_Phase)),
        {{"job", Event.m_Job}, {"reason", Event.m_Reason}, {"index", m_Index}});
  }
  void operator()(const workload::RunPlaced &Event) const {
    m_Log.write("run-placed", {{"task", workload::nameOf(Event.m_Task)},
                               {"run", Event.m_Run},
                               {"worker", Event.m_Worker.id},
                               {"reason", Event.m_Reason},
                               {"index", m_Index}});
  }
  void operator()(const workload::RunStopping &Event) const {
    m_Log.write("run-stopping", {{"task", workload::nameOf(Event.m_Task)},
                                 {"run", Event.m_Run},
                                 {"worker", Event.m_Worker.id},
                                 {"reason", Event.m_Reason},
                                 {"index", m_Index}});
  }
  void operator()(const workload::RunEnded &Event) const {
    m_Log.write("run-over", {{"task", workload::nameOf(Event.m_Task)},
                             {"run", Event.m_Run},
                             {"worker", Event.m_Worker.id},
                             {"kind", workload::nameOf(Event.m_Kind)},
                             {"reason", Event.m_Detail},
                             {"index", m_Index}});
  }
  void operator()(const workload::WorkerChanged &Event) const {
    m_Log.write(Event.m_Registered ? "worker-registered" : "worker-lost",
                {{"worker", Event.m_Incarnation.id},
                 {"born_ms", Event.m_Incarnation.startedAtMs},
                 {"reason", Event.m_Reason},
                 {"index", m_Index}});
  }
  void operator()(const workload::PolicyChanged &Event) const {
    m_Log.write("policy-in-force",
                {{"version", Event.m_Version}, {"index", m_Index}});
  }
  void operator()(const workload::ZoneWithdrawalChanged &Event) const {
    m_Log.write(Event.m_Withdrawn ? "zone-withdrawn" : "zone-restored",
                {{"zone", Event.m_Zone}, {"index", m_Index}});
  }

private:
  void writeAccepted(const workload::JobChanged &Event) const {
    const wire::JobRecord *Job = m_State.job(Event.m_Job);
    if (!Job)
      return;
    m_Log.write("job-accepted", {{"job", Event.m_Job},
                                 {"queue", Job->queue},
                                 {"workspace", Job->workspace},
                                 {"priority", Job->priority},
                                 {"shape", describeSteps(Job->spec)},
                                 {"index", m_Index}});
  }

  log::EventLog &m_Log;
  const workload::WorkloadState &m_State;
  int64_t m_Index;
};

} // namespace

// All replicas apply the same changes, so the lines of the leader suffice. A
// change that affects how each process answers callers is logged by each.
void Replica::onStateEvent(const workload::WorkloadEvent &Event) {
  m_Duties->observe(Event);
  if (leads())
    m_StateMetrics.observe(Event, m_Options.m_Now());
  const bool LoggedByEachReplica =
      std::holds_alternative<workload::PolicyChanged>(Event) ||
      std::holds_alternative<workload::ZoneWithdrawalChanged>(Event);
  if (LoggedByEachReplica || leads())
    std::visit(EventWriter(m_Log, m_State), Event);
}

} // namespace anvil::node::internal
