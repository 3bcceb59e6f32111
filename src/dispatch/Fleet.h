#ifndef ANVIL_SRC_DISPATCH_FLEET_H
#define ANVIL_SRC_DISPATCH_FLEET_H

#include <string>
#include <vector>

#include "RunTracker.h"
#include "WorkerHealth.h"
#include "anvil/dispatch/WorkerSessions.h"
#include "anvil/workload/Amounts.h"
#include "anvil/workload/WorkloadState.h"

namespace anvil::dispatch::internal {

/// A run that holds resources of a worker, as a plan sees it.
struct RunView {
  wire::TaskRef m_Task;
  int64_t m_Run = 0;
  const wire::JobRecord *m_Job = nullptr;
  const wire::StepSpec *m_Spec = nullptr;
  wire::ResourceAmounts m_Amounts;
  bool m_Stopping = false;
  RunForecast m_Forecast;
};

/// Resources that a plan keeps for a step that can't start yet.
struct Booking {
  TimePoint m_From;
  wire::ResourceAmounts m_Amounts;
};

/// A worker as a plan sees it. The plan takes resources as it decides.
struct WorkerView {
  const wire::WorkerRecord *m_Record = nullptr;
  /// Its agent was heard of lately, and it stays in service.
  bool m_Usable = false;
  bool m_Draining = false;
  TimePoint m_LeavesAt;
  double m_Slowdown = 1;
  double m_Suspicion = 0;
  wire::ResourceAmounts m_Free;
  /// Resources of runs that were told to stop.
  wire::ResourceAmounts m_Releasing;
  /// Resources of such runs that the plan has promised to a step.
  wire::ResourceAmounts m_Promised;
  std::vector<RunView> m_Runs;
  /// Tasks that the plan has placed on it.
  int32_t m_Placed = 0;
  std::vector<Booking> m_Bookings;

  const wire::WorkerInfo &facts() const { return m_Record->info; }
  /// Returns what is free at \p When if nothing else starts.
  wire::ResourceAmounts freeAt(TimePoint When) const;
};

/// All workers of a deployment at the moment of a plan.
class Fleet {
public:
  Fleet(const workload::WorkloadState &State, const WorkerSessions &Sessions,
        const RunTracker &Tracker, const WorkerHealth &Health, TimePoint Now);

  /// For tests of what decides on a fleet.
  Fleet(std::vector<WorkerView> Workers, TimePoint Now)
      : m_Now(Now), m_Workers(std::move(Workers)) {}

  std::vector<WorkerView> &workers() { return m_Workers; }
  const std::vector<WorkerView> &workers() const { return m_Workers; }
  TimePoint now() const { return m_Now; }

  /// Returns how many tasks of \p Need can start on the worker now, each for
  /// \p Span, without taking what is booked. At most \p Most.
  int32_t countThatFit(const WorkerView &Worker,
                       const wire::ResourceAmounts &Need, Duration Span,
                       int32_t Most) const;

private:
  TimePoint m_Now;
  std::vector<WorkerView> m_Workers;
};

/// Returns whether the worker may run tasks of the step at all.
bool suits(const WorkerView &Worker, const wire::JobRecord &Job,
           const wire::StepSpec &Spec);

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_FLEET_H
