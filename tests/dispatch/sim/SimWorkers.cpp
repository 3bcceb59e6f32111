#include "SimWorkers.h"

#include <algorithm>
#include <cmath>

#include "anvil/workload/Amounts.h"

namespace anvil::sim {

using runner::CallAnswer;
using runner::CallError;

namespace {

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration durationOf(double Seconds) {
  return Duration(std::llround(Seconds * 1e6));
}

// Work that a task does before it fails on a worker with m_FailsEverything.
constexpr Duration WorkUntilForcedFailure = std::chrono::milliseconds(50);

double decodeCheckpoint(const std::string &Text) {
  return Text.empty() ? 0 : std::stod(Text);
}

} // namespace

// ---- one worker ----

int64_t SimWorker::clockMs() const {
  return static_cast<int64_t>(
             secondsOf(m_Parent.m_Queue.now() - m_IncarnationStartedAt) *
             m_ClockRate * 1000) +
         5'000;
}

CallAnswer SimWorker::answer(runner::CallId Call, CallError Error) const {
  CallAnswer Answer;
  Answer.m_Call = Call;
  Answer.m_Error = Error;
  Answer.m_ClockMs = clockMs();
  return Answer;
}

bool SimWorker::acceptsToken(int64_t Token) {
  if (Token < m_Token)
    return false;
  m_Token = Token;
  return true;
}

void SimWorker::extendLease(int64_t EndMs) {
  const double Left =
      static_cast<double>(EndMs - clockMs()) / 1000 / m_ClockRate;
  const TimePoint Now = m_Parent.m_Queue.now();
  const TimePoint Longest =
      Now +
      durationOf(secondsOf(m_Parent.m_WorkerOptions.m_MaxLease) / m_ClockRate);
  m_LeaseEnd = std::max(m_LeaseEnd, std::min(Now + durationOf(Left), Longest));
  const uint64_t Generation = ++m_LeaseGeneration;
  m_Parent.m_Queue.at(m_LeaseEnd,
                      [this, Generation] { checkLease(Generation); });
}

void SimWorker::checkLease(uint64_t Generation) {
  if (!m_Up || Generation != m_LeaseGeneration)
    return;
  m_LeaseExpiredAt = m_Parent.m_Queue.now();
  while (!m_Runs.empty())
    finish(m_Runs.begin()->first, wire::RunEndKind::LEASE_EXPIRED);
}

bool SimWorker::fits(const wire::StepSpec &Step) const {
  wire::ResourceAmounts Used;
  for (const auto &[Key, Run] : m_Runs) {
    const JobPlan *Plan = m_Parent.planOf(Run.m_Task.jobId);
    workload::add(
        Used, workload::countedAmounts(
                  Plan->m_Spec.steps[static_cast<size_t>(Run.m_Task.step)]));
  }
  return workload::fits(m_Info.capacity, Used, workload::countedAmounts(Step));
}

void SimWorker::acknowledge(int64_t Number) {
  // An end does not count if the lease expired before it was acknowledged,
  // since its run may have been placed elsewhere in the meantime.
  for (const runner::ListedEnd &End : m_Ends)
    if (End.m_Number <= Number && End.m_Number > m_LastAcknowledgedEnd &&
        m_EndedAt[End.m_Number] > m_LeaseExpiredAt)
      m_Parent.m_Checker.endAcknowledged(End.m_Task, End.m_Run, End.m_Kind);
  m_LastAcknowledgedEnd = std::max(m_LastAcknowledgedEnd, Number);
  std::erase_if(m_Ends, [&](const runner::ListedEnd &End) {
    return End.m_Number <= m_LastAcknowledgedEnd;
  });
}

// Only lists name the incarnation that made them; answers to starts and stops
// do not.
void SimWorker::appendLists(CallAnswer &Answer) const {
  Answer.m_StartedAtMs = m_Info.incarnation.startedAtMs;
  for (const auto &[Key, Run] : m_Runs) {
    runner::ListedRun Listed;
    Listed.m_Task = Run.m_Task;
    Listed.m_Run = Run.m_Run;
    Listed.m_Checkpoint = checkpointOf(Run);
    Listed.m_Percent = static_cast<int32_t>(
        std::min(100.0, 100 * progressOf(Run) / std::max(Run.m_Work, 1e-3)));
    Answer.m_Runs.push_back(Listed);
  }
  Answer.m_Ends = m_Ends;
}

void SimWorker::hold(const runner::HoldCall &Call,
                     std::function<void(CallAnswer)> Done) {
  if (Call.m_Incarnation.id != m_Info.incarnation.id) {
    Done(answer(Call.m_Call, CallError::OtherIncarnation));
    return;
  }
  if (m_RefusesCalls) {
    Done(answer(Call.m_Call, CallError::Unhealthy));
    return;
  }
  if (!acceptsToken(Call.m_FencingToken)) {
    Done(answer(Call.m_Call, CallError::Fenced));
    return;
  }
  acknowledge(Call.m_AcknowledgedEnd);
  if (Call.m_LeaseEndMs)
    extendLease(*Call.m_LeaseEndMs);
  const auto Waiting = std::make_shared<WaitingHold>();
  Waiting->m_Call = Call;
  Waiting->m_Done = std::move(Done);
  m_Holds.push_back(Waiting);
  if (Call.m_Wait <= Duration(0) || !m_Ends.empty()) {
    answerHolds();
    return;
  }
  m_Parent.m_Queue.after(Call.m_Wait, [this, Waiting] {
    const auto It = std::find(m_Holds.begin(), m_Holds.end(), Waiting);
    if (It == m_Holds.end())
      return;
    m_Holds.erase(It);
    CallAnswer Answer = answer(Waiting->m_Call.m_Call, CallError::None);
    appendLists(Answer);
    Waiting->m_Done(Answer);
  });
}

void SimWorker::answerHolds() {
  const auto Holds = std::exchange(m_Holds, {});
  for (const auto &Waiting : Holds) {
    CallAnswer Answer = answer(Waiting->m_Call.m_Call, CallError::None);
    appendLists(Answer);
    Waiting->m_Done(Answer);
  }
}

CallAnswer SimWorker::start(const runner::StartCall &Call) {
  if (Call.m_Incarnation.id != m_Info.incarnation.id)
    return answer(Call.m_Call, CallError::OtherIncarnation);
  if (m_RefusesCalls)
    return answer(Call.m_Call, CallError::Unhealthy);
  if (!acceptsToken(Call.m_FencingToken))
    return answer(Call.m_Call, CallError::Fenced);
  if (Call.m_LeaseEndMs <= clockMs())
    return answer(Call.m_Call, CallError::TooLate);
  extendLease(Call.m_LeaseEndMs);
  const TaskKey Key = keyOf(Call.m_Order.task);
  const auto Known = m_Runs.find(Key);
  if (Known != m_Runs.end() && Known->second.m_Run == Call.m_Order.run)
    return answer(Call.m_Call, CallError::None);
  if (Known != m_Runs.end() || m_HighestClosedRun[Key] >= Call.m_Order.run)
    return answer(Call.m_Call, CallError::Superseded);
  const JobPlan *Plan = m_Parent.planOf(Call.m_Order.task.jobId);
  const auto Step = static_cast<size_t>(Call.m_Order.task.step);
  if (!Plan)
    return answer(Call.m_Call, CallError::Rejected);
  if (!fits(Plan->m_Spec.steps[Step]))
    return answer(Call.m_Call, CallError::NoRoom);
  Run New;
  New.m_Task = Call.m_Order.task;
  New.m_Run = Call.m_Order.run;
  New.m_Checkpoint = Call.m_Order.checkpoint;
  New.m_Saved = decodeCheckpoint(Call.m_Order.checkpoint);
  New.m_Progress = New.m_Saved;
  // A restore takes time, which counts as work that is still to be done.
  if (!New.m_Checkpoint.empty())
    New.m_Progress -= secondsOf(m_Parent.m_WorkerOptions.m_RestoreTime);
  New.m_Work = secondsOf(
      Plan->m_Work[Step][static_cast<size_t>(Call.m_Order.task.index)]);
  New.m_Fails = Plan->m_AlwaysFails || m_FailsEverything ||
                m_Parent.m_Random.chance(Plan->m_FailShare);
  // A task that fails by its own fault fails half way; on a worker with
  // m_FailsEverything it fails almost at once.
  New.m_FailsAfter =
      m_FailsEverything ? secondsOf(WorkUntilForcedFailure) : New.m_Work / 2;
  New.m_Since = m_Parent.m_Queue.now();
  New.m_StartedAt = New.m_Since;
  m_Runs[Key] = New;
  m_Parent.m_Checker.runStarted(New.m_Task, New.m_Run, m_Parent.m_Queue.now());
  m_Parent.onStarted(*this, Key);
  return answer(Call.m_Call, CallError::None);
}

CallAnswer SimWorker::stop(const runner::StopCall &Call) {
  if (Call.m_Incarnation.id != m_Info.incarnation.id)
    return answer(Call.m_Call, CallError::OtherIncarnation);
  if (m_RefusesCalls)
    return answer(Call.m_Call, CallError::Unhealthy);
  if (!acceptsToken(Call.m_FencingToken))
    return answer(Call.m_Call, CallError::Fenced);
  const TaskKey Key = keyOf(Call.m_Task);
  int64_t &Highest = m_HighestClosedRun[Key];
  Highest = std::max(Highest, Call.m_Run);
  const auto Known = m_Runs.find(Key);
  if (Known == m_Runs.end() || Known->second.m_Run > Call.m_Run ||
      Known->second.m_Stopping)
    return answer(Call.m_Call, CallError::None);
  Known->second.m_Stopping = true;
  const int64_t Run = Known->second.m_Run;
  const int64_t StartedAtMs = m_Info.incarnation.startedAtMs;
  m_Parent.m_Queue.after(m_Parent.m_WorkerOptions.m_StopTime,
                         [this, Key, Run, StartedAtMs] {
                           const auto It = m_Runs.find(Key);
                           if (m_Info.incarnation.startedAtMs == StartedAtMs &&
                               It != m_Runs.end() && It->second.m_Run == Run)
                             finish(Key, wire::RunEndKind::STOPPED);
                         });
  return answer(Call.m_Call, CallError::None);
}

double SimWorker::progressOf(const Run &TaskRun) const {
  return TaskRun.m_Progress +
         TaskRun.m_Rate * secondsOf(m_Parent.m_Queue.now() - TaskRun.m_Since);
}

void SimWorker::setRate(Run &TaskRun, double Rate) {
  TaskRun.m_Progress = progressOf(TaskRun);
  TaskRun.m_Since = m_Parent.m_Queue.now();
  TaskRun.m_Rate = Rate;
  ++TaskRun.m_Generation;
}

std::string SimWorker::checkpointOf(const Run &TaskRun) const {
  const JobPlan *Plan = m_Parent.planOf(TaskRun.m_Task.jobId);
  const wire::StepSpec &Step =
      Plan->m_Spec.steps[static_cast<size_t>(TaskRun.m_Task.step)];
  if (!Step.checkpointing)
    return "";
  const double Interval =
      secondsOf(m_Parent.m_WorkerOptions.m_CheckpointInterval);
  const double Saved = std::floor(progressOf(TaskRun) / Interval) * Interval;
  return Saved > TaskRun.m_Saved ? std::to_string(Saved) : TaskRun.m_Checkpoint;
}

void SimWorker::finish(const TaskKey &Key, wire::RunEndKind::type Kind) {
  Run Ended = m_Runs.at(Key);
  const JobPlan &Plan = *m_Parent.planOf(Ended.m_Task.jobId);
  const wire::StepSpec &Step =
      Plan.m_Spec.steps[static_cast<size_t>(Ended.m_Task.step)];
  runner::ListedEnd End;
  End.m_Task = Ended.m_Task;
  End.m_Run = Ended.m_Run;
  End.m_Kind = Kind;
  // A stop saves all progress of a task that writes checkpoints.
  if (Kind == wire::RunEndKind::STOPPED && Step.checkpointing &&
      progressOf(Ended) > Ended.m_Saved)
    End.m_Checkpoint = std::to_string(progressOf(Ended));
  else
    End.m_Checkpoint = checkpointOf(Ended);
  if (Kind != wire::RunEndKind::DONE) {
    const double Kept = decodeCheckpoint(End.m_Checkpoint);
    const double Cores =
        Step.perTask.milliCores / 1000.0 + 8.0 * Step.perTask.accelerators;
    m_Parent.m_Checker.m_WastedCoreSeconds +=
        Cores * std::max(0.0, progressOf(Ended) - Kept);
  }
  End.m_Number = m_NextEnd++;
  m_EndedAt[End.m_Number] = m_Parent.m_Queue.now();
  m_Ends.push_back(End);
  int64_t &Highest = m_HighestClosedRun[Key];
  Highest = std::max(Highest, Ended.m_Run);
  m_Runs.erase(Key);
  m_Parent.m_Checker.runEnded(Ended.m_Task, Ended.m_Run, Kind,
                              m_Parent.m_Queue.now());
  if (Step.gang)
    m_Parent.breakGang(Ended, Step, Kind);
  answerHolds();
}

void SimWorker::crash() {
  m_Up = false;
  ++m_LeaseGeneration;
  const auto Runs = std::exchange(m_Runs, {});
  m_Holds.clear();
  m_Ends.clear();
  for (const auto &[Key, Run] : Runs) {
    const JobPlan &Plan = *m_Parent.planOf(Run.m_Task.jobId);
    const wire::StepSpec &Step =
        Plan.m_Spec.steps[static_cast<size_t>(Run.m_Task.step)];
    m_Parent.m_Checker.runEnded(Run.m_Task, Run.m_Run,
                                wire::RunEndKind::WORKER_LOST,
                                m_Parent.m_Queue.now());
    if (Step.gang)
      m_Parent.breakGang(Run, Step, wire::RunEndKind::WORKER_LOST);
  }
}

void SimWorker::restart(std::optional<std::string> NewId) {
  m_Up = true;
  m_IncarnationStartedAt = m_Parent.m_Queue.now();
  m_Info.incarnation.startedAtMs = microsOf(m_IncarnationStartedAt) / 1000;
  if (NewId)
    m_Info.incarnation.id = *NewId;
  m_Token = 0;
  m_LeaseEnd = TimePoint();
  m_LeaseExpiredAt = TimePoint();
  m_HighestClosedRun.clear();
  m_NextEnd = 1;
  m_LastAcknowledgedEnd = 0;
}

void SimWorker::setSpeed(double Speed) {
  const double Before = m_Speed;
  m_Speed = Speed;
  for (auto &[Key, Run] : m_Runs) {
    if (Run.m_Rate == 0)
      continue;
    setRate(Run, Run.m_Rate / Before * Speed);
    m_Parent.scheduleFinish(*this, Key);
  }
}

// ---- all workers ----

SimWorker &SimWorkers::add(wire::WorkerInfo Info, double ClockRate) {
  m_Workers.push_back(
      std::make_unique<SimWorker>(*this, std::move(Info), ClockRate));
  m_Workers.back()->restart(std::nullopt);
  return *m_Workers.back();
}

const JobPlan *SimWorkers::planOf(const std::string &Job) const {
  const auto It = m_Plans.find(Job);
  return It == m_Plans.end() ? nullptr : It->second;
}

double SimWorkers::rateOf(const SimWorker &Worker,
                          const wire::StepSpec &Step) const {
  const bool Remote =
      !Step.dataRack.empty() && Step.dataRack != Worker.m_Info.rack;
  return Worker.m_Speed / (Remote ? m_WorkerOptions.m_RemotePenalty : 1);
}

void SimWorkers::onStarted(SimWorker &Worker, const TaskKey &Key) {
  SimWorker::Run &Run = Worker.m_Runs.at(Key);
  const wire::StepSpec &Step =
      planOf(Run.m_Task.jobId)
          ->m_Spec.steps[static_cast<size_t>(Run.m_Task.step)];
  if (!Step.gang) {
    Worker.setRate(Run, rateOf(Worker, Step));
    scheduleFinish(Worker, Key);
    return;
  }
  const GangKey Gang{Run.m_Task.jobId, Run.m_Task.occurrence, Run.m_Task.step,
                     Run.m_Run};
  m_Gangs[Gang][Run.m_Task.index] = &Worker;
  startGangIfWhole(Gang, Step);
  const int64_t Number = Run.m_Run;
  m_Queue.after(m_WorkerOptions.m_GangTimeout, [&Worker, Key, Number] {
    const auto It = Worker.m_Runs.find(Key);
    if (It != Worker.m_Runs.end() && It->second.m_Run == Number &&
        It->second.m_Rate == 0)
      Worker.finish(Key, wire::RunEndKind::GANG_INCOMPLETE);
  });
}

void SimWorkers::startGangIfWhole(const GangKey &Key,
                                  const wire::StepSpec &Step) {
  const std::map<int32_t, SimWorker *> Members = m_Gangs[Key];
  if (static_cast<int32_t>(Members.size()) < Step.tasks)
    return;
  double Rate = 1e9;
  std::set<std::string> Racks;
  for (const auto &[Index, Worker] : Members) {
    Rate = std::min(Rate, rateOf(*Worker, Step));
    Racks.insert(Worker->m_Info.rack);
  }
  if (Step.rackLocal && Racks.size() > 1)
    Rate /= m_WorkerOptions.m_RemotePenalty;
  for (const auto &[Index, Worker] : Members) {
    const TaskKey Task{std::get<0>(Key), std::get<1>(Key), std::get<2>(Key),
                       Index};
    const auto Run = Worker->m_Runs.find(Task);
    if (Run == Worker->m_Runs.end())
      continue;
    Worker->setRate(Run->second, Rate);
    scheduleFinish(*Worker, Task);
  }
}

// A gang ends as a whole: with success for all members, or with GANG_BROKEN for
// the others.
void SimWorkers::breakGang(const SimWorker::Run &Ended, const wire::StepSpec &,
                           wire::RunEndKind::type Kind) {
  const GangKey Key{Ended.m_Task.jobId, Ended.m_Task.occurrence,
                    Ended.m_Task.step, Ended.m_Run};
  auto Node = m_Gangs.extract(Key);
  if (Node.empty())
    return;
  const wire::RunEndKind::type Others = Kind == wire::RunEndKind::DONE
                                            ? wire::RunEndKind::DONE
                                            : wire::RunEndKind::GANG_BROKEN;
  for (const auto &[Index, Worker] : Node.mapped()) {
    const TaskKey Task{std::get<0>(Key), std::get<1>(Key), std::get<2>(Key),
                       Index};
    const auto Run = Worker->m_Runs.find(Task);
    if (Run != Worker->m_Runs.end() && Run->second.m_Run == Ended.m_Run)
      Worker->finish(Task, Others);
  }
}

void SimWorkers::scheduleFinish(SimWorker &Worker, const TaskKey &Key) {
  SimWorker::Run &Run = Worker.m_Runs.at(Key);
  const wire::StepSpec &Step =
      planOf(Run.m_Task.jobId)
          ->m_Spec.steps[static_cast<size_t>(Run.m_Task.step)];
  // A task that lasts runs until it is stopped.
  if (Run.m_Rate <= 0 || (Step.longRunning && !Run.m_Fails))
    return;
  const double Until =
      Run.m_Fails ? std::min(Run.m_FailsAfter, Run.m_Work) : Run.m_Work;
  const double Left = std::max(0.0, Until - Run.m_Progress) / Run.m_Rate;
  const uint64_t Generation = ++Run.m_Generation;
  const int64_t Number = Run.m_Run;
  m_Queue.after(durationOf(Left), [&Worker, Key, Generation, Number] {
    const auto It = Worker.m_Runs.find(Key);
    if (It == Worker.m_Runs.end() || It->second.m_Run != Number ||
        It->second.m_Generation != Generation)
      return;
    Worker.finish(Key, It->second.m_Fails ? wire::RunEndKind::FAILED
                                          : wire::RunEndKind::DONE);
  });
}

} // namespace anvil::sim
