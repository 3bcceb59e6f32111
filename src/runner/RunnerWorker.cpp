#include "RunnerImpl.h"

namespace anvil::runner {

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
      note("worker-draining",
           std::to_string(Event.m_Remaining.count() / 1000) + " ms remain");
    m_News = m_News || !m_Draining;
    m_Draining = true;
  }
}

// The process ends by itself right after this; that its port is closed then
// shows that nothing runs any more.
void Runner::Impl::onLeft(const WorkerLeft &Event) {
  if (m_Phase == Phase::NoWorker || Event.m_Id != m_Info.incarnation.id)
    return;
  m_Draining = true;
  m_LeavesAt = m_Now;
  m_News = true;
  m_NextHold = m_Now;
  note("worker-left", "the worker deregistered");
}

// An announcement may be a late one of a former life, so the worker itself is
// asked who it is before anything is registered.
void Runner::Impl::probe(const wire::WorkerInfo &Facts) {
  if (m_Candidate)
    return;
  m_Candidate = Facts;
  OutstandingCall Call;
  Call.m_Kind = OutstandingCall::Kind::Probe;
  Call.m_Incarnation = Facts.incarnation;
  HoldCall Hold;
  Hold.m_Call = open(Call);
  Hold.m_Incarnation = Facts.incarnation;
  // A token above those of all orders to the former life, so that a late one
  // has no effect in this life.
  if (m_HighestToken > 0)
    Hold.m_FencingToken = ++m_HighestToken;
  m_Actions.push_back(Hold);
}

void Runner::Impl::onProbeAnswered(const CallAnswer &Answer) {
  const wire::WorkerInfo Facts = *std::exchange(m_Candidate, std::nullopt);
  const bool Answered = Answer.m_Error == CallError::None ||
                        Answer.m_Error == CallError::Fenced ||
                        Answer.m_Error == CallError::Unhealthy;
  if (!Answered || (Answer.m_StartedAtMs &&
                    *Answer.m_StartedAtMs != Facts.incarnation.startedAtMs)) {
    note("announcement-dropped", Facts.incarnation.id + " did not confirm it");
    return;
  }
  if (m_Phase != Phase::NoWorker && m_Info.incarnation == Facts.incarnation)
    return;
  adopt(Facts);
}

void Runner::Impl::adopt(const wire::WorkerInfo &Facts) {
  if (m_Phase != Phase::NoWorker)
    loseWorker("another life of the worker answered");
  m_Info = Facts;
  m_Info.agentAddress = m_Options.m_Address;
  m_Phase = Phase::Registering;
  m_Token = 0;
  m_Draining = false;
  m_SeenEnd = 0;
  m_DurableEnd = 0;
  m_ForgottenEnd = 0;
  m_EndedRuns.clear();
  m_LastAnswer = m_Now;
  m_Refusals = 0;
  m_News = true;
  note("worker-found", Facts.incarnation.id);
}

// Orders with the former token are void, and the leader may have placed the
// runs elsewhere: what runs is learned anew under the next token.
void Runner::Impl::registerAgain(std::string_view Why) {
  note("registering", Why);
  m_Phase = Phase::Registering;
  m_Token = 0;
  m_News = true;
}

void Runner::Impl::loseWorker(std::string_view Why) {
  note("worker-gone", Why);
  m_Gone = m_Info.incarnation;
  m_GoneUnanswered.clear();
  for (const auto &[Key, Run] : m_Runs)
    if (Run.m_Unanswered || Run.m_CallOutstanding) {
      wire::RunRef Name;
      Name.task = Run.m_Order.task;
      Name.run = Run.m_Order.run;
      m_GoneUnanswered.push_back(std::move(Name));
    }
  m_Phase = Phase::NoWorker;
  m_Token = 0;
  m_Draining = false;
  m_Runs.clear();
  // The leader learns of the loss instead, which covers all of its runs.
  m_FirstEnd += static_cast<int64_t>(m_Ends.size());
  m_Ends.clear();
  m_HoldOutstanding = false;
  m_News = true;
}

void Runner::Impl::fence() {
  m_Phase = Phase::Fencing;
  OutstandingCall Call;
  Call.m_Kind = OutstandingCall::Kind::Fence;
  Call.m_Incarnation = m_Info.incarnation;
  Call.m_Token = m_Token;
  HoldCall Hold;
  Hold.m_Call = open(Call);
  Hold.m_Incarnation = m_Info.incarnation;
  Hold.m_FencingToken = m_Token;
  m_Actions.push_back(Hold);
}

void Runner::Impl::onFenceAnswered(const CallAnswer &Answer) {
  if (Answer.m_Error != CallError::None) {
    // Repeated by the next sync, which names the same token.
    m_Phase = Phase::Registering;
    m_NextSync = m_Now + m_Options.m_RetryDelay;
    return;
  }
  m_Phase = Phase::Serving;
  m_NextHold = m_Now;
  m_Runs.clear();
  takeRuns(Answer.m_Runs);
  takeEnds(Answer.m_Ends);
  m_News = true;
  note("serving", "token " + std::to_string(m_Token) + ", " +
                      std::to_string(m_Runs.size()) + " runs");
}

} // namespace anvil::runner
