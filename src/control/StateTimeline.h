#ifndef ANVIL_SRC_CONTROL_STATETIMELINE_H
#define ANVIL_SRC_CONTROL_STATETIMELINE_H

#include "anvil/state/ClusterState.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::control::internal {

/// Records a change of the replicated state as a time line event. \p Index is
/// the log index of the command that caused it.
void recordStateEvent(const state::StateEvent &Event, int64_t Index,
                      const state::ClusterState &State,
                      timeline::Recorder &Recorder);

} // namespace anvil::control::internal

#endif // ANVIL_SRC_CONTROL_STATETIMELINE_H
