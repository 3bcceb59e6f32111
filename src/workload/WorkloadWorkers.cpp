#include "anvil/workload/WorkloadState.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "Results.h"

namespace anvil::workload {

using internal::resultOf;

namespace {

// Beside an agent lives one worker at a time, and an id names one worker.
bool samePlace(const wire::WorkerFacts &Left, const wire::WorkerFacts &Right) {
  return Left.agentAddress == Right.agentAddress ||
         Left.life.id == Right.life.id;
}

} // namespace

wire::WorkloadResult
WorkloadState::applyRegisterWorker(const wire::RegisterWorker &Command) {
  const wire::WorkerFacts &Facts = Command.facts;
  if (Facts.life.id.empty())
    return resultOf(wire::WorkloadStatus::INVALID, "a worker needs an id");
  std::vector<wire::WorkerLife> Replaced;
  for (const auto &[Id, Record] : m_Workers)
    if (!(Record.facts.life == Facts.life) && samePlace(Record.facts, Facts))
      Replaced.push_back(Record.facts.life);
  for (const wire::WorkerLife &Life : Replaced)
    retireLife(Life, Facts.life, "another life of the worker registered");
  for (auto &[Key, Former] : m_FormerWorkers)
    if (samePlace(Former.facts, Facts))
      Former.successor = Facts.life;

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
  const bool Registered = worker(Command.life) != nullptr;
  if (!Registered && !m_FormerWorkers.contains(keyOf(Command.life)))
    return resultOf(wire::WorkloadStatus::UNCHANGED);
  endRunsOf(Command.life, Command);
  if (Registered)
    retireLife(Command.life, wire::WorkerLife(), Command.reason);
  return resultOf(wire::WorkloadStatus::OK);
}

void WorkloadState::endRunsOf(const wire::WorkerLife &Life,
                              const wire::LoseWorker &Command) {
  for (const WantedRun &Each : wantedRuns(Life)) {
    const auto Is = [&](const auto &Named) {
      return Named.task == Each.m_Task && Named.run == Each.m_Run;
    };
    if (std::any_of(Command.keep.begin(), Command.keep.end(), Is))
      continue;
    wire::RunEnd End;
    End.task = Each.m_Task;
    End.run = Each.m_Run;
    End.kind = wire::RunEndKind::WORKER_LOST;
    End.detail = Command.reason;
    const auto Known =
        std::find_if(Command.lastKnown.begin(), Command.lastKnown.end(), Is);
    if (Known != Command.lastKnown.end())
      End.checkpoint = Known->checkpoint;
    endRun(End, Life);
  }
}

// A life that still has runs is remembered until it is certain that none of
// them can start any more.
void WorkloadState::retireLife(const wire::WorkerLife &Life,
                               const wire::WorkerLife &Successor,
                               const std::string &Reason) {
  auto Node = m_Workers.extract(Life.id);
  if (m_RunsByLife.contains(keyOf(Life))) {
    Node.mapped().successor = Successor;
    m_FormerWorkers[keyOf(Life)] = std::move(Node.mapped());
  }
  emit(WorkerChanged{Life, false, Reason});
}

} // namespace anvil::workload
