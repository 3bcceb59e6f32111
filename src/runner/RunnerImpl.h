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

/// Stage of the agent's relation to the worker beside it.
enum class Phase {
  NoWorker,    ///< No worker is known, or the last one is gone.
  Registering, ///< The leader is to register the life and give a token.
  Fencing,     ///< The first hold with the new token is under way.
  Serving      ///< Orders are carried out.
};

using TaskKey = std::tuple<std::string, int32_t, int32_t, int32_t>;

/// Returns the key of a task.
inline TaskKey keyOf(const wire::TaskRef &Ref) {
  return {Ref.jobId, Ref.occurrence, Ref.step, Ref.index};
}

/// What the agent knows of one run on the worker.
struct RunEntry {
  wire::RunOrder m_Order;
  /// The worker confirmed or listed it.
  bool m_Started = false;
  TimePoint m_StartedAt;
  bool m_StopWanted = false;
  /// An order for it got no answer, so it may still take effect.
  bool m_Unanswered = false;
  /// A stop was answered, so no order for it can take effect any more.
  bool m_Impossible = false;
  TimePoint m_ImpossibleAt;
  bool m_CallOutstanding = false;
  TimePoint m_RetryAt;
  int32_t m_UnhealthyRefusals = 0;
  int32_t m_Percent = 0;
  std::string m_Checkpoint;
  /// Why it is to be given back, empty if it is not.
  std::string m_GiveBack;
};

/// An end that the leader has not acknowledged.
struct PendingEnd {
  wire::RunEnd m_End;
  int64_t m_WorkerNumber = 0; ///< 0 for an end that the worker did not list.
};

/// A call to the worker that was not answered so far.
struct OutstandingCall {
  enum class Kind { Probe, Fence, Hold, Acknowledge, Start, Stop };
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

  // RunnerWorker.cpp: which life the worker lives.
  void onAnnounced(const WorkerAnnounced &Event);
  void onLeft(const WorkerLeft &Event);
  void probe(const wire::WorkerInfo &Facts);
  void onProbeAnswered(const CallAnswer &Answer);
  void adopt(const wire::WorkerInfo &Facts);
  void registerAgain(std::string_view Why);
  void loseWorker(std::string_view Why);
  void fence();
  void onFenceAnswered(const CallAnswer &Answer);

  // RunnerCalls.cpp: orders, holds and ends.
  void onCallAnswered(const CallAnswer &Answer);
  bool onCommonError(const CallAnswer &Answer, const OutstandingCall &Call);
  void onHoldAnswered(const CallAnswer &Answer, const OutstandingCall &Call);
  void onStartAnswered(const CallAnswer &Answer, RunEntry &Run);
  void onStopAnswered(const CallAnswer &Answer, RunEntry &Run);
  void takeLists(const CallAnswer &Answer, TimePoint SentAt);
  void takeRuns(const std::vector<ListedRun> &Runs);
  void takeEnds(const std::vector<ListedEnd> &Ends);
  void resolveUnlisted(const CallAnswer &Answer, TimePoint SentAt);
  void advanceRuns();
  void advance(RunEntry &Run);
  void sendStart(RunEntry &Run);
  void sendStop(RunEntry &Run);
  void hold();
  void acknowledge();
  void sendHold(OutstandingCall::Kind Kind, Duration Wait);
  void finish(const RunEntry &Run, wire::RunEndKind::type Kind,
              std::string_view Detail, int64_t WorkerNumber);
  bool mayOrder() const;
  int64_t leaseEndMs() const;
  CallId open(OutstandingCall Call);

  // RunnerSync.cpp: the leader.
  void onSyncAnswered(const SyncAnswered &Event);
  void onSyncFailed(const SyncFailed &Event);
  void takeAuthority(const wire::WorkerSyncReply &Reply);
  void takeRegistration(const wire::WorkerSyncReply &Reply);
  void takeAcknowledgement(int64_t Number);
  void takeOrders(const wire::WorkerSyncReply &Reply);
  void syncIfDue();
  wire::WorkerSyncRequest makeSync();

  void note(std::string_view What, std::string_view Detail,
            const wire::TaskRef *Task = nullptr, int64_t Run = 0);

  const RunnerOptions m_Options;
  TimePoint m_Now;
  ActionList m_Actions;

  Phase m_Phase = Phase::NoWorker;
  wire::WorkerInfo m_Info;
  std::optional<wire::WorkerInfo> m_Candidate; ///< Being probed.
  wire::WorkerIncarnation
      m_Gone; ///< Life that is over, until the leader knows.
  /// Orders to it that got no answer.
  std::vector<wire::RunRef> m_GoneUnanswered;
  bool m_Draining = false;
  TimePoint m_LeavesAt;
  int64_t m_Token = 0;
  /// Highest token that any call carried in this life of the agent.
  int64_t m_HighestToken = 0;

  int64_t m_ClockMs = 0; ///< Clock of the worker at m_ClockAt.
  TimePoint m_ClockAt;
  TimePoint m_LastAnswer; ///< The worker answered a call.
  int32_t m_Refusals = 0; ///< Connections refused in a row.

  std::map<TaskKey, RunEntry> m_Runs;
  std::map<TaskKey, int64_t> m_EndedRuns; ///< Highest ended run in this life.
  std::deque<PendingEnd> m_Ends;
  int64_t m_FirstEnd = 1;     ///< Number of m_Ends.front() in own count.
  int64_t m_SeenEnd = 0;      ///< Highest number taken from the worker.
  int64_t m_DurableEnd = 0;   ///< The leader acknowledged up to here.
  int64_t m_ForgottenEnd = 0; ///< The worker was told so.

  CallId m_NextCall = 1;
  std::map<CallId, OutstandingCall> m_Calls;
  bool m_HoldOutstanding = false;
  TimePoint m_NextHold;

  int64_t m_SyncSequence = 0;
  int64_t m_AnsweredSequence = 0;
  std::map<int64_t, TimePoint> m_SyncSent;
  std::set<int64_t> m_SyncsOutstanding;
  TimePoint m_NextSync;
  bool m_News = true;
  TimePoint m_AuthorityEnd;
};

} // namespace anvil::runner

#endif // ANVIL_SRC_RUNNER_RUNNERIMPL_H
