#include "anvil/workload/WorkloadState.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "Results.h"
#include "anvil/base/Port.h"
#include "anvil/workload/Amounts.h"

namespace anvil::workload {

using internal::resultOf;

namespace {

wire::TaskRef taskOf(const wire::StartRuns &Command, int32_t Index) {
  wire::TaskRef Ref;
  Ref.jobId = Command.jobId;
  Ref.occurrence = Command.occurrence;
  Ref.step = Command.step;
  Ref.index = Index;
  return Ref;
}

bool hasLabel(const wire::WorkerRecord &Worker, const std::string &Label) {
  const std::vector<std::string> &Labels = Worker.info.labels;
  return Label.empty() ||
         std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

absl::Status refused(std::string_view Text) {
  return absl::FailedPreconditionError(toAbsl(Text));
}

// Returns whether a run that was given up as lost has succeeded after all: it
// ended under its lease, and only the report came late.
bool isLateSuccess(const wire::JobRecord &Job, const wire::TaskRecord &Task,
                   const wire::RunEnd &End) {
  const wire::StepSpec &Spec =
      Job.spec.steps[static_cast<size_t>(End.task.step)];
  return End.kind == wire::RunEndKind::DONE && End.run > 0 &&
         End.run == Task.lostRun && Task.phase != wire::TaskPhase::DONE &&
         !Spec.longRunning && !hasEnded(Job.phase);
}

} // namespace

// Checks what may have changed since the leader decided: the job, its tasks and
// the workers. Resources are checked by checkRoom().
absl::Status
WorkloadState::checkPlacements(const wire::JobRecord &Job,
                               const wire::StartRuns &Command) const {
  const auto Occurrence = Job.occurrences.find(Command.occurrence);
  const auto Step = static_cast<size_t>(Command.step);
  if (hasEnded(Job.phase) || Occurrence == Job.occurrences.end() ||
      Step >= Job.spec.steps.size())
    return refused("no such live step");
  if (!areDependenciesDone(Job, Occurrence->second, Command.step))
    return refused("the step waits for others");
  const wire::StepSpec &Spec = Job.spec.steps[Step];
  const wire::StepRecord &Record = Occurrence->second.steps[Step];
  if (Spec.gang &&
      (Record.active > 0 ||
       static_cast<int32_t>(Command.placements.size()) != Spec.tasks))
    return refused("a gang starts whole and after its former run");
  std::set<int32_t> Indexes;
  for (const wire::RunPlacement &Each : Command.placements) {
    const wire::TaskRecord *Task = task(taskOf(Command, Each.index));
    if (!Task || Task->phase != wire::TaskPhase::WAITING ||
        !Indexes.insert(Each.index).second)
      return refused(absl::StrCat("task ", Each.index, " does not wait"));
    const wire::WorkerRecord *Worker = worker(Each.worker);
    if (!Worker || Worker->info.serviceName != Job.serviceName)
      return refused(absl::StrCat("worker ", Each.worker.id, " is not there"));
    if (m_WithdrawnZones.contains(Worker->info.availabilityZone))
      return refused(
          absl::StrCat("worker ", Each.worker.id, " is in a withdrawn zone"));
    if (!hasLabel(*Worker, Spec.requiredLabel))
      return refused(
          absl::StrCat("worker ", Each.worker.id, " lacks the label"));
  }
  return absl::OkStatus();
}

absl::Status WorkloadState::checkRoom(const wire::StepSpec &Step,
                                      const wire::StartRuns &Command) const {
  const wire::ResourceAmounts Need = countedAmounts(Step);
  std::map<std::string, int32_t> Added;
  for (const wire::RunPlacement &Each : Command.placements)
    ++Added[Each.worker.id];
  for (const auto &[Id, Count] : Added) {
    const wire::WorkerRecord &Worker = m_Workers.at(Id);
    if (!fits(Worker.info.capacity, Worker.used, Need, Count))
      return refused(absl::StrCat("worker ", Id, " has no room"));
    if (Step.maxTasksPerWorker == 0)
      continue;
    int32_t OnWorker = Count;
    const auto Runs = m_RunsByIncarnation.find(keyOf(Worker.info.incarnation));
    if (Runs != m_RunsByIncarnation.end())
      OnWorker += static_cast<int32_t>(std::count_if(
          Runs->second.begin(), Runs->second.end(), [&](const TaskKey &Key) {
            return std::get<0>(Key) == Command.jobId &&
                   std::get<1>(Key) == Command.occurrence &&
                   std::get<2>(Key) == Command.step;
          }));
    if (OnWorker > Step.maxTasksPerWorker)
      return refused(absl::StrCat("worker ", Id, " runs enough of this step"));
  }
  return absl::OkStatus();
}

wire::WorkloadResult
WorkloadState::applyStartRuns(const wire::StartRuns &Command) {
  wire::JobRecord *Job = findJob(Command.jobId);
  if (!Job)
    return resultOf(wire::WorkloadStatus::NO_JOB, "no such job");
  absl::Status Status = checkPlacements(*Job, Command);
  if (Status.ok())
    Status =
        checkRoom(Job->spec.steps[static_cast<size_t>(Command.step)], Command);
  if (!Status.ok())
    return resultOf(wire::WorkloadStatus::INVALID, fromAbsl(Status.message()));

  // All members of a gang get the same run number, one more than the highest
  // of their earlier runs, also after an attempt of which some members never
  // got an order.
  wire::StepRecord &Step = Job->occurrences[Command.occurrence]
                               .steps[static_cast<size_t>(Command.step)];
  int64_t GangRun = 0;
  if (Job->spec.steps[static_cast<size_t>(Command.step)].gang)
    for (const wire::TaskRecord &Task : Step.tasks)
      GangRun = std::max(GangRun, Task.run + 1);
  setPhase(*Job, wire::JobPhase::RUNNING, "first task placed");
  for (const wire::RunPlacement &Each : Command.placements) {
    const int64_t Run =
        GangRun ? GangRun : Step.tasks[static_cast<size_t>(Each.index)].run + 1;
    placeRun(*Job, taskOf(Command, Each.index), Run, Each.worker,
             Command.reason);
  }
  return resultOf(wire::WorkloadStatus::OK);
}

void WorkloadState::placeRun(wire::JobRecord &Job, const wire::TaskRef &Ref,
                             int64_t Run,
                             const wire::WorkerIncarnation &Incarnation,
                             const std::string &Reason) {
  wire::StepRecord &Step =
      Job.occurrences[Ref.occurrence].steps[static_cast<size_t>(Ref.step)];
  wire::TaskRecord &Task = Step.tasks[static_cast<size_t>(Ref.index)];
  Task.phase = wire::TaskPhase::PLACED;
  Task.run = Run;
  Task.worker = Incarnation;
  ++Step.active;
  ++Job.activeRuns;
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  add(m_Workers.at(Incarnation.id).used, countedAmounts(Spec));
  m_RunsByIncarnation[keyOf(Incarnation)].emplace(Ref.jobId, Ref.occurrence,
                                                  Ref.step, Ref.index);
  emit(RunPlaced{Ref, Run, Incarnation, Reason});
}

wire::WorkloadResult
WorkloadState::applyStopRuns(const wire::StopRuns &Command) {
  for (const wire::RunRef &Each : Command.runs) {
    const wire::TaskRecord *Task = task(Each.task);
    if (Task && Task->run == Each.run)
      stopRun(Each.task, Command.reason);
  }
  return resultOf(wire::WorkloadStatus::OK);
}

void WorkloadState::stopRun(const wire::TaskRef &Ref,
                            const std::string &Reason) {
  wire::TaskRecord *Task = findTask(Ref);
  if (!Task || Task->phase != wire::TaskPhase::PLACED)
    return;
  Task->phase = wire::TaskPhase::STOPPING;
  emit(RunStopping{Ref, Task->run, Task->worker, Reason});
}

void WorkloadState::stopAllRuns(const wire::JobRecord &Job,
                                const std::string &Reason) {
  for (const auto &[Number, Occurrence] : Job.occurrences)
    for (size_t Step = 0; Step < Occurrence.steps.size(); ++Step)
      for (size_t I = 0; I < Occurrence.steps[Step].tasks.size(); ++I) {
        wire::TaskRef Ref;
        Ref.jobId = Job.id;
        Ref.occurrence = Number;
        Ref.step = static_cast<int32_t>(Step);
        Ref.index = static_cast<int32_t>(I);
        stopRun(Ref, Reason);
      }
}

wire::WorkloadResult WorkloadState::applyEndRuns(const wire::EndRuns &Command) {
  for (const wire::RunEnd &End : Command.ends)
    endRun(End, Command.worker);
  return resultOf(wire::WorkloadStatus::OK);
}

// A late order may start a run in the incarnation that replaced the intended
// one, so the successor may report the end of the run.
bool WorkloadState::mayReportFor(const wire::WorkerIncarnation &Incarnation,
                                 const wire::WorkerIncarnation &Former) const {
  const auto It = m_FormerWorkers.find(keyOf(Former));
  return It != m_FormerWorkers.end() && It->second.successor == Incarnation;
}

// Marks the task done if no run of it is placed. Otherwise stops the newer run,
// which holds its resources until it has ended; the task is done then.
void WorkloadState::acceptLateTaskSuccess(wire::JobRecord &Job,
                                          const wire::TaskRef &Ref) {
  wire::TaskRecord &Task = *findTask(Ref);
  if (Task.phase == wire::TaskPhase::WAITING) {
    markDone(Job, Ref);
    return;
  }
  if (Task.phase == wire::TaskPhase::DONE)
    return;
  Task.lostRunDone = true;
  stopRun(Ref, "an earlier run of it was done");
}

void WorkloadState::acceptLateSuccess(wire::JobRecord &Job,
                                      const wire::TaskRef &Ref) {
  const wire::StepSpec &Spec = Job.spec.steps[static_cast<size_t>(Ref.step)];
  if (!Spec.gang) {
    acceptLateTaskSuccess(Job, Ref);
    return;
  }
  // The success of one member stands for all.
  for (int32_t I = 0; I < Spec.tasks; ++I) {
    wire::TaskRef Member = Ref;
    Member.index = I;
    acceptLateTaskSuccess(Job, Member);
  }
}

// Processes the reported end of a run. The late success of a run that was given
// up as lost counts although the run is no longer current. Any other report
// counts only for the current run of the task, and only from the incarnation
// that the run was placed on or from the successor of that incarnation.
void WorkloadState::endRun(const wire::RunEnd &End,
                           const wire::WorkerIncarnation &Incarnation) {
  wire::JobRecord *Job = findJob(End.task.jobId);
  wire::TaskRecord *Task = findTask(End.task);
  if (!Job || !Task)
    return;
  if (isLateSuccess(*Job, *Task, End)) {
    if (Task->phase == wire::TaskPhase::WAITING)
      emit(RunEnded{End.task, End.run, Incarnation, End.kind,
                    "reported after it was given up"});
    acceptLateSuccess(*Job, End.task);
    finishOccurrenceIfDone(*Job, End.task.occurrence);
    retireIfOver(*Job);
    return;
  }
  if (!isActive(*Task) || Task->run != End.run ||
      (!(Task->worker == Incarnation) &&
       !mayReportFor(Incarnation, Task->worker)))
    return;
  const wire::StepSpec &Spec =
      Job->spec.steps[static_cast<size_t>(End.task.step)];
  if (!End.checkpoint.empty())
    Task->checkpoint = End.checkpoint;
  if (End.kind == wire::RunEndKind::WORKER_LOST)
    Task->lostRun = End.run;
  emit(RunEnded{End.task, End.run, Incarnation, End.kind, End.detail});

  const bool EarlierRunDone = Task->lostRunDone;
  const bool Done = EarlierRunDone ||
                    (End.kind == wire::RunEndKind::DONE && !Spec.longRunning);
  if (Spec.gang && Done && !EarlierRunDone)
    finishGang(*Job, End.task);
  else if (Done)
    finishTask(*Job, End.task);
  else if (Spec.gang)
    breakGang(*Job, End.task, End);
  else
    releaseRun(*Job, End.task, *Task);
  if (End.kind == wire::RunEndKind::FAILED && !EarlierRunDone)
    countFailure(*Job, End);
  if (Done && !hasEnded(Job->phase))
    finishOccurrenceIfDone(*Job, End.task.occurrence);
  retireIfOver(*Job);
}

void WorkloadState::releaseRun(wire::JobRecord &Job, const wire::TaskRef &Ref,
                               wire::TaskRecord &Task) {
  const auto StepIndex = static_cast<size_t>(Ref.step);
  const IncarnationKey Incarnation = keyOf(Task.worker);
  if (worker(Task.worker))
    subtract(m_Workers.at(Incarnation.first).used,
             countedAmounts(Job.spec.steps[StepIndex]));
  std::set<TaskKey> &Runs = m_RunsByIncarnation[Incarnation];
  Runs.erase({Ref.jobId, Ref.occurrence, Ref.step, Ref.index});
  if (Runs.empty()) {
    m_RunsByIncarnation.erase(Incarnation);
    m_FormerWorkers.erase(Incarnation);
  }
  --Job.activeRuns;
  --Job.occurrences[Ref.occurrence].steps[StepIndex].active;
  Task.phase = wire::TaskPhase::WAITING;
  Task.worker = wire::WorkerIncarnation();
}

void WorkloadState::finishTask(wire::JobRecord &Job, const wire::TaskRef &Ref) {
  releaseRun(Job, Ref, *findTask(Ref));
  markDone(Job, Ref);
}

void WorkloadState::markDone(wire::JobRecord &Job, const wire::TaskRef &Ref) {
  wire::OccurrenceRecord &Occurrence = Job.occurrences[Ref.occurrence];
  const auto StepIndex = static_cast<size_t>(Ref.step);
  wire::StepRecord &Step = Occurrence.steps[StepIndex];
  wire::TaskRecord &Task = Step.tasks[static_cast<size_t>(Ref.index)];
  Task.phase = wire::TaskPhase::DONE;
  Task.checkpoint.clear();
  Task.lostRunDone = false;
  ++Step.done;
  if (Step.done == Job.spec.steps[StepIndex].tasks)
    ++Occurrence.stepsDone;
}

// The members of a gang end together, so the report of one stands for all,
// including members whose worker can't report any more.
void WorkloadState::finishGang(wire::JobRecord &Job, const wire::TaskRef &Ref) {
  const size_t Count = Job.occurrences[Ref.occurrence]
                           .steps[static_cast<size_t>(Ref.step)]
                           .tasks.size();
  for (size_t I = 0; I < Count; ++I) {
    wire::TaskRef Member = Ref;
    Member.index = static_cast<int32_t>(I);
    const wire::TaskRecord *Task = task(Member);
    if (isActive(*Task)) {
      finishTask(Job, Member);
      continue;
    }
    // The run of this member ended without success, by an earlier report.
    markDone(Job, Member);
  }
}

void WorkloadState::breakGang(wire::JobRecord &Job, const wire::TaskRef &Ref,
                              const wire::RunEnd &End) {
  wire::StepRecord &Step =
      Job.occurrences[Ref.occurrence].steps[static_cast<size_t>(Ref.step)];
  releaseRun(Job, Ref, Step.tasks[static_cast<size_t>(Ref.index)]);
  for (size_t I = 0; I < Step.tasks.size(); ++I) {
    // All members continue from the same checkpoint.
    if (!End.checkpoint.empty())
      Step.tasks[I].checkpoint = End.checkpoint;
    wire::TaskRef Member = Ref;
    Member.index = static_cast<int32_t>(I);
    stopRun(Member, "another member of the gang ended");
  }
}

} // namespace anvil::workload
