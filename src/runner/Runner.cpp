#include "anvil/runner/Runner.h"

#include <algorithm>

#include "RunnerImpl.h"

namespace anvil::runner {

absl::StatusOr<std::unique_ptr<Runner>> Runner::create(RunnerOptions Options) {
  const auto Invalid = [](std::string_view Text) {
    return makeLayerError(absl::StatusCode::kInvalidArgument,
                          RunnerErrc::InvalidOption, Text);
  };
  if (Options.m_AgentIncarnation.empty())
    return Invalid("m_AgentIncarnation must not be empty");
  if (Options.m_LeaseSpan <= Duration(0) ||
      Options.m_MaxWorkerLease <= Duration(0))
    return Invalid("m_LeaseSpan and m_MaxWorkerLease must be positive");
  return std::unique_ptr<Runner>(
      new Runner(std::make_unique<Impl>(std::move(Options))));
}

Runner::Runner(std::unique_ptr<Impl> State) : m_Impl(std::move(State)) {}
Runner::~Runner() = default;

ActionList Runner::step(const Event &Incoming, TimePoint Now) {
  Impl &Self = *m_Impl;
  Self.m_Now = Now;
  if (const auto *Announced = std::get_if<WorkerAnnounced>(&Incoming))
    Self.onAnnounced(*Announced);
  else if (const auto *Left = std::get_if<WorkerLeft>(&Incoming))
    Self.onLeft(*Left);
  else if (const auto *Answer = std::get_if<CallAnswer>(&Incoming))
    Self.onCallAnswered(*Answer);
  else if (const auto *Answered = std::get_if<SyncAnswered>(&Incoming))
    Self.onSyncAnswered(*Answered);
  else if (const auto *Failed = std::get_if<SyncFailed>(&Incoming))
    Self.onSyncFailed(*Failed);
  Self.advanceRuns();
  Self.ruleOutUnsettledStarts();
  Self.sendHoldIfDue();
  Self.fenceNextIncarnation();
  Self.acknowledgeEnds();
  Self.syncIfDue();
  return std::exchange(Self.m_Actions, {});
}

TimePoint Runner::nextDeadline(TimePoint Now) const {
  const Impl &Self = *m_Impl;
  TimePoint Next = Now + std::chrono::seconds(1);
  if (Self.m_Phase == Phase::Serving && !Self.m_HoldOutstanding)
    Next = std::min(Next, Self.m_NextHold);
  if (Self.fencesNextIncarnation() && !Self.m_FenceNextOutstanding)
    Next = std::min(Next, Self.m_NextFenceNext);
  if (Self.m_SyncsOutstanding.empty() || Self.m_SyncNeeded)
    Next = std::min(Next, Self.m_NextSync);
  for (const auto &[Key, Run] : Self.m_Runs)
    if (!Run.m_CallOutstanding && (!Run.m_Started || Run.m_StopWanted) &&
        !Run.m_StartRuledOut)
      Next = std::min(Next, Run.m_RetryAt);
  if (Self.m_Phase == Phase::Serving)
    for (const auto &[Key, Start] : Self.m_UnsettledStarts)
      if (!Start.m_StopOutstanding)
        Next = std::min(Next, Start.m_RetryAt);
  return std::max(Next, Now + std::chrono::milliseconds(1));
}

bool Runner::serving() const { return m_Impl->m_Phase == Phase::Serving; }

TimePoint Runner::authorityEnd() const { return m_Impl->m_AuthorityEnd; }

void Runner::Impl::addNote(std::string_view EventName, std::string_view Detail,
                           const wire::TaskRef *Task, int64_t Run) {
  Note Entry;
  Entry.m_Event = std::string(EventName);
  Entry.m_Detail = std::string(Detail);
  if (Task)
    Entry.m_Task = Task->jobId + "." + std::to_string(Task->occurrence) + "." +
                   std::to_string(Task->step) + "." +
                   std::to_string(Task->index);
  Entry.m_Run = Run;
  m_Actions.push_back(std::move(Entry));
}

} // namespace anvil::runner
