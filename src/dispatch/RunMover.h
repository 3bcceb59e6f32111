#ifndef ANVIL_SRC_DISPATCH_RUNMOVER_H
#define ANVIL_SRC_DISPATCH_RUNMOVER_H

#include <string>
#include <vector>

#include "Fleet.h"

namespace anvil::dispatch::internal {

/// A run that should go on elsewhere.
struct Move {
  wire::RunName m_Run;
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
class RunMover {
public:
  explicit RunMover(MoveOptions Options) : m_Options(Options) {}

  std::vector<Move> find(const Fleet &Of) const;

private:
  std::string reasonToMove(const Fleet &Of, const WorkerView &Worker,
                           const RunView &Run) const;
  bool losesToLeaving(const Fleet &Of, const WorkerView &Worker,
                      const RunView &Run) const;
  bool isFasterElsewhere(const Fleet &Of, const WorkerView &Worker,
                         const RunView &Run) const;
  static bool hasRoomElsewhere(const Fleet &Of, const WorkerView &Worker,
                               const RunView &Run);

  MoveOptions m_Options;
};

} // namespace anvil::dispatch::internal

#endif // ANVIL_SRC_DISPATCH_RUNMOVER_H
