#include <algorithm>

#include "RunnerImpl.h"

namespace anvil::runner {

namespace {

// Maximum number of outstanding syncs: one whose reply the leader delays until
// it has orders, and one that reports a change.
constexpr size_t MaxOutstandingSyncs = 2;

// Maximum number of syncs whose send time is kept for a later confirmation. A
// leader confirms a sync within a few rounds.
constexpr size_t MaxRememberedSyncs = 64;

} // namespace

void Runner::Impl::syncIfDue() {
  const bool Due = m_SyncsOutstanding.empty() || m_SyncNeeded;
  if (!Due || m_Now < m_NextSync ||
      m_SyncsOutstanding.size() >= MaxOutstandingSyncs)
    return;
  m_SyncNeeded = false;
  m_NextSync = m_Now + m_Options.m_MinSyncInterval;
  m_Actions.push_back(SendSync{makeSync()});
}

wire::WorkerSyncRequest Runner::Impl::makeSync() {
  wire::WorkerSyncRequest Request;
  Request.agentIncarnation = m_Options.m_AgentIncarnation;
  Request.availabilityZone = m_Options.m_AvailabilityZone;
  Request.sequence = ++m_SyncSequence;
  m_SyncSentAt[Request.sequence] = m_Now;
  if (m_SyncSentAt.size() > MaxRememberedSyncs)
    m_SyncSentAt.erase(m_SyncSentAt.begin());
  m_SyncsOutstanding.insert(Request.sequence);
  Request.endedIncarnation = m_LostIncarnation;
  if (!m_LostIncarnation.id.empty())
    Request.unaccountedRuns = m_UnaccountedRuns;
  Request.firstEndNumber = m_FirstEndNumber;
  for (const PendingEnd &End : m_Ends)
    Request.ends.push_back(End.m_End);
  if (m_Phase == Phase::NoWorker)
    return Request;
  Request.info = m_Info;
  Request.fencingToken = m_Token;
  Request.runsListed = m_Phase == Phase::Serving;
  Request.draining = m_Draining;
  const auto Millis = [](Duration Value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  };
  if (m_Draining)
    Request.remainingMs = std::max<int64_t>(0, Millis(m_LeavesAt - m_Now));
  Request.silentMs = Millis(m_Now - m_LastAnswerAt);
  for (const auto &[Key, Run] : m_Runs) {
    wire::RunStatus Status;
    Status.task = Run.m_Order.task;
    Status.run = Run.m_Order.run;
    Status.running = Run.m_Started;
    Status.percent = Run.m_Percent;
    Status.checkpoint = Run.m_Checkpoint;
    if (Run.m_Started)
      Status.runningMs = Millis(m_Now - Run.m_StartedAt);
    Request.runs.push_back(std::move(Status));
  }
  return Request;
}

void Runner::Impl::onSyncFailed(const SyncFailed &Event) {
  m_SyncsOutstanding.erase(Event.m_Sequence);
  m_SyncNeeded = true;
}

void Runner::Impl::onSyncAnswered(const SyncAnswered &Event) {
  m_SyncsOutstanding.erase(Event.m_Sequence);
  if (!Event.m_Reply.isLeader) {
    m_SyncNeeded = true;
    return;
  }
  extendAuthority(Event.m_Reply);
  // A reply that arrives after a later one may contain outdated orders.
  if (Event.m_Sequence < m_AnsweredSequence)
    return;
  m_AnsweredSequence = Event.m_Sequence;
  applyAcknowledgement(Event.m_Reply.acknowledgedEndNumber);
  applyRegistration(Event.m_Reply);
  applyOrders(Event.m_Reply);
}

void Runner::Impl::extendAuthority(const wire::WorkerSyncReply &Reply) {
  const auto Sent = m_SyncSentAt.find(Reply.confirmedSequence);
  if (Sent == m_SyncSentAt.end())
    return;
  m_AuthorityEnd =
      std::max(m_AuthorityEnd, Sent->second + m_Options.m_LeaseSpan);
  m_SyncSentAt.erase(m_SyncSentAt.begin(), Sent);
}

void Runner::Impl::applyRegistration(const wire::WorkerSyncReply &Reply) {
  if (!m_LostIncarnation.id.empty() && !(Reply.registered == m_LostIncarnation))
    m_LostIncarnation = wire::WorkerIncarnation();
  if (m_Phase == Phase::NoWorker)
    return;
  const bool Registered =
      Reply.fencingToken > 0 && Reply.registered == m_Info.incarnation;
  if (!Registered) {
    if (m_Phase != Phase::Registering)
      reregister("the leader has no registration of this incarnation");
    return;
  }
  if (m_Phase != Phase::Registering && Reply.fencingToken == m_Token)
    return;
  m_Token = Reply.fencingToken;
  m_HighestOrderToken = std::max(m_HighestOrderToken, m_Token);
  fence();
}

void Runner::Impl::applyAcknowledgement(int64_t Number) {
  while (!m_Ends.empty() && m_FirstEndNumber <= Number) {
    m_LastDurableEnd =
        std::max(m_LastDurableEnd, m_Ends.front().m_WorkerNumber);
    m_Ends.pop_front();
    ++m_FirstEndNumber;
  }
}

void Runner::Impl::applyOrders(const wire::WorkerSyncReply &Reply) {
  if (m_Phase != Phase::Serving || Reply.fencingToken != m_Token)
    return;
  // A run that has not been sent to the worker and is to be stopped is in both
  // lists.
  for (const wire::RunOrder &Order : Reply.starts) {
    const TaskKey Key = keyOf(Order.task);
    const auto Ended = m_EndedRuns.find(Key);
    const bool Over = Ended != m_EndedRuns.end() && Ended->second >= Order.run;
    if (Over || m_Runs.contains(Key))
      continue;
    RunEntry &Run = m_Runs[Key];
    Run.m_Order = Order;
    Run.m_Checkpoint = Order.checkpoint;
    Run.m_RetryAt = m_Now;
    addNote("start-ordered",
            Order.checkpoint.empty() ? "from the beginning"
                                     : "from a checkpoint",
            &Order.task, Order.run);
  }
  for (const wire::RunRef &Stop : Reply.stops) {
    const auto Run = m_Runs.find(keyOf(Stop.task));
    if (Run == m_Runs.end() || Run->second.m_Order.run != Stop.run ||
        Run->second.m_StopWanted)
      continue;
    Run->second.m_StopWanted = true;
    if (!Run->second.m_CallOutstanding)
      Run->second.m_RetryAt = m_Now;
    addNote("stop-ordered", "", &Stop.task, Stop.run);
  }
}

} // namespace anvil::runner
