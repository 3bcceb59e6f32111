#include "anvil/workload/WorkloadState.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "Results.h"
#include "anvil/base/Port.h"
#include "anvil/workload/Policy.h"

namespace anvil::workload {

using internal::resultOf;

namespace {

int countSetFields(const wire::_WorkloadCommand__isset &Set) {
  const bool Fields[] = {
      Set.putPolicy,      Set.setZone,        Set.registerReplica,
      Set.forgetReplica,  Set.submit,         Set.cancel,
      Set.registerWorker, Set.loseWorker,     Set.startRuns,
      Set.stopRuns,       Set.endRuns,        Set.openOccurrence,
      Set.startWave,      Set.noteMachineDown};
  return static_cast<int>(
      std::count(std::begin(Fields), std::end(Fields), true));
}

} // namespace

WorkloadState::WorkloadState() : WorkloadState(WorkloadLimits()) {}

WorkloadState::WorkloadState(WorkloadLimits Limits) : m_Limits(Limits) {}

wire::WorkloadResult WorkloadState::apply(const wire::WorkloadCommand &Command,
                                          int64_t Index) {
  if (Index <= m_AppliedIndex)
    return resultOf(wire::WorkloadStatus::INVALID,
                    "log index was applied before");
  m_AppliedIndex = Index;
  if (countSetFields(Command.__isset) != 1)
    return resultOf(wire::WorkloadStatus::INVALID,
                    "exactly one command must be set");
  return dispatch(Command);
}

wire::WorkloadResult
WorkloadState::dispatch(const wire::WorkloadCommand &Command) {
  const wire::_WorkloadCommand__isset &Set = Command.__isset;
  if (Set.putPolicy)
    return applyPutPolicy(Command.putPolicy);
  if (Set.setZone)
    return applySetZone(Command.setZone);
  if (Set.submit)
    return applySubmit(Command.submit);
  if (Set.cancel)
    return applyCancel(Command.cancel);
  if (Set.registerWorker)
    return applyRegisterWorker(Command.registerWorker);
  if (Set.loseWorker)
    return applyLoseWorker(Command.loseWorker);
  if (Set.startRuns)
    return applyStartRuns(Command.startRuns);
  if (Set.stopRuns)
    return applyStopRuns(Command.stopRuns);
  if (Set.endRuns)
    return applyEndRuns(Command.endRuns);
  if (Set.openOccurrence)
    return applyOpenOccurrence(Command.openOccurrence);
  if (Set.startWave)
    return applyStartWave(Command.startWave);
  if (Set.noteMachineDown)
    return applyNoteMachineDown(Command.noteMachineDown);
  if (Set.registerReplica)
    m_Replicas[Command.registerReplica.replica.id] =
        Command.registerReplica.replica;
  else
    m_Replicas.erase(Command.forgetReplica.id);
  return resultOf(wire::WorkloadStatus::OK);
}

// A document whose version is not higher than that in force is outdated. It is
// acknowledged, since a resend of an accepted one must never be refused.
wire::WorkloadResult
WorkloadState::applyPutPolicy(const wire::PutPolicy &Command) {
  if (const absl::Status Status = checkPolicy(Command.document); !Status.ok())
    return resultOf(wire::WorkloadStatus::INVALID, fromAbsl(Status.message()));
  if (Command.document.version <= m_Policy.version)
    return resultOf(wire::WorkloadStatus::UNCHANGED);
  m_Policy = Command.document;
  emit(PolicyChanged{m_Policy.version});
  return resultOf(wire::WorkloadStatus::OK);
}

// Each order counts as a change, also one that finds the zone as requested: an
// older order that comes after its acknowledgement must not undo it.
wire::WorkloadResult WorkloadState::applySetZone(const wire::SetZone &Command) {
  if (Command.__isset.basedOnRevision &&
      Command.basedOnRevision != m_ZoneRevision)
    return resultOf(wire::WorkloadStatus::OUTDATED,
                    "another order on a zone came first");
  m_ZoneRevision = m_AppliedIndex;
  const bool Changed =
      Command.withdrawn
          ? m_WithdrawnZones.insert(Command.availabilityZone).second
          : m_WithdrawnZones.erase(Command.availabilityZone) > 0;
  if (!Changed)
    return resultOf(wire::WorkloadStatus::UNCHANGED);
  emit(ZoneWithdrawalChanged{Command.availabilityZone, Command.withdrawn});
  return resultOf(wire::WorkloadStatus::OK);
}

wire::WorkloadResult
WorkloadState::applyStartWave(const wire::StartWave &Command) {
  if (Command.maxDown < 1)
    return resultOf(wire::WorkloadStatus::INVALID,
                    "a wave needs at least one machine down at a time");
  wire::WaveRecord Record;
  Record.wave = Command.wave;
  Record.machines = Command.machines;
  Record.durationMs = Command.durationMs;
  Record.maxDown = Command.maxDown;
  const bool Added = m_Waves.emplace(Command.wave, std::move(Record)).second;
  return resultOf(Added ? wire::WorkloadStatus::OK
                        : wire::WorkloadStatus::UNCHANGED);
}

wire::WorkloadResult
WorkloadState::applyNoteMachineDown(const wire::NoteMachineDown &Command) {
  const auto It = m_Waves.find(Command.wave);
  if (It == m_Waves.end())
    return resultOf(wire::WorkloadStatus::INVALID, "unknown wave");
  std::vector<std::string> &TakenDown = It->second.machinesTakenDown;
  if (std::find(TakenDown.begin(), TakenDown.end(), Command.machine) !=
      TakenDown.end())
    return resultOf(wire::WorkloadStatus::UNCHANGED);
  TakenDown.push_back(Command.machine);
  return resultOf(wire::WorkloadStatus::OK);
}

const wire::JobRecord *WorkloadState::job(std::string_view Id) const {
  const auto It = m_Jobs.find(Id);
  const bool Known = It != m_Jobs.end() && !It->second.cancelledFirst;
  return Known ? &It->second : nullptr;
}

wire::JobRecord *WorkloadState::findJob(std::string_view Id) {
  const auto It = m_Jobs.find(Id);
  return It == m_Jobs.end() ? nullptr : &It->second;
}

const wire::TaskRecord *WorkloadState::task(const wire::TaskRef &Ref) const {
  const wire::JobRecord *Job = job(Ref.jobId);
  if (!Job)
    return nullptr;
  const auto Occurrence = Job->occurrences.find(Ref.occurrence);
  if (Occurrence == Job->occurrences.end() || Ref.step < 0 ||
      Ref.step >= static_cast<int32_t>(Occurrence->second.steps.size()))
    return nullptr;
  const std::vector<wire::TaskRecord> &Tasks =
      Occurrence->second.steps[static_cast<size_t>(Ref.step)].tasks;
  if (Ref.index < 0 || Ref.index >= static_cast<int32_t>(Tasks.size()))
    return nullptr;
  return &Tasks[static_cast<size_t>(Ref.index)];
}

wire::TaskRecord *WorkloadState::findTask(const wire::TaskRef &Ref) {
  return const_cast<wire::TaskRecord *>(std::as_const(*this).task(Ref));
}

const wire::WorkerRecord *
WorkloadState::worker(const wire::WorkerIncarnation &Incarnation) const {
  const auto It = m_Workers.find(Incarnation.id);
  if (It == m_Workers.end() || !(It->second.info.incarnation == Incarnation))
    return nullptr;
  return &It->second;
}

std::vector<WantedRun>
WorkloadState::wantedRuns(const wire::WorkerIncarnation &Incarnation) const {
  std::vector<WantedRun> Result;
  const auto It = m_RunsByIncarnation.find(keyOf(Incarnation));
  if (It == m_RunsByIncarnation.end())
    return Result;
  for (const auto &[JobId, Occurrence, Step, Index] : It->second) {
    WantedRun Wanted;
    Wanted.m_Task.jobId = JobId;
    Wanted.m_Task.occurrence = Occurrence;
    Wanted.m_Task.step = Step;
    Wanted.m_Task.index = Index;
    const wire::TaskRecord *Task = task(Wanted.m_Task);
    Wanted.m_Run = Task->run;
    Wanted.m_Stop = Task->phase == wire::TaskPhase::STOPPING;
    Result.push_back(std::move(Wanted));
  }
  return Result;
}

void WorkloadState::emit(const WorkloadEvent &Event) const {
  if (m_Hook)
    m_Hook(Event);
}

bool hasEnded(wire::JobPhase::type Phase) {
  return Phase != wire::JobPhase::QUEUED && Phase != wire::JobPhase::RUNNING;
}

std::string nameOf(const wire::TaskRef &Ref) {
  return absl::StrCat(Ref.jobId, ".", Ref.occurrence, ".", Ref.step, ".",
                      Ref.index);
}

std::string_view nameOf(wire::JobPhase::type Phase) {
  switch (Phase) {
  case wire::JobPhase::QUEUED:
    return "queued";
  case wire::JobPhase::RUNNING:
    return "running";
  case wire::JobPhase::COMPLETED:
    return "completed";
  case wire::JobPhase::FAILED:
    return "failed";
  case wire::JobPhase::CANCELLED:
    return "cancelled";
  }
  return "unknown";
}

std::string_view nameOf(wire::RunEndKind::type Kind) {
  switch (Kind) {
  case wire::RunEndKind::DONE:
    return "done";
  case wire::RunEndKind::FAILED:
    return "failed";
  case wire::RunEndKind::STOPPED:
    return "stopped";
  case wire::RunEndKind::LEASE_EXPIRED:
    return "lease-expired";
  case wire::RunEndKind::GANG_BROKEN:
    return "gang-broken";
  case wire::RunEndKind::GANG_INCOMPLETE:
    return "gang-incomplete";
  case wire::RunEndKind::NOT_STARTED:
    return "not-started";
  case wire::RunEndKind::WORKER_LOST:
    return "worker-lost";
  }
  return "unknown";
}

bool areDependenciesDone(const wire::JobRecord &Job,
                         const wire::OccurrenceRecord &Occurrence,
                         int32_t Step) {
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Step)];
  return std::all_of(
      Spec.dependsOn.begin(), Spec.dependsOn.end(), [&](int32_t Earlier) {
        const auto Index = static_cast<size_t>(Earlier);
        return Occurrence.steps[Index].done == Job.spec.steps[Index].tasks;
      });
}

} // namespace anvil::workload
