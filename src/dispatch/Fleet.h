#ifndef ANVIL_SRC_DISPATCH_FLEET_H
#define ANVIL_SRC_DISPATCH_FLEET_H

#include <map>
#include <span>
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

/// Resources of a worker that a plan reserves for a step that can't start yet.
struct Reservation {
  TimePoint m_From;
  wire::ResourceAmounts m_Amounts;
};

/// A worker as a plan sees it. The plan updates the resources as it decides.
struct WorkerView {
  const wire::WorkerRecord *m_Record = nullptr;
  /// New runs may be placed on it: WorkerSessions::usable() holds and its zone
  /// is in service.
  bool m_Usable = false;
  /// Operators took its availability zone out of service.
  bool m_ZoneWithdrawn = false;
  /// Its agent has listed the runs of the worker to this leader.
  bool m_RunsKnown = false;
  bool m_Draining = false;
  TimePoint m_LeavesAt;
  /// Factor by which tasks take longer because of a fault that lasts seconds.
  double m_Slowdown = 1;
  /// Lasting speed: 1 is normal, and tasks take their time divided by it.
  double m_Speed = 1;
  /// Evidence against the worker: about the number of its recent failures of
  /// different steps. It decays with time and with each success; WorkerHealth
  /// defines the weights, the half-life and the bound.
  double m_Suspicion = 0;
  wire::ResourceAmounts m_Free;
  /// Resources of stopping runs that are not promised to a step.
  wire::ResourceAmounts m_Releasing;
  /// Resources of stopping runs that the plan promised to a step.
  wire::ResourceAmounts m_Promised;
  std::vector<RunView> m_Runs;
  /// Tasks that this plan has placed on it.
  int32_t m_Placed = 0;
  std::vector<Reservation> m_Reservations;

  const wire::WorkerInfo &info() const { return m_Record->info; }
  /// Returns what a reservation can count on at \p When: what is free then if
  /// nothing else starts, and lent room.
  wire::ResourceAmounts freeAt(TimePoint When) const;
};

/// All workers of a deployment at the time of a plan.
class Fleet {
public:
  Fleet(const workload::WorkloadState &State, const WorkerSessions &Sessions,
        const RunTracker &Tracker, const WorkerHealth &Health, TimePoint Now);

  /// For tests of classes that decide on a fleet.
  Fleet(std::vector<WorkerView> Workers, TimePoint Now);

  std::vector<WorkerView> &workers() { return m_Workers; }
  const std::vector<WorkerView> &workers() const { return m_Workers; }
  TimePoint now() const { return m_Now; }
  /// Returns the indexes of the workers of a rack in ascending order, or of all
  /// workers if \p Rack is empty.
  std::span<const size_t> inRack(const std::string &Rack) const;

  /// Returns how many tasks of \p Need, at most \p Most, can start on the
  /// worker now and run until \p EndsAt, which may be NoKnownEnd, without using
  /// reserved resources.
  int32_t countThatFit(const WorkerView &Worker,
                       const wire::ResourceAmounts &Need, TimePoint EndsAt,
                       int32_t Most) const;

private:
  void indexRacks();

  TimePoint m_Now;
  std::vector<WorkerView> m_Workers;
  /// Indexes by rack; the empty name stands for all workers.
  std::map<std::string, std::vector<size_t>> m_ByRack;
};

/// Returns whether the worker belongs to the job's service and has the label
/// that the step requires.
bool isEligible(const WorkerView &Worker, const wire::JobRecord &Job,
                const wire::StepSpec &Spec);

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_FLEET_H
