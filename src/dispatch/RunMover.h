#ifndef ANVIL_SRC_DISPATCH_RUNMOVER_H
#define ANVIL_SRC_DISPATCH_RUNMOVER_H

#include <string>
#include <string_view>
#include <vector>

#include "Fleet.h"

namespace anvil::dispatch::internal {

/// A run that should go on elsewhere.
struct Move {
  wire::RunRef m_Run;
  std::string m_Reason;
};

/// Settings of a RunMover.
struct MoveOptions {
  Duration m_StopTime{0};
  Duration m_RestoreTime{0};
};

/// Decides which runs are stopped to go on elsewhere: those that will not end
/// before their worker leaves, those that stand still, and those on a worker
/// that turned so slow that starting anew is faster.
///
/// A run is moved only to room that nothing else is to get, and takes that room
/// from the plan, so that no two runs are moved to the same place. Call
/// findLeaving() before the plan places waiting steps, since a worker does not
/// wait, and findStuck() after that, since what waits comes first.
class RunMover {
public:
  explicit RunMover(MoveOptions Options) : m_Options(Options) {}

  /// Returns the runs that their worker will not be there to end.
  std::vector<Move> findLeaving(Fleet &Of) const;
  /// Returns the runs that are faster or get on at all elsewhere.
  std::vector<Move> findStuck(Fleet &Of) const;

private:
  bool losesToLeaving(Fleet &Of, const WorkerView &Worker,
                      const RunView &Run) const;
  bool isFasterElsewhere(const Fleet &Of, const RunView &Run) const;

  MoveOptions m_Options;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_RUNMOVER_H
