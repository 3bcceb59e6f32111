#include "anvil/workload/WorkloadState.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

#include "Results.h"

namespace anvil::workload {

using internal::resultOf;

namespace {

// An agent has one worker at a time, and an id names one worker, so a new
// registration replaces workers that share either.
bool sharesAgentOrId(const wire::WorkerInfo &Left,
                     const wire::WorkerInfo &Right) {
  return Left.agentAddress == Right.agentAddress ||
         Left.incarnation.id == Right.incarnation.id;
}

} // namespace

wire::WorkloadResult
WorkloadState::applyRegisterWorker(const wire::RegisterWorker &Command) {
  const wire::WorkerInfo &Info = Command.info;
  if (Info.incarnation.id.empty())
    return resultOf(wire::WorkloadStatus::INVALID, "a worker needs an id");
  std::vector<wire::WorkerIncarnation> Replaced;
  for (const auto &[Id, Record] : m_Workers)
    if (!(Record.info.incarnation == Info.incarnation) &&
        sharesAgentOrId(Record.info, Info))
      Replaced.push_back(Record.info.incarnation);
  for (const wire::WorkerIncarnation &Incarnation : Replaced)
    retireIncarnation(Incarnation, Info.incarnation,
                      "another life of the worker registered");
  for (auto &[Key, Former] : m_FormerWorkers)
    if (sharesAgentOrId(Former.info, Info))
      Former.successor = Info.incarnation;

  wire::WorkerRecord &Record = m_Workers[Info.incarnation.id];
  Record.info = Info;
  Record.agentIncarnation = Command.agentIncarnation;
  Record.fencingToken = m_AppliedIndex;
  emit(WorkerChanged{
      Info.incarnation, true,
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
    retireIncarnation(Command.incarnation, wire::WorkerIncarnation(),
                      Command.reason);
  return resultOf(wire::WorkloadStatus::OK);
}

void WorkloadState::endRunsOf(const wire::WorkerIncarnation &Incarnation,
                              const wire::LoseWorker &Command) {
  for (const WantedRun &Each : wantedRuns(Incarnation)) {
    const auto Matches = [&](const auto &Named) {
      return Named.task == Each.m_Task && Named.run == Each.m_Run;
    };
    if (std::any_of(Command.retainedRuns.begin(), Command.retainedRuns.end(),
                    Matches))
      continue;
    wire::RunEnd End;
    End.task = Each.m_Task;
    End.run = Each.m_Run;
    End.kind = wire::RunEndKind::WORKER_LOST;
    End.detail = Command.reason;
    const auto Known = std::find_if(Command.lastKnownRuns.begin(),
                                    Command.lastKnownRuns.end(), Matches);
    if (Known != Command.lastKnownRuns.end())
      End.checkpoint = Known->checkpoint;
    endRun(End, Incarnation);
  }
}

// An incarnation that still has runs is kept until it is certain that none of
// them can start any more.
void WorkloadState::retireIncarnation(
    const wire::WorkerIncarnation &Incarnation,
    const wire::WorkerIncarnation &Successor, const std::string &Reason) {
  auto Node = m_Workers.extract(Incarnation.id);
  if (m_RunsByIncarnation.contains(keyOf(Incarnation))) {
    Node.mapped().successor = Successor;
    m_FormerWorkers[keyOf(Incarnation)] = std::move(Node.mapped());
  }
  emit(WorkerChanged{Incarnation, false, Reason});
}

} // namespace anvil::workload
