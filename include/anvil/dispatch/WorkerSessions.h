#ifndef ANVIL_DISPATCH_WORKERSESSIONS_H
#define ANVIL_DISPATCH_WORKERSESSIONS_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/workload/WorkloadState.h"
#include "workload_types.h"

namespace anvil::dispatch {

/// Settings of WorkerSessions.
struct SessionOptions {
  /// How long an agent may let runs continue after its last confirmed sync.
  /// Must equal the value that the agents use.
  Duration m_LeaseSpan{0};
  /// Largest relative rate error of the clocks that measure the lease. Workers'
  /// clocks may be 2% slow; the rest covers this process and the agent.
  double m_ClockError = 0.05;
  /// Added to the lease for timers that fire late.
  Duration m_TimerSlack = std::chrono::milliseconds(200);
  /// Longest time that the answer to a sync is held back while there is nothing
  /// new to tell the agent.
  Duration m_MaxReplyDelay = std::chrono::milliseconds(250);
  /// The session of an agent that sent no sync for longer than this is removed.
  Duration m_SessionTimeout = std::chrono::seconds(60);
  /// A worker whose agent sent no sync for this long gets no new runs.
  Duration m_MaxSyncAge = std::chrono::milliseconds(1200);
};

/// What the leader knows about a worker beyond the replicated state.
struct LiveWorker {
  std::string m_Agent;
  TimePoint m_LastSyncAt;
  bool m_Draining = false;
  /// Earliest time at which a draining worker leaves.
  TimePoint m_LeavesAt;
  /// The agent has listed the runs of the worker under its current fencing
  /// token.
  bool m_HasRunList = false;
  /// When the worker last answered its agent.
  TimePoint m_LastReplyAt;
  std::vector<wire::RunStatus> m_Runs;
};

/// Keeps what the agents report to the leader, and decides what they are told
/// and when their workers count as lost.
///
/// Usage: call reset() when leadership begins. Call receive() for each sync and
/// propose the returned commands; report the outcome of each of them with
/// commandDone(). Call poll() for the answers that are due, and expireLeases()
/// for workers that are lost. beginConfirm() and confirm() enclose a quorum
/// round that proves the leadership. This class reads no clock and does no I/O.
class WorkerSessions {
public:
  explicit WorkerSessions(SessionOptions Options) : m_Options(Options) {}

  /// Removes all sessions. Assumes that an earlier leader may have granted
  /// every registered worker a lease just before \p Now.
  void reset(TimePoint Now);

  /// Processes a sync of an agent. Returns the commands to propose because of
  /// it: registrations, ends of runs and losses of workers.
  std::vector<wire::WorkloadCommand>
  receive(const wire::WorkerSyncRequest &Request,
          const workload::WorkloadState &State, TimePoint Now);

  /// Reports the outcome of a command that receive() or expireLeases()
  /// returned. A command that was not committed may be returned again.
  void commandDone(const wire::WorkloadCommand &Command, bool Committed);

  /// Marks the sessions that a change of the state may concern, so that poll()
  /// checks whether they need an answer.
  void observe(const workload::WorkloadEvent &Event);

  /// An answer to one sync of an agent.
  struct Answer {
    std::string m_Agent;
    int64_t m_Sequence = 0;
    wire::WorkerSyncReply m_Reply;
  };
  /// Returns the answers that are due: those that carry something new, those
  /// that reached the maximum delay, and those to syncs that a later sync of
  /// the same agent superseded.
  std::vector<Answer> poll(const workload::WorkloadState &State, TimePoint Now);

  /// Marks the syncs received so far as those that the next confirm() covers.
  /// Called when a quorum round starts.
  void beginConfirm();
  /// Confirms the syncs that were received before the last beginConfirm().
  /// Called when a quorum has confirmed the leadership.
  void confirm();

  /// Returns the commands that declare workers lost whose last lease has
  /// expired, and former incarnations that no successor accounted for within
  /// the same time.
  std::vector<wire::WorkloadCommand>
  expireLeases(const workload::WorkloadState &State, TimePoint Now);

  /// Returns what is known about a registered worker, or null if its agent sent
  /// no sync since reset().
  const LiveWorker *findLive(const wire::WorkerIncarnation &Incarnation) const;

  /// Returns true if the worker may get new runs: its agent synced and the
  /// worker answered recently, and it is not draining.
  bool usable(const wire::WorkerRecord &Worker, TimePoint Now) const;

  /// Returns the time at which the first unanswered sync reaches the maximum
  /// reply delay, but at most \p Now + 500 ms. Ends of leases are not looked
  /// at.
  TimePoint nextDeadline(TimePoint Now) const;

private:
  struct Session {
    wire::WorkerSyncRequest m_Latest;
    /// When each sync that has no answer yet was received, by sequence number.
    std::map<int64_t, TimePoint> m_UnansweredSyncs;
    int64_t m_HighestSequence = 0;
    int64_t m_ConfirmingSequence = 0;
    int64_t m_ConfirmedSequence = 0;
    // Each agent numbers the ends of runs that it reports.
    /// Number of the last end that was proposed; falls back to the last
    /// committed one if a proposal is not committed.
    int64_t m_ProposedEndNumber = 0;
    /// Number of the last end that was committed.
    int64_t m_CommittedEndNumber = 0;
    /// Number of the last end that an answer to the latest sync acknowledged.
    int64_t m_SentEndNumber = 0;
    bool m_RegistrationProposed = false;
    /// Something changed since poll() last decided whether to answer.
    bool m_MayHaveUpdates = true;
    /// Orders of the last answer. They are repeated only in answers that are
    /// due for another reason.
    std::vector<wire::RunRef> m_SentStarts;
    std::vector<wire::RunRef> m_SentStops;
    TimePoint m_LastSyncAt;
  };

  using IncarnationKey = workload::WorkloadState::IncarnationKey;
  static IncarnationKey keyOf(const wire::WorkerIncarnation &Incarnation) {
    return {Incarnation.id, Incarnation.startedAtMs};
  }

  void proposeRegistration(Session &AgentSession,
                           const workload::WorkloadState &State,
                           std::vector<wire::WorkloadCommand> &Commands);
  void proposeLoss(const wire::WorkerIncarnation &Incarnation,
                   std::string_view Reason,
                   const std::vector<wire::RunRef> &Retained,
                   std::vector<wire::WorkloadCommand> &Commands);
  void proposeFormerLosses(const Session &AgentSession,
                           const workload::WorkloadState &State,
                           std::vector<wire::WorkloadCommand> &Commands);
  void proposeEnds(Session &AgentSession,
                   std::vector<wire::WorkloadCommand> &Commands);
  wire::WorkerSyncReply makeReply(const Session &AgentSession,
                                  const workload::WorkloadState &State) const;
  bool mayAnswer(const Session &AgentSession, TimePoint Now) const;
  void markForUpdate(const wire::WorkerIncarnation &Incarnation);
  static bool hasUpdates(const Session &AgentSession,
                         const wire::WorkerSyncReply &Reply);
  static void recordSentReply(Session &AgentSession,
                              const wire::WorkerSyncReply &Reply);
  void updateLiveWorker(const wire::WorkerSyncRequest &Request, TimePoint Now);
  void addOrders(const wire::WorkerSyncRequest &Request,
                 const workload::WorkloadState &State,
                 wire::WorkerSyncReply &Reply) const;
  void removeSilentSessions(TimePoint Now);
  /// Returns the longest time that a granted lease may last, with clock errors
  /// and late timers.
  Duration maxLeaseSpan() const;
  TimePoint leaseEnd(const std::string &WorkerId) const;

  SessionOptions m_Options;
  std::map<std::string, Session> m_Sessions; ///< By agent.
  std::map<IncarnationKey, LiveWorker> m_LiveWorkers;
  std::map<std::string, TimePoint> m_LastLeaseGrant; ///< By worker id.
  std::set<IncarnationKey> m_LossProposed;
  /// When this leader first saw each former incarnation.
  std::map<IncarnationKey, TimePoint> m_FormerSince;
  TimePoint m_LeadingSince;
};

} // namespace anvil::dispatch

#endif // ANVIL_DISPATCH_WORKERSESSIONS_H
