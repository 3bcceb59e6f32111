#ifndef ANVIL_TIMELINE_FRAMESTAMPS_H
#define ANVIL_TIMELINE_FRAMESTAMPS_H

#include <functional>

#include "anvil/net/Rpc.h"
#include "anvil/timeline/Timeline.h"

namespace anvil::timeline {

/// Makes each sent RPC frame carry a time stamp of the clock of \p Recorder and
/// advances that clock by the stamps of received frames, so that merged
/// timelines show causes before effects. The recorder must outlive all
/// connections made with \p Options. \p WallMicros returns microseconds since
/// the Unix epoch.
inline void stampFrames(net::RpcOptions &Options, Recorder &Recorder,
                        const std::function<int64_t()> &WallMicros) {
  Options.m_Stamp = [&Recorder, WallMicros] {
    const HybridTime Now = Recorder.clock().now(WallMicros());
    return net::ClockStamp{Now.m_WallUs, Now.m_Logical};
  };
  Options.m_ObserveStamp = [&Recorder, WallMicros](net::ClockStamp Stamp) {
    Recorder.clock().observe({Stamp.m_WallUs, Stamp.m_Logical}, WallMicros());
  };
}

} // namespace anvil::timeline

#endif // ANVIL_TIMELINE_FRAMESTAMPS_H
