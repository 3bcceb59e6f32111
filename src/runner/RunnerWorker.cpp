#include "RunnerImpl.h"

namespace anvil::runner {

namespace {

// Time after which an order that got no answer is not carried out any more.
constexpr Duration MaxOrderDelay = std::chrono::seconds(30);

// Time between two calls that fence the next incarnation of a worker.
constexpr Duration FenceNextInterval = std::chrono::milliseconds(50);

} // namespace

void Runner::Impl::onAnnounced(const WorkerAnnounced &Event) {
  if (Event.m_Info.incarnation.id.empty())
    return;
  if (m_Phase == Phase::NoWorker ||
      !(Event.m_Info.incarnation == m_Info.incarnation)) {
    probe(Event.m_Info);
    return;
  }
  if (Event.m_Draining) {
    m_LeavesAt = m_Now + Event.m_Remaining;
    if (!m_Draining)
      addNote("worker-draining",
              std::to_string(Event.m_Remaining.count() / 1000) + " ms remain");
    m_SyncNeeded = m_SyncNeeded || !m_Draining;
    m_Draining = true;
  }
}

// The worker's process exits right after it deregisters. The closed port then
// proves that nothing runs there any more, so the next hold is due at once.
void Runner::Impl::onLeft(const WorkerLeft &Event) {
  if (m_Phase == Phase::NoWorker || Event.m_Id != m_Info.incarnation.id)
    return;
  m_Draining = true;
  m_LeavesAt = m_Now;
  m_SyncNeeded = true;
  m_NextHold = m_Now;
  addNote("worker-left", "the worker deregistered");
}

// A late announcement may come from an earlier incarnation, so the worker is
// asked for its incarnation before it is registered.
void Runner::Impl::probe(const wire::WorkerInfo &Info) {
  if (m_Candidate)
    return;
  m_Candidate = Info;
  // This incarnation then refuses late orders to earlier ones.
  sendFence(OutstandingCall::Kind::Probe, Info.incarnation,
            m_HighestOrderToken > 0 ? nextIncarnationToken() : 0);
}

// Sends a hold that only raises the fencing token and asks for the lists.
void Runner::Impl::sendFence(OutstandingCall::Kind Kind,
                             const wire::WorkerIncarnation &Incarnation,
                             int64_t Token) {
  OutstandingCall Call;
  Call.m_Kind = Kind;
  Call.m_Incarnation = Incarnation;
  Call.m_Token = Token;
  HoldCall Hold;
  Hold.m_Call = addCall(Call);
  Hold.m_Incarnation = Incarnation;
  Hold.m_FencingToken = Token;
  m_Actions.push_back(Hold);
}

bool Runner::Impl::fencesNextIncarnation() const {
  return m_Phase == Phase::NoWorker && m_HighestOrderToken > 0 &&
         m_Now < m_FenceNextUntil;
}

// An incarnation that has just begun has seen no token, so it would carry out
// late orders to the former one under the same id. Its first announcement may
// take seconds, so the worker's address is called until a worker announces
// itself.
void Runner::Impl::fenceNextIncarnation() {
  if (!fencesNextIncarnation() || m_FenceNextOutstanding ||
      m_Now < m_NextFenceNext)
    return;
  m_FenceNextOutstanding = true;
  sendFence(OutstandingCall::Kind::FenceNext, m_Info.incarnation,
            nextIncarnationToken());
}

// The calls go on after an answer: the incarnation that gave it may end before
// it announces itself.
void Runner::Impl::onFenceNextAnswered() {
  m_FenceNextOutstanding = false;
  m_NextFenceNext = m_Now + FenceNextInterval;
}

void Runner::Impl::onProbeAnswered(const CallAnswer &Answer) {
  const wire::WorkerInfo Info = *std::exchange(m_Candidate, std::nullopt);
  const bool Answered = Answer.m_Error == CallError::None ||
                        Answer.m_Error == CallError::Fenced ||
                        Answer.m_Error == CallError::Unhealthy;
  if (!Answered || (Answer.m_StartedAtMs &&
                    *Answer.m_StartedAtMs != Info.incarnation.startedAtMs)) {
    addNote("announcement-dropped",
            Info.incarnation.id + " did not confirm the announcement");
    return;
  }
  if (m_Phase != Phase::NoWorker && m_Info.incarnation == Info.incarnation)
    return;
  adoptWorker(Info);
}

void Runner::Impl::adoptWorker(const wire::WorkerInfo &Info) {
  if (m_Phase != Phase::NoWorker)
    loseWorker("another incarnation of the worker answered");
  m_Info = Info;
  m_Info.agentAddress = m_Options.m_Address;
  m_Phase = Phase::Registering;
  m_Token = 0;
  m_Draining = false;
  m_LastListedEnd = 0;
  m_LastDurableEnd = 0;
  m_LastAckSent = 0;
  m_EndedRuns.clear();
  m_LastAnswerAt = m_Now;
  m_RefusedConnections = 0;
  m_SyncNeeded = true;
  addNote("worker-found", Info.incarnation.id);
}

// Orders with the previous token are void, and the leader may have placed the
// runs on another worker. The list of runs is read again with the next token.
void Runner::Impl::reregister(std::string_view Reason) {
  addNote("registering", Reason);
  m_Phase = Phase::Registering;
  m_Token = 0;
  m_SyncNeeded = true;
}

// Returns whether a start order of the run may still be in flight. No other
// call can bring a run into being.
bool Runner::Impl::mayStillStart(const RunEntry &Run) const {
  const bool UnansweredInFlight =
      Run.m_Unanswered && m_Now < Run.m_UnansweredAt + MaxOrderDelay;
  return UnansweredInFlight ||
         hasOutstandingStart(keyOf(Run.m_Order.task), Run.m_Order.run);
}

// Returns the runs of the lost incarnation that its successor may start or be
// running: those with a start order that is in flight, and those that only the
// answer to a start order confirmed, since the successor may have given that
// answer. A run that was confirmed before \p ClosedAt is over, because nothing
// listened at the worker's address then.
std::vector<wire::RunRef>
Runner::Impl::unaccountedRuns(TimePoint ClosedAt) const {
  std::vector<wire::RunRef> Result;
  for (const auto &[Key, Run] : m_Runs) {
    const bool MayBeSuccessors =
        Run.m_Started && !Run.m_Listed && Run.m_StartedAt >= ClosedAt;
    if (!mayStillStart(Run) && !MayBeSuccessors)
      continue;
    wire::RunRef Ref;
    Ref.task = Run.m_Order.task;
    Ref.run = Run.m_Order.run;
    Result.push_back(std::move(Ref));
  }
  return Result;
}

void Runner::Impl::loseWorker(std::string_view Reason, TimePoint ClosedAt) {
  m_LostIncarnation = m_Info.incarnation;
  m_UnaccountedRuns = unaccountedRuns(ClosedAt);
  addNote("worker-gone", std::string(Reason) + ", " +
                             std::to_string(m_Runs.size()) + " runs, " +
                             std::to_string(m_UnaccountedRuns.size()) +
                             " of them unaccounted for");
  m_Phase = Phase::NoWorker;
  m_Token = 0;
  m_Draining = false;
  m_Runs.clear();
  m_UnsettledStarts.clear();
  // The loss that is reported to the leader covers all runs of the worker.
  m_FirstEndNumber += static_cast<int64_t>(m_Ends.size());
  m_Ends.clear();
  m_HoldOutstanding = false;
  m_SyncNeeded = true;
  m_NextFenceNext = m_Now;
  m_FenceNextUntil = m_Now + MaxOrderDelay;
}

void Runner::Impl::fence() {
  m_Phase = Phase::Fencing;
  sendFence(OutstandingCall::Kind::Fence, m_Info.incarnation, m_Token);
}

void Runner::Impl::onFenceAnswered(const CallAnswer &Answer) {
  if (Answer.m_Error != CallError::None) {
    // The reply to the next sync carries the same token and repeats the call.
    m_Phase = Phase::Registering;
    m_NextSync = m_Now + m_Options.m_RetryDelay;
    return;
  }
  m_Phase = Phase::Serving;
  m_NextHold = m_Now;
  m_Runs.clear();
  // The worker refuses orders with the previous token.
  m_UnsettledStarts.clear();
  applyRuns(Answer);
  applyEnds(Answer.m_Ends);
  m_SyncNeeded = true;
  addNote("serving", "fencing token " + std::to_string(m_Token) + ", " +
                         std::to_string(m_Runs.size()) + " runs");
}

} // namespace anvil::runner
