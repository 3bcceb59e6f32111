#include "anvil/workload/WorkloadState.h"

#include "absl/strings/str_cat.h"

#include "Results.h"

namespace anvil::workload {

using internal::resultOf;

// Beside an agent lives one worker at a time, so another life at the same
// agent, or another life of the same worker, ends the former one.
wire::WorkloadResult
WorkloadState::applyRegisterWorker(const wire::RegisterWorker &Command) {
  const wire::WorkerFacts &Facts = Command.facts;
  if (Facts.life.id.empty())
    return resultOf(wire::WorkloadStatus::INVALID, "a worker needs an id");
  std::vector<wire::WorkerLife> Replaced;
  for (const auto &[Id, Record] : m_Workers) {
    const bool SameLife = Record.facts.life == Facts.life;
    const bool SamePlace = Record.facts.agentAddress == Facts.agentAddress;
    if (!SameLife && (Id == Facts.life.id || SamePlace))
      Replaced.push_back(Record.facts.life);
  }
  for (const wire::WorkerLife &Life : Replaced)
    loseLife(Life, "another life of the worker registered", {});

  wire::WorkerRecord &Record = m_Workers[Facts.life.id];
  Record.facts = Facts;
  Record.agent = Command.agent;
  Record.fencingToken = m_AppliedIndex;
  emit(WorkerChanged{Facts.life, true,
                     absl::StrCat("registered by agent ", Command.agent)});
  wire::WorkloadResult Result = resultOf(wire::WorkloadStatus::OK);
  Result.value = m_AppliedIndex;
  return Result;
}

wire::WorkloadResult
WorkloadState::applyLoseWorker(const wire::LoseWorker &Command) {
  if (!worker(Command.life))
    return resultOf(wire::WorkloadStatus::UNCHANGED);
  loseLife(Command.life, Command.reason, Command.lastKnown);
  return resultOf(wire::WorkloadStatus::OK);
}

void WorkloadState::loseLife(const wire::WorkerLife &Life,
                             const std::string &Reason,
                             const std::vector<wire::RunStatus> &LastKnown) {
  for (const WantedRun &Each : wantedRuns(Life)) {
    wire::RunEnd End;
    End.task = Each.m_Task;
    End.run = Each.m_Run;
    End.kind = wire::RunEndKind::WORKER_LOST;
    End.detail = Reason;
    for (const wire::RunStatus &Status : LastKnown)
      if (Status.task == End.task && Status.run == End.run)
        End.checkpoint = Status.checkpoint;
    endRun(End, Life);
  }
  m_Workers.erase(Life.id);
  emit(WorkerChanged{Life, false, Reason});
}

} // namespace anvil::workload
