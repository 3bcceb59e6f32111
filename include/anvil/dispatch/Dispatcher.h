#ifndef ANVIL_DISPATCH_DISPATCHER_H
#define ANVIL_DISPATCH_DISPATCHER_H

#include <functional>
#include <memory>
#include <string>
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
  /// Receives the work that observe() finds lost; may be empty.
  std::function<void(const LostWork &)> m_OnLostWork;
  /// Orders steps of equal priority also by what their workspaces use; without
  /// it, only by rank.
  bool m_FairShare = true;
  /// Receives a job the first time that plan() makes it wait because of its
  /// workspace's share; may be empty.
  std::function<void(const ShareYield &)> m_OnShareYielded;
};

/// Decides which runs start and which are stopped.
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

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace anvil::dispatch

#endif // ANVIL_DISPATCH_DISPATCHER_H
