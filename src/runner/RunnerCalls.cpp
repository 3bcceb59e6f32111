#include <algorithm>
#include <set>

#include "RunnerImpl.h"

namespace anvil::runner {

namespace {

// Maximum number of ends that a worker lists in one answer. A list of this size
// may be incomplete, so a run that is missing in it may still have ended.
constexpr size_t MaxListedEnds = 500;

// Consecutive refused connections after which the worker counts as lost. A
// single connection reset is not a loss.
constexpr int32_t RefusalsUntilLost = 2;

// Maximum number of tasks whose ended runs are remembered. Only late answers
// refer to older ones.
constexpr size_t MaxRememberedEnds = 4096;

// Minimum time left of the leader's authority to send a start order.
constexpr Duration AuthorityMargin = std::chrono::milliseconds(50);

} // namespace

CallId Runner::Impl::addCall(OutstandingCall Call) {
  Call.m_SentAt = m_Now;
  const CallId Id = m_NextCall++;
  m_Calls.emplace(Id, std::move(Call));
  return Id;
}

bool Runner::Impl::mayStartRuns() const {
  return m_Phase == Phase::Serving &&
         m_Now + AuthorityMargin < m_AuthorityEnd &&
         m_ClockReadAt != TimePoint();
}

// The worker's clock showed m_ClockMs or more when the answer arrived at
// m_ClockReadAt. The result is therefore not after the end of the authority,
// except for the rate error of the worker's clock, which the leader allows for.
int64_t Runner::Impl::leaseEndMs() const {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_AuthorityEnd - m_ClockReadAt);
  return m_ClockMs + Left.count();
}

void Runner::Impl::onCallAnswered(const CallAnswer &Answer) {
  auto Node = m_Calls.extract(Answer.m_Call);
  if (Node.empty())
    return;
  const OutstandingCall &Call = Node.mapped();
  if (Call.m_Kind == OutstandingCall::Kind::Probe) {
    onProbeAnswered(Answer);
    return;
  }
  if (Call.m_Kind == OutstandingCall::Kind::FenceNext) {
    onFenceNextAnswered();
    return;
  }
  if (Call.m_Kind == OutstandingCall::Kind::Hold)
    m_HoldOutstanding = false;
  if (m_Phase == Phase::NoWorker ||
      !(Call.m_Incarnation == m_Info.incarnation) || Call.m_Token != m_Token)
    return;
  if (Answer.m_Error != CallError::NoAnswer &&
      Answer.m_Error != CallError::Unreachable) {
    m_LastAnswerAt = m_Now;
    m_RefusedConnections = 0;
  }
  if (Answer.m_ClockMs) {
    m_ClockMs = *Answer.m_ClockMs;
    m_ClockReadAt = m_Now;
  }
  if (onCommonError(Answer, Call))
    return;
  if (Call.m_Kind == OutstandingCall::Kind::Fence) {
    onFenceAnswered(Answer);
    return;
  }
  if (Call.m_Kind == OutstandingCall::Kind::RuleOutStart) {
    onStartRuledOut(Answer, Call);
    return;
  }
  if (Call.m_Kind == OutstandingCall::Kind::Hold ||
      Call.m_Kind == OutstandingCall::Kind::Acknowledge) {
    onHoldAnswered(Answer, Call);
    return;
  }
  const auto Run = m_Runs.find(Call.m_Task);
  if (Run == m_Runs.end() || Run->second.m_Order.run != Call.m_Run)
    return;
  Run->second.m_CallOutstanding = false;
  if (Call.m_Kind == OutstandingCall::Kind::Start)
    onStartAnswered(Answer, Run->second);
  else
    onStopAnswered(Answer, Run->second);
}

// Handles errors that concern the worker as a whole rather than one call.
// Returns true if nothing is left to do.
bool Runner::Impl::onCommonError(const CallAnswer &Answer,
                                 const OutstandingCall &Call) {
  if (Answer.m_Error == CallError::OtherIncarnation ||
      (Answer.m_StartedAtMs &&
       *Answer.m_StartedAtMs != m_Info.incarnation.startedAtMs)) {
    loseWorker("another incarnation of the worker answered");
    return true;
  }
  if (Answer.m_Error == CallError::Fenced) {
    if (m_Phase != Phase::Registering)
      reregister("the worker has seen a higher fencing token");
    return true;
  }
  if (Answer.m_Error == CallError::Unreachable &&
      Call.m_Kind != OutstandingCall::Kind::Acknowledge) {
    if (++m_RefusedConnections >= RefusalsUntilLost) {
      loseWorker("the worker's address refuses connections", Call.m_SentAt);
      return true;
    }
  }
  return false;
}

// ---- holds ----

void Runner::Impl::sendHoldIfDue() {
  if (m_Phase != Phase::Serving || m_HoldOutstanding || m_Now < m_NextHold)
    return;
  const bool Busy = !m_Runs.empty() || !m_Ends.empty();
  sendHold(OutstandingCall::Kind::Hold,
           Busy ? m_Options.m_BusyHoldWait : m_Options.m_IdleHoldWait);
  m_HoldOutstanding = true;
}

// Acknowledges durable ends at once, in parallel with the hold that the worker
// delays.
void Runner::Impl::acknowledgeEnds() {
  const int64_t End = acknowledgeableEnd();
  if (m_Phase != Phase::Serving || End <= m_LastAckSent)
    return;
  m_LastAckSent = End;
  sendHold(OutstandingCall::Kind::Acknowledge, Duration(0));
}

// Returns the highest end that may be acknowledged: it and all lower ones are
// durable, and no start order can repeat their runs.
int64_t Runner::Impl::acknowledgeableEnd() const {
  int64_t End = m_LastDurableEnd;
  for (const auto &[Key, Start] : m_UnsettledStarts)
    End = std::min(End, Start.m_WorkerNumber - 1);
  return End;
}

void Runner::Impl::sendHold(OutstandingCall::Kind Kind, Duration Wait) {
  OutstandingCall Call;
  Call.m_Kind = Kind;
  Call.m_Incarnation = m_Info.incarnation;
  Call.m_Token = m_Token;
  Call.m_AcknowledgedEnd = acknowledgeableEnd();
  HoldCall Hold;
  Hold.m_Call = addCall(Call);
  Hold.m_Incarnation = m_Info.incarnation;
  Hold.m_FencingToken = m_Token;
  Hold.m_AcknowledgedEnd = Call.m_AcknowledgedEnd;
  if (mayStartRuns())
    Hold.m_LeaseEndMs = leaseEndMs();
  Hold.m_Wait = Wait;
  m_Actions.push_back(Hold);
}

void Runner::Impl::onHoldAnswered(const CallAnswer &Answer,
                                  const OutstandingCall &Call) {
  if (Call.m_Kind == OutstandingCall::Kind::Hold)
    m_NextHold = m_Now;
  if (Answer.m_Error != CallError::None) {
    if (Call.m_Kind == OutstandingCall::Kind::Hold)
      m_NextHold = m_Now + m_Options.m_RetryDelay;
    else
      m_LastAckSent = std::min(m_LastAckSent, Call.m_AcknowledgedEnd - 1);
    return;
  }
  applyLists(Answer, Call.m_SentAt);
}

void Runner::Impl::applyLists(const CallAnswer &Answer, TimePoint SentAt) {
  applyRuns(Answer);
  applyEnds(Answer.m_Ends);
  endUnlistedRuns(Answer, SentAt);
}

void Runner::Impl::applyRuns(const CallAnswer &Answer) {
  for (const ListedRun &Listed : Answer.m_Runs) {
    const TaskKey Key = keyOf(Listed.m_Task);
    // A late answer may list a run that has ended since.
    const auto Ended = m_EndedRuns.find(Key);
    if (Ended != m_EndedRuns.end() && Ended->second >= Listed.m_Run)
      continue;
    RunEntry &Run = m_Runs[Key];
    if (Run.m_Order.run > Listed.m_Run)
      continue;
    if (!Run.m_Started) {
      Run.m_Order.task = Listed.m_Task;
      Run.m_Order.run = Listed.m_Run;
      Run.m_Started = true;
      Run.m_StartedAt = m_Now;
    }
    // onCommonError() has compared the incarnation if the answer names it.
    Run.m_Listed = Run.m_Listed ||
                   (Answer.m_StartedAtMs && Run.m_Order.run == Listed.m_Run);
    Run.m_Percent = Listed.m_Percent;
    if (!Listed.m_Checkpoint.empty())
      Run.m_Checkpoint = Listed.m_Checkpoint;
  }
}

void Runner::Impl::applyEnds(const std::vector<ListedEnd> &Ends) {
  for (const ListedEnd &Listed : Ends) {
    if (Listed.m_Number <= m_LastListedEnd)
      continue;
    m_LastListedEnd = Listed.m_Number;
    RunEntry Run;
    Run.m_Order.task = Listed.m_Task;
    Run.m_Order.run = Listed.m_Run;
    const auto Known = m_Runs.find(keyOf(Listed.m_Task));
    if (Known != m_Runs.end() && Known->second.m_Order.run == Listed.m_Run)
      Run = Known->second;
    if (!Listed.m_Checkpoint.empty())
      Run.m_Checkpoint = Listed.m_Checkpoint;
    recordEnd(Run, Listed.m_Kind, "listed by the worker", Listed.m_Number);
  }
}

// Ends runs that the worker lists neither as running nor as ended. The call
// must have been sent after the run had started or could no longer start;
// otherwise its absence proves nothing.
void Runner::Impl::endUnlistedRuns(const CallAnswer &Answer, TimePoint SentAt) {
  if (Answer.m_Ends.size() >= MaxListedEnds)
    return;
  std::set<TaskKey> Listed;
  for (const ListedRun &Run : Answer.m_Runs)
    Listed.insert(keyOf(Run.m_Task));
  std::vector<RunEntry> Over;
  for (const auto &[Key, Run] : m_Runs) {
    const bool Certain =
        (Run.m_Started && Run.m_StartedAt < SentAt) ||
        (Run.m_StartRuledOut && Run.m_StartRuledOutAt < SentAt);
    if (Certain && !Listed.contains(Key))
      Over.push_back(Run);
  }
  for (const RunEntry &Run : Over) {
    if (Run.m_Started)
      recordEnd(Run, wire::RunEndKind::LEASE_EXPIRED,
                "the worker does not list it any more", 0);
    else
      recordEnd(Run, wire::RunEndKind::NOT_STARTED,
                Run.m_NotStartedReason.empty() ? "stopped before it began"
                                               : Run.m_NotStartedReason,
                0);
  }
}

void Runner::Impl::recordEnd(const RunEntry &Run, wire::RunEndKind::type Kind,
                             std::string_view Detail, int64_t WorkerNumber) {
  PendingEnd Pending;
  Pending.m_End.task = Run.m_Order.task;
  Pending.m_End.run = Run.m_Order.run;
  Pending.m_End.kind = Kind;
  Pending.m_End.checkpoint = Run.m_Checkpoint;
  Pending.m_End.detail = std::string(Detail);
  Pending.m_WorkerNumber = WorkerNumber;
  addNote("run-ended", Detail, &Run.m_Order.task, Run.m_Order.run);
  const TaskKey Key = keyOf(Run.m_Order.task);
  const bool StartMayRepeat =
      !Run.m_StartRuledOut &&
      (Run.m_Unanswered || hasOutstandingStart(Key, Run.m_Order.run));
  if (WorkerNumber > 0 && StartMayRepeat)
    m_UnsettledStarts[Key] = {Run.m_Order.task, Run.m_Order.run, WorkerNumber,
                              false, m_Now};
  int64_t &Ended = m_EndedRuns[Key];
  Ended = std::max(Ended, Run.m_Order.run);
  if (m_EndedRuns.size() > MaxRememberedEnds)
    m_EndedRuns.erase(m_EndedRuns.begin());
  const auto Known = m_Runs.find(Key);
  if (Known != m_Runs.end() && Known->second.m_Order.run <= Pending.m_End.run)
    m_Runs.erase(Known);
  m_Ends.push_back(std::move(Pending));
  m_SyncNeeded = true;
}

// ---- orders ----

void Runner::Impl::advanceRuns() {
  if (m_Phase != Phase::Serving)
    return;
  std::vector<TaskKey> Keys;
  for (const auto &[Key, Run] : m_Runs)
    if (!Run.m_CallOutstanding && Run.m_RetryAt <= m_Now)
      Keys.push_back(Key);
  for (const TaskKey &Key : Keys)
    advanceRun(m_Runs.at(Key));
}

void Runner::Impl::advanceRun(RunEntry &Run) {
  if (Run.m_StartRuledOut)
    return;
  const bool NeverSent = !Run.m_Started && !Run.m_Unanswered;
  if (Run.m_StopWanted || !Run.m_NotStartedReason.empty()) {
    if (NeverSent)
      recordEnd(RunEntry(Run), wire::RunEndKind::NOT_STARTED,
                Run.m_NotStartedReason.empty()
                    ? "stopped before it was ordered"
                    : std::string(Run.m_NotStartedReason),
                0);
    else
      sendStop(Run);
    return;
  }
  if (Run.m_Started)
    return;
  if (m_Draining) {
    // A start without an answer is not repeated: a stop rules it out, and the
    // leader places the task elsewhere.
    Run.m_NotStartedReason = "the worker is draining";
    advanceRun(Run);
    return;
  }
  sendStart(Run);
}

void Runner::Impl::sendStart(RunEntry &Run) {
  if (!mayStartRuns()) {
    Run.m_RetryAt = m_Now + m_Options.m_RetryDelay;
    return;
  }
  OutstandingCall Call;
  Call.m_Kind = OutstandingCall::Kind::Start;
  Call.m_Incarnation = m_Info.incarnation;
  Call.m_Token = m_Token;
  Call.m_Task = keyOf(Run.m_Order.task);
  Call.m_Run = Run.m_Order.run;
  StartCall Start;
  Start.m_Call = addCall(Call);
  Start.m_Incarnation = m_Info.incarnation;
  Start.m_FencingToken = m_Token;
  Start.m_Order = Run.m_Order;
  Start.m_LeaseEndMs = leaseEndMs();
  Run.m_CallOutstanding = true;
  m_Actions.push_back(std::move(Start));
}

void Runner::Impl::sendStop(RunEntry &Run) {
  Run.m_CallOutstanding = true;
  sendStopCall(OutstandingCall::Kind::Stop, Run.m_Order.task, Run.m_Order.run);
}

CallId Runner::Impl::sendStopCall(OutstandingCall::Kind Kind,
                                  const wire::TaskRef &Task, int64_t Run) {
  OutstandingCall Call;
  Call.m_Kind = Kind;
  Call.m_Incarnation = m_Info.incarnation;
  Call.m_Token = m_Token;
  Call.m_Task = keyOf(Task);
  Call.m_Run = Run;
  StopCall Stop;
  Stop.m_Call = addCall(Call);
  Stop.m_Incarnation = m_Info.incarnation;
  Stop.m_FencingToken = m_Token;
  Stop.m_Task = Task;
  Stop.m_Run = Run;
  m_Actions.push_back(Stop);
  return Stop.m_Call;
}

bool Runner::Impl::hasOutstandingStart(const TaskKey &Key, int64_t Run) const {
  return std::any_of(m_Calls.begin(), m_Calls.end(), [&](const auto &Each) {
    const OutstandingCall &Call = Each.second;
    return Call.m_Kind == OutstandingCall::Kind::Start && Call.m_Task == Key &&
           Call.m_Run == Run;
  });
}

// Stops runs that have ended already, so that the worker refuses late start
// orders for them also after it has forgotten their ends.
void Runner::Impl::ruleOutUnsettledStarts() {
  if (m_Phase != Phase::Serving)
    return;
  for (auto &[Key, Start] : m_UnsettledStarts) {
    if (Start.m_StopOutstanding || Start.m_RetryAt > m_Now)
      continue;
    Start.m_StopOutstanding = true;
    sendStopCall(OutstandingCall::Kind::RuleOutStart, Start.m_Task,
                 Start.m_Run);
  }
}

void Runner::Impl::onStartRuledOut(const CallAnswer &Answer,
                                   const OutstandingCall &Call) {
  const auto It = m_UnsettledStarts.find(Call.m_Task);
  if (It == m_UnsettledStarts.end() || It->second.m_Run != Call.m_Run)
    return;
  if (Answer.m_Error == CallError::None) {
    m_UnsettledStarts.erase(It);
    return;
  }
  It->second.m_StopOutstanding = false;
  It->second.m_RetryAt = m_Now + m_Options.m_RetryDelay;
}

void Runner::Impl::onStartAnswered(const CallAnswer &Answer, RunEntry &Run) {
  Run.m_RetryAt = m_Now + m_Options.m_RetryDelay;
  if (Answer.m_Error != CallError::None)
    addNote("start-unsuccessful", Answer.m_Detail, &Run.m_Order.task,
            Run.m_Order.run);
  switch (Answer.m_Error) {
  case CallError::None:
    if (!Run.m_Started) {
      Run.m_Started = true;
      Run.m_StartedAt = m_Now;
      // The leader learns of the start now; progress follows with the next
      // hold.
      m_SyncNeeded = true;
    }
    Run.m_RetryAt = m_Now;
    return;
  case CallError::NoAnswer:
    Run.m_Unanswered = true;
    Run.m_UnansweredAt = m_Now;
    return;
  case CallError::Superseded:
    // This run or a later one has ended; the list of ends shows which.
    Run.m_StartRuledOut = true;
    Run.m_StartRuledOutAt = m_Now;
    Run.m_NotStartedReason = "the worker says that the run is over";
    return;
  case CallError::NoRoom:
  case CallError::Rejected:
    Run.m_NotStartedReason = Answer.m_Detail;
    Run.m_RetryAt = m_Now;
    return;
  case CallError::Unhealthy:
    if (++Run.m_UnhealthyRefusals >= m_Options.m_MaxUnhealthyRefusals) {
      Run.m_NotStartedReason = Answer.m_Detail;
      Run.m_RetryAt = m_Now;
    }
    return;
  case CallError::TooLate:
  case CallError::Unreachable:
  case CallError::Fenced:
  case CallError::OtherIncarnation:
    return;
  }
}

void Runner::Impl::onStopAnswered(const CallAnswer &Answer, RunEntry &Run) {
  Run.m_RetryAt = m_Now + m_Options.m_RetryDelay;
  if (Answer.m_Error != CallError::None) {
    addNote("stop-unsuccessful", Answer.m_Detail, &Run.m_Order.task,
            Run.m_Order.run);
    return;
  }
  Run.m_StartRuledOut = true;
  Run.m_StartRuledOutAt = m_Now;
}

} // namespace anvil::runner
