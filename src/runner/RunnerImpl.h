#ifndef ANVIL_SRC_RUNNER_RUNNERIMPL_H
#define ANVIL_SRC_RUNNER_RUNNERIMPL_H

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "anvil/runner/Runner.h"

namespace anvil::runner {

/// State of the connection to the worker.
enum class Phase {
  NoWorker,    ///< No worker is known, or the last one was lost.
  Registering, ///< Waits for the leader to register the incarnation and to
               ///< issue a fencing token.
  Fencing,     ///< Waits for the answer to the first hold with the new token.
  Serving      ///< Orders are carried out.
};

using TaskKey = std::tuple<std::string, int32_t, int32_t, int32_t>;

inline TaskKey keyOf(const wire::TaskRef &Ref) {
  return {Ref.jobId, Ref.occurrence, Ref.step, Ref.index};
}

/// State of one run that is ordered or running on the worker.
struct RunEntry {
  wire::RunOrder m_Order;
  /// The worker confirmed the start or listed the run.
  bool m_Started = false;
  TimePoint m_StartedAt;
  /// The worker's incarnation listed the run. The answer to a start order does
  /// not tell which incarnation gave it.
  bool m_Listed = false;
  bool m_StopWanted = false;
  /// A start order got no answer, so it may still take effect.
  bool m_Unanswered = false;
  /// When the last start order without an answer was given up.
  TimePoint m_UnansweredAt;
  /// No start order can take effect any more, because the worker confirmed a
  /// stop or reported that the run is over.
  bool m_StartRuledOut = false;
  TimePoint m_StartRuledOutAt;
  bool m_CallOutstanding = false;
  TimePoint m_RetryAt;
  int32_t m_UnhealthyRefusals = 0;
  int32_t m_Percent = 0;
  std::string m_Checkpoint;
  /// Reason the run is to be reported as not started; empty if it is not.
  std::string m_NotStartedReason;
};

/// An ended run that the leader has not acknowledged.
struct PendingEnd {
  wire::RunEnd m_End;
  int64_t m_WorkerNumber = 0; ///< 0 if the worker did not list the end.
};

/// A run whose end the worker listed while a start order of it had no answer.
/// The order could start the run anew once the worker has forgotten the end.
struct UnsettledStart {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  int64_t m_WorkerNumber = 0; ///< Number of the end in the worker's list.
  bool m_StopOutstanding = false;
  TimePoint m_RetryAt;
};

/// A call to the worker that has no answer yet.
struct OutstandingCall {
  enum class Kind {
    Probe,
    FenceNext,
    Fence,
    Hold,
    Acknowledge,
    Start,
    Stop,
    RuleOutStart ///< Stop of a run that has ended; see UnsettledStart.
  };
  Kind m_Kind = Kind::Hold;
  TimePoint m_SentAt;
  wire::WorkerIncarnation m_Incarnation;
  int64_t m_Token = 0;
  TaskKey m_Task;
  int64_t m_Run = 0;
  int64_t m_AcknowledgedEnd = 0;
};

struct Runner::Impl {
  explicit Impl(RunnerOptions Options) : m_Options(std::move(Options)) {}

  // RunnerWorker.cpp: incarnations of the worker.
  void onAnnounced(const WorkerAnnounced &Event);
  void onLeft(const WorkerLeft &Event);
  void probe(const wire::WorkerInfo &Info);
  void onProbeAnswered(const CallAnswer &Answer);
  void adoptWorker(const wire::WorkerInfo &Info);
  void reregister(std::string_view Reason);
  void loseWorker(std::string_view Reason, TimePoint ClosedAt = TimePoint());
  std::vector<wire::RunRef> unaccountedRuns(TimePoint ClosedAt) const;
  bool mayStillStart(const RunEntry &Run) const;
  bool fencesNextIncarnation() const;
  void fenceNextIncarnation();
  void onFenceNextAnswered();
  int64_t nextIncarnationToken() const { return m_HighestOrderToken + 1; }
  void sendFence(OutstandingCall::Kind Kind,
                 const wire::WorkerIncarnation &Incarnation, int64_t Token);
  void fence();
  void onFenceAnswered(const CallAnswer &Answer);

  // RunnerCalls.cpp: orders, holds and ends.
  void onCallAnswered(const CallAnswer &Answer);
  bool onCommonError(const CallAnswer &Answer, const OutstandingCall &Call);
  void onHoldAnswered(const CallAnswer &Answer, const OutstandingCall &Call);
  void onStartAnswered(const CallAnswer &Answer, RunEntry &Run);
  void onStopAnswered(const CallAnswer &Answer, RunEntry &Run);
  void applyLists(const CallAnswer &Answer, TimePoint SentAt);
  void applyRuns(const CallAnswer &Answer);
  void applyEnds(const std::vector<ListedEnd> &Ends);
  void endUnlistedRuns(const CallAnswer &Answer, TimePoint SentAt);
  void advanceRuns();
  void advanceRun(RunEntry &Run);
  void sendStart(RunEntry &Run);
  void sendStop(RunEntry &Run);
  CallId sendStopCall(OutstandingCall::Kind Kind, const wire::TaskRef &Task,
                      int64_t Run);
  bool hasOutstandingStart(const TaskKey &Key, int64_t Run) const;
  void ruleOutUnsettledStarts();
  void onStartRuledOut(const CallAnswer &Answer, const OutstandingCall &Call);
  int64_t acknowledgeableEnd() const;
  void sendHoldIfDue();
  void acknowledgeEnds();
  void sendHold(OutstandingCall::Kind Kind, Duration Wait);
  void recordEnd(const RunEntry &Run, wire::RunEndKind::type Kind,
                 std::string_view Detail, int64_t WorkerNumber);
  bool mayStartRuns() const;
  int64_t leaseEndMs() const;
  CallId addCall(OutstandingCall Call);

  // RunnerSync.cpp: syncs with the leader.
  void onSyncAnswered(const SyncAnswered &Event);
  void onSyncFailed(const SyncFailed &Event);
  void extendAuthority(const wire::WorkerSyncReply &Reply);
  void applyRegistration(const wire::WorkerSyncReply &Reply);
  void applyAcknowledgement(int64_t Number);
  void applyOrders(const wire::WorkerSyncReply &Reply);
  void syncIfDue();
  wire::WorkerSyncRequest makeSync();

  void addNote(std::string_view EventName, std::string_view Detail,
               const wire::TaskRef *Task = nullptr, int64_t Run = 0);

  const RunnerOptions m_Options;
  TimePoint m_Now;
  ActionList m_Actions;

  Phase m_Phase = Phase::NoWorker;
  wire::WorkerInfo m_Info;
  std::optional<wire::WorkerInfo> m_Candidate; ///< Probed, not confirmed yet.
  /// Incarnation that was lost, until the leader knows.
  wire::WorkerIncarnation m_LostIncarnation;
  /// Runs of m_LostIncarnation that its successor may start or be running.
  std::vector<wire::RunRef> m_UnaccountedRuns;
  bool m_Draining = false;
  TimePoint m_LeavesAt;
  int64_t m_Token = 0;
  /// Highest token of the orders that this incarnation of the agent may have
  /// sent; 0 if it has not sent any.
  int64_t m_HighestOrderToken = 0;
  // While no worker is known, its next incarnation is fenced.
  bool m_FenceNextOutstanding = false;
  TimePoint m_NextFenceNext;
  TimePoint m_FenceNextUntil; ///< Orders in flight are void by then.

  int64_t m_ClockMs = 0; ///< Worker's clock at m_ClockReadAt.
  TimePoint m_ClockReadAt;
  TimePoint m_LastAnswerAt;         ///< When the worker last answered a call.
  int32_t m_RefusedConnections = 0; ///< Consecutive refused connections.

  std::map<TaskKey, RunEntry> m_Runs;
  /// Highest ended run of each task in this incarnation of the worker.
  std::map<TaskKey, int64_t> m_EndedRuns;
  std::deque<PendingEnd> m_Ends;
  int64_t m_FirstEndNumber = 1; ///< The agent's own number of m_Ends.front().
  int64_t m_LastListedEnd = 0;  ///< Highest end that the worker listed.
  int64_t m_LastDurableEnd = 0; ///< Highest worker's end that the leader has.
  int64_t m_LastAckSent = 0;    ///< Highest end acknowledged to the worker.
  /// By task. Their ends are not acknowledged to the worker.
  std::map<TaskKey, UnsettledStart> m_UnsettledStarts;

  CallId m_NextCall = 1;
  std::map<CallId, OutstandingCall> m_Calls;
  bool m_HoldOutstanding = false;
  TimePoint m_NextHold;

  int64_t m_SyncSequence = 0;
  int64_t m_AnsweredSequence = 0;
  std::map<int64_t, TimePoint> m_SyncSentAt;
  std::set<int64_t> m_SyncsOutstanding;
  TimePoint m_NextSync;
  bool m_SyncNeeded = true; ///< A sync is due before the outstanding one ends.
  TimePoint m_AuthorityEnd;
};

} // namespace anvil::runner

#endif // ANVIL_SRC_RUNNER_RUNNERIMPL_H
