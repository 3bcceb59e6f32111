#include "anvil/workload/WorkloadState.h"

#include <algorithm>

#include "Results.h"
#include "anvil/base/Port.h"
#include "anvil/workload/Policy.h"

namespace anvil::workload {

using internal::resultOf;

namespace {

// Returns whether the cancellation is for a job of this address and workspace.
// Any caller of an anonymous queue may cancel its jobs.
bool concerns(const wire::CancelWorkload &Command,
              const wire::JobAddress &Address, const std::string &Workspace) {
  return !Command.__isset.address ||
         (Command.address == Address &&
          (Workspace.empty() || Command.workspace == Workspace));
}

// Returns whether \p Mark, of a job that was cancelled first, is for this one.
bool refuses(const wire::JobRecord &Mark, const wire::SubmitWorkload &Submit) {
  wire::CancelWorkload Cancelled;
  Cancelled.__set_address(Mark.address);
  Cancelled.__set_workspace(Mark.workspace);
  return concerns(Cancelled, Submit.address, Submit.workspace);
}

} // namespace

wire::WorkloadResult
WorkloadState::applySubmit(const wire::SubmitWorkload &Command) {
  if (const wire::JobRecord *Known = findJob(Command.jobId)) {
    if (!Known->cancelledFirst)
      return resultOf(wire::WorkloadStatus::UNCHANGED);
    if (refuses(*Known, Command))
      return resultOf(wire::WorkloadStatus::NO_JOB,
                      "the job was cancelled before it was handed in");
    forgetEndedJob(Command.jobId);
  }
  if (const absl::Status Status = checkSpec(Command.spec); !Status.ok())
    return resultOf(wire::WorkloadStatus::INVALID, fromAbsl(Status.message()));
  const wire::QueuePolicy *Queue = queueOf(Command);
  if (!Queue)
    return resultOf(wire::WorkloadStatus::NO_QUEUE, "no such queue");
  if (Command.__isset.address && Command.workspace.empty() && !Queue->anonymous)
    return resultOf(wire::WorkloadStatus::UNAUTHORIZED, "unknown key");
  const auto PayloadBytes = static_cast<int64_t>(Command.spec.payload.size());
  if (m_LiveJobs.size() >= m_Limits.m_MaxLiveJobs ||
      m_PayloadBytes + PayloadBytes > m_Limits.m_MaxPayloadBytes)
    return resultOf(wire::WorkloadStatus::OVERLOADED,
                    "the limit of stored jobs is reached");

  wire::JobRecord Job = makeRecord(Command, *Queue);
  Job.submittedIndex = m_AppliedIndex;
  wire::JobRecord &Stored = m_Jobs[Command.jobId] = std::move(Job);
  indexJob(Stored);
  emit(JobChanged{Stored.id, Stored.phase, "submitted"});
  return resultOf(wire::WorkloadStatus::OK);
}

wire::JobRecord WorkloadState::makeRecord(const wire::SubmitWorkload &Submit,
                                          const wire::QueuePolicy &Queue) {
  wire::JobRecord Job;
  Job.id = Submit.jobId;
  Job.queue = Queue.name;
  Job.address = Submit.__isset.address
                    ? Submit.address
                    : jobAddressOf(Queue.host, Queue.pathPrefix);
  Job.workspace = Submit.workspace;
  Job.spec = Submit.spec;
  Job.serviceName = Queue.serviceName;
  Job.priority = Queue.priority;
  Job.maxAttempts = Queue.maxAttempts;
  Job.slackFactor = Queue.slackFactor;
  Job.latencyTargetMs = Queue.latencyTargetMs;
  if (Job.spec.repeats == 0)
    openOccurrence(Job, 0);
  return Job;
}

// The policy may have changed since the leader admitted the job, so the address
// selects the queue anew.
const wire::QueuePolicy *
WorkloadState::queueOf(const wire::SubmitWorkload &Command) const {
  return Command.__isset.address
             ? findQueue(m_Policy, Command.address.host, Command.address.path)
             : queueNamed(m_Policy, Command.queue);
}

void WorkloadState::indexJob(const wire::JobRecord &Job) {
  if (hasEnded(Job.phase) && Job.activeRuns == 0)
    return;
  m_LiveJobs[Job.submittedIndex] = Job.id;
  m_PayloadBytes += static_cast<int64_t>(Job.spec.payload.size());
  if (Job.phase == wire::JobPhase::QUEUED)
    ++m_PendingByAddress[Job.address];
}

std::map<std::string, int64_t> WorkloadState::pendingByQueue() const {
  std::map<std::string, int64_t> Result;
  for (const auto &[Address, Count] : m_PendingByAddress)
    if (const wire::QueuePolicy *Queue =
            findQueue(m_Policy, Address.host, Address.path))
      Result[Queue->name] += Count;
  return Result;
}

void WorkloadState::openOccurrence(wire::JobRecord &Job, int32_t Number) {
  wire::OccurrenceRecord Record;
  Record.number = Number;
  for (const wire::StepSpec &Spec : Job.spec.steps) {
    wire::StepRecord Step;
    Step.tasks.resize(static_cast<size_t>(Spec.tasks));
    Record.steps.push_back(std::move(Step));
  }
  Job.occurrences[Number] = std::move(Record);
  ++Job.occurrencesOpened;
}

wire::WorkloadResult
WorkloadState::applyOpenOccurrence(const wire::OpenOccurrence &Command) {
  wire::JobRecord *Job = findJob(Command.jobId);
  if (!Job || hasEnded(Job->phase))
    return resultOf(wire::WorkloadStatus::NO_JOB, "no such live job");
  if (Command.occurrence != Job->occurrencesOpened ||
      Command.occurrence >= Job->spec.repeats)
    return resultOf(wire::WorkloadStatus::UNCHANGED);
  openOccurrence(*Job, Command.occurrence);
  return resultOf(wire::WorkloadStatus::OK);
}

wire::WorkloadResult
WorkloadState::applyCancel(const wire::CancelWorkload &Command) {
  wire::JobRecord *Job = findJob(Command.jobId);
  if (!Job && Command.__isset.address)
    markCancelledFirst(Command);
  if (!Job || Job->cancelledFirst ||
      !concerns(Command, Job->address, Job->workspace))
    return resultOf(wire::WorkloadStatus::NO_JOB, "no such job");
  if (hasEnded(Job->phase))
    return resultOf(wire::WorkloadStatus::UNCHANGED);
  setPhase(*Job, wire::JobPhase::CANCELLED, "cancelled by the caller");
  stopAllRuns(*Job, "job cancelled");
  retireIfOver(*Job);
  return resultOf(wire::WorkloadStatus::OK);
}

// The caller is told that there is no such job, so a submission of it that is
// still on its way must not take effect.
void WorkloadState::markCancelledFirst(const wire::CancelWorkload &Command) {
  wire::JobRecord &Mark = m_Jobs[Command.jobId];
  Mark.id = Command.jobId;
  Mark.address = Command.address;
  Mark.workspace = Command.workspace;
  Mark.phase = wire::JobPhase::CANCELLED;
  Mark.submittedIndex = m_AppliedIndex;
  Mark.cancelledFirst = true;
  rememberEndedJob(Command.jobId);
}

void WorkloadState::setPhase(wire::JobRecord &Job, wire::JobPhase::type Phase,
                             const std::string &Reason) {
  if (Job.phase == Phase)
    return;
  if (Job.phase == wire::JobPhase::QUEUED &&
      --m_PendingByAddress[Job.address] == 0)
    m_PendingByAddress.erase(Job.address);
  Job.phase = Phase;
  Job.reason = Reason;
  emit(JobChanged{Job.id, Phase, Reason});
}

// An ended job without runs keeps only what a status request needs.
void WorkloadState::retireIfOver(wire::JobRecord &Job) {
  if (!hasEnded(Job.phase) || Job.activeRuns > 0)
    return;
  m_LiveJobs.erase(Job.submittedIndex);
  m_PayloadBytes -= static_cast<int64_t>(Job.spec.payload.size());
  Job.spec = wire::WorkloadSpec();
  Job.occurrences.clear();
  // Copied, since the job may be the oldest one, which is then removed.
  rememberEndedJob(std::string(Job.id));
}

void WorkloadState::rememberEndedJob(const std::string &Id) {
  m_EndedJobIds.push_back(Id);
  if (m_EndedJobIds.size() > m_Limits.m_MaxEndedJobs)
    forgetEndedJob(std::string(m_EndedJobIds.front()));
}

void WorkloadState::forgetEndedJob(const std::string &Id) {
  m_EndedJobIds.erase(
      std::find(m_EndedJobIds.begin(), m_EndedJobIds.end(), Id));
  m_Jobs.erase(Id);
}

void WorkloadState::finishOccurrenceIfDone(wire::JobRecord &Job,
                                           int32_t Occurrence) {
  const auto It = Job.occurrences.find(Occurrence);
  const auto Steps = static_cast<int32_t>(Job.spec.steps.size());
  if (It == Job.occurrences.end() || It->second.stepsDone < Steps)
    return;
  Job.occurrences.erase(It);
  ++Job.occurrencesDone;
  if (Job.occurrencesDone >= std::max(Job.spec.repeats, 1))
    setPhase(Job, wire::JobPhase::COMPLETED, "all tasks are done");
}

void WorkloadState::countFailure(wire::JobRecord &Job,
                                 const wire::RunEnd &End) {
  const auto Step = static_cast<size_t>(End.task.step);
  if (Job.spec.steps[Step].longRunning || hasEnded(Job.phase))
    return;
  wire::StepRecord &Record = Job.occurrences[End.task.occurrence].steps[Step];
  int32_t Failures = 0;
  if (Job.spec.steps[Step].gang) {
    if (Record.gangFailedRun == End.run)
      return;
    Record.gangFailedRun = End.run;
    Failures = ++Record.gangFailures;
  } else {
    Failures = ++Record.tasks[static_cast<size_t>(End.task.index)].failures;
  }
  if (Failures < Job.maxAttempts)
    return;
  setPhase(Job, wire::JobPhase::FAILED, "the last attempt failed");
  stopAllRuns(Job, "job failed");
}

} // namespace anvil::workload
