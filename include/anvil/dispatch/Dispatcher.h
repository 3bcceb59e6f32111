#ifndef ANVIL_DISPATCH_DISPATCHER_H
#define ANVIL_DISPATCH_DISPATCHER_H

#include <memory>
#include <vector>

#include "anvil/base/Time.h"
#include "anvil/dispatch/WorkerSessions.h"
#include "anvil/workload/WorkloadState.h"
#include "workload_types.h"

namespace anvil::dispatch {

/// Settings of a Dispatcher.
struct DispatchOptions {
  /// How many times longer a task takes away from its data or spread over
  /// racks.
  double m_RemotePenalty = 1;
  /// Time from the order to stop a run until its resources are free.
  Duration m_StopTime = std::chrono::milliseconds(400);
  /// Work that a restored run repeats or waits for.
  Duration m_RestoreTime = std::chrono::milliseconds(600);
};

/// Decides which runs start and which are stopped.
///
/// Usage: reset() when leadership begins, observe() each change of the state,
/// plan() whenever the state or the sessions changed and no command of a former
/// plan is under way. The commands are checked again when they are applied. It
/// reads no clock and does no I/O.
class Dispatcher {
public:
  explicit Dispatcher(DispatchOptions Options);
  ~Dispatcher();

  /// Forgets what was learned under a former leadership.
  void reset(TimePoint Now);

  /// Learns from a change of the state.
  void observe(const workload::WorkloadEvent &Event,
               const workload::WorkloadState &State, TimePoint Now);

  /// Returns the commands that are to be proposed at \p Now, in order.
  std::vector<wire::WorkloadCommand> plan(const workload::WorkloadState &State,
                                          const WorkerSessions &Sessions,
                                          TimePoint Now);

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace anvil::dispatch

#endif // ANVIL_DISPATCH_DISPATCHER_H
