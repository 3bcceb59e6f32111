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
  /// How long an agent may let runs go on after its last confirmed sync; the
  /// same value as in the agents.
  Duration m_LeaseSpan{0};
  /// Largest error of the rates of the clocks that measure the lease. Workers'
  /// clocks may be 2% slow; the rest is for this process and the agent.
  double m_ClockError = 0.05;
  /// Added for timers that fire late.
  Duration m_LossSlack = std::chrono::milliseconds(200);
  /// Longest time that an answer without news is held back.
  Duration m_AnswerHold = std::chrono::milliseconds(250);
  /// Agents that were silent for this long are forgotten.
  Duration m_ForgetAfter = std::chrono::seconds(60);
  /// A worker of which nothing was heard for this long gets no new runs.
  Duration m_FreshFor = std::chrono::milliseconds(1200);
};

/// What the leader knows of a worker beside the replicated state.
struct LiveWorker {
  std::string m_Agent;
  TimePoint m_HeardAt;
  bool m_Draining = false;
  /// Instant before which a draining worker does not leave.
  TimePoint m_LeavesAt;
  /// The agent listed the runs of the worker under its present token.
  bool m_Listed = false;
  /// When the worker last answered its agent.
  TimePoint m_AnsweredAt;
  std::vector<wire::RunStatus> m_Runs;
};

/// Keeps what the agents report to the leader, and decides what they are told
/// and when their workers are lost.
///
/// Usage: reset() when leadership begins; receive() each sync and propose the
/// returned commands, commandDone() when one with ends is committed; poll() for
/// the answers that are due. beginConfirm() and confirm() enclose a round that
/// proves the leadership. It reads no clock and does no I/O.
class WorkerSessions {
public:
  explicit WorkerSessions(SessionOptions Options) : m_Options(Options) {}

  /// Forgets all agents. Every registered worker may hold a lease that a former
  /// leader granted just before \p Now.
  void reset(TimePoint Now);

  /// Takes in a sync. Returns the commands that it calls for.
  std::vector<wire::WorkloadCommand>
  receive(const wire::WorkerSyncRequest &Request,
          const workload::WorkloadState &State, TimePoint Now);

  /// A command that receive() or expireLeases() returned was committed, or
  /// failed.
  void commandDone(const wire::WorkloadCommand &Command, bool Committed);

  /// Takes note of a change of the state, which may be news for an agent.
  void observe(const workload::WorkloadEvent &Event);

  /// An answer that is due.
  struct Answer {
    std::string m_Agent;
    int64_t m_Sequence = 0;
    wire::WorkerSyncReply m_Reply;
  };
  /// Returns the answers that are due: those with news, those that were held
  /// back long enough, and those that a later sync of the agent replaced.
  std::vector<Answer> poll(const workload::WorkloadState &State, TimePoint Now);

  /// Remembers what was received before a confirmation of the leadership began.
  void beginConfirm();
  /// A quorum confirmed the leadership after the last beginConfirm().
  void confirm();

  /// Returns commands for the workers whose last lease is over.
  std::vector<wire::WorkloadCommand>
  expireLeases(const workload::WorkloadState &State, TimePoint Now);

  /// Returns what is known of a registered worker, or null if its agent was
  /// not heard of since reset().
  const LiveWorker *live(const wire::WorkerIncarnation &Life) const;

  /// Returns true if the worker may get new runs: its agent and the worker were
  /// heard of lately, and it is not about to leave.
  bool usable(const wire::WorkerRecord &Worker, TimePoint Now) const;

  /// Returns the next instant at which poll() or expireLeases() can have an
  /// effect.
  TimePoint nextDeadline(TimePoint Now) const;

private:
  struct Session {
    wire::WorkerSyncRequest m_Latest;
    /// Sequences that were received and not answered.
    std::map<int64_t, TimePoint> m_Waiting;
    int64_t m_HighestSequence = 0;
    int64_t m_ConfirmingSequence = 0;
    int64_t m_ConfirmedSequence = 0;
    int64_t m_ProposedEnd = 0;
    int64_t m_DurableEnd = 0;
    int64_t m_ToldEnd = 0;
    bool m_RegistrationProposed = false;
    /// Something changed since an answer was last weighed.
    bool m_MayHaveNews = true;
    /// Orders of the last answer; repeated only with answers that are due
    /// anyway.
    std::vector<wire::RunRef> m_ToldStarts;
    std::vector<wire::RunRef> m_ToldStops;
    TimePoint m_HeardAt;
  };

  using IncarnationKey = workload::WorkloadState::IncarnationKey;
  static IncarnationKey keyOf(const wire::WorkerIncarnation &Life) {
    return {Life.id, Life.startedAtMs};
  }

  void proposeRegistration(Session &Of, const workload::WorkloadState &State,
                           std::vector<wire::WorkloadCommand> &Commands);
  void proposeLoss(const wire::WorkerIncarnation &Life, std::string_view Reason,
                   const std::vector<wire::RunRef> &Keep,
                   std::vector<wire::WorkloadCommand> &Commands);
  void proposeFormerLosses(const Session &Of,
                           const workload::WorkloadState &State,
                           std::vector<wire::WorkloadCommand> &Commands);
  void proposeEnds(Session &Of, std::vector<wire::WorkloadCommand> &Commands);
  wire::WorkerSyncReply makeReply(const Session &Of,
                                  const workload::WorkloadState &State) const;
  bool mayAnswer(const Session &Of, TimePoint Now) const;
  void noteNewsFor(const wire::WorkerIncarnation &Life);
  static bool hasNews(const Session &Of, const wire::WorkerSyncReply &Reply);
  static void noteTold(Session &Of, const wire::WorkerSyncReply &Reply);
  void noteLive(const wire::WorkerSyncRequest &Request, TimePoint Now);
  void addOrders(const wire::WorkerSyncRequest &Request,
                 const workload::WorkloadState &State,
                 wire::WorkerSyncReply &Reply) const;
  void forgetSilent(TimePoint Now);
  /// Longest time for which a lease that was granted may last.
  Duration leaseSpan() const;
  TimePoint leaseOver(const std::string &WorkerId) const;

  SessionOptions m_Options;
  std::map<std::string, Session> m_Sessions; ///< By agent.
  std::map<IncarnationKey, LiveWorker> m_Live;
  std::map<std::string, TimePoint> m_LastGrant; ///< By worker id.
  std::set<IncarnationKey> m_LossProposed;
  /// Since when a former life is known under this leadership.
  std::map<IncarnationKey, TimePoint> m_FormerSince;
  TimePoint m_LeadingSince;
};

} // namespace anvil::dispatch

#endif // ANVIL_DISPATCH_WORKERSESSIONS_H
