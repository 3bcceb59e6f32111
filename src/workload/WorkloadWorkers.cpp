#include "anvil/workload/WorkloadState.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "Results.h"

namespace anvil::workload {

using internal::resultOf;

namespace {

// Beside an agent lives one worker at a time, and an id names one worker.
bool samePlace(const wire::WorkerInfo &Left, const wire::WorkerInfo &Right) {
  return Left.agentAddress == Right.agentAddress ||
         Left.incarnation.id == Right.incarnation.id;
}

} // namespace

wire::WorkloadResult
WorkloadState::applyRegisterWorker(const wire::RegisterWorker &Command) {
  const wire::WorkerInfo &Facts = Command.info;
  if (Facts.incarnation.id.empty())
    return resultOf(wire::WorkloadStatus::INVALID, "a worker needs an id");
  std::vector<wire::WorkerIncarnation> Replaced;
  for (const auto &[Id, Record] : m_Workers)
    if (!(Record.info.incarnation == Facts.incarnation) &&
        samePlace(Record.info, Facts))
      Replaced.push_back(Record.info.incarnation);
  for (const wire::WorkerIncarnation &Life : Replaced)
    retireLife(Life, Facts.incarnation,
               "another life of the worker registered");
  for (auto &[Key, Former] : m_FormerWorkers)
    if (samePlace(Former.info, Facts))
      Former.successor = Facts.incarnation;

  wire::WorkerRecord &Record = m_Workers[Facts.incarnation.id];
  Record.info = Facts;
  Record.agentIncarnation = Command.agentIncarnation;
  Record.fencingToken = m_AppliedIndex;
  emit(WorkerChanged{
      Facts.incarnation, true,
      absl::StrCat("registered by agent ", Command.agentIncarnation)});
  wire::WorkloadResult Result = resultOf(wire::WorkloadStatus::OK);
  Result.value = m_AppliedIndex;
  return Result;
}

wire::WorkloadResult
WorkloadState::applyLoseWorker(const wire::LoseWorker &Command) {
  const bool Registered = worker(Command.incarnation) != nullptr;
  if (!Registered && !m_FormerWorkers.contains(keyOf(Command.incarnation)))
    return resultOf(wire::WorkloadStatus::UNCHANGED);
  endRunsOf(Command.incarnation, Command);
  if (Registered)
    retireLife(Command.incarnation, wire::WorkerIncarnation(), Command.reason);
  return resultOf(wire::WorkloadStatus::OK);
}

void WorkloadState::endRunsOf(const wire::WorkerIncarnation &Life,
                              const wire::LoseWorker &Command) {
  for (const WantedRun &Each : wantedRuns(Life)) {
    const auto Is = [&](const auto &Named) {
      return Named.task == Each.m_Task && Named.run == Each.m_Run;
    };
    if (std::any_of(Command.retainedRuns.begin(), Command.retainedRuns.end(),
                    Is))
      continue;
    wire::RunEnd End;
    End.task = Each.m_Task;
    End.run = Each.m_Run;
    End.kind = wire::RunEndKind::WORKER_LOST;
    End.detail = Command.reason;
    const auto Known = std::find_if(Command.lastKnownRuns.begin(),
                                    Command.lastKnownRuns.end(), Is);
    if (Known != Command.lastKnownRuns.end())
      End.checkpoint = Known->checkpoint;
    endRun(End, Life);
  }
}

// A life that still has runs is remembered until it is certain that none of
// them can start any more.
void WorkloadState::retireLife(const wire::WorkerIncarnation &Life,
                               const wire::WorkerIncarnation &Successor,
                               const std::string &Reason) {
  auto Node = m_Workers.extract(Life.id);
  if (m_RunsByLife.contains(keyOf(Life))) {
    Node.mapped().successor = Successor;
    m_FormerWorkers[keyOf(Life)] = std::move(Node.mapped());
  }
  emit(WorkerChanged{Life, false, Reason});
}

} // namespace anvil::workload
