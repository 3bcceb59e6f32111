#ifndef ANVIL_SRC_DISPATCH_RUNMOVER_H
#define ANVIL_SRC_DISPATCH_RUNMOVER_H

#include <string>
#include <string_view>
#include <vector>

#include "Fleet.h"

namespace anvil::dispatch::internal {

/// A run that should stop and continue on another worker.
struct Move {
  wire::RunRef m_Run;
  std::string m_Reason;
};

/// Settings of a RunMover.
struct MoveOptions {
  Duration m_StopTime{0};
  Duration m_RestoreTime{0};
};

/// Decides which runs are stopped in order to continue elsewhere: runs that
/// will not end before their draining worker leaves, runs that have stalled,
/// and runs on a worker that is so slow that moving them is faster. No task
/// moves twice because its worker is slow.
///
/// When a worker gives notice, a run without checkpoints either goes on, since
/// it is likely to end in time, or stops at once, since all further work would
/// be lost. A run that writes checkpoints goes on until the last stop that
/// still saves its progress. A gang is decided as a whole, by the worker of a
/// member that leaves first. The load that this addresses are short notices on
/// busy workers, where most runs have no room elsewhere.
///
/// Apart from that, a run moves only to room that nothing else is to get, and
/// the plan gives up that room, so that no two runs move to the same place.
/// Call findOnDrainingWorkers() before the plan places waiting steps, since the
/// worker leaves regardless, and findStalledOrSlow() after that, since waiting
/// steps come first.
class RunMover {
public:
  explicit RunMover(MoveOptions Options) : m_Options(Options) {}

  /// Returns the runs that will not end before their draining worker leaves.
  std::vector<Move> findOnDrainingWorkers(Fleet &PlanFleet) const;
  /// Returns the runs that make no progress, or that are faster elsewhere.
  std::vector<Move> findStalledOrSlow(Fleet &PlanFleet) const;

private:
  /// Runs that stop together, on workers of which at least one is draining: a
  /// single run, or all members of a gang.
  struct Leaving {
    std::vector<const RunView *> m_OnDrainingWorkers;
    /// Worker that leaves first, and the run on it.
    const WorkerView *m_Worker = nullptr;
    const RunView *m_Run = nullptr;
    TimePoint m_EndsAt; ///< Of the last member; may be NoKnownEnd.
    /// Of the member that has run longest.
    double m_UnsavedSeconds = 0;
    bool m_Stopping = false;
  };

  static std::vector<Leaving> findLeaving(const Fleet &PlanFleet);
  static void addForecast(Leaving &Runs, const RunView &Run);
  bool mustStop(Fleet &PlanFleet, const Leaving &Runs) const;
  bool isWorthGoingOn(TimePoint Now, const Leaving &Runs) const;
  bool isFasterElsewhere(const Fleet &PlanFleet, const WorkerView &Worker,
                         const RunView &Run, double HighestSpeed) const;
  /// Returns whether the run would end clearly sooner on a worker of \p Speed.
  bool gainsAt(const Fleet &PlanFleet, const RunView &Run, double Speed) const;

  MoveOptions m_Options;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_RUNMOVER_H
