#ifndef ANVIL_DISPATCH_DISPATCHER_H
#define ANVIL_DISPATCH_DISPATCHER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/dispatch/WorkerSessions.h"
#include "anvil/workload/WorkloadState.h"
#include "workload_types.h"

namespace anvil::dispatch {

/// Work of a run that ended without a result and was not saved.
struct LostWork {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  /// Reason of the order to stop, or how the run ended without one.
  std::string m_Cause;
  /// Cores of the task, with each accelerator counted as eight, times the
  /// seconds that it ran.
  double m_CoreSeconds = 0;
};

/// A new estimate of the lasting speed of a machine.
struct WorkerSpeedChange {
  std::string m_Worker;  ///< Id of the worker that runs there.
  std::string m_Machine; ///< Its VM, or the worker id if that is not known.
  double m_Speed = 1;    ///< 1 is normal; tasks take their time divided by it.
  int64_t m_Observations = 0; ///< Runs from which the speed was learned.
};

/// A job that waits because its workspace uses more than its fair part of the
/// service while others wait too.
struct ShareYield {
  std::string m_Job;
  std::string m_Workspace;
  /// Dominant share of the service that the workspace uses beyond its
  /// guarantee, from 0 to 1.
  double m_Share = 0;
  /// Share that it may use before it yields, from 0 to 1.
  double m_Part = 0;
};

/// Settings of a Dispatcher.
struct DispatchOptions {
  /// Factor by which a task takes longer if it runs away from the rack of its
  /// data, or as part of a rack-local gang that spans racks; at least 1.
  double m_RemotePenalty = 1;
  /// Time from the order to stop a run until its resources are free.
  Duration m_StopTime = std::chrono::milliseconds(400);
  /// Time that a run restored from a checkpoint loses: work that it repeats and
  /// the restore itself.
  Duration m_RestoreTime = std::chrono::milliseconds(600);
  /// Whether assess() refuses jobs that can't end while they have a value.
  bool m_RefuseLateJobs = true;
  /// Receives the work that observe() finds lost; may be empty.
  std::function<void(const LostWork &)> m_OnLostWork;
  /// Learns a lasting speed of each worker from its runs and uses it in
  /// forecasts, placement and moves; without it all speeds are 1.
  bool m_LearnSpeeds = true;
  /// Receives each speed that changed by more than a fifth since it was last
  /// reported, at first since 1; may be empty.
  std::function<void(const WorkerSpeedChange &)> m_OnWorkerSpeed;
  /// Orders steps of equal priority also by what their workspaces use; without
  /// it, only by rank.
  bool m_FairShare = true;
  /// Receives a job the first time that plan() makes it wait because of its
  /// workspace's share; may be empty.
  std::function<void(const ShareYield &)> m_OnShareYielded;
};

/// Whether a job should be accepted, and the forecast behind the decision.
struct JobVerdict {
  bool m_Accepted = true;
  /// Why it is accepted or refused: one of a fixed set of short texts.
  std::string_view m_Reason;
  TimePoint m_ExpectedStart;
  TimePoint m_ExpectedEnd;
  /// The job has no value if it ends later: three times its objective after
  /// its submission.
  TimePoint m_LastUsefulEnd;
  /// Time after which a refused job should be submitted again; 0 if accepted.
  Duration m_RetryAfter{0};
  /// Time since the plan from which the forecast was made.
  Duration m_BacklogAge{0};

  void accept(std::string_view Reason) {
    m_Accepted = true;
    m_Reason = Reason;
    m_RetryAfter = Duration(0);
  }
};

/// Decides which runs start and which are stopped, and which jobs are accepted.
///
/// Usage: call reset() when leadership begins, observe() for each change of the
/// state, and plan() whenever the state or the sessions changed and no command
/// of an earlier plan is in flight. The state checks each command again when it
/// is applied. This class reads no clock and does no I/O.
class Dispatcher {
public:
  explicit Dispatcher(DispatchOptions Options);
  ~Dispatcher();

  /// Discards everything learned during an earlier leadership. Called when
  /// leadership begins.
  void reset(TimePoint Now);

  /// Updates run forecasts and worker health from a change of the state. \p
  /// State is the state after the change.
  void observe(const workload::WorkloadEvent &Event,
               const workload::WorkloadState &State, TimePoint Now);

  /// Returns the commands to propose at \p Now, in this order; empty if nothing
  /// is to start or stop.
  std::vector<wire::WorkloadCommand> plan(const workload::WorkloadState &State,
                                          const WorkerSessions &Sessions,
                                          TimePoint Now);

  /// Forecasts from the last plan when \p Candidate, which is not in the state,
  /// would end if it were submitted at \p Now, and refuses it if that is
  /// clearly too late. Accepts every job before the first plan and while not
  /// all workers are known. Changes nothing.
  JobVerdict assess(const wire::JobRecord &Candidate,
                    const workload::WorkloadState &State,
                    const WorkerSessions &Sessions, TimePoint Now) const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace anvil::dispatch

#endif // ANVIL_DISPATCH_DISPATCHER_H
